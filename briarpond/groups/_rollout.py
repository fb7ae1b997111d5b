"""Order in which outdated and surplus groups go."""

import msgspec

from briarpond.configuration import DeploymentConfig
from briarpond.ids import DeploymentId, GroupId
from briarpond.journal import Group, GroupPhase

from ._inputs import PlannerInput, groups_of, spec_of
from ._pool import FreePool

PATIENCE_S = 30.0


class Rollout(msgspec.Struct, frozen=True):
    """What is due for one deployment in one data centre.

    Attributes
    ----------
    retire : frozenset of GroupId
        Groups that are too many or outdated and may go now.
    surge : int
        Groups to form beyond the number wanted, before an outdated one goes.
    """

    retire: frozenset[GroupId] = frozenset()
    surge: int = 0


def plan_rollout(
    given: PlannerInput, deployment_id: DeploymentId, free: FreePool, unchanged_s: float
) -> Rollout:
    """Replace outdated groups one at a time over all data centres.

    The next group is the same on every node: the first by data centre and name.
    It goes only while all groups wanted are there and ready, and where there is
    room, its replacement is formed and ready first. Where instances are short
    for good, nothing changes for `PATIENCE_S` seconds, and the roll-out goes on.
    """
    deployment = given.state.config.document.deployments.get(deployment_id)
    formed = [
        group for group in groups_of(given, deployment_id) if group.phase is GroupPhase.FORMED
    ]
    here = [group for group in formed if group.data_centre == given.data_centre]
    if deployment is None:
        return Rollout(frozenset(group.id for group in here))
    outdated = {group.id for group in formed if not up_to_date(group, deployment)}
    wanted = deployment.groups.get(given.data_centre, 0)
    if len(here) > wanted:
        return Rollout(_excess(given, here, outdated, wanted))
    following = _next_outdated(given, formed, outdated)
    if following is None or following.data_centre != given.data_centre:
        return Rollout()
    steady = _steady(given, deployment_id, following, outdated)
    if not steady and unchanged_s < PATIENCE_S:
        return Rollout()
    room = max(free.domains(deployment.service).values(), default=0)
    if room >= deployment.group_size:
        return Rollout(surge=1)
    return Rollout(frozenset({following.id}))


def _excess(
    given: PlannerInput, here: list[Group], outdated: set[GroupId], wanted: int
) -> frozenset[GroupId]:
    """Return the groups beyond `wanted`: outdated ones first, then the newest.

    An outdated group stays until what replaces it is ready.
    """
    current = [group for group in here if group.id not in outdated]
    unready = sum(not given.ready(group) for group in current)
    spare = len(here) - wanted
    if outdated and current and unready and len(here) - unready <= wanted:
        return frozenset()
    ranked = sorted(here, key=lambda group: (group.id not in outdated, -group.generation))
    return frozenset(group.id for group in ranked[:spare])


def _next_outdated(
    given: PlannerInput, formed: list[Group], outdated: set[GroupId]
) -> Group | None:
    candidates = [
        group for group in formed if group.id in outdated and group.data_centre in given.planned
    ]
    return min(candidates, key=lambda group: (group.data_centre, group.id), default=None)


def _steady(
    given: PlannerInput, deployment_id: DeploymentId, following: Group, outdated: set[GroupId]
) -> bool:
    """Whether all groups wanted are there, and none is on its way in or out."""
    wanted = given.state.config.document.deployments[deployment_id].groups
    groups = groups_of(given, deployment_id)
    if len(groups) < sum(wanted.get(each, 0) for each in given.planned):
        return False
    return all(
        group.phase is GroupPhase.FORMED and (group.id in outdated or given.ready(group))
        for group in groups
        if group.id != following.id
    )


def up_to_date(group: Group, deployment: DeploymentConfig) -> bool:
    """Return whether a group is what its deployment wants now."""
    return group.spec == spec_of(deployment) and len(group.members) == deployment.group_size
