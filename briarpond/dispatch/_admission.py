"""Whether a request can be served in time, from what is known at its arrival."""

from enum import Enum

import msgspec

# Requests that wait at a full group, for each of its places, before others wait here.
WAITING_PER_PLACE = 0.35
# Part of the goal that a request may wait at this node for a place.
HOLD_SHARE = 0.35


class VerdictKind(Enum):
    """What becomes of a request now."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


class Verdict(msgspec.Struct, frozen=True):
    """The verdict, with when to come back if it is a refusal."""

    kind: VerdictKind
    retry_after_s: float = 0.0


def judge(
    expected_s: float | None,
    room: bool,
    waited_s: float,
    goal_s: float,
    left_s: float,
    form_s: float,
) -> Verdict:
    """Decide about a request for a model.

    Parameters
    ----------
    expected_s : float or None
        Expected time to the first event at the best group; None if there is no group.
    room : bool
        Whether the best group takes another request.
    waited_s : float
        How long the request has been here.
    goal_s, left_s : float
        Time to the first event that has full value; time until the deadline.
    form_s : float
        How soon a group may be there, if there is none.
    """
    hold_s = min(goal_s * HOLD_SHARE, left_s)
    if expected_s is not None and room:
        return Verdict(VerdictKind.SEND)
    if waited_s < hold_s:
        return Verdict(VerdictKind.HOLD)
    wait_s = form_s if expected_s is None else max(goal_s, expected_s - goal_s)
    return Verdict(VerdictKind.REFUSE, min(wait_s, left_s / 3))
