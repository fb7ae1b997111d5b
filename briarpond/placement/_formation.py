"""Which groups are formed from free instances, and what spares load."""

from collections import defaultdict
from collections.abc import Iterator, Mapping

from briarpond.fleet import Instance
from briarpond.ids import FabricDomain, GroupId, InstanceId
from briarpond.routes import ModelName, ModelSpec

from ._layout import Quotas
from ._loads import LoadBudget
from ._models import PlannedGroup, Stage
from ._roster import Roster

EPOCHS_PER_TERM = 1_000_000
# Extra time for a member to become ready, beyond what its join should take.
JOIN_PATIENCE_S = 2.5
# Loads take longer while others run.
LATE_FACTOR = 2.0
# Spares of a domain that know a model, once there are enough of its groups.
SPARES_PER_MODEL = 1
# Idle instances that a domain keeps beside those that load another model.
SPARES_KEPT = 2
ENOUGH = 1.0
# Beyond this, a spare for repairs is worth more than one more group.
AMPLE = 1.3
# Spares that found no group for so long may load another model.
IDLE_S = 2.0


class Formation:
    """Adds groups to the roster, under rising numbers.

    Parameters
    ----------
    numbers : iterator of int
        Rising numbers that no planner of this process has used before.

    Attributes
    ----------
    term : int
        Number of the planner's lease, with which epochs begin.
    quotas : mapping
        Groups of each model that each domain begins with, before callers come.
    """

    def __init__(
        self, roster: Roster, loads: LoadBudget, numbers: Iterator[int], term: int
    ) -> None:
        self.term = term
        self.quotas: Quotas = {}
        self._roster = roster
        self._loads = loads
        self._numbers = numbers

    def form_in(
        self,
        domain: FabricDomain,
        free: dict[FabricDomain, list[Instance]],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> None:
        rows = free[domain]
        while True:
            specs = sorted(
                self._roster.engine.models, key=lambda spec: self._roster.satisfaction(spec, demand)
            )
            if not any(self._form_one(spec, rows, demand, now) for spec in specs):
                return

    def _form_one(
        self,
        spec: ModelSpec,
        rows: list[Instance],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> bool:
        """Form one group of instances that can join soon, if enough spares stay."""
        if not rows:
            return False
        soon = [row for row in rows if self.joins_soon(row, spec)]
        ample = self._roster.satisfaction(spec, demand) >= AMPLE
        spares = SPARES_PER_MODEL if self._loads.counts and ample else 0
        if not self._loads.counts and self._quota_is_met(rows[0].domain, spec):
            return False
        if len(soon) < spec.size + spares:
            return False
        soon.sort(key=lambda row: (self._roster.join_s(row.id, spec), row.id))
        chosen = soon[: spec.size]
        to_load = [row for row in chosen if self._roster.join_s(row.id, spec) >= spec.load_s]
        if to_load and not self._loads.take(len(to_load), self._roster.loading(), now):
            return False
        for row in chosen:
            rows.remove(row)
        self._add(spec, tuple(row.id for row in chosen), Stage.JOINING, now)
        return True

    def _quota_is_met(self, domain: FabricDomain, spec: ModelSpec) -> bool:
        """Whether a domain has the groups of a model that it begins with."""
        wanted = self.quotas.get(domain, {}).get(spec.name, 0)
        return self._roster.grouped_in(domain)[spec.name] >= wanted * spec.size

    def joins_soon(self, row: Instance, spec: ModelSpec) -> bool:
        """Whether an instance joins without a load, or loads are still quick."""
        if row.id in self._roster.preparing():
            return False
        return not self._loads.counts or self._roster.join_s(row.id, spec) < spec.load_s

    def prepare(
        self,
        free: dict[FabricDomain, list[Instance]],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> None:
        """Let idle instances load the model that their domain lacks most."""
        preparing = self._roster.preparing()
        for domain, rows in free.items():
            have: dict[ModelName, int] = defaultdict(int)
            for row in rows:
                model = preparing.get(row.id) or self._roster.last_model.get(row.id)
                if model is not None:
                    have[model] += 1
            idle = [row for row in rows if row.id not in preparing]
            blank = [row for row in idle if row.id not in self._roster.last_model]
            for index, row in enumerate(blank):
                spec = self._model_lacked(domain, have, len(blank) - index, demand)
                self._prepare_one(row, spec, have, now)
            if not blank and not any(row.id in preparing for row in rows):
                self._convert(idle, have, demand, now)

    def _model_lacked(
        self,
        domain: FabricDomain,
        have: Mapping[ModelName, int],
        blank: int,
        demand: Mapping[ModelName, float],
    ) -> ModelSpec:
        """Return the model for an instance that knows none.

        First one that callers lack, then one whose next group can be completed, then
        the one that has most members for each spare in the domain: there a loss is
        most likely to need it.
        """
        members = self._members_in(domain)

        def lack(spec: ModelSpec) -> tuple[bool, bool, float, int]:
            have_now = have.get(spec.name, 0)
            missing = spec.size - have_now % spec.size
            completes = have_now % spec.size > 0 and missing <= blank
            ample = self._roster.satisfaction(spec, demand) >= AMPLE
            exposed = members[spec.name] / (1 + have_now)
            return ample, not completes, -exposed, -spec.size

        return min(self._roster.engine.models, key=lack)

    def _members_in(self, domain: FabricDomain) -> Mapping[ModelName, int]:
        """Return how many members the groups of each model have or will have in a domain."""
        if self._loads.counts:
            return self._roster.grouped_in(domain)
        quota = self.quotas.get(domain, {})
        members = defaultdict(int)
        for spec in self._roster.engine.models:
            members[spec.name] = quota.get(spec.name, 0) * spec.size
        return members

    def _prepare_one(
        self, row: Instance, spec: ModelSpec, have: dict[ModelName, int], now: float
    ) -> bool:
        needs_load = spec.name not in row.staged
        if needs_load and not self._loads.take(1, self._roster.loading(), now):
            return False
        have[spec.name] += 1
        self._add(spec, (row.id,), Stage.PREPARING, now)
        self._roster.last_model[row.id] = spec.name
        return True

    def _convert(
        self,
        idle: list[Instance],
        have: dict[ModelName, int],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> None:
        """Let spares of other models complete a group that lacks little, or is wanted more."""
        waiting = [row for row in idle if now - self._roster.free_since.get(row.id, now) > IDLE_S]

        def worth_loading(spec: ModelSpec) -> bool:
            missing = spec.size - have[spec.name]
            nearly = 0 < 2 * missing < spec.size and len(waiting) >= spec.size
            wanted = self._roster.satisfaction(spec, demand) < ENOUGH
            return nearly or (wanted and len(waiting) >= spec.size + SPARES_KEPT)

        specs = [spec for spec in self._roster.engine.models if worth_loading(spec)]
        if not specs:
            return
        spec = min(specs, key=lambda each: each.size - have[each.name])
        others = [row for row in waiting if self._roster.last_model.get(row.id) != spec.name]
        for row in others[: max(0, spec.size - have[spec.name])]:
            self._prepare_one(row, spec, have, now)

    def _add(
        self, spec: ModelSpec, members: tuple[InstanceId, ...], stage: Stage, now: float
    ) -> None:
        number = next(self._numbers)
        name = GroupId(f"g{self.term}-{number}")
        epoch = self.term * EPOCHS_PER_TERM + number
        slowest = max(self._roster.join_s(member, spec) for member in members)
        self._roster.groups[name] = PlannedGroup(
            name,
            epoch,
            spec.name,
            members,
            stage,
            now,
            late_at=now + LATE_FACTOR * slowest + JOIN_PATIENCE_S,
            join_s=slowest,
        )
