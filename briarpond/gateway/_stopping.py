"""Which requests a stopping node still takes: those that it can answer before it ends."""

from math import isinf

import msgspec

from briarpond.dispatch import RequestSize, slot_occupancy_s
from briarpond.routes import EngineSpec, ModelName

# Factor on the longest expected time of a model request: groups may be slow, or repaired.
DURATION_SAFETY = 2.0
# Requests that arrive later after the signal are taken only if they certainly end in time: few
# callers still come, and a server may be slower than expected.
ESTIMATES_UNTIL_S = 2.8


class Stop(msgspec.Struct, frozen=True):
    """The stop of this node.

    Attributes
    ----------
    began_at : float
        Time of the signal, in seconds.
    ends_at : float
        Time at which the requests in flight are ended.
    """

    began_at: float
    ends_at: float


def longest_duration_s(
    engine: EngineSpec | None, model: ModelName, prompt_tokens: int, answer_tokens: int
) -> float:
    """Return a time within which a server answers a request; infinite if nothing is known.

    Parameters
    ----------
    engine : EngineSpec or None
        Engine of the request's service; None if it has plain servers.
    model : ModelName
        Model that the request names.
    prompt_tokens, answer_tokens : int
        Tokens of the prompt and of the answer; 0 if the request does not say.
    """
    spec = None if engine is None else engine.model(model)
    if engine is None or spec is None or not answer_tokens:
        return float("inf")
    size = RequestSize(prompt_tokens, answer_tokens)
    return DURATION_SAFETY * slot_occupancy_s(engine, spec, size)


def can_finish(
    stop: Stop, expires_at: float, longest_s: float, others_are_ready: bool, now: float
) -> bool:
    """Whether a request will have its answer, or be past its own timeout, when the node ends.

    Late in the stop that must be certain. Before, it must hold with a factor of safety if
    another node can take the request; if none can, it is enough that it is to be expected, or
    that nothing is known.

    Parameters
    ----------
    expires_at : float
        Time of the request's deadline, or of its route's timeout if that is earlier.
    longest_s : float
        Seconds that the request takes at most, as far as known; infinite if nothing is known.
    others_are_ready : bool
        Whether another node takes callers' requests.
    now : float
        Present time.
    """
    if expires_at <= stop.ends_at:
        return True
    if now - stop.began_at > ESTIMATES_UNTIL_S:
        return False
    if others_are_ready:
        return now + longest_s <= stop.ends_at
    return isinf(longest_s) or now + longest_s / DURATION_SAFETY <= stop.ends_at
