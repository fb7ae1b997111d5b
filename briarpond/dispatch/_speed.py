"""Expected times of a request in a group, from the engine's figures."""

import msgspec

from briarpond.routes import EngineSpec, ModelSpec


class Work(msgspec.Struct, frozen=True):
    """Size of a model request, in tokens."""

    prompt: int
    answer: int


def step_s(engine: EngineSpec, spec: ModelSpec, running: int) -> float:
    """Return the time of one token step beside `running` requests."""
    context = engine.usual_prompt + engine.usual_answer / 2
    each = engine.per_sequence_s + engine.per_context_s * context / 1000
    return spec.pace * (engine.step_s + each * max(1, running))


def read_s(engine: EngineSpec, spec: ModelSpec, tokens: float) -> float:
    """Return the time to read a prompt."""
    return spec.pace * tokens / engine.read_tokens_per_s


def place_s(engine: EngineSpec, spec: ModelSpec, work: Work) -> float:
    """Return how long a request keeps its place in a full group.

    While it writes, the prompts of the requests that follow the others are read
    in between.
    """
    others = (engine.slots - 1) * read_s(engine, spec, engine.usual_prompt)
    write = work.answer * step_s(engine, spec, engine.slots)
    usual_write = max(engine.usual_answer * step_s(engine, spec, engine.slots), 1e-6)
    return read_s(engine, spec, work.prompt) + write * (1 + others / usual_write)


def first_event_s(
    engine: EngineSpec, spec: ModelSpec, work: Work, in_flight: int, unread_tokens: int
) -> float:
    """Return the expected time to the first event in a group.

    Parameters
    ----------
    in_flight : int
        Requests that were sent to the group and have not ended.
    unread_tokens : int
        Prompt tokens of those that have not shown their first event.
    """
    reading = read_s(engine, spec, work.prompt + unread_tokens)
    step = step_s(engine, spec, min(in_flight + 1, engine.slots))
    ahead = in_flight - engine.slots + 1
    if ahead <= 0:
        return reading + step
    usual = Work(int(engine.usual_prompt), int(engine.usual_answer))
    return reading + step + ahead * place_s(engine, spec, usual) / engine.slots
