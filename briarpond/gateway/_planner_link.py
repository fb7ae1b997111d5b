"""Runs the planners while this node holds the lease, and sends their orders and plans."""

import itertools
from collections.abc import Callable

from briarpond.directory import GroupTarget, Plan, RoutingTargets
from briarpond.fleet import MemberState
from briarpond.ids import InstanceId, ServiceName
from briarpond.logs import log_event, log_warning
from briarpond.net import Exchange, LossReason
from briarpond.placement import GroupStage, LoadBudget, Order, OrderKind, PlannedGroup, Planner
from briarpond.platform import (
    ORDER_PATH,
    REPORT_PATH,
    decode_report,
    encode_close,
    encode_join,
    encode_leave,
    encode_open,
)
from briarpond.routes import ModelName, ServiceSpec

from ._lease import PlannerLease
from ._peers import HeartbeatLink
from ._state import NodeState

# Interval of the planning steps, each of which first checks the lease.
STEP_INTERVAL_S = 0.1
# A new holder of the lease waits this long before it plans, because the previous planner may
# still act for this time after the lease has moved.
TAKE_OVER_DELAY_S = 1.0
# The same if no plan of another planner arrives: the lease of the previous planner has then
# expired by that planner's own clock.
TAKE_OVER_DELAY_IF_SILENT_S = 0.3
# For this time after a change, every heartbeat carries the targets; later only one in each
# FULL_PLAN_INTERVAL_S does, and the others carry only the number of the plan.
NEW_PLAN_REPEAT_S = 1.3
FULL_PLAN_INTERVAL_S = 1.2
# Age of the planner's view of the instance list above which its plans are marked as not
# current, so that other nodes read the list themselves. They must have read it well within the
# bound of 2 s on requests to a departed server, also if the planner's connection to the store
# hung without an error just before the departure.
LIST_MAX_AGE_S = 1.25
# Timeouts of an order to an instance and of a probe.
ORDER_TIMEOUT_S = 0.4
PROBE_TIMEOUT_S = 0.3
# Consecutive probes without an answer after which an instance counts as lost.
LOST_AFTER_PROBES = 2
# Time between two probes of an instance that is lost or slow.
PROBE_INTERVAL_S = 1.0
JSON_HEADERS = (("Content-Type", "application/json"),)


class PlannerRunner:
    """Runs one planner for each service with groups while this node holds the lease.

    Parameters
    ----------
    state : NodeState
        Shared state of the node.
    lease : PlannerLease
        The planner's lease.
    heartbeat_link : HeartbeatLink
        Carries the plan to the other nodes, and their demand to this one.
    list_known_until : callable
        Returns the time up to which this node has followed the instance list without a
        gap; None if it has not read the list.
    """

    def __init__(
        self,
        state: NodeState,
        lease: PlannerLease,
        heartbeat_link: HeartbeatLink,
        list_known_until: Callable[[], float | None],
    ) -> None:
        self._state = state
        self._list_known_until = list_known_until
        self._lease = lease
        self._heartbeat_link = heartbeat_link
        self._planners: dict[ServiceName, Planner] = {}
        self._sequence = 0
        self._published = RoutingTargets()
        self._published_at = 0.0
        self._full_plan_sent_at = 0.0
        self._probes: dict[InstanceId, Exchange] = {}
        self._probed_at: dict[InstanceId, float] = {}
        self._term = 0
        self._group_numbers = itertools.count(1)
        self._stages: dict[str, GroupStage] = {}

    @property
    def planning(self) -> bool:
        """Whether this node is the planner at present."""
        return bool(self._planners)

    def start(self) -> None:
        """Start the periodic steps."""
        self._state.clock.every(STEP_INTERVAL_S, self.step)

    def plan(self, now: float) -> Plan | None:
        """Return the plan for the next heartbeat; None unless this node plans.

        It contains the targets while they are new, and afterwards once in each
        `FULL_PLAN_INTERVAL_S` for nodes that have just started or missed them.
        """
        if not self._planners:
            return None
        targets = self._published if self._sends_targets(now) else None
        return Plan(self._term, self._sequence, self._list_is_current(now), targets)

    def mark_sent(self, now: float) -> None:
        """Note that the plan that `plan` returned at `now` was sent to the other nodes."""
        if self._repeat_is_due(now):
            self._full_plan_sent_at = now

    def _sends_targets(self, now: float) -> bool:
        return now - self._published_at < NEW_PLAN_REPEAT_S or self._repeat_is_due(now)

    def _repeat_is_due(self, now: float) -> bool:
        return now - self._full_plan_sent_at >= FULL_PLAN_INTERVAL_S

    def probe_group_of(self, server: InstanceId) -> None:
        """Probe all members of a stalled server's group, to find out which one is lost."""
        for planner in self._planners.values():
            for group in planner.groups.values():
                if server in group.members:
                    for member in group.members:
                        # The stall counts as one missed probe, so one more is enough.
                        self._probe(planner, member, LOST_AFTER_PROBES - 1)

    def step(self) -> None:
        """Plan, send orders and publish the targets if this node may plan; otherwise stop."""
        state = self._state
        now = state.clock.now()
        config = state.config
        if config is None or state.leaving or not self._may_plan(now):
            self._stop_planning()
            return
        for spec in config.services.values():
            if spec.engine is not None and spec.engine.models:
                self._step_service(spec, now)
        self._publish(now)

    def _may_plan(self, now: float) -> bool:
        """Whether this node may plan now: it holds the lease, or no node can get it."""
        if self._lease.holds(now):
            if self._planners:
                self._adopt_new_term()
                return True
            return self._may_take_over(now)
        # While no node reaches the store, the last planner goes on although its lease expired.
        lapsed = bool(self._planners) and self._lease.expired_while_held(now)
        return (
            lapsed
            and not self._superseded()
            and self._heartbeat_link.heartbeats.no_node_reaches_store(now)
        )

    def _may_take_over(self, now: float) -> bool:
        """Whether the previous planner has certainly stopped and its groups are listed here."""
        if not self._state.fleet.is_complete(now):
            # Groups that were opened during an outage may not be listed yet.
            return False
        lease_since = self._lease.held_since
        known_until = self._list_known_until()
        if known_until is not None and known_until >= lease_since and self._no_group_exists():
            # No group was listed after this node got the lease, and opening one takes longer
            # than it takes until the previous planner's orders are rejected by their epoch.
            return True
        wait_s = (
            TAKE_OVER_DELAY_S if self._state.planner_is_heard(now) else TAKE_OVER_DELAY_IF_SILENT_S
        )
        return (
            now - lease_since >= wait_s
            and known_until is not None
            and known_until >= lease_since + wait_s
        )

    @property
    def taking_over(self) -> bool:
        """Whether this node holds the lease but does not plan yet."""
        return not self._planners and self._lease.holds(self._state.clock.now())

    def _count_joining(self, service: ServiceName) -> int:
        return sum(
            1
            for listed_instance in self._state.fleet.all_instances()
            if listed_instance.service == service
            and listed_instance.membership is not None
            and listed_instance.membership.state is MemberState.JOINING
        )

    def _no_group_exists(self) -> bool:
        instances = self._state.fleet.all_instances()
        return bool(instances) and all(
            listed_instance.membership is None for listed_instance in instances
        )

    def _adopt_new_term(self) -> None:
        """Pass a new term of the lease to the planners."""
        if self._lease.term == self._term:
            return
        self._term = self._lease.term
        for planner in self._planners.values():
            planner.advance_term(self._term)

    def _superseded(self) -> bool:
        """Whether this node has received a plan of a later term."""
        plan = self._state.plan
        return plan is not None and plan.term > self._term

    def _stop_planning(self) -> None:
        if self._planners:
            log_event("planner_stop", term=self._term)
            self._planners.clear()
            self._stages.clear()

    def _step_service(self, spec: ServiceSpec, now: float) -> None:
        """Plan for one service: update its planner, probe instances, send orders."""
        planner = self._planners.get(spec.name) or self._start_planner(spec, now)
        state = self._state
        planner.update_instances(
            [
                listed_instance
                for listed_instance in state.fleet.all_instances()
                if listed_instance.service == spec.name
            ],
            now,
        )
        for instance in (*planner.lost, *planner.slow):
            if now - self._probed_at.get(instance, now) > PROBE_INTERVAL_S:
                self._probe(planner, instance, 0)
        for order in planner.next_orders(self._demand(now), now):
            self._send_order(planner, order)
        self._log_stages(planner)

    def _start_planner(self, spec: ServiceSpec, now: float) -> Planner:
        assert spec.engine is not None
        bounds = self._state.settings.bounds
        self._term = self._lease.term
        engine = spec.engine
        load_budget = LoadBudget(
            engine.load_starts_per_s, engine.max_concurrent_loads, bounds.weight_load_window_s
        )
        load_budget.record_started(self._count_joining(spec.name), now)
        planner = Planner(self._term, engine, load_budget, bounds.stall_s, self._group_numbers)
        self._planners[spec.name] = planner
        log_event("planner_start", term=self._term, service=spec.name)
        return planner

    def _demand(self, now: float) -> dict[ModelName, float]:
        """Return how many groups of each model the requests to all nodes would fill."""
        sums: dict[ModelName, float] = {}
        demand_rows = list(self._state.demand(now))
        for heartbeat in self._heartbeat_link.heartbeats.live(now):
            demand_rows += heartbeat.demand
        for row in demand_rows:
            sums[row.model] = sums.get(row.model, 0.0) + row.groups
        return sums

    def _publish(self, now: float) -> None:
        """Put the present targets into force here, and send them at once if they changed."""
        groups = tuple(
            target
            for planner in self._planners.values()
            for group in planner.serving_groups(now)
            if (target := self._group_target(group)) is not None
        )
        targets = RoutingTargets(groups, self._state.own_targets().servers)
        changed = targets != self._published or self._sequence == 0
        if changed:
            self._published = targets
            self._sequence += 1
            self._published_at = now
            self._state.metrics.groups.set({}, len(groups))
        self._state.accept_plan(
            Plan(self._term, self._sequence, self._list_is_current(now), targets), now
        )
        if changed:
            self._heartbeat_link.send_now()

    def _list_is_current(self, now: float) -> bool:
        known_until = self._list_known_until()
        return known_until is not None and now - known_until < LIST_MAX_AGE_S

    def _group_target(self, group: PlannedGroup) -> GroupTarget | None:
        head = self._state.fleet.get(group.head)
        if head is None or group.head in self._state.fleet.unavailable_since:
            return None
        return GroupTarget(group.id, group.epoch, group.model, group.head, head.address)

    def _send_order(self, planner: Planner, order: Order) -> None:
        clock = self._state.clock

        def on_done(status: int, body: bytes) -> None:
            self._state.metrics.orders.inc({"kind": order.kind.value, "status": str(status)})
            log_event(
                "order_answer",
                kind=order.kind.value,
                instance=order.instance,
                group=order.group,
                epoch=order.epoch,
                status=status,
                answer=body[:80].decode("latin-1"),
            )
            planner.on_order_answer(order, status, clock.now())
            if order.kind in (OrderKind.CLOSE_CUT, OrderKind.CLOSE_WAIT):
                self.step()

        def on_lost(reason: LossReason) -> None:
            self._state.metrics.orders.inc({"kind": order.kind.value, "status": "none"})
            log_warning(
                "order_unanswered",
                kind=order.kind.value,
                instance=order.instance,
                group=order.group,
                epoch=order.epoch,
                reason=reason.value,
            )
            planner.on_order_answer(order, None, clock.now())
            self._probe(planner, order.instance, 0)

        self._state.client.fetch(
            order.address,
            "POST",
            ORDER_PATH,
            JSON_HEADERS,
            _encode_order(order),
            ORDER_TIMEOUT_S,
            on_done,
            on_lost,
        )

    def _probe(self, planner: Planner, instance: InstanceId, missed: int) -> None:
        """Ask an instance for its report, and mark it lost if it does not answer.

        Parameters
        ----------
        planner : Planner
            Planner of the instance's service.
        instance : InstanceId
            Instance to ask.
        missed : int
            Consecutive probes that it left unanswered before. It is probed again until
            `LOST_AFTER_PROBES` are reached.
        """
        listed_instance = self._state.fleet.get(instance)
        if listed_instance is None or instance in self._probes:
            return
        self._probed_at[instance] = self._state.clock.now()

        def on_done(status: int, body: bytes) -> None:
            self._probes.pop(instance, None)
            if status != 200:
                return
            report = decode_report(body)
            if instance in planner.lost:
                log_event("instance_back", instance=instance)
            planner.clear_lost(instance)
            if report.is_ok():
                self._record_pace(planner, instance, report.ok.pace)

        def on_lost(reason: LossReason) -> None:
            self._probes.pop(instance, None)
            if missed + 1 < LOST_AFTER_PROBES:
                self._probe(planner, instance, missed + 1)
                return
            if instance not in planner.lost:
                log_warning("instance_lost", instance=instance, reason=reason.value)
            planner.mark_lost(instance, self._state.clock.now())
            self.step()

        self._probes[instance] = self._state.client.fetch(
            listed_instance.address, "GET", REPORT_PATH, (), b"", PROBE_TIMEOUT_S, on_done, on_lost
        )

    def _record_pace(self, planner: Planner, instance: InstanceId, pace: float) -> None:
        slow = pace > SLOW_PACE_FACTOR
        if slow != (instance in planner.slow):
            log_event("instance_pace", instance=instance, pace=pace, slow=slow)
        planner.set_slow(instance, slow)

    def _log_stages(self, planner: Planner) -> None:
        """Log each group whose stage changed since the last step, and dissolved groups."""
        present_stages = {}
        for group in planner.groups.values():
            present_stages[group.id] = group.stage
            if self._stages.get(group.id) is not group.stage:
                log_event(
                    "group",
                    group=group.id,
                    epoch=group.epoch,
                    model=group.model,
                    stage=group.stage.value,
                    members="+".join(group.members),
                )
        for group_id in self._stages:
            if group_id not in present_stages:
                log_event("group", group=group_id, stage="dissolved")
        self._stages = present_stages


# An instance that reports a pace above this is marked slow, because it slows down its whole
# group. The pace is a factor on the normal processing times.
SLOW_PACE_FACTOR = 1.8


def _encode_order(order: Order) -> bytes:
    match order.kind:
        case OrderKind.JOIN:
            return encode_join(order.group, order.epoch, order.model, order.members)
        case OrderKind.OPEN:
            return encode_open(order.group, order.epoch)
        case OrderKind.LEAVE:
            return encode_leave(order.group, order.epoch)
        case OrderKind.CLOSE_WAIT:
            return encode_close(order.group, order.epoch, finish_running=True)
        case OrderKind.CLOSE_CUT:
            return encode_close(order.group, order.epoch, finish_running=False)
