"""What follows when a send fails: the one place that decides about repeats."""

from enum import Enum

import msgspec

from briarpond.routes import RequestKind, Route

# A second send needs at least this much of the deadline.
MIN_LEFT_S = 0.05


class Failure(Enum):
    """How a send ended without its answer.

    NOT_SENT : no byte of the request can have reached a server.
    NOT_EXECUTED : the server says that it has not run and will not run it.
    UNKNOWN : it may have run.
    """

    NOT_SENT = "not-sent"
    NOT_EXECUTED = "not-executed"
    UNKNOWN = "unknown"


class Progress(msgspec.Struct, frozen=True):
    """How far a request has come.

    Attributes
    ----------
    sends : int
        Sends in which a byte may have reached a server.
    runs : int
        Those that may have run.
    head_passed : bool
        Whether the caller has the head of an answer.
    connects_failed : int
        Sends that reached no server.
    """

    sends: int
    runs: int
    head_passed: bool
    connects_failed: int = 0


class NextStep(Enum):
    """What to do after a failure.

    REFUSE promises that the request has not run; FAIL promises nothing; CUT ends
    an answer that had begun.
    """

    AGAIN = "again"
    REFUSE = "refuse"
    FAIL = "fail"
    CUT = "cut"


MAX_CONNECTS_FAILED = 4


def next_step(
    route: Route, failure: Failure, progress: Progress, left_s: float, budget: bool
) -> NextStep:
    """Decide after a failed send.

    Parameters
    ----------
    budget : bool
        Whether the shared budget of repeats has room.
    """
    may_run_again = progress.runs == 0 or route.repeatable
    room = _has_sends_left(route, failure, progress) and left_s > MIN_LEFT_S
    if may_run_again and room and (failure is Failure.NOT_SENT or budget):
        return NextStep.AGAIN
    if progress.head_passed:
        return NextStep.CUT
    return NextStep.REFUSE if progress.runs == 0 else NextStep.FAIL


def _has_sends_left(route: Route, failure: Failure, progress: Progress) -> bool:
    if failure is Failure.NOT_SENT and progress.connects_failed >= MAX_CONNECTS_FAILED:
        return False
    if progress.runs >= route.max_attempts:
        return False
    if route.kind is RequestKind.NON_IDEMPOTENT:
        return progress.sends < route.max_attempts
    # Each server that turned the request away costs one of twice the attempts.
    return progress.sends < 2 * route.max_attempts
