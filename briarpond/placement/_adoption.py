"""Groups of an earlier planner: which of them the present planner keeps, closes or drops."""

from briarpond.fleet import ListedGroup, MemberState, assemble_groups

from ._closing import begin_close
from ._formation import JOIN_TIMEOUT_FACTOR, JOIN_TIMEOUT_MARGIN_S
from ._models import GroupStage, PlannedGroup, is_staging_name
from ._roster import Roster

# Longest time until the instance list shows a change.
LISTING_LAG_S = 2.0
# An accepted order to join is sent again only this long after the expected end of the join.
JOIN_OVERDUE_MARGIN_S = 1.0


def adopt_listed_groups(roster: Roster, now: float) -> None:
    """Add listed groups that an earlier planner formed.

    Open and closing groups are kept or closed; an instance that is staging a model
    may finish. The head of any other group may be open by now, or be ordered to open by a
    late order, so it is closed before its members are free.
    """
    for group in assemble_groups(roster.instances.values()):
        if group.id in roster.groups:
            continue
        # The list lags: it may still show a group that was released just now.
        if now - roster.released_at.get((group.id, group.epoch), -LISTING_LAG_S) < LISTING_LAG_S:
            continue
        if group.state in (MemberState.OPEN, MemberState.CLOSING):
            _adopt_open_group(roster, group, now)
        elif group.state is MemberState.JOINING and _is_staging_group(roster, group):
            _adopt_staging_group(roster, group, now)
        elif _may_have_opened(roster, group):
            _adopt_unopened_group(roster, group, now)


def _may_have_opened(roster: Roster, group: ListedGroup) -> bool:
    """Whether a planner may have ordered a group to open that the list shows unopened."""
    if group.state is MemberState.BROKEN or (group.id, group.epoch) in roster.released_at:
        return False
    return not is_staging_name(group.id) and roster.usable(group.head)


def _adopt_unopened_group(roster: Roster, group: ListedGroup, now: float) -> None:
    """Close a group that is listed as unopened; requests that run all the same may finish."""
    planned = PlannedGroup(
        group.id, group.epoch, group.model, group.members, GroupStage.CLOSING, now
    )
    planned.may_open_late = True
    roster.groups[group.id] = planned
    begin_close(roster, planned, False, now)


def _adopt_open_group(roster: Roster, group: ListedGroup, now: float) -> None:
    """Keep an open group if it is complete; close it otherwise."""
    spec = roster.engine.model(group.model)
    planned = PlannedGroup(
        group.id,
        group.epoch,
        group.model,
        group.members,
        GroupStage.OPEN,
        now,
        set(group.members),
    )
    planned.serves_from = now
    roster.groups[group.id] = planned
    complete = spec is not None and len(group.members) == spec.group_size
    already_released = (group.id, group.epoch) in roster.released_at
    if group.state is MemberState.CLOSING or not complete or already_released:
        begin_close(roster, planned, True, now)


def _is_staging_group(roster: Roster, group: ListedGroup) -> bool:
    """Whether a group was formed only to stage a model, and not by this planner."""
    return is_staging_name(group.id) and (group.id, group.epoch) not in roster.released_at


def _adopt_staging_group(roster: Roster, group: ListedGroup, now: float) -> None:
    """Let a spare finish the load that an earlier planner started."""
    planned = PlannedGroup(
        group.id, group.epoch, group.model, group.members, GroupStage.STAGING, now
    )
    spec = roster.engine.model(group.model)
    load_s = 0.0 if spec is None else spec.load_s + spec.warm_join_s
    planned.join_overdue_at[group.head] = now + load_s + JOIN_OVERDUE_MARGIN_S
    planned.join_deadline = now + JOIN_TIMEOUT_FACTOR * load_s + JOIN_TIMEOUT_MARGIN_S
    roster.groups[group.id] = planned
