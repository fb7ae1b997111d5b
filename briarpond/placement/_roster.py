"""State of the instances and groups of one service, as the planner sees them."""

from collections import defaultdict
from collections.abc import Mapping

from briarpond.fleet import Instance, InstanceState, Membership, MemberState
from briarpond.ids import DataCentre, FabricDomain, GroupId, InstanceId
from briarpond.net import Address
from briarpond.routes import EngineSpec, ModelName, ModelSpec

from ._models import GroupStage, PlannedGroup

# Time for an instance to join a group of the model that it has loaded, in seconds.
REJOIN_S = 0.2
# Share of the instances that groups use while the demand is unknown; the rest are spares.
GROUPED_SHARE = 0.8


class Roster:
    """Listed instances and planned groups of one service.

    All times are monotonic, in seconds.

    Parameters
    ----------
    engine : EngineSpec
        Models of the service and the speed of its engines.
    has_predecessor : bool
        Whether an earlier planner may have formed groups that the list does not show yet.

    Attributes
    ----------
    engine : EngineSpec
        The same, as the configuration in force has it.
    groups : dict
        Groups that the planner forms, keeps or dissolves.
    instances : dict
        Instances that the platform lists.
    lost : dict
        Instances that do not answer, with the time at which this was found.
    slow : set of InstanceId
        Instances that report reduced speed; they join no group.
    last_model : dict
        Model of the last group that each instance joined, which it still has loaded.
    blocked_until : dict
        Time before which an instance joins no other group.
    free_since : dict
        Time since which each free instance has been free.
    confirmed_leaves : dict
        Group and epoch that each instance has confirmed leaving; kept only while the
        list, which lags behind, still shows this membership.
    released_at : dict
        When each group and epoch was released, since the list may show it for longer.
    addresses : dict
        Addresses of the listed instances, and of members of groups whose entry is gone.
    verified : set of InstanceId
        Instances whose membership this planner knows from themselves. Entries of others may
        be older than the last orders of an earlier planner.
    unverified : set of InstanceId
        Instances that could join a group if they were verified.
    evacuated : frozenset of DataCentre
        Data centres whose servers get no requests, so that groups there are no supply.
    """

    def __init__(self, engine: EngineSpec, has_predecessor: bool = True) -> None:
        self.engine = engine
        self._has_predecessor = has_predecessor
        self.groups: dict[GroupId, PlannedGroup] = {}
        self.instances: dict[InstanceId, Instance] = {}
        self.lost: dict[InstanceId, float] = {}
        self.slow: set[InstanceId] = set()
        self.last_model: dict[InstanceId, ModelName] = {}
        self.blocked_until: dict[InstanceId, float] = {}
        self.free_since: dict[InstanceId, float] = {}
        self.confirmed_leaves: dict[InstanceId, tuple[GroupId, int]] = {}
        self.released_at: dict[tuple[GroupId, int], float] = {}
        self.addresses: dict[InstanceId, Address] = {}
        self.verified: set[InstanceId] = set()
        self.unverified: set[InstanceId] = set()
        self.evacuated: frozenset[DataCentre] = frozenset()

    def record_addresses(self) -> None:
        """Update the addresses of the listed instances and drop those that nothing needs."""
        members = {member for group in self.groups.values() for member in group.members}
        kept = {each: self.addresses[each] for each in members if each in self.addresses}
        listed = {instance.id: instance.address for instance in self.instances.values()}
        self.addresses = kept | listed

    def apply_report(self, instance_id: InstanceId, membership: Membership | None) -> None:
        """Trust the entry of an instance if its own report shows no other membership."""
        instance = self.instances.get(instance_id)
        listed = None if instance is None else instance.membership
        if membership is None or _same_group(listed, membership):
            self.verified.add(instance_id)

    def forget_report(self, instance_id: InstanceId) -> None:
        """Discard what an instance has reported, since it has restarted."""
        self.verified.discard(instance_id)

    def usable(self, instance_id: InstanceId) -> bool:
        """Whether an instance is listed, answers and is not draining."""
        instance = self.instances.get(instance_id)
        return (
            instance is not None
            and instance.state is InstanceState.READY
            and instance_id not in self.lost
        )

    def fits(self, group: PlannedGroup) -> bool:
        """Whether a group has the size that the engine in force asks of its model's groups.

        One that only stages a model fits as long as the service hosts the model.
        """
        spec = self.engine.model(group.model)
        if spec is None or group.stage is GroupStage.STAGING:
            return spec is not None
        return len(group.members) == spec.group_size

    def is_evacuated(self, group: PlannedGroup) -> bool:
        """Whether the data centre of a group, in which all its members are, is evacuated."""
        members = [self.instances.get(member) for member in group.members]
        return any(each is not None and each.data_centre in self.evacuated for each in members)

    def free_by_domain(self, now: float) -> dict[FabricDomain, list[Instance]]:
        """Return the instances that may be ordered to join a group, by fabric domain.

        Those that are staging a model are included, those of evacuated data centres are not. The
        others that could join but for their membership, which only the list tells, become
        `unverified`.
        """
        self.unverified = set()
        taken = {
            member
            for group in self.groups.values()
            if group.stage is not GroupStage.STAGING
            for member in group.members
            if member not in group.left_members
        }
        head_states = {
            (each.membership.group, each.membership.epoch): each.membership.state
            for each in self.instances.values()
            if each.membership is not None and each.membership.rank == 0
        }
        free: dict[FabricDomain, list[Instance]] = defaultdict(list)
        for instance in self.instances.values():
            if instance.id in taken or not self.usable(instance.id):
                continue
            if instance.data_centre in self.evacuated:
                continue
            if now < self.blocked_until.get(instance.id, now) or instance.id in self.slow:
                continue
            if not self._can_join_another_group(instance, head_states):
                continue
            if self._has_predecessor and instance.id not in self.verified:
                self.unverified.add(instance.id)
            else:
                self.blocked_until.pop(instance.id, None)
                free[instance.domain].append(instance)
        return free

    def record_free_instances(
        self, free: Mapping[FabricDomain, list[Instance]], now: float
    ) -> None:
        """Update the time since which each free instance has been free."""
        ids = {instance.id for in_domain in free.values() for instance in in_domain}
        self.free_since = {each: self.free_since.get(each, now) for each in ids}

    def _can_join_another_group(self, instance: Instance, head_states: Mapping) -> bool:
        """Whether an instance is in no group, or in one whose head is known not to serve.

        A group whose head is not listed may still serve, so its members stay in it
        until they confirm that they have left.

        Parameters
        ----------
        head_states : mapping
            State of each listed head by group and epoch.
        """
        membership = instance.membership
        if membership is None or self._has_confirmed_leave(instance.id, membership):
            return True
        state = head_states.get((membership.group, membership.epoch))
        return state is not None and state not in (MemberState.OPEN, MemberState.CLOSING)

    def discard_outdated_leave(self, instance: Instance) -> None:
        """Drop a confirmed leave once the list shows that the instance left.

        From then on only the list counts: an order to join that got no answer may still
        be carried out late and return the instance to its old group, and an outdated
        confirmation would hide that.
        """
        confirmed = self.confirmed_leaves.get(instance.id)
        membership = instance.membership
        if membership is None or (membership.group, membership.epoch) != confirmed:
            self.confirmed_leaves.pop(instance.id, None)

    def _has_confirmed_leave(self, instance_id: InstanceId, membership: Membership) -> bool:
        return self.confirmed_leaves.get(instance_id) == (membership.group, membership.epoch)

    def orphans(self) -> list[tuple[Instance, Membership]]:
        """Return the usable instances in groups whose head is not listed."""
        groups_with_head = {
            (instance.membership.group, instance.membership.epoch)
            for instance in self.instances.values()
            if instance.membership is not None and instance.membership.rank == 0
        }
        return [
            (instance, instance.membership)
            for instance in self.instances.values()
            if instance.membership is not None
            and (instance.membership.group, instance.membership.epoch) not in groups_with_head
            and self.usable(instance.id)
            and not self._has_confirmed_leave(instance.id, instance.membership)
        ]

    def expected_join_s(self, instance_id: InstanceId, spec: ModelSpec) -> float:
        """Return the expected time to join a group of a model, in seconds.

        It depends on whether the instance has the model loaded, has only its weights
        on the host, or must load them from the weight store.
        """
        if self.last_model.get(instance_id) == spec.name:
            return REJOIN_S
        instance = self.instances.get(instance_id)
        if instance is not None and spec.name in instance.staged_models:
            return spec.warm_join_s
        return spec.load_s + spec.warm_join_s

    def supply_ratio(self, spec: ModelSpec, demand: Mapping[ModelName, float]) -> float:
        """Return the ratio of open and forming groups of a model to groups wanted.

        Groups in evacuated data centres do not count.

        Parameters
        ----------
        demand : mapping
            Groups wanted of each model. For a model without an entry, the number
            follows from its share of the service's instances.
        """
        count = sum(
            1
            for group in self.groups.values()
            if group.model == spec.name
            and group.stage in (GroupStage.JOINING, GroupStage.OPENING, GroupStage.OPEN)
            and not self.is_evacuated(group)
        )
        return count / max(demand.get(spec.name, 0.0) or self._groups_by_share(spec), 0.1)

    def _groups_by_share(self, spec: ModelSpec) -> float:
        """Return the number of groups that the configured share of a model amounts to."""
        total = sum(model.expected_share for model in self.engine.models) or 1.0
        grouped_instances = len(self.instances) * GROUPED_SHARE * spec.expected_share / total
        return grouped_instances / spec.group_size

    def staging(self) -> dict[InstanceId, ModelName]:
        """Return the spares on which a model is being staged, with the model."""
        return {
            group.head: group.model
            for group in self.groups.values()
            if group.stage is GroupStage.STAGING
        }

    def loading_count(self) -> int:
        """Return how many instances are loading from the weight store."""
        count = 0
        for group in self.groups.values():
            if group.stage not in (GroupStage.JOINING, GroupStage.STAGING):
                continue
            for member in group.members:
                instance = self.instances.get(member)
                if (
                    instance is not None
                    and member not in group.ready_members
                    and group.model not in instance.staged_models
                ):
                    count += 1
        return count

    def members_per_model(self, domain: FabricDomain) -> Mapping[ModelName, int]:
        """Return the number of members of open and forming groups by model in a domain."""
        members: dict[ModelName, int] = defaultdict(int)
        for group in self.groups.values():
            if group.stage not in (GroupStage.JOINING, GroupStage.OPENING, GroupStage.OPEN):
                continue
            head = self.instances.get(group.head)
            if head is not None and head.domain == domain:
                members[group.model] += len(group.members)
        return members


def _same_group(listed: Membership | None, reported: Membership | None) -> bool:
    """Whether two memberships are of the same group and epoch."""
    if listed is None or reported is None:
        return listed is reported
    return (listed.group, listed.epoch) == (reported.group, reported.epoch)
