"""Forms groups from free instances and stages models on spares."""

from collections import defaultdict
from collections.abc import Iterator, Mapping

from briarpond.fleet import Instance
from briarpond.ids import FabricDomain, GroupId, InstanceId
from briarpond.routes import ModelName, ModelSpec

from ._layout import GroupQuotas
from ._loads import LoadBudget
from ._models import SERVING_PREFIX, STAGING_PREFIX, GroupStage, PlannedGroup
from ._roster import Roster

# Epochs that one term of the planner's lease can hand out: an epoch is the term times
# this number plus the number of the group, so that a later term has higher epochs.
EPOCHS_PER_TERM = 1_000_000
# A join counts as failed after the factor times its expected duration plus the margin in
# seconds. The factor allows for loads that take longer while others run.
JOIN_TIMEOUT_MARGIN_S = 2.5
JOIN_TIMEOUT_FACTOR = 2.0
# Spares with a model loaded that a domain keeps back for repairs, once the model's supply
# has reached `SURPLUS_RATIO`.
MIN_SPARES_PER_MODEL = 1
# Idle instances that a domain keeps in addition to those that load another model.
MIN_IDLE_SPARES = 2
# Ratio of groups that exist to groups wanted below which spares of other models are
# loaded with the model.
DEMAND_MET_RATIO = 1.0
# Ratio from which a spare for repairs is worth more than one more group.
SURPLUS_RATIO = 1.3
# Time in seconds without a group after which a spare may load another model.
RESTAGE_IDLE_S = 2.0


def term_of_epoch(epoch: int) -> int:
    """Return the term under which a group got its epoch."""
    return epoch // EPOCHS_PER_TERM


class Formation:
    """Adds groups to the roster under increasing epochs.

    Parameters
    ----------
    roster : Roster
        Instances and groups of the service.
    load_budget : LoadBudget
        Limit on loads from the weight store.
    group_numbers : iterator of int
        Increasing numbers that no planner of this process has used before.
    term : int
        Term of the planner's lease at the start.

    Attributes
    ----------
    term : int
        Term of the planner's lease in force; the epochs of new groups are derived from it.
    quotas : mapping
        Number of groups of each model that each domain starts with; used until the first
        request arrives.
    new_model : ModelSpec or None
        Model that no instance has; its first group loads it.
    kept_domain : FabricDomain or None
        Domain whose free instances are kept for that group.
    """

    def __init__(
        self, roster: Roster, load_budget: LoadBudget, group_numbers: Iterator[int], term: int
    ) -> None:
        self.term = term
        self.quotas: GroupQuotas = {}
        self.new_model: ModelSpec | None = None
        self.kept_domain: FabricDomain | None = None
        self._roster = roster
        self._load_budget = load_budget
        self._group_numbers = group_numbers

    def form_groups_in(
        self,
        domain: FabricDomain,
        free: dict[FabricDomain, list[Instance]],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> None:
        """Form as many groups as possible in one domain, least supplied model first.

        Parameters
        ----------
        free : dict
            Free instances by domain; those that join a group are removed.
        demand : mapping
            Groups of each model that callers' requests would fill.
        """
        instances = free[domain]
        while True:
            specs = self._specs_for(domain, demand)
            if not any(self._form_group(spec, instances, demand, now) for spec in specs):
                return

    def _specs_for(
        self, domain: FabricDomain, demand: Mapping[ModelName, float]
    ) -> list[ModelSpec]:
        """Return the models that a domain may form groups of, the least supplied one first."""
        if self.new_model is not None and domain == self.kept_domain:
            is_forming = any(
                group.model == self.new_model.name for group in self._roster.groups.values()
            )
            return [] if is_forming else [self.new_model]
        models = self._roster.engine.models
        return sorted(models, key=lambda spec: self._roster.supply_ratio(spec, demand))

    def _form_group(
        self,
        spec: ModelSpec,
        instances: list[Instance],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> bool:
        """Form one group of instances that can join soon, if enough spares remain.

        Returns whether the group was formed; its members are removed from `instances`.
        """
        if not instances:
            return False
        candidates = [instance for instance in instances if self.can_join_soon(instance, spec)]
        surplus = self._roster.supply_ratio(spec, demand) >= SURPLUS_RATIO
        required_spares = MIN_SPARES_PER_MODEL if self._load_budget.enforced and surplus else 0
        if not self._load_budget.enforced and self._quota_is_met(instances[0].domain, spec):
            return False
        if len(candidates) < spec.group_size + required_spares:
            return False
        candidates.sort(
            key=lambda instance: (self._roster.expected_join_s(instance.id, spec), instance.id)
        )
        chosen = candidates[: spec.group_size]
        to_load = [
            instance
            for instance in chosen
            if self._roster.expected_join_s(instance.id, spec) >= spec.load_s
        ]
        if to_load and not self._load_budget.try_start(
            len(to_load), self._roster.loading_count(), now
        ):
            return False
        for instance in chosen:
            instances.remove(instance)
        self._add_group(spec, tuple(instance.id for instance in chosen), GroupStage.JOINING, now)
        return True

    def _quota_is_met(self, domain: FabricDomain, spec: ModelSpec) -> bool:
        """Whether a domain has its initial number of groups of a model."""
        wanted = self.quotas.get(domain, {}).get(spec.name, 0)
        return self._roster.members_per_model(domain)[spec.name] >= wanted * spec.group_size

    def can_join_soon(self, instance: Instance, spec: ModelSpec) -> bool:
        """Whether an instance can join a group of a model without a long load.

        Before the first request arrives, loads are quick, so any instance that is not
        staging a model can join.
        """
        if instance.id in self._roster.staging():
            return False
        return (
            not self._load_budget.enforced
            or spec == self.new_model
            or self._roster.expected_join_s(instance.id, spec) < spec.load_s
        )

    def stage_spares(
        self,
        free: dict[FabricDomain, list[Instance]],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> None:
        """Load the models that each domain lacks most onto its idle instances."""
        staging = self._roster.staging()
        for domain, instances in free.items():
            if self.new_model is not None and domain == self.kept_domain:
                continue
            spare_counts: dict[ModelName, int] = defaultdict(int)
            for instance in instances:
                model = staging.get(instance.id) or self._roster.last_model.get(instance.id)
                if model is not None:
                    spare_counts[model] += 1
            idle = [instance for instance in instances if instance.id not in staging]
            without_model = [
                instance for instance in idle if instance.id not in self._roster.last_model
            ]
            for index, instance in enumerate(without_model):
                spec = self._model_to_stage(
                    domain, spare_counts, len(without_model) - index, demand
                )
                self._stage_spare(instance, spec, spare_counts, now)
            if not without_model and not any(instance.id in staging for instance in instances):
                self._restage_idle(idle, spare_counts, demand, now)

    def _model_to_stage(
        self,
        domain: FabricDomain,
        spare_counts: Mapping[ModelName, int],
        remaining_count: int,
        demand: Mapping[ModelName, float],
    ) -> ModelSpec:
        """Return the model to load on an instance that has none loaded.

        A model in short supply is preferred, then one whose next group can be completed,
        then the one with the most group members per spare in the domain, since the next
        lost member most likely belongs to one of its groups.

        Parameters
        ----------
        spare_counts : mapping
            Number of spares of the domain that have or load each model.
        remaining_count : int
            Number of instances of the domain that still have no model, this one included.
        """
        members = self._planned_members(domain)

        def rank(spec: ModelSpec) -> tuple[bool, bool, float, int]:
            spare_count = spare_counts.get(spec.name, 0)
            missing = spec.group_size - spare_count % spec.group_size
            completes = spare_count % spec.group_size > 0 and missing <= remaining_count
            surplus = self._roster.supply_ratio(spec, demand) >= SURPLUS_RATIO
            members_per_spare = members[spec.name] / (1 + spare_count)
            return surplus, not completes, -members_per_spare, -spec.group_size

        return min(self._roster.engine.models, key=rank)

    def _planned_members(self, domain: FabricDomain) -> Mapping[ModelName, int]:
        """Return the number of group members by model in a domain.

        Until the first request arrives, the initial quotas count instead of the groups
        formed so far.
        """
        if self._load_budget.enforced:
            return self._roster.members_per_model(domain)
        quota = self.quotas.get(domain, {})
        members = defaultdict(int)
        for spec in self._roster.engine.models:
            members[spec.name] = quota.get(spec.name, 0) * spec.group_size
        return members

    def _stage_spare(
        self, instance: Instance, spec: ModelSpec, spare_counts: dict[ModelName, int], now: float
    ) -> bool:
        """Begin to stage a model on one spare, if the load budget allows the load that it needs.

        Returns whether staging has begun.
        """
        needs_load = spec.name not in instance.staged_models
        if needs_load and not self._load_budget.try_start(1, self._roster.loading_count(), now):
            return False
        spare_counts[spec.name] += 1
        self._add_group(spec, (instance.id,), GroupStage.STAGING, now)
        self._roster.last_model[instance.id] = spec.name
        return True

    def _restage_idle(
        self,
        idle: list[Instance],
        spare_counts: dict[ModelName, int],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> None:
        """Load a model onto spares of other models to complete one more group.

        Done for a model that lacks less than half of the group's members, or whose
        supply is below the demand. For a model without any group, and none of whose spares is
        being loaded in any domain, no idle spares are kept.
        """
        long_idle = [
            instance
            for instance in idle
            if now - self._roster.free_since.get(instance.id, now) > RESTAGE_IDLE_S
        ]

        staged_models = {
            group.model
            for group in self._roster.groups.values()
            if group.stage is GroupStage.STAGING
        }

        def worth_loading(spec: ModelSpec) -> bool:
            missing = spec.group_size - spare_counts[spec.name]
            nearly_complete = (
                0 < 2 * missing < spec.group_size and len(long_idle) >= spec.group_size
            )
            supply_ratio = self._roster.supply_ratio(spec, demand)
            # Spares of other models are worth less than the only group of a model.
            is_last_resort = supply_ratio == 0.0 and spec.name not in staged_models
            kept = 0 if is_last_resort else MIN_IDLE_SPARES
            return nearly_complete or (
                supply_ratio < DEMAND_MET_RATIO and len(long_idle) >= spec.group_size + kept
            )

        specs = [spec for spec in self._roster.engine.models if worth_loading(spec)]
        if not specs:
            return
        spec = min(specs, key=lambda each: each.group_size - spare_counts[each.name])
        others = [
            instance
            for instance in long_idle
            if self._roster.last_model.get(instance.id) != spec.name
        ]
        for instance in others[: max(0, spec.group_size - spare_counts[spec.name])]:
            self._stage_spare(instance, spec, spare_counts, now)

    def _add_group(
        self, spec: ModelSpec, members: tuple[InstanceId, ...], stage: GroupStage, now: float
    ) -> None:
        """Add a group to the roster under a new name and epoch."""
        number = next(self._group_numbers)
        prefix = STAGING_PREFIX if stage is GroupStage.STAGING else SERVING_PREFIX
        name = GroupId(f"{prefix}{self.term}-{number}")
        epoch = self.term * EPOCHS_PER_TERM + number
        slowest = max(self._roster.expected_join_s(member, spec) for member in members)
        self._roster.groups[name] = PlannedGroup(
            name,
            epoch,
            spec.name,
            members,
            stage,
            now,
            join_deadline=now + JOIN_TIMEOUT_FACTOR * slowest + JOIN_TIMEOUT_MARGIN_S,
            expected_join_s=slowest,
        )
