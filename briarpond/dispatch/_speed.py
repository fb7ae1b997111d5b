"""Expected times of a model request in a group, from the configured figures of the engine."""

import msgspec

from briarpond.routes import EngineSpec, ModelSpec

from ._load import InFlightLoad


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


def mean_request(engine: EngineSpec) -> RequestSize:
    """Return the size of the mean request of an engine, as configured."""
    return RequestSize(int(engine.mean_prompt_tokens), int(engine.mean_answer_tokens))


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
    return (
        prefill
        + step
        + queue_position * slot_occupancy_s(engine, spec, mean_request(engine)) / engine.slots
    )


class GroupEstimate(msgspec.Struct, frozen=True):
    """What a request would take in a group, and what it would cost the others there.

    Attributes
    ----------
    first_event_s : float
        Expected seconds to the first event of the request.
    slowdown_s : float
        Expected seconds by which the requests that run already end later since this one decodes
        beside them, all together.
    """

    first_event_s: float
    slowdown_s: float


def estimate_in_group(
    engine: EngineSpec,
    spec: ModelSpec,
    request: RequestSize,
    load: InFlightLoad,
    pace: float = 1.0,
) -> GroupEstimate:
    """Estimate the time to the first event of a request, and the slowdown of the others.

    Where the unwritten tokens of the group are known they replace the mean request in the wait
    for a slot of a full group. While this request and another one both decode, each delays
    the other by the time per request of each step.

    Parameters
    ----------
    engine : EngineSpec
        Figures of the engine.
    spec : ModelSpec
        Model that the group hosts.
    request : RequestSize
        Size of the request; its answer has the expected length.
    load : InFlightLoad
        Load of the group.
    pace : float
        Measured step time of the group in multiples of that of its peers.
    """
    running = min(load.in_flight, engine.slots)
    own_prefill = prefill_s(engine, spec, request.prompt_tokens)
    ahead = prefill_s(engine, spec, load.unread_tokens)
    step = decode_step_s(engine, spec, min(running + 1, engine.slots))
    per_request = decode_step_s(engine, spec, 2) - decode_step_s(engine, spec, 1)
    unwritten = load.unwritten_tokens
    if unwritten is None:
        unwritten = load.in_flight * engine.mean_answer_tokens
    first_event = own_prefill + ahead + step + _slot_wait_s(engine, spec, load, unwritten)
    # Every other request decodes beside this one until the shorter of the two has ended.
    shared_tokens = min(unwritten, running * request.answer_tokens)
    return GroupEstimate(pace * first_event, pace * per_request * shared_tokens)


def _slot_wait_s(
    engine: EngineSpec, spec: ModelSpec, load: InFlightLoad, unwritten: float
) -> float:
    """Return the expected wait for a slot; 0 if one is free.

    The slots become free evenly over the time that the mean unwritten answer takes.
    """
    queue_position = load.in_flight - engine.slots + 1
    if queue_position <= 0:
        return 0.0
    mean_left = RequestSize(0, max(1, round(unwritten / load.in_flight)))
    return queue_position * slot_occupancy_s(engine, spec, mean_left) / engine.slots
