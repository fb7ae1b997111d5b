"""Order in which outdated and surplus groups are replaced or removed."""

import msgspec

from briarpond.configuration import DeploymentConfig
from briarpond.ids import DeploymentId, GroupId
from briarpond.journal import Group, GroupPhase

from ._inputs import PlannerInput, deployment_groups, required_spec
from ._pool import FreePool

# Time in seconds without any change of a deployment's groups after which a roll-out
# continues although not all groups are ready.
ROLLOUT_STALL_S = 30.0


class Rollout(msgspec.Struct, frozen=True):
    """Next step of a roll-out of one deployment in one data centre.

    Attributes
    ----------
    retire : frozenset of GroupId
        Surplus or outdated groups to retire now.
    surge : int
        Groups to form beyond the configured number, before an outdated one is retired.
    """

    retire: frozenset[GroupId] = frozenset()
    surge: int = 0


def plan_rollout(
    inputs: PlannerInput, deployment_id: DeploymentId, free: FreePool, unchanged_s: float
) -> Rollout:
    """Return the next step, replacing outdated groups one at a time over all data centres.

    The next group is the same on every node: the first by data centre and name. It is
    retired only while all other configured groups exist and are ready. Where enough
    instances are free, its replacement is formed and becomes ready first. Where there
    are permanently too few instances to form all groups, nothing changes for
    `ROLLOUT_STALL_S` seconds, and the roll-out then continues.

    Parameters
    ----------
    unchanged_s : float
        Time in seconds since a group of the deployment last changed.
    """
    deployment = inputs.state.config.document.deployments.get(deployment_id)
    formed = [
        group
        for group in deployment_groups(inputs, deployment_id)
        if group.phase is GroupPhase.FORMED
    ]
    local_groups = [group for group in formed if group.data_centre == inputs.data_centre]
    if deployment is None:
        return Rollout(frozenset(group.id for group in local_groups))
    outdated = {group.id for group in formed if not is_up_to_date(group, deployment)}
    wanted = deployment.groups.get(inputs.data_centre, 0)
    if len(local_groups) > wanted:
        return Rollout(_surplus_groups(inputs, local_groups, outdated, wanted))
    next_group = _next_outdated(inputs, formed, outdated)
    if next_group is None or next_group.data_centre != inputs.data_centre:
        return Rollout()
    others_ready = _other_groups_ready(inputs, deployment_id, next_group, outdated)
    if not others_ready and unchanged_s < ROLLOUT_STALL_S:
        return Rollout()
    free_instances = max(free.free_counts(deployment.service).values(), default=0)
    if free_instances >= deployment.group_size:
        return Rollout(surge=1)
    return Rollout(frozenset({next_group.id}))


def _surplus_groups(
    inputs: PlannerInput, local_groups: list[Group], outdated: set[GroupId], wanted: int
) -> frozenset[GroupId]:
    """Return the groups beyond the number wanted: outdated ones first, then the newest.

    The set is empty while an outdated group is still needed because its replacement is
    not ready.
    """
    current = [group for group in local_groups if group.id not in outdated]
    not_ready_count = sum(not inputs.is_ready(group) for group in current)
    surplus = len(local_groups) - wanted
    if outdated and current and not_ready_count and len(local_groups) - not_ready_count <= wanted:
        return frozenset()
    ranked = sorted(local_groups, key=lambda group: (group.id not in outdated, -group.generation))
    return frozenset(group.id for group in ranked[:surplus])


def _next_outdated(
    inputs: PlannerInput, formed: list[Group], outdated: set[GroupId]
) -> Group | None:
    """Return the outdated group to replace next, over all planned data centres."""
    candidates = [
        group
        for group in formed
        if group.id in outdated and group.data_centre in inputs.planned_data_centres
    ]
    return min(candidates, key=lambda group: (group.data_centre, group.id), default=None)


def _other_groups_ready(
    inputs: PlannerInput, deployment_id: DeploymentId, next_group: Group, outdated: set[GroupId]
) -> bool:
    """Whether all configured groups exist, and all but the next are formed and ready.

    Outdated groups need not be ready.
    """
    wanted = inputs.state.config.document.deployments[deployment_id].groups
    groups = deployment_groups(inputs, deployment_id)
    if len(groups) < sum(wanted.get(each, 0) for each in inputs.planned_data_centres):
        return False
    return all(
        group.phase is GroupPhase.FORMED and (group.id in outdated or inputs.is_ready(group))
        for group in groups
        if group.id != next_group.id
    )


def is_up_to_date(group: Group, deployment: DeploymentConfig) -> bool:
    """Return whether a group has the load and size that its deployment requires."""
    return group.spec == required_spec(deployment) and len(group.members) == deployment.group_size
