"""First and last step of the end of a group; the orders between them are the planner's."""

from ._models import GroupStage, PlannedGroup
from ._roster import Roster


def begin_close(roster: Roster, group: PlannedGroup, abort_requests: bool, now: float) -> None:
    """Start to close a group, or to free its members if the head is lost.

    Parameters
    ----------
    roster : Roster
        Listed and lost instances.
    group : PlannedGroup
        The group.
    abort_requests : bool
        Whether running requests are aborted instead of being allowed to finish.
    now : float
        Present time, in seconds.
    """
    head = group.head
    group.abort_requests = abort_requests
    if head in roster.lost:
        group.enter_stage(GroupStage.HEAD_LOST, now)
    else:
        group.enter_stage(GroupStage.CLOSING, now)


def release(roster: Roster, group: PlannedGroup, now: float) -> None:
    """Drop a group whose head does not serve, which frees its members."""
    roster.groups.pop(group.id, None)
    roster.released_at[group.id, group.epoch] = now
