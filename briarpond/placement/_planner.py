"""The planner: forms, opens and dissolves groups by orders to instances.

Two rules keep a group whole whatever order is lost, late or repeated:

- a head is told to open only after every member was seen ready under the
  group's name, epoch and member list, and only for groups of this term;
- an instance is told to join another group only when the head of its old one is
  known not to serve, or can no longer do so.

Epochs start with the term of the planner's lease, so that instances reject what
an earlier planner still has under way.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping

from briarpond.fleet import Group, Instance, InstanceState, MemberState, groups_of
from briarpond.ids import FabricDomain, GroupId, InstanceId
from briarpond.routes import EngineSpec, ModelName, ModelSpec

from ._loads import LoadBudget
from ._models import Order, OrderKind, PlannedGroup, Stage

EPOCHS_PER_TERM = 1_000_000
REJOIN_S = 0.2
RESEND_S = 0.5
# Extra time for a member to become ready, beyond what its join should take.
JOIN_PATIENCE_S = 2.5
# Loads take longer while others run.
LATE_FACTOR = 2.0
# The list shows a change this much later at the most.
RELEASED_S = 2.0
# An accepted join is asked for again only this long after it should be done.
JOIN_OVERDUE_S = 1.0
# Orders that an instance left unanswered may be carried out this much later.
LATE_ORDER_S = 12.0
STALL_MARGIN_S = 0.4
SHARE_IN_GROUPS = 0.8
# Spares of a domain that know a model, once there are enough of its groups.
SPARES_PER_MODEL = 1
# Instances of a domain that are kept as spares while the first groups are formed.
SPARES_AT_START = 2
ENOUGH = 1.0
# Beyond this, a spare for repairs is worth more than one more group.
AMPLE = 1.3
# Spares that found no group for so long may load another model.
IDLE_S = 2.0


class Planner:
    """Groups of one service under one term of the lease.

    Parameters
    ----------
    term : int
        Number of the lease; higher than that of any earlier planner.
    stall_s : float
        How long a group that lost a member may stand still before it breaks.
    numbers : iterator of int
        Rising numbers that no planner of this process has used before.
    """

    def __init__(
        self,
        term: int,
        engine: EngineSpec,
        loads: LoadBudget,
        stall_s: float,
        numbers: Iterator[int],
    ) -> None:
        self.term = term
        self.groups: dict[GroupId, PlannedGroup] = {}
        self.lost: dict[InstanceId, float] = {}
        self._engine = engine
        self._loads = loads
        self._stall_s = stall_s
        self._numbers = numbers
        self._blocked_until: dict[InstanceId, float] = {}
        self._unanswered: dict[InstanceId, float] = {}
        self._last_model: dict[InstanceId, ModelName] = {}
        self._born: dict[InstanceId, int] = {}
        self._instances: dict[InstanceId, Instance] = {}
        self.slow: set[InstanceId] = set()
        self._free_since: dict[InstanceId, float] = {}
        self._released: dict[tuple[GroupId, int], float] = {}

    # What the planner is told

    def update(self, instances: Iterable[Instance], now: float) -> None:
        """Take the present list of instances."""
        self._instances = {instance.id: instance for instance in instances}
        for instance in self._instances.values():
            self._notice_restart(instance)
            if instance.model is not None:
                self._last_model[instance.id] = instance.model
        self._adopt(now)
        for group in list(self.groups.values()):
            self._notice_members(group, now)

    def renew(self, term: int) -> None:
        """The lease was kept under a new term: later epochs start with it."""
        self.term = max(self.term, term)

    def mark_lost(self, instance: InstanceId, now: float) -> None:
        """An instance does not answer any more."""
        self.lost[instance] = now

    def mark_alive(self, instance: InstanceId) -> None:
        """An instance has answered."""
        self.lost.pop(instance, None)

    def mark_slow(self, instance: InstanceId, slow: bool) -> None:
        """An instance says that it works slowly, or no longer so."""
        if slow:
            self.slow.add(instance)
        else:
            self.slow.discard(instance)

    def mark_stuck(self, group_id: GroupId, now: float) -> None:
        """A group stands still though its members answer: take it apart."""
        group = self.groups.get(group_id)
        if group is not None and group.stage in (Stage.OPEN, Stage.OPENING):
            self._begin_close(group, True, now)

    def on_answer(self, order: Order, status: int | None, now: float) -> None:
        """Take the status of an order's answer; None if there was none."""
        if status is None:
            self._unanswered[order.instance] = now
            self._note_late_open(order)
            return
        self.mark_alive(order.instance)
        group = self.groups.get(order.group)
        if group is None or group.epoch != order.epoch:
            return
        if order.kind is OrderKind.JOIN:
            self._on_join_answer(group, order, status, now)
        elif order.kind is OrderKind.OPEN:
            self._on_open_answer(group, status, now)
        elif group.stage is Stage.CLOSING and order.instance == group.head:
            # A head that has left cannot open late; a closed one must be seen closed.
            if status in (200, 409, 421):
                self._release(group, now)
        elif order.kind is OrderKind.LEAVE and group.stage is Stage.HEAD_LOST:
            self._blocked_until[order.instance] = now + self._stall_s + STALL_MARGIN_S

    def _note_late_open(self, order: Order) -> None:
        """An order to open that got no answer may still be carried out."""
        group = self.groups.get(order.group)
        if order.kind is OrderKind.OPEN and group is not None:
            group.may_open_late = True

    # What the planner decides

    def step(self, demand: Mapping[ModelName, float], now: float) -> list[Order]:
        """Return the orders to send now.

        Parameters
        ----------
        demand : mapping
            Groups of each model that callers' requests would fill.
        """
        self._loads.counts = self._loads.counts or bool(demand)
        orders: list[Order] = []
        for group in list(self.groups.values()):
            orders += self._drive(group, now)
        free = self._free_by_domain(now)
        self._replace_slow(free, now)
        for domain in sorted(free, key=lambda each: -len(free[each])):
            self._form_in(domain, free, demand, now)
        self._note_free(free, now)
        self._prepare(free, demand, now)
        for group in self.groups.values():
            if group.since == now and group.stage in (Stage.JOINING, Stage.PREPARING):
                orders += self._drive(group, now)
        return orders

    def serving(self, now: float) -> list[PlannedGroup]:
        """Return the groups that take requests."""
        return [
            group
            for group in self.groups.values()
            if group.stage is Stage.OPEN and now >= group.opens_at
        ]

    # Members

    def _usable(self, instance_id: InstanceId) -> bool:
        instance = self._instances.get(instance_id)
        return (
            instance is not None
            and instance.state is InstanceState.READY
            and instance_id not in self.lost
        )

    def _notice_restart(self, instance: Instance) -> None:
        known = self._born.get(instance.id)
        self._born[instance.id] = instance.born_ms
        if known is None or known == instance.born_ms:
            return
        self.lost.pop(instance.id, None)
        self._last_model.pop(instance.id, None)
        self._blocked_until.pop(instance.id, None)
        for group in self.groups.values():
            if instance.id in group.members:
                group.ready.discard(instance.id)

    def _notice_members(self, group: PlannedGroup, now: float) -> None:
        for member in group.members:
            instance = self._instances.get(member)
            membership = None if instance is None else instance.membership
            if membership is None or (membership.group, membership.epoch) != (
                group.id,
                group.epoch,
            ):
                continue
            if membership.state in (MemberState.READY, MemberState.OPEN):
                group.ready.add(member)
            if member == group.head:
                self._notice_head(group, membership.state, now)

    def _notice_head(self, group: PlannedGroup, state: MemberState, now: float) -> None:
        serving = group.stage in (Stage.OPEN, Stage.OPENING)
        closing = group.stage is Stage.CLOSING
        if state is MemberState.OPEN and group.stage is Stage.OPENING:
            group.enter(Stage.OPEN, now)
            group.opens_at = now
            return
        broken = state is MemberState.BROKEN and (serving or closing)
        closed = state is MemberState.READY and closing and bool(group.last_order)
        if broken or closed:
            self._release(group, now)

    def _adopt(self, now: float) -> None:
        """Take over groups that serve or join, and that this planner does not keep."""
        for group in groups_of(self._instances.values()):
            if group.id in self.groups:
                continue
            # What was just let go is still listed as it was a moment ago.
            if now - self._released.get((group.id, group.epoch), -RELEASED_S) < RELEASED_S:
                continue
            if group.state in (MemberState.OPEN, MemberState.CLOSING):
                self._adopt_open(group, now)
            elif group.state is MemberState.JOINING and self._is_load(group):
                self._adopt_load(group, now)

    def _adopt_open(self, group: Group, now: float) -> None:
        spec = self._engine.model(group.model)
        planned = PlannedGroup(
            group.id, group.epoch, group.model, group.members, Stage.OPEN, now, set(group.members)
        )
        planned.opens_at = now
        self.groups[group.id] = planned
        whole = spec is not None and len(group.members) == spec.size
        let_go = (group.id, group.epoch) in self._released
        if group.state is MemberState.CLOSING or not whole or let_go:
            self._begin_close(planned, True, now)

    def _is_load(self, group: Group) -> bool:
        """Whether a group only lets its one member load a model."""
        return len(group.members) == 1 and (group.id, group.epoch) not in self._released

    def _adopt_load(self, group: Group, now: float) -> None:
        """Let an instance finish the load that an earlier planner began."""
        planned = PlannedGroup(
            group.id, group.epoch, group.model, group.members, Stage.PREPARING, now
        )
        spec = self._engine.model(group.model)
        load_s = 0.0 if spec is None else spec.load_s + spec.warm_s
        planned.due[group.head] = now + load_s + JOIN_OVERDUE_S
        planned.late_at = now + LATE_FACTOR * load_s + JOIN_PATIENCE_S
        self.groups[group.id] = planned

    # One group

    def _drive(self, group: PlannedGroup, now: float) -> list[Order]:
        if group.stage in (Stage.OPEN, Stage.OPENING):
            self._check_members(group, now)
        match group.stage:
            case Stage.PREPARING | Stage.JOINING:
                return self._drive_join(group, now)
            case Stage.OPENING:
                return self._repeat(group, (group.head,), OrderKind.OPEN, now)
            case Stage.CLOSING:
                return self._drive_close(group, now)
            case Stage.HEAD_LOST:
                return self._drive_head_lost(group, now)
        return []

    def _check_members(self, group: PlannedGroup, now: float) -> None:
        if all(self._usable(member) and member in group.ready for member in group.members):
            return
        leaving = all(
            member not in self.lost and member in self._instances and member in group.ready
            for member in group.members
        )
        self._begin_close(group, not leaving, now)

    def _begin_close(self, group: PlannedGroup, cut: bool, now: float) -> None:
        head = group.head
        group.cut = cut
        if head in self.lost or head not in self._instances:
            group.enter(Stage.HEAD_LOST, now)
        else:
            group.enter(Stage.CLOSING, now)

    def _drive_join(self, group: PlannedGroup, now: float) -> list[Order]:
        spec = self._engine.model(group.model)
        broken = spec is None or not all(self._usable(member) for member in group.members)
        late = now > group.late_at
        if broken or late:
            self._abandon(group, now)
            return []
        if len(group.ready) == len(group.members):
            if group.stage is Stage.PREPARING:
                del self.groups[group.id]
                return []
            group.enter(Stage.OPENING, now)
            return self._repeat(group, (group.head,), OrderKind.OPEN, now)
        waiting = tuple(
            member
            for member in group.members
            if member not in group.ready and now >= group.due.get(member, 0.0)
        )
        return self._repeat(group, waiting, OrderKind.JOIN, now)

    def _abandon(self, group: PlannedGroup, now: float) -> None:
        """Give up a group that was never opened; whoever did not answer rests."""
        self._release(group, now)
        for member in group.members:
            if now - self._unanswered.get(member, -LATE_ORDER_S) < LATE_ORDER_S:
                self._blocked_until[member] = now + RESEND_S

    def _drive_close(self, group: PlannedGroup, now: float) -> list[Order]:
        if group.head in self.lost or group.head not in self._instances:
            group.enter(Stage.HEAD_LOST, now)
            return self._drive_head_lost(group, now)
        kind = OrderKind.CLOSE_CUT if group.cut else OrderKind.CLOSE_WAIT
        if group.may_open_late:
            kind = OrderKind.LEAVE
        if not group.cut and any(member in self.lost for member in group.members):
            group.cut = True
            group.last_order.clear()
        return self._repeat(group, (group.head,), kind, now)

    def _drive_head_lost(self, group: PlannedGroup, now: float) -> list[Order]:
        """Make a head that may live on break, by taking its members away."""
        others = tuple(
            member
            for member in group.members[1:]
            if self._usable(member) and member not in self._blocked_until
        )
        if not others and now - group.since > self._stall_s + STALL_MARGIN_S:
            del self.groups[group.id]
            return []
        return self._repeat(group, others, OrderKind.LEAVE, now)

    def _release(self, group: PlannedGroup, now: float) -> None:
        """The head does not serve any more: its members are free."""
        self.groups.pop(group.id, None)
        self._released[group.id, group.epoch] = now

    def _on_join_answer(self, group: PlannedGroup, order: Order, status: int, now: float) -> None:
        if status == 200:
            group.ready.add(order.instance)
        elif status in (412, 421) and group.stage in (Stage.JOINING, Stage.PREPARING):
            self._abandon(group, now)
            self._blocked_until[order.instance] = now + RESEND_S
        if status == 202:
            group.due[order.instance] = now + group.join_s + JOIN_OVERDUE_S
        if status in (200, 202):
            self._last_model[order.instance] = order.model

    def _on_open_answer(self, group: PlannedGroup, status: int, now: float) -> None:
        if group.stage is not Stage.OPENING:
            return
        if status in (200, 202):
            group.enter(Stage.OPEN, now)
            group.opens_at = now + (self._engine.form_s if status == 202 else 0.0)
        else:
            self._begin_close(group, True, now)

    def _repeat(
        self, group: PlannedGroup, members: tuple[InstanceId, ...], kind: OrderKind, now: float
    ) -> list[Order]:
        orders = []
        for member in members:
            if now - group.last_order.get(member, -RESEND_S) < RESEND_S:
                continue
            group.last_order[member] = now
            address = self._instances[member].address
            orders.append(
                Order(kind, member, address, group.id, group.epoch, group.model, group.members)
            )
        return orders

    # New groups

    def _free_by_domain(self, now: float) -> dict[FabricDomain, list[Instance]]:
        """Return the instances that may be told to join, by fabric domain."""
        taken = {
            member
            for group in self.groups.values()
            if group.stage is not Stage.PREPARING
            for member in group.members
        }
        heads = {
            (each.membership.group, each.membership.epoch): each.membership.state
            for each in self._instances.values()
            if each.membership is not None and each.membership.rank == 0
        }
        free: dict[FabricDomain, list[Instance]] = defaultdict(list)
        for instance in self._instances.values():
            if instance.id in taken or not self._usable(instance.id):
                continue
            if now < self._blocked_until.get(instance.id, now) or instance.id in self.slow:
                continue
            if self._may_leave(instance, heads):
                self._blocked_until.pop(instance.id, None)
                free[instance.domain].append(instance)
        return free

    def _replace_slow(self, free: Mapping[FabricDomain, list[Instance]], now: float) -> None:
        """Take groups apart that a slow member holds up, where spares can replace it."""
        for group in list(self.groups.values()):
            slow = [member for member in group.members if member in self.slow]
            spec = self._engine.model(group.model)
            head = self._instances.get(group.head)
            if group.stage is not Stage.OPEN or not slow or spec is None or head is None:
                continue
            spares = [row for row in free.get(head.domain, ()) if self._joins_soon(row, spec)]
            if len(spares) >= len(slow):
                self._begin_close(group, True, now)

    def _note_free(self, free: Mapping[FabricDomain, list[Instance]], now: float) -> None:
        """Remember since when instances are idle."""
        ids = {row.id for rows in free.values() for row in rows}
        self._free_since = {each: self._free_since.get(each, now) for each in ids}

    def _may_leave(self, instance: Instance, heads: Mapping) -> bool:
        """Whether the group that an instance says it is in surely does not serve."""
        membership = instance.membership
        if membership is None:
            return True
        state = heads.get((membership.group, membership.epoch))
        if state is not None:
            return state not in (MemberState.OPEN, MemberState.CLOSING)
        # The head is gone: it has broken once its members were away for long enough.
        return instance.id in self._blocked_until

    def _join_s(self, instance: InstanceId, spec: ModelSpec) -> float:
        if self._last_model.get(instance) == spec.name:
            return REJOIN_S
        row = self._instances.get(instance)
        if row is not None and spec.name in row.staged:
            return spec.warm_s
        return spec.load_s + spec.warm_s

    def _satisfaction(self, spec: ModelSpec, demand: Mapping[ModelName, float]) -> float:
        """Return groups that exist or come, against groups wanted."""
        count = sum(
            1
            for group in self.groups.values()
            if group.model == spec.name
            and group.stage in (Stage.JOINING, Stage.OPENING, Stage.OPEN)
        )
        return count / max(demand.get(spec.name, 0.0) or self._by_share(spec), 0.1)

    def _by_share(self, spec: ModelSpec) -> float:
        total = sum(model.share for model in self._engine.models) or 1.0
        servers = len(self._instances) * SHARE_IN_GROUPS * spec.share / total
        return servers / spec.size

    def _form_in(
        self,
        domain: FabricDomain,
        free: dict[FabricDomain, list[Instance]],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> None:
        rows = free[domain]
        while True:
            specs = sorted(self._engine.models, key=lambda spec: self._satisfaction(spec, demand))
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
        soon = [row for row in rows if self._joins_soon(row, spec)]
        satisfaction = self._satisfaction(spec, demand)
        spares = SPARES_PER_MODEL if satisfaction >= AMPLE else 0
        if not self._loads.counts:
            if self._groups_in(rows, spec) >= self._quota(rows, spec):
                return False
            spares = SPARES_AT_START
        if len(soon) < spec.size + spares:
            return False
        soon.sort(key=lambda row: (self._join_s(row.id, spec), row.id))
        chosen = soon[: spec.size]
        to_load = [row for row in chosen if self._join_s(row.id, spec) >= spec.load_s]
        if to_load and not self._loads.take(len(to_load), self._loading(), now):
            return False
        for row in chosen:
            rows.remove(row)
        self._add(spec, tuple(row.id for row in chosen), Stage.JOINING, now)
        return True

    def _quota(self, rows: list[Instance], spec: ModelSpec) -> int:
        """Return how many groups a domain begins with, by the model's expected share."""
        domain = rows[0].domain
        count = sum(1 for row in self._instances.values() if row.domain == domain)
        total = sum(model.share for model in self._engine.models) or 1.0
        return round(count * SHARE_IN_GROUPS * spec.share / total / spec.size)

    def _groups_in(self, rows: list[Instance], spec: ModelSpec) -> int:
        """Return how many groups of a model a domain has."""
        domain = rows[0].domain
        heads = [
            self._instances.get(group.head)
            for group in self.groups.values()
            if group.model == spec.name and group.stage is not Stage.PREPARING
        ]
        return sum(1 for head in heads if head is not None and head.domain == domain)

    def _joins_soon(self, row: Instance, spec: ModelSpec) -> bool:
        """Whether an instance joins without a load, or loads are still quick."""
        if row.id in self._preparing():
            return False
        return not self._loads.counts or self._join_s(row.id, spec) < spec.load_s

    def _preparing(self) -> dict[InstanceId, ModelName]:
        """Return the instances that load a model for later."""
        return {
            group.head: group.model
            for group in self.groups.values()
            if group.stage is Stage.PREPARING
        }

    def _loading(self) -> int:
        """Return how many instances load from the weight store at present."""
        count = 0
        for group in self.groups.values():
            if group.stage not in (Stage.JOINING, Stage.PREPARING):
                continue
            for member in group.members:
                row = self._instances.get(member)
                if row is not None and member not in group.ready and group.model not in row.staged:
                    count += 1
        return count

    def _prepare(
        self,
        free: dict[FabricDomain, list[Instance]],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> None:
        """Let idle instances load the model that their domain lacks most."""
        preparing = self._preparing()
        for rows in free.values():
            have: dict[ModelName, int] = defaultdict(int)
            for row in rows:
                model = preparing.get(row.id) or self._last_model.get(row.id)
                if model is not None:
                    have[model] += 1
            idle = [row for row in rows if row.id not in preparing]
            blank = [row for row in idle if row.id not in self._last_model]
            for row in blank:
                self._prepare_one(row, self._model_lacked(have, len(blank), demand), have, now)
            if not blank and not any(row.id in preparing for row in rows):
                self._convert(idle, have, demand, now)

    def _model_lacked(
        self, have: Mapping[ModelName, int], blank: int, demand: Mapping[ModelName, float]
    ) -> ModelSpec:
        """Return the model for an instance that knows none.

        First one whose next group can be completed, then one that callers lack, then
        one with few spares in all domains for its size: a large group loses most with
        one member.
        """
        spares = self._spares()

        def lack(spec: ModelSpec) -> tuple[bool, bool, float, int]:
            have_now = have.get(spec.name, 0)
            missing = spec.size - have_now % spec.size
            completes = have_now % spec.size > 0 and missing <= blank
            ample = self._satisfaction(spec, demand) >= AMPLE
            return not completes, ample, spares[spec.name] / spec.size, -spec.size

        return min(self._engine.models, key=lack)

    def _spares(self) -> dict[ModelName, int]:
        """Return how many idle instances know each model, or are about to."""
        grouped = {
            member
            for group in self.groups.values()
            if group.stage is not Stage.PREPARING
            for member in group.members
        }
        spares: dict[ModelName, int] = defaultdict(int)
        for instance_id, model in self._last_model.items():
            if instance_id not in grouped and self._usable(instance_id):
                spares[model] += 1
        return spares

    def _prepare_one(
        self, row: Instance, spec: ModelSpec, have: dict[ModelName, int], now: float
    ) -> bool:
        needs_load = spec.name not in row.staged
        if needs_load and not self._loads.take(1, self._loading(), now):
            return False
        have[spec.name] += 1
        self._add(spec, (row.id,), Stage.PREPARING, now)
        self._last_model[row.id] = spec.name
        return True

    def _convert(
        self,
        idle: list[Instance],
        have: dict[ModelName, int],
        demand: Mapping[ModelName, float],
        now: float,
    ) -> None:
        """Let spares of other models complete a group that lacks little, or is wanted more."""
        waiting = [row for row in idle if now - self._free_since.get(row.id, now) > IDLE_S]

        def worth_loading(spec: ModelSpec) -> bool:
            missing = spec.size - have[spec.name]
            nearly = 0 < 2 * missing < spec.size and len(waiting) >= spec.size
            wanted = self._satisfaction(spec, demand) < ENOUGH
            return nearly or (wanted and len(waiting) >= spec.size + SPARES_AT_START)

        specs = [spec for spec in self._engine.models if worth_loading(spec)]
        if not specs:
            return
        spec = min(specs, key=lambda each: each.size - have[each.name])
        others = [row for row in waiting if self._last_model.get(row.id) != spec.name]
        for row in others[: max(0, spec.size - have[spec.name])]:
            self._prepare_one(row, spec, have, now)

    def _add(
        self, spec: ModelSpec, members: tuple[InstanceId, ...], stage: Stage, now: float
    ) -> None:
        number = next(self._numbers)
        name = GroupId(f"g{self.term}-{number}")
        epoch = self.term * EPOCHS_PER_TERM + number
        slowest = max(self._join_s(member, spec) for member in members)
        self.groups[name] = PlannedGroup(
            name,
            epoch,
            spec.name,
            members,
            stage,
            now,
            late_at=now + LATE_FACTOR * slowest + JOIN_PATIENCE_S,
            join_s=slowest,
        )
