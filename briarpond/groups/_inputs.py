"""Inputs of a planning round, and the problems of groups that it can find."""

from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from briarpond.configuration import DeploymentConfig
from briarpond.ids import DataCentre, DeploymentId, InstanceId, NodeId
from briarpond.journal import (
    FoldedState,
    Group,
    GroupDissolve,
    GroupForm,
    GroupPhase,
    GroupRetire,
    GroupSpec,
)
from briarpond.ports import ListedInstance, ListedState

from ._presence import PresenceTable

# Time in seconds for which the absence of a member is ignored, since a short pause of an
# instance is no reason to repair its group.
ABSENCE_GRACE_S = 2.0
# Longest further wait in seconds for an absent member that no spare can replace; it
# applies in full where `downtime_weight` is 1.
MAX_WAIT_FOR_RETURN_S = 20.0

Proposal = GroupForm | GroupRetire | GroupDissolve


class PlannerPolicy(msgspec.Struct, frozen=True):
    """Settings that the planner's decisions depend on.

    Attributes
    ----------
    presence_ttl_s : float
        Age in seconds up to which a status report counts.
    order_settle_s : float
        Longest time in seconds that an order may still be in transit to an instance.
    load_timeout_s : float
        Time in seconds after which a group that is not ready is dissolved.
    downtime_weight : float
        Weight of group downtime against stranded accelerators: 0 favours few stranded
        accelerators, 1 favours little downtime.
    """

    presence_ttl_s: float
    order_settle_s: float
    load_timeout_s: float
    downtime_weight: float

    @property
    def wait_for_return_s(self) -> float:
        """Return the time that a group without a spare waits for an absent member."""
        return ABSENCE_GRACE_S + MAX_WAIT_FOR_RETURN_S * self.downtime_weight


class PlannerInput(msgspec.Struct, frozen=True):
    """Inputs of one planning round.

    Attributes
    ----------
    wall_ms : int
        Wall-clock time in Unix milliseconds, for the audit trail.
    node : NodeId
        This node, which is named as the author of the records.
    data_centre : DataCentre
        Data centre to plan for.
    state : FoldedState
        State folded from the log.
    fleet : tuple of ListedInstance
        Instance list.
    presence : PresenceTable
        Status reports of the instances that this node probes.
    new_id : callable
        Returns a unique suffix for the ids of records and groups.
    is_ready : callable
        Returns whether a group of any data centre is ready, by own probes or by views
        from peers.
    planned_data_centres : frozenset of DataCentre
        Data centres that have live nodes and therefore a planner.
    leaving_instances : frozenset of InstanceId
        Instances that the list shows as leaving; set by the planner.
    """

    wall_ms: int
    node: NodeId
    data_centre: DataCentre
    state: FoldedState
    fleet: tuple[ListedInstance, ...]
    presence: PresenceTable
    policy: PlannerPolicy
    new_id: Callable[[], str]
    is_ready: Callable[[Group], bool]
    planned_data_centres: frozenset[DataCentre]
    leaving_instances: frozenset[InstanceId] = frozenset()


class GroupProblem(Enum):
    """Problem of a group that determines what the planner does.

    The values are stored as reasons of records.

    Attributes
    ----------
    NONE
        No action is needed.
    CONFIGURED_AWAY
        The group is outdated or surplus under the configuration in force; it is retired.
    MEMBER_LEAVING
        A member is listed as leaving; the group is retired.
    MEMBER_LOST
        A member restarted or is absent for too long; the group is repaired or dissolved.
    WAITING
        A member is absent and may return; the group is repaired if a spare is free.
    NOT_LOADED
        The group was not ready within the load timeout; it is dissolved.
    """

    NONE = "none"
    CONFIGURED_AWAY = "configured-away"
    MEMBER_LEAVING = "member-leaving"
    MEMBER_LOST = "member-lost"
    WAITING = "waiting"
    NOT_LOADED = "not-loaded"


def deployment_groups(inputs: PlannerInput, deployment_id: DeploymentId) -> list[Group]:
    """Return all groups of a deployment, retiring ones included."""
    return [group for group in inputs.state.groups.values() if group.deployment == deployment_id]


def has_leaving_member(inputs: PlannerInput, group: Group) -> bool:
    """Return whether the list shows a member of a group as leaving."""
    return any(member.instance in inputs.leaving_instances for member in group.members)


def find_leaving_instances(fleet: Iterable[ListedInstance]) -> frozenset[InstanceId]:
    """Return the instances that the list shows as leaving."""
    return frozenset(listed.instance for listed in fleet if listed.state is ListedState.LEAVING)


def is_below_target(inputs: PlannerInput, deployment_id: DeploymentId) -> bool:
    """Whether this data centre has fewer formed groups than are configured."""
    deployment = inputs.state.config.document.deployments.get(deployment_id)
    if deployment is None:
        return False
    formed = [
        group
        for group in deployment_groups(inputs, deployment_id)
        if group.phase is GroupPhase.FORMED and group.data_centre == inputs.data_centre
    ]
    return len(formed) < deployment.groups.get(inputs.data_centre, 0)


def required_spec(deployment: DeploymentConfig) -> GroupSpec:
    """Return the model, version and adapters that members of a deployment must load."""
    return GroupSpec(
        deployment.model, deployment.version, tuple(sorted(deployment.adapters.items()))
    )
