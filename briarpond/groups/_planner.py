"""Decisions on forming, repairing, retiring and dissolving groups.

Any node may plan: if two planners propose records for the same instance, the fold
refuses the second. The planner's lease only avoids this wasted work.
"""

from collections import Counter
from collections.abc import Callable

from msgspec.structs import replace

from briarpond.ids import DeploymentId, GroupId, InstanceId, Position
from briarpond.journal import FoldedState, Group, GroupPhase

from ._inputs import (
    ABSENCE_GRACE_S,
    GroupProblem,
    PlannerInput,
    PlannerPolicy,
    Proposal,
    deployment_groups,
    find_leaving_instances,
    has_leaving_member,
    is_below_target,
)
from ._models import ReadinessCode
from ._pool import FreePool
from ._proposals import dissolve, form_missing_groups, repair, retire
from ._readiness import group_readiness
from ._rollout import plan_rollout

# Time in seconds after which a retiring group is ended even if requests are running.
RETIRE_TIMEOUT_S = 120.0


class GroupProposer:
    """Plans the groups of one data centre.

    Between rounds it keeps the times since which groups have been unready, had an absent
    member or been retiring. All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._unready_since: dict[tuple[GroupId, Position], float] = {}
        self._absent_since: dict[tuple[GroupId, Position], float] = {}
        self._retiring_since: dict[tuple[GroupId, Position], float] = {}
        self._released_at: dict[InstanceId, float] = {}
        self._previous_members: set[InstanceId] | None = None
        self._last_changes: dict[DeploymentId, tuple[frozenset, float]] = {}

    def plan(self, inputs: PlannerInput, now: float) -> list[Proposal]:
        """Return the records to submit to the log now."""
        # Computed once a round: searching the list for each group takes quadratic time.
        inputs = replace(inputs, leaving_instances=find_leaving_instances(inputs.fleet))
        groups = [
            group
            for group in inputs.state.groups.values()
            if group.data_centre == inputs.data_centre
        ]
        self._record_releases(inputs.state, groups, now)
        self._drop_ended_groups(groups)
        free = FreePool(inputs, self._settled_filter(inputs, now), now)
        rollouts = {
            deployment_id: plan_rollout(
                inputs, deployment_id, free, self._unchanged_s(inputs, deployment_id, now)
            )
            for deployment_id in {group.deployment for group in groups}
        }
        to_retire = {name for rollout in rollouts.values() for name in rollout.retire}
        proposals: list[Proposal] = []
        capacity: list[Group] = []
        for group in sorted(groups, key=lambda group: group.id):
            records, counts_as_capacity = self._plan_group(
                inputs, group, group.id in to_retire, free, now
            )
            proposals += records
            if counts_as_capacity:
                capacity.append(group)
        surge = Counter({name: rollout.surge for name, rollout in rollouts.items()})
        return proposals + form_missing_groups(inputs, capacity, surge, free)

    def _unchanged_s(self, inputs: PlannerInput, deployment_id: DeploymentId, now: float) -> float:
        """Return for how many seconds no group of a deployment was added, removed or changed."""
        group_states = frozenset(
            (group.id, group.generation, group.phase, inputs.is_ready(group))
            for group in deployment_groups(inputs, deployment_id)
        )
        last_change = self._last_changes.get(deployment_id)
        if last_change is None or last_change[0] != group_states:
            self._last_changes[deployment_id] = (group_states, now)
            return 0.0
        return now - last_change[1]

    def _plan_group(
        self, inputs: PlannerInput, group: Group, must_retire: bool, free: FreePool, now: float
    ) -> tuple[list[Proposal], bool]:
        """Decide on one group.

        Returns the records to submit, and whether the group counts towards the number
        of groups that the configuration requires.
        """
        if group.phase is GroupPhase.RETIRING:
            return self._finish_retiring(inputs, group, free, now)
        problem = self._diagnose(inputs, group, must_retire, now)
        match problem:
            case GroupProblem.CONFIGURED_AWAY | GroupProblem.MEMBER_LEAVING:
                return [retire(inputs, group, problem)], False
            case GroupProblem.WAITING:
                repaired = repair(inputs, group, free, now)
                return ([repaired] if repaired else []), True
            case GroupProblem.MEMBER_LOST:
                repaired = repair(inputs, group, free, now)
                if repaired is not None:
                    return [repaired], True
                return [dissolve(inputs, group, problem)], False
            case GroupProblem.NOT_LOADED:
                return [dissolve(inputs, group, problem)], False
        return [], True

    def _diagnose(
        self, inputs: PlannerInput, group: Group, must_retire: bool, now: float
    ) -> GroupProblem:
        """Return the most pressing problem of a formed group.

        Parameters
        ----------
        must_retire : bool
            Whether the roll-out requires that the group is retired now.
        """
        key = (group.id, group.generation)
        readiness = group_readiness(group, inputs.presence, now, inputs.policy.presence_ttl_s)
        if readiness.ready:
            self._unready_since.pop(key, None)
            self._absent_since.pop(key, None)
        else:
            self._unready_since.setdefault(key, now)
        if must_retire:
            return GroupProblem.CONFIGURED_AWAY
        if has_leaving_member(inputs, group):
            return GroupProblem.MEMBER_LEAVING
        if readiness.code is ReadinessCode.RESTARTED:
            return GroupProblem.MEMBER_LOST
        if readiness.code is ReadinessCode.ABSENT:
            since = self._absent_since.setdefault(key, now)
            return absence_problem(now - since, inputs.policy)
        unready_s = now - self._unready_since.get(key, now)
        return (
            GroupProblem.NOT_LOADED
            if unready_s > inputs.policy.load_timeout_s
            else GroupProblem.NONE
        )

    def _finish_retiring(
        self, inputs: PlannerInput, group: Group, free: FreePool, now: float
    ) -> tuple[list[Proposal], bool]:
        """End a drained group; form it again at once if the configuration requires it.

        A group is drained when its head reports no running requests, after the time
        within which every node has folded the record that retired it: before that,
        nodes may still send requests to it. Returns the same as `_plan_group`.
        """
        key = (group.id, group.generation)
        waited_s = now - self._retiring_since.setdefault(key, now)
        head = group.members[0].instance
        report = inputs.presence.recent_report(head, now, inputs.policy.presence_ttl_s)
        idle = report is None or report.in_flight == 0
        if not (idle and waited_s >= inputs.policy.order_settle_s) and waited_s < RETIRE_TIMEOUT_S:
            return [], False
        if is_below_target(inputs, group.deployment):
            rebuilt = repair(inputs, group, free, now)
            if rebuilt is not None:
                return [rebuilt], True
        return [dissolve(inputs, group, GroupProblem.NONE)], False

    def _record_releases(self, state: FoldedState, groups: list[Group], now: float) -> None:
        """Record when instances that were members of a group became free."""
        current_members = {member.instance for group in groups for member in group.members}
        if self._previous_members is None:
            # A new planner cannot tell when instances were released, so it assumes now.
            self._previous_members = set(state.changed_at)
        for instance in self._previous_members - current_members:
            self._released_at[instance] = now
        self._previous_members = current_members

    def _drop_ended_groups(self, groups: list[Group]) -> None:
        """Drop the times that are recorded for groups which no longer exist."""
        current = {(group.id, group.generation) for group in groups}
        for since in (self._unready_since, self._absent_since, self._retiring_since):
            for key in since.keys() - current:
                del since[key]

    def _settled_filter(self, inputs: PlannerInput, now: float) -> Callable[[InstanceId], bool]:
        """Return a function that checks that no old order to an instance is in transit."""
        order_settle_s = inputs.policy.order_settle_s
        self._released_at = {
            name: at for name, at in self._released_at.items() if now - at < order_settle_s
        }
        return lambda instance: instance not in self._released_at


def absence_problem(waited_s: float, policy: PlannerPolicy) -> GroupProblem:
    """Return the problem of a group with a member that is absent for `waited_s` seconds."""
    if waited_s < ABSENCE_GRACE_S:
        return GroupProblem.NONE
    if waited_s < policy.wait_for_return_s:
        return GroupProblem.WAITING
    return GroupProblem.MEMBER_LOST
