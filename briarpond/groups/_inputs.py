"""What a planning round looks at, and what it can decide."""

from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from briarpond.configuration import DeploymentConfig
from briarpond.ids import DataCentre, DeploymentId, InstanceId, NodeId
from briarpond.journal import (
    Group,
    GroupDissolve,
    GroupForm,
    GroupPhase,
    GroupRetire,
    GroupSpec,
    State,
)
from briarpond.ports import FleetInstance, InstanceState

from ._presence import PresenceTable

SUSPECT_S = 2.0
MAX_WAIT_FOR_RETURN_S = 20.0

Proposal = GroupForm | GroupRetire | GroupDissolve


class PlannerPolicy(msgspec.Struct, frozen=True):
    """Times in seconds, and the weight between the two measures of the users."""

    presence_ttl_s: float
    settle_s: float
    load_timeout_s: float
    downtime_weight: float

    @property
    def wait_for_return_s(self) -> float:
        """How long a group without a spare waits for an absent member."""
        return SUSPECT_S + MAX_WAIT_FOR_RETURN_S * self.downtime_weight


class PlannerInput(msgspec.Struct, frozen=True):
    """What one planning round looks at.

    Attributes
    ----------
    at_ms : int
        Wall-clock time for the audit trail.
    ready : callable
        Whether a group of any data centre is ready, by probes or peers' word.
    planned : frozenset of DataCentre
        Data centres that have live nodes to plan them.
    leaving : frozenset of InstanceId
        Instances that the list shows as leaving; the planner fills it in.
    """

    at_ms: int
    node: NodeId
    data_centre: DataCentre
    state: State
    fleet: tuple[FleetInstance, ...]
    presence: PresenceTable
    policy: PlannerPolicy
    new_id: Callable[[], str]
    ready: Callable[[Group], bool]
    planned: frozenset[DataCentre]
    leaving: frozenset[InstanceId] = frozenset()


class Trouble(Enum):
    """What is wrong with a group, as far as a planner must act."""

    NONE = "none"
    CONFIGURED_AWAY = "configured-away"
    MEMBER_LEAVING = "member-leaving"
    MEMBER_LOST = "member-lost"
    WAITING = "waiting"
    NOT_LOADED = "not-loaded"


def groups_of(given: PlannerInput, deployment_id: DeploymentId) -> list[Group]:
    """Return all groups of a deployment, retiring ones included."""
    return [group for group in given.state.groups.values() if group.deployment == deployment_id]


def has_leaving_member(given: PlannerInput, group: Group) -> bool:
    """Return whether the list shows a member of a group as leaving."""
    return any(member.instance in given.leaving for member in group.members)


def listed_leaving(fleet: Iterable[FleetInstance]) -> frozenset[InstanceId]:
    """Return the instances that the list shows as leaving."""
    return frozenset(row.instance for row in fleet if row.state is InstanceState.LEAVING)


def short(given: PlannerInput, deployment_id: DeploymentId) -> bool:
    """Whether this data centre has fewer formed groups than it wants."""
    deployment = given.state.config.document.deployments.get(deployment_id)
    if deployment is None:
        return False
    formed = [
        group
        for group in groups_of(given, deployment_id)
        if group.phase is GroupPhase.FORMED and group.data_centre == given.data_centre
    ]
    return len(formed) < deployment.groups.get(given.data_centre, 0)


def spec_of(deployment: DeploymentConfig) -> GroupSpec:
    """Return what each member of a deployment's groups must load."""
    return GroupSpec(
        deployment.model, deployment.version, tuple(sorted(deployment.adapters.items()))
    )
