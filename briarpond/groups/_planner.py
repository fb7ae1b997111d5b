"""Decisions on forming, repairing, retiring and dissolving groups.

Any node may plan. Proposals of two planners cannot both take effect on one
instance, because the fold refuses the second; a lease merely saves that work.
"""

from collections import Counter
from collections.abc import Callable

from msgspec.structs import replace

from briarpond.ids import DeploymentId, GroupId, InstanceId, Position
from briarpond.journal import Group, GroupPhase, State

from ._inputs import (
    SUSPECT_S,
    PlannerInput,
    PlannerPolicy,
    Proposal,
    Trouble,
    groups_of,
    has_leaving_member,
    listed_leaving,
    short,
)
from ._models import ReadinessCode
from ._pool import FreePool
from ._proposals import dissolve, fill, repair, retire
from ._readiness import group_readiness
from ._rollout import plan_rollout

RETIRE_LIMIT_S = 120.0


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
        # Once a round: looked up for each group it made rounds quadratic.
        given = replace(given, leaving=listed_leaving(given.fleet))
        groups = [
            group for group in given.state.groups.values() if group.data_centre == given.data_centre
        ]
        self._note_releases(given.state, groups, now)
        self._forget_ended(groups)
        free = FreePool(given, self._settled(given, now), now)
        rollouts = {
            deployment_id: plan_rollout(
                given, deployment_id, free, self._unchanged_s(given, deployment_id, now)
            )
            for deployment_id in {group.deployment for group in groups}
        }
        going = {name for rollout in rollouts.values() for name in rollout.retire}
        proposals: list[Proposal] = []
        kept: list[Group] = []
        for group in sorted(groups, key=lambda group: group.id):
            made, keeps = self._review(given, group, group.id in going, free, now)
            proposals += made
            if keeps:
                kept.append(group)
        surge = Counter({name: rollout.surge for name, rollout in rollouts.items()})
        return proposals + fill(given, kept, surge, free)

    def _unchanged_s(self, given: PlannerInput, deployment_id: DeploymentId, now: float) -> float:
        """Return for how long no group of a deployment has come, gone or changed."""
        picture = frozenset(
            (group.id, group.generation, group.phase, given.ready(group))
            for group in groups_of(given, deployment_id)
        )
        known = self._pictures.get(deployment_id)
        if known is None or known[0] != picture:
            self._pictures[deployment_id] = (picture, now)
            return 0.0
        return now - known[1]

    def _review(
        self, given: PlannerInput, group: Group, going: bool, free: FreePool, now: float
    ) -> tuple[list[Proposal], bool]:
        """Decide on one group; return proposals and whether it counts as capacity."""
        if group.phase is GroupPhase.RETIRING:
            return self._finish_retiring(given, group, free, now)
        trouble = self._diagnose(given, group, going, now)
        match trouble:
            case Trouble.CONFIGURED_AWAY | Trouble.MEMBER_LEAVING:
                return [retire(given, group, trouble)], False
            case Trouble.WAITING:
                repaired = repair(given, group, free, now)
                return ([repaired] if repaired else []), True
            case Trouble.MEMBER_LOST:
                repaired = repair(given, group, free, now)
                if repaired is not None:
                    return [repaired], True
                return [dissolve(given, group, trouble)], False
            case Trouble.NOT_LOADED:
                return [dissolve(given, group, trouble)], False
        return [], True

    def _diagnose(self, given: PlannerInput, group: Group, going: bool, now: float) -> Trouble:
        key = (group.id, group.generation)
        readiness = group_readiness(group, given.presence, now, given.policy.presence_ttl_s)
        if readiness.ready:
            self._unready_since.pop(key, None)
            self._absent_since.pop(key, None)
        else:
            self._unready_since.setdefault(key, now)
        if going:
            return Trouble.CONFIGURED_AWAY
        if has_leaving_member(given, group):
            return Trouble.MEMBER_LEAVING
        if readiness.code is ReadinessCode.RESTARTED:
            return Trouble.MEMBER_LOST
        if readiness.code is ReadinessCode.ABSENT:
            since = self._absent_since.setdefault(key, now)
            return absence(now - since, given.policy)
        unready = now - self._unready_since.get(key, now)
        return Trouble.NOT_LOADED if unready > given.policy.load_timeout_s else Trouble.NONE

    def _finish_retiring(
        self, given: PlannerInput, group: Group, free: FreePool, now: float
    ) -> tuple[list[Proposal], bool]:
        """End a group that is drained; rebuild it at once if one is still wanted."""
        key = (group.id, group.generation)
        waited = now - self._retired_since.setdefault(key, now)
        head = group.members[0].instance
        report = given.presence.fresh(head, now, given.policy.presence_ttl_s)
        idle = report is None or report.in_flight == 0
        # Every node must have folded the record before idle means drained.
        if not (idle and waited >= given.policy.settle_s) and waited < RETIRE_LIMIT_S:
            return [], False
        if short(given, group.deployment):
            rebuilt = repair(given, group, free, now)
            if rebuilt is not None:
                return [rebuilt], True
        return [dissolve(given, group, Trouble.NONE)], False

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


def absence(waited: float, policy: PlannerPolicy) -> Trouble:
    """Judge how long a member has been absent."""
    if waited < SUSPECT_S:
        return Trouble.NONE
    if waited < policy.wait_for_return_s:
        return Trouble.WAITING
    return Trouble.MEMBER_LOST
