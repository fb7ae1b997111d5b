"""The planner: forms, opens and dissolves groups by sending orders to instances.

Orders may be lost, arrive late or be repeated. Two rules make sure that a group never
serves with a member missing and that no instance is in two serving groups:

- a head is ordered to open only after every member was seen ready under the
  group's name, epoch and member list, and only for groups that this planner formed;
- an instance is ordered to join another group only when the head of its old group is
  known not to serve, or once the instance has confirmed that it left. An entry of the list
  may be older than the opening of the group, so that it is no proof by itself: an instance
  that an earlier planner may have ordered is asked for its membership first, and a head whose
  entry is gone goes on being asked to close as long as it answers.

Epochs start with the term of the planner's lease, so that instances reject orders that
an earlier planner sent and that arrive late.
"""

from collections.abc import Iterable, Iterator, Mapping

import msgspec

from briarpond.fleet import Instance, Membership, MemberState
from briarpond.ids import DataCentre, FabricDomain, InstanceId
from briarpond.routes import EngineSpec, ModelName

from ._adoption import JOIN_OVERDUE_MARGIN_S, adopt_listed_groups
from ._closing import begin_close, release
from ._formation import Formation
from ._layout import initial_layout
from ._loads import LoadBudget
from ._models import GroupStage, Order, OrderKind, PlannedGroup
from ._new_models import find_new_model, make_room
from ._roster import Roster

# All durations are in seconds.
# Interval at which an order is sent again until it has taken effect.
ORDER_RESEND_S = 0.5
# Longest time after which an instance may still carry out an order that got no answer.
LATE_ORDER_WINDOW_S = 12.0
# Margin beyond the stall time after which a group with a lost head counts as broken and is
# dropped.
STALL_MARGIN_S = 0.4
# Margin beyond the time that opening takes, after which an accepted order to open has taken
# effect.
OPENING_MARGIN_S = 0.5
# Consecutive orders without an answer after which an instance without an entry in the list
# counts as lost. It is not probed, since probes need an entry.
UNLISTED_LOST_AFTER_ORDERS = 2
# HTTP statuses of an answer to an order to leave that mean that the instance is no longer
# in the group.
LEFT_STATUSES = frozenset({200, 409})
# HTTP statuses of an answer to an order to close or to leave that mean that the head does not
# serve the group: it has closed or left, is not in the group, or is another instance.
CLOSED_STATUSES = frozenset({200, 409, 421})
CLOSE_KINDS = frozenset({OrderKind.CLOSE_WAIT, OrderKind.CLOSE_CUT, OrderKind.LEAVE})
# Instances enter the list one by one. Before the first request arrives, groups are formed
# only once the list has not grown for the first of these times, or at the latest when the
# second has passed since its first entry.
INITIAL_LAYOUT_QUIET_S = 0.35
INITIAL_LAYOUT_MAX_WAIT_S = 1.5


class Planner:
    """Plans the groups of one service while this node holds the planner's lease.

    The planner does no input or output: the caller passes in the instance list and the
    answers to orders, and sends the orders that it returns. All times are monotonic, in seconds.

    Parameters
    ----------
    term : int
        Term of the lease; higher than that of any earlier planner.
    engine : EngineSpec
        Models of the service and the speed of its engines.
    load_budget : LoadBudget
        Limit on loads from the weight store.
    stall_s : float
        Time in seconds that a group which lost a member stalls before it breaks and
        its head stops serving.
    group_numbers : iterator of int
        Increasing numbers that no planner of this process has used before.
    has_predecessor : bool
        Whether an earlier planner may have formed groups that the list does not show yet.

    Attributes
    ----------
    groups : dict
        Groups that the planner forms, keeps or dissolves.
    lost : dict
        Instances that do not answer, with the time at which this was found.
    slow : set of InstanceId
        Instances that report reduced speed.
    """

    def __init__(
        self,
        term: int,
        engine: EngineSpec,
        load_budget: LoadBudget,
        stall_s: float,
        group_numbers: Iterator[int],
        has_predecessor: bool = True,
    ) -> None:
        self._roster = Roster(engine, has_predecessor)
        self._formation = Formation(self._roster, load_budget, group_numbers, term)
        self.groups = self._roster.groups
        self.lost = self._roster.lost
        self.slow = self._roster.slow
        self._load_budget = load_budget
        self._stall_s = stall_s
        self._unanswered_at: dict[InstanceId, float] = {}
        self._unanswered_count: dict[InstanceId, int] = {}
        self._started_at_ms: dict[InstanceId, int] = {}
        self._leave_sent_at: dict[InstanceId, float] = {}
        self._first_listed_at = float("inf")
        self._list_grew_at = float("-inf")

    # Inputs

    def update_instances(self, instances: Iterable[Instance], now: float) -> None:
        """Apply the current instance list."""
        previous_count = len(self._roster.instances)
        self._roster.instances = {instance.id: instance for instance in instances}
        if len(self._roster.instances) > previous_count:
            self._first_listed_at = min(self._first_listed_at, now)
            self._list_grew_at = now
        self._roster.record_addresses()
        for instance in self._roster.instances.values():
            self._detect_restart(instance)
            self._roster.discard_outdated_leave(instance)
            if instance.model is not None:
                self._roster.last_model[instance.id] = instance.model
        adopt_listed_groups(self._roster, now)
        for group in list(self.groups.values()):
            self._apply_memberships(group, now)

    @property
    def engine_without_models(self) -> EngineSpec:
        """The engine in force if the service hosts no model any more: all groups are closed."""
        return msgspec.structs.replace(self._roster.engine, models=())

    def set_evacuated(self, evacuated: frozenset[DataCentre]) -> None:
        """Record which data centres are evacuated.

        No group is formed and no model is staged there, and groups there do not count as
        supply. They stay open, so that they serve again when the order is cancelled.
        """
        self._roster.evacuated = evacuated

    def advance_term(self, term: int) -> None:
        """Use a new term for the epochs of later groups, after the lease was renewed."""
        self._formation.term = max(self._formation.term, term)

    def configure(self, engine: EngineSpec, stall_s: float, load_window_s: float) -> None:
        """Plan by the configuration and the settings in force.

        Called before each step: both may change while this node plans. Groups that no longer fit
        are closed, and their running requests may finish.

        Parameters
        ----------
        engine : EngineSpec
            Models of the service and the speed of its engines.
        stall_s : float
            Time in seconds that a group which lost a member stalls before it breaks.
        load_window_s : float
            Length in seconds of the window in which loads are counted.
        """
        self._roster.engine = engine
        self._stall_s = stall_s
        self._load_budget.configure(
            engine.load_starts_per_s, engine.max_concurrent_loads, load_window_s
        )

    def limit_loads(self) -> None:
        """Keep to the limit on loads from now on, since callers have come."""
        self._load_budget.enforced = True

    def mark_lost(self, instance: InstanceId, now: float) -> None:
        """Record that an instance does not answer."""
        self.lost[instance] = now

    def clear_lost(self, instance: InstanceId) -> None:
        """Record that an instance has answered."""
        self.lost.pop(instance, None)

    def set_slow(self, instance: InstanceId, slow: bool) -> None:
        """Record whether an instance reports reduced speed."""
        if slow:
            self.slow.add(instance)
        else:
            self.slow.discard(instance)

    def on_order_answer(self, order: Order, status: int | None, now: float) -> None:
        """Apply the answer to an order.

        Parameters
        ----------
        status : int or None
            HTTP status of the answer; None if there was none.
        """
        if status is None:
            self._on_order_unanswered(order.instance, now)
            return
        self._unanswered_count.pop(order.instance, None)
        self.clear_lost(order.instance)
        confirmed_leave = order.kind is OrderKind.LEAVE and status in LEFT_STATUSES
        if confirmed_leave:
            self._roster.confirmed_leaves[order.instance] = (order.group, order.epoch)
        group = self.groups.get(order.group)
        if group is None or group.epoch != order.epoch:
            return
        if order.kind is OrderKind.JOIN:
            self._on_join_answer(group, order, status, now)
        elif order.kind is OrderKind.OPEN:
            group.opens_unanswered -= 1
            self._on_open_answer(group, status, now)
        elif confirmed_leave:
            group.left_members.add(order.instance)
        if self._confirms_close(group, order, status):
            self._on_closed(group, order, now)

    def on_report(self, instance: InstanceId, membership: Membership | None) -> None:
        """Apply the membership that an instance has reported in answer to a probe."""
        self._roster.apply_report(instance, membership)

    def instances_to_verify(self) -> tuple[InstanceId, ...]:
        """Return the instances to ask for their membership before they may join a group."""
        return tuple(self._roster.unverified)

    def _on_order_unanswered(self, instance: InstanceId, now: float) -> None:
        """Record that an order got no answer; give up an instance without an entry."""
        self._unanswered_at[instance] = now
        count = self._unanswered_count.get(instance, 0) + 1
        self._unanswered_count[instance] = count
        if instance not in self._roster.instances and count >= UNLISTED_LOST_AFTER_ORDERS:
            self.mark_lost(instance, now)

    def _confirms_close(self, group: PlannedGroup, order: Order, status: int) -> bool:
        """Whether an answer shows that the head of a closing group no longer serves.

        A late answer to an order to join or to open does not. With any other status, for
        instance while running requests finish, the order is sent again.
        """
        closing = group.stage is GroupStage.CLOSING and order.instance == group.head
        return closing and order.kind in CLOSE_KINDS and status in CLOSED_STATUSES

    def _on_closed(self, group: PlannedGroup, order: Order, now: float) -> None:
        """Release a group, unless its head could still carry out a late order to open."""
        if self._must_leave(group, now) and order.kind is not OrderKind.LEAVE:
            group.last_order_at.clear()
            group.close_answered = True
            return
        release(self._roster, group, now)

    def _must_leave(self, group: PlannedGroup, now: float) -> bool:
        """Whether an order to open may still take effect, which a close does not prevent."""
        return group.opens_unanswered > 0 or group.may_open_late or now < group.opening_until

    # Decisions

    def next_orders(self, demand: Mapping[ModelName, float], now: float) -> list[Order]:
        """Return the orders to send now.

        Parameters
        ----------
        demand : mapping
            Groups of each model that callers' requests would fill; empty before the
            first request.
        """
        if demand:
            self.limit_loads()
        orders = self._orders_to_orphans(now)
        for group in list(self.groups.values()):
            orders += self._advance(group, now)
        if self._load_budget.enforced or self._list_is_filled(now):
            self._form_groups(demand, now)
        for group in self.groups.values():
            if group.stage_entered_at == now and group.stage in (
                GroupStage.JOINING,
                GroupStage.STAGING,
            ):
                orders += self._advance(group, now)
        return orders

    def _list_is_filled(self, now: float) -> bool:
        """Whether the instance list is expected to be complete after the start."""
        stopped_growing = now - self._list_grew_at >= INITIAL_LAYOUT_QUIET_S
        return stopped_growing or now - self._first_listed_at >= INITIAL_LAYOUT_MAX_WAIT_S

    def _form_groups(self, demand: Mapping[ModelName, float], now: float) -> None:
        """Form groups of free instances and stage models on the spares that remain."""
        if not self._load_budget.enforced:
            instances = self._roster.instances.values()
            self._formation.quotas = initial_layout(self._roster.engine, instances)
        free = self._roster.free_by_domain(now)
        self._close_slow_groups(free, now)
        new_model = find_new_model(self._roster) if self._load_budget.enforced else None
        self._formation.new_model = new_model
        if new_model is not None:
            self._formation.kept_domain = make_room(self._roster, new_model, free, now)
        for domain in sorted(free, key=lambda each: -len(free[each])):
            self._formation.form_groups_in(domain, free, demand, now)
        self._roster.record_free_instances(free, now)
        self._formation.stage_spares(free, demand, now)

    def serving_groups(self, now: float) -> list[PlannedGroup]:
        """Return the groups that take requests at `now`."""
        return [
            group
            for group in self.groups.values()
            if group.stage is GroupStage.OPEN and now >= group.serves_from
        ]

    # Members

    def _detect_restart(self, instance: Instance) -> None:
        """Discard what is recorded of an instance that has restarted under its id."""
        previous_start_ms = self._started_at_ms.get(instance.id)
        self._started_at_ms[instance.id] = instance.started_at_ms
        if previous_start_ms is None or previous_start_ms == instance.started_at_ms:
            return
        self.lost.pop(instance.id, None)
        self._roster.last_model.pop(instance.id, None)
        self._roster.blocked_until.pop(instance.id, None)
        self._roster.confirmed_leaves.pop(instance.id, None)
        self._roster.forget_report(instance.id)
        for group in self.groups.values():
            if instance.id in group.members:
                group.ready_members.discard(instance.id)

    def _apply_memberships(self, group: PlannedGroup, now: float) -> None:
        """Update a group by the memberships that the list shows for its members."""
        for member in group.members:
            instance = self._roster.instances.get(member)
            membership = None if instance is None else instance.membership
            if membership is None or (membership.group, membership.epoch) != (
                group.id,
                group.epoch,
            ):
                continue
            if (group.id, group.epoch) != self._roster.confirmed_leaves.get(member):
                group.left_members.discard(member)
            if membership.state in (MemberState.READY, MemberState.OPEN):
                group.ready_members.add(member)
            if member == group.head:
                self._apply_head_state(group, membership.state, now)

    def _apply_head_state(self, group: PlannedGroup, state: MemberState, now: float) -> None:
        """Update the stage of a group by the state that the list shows for its head."""
        serving = group.stage in (GroupStage.OPEN, GroupStage.OPENING)
        closing = group.stage is GroupStage.CLOSING
        if state in (MemberState.OPEN, MemberState.CLOSING):
            group.head_listed_serving = True
        if state is MemberState.OPEN and group.stage is GroupStage.OPENING:
            group.enter_stage(GroupStage.OPEN, now)
            group.serves_from = now
            return
        broken = state is MemberState.BROKEN and (serving or closing)
        closed = (
            state is MemberState.READY
            and closing
            and bool(group.last_order_at)
            and group.head_listed_serving
            and not self._must_leave(group, now)
        )
        if broken or closed:
            release(self._roster, group, now)

    # One group

    def _advance(self, group: PlannedGroup, now: float) -> list[Order]:
        """Advance the stage of a group if possible; return the orders to send for it."""
        if group.stage in (GroupStage.OPEN, GroupStage.OPENING):
            self._close_if_incomplete(group, now)
        if group.stage in (GroupStage.OPEN, GroupStage.OPENING) and not self._roster.fits(group):
            begin_close(self._roster, group, False, now)
        match group.stage:
            case GroupStage.STAGING | GroupStage.JOINING:
                return self._orders_to_join(group, now)
            case GroupStage.OPENING:
                return self._orders_to_open(group, now)
            case GroupStage.CLOSING:
                return self._orders_to_close(group, now)
            case GroupStage.HEAD_LOST:
                return self._orders_after_head_loss(group, now)
        return []

    def _close_if_incomplete(self, group: PlannedGroup, now: float) -> None:
        """Close a group with a member that is lost, restarted, draining or no longer listed.

        Running requests may finish only if all members still work, i.e. the sole reason is
        that one leaves. One whose entry is gone may be cut off from the store only.
        """
        if all(
            self._roster.usable(member) and member in group.ready_members
            for member in group.members
        ):
            return
        all_work = all(
            member not in self.lost and member in group.ready_members for member in group.members
        )
        begin_close(self._roster, group, not all_work, now)

    def _orders_to_join(self, group: PlannedGroup, now: float) -> list[Order]:
        """Return the orders to join; open the group once all members are ready.

        A staging group is removed instead of opened. A group is abandoned when a member becomes
        unusable, the deadline has passed, or the configuration has another size for its model.
        In an evacuated data centre nothing is ordered.
        """
        infeasible = not self._roster.fits(group) or not all(
            self._roster.usable(member) for member in group.members
        )
        late = now > group.join_deadline
        if infeasible or late:
            self._abandon(group, now)
            return []
        all_ready = len(group.ready_members) == len(group.members)
        if all_ready and group.stage is GroupStage.STAGING:
            release(self._roster, group, now)
            return []
        if self._roster.is_evacuated(group):
            # Loads that have begun go on and count; no other is asked for.
            return []
        if all_ready:
            group.enter_stage(GroupStage.OPENING, now)
            return self._orders_to_open(group, now)
        not_ready = tuple(
            member
            for member in group.members
            if member not in group.ready_members and now >= group.join_overdue_at.get(member, 0.0)
        )
        return self._due_orders(group, not_ready, OrderKind.JOIN, now)

    def _orders_to_open(self, group: PlannedGroup, now: float) -> list[Order]:
        orders = self._due_orders(group, (group.head,), OrderKind.OPEN, now)
        group.opens_unanswered += len(orders)
        return orders

    def _abandon(self, group: PlannedGroup, now: float) -> None:
        """Release a group that was never opened.

        Members with an unanswered order are not used for a short time: they may be
        unreachable.
        """
        release(self._roster, group, now)
        for member in group.members:
            if now - self._unanswered_at.get(member, -LATE_ORDER_WINDOW_S) < LATE_ORDER_WINDOW_S:
                self._roster.blocked_until[member] = now + ORDER_RESEND_S

    def _orders_to_close(self, group: PlannedGroup, now: float) -> list[Order]:
        """Return the order that stops the head from serving.

        A head whose entry is gone gets it as well: it may serve although it is cut off from
        the store. If an order to open got no answer yet, the head must leave the group: closing
        would not prevent that order from being carried out afterwards.
        """
        if group.head in self.lost:
            group.enter_stage(GroupStage.HEAD_LOST, now)
            return self._orders_after_head_loss(group, now)
        kind = OrderKind.CLOSE_CUT if group.abort_requests else OrderKind.CLOSE_WAIT
        may_wait = not group.abort_requests and not group.close_answered
        if group.opens_unanswered or (self._must_leave(group, now) and not may_wait):
            kind = OrderKind.LEAVE
        if not group.abort_requests and any(member in self.lost for member in group.members):
            group.abort_requests = True
            group.last_order_at.clear()
        return self._due_orders(group, (group.head,), kind, now)

    def _orders_after_head_loss(self, group: PlannedGroup, now: float) -> list[Order]:
        """Return orders to leave for the members of a group whose head is lost.

        Each member is free as soon as it has confirmed leaving. A head that is still running
        stalls without its members and breaks after the stall time; the group is
        dropped only then.
        """
        others = tuple(
            member
            for member in group.members[1:]
            if self._roster.usable(member) and member not in group.left_members
        )
        if not others and now - group.stage_entered_at > self._stall_s + STALL_MARGIN_S:
            del self.groups[group.id]
            return []
        return self._due_orders(group, others, OrderKind.LEAVE, now)

    def _orders_to_orphans(self, now: float) -> list[Order]:
        """Return orders to leave for members of groups that no planner keeps.

        Such a group was formed by an earlier planner and its head is no longer listed.
        """
        grouped = {member for group in self.groups.values() for member in group.members}
        orders = []
        for instance, membership in self._roster.orphans():
            sent_at = self._leave_sent_at.get(instance.id, -ORDER_RESEND_S)
            if instance.id in grouped or now - sent_at < ORDER_RESEND_S:
                continue
            self._leave_sent_at[instance.id] = now
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

    def _on_join_answer(self, group: PlannedGroup, order: Order, status: int, now: float) -> None:
        """Apply the answer to an order to join.

        Status 200 means that the member is ready and 202 that it is joining. With 412
        (outdated epoch or other members) and 421 (another instance at the address) it
        will not join, and the group is abandoned.
        """
        if status == 200:
            group.ready_members.add(order.instance)
        elif status in (412, 421) and group.stage in (GroupStage.JOINING, GroupStage.STAGING):
            self._abandon(group, now)
            self._roster.blocked_until[order.instance] = now + ORDER_RESEND_S
        if status == 202:
            group.join_overdue_at[order.instance] = (
                now + group.expected_join_s + JOIN_OVERDUE_MARGIN_S
            )
        if status in (200, 202):
            self._roster.last_model[order.instance] = order.model
            self._roster.verified.add(order.instance)

    def _on_open_answer(self, group: PlannedGroup, status: int, now: float) -> None:
        """Apply the answer to an order to open.

        Status 200 means that the head serves, 202 that it will after the time that
        opening takes; on any other status the group is closed.
        """
        if group.stage is not GroupStage.OPENING:
            return
        if status in (200, 202):
            group.enter_stage(GroupStage.OPEN, now)
            opening_s = self._roster.engine.group_opening_s if status == 202 else 0.0
            group.serves_from = now + opening_s
            group.opening_until = group.serves_from + OPENING_MARGIN_S
        else:
            begin_close(self._roster, group, True, now)

    def _due_orders(
        self, group: PlannedGroup, members: tuple[InstanceId, ...], kind: OrderKind, now: float
    ) -> list[Order]:
        """Return an order for each member that was not sent one within `ORDER_RESEND_S`."""
        orders = []
        for member in members:
            if now - group.last_order_at.get(member, -ORDER_RESEND_S) < ORDER_RESEND_S:
                continue
            group.last_order_at[member] = now
            address = self._roster.addresses[member]
            orders.append(
                Order(kind, member, address, group.id, group.epoch, group.model, group.members)
            )
        return orders

    def _close_slow_groups(self, free: Mapping[FabricDomain, list[Instance]], now: float) -> None:
        """Close open groups that a slow member delays, where spares can replace it."""
        for group in list(self.groups.values()):
            slow = [member for member in group.members if member in self.slow]
            spec = self._roster.engine.model(group.model)
            head = self._roster.instances.get(group.head)
            if group.stage is not GroupStage.OPEN or not slow or spec is None or head is None:
                continue
            spares = [
                spare
                for spare in free.get(head.domain, ())
                if self._formation.can_join_soon(spare, spec)
            ]
            if len(spares) >= len(slow):
                begin_close(self._roster, group, True, now)
