"""Decisions on forming, repairing, retiring and dissolving groups.

Any node may plan. Proposals of two planners cannot both take effect on one
instance, because the fold refuses the second; a lease merely saves that work.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from enum import Enum

import msgspec

from briarpond.configuration import DeploymentConfig
from briarpond.ids import (
    DataCentre,
    DeploymentId,
    FabricDomain,
    GroupId,
    InstanceId,
    NodeId,
    Position,
    RecordId,
)
from briarpond.journal import (
    Group,
    GroupDissolve,
    GroupForm,
    GroupPhase,
    GroupRetire,
    GroupSpec,
    Member,
    State,
)
from briarpond.platform import FleetInstance, InstanceState

from ._models import ReadinessCode
from ._presence import PresenceTable
from ._readiness import group_readiness

SUSPECT_S = 2.0
MAX_WAIT_FOR_RETURN_S = 20.0
RETIRE_LIMIT_S = 120.0
PATIENCE_S = 30.0

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


class _Trouble(Enum):
    NONE = "none"
    CONFIGURED_AWAY = "configured-away"
    MEMBER_LEAVING = "member-leaving"
    MEMBER_LOST = "member-lost"
    WAITING = "waiting"
    NOT_LOADED = "not-loaded"


class Planner:
    """Planning for one data centre; remembers since when things have been so."""

    def __init__(self) -> None:
        self._unready_since: dict[tuple[GroupId, Position], float] = {}
        self._absent_since: dict[tuple[GroupId, Position], float] = {}
        self._retired_since: dict[tuple[GroupId, Position], float] = {}
        self._released_at: dict[InstanceId, float] = {}
        self._held_before: set[InstanceId] | None = None
        self._pictures: dict[DeploymentId, tuple[frozenset, float]] = {}

    def plan(self, given: PlannerInput, now: float) -> list[Proposal]:
        """Return the records to submit now."""
        groups = [
            group for group in given.state.groups.values() if group.data_centre == given.data_centre
        ]
        self._note_releases(given.state, groups, now)
        self._forget_ended(groups)
        free = _FreePool(given, self._settled(given, now), now)
        rollouts = {
            deployment_id: plan_rollout(
                given, deployment_id, free, self._unchanged_s(given, deployment_id, now)
            )
            for deployment_id in {group.deployment for group in groups}
        }
        retire = {name for rollout in rollouts.values() for name in rollout.retire}
        proposals: list[Proposal] = []
        kept: list[Group] = []
        for group in sorted(groups, key=lambda group: group.id):
            made, keeps = self._review(given, group, group.id in retire, free, now)
            proposals += made
            if keeps:
                kept.append(group)
        surge = Counter({name: rollout.surge for name, rollout in rollouts.items()})
        return proposals + _fill(given, kept, surge, free)

    def _unchanged_s(self, given: PlannerInput, deployment_id: DeploymentId, now: float) -> float:
        """Return for how long no group of a deployment has come, gone or changed."""
        picture = frozenset(
            (group.id, group.generation, group.phase, given.ready(group))
            for group in _groups_of(given, deployment_id)
        )
        known = self._pictures.get(deployment_id)
        if known is None or known[0] != picture:
            self._pictures[deployment_id] = (picture, now)
            return 0.0
        return now - known[1]

    def _review(
        self, given: PlannerInput, group: Group, retire: bool, free: "_FreePool", now: float
    ) -> tuple[list[Proposal], bool]:
        """Decide on one group; return proposals and whether it counts as capacity."""
        if group.phase is GroupPhase.RETIRING:
            return self._finish_retiring(given, group, now), False
        trouble = self._diagnose(given, group, retire, now)
        match trouble:
            case _Trouble.CONFIGURED_AWAY | _Trouble.MEMBER_LEAVING:
                return [_retire(given, group, trouble)], False
            case _Trouble.WAITING:
                repair = _repair(given, group, free, now)
                return ([repair] if repair else []), True
            case _Trouble.MEMBER_LOST:
                repair = _repair(given, group, free, now)
                if repair is not None:
                    return [repair], True
                return [_dissolve(given, group, trouble)], False
            case _Trouble.NOT_LOADED:
                return [_dissolve(given, group, trouble)], False
        return [], True

    def _diagnose(self, given: PlannerInput, group: Group, retire: bool, now: float) -> _Trouble:
        key = (group.id, group.generation)
        readiness = group_readiness(group, given.presence, now, given.policy.presence_ttl_s)
        if readiness.ready:
            self._unready_since.pop(key, None)
            self._absent_since.pop(key, None)
        else:
            self._unready_since.setdefault(key, now)
        if retire:
            return _Trouble.CONFIGURED_AWAY
        if _has_leaving_member(given, group):
            return _Trouble.MEMBER_LEAVING
        if readiness.code is ReadinessCode.RESTARTED:
            return _Trouble.MEMBER_LOST
        if readiness.code is ReadinessCode.ABSENT:
            since = self._absent_since.setdefault(key, now)
            return _absence(now - since, given.policy)
        unready = now - self._unready_since.get(key, now)
        return _Trouble.NOT_LOADED if unready > given.policy.load_timeout_s else _Trouble.NONE

    def _finish_retiring(self, given: PlannerInput, group: Group, now: float) -> list[Proposal]:
        key = (group.id, group.generation)
        since = self._retired_since.setdefault(key, now)
        waited = now - since
        head = group.members[0].instance
        report = given.presence.fresh(head, now, given.policy.presence_ttl_s)
        idle = report is None or report.in_flight == 0
        # Every node must have folded the record before idle means drained.
        if (idle and waited >= given.policy.settle_s) or waited >= RETIRE_LIMIT_S:
            return [_dissolve(given, group, _Trouble.NONE)]
        return []

    def _note_releases(self, state: State, groups: list[Group], now: float) -> None:
        held = {member.instance for group in groups for member in group.members}
        if self._held_before is None:
            # A new planner cannot know when an instance was released: assume just now.
            self._held_before = set(state.changed_at)
        for instance in self._held_before - held:
            self._released_at[instance] = now
        self._held_before = held

    def _forget_ended(self, groups: list[Group]) -> None:
        current = {(group.id, group.generation) for group in groups}
        for since in (self._unready_since, self._absent_since, self._retired_since):
            for key in since.keys() - current:
                del since[key]

    def _settled(self, given: PlannerInput, now: float) -> Callable[[InstanceId], bool]:
        """Whether no old order to an instance can still be under way."""
        settle_s = given.policy.settle_s
        self._released_at = {
            name: at for name, at in self._released_at.items() if now - at < settle_s
        }
        return lambda instance: instance not in self._released_at


class _FreePool:
    """Instances that could join a group now, by service and fabric domain."""

    def __init__(
        self, given: PlannerInput, settled: Callable[[InstanceId], bool], now: float
    ) -> None:
        self._by_place: dict[tuple[str, FabricDomain], list[Member]] = defaultdict(list)
        for row in sorted(given.fleet, key=lambda row: row.instance):
            if row.data_centre != given.data_centre or row.state is not InstanceState.LIVE:
                continue
            if row.instance in given.state.member_of or not settled(row.instance):
                continue
            report = given.presence.fresh(row.instance, now, given.policy.presence_ttl_s)
            if report is not None:
                member = Member(row.instance, report.incarnation, row.address)
                self._by_place[row.service, row.domain].append(member)

    def domains(self, service: str) -> dict[FabricDomain, int]:
        """Return how many instances each domain has free for `service`."""
        return {
            domain: len(members)
            for (name, domain), members in self._by_place.items()
            if name == service and members
        }

    def take(self, service: str, domain: FabricDomain, count: int) -> list[Member]:
        """Remove and return `count` instances."""
        members = self._by_place[service, domain]
        taken, self._by_place[service, domain] = members[:count], members[count:]
        return taken


def _absence(waited: float, policy: PlannerPolicy) -> _Trouble:
    if waited < SUSPECT_S:
        return _Trouble.NONE
    if waited < policy.wait_for_return_s:
        return _Trouble.WAITING
    return _Trouble.MEMBER_LOST


def _spec_of(deployment: DeploymentConfig) -> GroupSpec:
    return GroupSpec(
        deployment.model, deployment.version, tuple(sorted(deployment.adapters.items()))
    )


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
    given: PlannerInput, deployment_id: DeploymentId, free: _FreePool, unchanged_s: float
) -> Rollout:
    """Replace outdated groups one at a time over all data centres.

    The next group is the same on every node: the first by data centre and name.
    It goes only while all groups wanted are there and ready, and where there is
    room, its replacement is formed and ready first. Where instances are short
    for good, nothing changes for `PATIENCE_S` seconds, and the roll-out goes on.
    """
    deployment = given.state.config.document.deployments.get(deployment_id)
    formed = [
        group for group in _groups_of(given, deployment_id) if group.phase is GroupPhase.FORMED
    ]
    here = [group for group in formed if group.data_centre == given.data_centre]
    if deployment is None:
        return Rollout(frozenset(group.id for group in here))
    outdated = {group.id for group in formed if not _up_to_date(group, deployment)}
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
    groups = _groups_of(given, deployment_id)
    if len(groups) < sum(wanted.get(each, 0) for each in given.planned):
        return False
    return all(
        group.phase is GroupPhase.FORMED and (group.id in outdated or given.ready(group))
        for group in groups
        if group.id != following.id
    )


def _groups_of(given: PlannerInput, deployment_id: DeploymentId) -> list[Group]:
    return [group for group in given.state.groups.values() if group.deployment == deployment_id]


def _up_to_date(group: Group, deployment: DeploymentConfig) -> bool:
    return group.spec == _spec_of(deployment) and len(group.members) == deployment.group_size


def _has_leaving_member(given: PlannerInput, group: Group) -> bool:
    members = {member.instance for member in group.members}
    return any(
        row.instance in members and row.state is InstanceState.LEAVING for row in given.fleet
    )


def _fill(
    given: PlannerInput, kept: list[Group], surge: Counter, free: _FreePool
) -> list[Proposal]:
    """Form what is short, as far as fabric domains have room."""
    have = Counter(group.deployment for group in kept)
    proposals: list[Proposal] = []
    for deployment_id, deployment in sorted(given.state.config.document.deployments.items()):
        wanted = deployment.groups.get(given.data_centre, 0) + surge[DeploymentId(deployment_id)]
        short = wanted - have[DeploymentId(deployment_id)]
        for _ in range(short):
            domain = _choose_domain(free.domains(deployment.service), deployment, given.policy)
            if domain is None:
                break
            members = free.take(deployment.service, domain, deployment.group_size)
            proposals.append(_form(given, DeploymentId(deployment_id), deployment, domain, members))
    return proposals


def _choose_domain(
    free: dict[FabricDomain, int], deployment: DeploymentConfig, policy: PlannerPolicy
) -> FabricDomain | None:
    """Choose a domain with room.

    Where downtime weighs more, the emptiest domain leaves spares beside the
    group; where stranded accelerators weigh more, the fullest one leaves the
    fewest instances that cannot form a group.
    """
    room = {domain: count for domain, count in free.items() if count >= deployment.group_size}
    if not room:
        return None
    if policy.downtime_weight >= 0.5:
        return min(room, key=lambda domain: (-room[domain], domain))
    return min(room, key=lambda domain: (room[domain], domain))


def _form(
    given: PlannerInput,
    deployment_id: DeploymentId,
    deployment: DeploymentConfig,
    domain: FabricDomain,
    members: list[Member],
) -> GroupForm:
    suffix = given.new_id()
    return GroupForm(
        RecordId(f"form-{suffix}"),
        given.at_ms,
        given.node,
        GroupId(f"{deployment_id}-{suffix}"),
        deployment_id,
        given.data_centre,
        domain,
        _spec_of(deployment),
        tuple(members),
        given.state.position,
    )


def _repair(given: PlannerInput, group: Group, free: _FreePool, now: float) -> GroupForm | None:
    """Replace lost members by free instances of the same domain."""
    deployment = given.state.config.document.deployments.get(group.deployment)
    if deployment is None:
        return None
    ttl_s = given.policy.presence_ttl_s
    members: list[Member] = []
    for member in group.members:
        report = given.presence.fresh(member.instance, now, ttl_s)
        if report is not None:
            members.append(Member(member.instance, report.incarnation, member.address))
    missing = len(group.members) - len(members)
    if free.domains(deployment.service).get(group.domain, 0) < missing:
        return None
    members += free.take(deployment.service, group.domain, missing)
    suffix = given.new_id()
    return GroupForm(
        RecordId(f"form-{suffix}"),
        given.at_ms,
        given.node,
        GroupId(f"{group.deployment}-{suffix}"),
        group.deployment,
        group.data_centre,
        group.domain,
        group.spec,
        tuple(members),
        given.state.position,
        group.id,
    )


def _retire(given: PlannerInput, group: Group, trouble: _Trouble) -> GroupRetire:
    record_id = RecordId(f"retire-{given.new_id()}")
    return GroupRetire(
        record_id, given.at_ms, given.node, group.id, group.generation, trouble.value
    )


def _dissolve(given: PlannerInput, group: Group, trouble: _Trouble) -> GroupDissolve:
    reason = "retired" if trouble is _Trouble.NONE else trouble.value
    record_id = RecordId(f"dissolve-{given.new_id()}")
    return GroupDissolve(record_id, given.at_ms, given.node, group.id, group.generation, reason)
