"""Admission of a request at the gateway: send it, hold it, or refuse it."""

from enum import Enum

import msgspec

# Fraction of the first-byte goal for which a request is held at the node until a slot is free.
HOLD_GOAL_FRACTION = 0.35


class AdmissionAction(Enum):
    """What the gateway does with a request now.

    Attributes
    ----------
    SEND
        Send it to the chosen backend server.
    HOLD
        Keep it at the node and decide again when the load or the groups change.
    REFUSE
        Answer that the request was not run and when to try again.
    """

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Result of the admission of a request.

    Attributes
    ----------
    action : AdmissionAction
        What to do with the request.
    retry_after_s : float
        For a refusal: seconds after which the caller may try again.
    """

    action: AdmissionAction
    retry_after_s: float = 0.0


def decide_admission(
    expected_s: float | None,
    has_capacity: bool,
    waited_s: float,
    goal_s: float,
    remaining_s: float,
    group_formation_s: float,
    hold_fraction: float = HOLD_GOAL_FRACTION,
) -> AdmissionDecision:
    """Decide whether a request is sent, held or refused.

    A request is sent if the best backend server has capacity for it. Otherwise it is held
    for a fraction of its first-byte goal, at most until its deadline, and then refused.

    Parameters
    ----------
    expected_s : float or None
        Expected seconds to the first event at the best backend server; None if there is
        no backend server for the request.
    has_capacity : bool
        Whether that backend server can take another request.
    waited_s : float
        Seconds since the request arrived at this node.
    goal_s : float
        Seconds to the first byte of the answer within which the answer has its full value.
    remaining_s : float
        Seconds until the deadline. A refusal asks the caller to wait for a third of them
        at most, so that there is time left for another try.
    group_formation_s : float
        Seconds after which a group may exist, if there is none; the waiting time of the
        refusal in that case.
    hold_fraction : float
        Fraction of the first-byte goal for which a request is held.
    """
    hold_s = min(goal_s * hold_fraction, remaining_s)
    if expected_s is not None and has_capacity:
        return AdmissionDecision(AdmissionAction.SEND)
    if waited_s < hold_s:
        return AdmissionDecision(AdmissionAction.HOLD)
    wait_s = group_formation_s if expected_s is None else max(goal_s, expected_s - goal_s)
    return AdmissionDecision(AdmissionAction.REFUSE, min(wait_s, remaining_s / 3))
