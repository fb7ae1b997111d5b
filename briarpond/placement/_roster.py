"""What the planner knows of instances, and which of them are free."""

from collections import defaultdict
from collections.abc import Mapping

from briarpond.fleet import Instance, InstanceState, Membership, MemberState
from briarpond.ids import FabricDomain, GroupId, InstanceId
from briarpond.routes import EngineSpec, ModelName, ModelSpec

from ._models import PlannedGroup, Stage

REJOIN_S = 0.2
SHARE_IN_GROUPS = 0.8


class Roster:
    """Instances and groups of one service.

    Attributes
    ----------
    groups : dict
        Groups that the planner forms, keeps or dissolves.
    lost : dict
        Instances that do not answer, and since when.
    slow : set
        Instances that say they work slowly.
    last_model : dict
        Model of the last group that each instance joined.
    blocked_until : dict
        Instances that must not join another group before a time.
    has_left : dict
        Membership that each instance confirmed to have ended; kept only while the list
        still shows it.
    """

    def __init__(self, engine: EngineSpec) -> None:
        self.engine = engine
        self.groups: dict[GroupId, PlannedGroup] = {}
        self.instances: dict[InstanceId, Instance] = {}
        self.lost: dict[InstanceId, float] = {}
        self.slow: set[InstanceId] = set()
        self.last_model: dict[InstanceId, ModelName] = {}
        self.blocked_until: dict[InstanceId, float] = {}
        self.free_since: dict[InstanceId, float] = {}
        self.has_left: dict[InstanceId, tuple[GroupId, int]] = {}

    def usable(self, instance_id: InstanceId) -> bool:
        instance = self.instances.get(instance_id)
        return (
            instance is not None
            and instance.state is InstanceState.READY
            and instance_id not in self.lost
        )

    def free_by_domain(self, now: float) -> dict[FabricDomain, list[Instance]]:
        """Return the instances that may be told to join, by fabric domain."""
        taken = {
            member
            for group in self.groups.values()
            if group.stage is not Stage.PREPARING
            for member in group.members
            if member not in group.left
        }
        heads = {
            (each.membership.group, each.membership.epoch): each.membership.state
            for each in self.instances.values()
            if each.membership is not None and each.membership.rank == 0
        }
        free: dict[FabricDomain, list[Instance]] = defaultdict(list)
        for instance in self.instances.values():
            if instance.id in taken or not self.usable(instance.id):
                continue
            if now < self.blocked_until.get(instance.id, now) or instance.id in self.slow:
                continue
            if self._may_leave(instance, heads):
                self.blocked_until.pop(instance.id, None)
                free[instance.domain].append(instance)
        return free

    def note_free(self, free: Mapping[FabricDomain, list[Instance]], now: float) -> None:
        """Remember since when instances are idle."""
        ids = {row.id for rows in free.values() for row in rows}
        self.free_since = {each: self.free_since.get(each, now) for each in ids}

    def _may_leave(self, instance: Instance, heads: Mapping) -> bool:
        """Whether an instance is in no group, or in one that surely does not serve."""
        membership = instance.membership
        if membership is None or self._left_it(instance.id, membership):
            return True
        state = heads.get((membership.group, membership.epoch))
        return state is not None and state not in (MemberState.OPEN, MemberState.CLOSING)

    def notice_left(self, instance: Instance) -> None:
        """The list shows that an instance left: from here on it says where it is.

        An order to join that got no answer may still be carried out, and would bring
        it back into its old group.
        """
        left = self.has_left.get(instance.id)
        membership = instance.membership
        if membership is None or (membership.group, membership.epoch) != left:
            self.has_left.pop(instance.id, None)

    def _left_it(self, instance: InstanceId, membership: Membership) -> bool:
        return self.has_left.get(instance) == (membership.group, membership.epoch)

    def orphans(self) -> list[tuple[Instance, Membership]]:
        """Return the usable instances in groups whose head is not listed."""
        heads = {
            (row.membership.group, row.membership.epoch)
            for row in self.instances.values()
            if row.membership is not None and row.membership.rank == 0
        }
        return [
            (row, row.membership)
            for row in self.instances.values()
            if row.membership is not None
            and (row.membership.group, row.membership.epoch) not in heads
            and self.usable(row.id)
            and not self._left_it(row.id, row.membership)
        ]

    def join_s(self, instance: InstanceId, spec: ModelSpec) -> float:
        if self.last_model.get(instance) == spec.name:
            return REJOIN_S
        row = self.instances.get(instance)
        if row is not None and spec.name in row.staged:
            return spec.warm_s
        return spec.load_s + spec.warm_s

    def satisfaction(self, spec: ModelSpec, demand: Mapping[ModelName, float]) -> float:
        """Return groups that exist or come, against groups wanted."""
        count = sum(
            1
            for group in self.groups.values()
            if group.model == spec.name
            and group.stage in (Stage.JOINING, Stage.OPENING, Stage.OPEN)
        )
        return count / max(demand.get(spec.name, 0.0) or self._by_share(spec), 0.1)

    def _by_share(self, spec: ModelSpec) -> float:
        total = sum(model.share for model in self.engine.models) or 1.0
        servers = len(self.instances) * SHARE_IN_GROUPS * spec.share / total
        return servers / spec.size

    def preparing(self) -> dict[InstanceId, ModelName]:
        """Return the instances that load a model for later."""
        return {
            group.head: group.model
            for group in self.groups.values()
            if group.stage is Stage.PREPARING
        }

    def loading(self) -> int:
        """Return how many instances load from the weight store at present."""
        count = 0
        for group in self.groups.values():
            if group.stage not in (Stage.JOINING, Stage.PREPARING):
                continue
            for member in group.members:
                row = self.instances.get(member)
                if row is not None and member not in group.ready and group.model not in row.staged:
                    count += 1
        return count

    def grouped_in(self, domain: FabricDomain) -> Mapping[ModelName, int]:
        """Return how many members the groups of each model have in a domain."""
        members: dict[ModelName, int] = defaultdict(int)
        for group in self.groups.values():
            if group.stage not in (Stage.JOINING, Stage.OPENING, Stage.OPEN):
                continue
            head = self.instances.get(group.head)
            if head is not None and head.domain == domain:
                members[group.model] += len(group.members)
        return members
