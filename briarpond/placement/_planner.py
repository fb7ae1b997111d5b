"""The planner: forms, opens and dissolves groups by orders to instances.

Two rules keep a group whole whatever order is lost, late or repeated:

- a head is told to open only after every member was seen ready under the
  group's name, epoch and member list, and only for groups of this term;
- an instance is told to join another group only when the head of its old one is
  known not to serve, or once it has confirmed that it left.

Epochs start with the term of the planner's lease, so that instances reject what
an earlier planner still has under way.
"""

from collections.abc import Iterable, Iterator, Mapping

from briarpond.fleet import Group, Instance, MemberState, groups_of
from briarpond.ids import FabricDomain, GroupId, InstanceId
from briarpond.routes import EngineSpec, ModelName

from ._formation import JOIN_PATIENCE_S, LATE_FACTOR, Formation
from ._layout import first_layout
from ._loads import LoadBudget
from ._models import Order, OrderKind, PlannedGroup, Stage
from ._roster import Roster

RESEND_S = 0.5
# The list shows a change this much later at the most.
RELEASED_S = 2.0
# An accepted join is asked for again only this long after it should be done.
JOIN_OVERDUE_S = 1.0
# Orders that an instance left unanswered may be carried out this much later.
LATE_ORDER_S = 12.0
STALL_MARGIN_S = 0.4
# Answers to an order to leave which say that the instance is not in that group.
LEFT_STATUSES = frozenset({200, 409})
# Before callers come, domains are laid out once the list has not grown for so long,
LIST_QUIET_S = 0.35
# at the latest this long after its first entry: instances enter it one by one.
LIST_FILLS_S = 1.5


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
        self._roster = Roster(engine)
        self._formation = Formation(self._roster, loads, numbers, term)
        self.groups = self._roster.groups
        self.lost = self._roster.lost
        self.slow = self._roster.slow
        self._loads = loads
        self._stall_s = stall_s
        self._unanswered: dict[InstanceId, float] = {}
        self._born: dict[InstanceId, int] = {}
        self._released: dict[tuple[GroupId, int], float] = {}
        self._told_to_leave: dict[InstanceId, float] = {}
        self._first_seen_at = float("inf")
        self._grew_at = float("-inf")

    # What the planner is told

    def update(self, instances: Iterable[Instance], now: float) -> None:
        """Take the present list of instances."""
        known = len(self._roster.instances)
        self._roster.instances = {instance.id: instance for instance in instances}
        if len(self._roster.instances) > known:
            self._first_seen_at = min(self._first_seen_at, now)
            self._grew_at = now
        for instance in self._roster.instances.values():
            self._notice_restart(instance)
            self._roster.notice_left(instance)
            if instance.model is not None:
                self._roster.last_model[instance.id] = instance.model
        self._adopt(now)
        for group in list(self.groups.values()):
            self._notice_members(group, now)

    def renew(self, term: int) -> None:
        """The lease was kept under a new term: later epochs start with it."""
        self._formation.term = max(self._formation.term, term)

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

    def on_answer(self, order: Order, status: int | None, now: float) -> None:
        """Take the status of an order's answer; None if there was none."""
        if status is None:
            self._unanswered[order.instance] = now
            self._note_late_open(order)
            return
        self.mark_alive(order.instance)
        left = order.kind is OrderKind.LEAVE and status in LEFT_STATUSES
        if left:
            self._roster.has_left[order.instance] = (order.group, order.epoch)
        group = self.groups.get(order.group)
        if group is None or group.epoch != order.epoch:
            return
        if order.kind is OrderKind.JOIN:
            self._on_join_answer(group, order, status, now)
        elif order.kind is OrderKind.OPEN:
            self._on_open_answer(group, status, now)
        elif left:
            group.left.add(order.instance)
        if self._ends_closing(group, order, status):
            self._release(group, now)

    def _ends_closing(self, group: PlannedGroup, order: Order, status: int) -> bool:
        """Whether an answer says that a head which closes does not serve any more.

        One that has left cannot open late either; one that closed after its running
        requests must be seen closed.
        """
        closing = group.stage is Stage.CLOSING and order.instance == group.head
        return closing and status in (200, 409, 421)

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
        orders = self._free_orphans(now)
        for group in list(self.groups.values()):
            orders += self._drive(group, now)
        if self._loads.counts or self._list_has_filled(now):
            self._form(demand, now)
        for group in self.groups.values():
            if group.since == now and group.stage in (Stage.JOINING, Stage.PREPARING):
                orders += self._drive(group, now)
        return orders

    def _list_has_filled(self, now: float) -> bool:
        quiet = now - self._grew_at >= LIST_QUIET_S
        return quiet or now - self._first_seen_at >= LIST_FILLS_S

    def _form(self, demand: Mapping[ModelName, float], now: float) -> None:
        if not self._loads.counts:
            instances = self._roster.instances.values()
            self._formation.quotas = first_layout(self._roster.engine, instances)
        free = self._roster.free_by_domain(now)
        self._replace_slow(free, now)
        for domain in sorted(free, key=lambda each: -len(free[each])):
            self._formation.form_in(domain, free, demand, now)
        self._roster.note_free(free, now)
        self._formation.prepare(free, demand, now)

    def serving(self, now: float) -> list[PlannedGroup]:
        """Return the groups that take requests."""
        return [
            group
            for group in self.groups.values()
            if group.stage is Stage.OPEN and now >= group.opens_at
        ]

    # Members

    def _notice_restart(self, instance: Instance) -> None:
        known = self._born.get(instance.id)
        self._born[instance.id] = instance.born_ms
        if known is None or known == instance.born_ms:
            return
        self.lost.pop(instance.id, None)
        self._roster.last_model.pop(instance.id, None)
        self._roster.blocked_until.pop(instance.id, None)
        self._roster.has_left.pop(instance.id, None)
        for group in self.groups.values():
            if instance.id in group.members:
                group.ready.discard(instance.id)

    def _notice_members(self, group: PlannedGroup, now: float) -> None:
        for member in group.members:
            instance = self._roster.instances.get(member)
            membership = None if instance is None else instance.membership
            if membership is None or (membership.group, membership.epoch) != (
                group.id,
                group.epoch,
            ):
                continue
            if (group.id, group.epoch) != self._roster.has_left.get(member):
                group.left.discard(member)
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
        for group in groups_of(self._roster.instances.values()):
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
        spec = self._roster.engine.model(group.model)
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
        spec = self._roster.engine.model(group.model)
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
        if all(self._roster.usable(member) and member in group.ready for member in group.members):
            return
        leaving = all(
            member not in self.lost and member in self._roster.instances and member in group.ready
            for member in group.members
        )
        self._begin_close(group, not leaving, now)

    def _begin_close(self, group: PlannedGroup, cut: bool, now: float) -> None:
        head = group.head
        group.cut = cut
        if head in self.lost or head not in self._roster.instances:
            group.enter(Stage.HEAD_LOST, now)
        else:
            group.enter(Stage.CLOSING, now)

    def _drive_join(self, group: PlannedGroup, now: float) -> list[Order]:
        spec = self._roster.engine.model(group.model)
        broken = spec is None or not all(self._roster.usable(member) for member in group.members)
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
                self._roster.blocked_until[member] = now + RESEND_S

    def _drive_close(self, group: PlannedGroup, now: float) -> list[Order]:
        if group.head in self.lost or group.head not in self._roster.instances:
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
        """Let the members leave; a head that lives on breaks, and they are free at once."""
        others = tuple(
            member
            for member in group.members[1:]
            if self._roster.usable(member) and member not in group.left
        )
        if not others and now - group.since > self._stall_s + STALL_MARGIN_S:
            del self.groups[group.id]
            return []
        return self._repeat(group, others, OrderKind.LEAVE, now)

    def _free_orphans(self, now: float) -> list[Order]:
        """Let members leave whose head is listed no more and whose group nobody keeps."""
        grouped = {member for group in self.groups.values() for member in group.members}
        orders = []
        for instance, membership in self._roster.orphans():
            told_at = self._told_to_leave.get(instance.id, -RESEND_S)
            if instance.id in grouped or now - told_at < RESEND_S:
                continue
            self._told_to_leave[instance.id] = now
            orders.append(
                Order(
                    OrderKind.LEAVE,
                    instance.id,
                    instance.address,
                    membership.group,
                    membership.epoch,
                    instance.model or ModelName(""),
                    (),
                )
            )
        return orders

    def _release(self, group: PlannedGroup, now: float) -> None:
        """The head does not serve any more: its members are free."""
        self.groups.pop(group.id, None)
        self._released[group.id, group.epoch] = now

    def _on_join_answer(self, group: PlannedGroup, order: Order, status: int, now: float) -> None:
        if status == 200:
            group.ready.add(order.instance)
        elif status in (412, 421) and group.stage in (Stage.JOINING, Stage.PREPARING):
            self._abandon(group, now)
            self._roster.blocked_until[order.instance] = now + RESEND_S
        if status == 202:
            group.due[order.instance] = now + group.join_s + JOIN_OVERDUE_S
        if status in (200, 202):
            self._roster.last_model[order.instance] = order.model

    def _on_open_answer(self, group: PlannedGroup, status: int, now: float) -> None:
        if group.stage is not Stage.OPENING:
            return
        if status in (200, 202):
            group.enter(Stage.OPEN, now)
            group.opens_at = now + (self._roster.engine.form_s if status == 202 else 0.0)
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
            address = self._roster.instances[member].address
            orders.append(
                Order(kind, member, address, group.id, group.epoch, group.model, group.members)
            )
        return orders

    def _replace_slow(self, free: Mapping[FabricDomain, list[Instance]], now: float) -> None:
        """Take groups apart that a slow member holds up, where spares can replace it."""
        for group in list(self.groups.values()):
            slow = [member for member in group.members if member in self.slow]
            spec = self._roster.engine.model(group.model)
            head = self._roster.instances.get(group.head)
            if group.stage is not Stage.OPEN or not slow or spec is None or head is None:
                continue
            spares = [
                row for row in free.get(head.domain, ()) if self._formation.joins_soon(row, spec)
            ]
            if len(spares) >= len(slow):
                self._begin_close(group, True, now)
