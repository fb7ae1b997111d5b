"""Expected times of a model request in a group, from the configured figures of the engine."""

import msgspec

from briarpond.routes import EngineSpec, ModelSpec


class RequestSize(msgspec.Struct, frozen=True):
    """Size of a model request.

    Attributes
    ----------
    prompt_tokens : int
        Tokens of the prompt.
    answer_tokens : int
        Tokens of the answer: the expected number if the caller gave one, else the most
        that the request allows.
    """

    prompt_tokens: int
    answer_tokens: int


def decode_step_s(engine: EngineSpec, spec: ModelSpec, running: int) -> float:
    """Return the seconds of one decode step, in which every running request gets a token.

    Parameters
    ----------
    engine : EngineSpec
        Figures of the engine; every request counts with its mean context, which is the
        mean prompt and half of the mean answer.
    spec : ModelSpec
        Model, whose time factor applies.
    running : int
        Requests that the group runs at once.
    """
    context = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    per_request_s = engine.step_per_request_s + engine.step_per_1k_context_s * context / 1000
    return spec.time_factor * (engine.step_fixed_s + per_request_s * max(1, running))


def prefill_s(engine: EngineSpec, spec: ModelSpec, tokens: float) -> float:
    """Return the seconds that the prefill of `tokens` prompt tokens takes."""
    return spec.time_factor * tokens / engine.prefill_tokens_per_s


def slot_occupancy_s(engine: EngineSpec, spec: ModelSpec, request: RequestSize) -> float:
    """Return the seconds for which a request occupies its slot in a full group.

    While the request decodes, every other slot ends its request and begins another,
    whose prefill delays the decode steps of this one.
    """
    other_prefills_s = (engine.slots - 1) * prefill_s(engine, spec, engine.mean_prompt_tokens)
    decode_s = request.answer_tokens * decode_step_s(engine, spec, engine.slots)
    mean_decode_s = max(engine.mean_answer_tokens * decode_step_s(engine, spec, engine.slots), 1e-6)
    return prefill_s(engine, spec, request.prompt_tokens) + decode_s * (
        1 + other_prefills_s / mean_decode_s
    )


def expected_first_event_s(
    engine: EngineSpec, spec: ModelSpec, request: RequestSize, in_flight: int, unread_tokens: int
) -> float:
    """Return the expected seconds to the first event of a request in a group.

    This is the prefill of the prompts ahead and of its own, one decode step and, in a
    full group, the wait for a slot.

    Parameters
    ----------
    engine : EngineSpec
        Figures of the engine.
    spec : ModelSpec
        Model that the group hosts.
    request : RequestSize
        Size of the request.
    in_flight : int
        Requests that were sent to the group and have not ended.
    unread_tokens : int
        Prompt tokens of those requests whose first event has not arrived yet.
    """
    prefill = prefill_s(engine, spec, request.prompt_tokens + unread_tokens)
    step = decode_step_s(engine, spec, min(in_flight + 1, engine.slots))
    queue_position = in_flight - engine.slots + 1
    if queue_position <= 0:
        return prefill + step
    mean_request = RequestSize(int(engine.mean_prompt_tokens), int(engine.mean_answer_tokens))
    return (
        prefill
        + step
        + queue_position * slot_occupancy_s(engine, spec, mean_request) / engine.slots
    )
