"""Runs the planners while this node holds the lease, and sends their orders and plans."""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from briarpond.directory import GroupTarget, ModelDemand, Plan, RoutingTargets
from briarpond.fleet import MemberState
from briarpond.ids import GroupId, InstanceId, ServiceName
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
from briarpond.reachability import LossKind
from briarpond.routes import GatewayConfiguration, ModelName, ServiceSpec

from ._evacuation import without_evacuated
from ._lease import PlannerLease
from ._peers import PeerLink
from ._state import NodeState

# Interval of the planning steps, each of which first checks the lease.
STEP_INTERVAL_S = 0.1
# A new holder of the lease waits this long before it plans, because the previous planner may
# still act for this time after the lease has moved.
TAKE_OVER_DELAY_S = 1.0
# The same if the previous planner has said that it stopped, or if no plan of another planner
# arrives: the lease of the previous planner has then expired by that planner's own clock.
TAKE_OVER_DELAY_IF_SILENT_S = 0.3
# Timeouts of an order to an instance and of a probe.
ORDER_TIMEOUT_S = 0.4
PROBE_TIMEOUT_S = 0.3
# Consecutive probes without an answer after which an instance counts as lost.
LOST_AFTER_PROBES = 2
# A missed probe is believed if it takes no longer than this to learn that other servers are
# reached, in seconds.
MAX_VERDICT_WAIT_S = 0.1
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
    peers : PeerLink
        Carries the plan to the other nodes, and their demand to this one.
    list_known_until : callable
        Returns the time up to which this node has followed the instance list without a
        gap; None if it has not read the list.
    """

    def __init__(
        self,
        state: NodeState,
        lease: PlannerLease,
        peers: PeerLink,
        list_known_until: Callable[[], float | None],
    ) -> None:
        self._state = state
        self._list_known_until = list_known_until
        self._lease = lease
        self._peers = peers
        self._planners: dict[ServiceName, Planner] = {}
        # The weight store is one for all services, and so is the limit on loads.
        self._load_budget = LoadBudget(0.0, 0, 0.0)
        self._probes: dict[InstanceId, Exchange] = {}
        self._probed_at: dict[InstanceId, float] = {}
        self._term = 0
        # Since when this node held the lease without interruption when it last planned.
        self._held_since = float("-inf")
        self._group_numbers = itertools.count(1)
        self._stages: dict[ServiceName, dict[GroupId, GroupStage]] = {}

    @property
    def planning(self) -> bool:
        """Whether this node is the planner at present."""
        return bool(self._planners)

    def publishes(self, now: float) -> bool:
        """Whether the newest plan is this node's own, and this node still stands by it."""
        if self._peers.sync.plan_log.version.term != self._term:
            return False
        if self.planning:
            return self._lease.holds(now) or self._may_go_on_without_store(now)
        return self.taking_over and self._term == self._lease.term

    def start(self) -> None:
        """Start the periodic steps."""
        self._state.clock.every(STEP_INTERVAL_S, self.step)

    def list_age(self, now: float) -> float:
        """Return the seconds since this node had followed the instance list without a gap."""
        known_until = self._list_known_until()
        return float("inf") if known_until is None else now - known_until

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
            if self._is_paused(now):
                return
            self._stop_planning()
            if self.taking_over:
                self._publish_listed_groups(now)
            return
        if state.reachability.is_cut_off(now):
            self._publish_unchanged(now)
            return
        demand = self._peers.sync.demand(now)
        for spec in self._services_to_plan(config):
            self._step_service(spec, demand, now)
        self._publish(now)

    def _publish_unchanged(self, now: float) -> None:
        """Confirm the present groups while this node can order nothing and knows of no losses."""
        if self._planners:
            self._publish(now)
        else:
            self._publish_listed_groups(now)

    def _services_to_plan(self, config: GatewayConfiguration) -> list[ServiceSpec]:
        """Return the services with models, and those without any whose groups are to be closed."""
        specs = {
            name: spec
            for name, spec in config.services.items()
            if spec.engine is not None and spec.engine.models
        }
        for service, planner in list(self._planners.items()):
            if service in specs:
                continue
            if planner.groups:
                specs[service] = ServiceSpec(service, "", 0, planner.engine_without_models)
            else:
                del self._planners[service]
                self._stages.pop(service, None)
        return list(specs.values())

    def _is_paused(self, now: float) -> bool:
        """Whether planning can go on if the lease is renewed without a change of its term.

        Nobody else can have held it in between then.
        """
        if not self._planners or self._state.leaving or self._superseded():
            return False
        return self._lease.expired_while_held(now) and self._lease.term == self._term

    def _may_plan(self, now: float) -> bool:
        """Whether this node may plan now: it holds the lease, or no node can get it."""
        if self._lease.holds(now):
            if self._planners and self._may_continue():
                self._held_since = self._lease.held_since
                self._adopt_new_term()
                return True
            self._stop_planning()
            return self._may_take_over(now)
        return self._may_go_on_without_store(now)

    def _may_continue(self) -> bool:
        """Whether nobody else can have planned since this node began.

        It has held the lease without interruption, or got it back with the same term.
        """
        lease = self._lease
        return lease.held_since == self._held_since or lease.term == self._term

    def _may_go_on_without_store(self, now: float) -> bool:
        """Whether this node was the last planner and no node can get the lease at present."""
        return (
            bool(self._planners)
            and self._lease.expired_while_held(now)
            and not self._superseded()
            and self._peers.sync.members.no_node_reaches_store(now)
        )

    def _may_take_over(self, now: float) -> bool:
        """Whether the previous planner has certainly stopped and its groups are listed here."""
        # The list may have shown since the last renewal which terms are in use.
        self._lease.refresh_term()
        if not self._state.fleet.is_complete(now):
            # Groups that were opened during an outage may not be listed yet.
            return False
        lease_since = self._lease.held_since
        known_until = self._list_known_until()
        if known_until is not None and known_until >= lease_since and self._no_group_exists():
            # No group was listed after this node got the lease, and opening one takes longer
            # than it takes until the previous planner's orders are rejected by their epoch.
            return True
        begins_at = self._previous_planner_stopped_at(lease_since, now)
        return now >= begins_at and known_until is not None and known_until >= begins_at

    def _previous_planner_stopped_at(self, lease_since: float, now: float) -> float:
        """Return the time from which the previous planner certainly does not act any more."""
        if self._lease.follows_forgotten_lease:
            # The store did not wait for the end of the lease that it had granted before.
            return lease_since + max(self._lease.ttl_s, TAKE_OVER_DELAY_S)
        previous = self._state.planner
        members = self._peers.sync.members
        ended_at = None if previous is None else members.planning_ended_at(previous)
        if ended_at is not None and ended_at >= lease_since - TAKE_OVER_DELAY_S:
            return max(lease_since, ended_at) + TAKE_OVER_DELAY_IF_SILENT_S
        if self._state.planner_is_heard(now):
            return lease_since + TAKE_OVER_DELAY_S
        return lease_since + TAKE_OVER_DELAY_IF_SILENT_S

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
            self._peers.announce()

    def _step_service(self, spec: ServiceSpec, demand: Sequence[ModelDemand], now: float) -> None:
        """Plan for one service: update its planner, probe instances, send orders."""
        planner = self._planners.get(spec.name) or self._start_planner(spec, now)
        state = self._state
        bounds = state.settings.bounds
        assert spec.engine is not None
        planner.configure(spec.engine, bounds.stall_s, bounds.weight_load_window_s)
        planner.set_evacuated(state.evacuated)
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
        if demand:
            planner.limit_loads()
        for order in planner.next_orders(demand_of_service(demand, spec.name), now):
            self._send_order(planner, order)
        for instance in planner.instances_to_verify():
            if now - self._probed_at.get(instance, -PROBE_INTERVAL_S) >= PROBE_INTERVAL_S:
                self._probe(planner, instance, 0)
        self._log_stages(spec.name, planner)

    def _start_planner(self, spec: ServiceSpec, now: float) -> Planner:
        assert spec.engine is not None
        bounds = self._state.settings.bounds
        self._term = self._lease.term
        self._held_since = self._lease.held_since
        engine = spec.engine
        load_budget = self._load_budget
        if not self._planners:
            load_budget = self._load_budget = LoadBudget(
                engine.load_starts_per_s, engine.max_concurrent_loads, bounds.weight_load_window_s
            )
            # An empty demand means only then that callers have not come yet.
            load_budget.enforced = not self._state.settings.first_start or self._state.has_served
        load_budget.record_started(self._count_joining(spec.name), now)
        planner = Planner(
            self._term,
            engine,
            load_budget,
            bounds.stall_s,
            self._group_numbers,
            has_predecessor=load_budget.enforced,
        )
        self._planners[spec.name] = planner
        log_event("planner_start", term=self._term, service=spec.name)
        return planner

    def _publish_listed_groups(self, now: float) -> None:
        """Before planning may begin, publish the groups that the instance list shows as open.

        So the other nodes need not read the list after a loss of the previous planner or a
        restart of the whole system.
        """
        known_until = self._list_known_until()
        if known_until is None or known_until < self._lease.held_since:
            return
        plan = self._state.plan
        is_own = plan is not None and plan.term == self._lease.term
        if not is_own and self._state.plan_is_in_force(now):
            # The previous planner's plan leaves out heads that it found lost.
            return
        self._term = self._lease.term
        self._publish_targets(self._state.own_targets(), now)

    def _publish(self, now: float) -> None:
        """Put the present targets into force here, and send them at once if they changed."""
        groups = tuple(
            target
            for service, planner in self._planners.items()
            for group in planner.serving_groups(now)
            if (target := self._group_target(service, group, now)) is not None
        )
        self._publish_targets(RoutingTargets(groups, self._state.own_targets().servers), now)

    def _publish_targets(self, wanted: RoutingTargets, now: float) -> None:
        plan_log = self._peers.sync.plan_log
        if plan_log.version.term > self._term:
            return
        wanted = without_evacuated(self._state, wanted)
        previous = plan_log.version
        changed = plan_log.publish(self._term, wanted)
        version = plan_log.version
        targets = plan_log.targets
        list_known_at = now - self.list_age(now)
        plan = Plan(version.term, version.sequence, True, targets)
        self._state.accept_plan(plan, now, list_known_at)
        self._state.planner = self._state.settings.node
        if changed:
            self._state.metrics.groups.set({}, len(targets.groups))
            self._peers.announce(delta=plan_log.delta_since(previous))

    def _group_target(
        self, service: ServiceName, group: PlannedGroup, now: float
    ) -> GroupTarget | None:
        head = self._state.fleet.get(group.head)
        if head is None or group.head in self._state.fleet.unavailable_since:
            return None
        return GroupTarget(
            group.id,
            group.epoch,
            group.model,
            group.head,
            head.address,
            head.data_centre,
            self._state.is_cold(group.head, now),
            service,
            len(group.members),
        )

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
                planner.on_report(instance, report.ok.membership)
                self._record_pace(planner, instance, report.ok.pace)

        def on_lost(reason: LossReason) -> None:
            self._probes.pop(instance, None)
            if missed + 1 < LOST_AFTER_PROBES:
                self._probe(planner, instance, missed + 1)
                return
            lost_at = self._state.clock.now()
            if instance in planner.lost:
                planner.mark_lost(instance, lost_at)
                self.step()
                return
            self._state.hold_loss(
                instance,
                LossKind.INSTANCE,
                lambda: self._declare_lost(planner, instance, missed, lost_at, reason),
            )

        self._probes[instance] = self._state.client.fetch(
            listed_instance.address, "GET", REPORT_PATH, (), b"", PROBE_TIMEOUT_S, on_done, on_lost
        )

    def _declare_lost(
        self,
        planner: Planner,
        instance: InstanceId,
        missed: int,
        lost_at: float,
        reason: LossReason,
    ) -> None:
        """Mark an instance lost, since this node reaches others; probe it again after a long wait.

        This node may have been cut off for a moment, and the probes may have been lost by that.
        """
        if planner not in self._planners.values():
            return
        now = self._state.clock.now()
        if missed < LOST_AFTER_PROBES and now - lost_at > MAX_VERDICT_WAIT_S:
            self._probe(planner, instance, LOST_AFTER_PROBES)
            return
        if instance not in planner.lost:
            log_warning("instance_lost", instance=instance, reason=reason.value)
        planner.mark_lost(instance, now)
        self.step()

    def _record_pace(self, planner: Planner, instance: InstanceId, pace: float) -> None:
        slow = pace > SLOW_PACE_FACTOR
        if slow != (instance in planner.slow):
            log_event("instance_pace", instance=instance, pace=pace, slow=slow)
        planner.set_slow(instance, slow)

    def _log_stages(self, service: ServiceName, planner: Planner) -> None:
        """Log each group whose stage changed since the last step, and dissolved groups."""
        previous_stages = self._stages.get(service, {})
        present_stages = {}
        for group in planner.groups.values():
            present_stages[group.id] = group.stage
            if previous_stages.get(group.id) is not group.stage:
                log_event(
                    "group",
                    group=group.id,
                    epoch=group.epoch,
                    service=service,
                    model=group.model,
                    stage=group.stage.value,
                    members="+".join(group.members),
                )
        for group_id in previous_stages:
            if group_id not in present_stages:
                log_event("group", group=group_id, service=service, stage="dissolved")
        self._stages[service] = present_stages


# An instance that reports a pace above this is marked slow, because it slows down its whole
# group. The pace is a factor on the normal processing times.
SLOW_PACE_FACTOR = 1.8


def demand_of_service(
    demand: Iterable[ModelDemand], service: ServiceName
) -> dict[ModelName, float]:
    """Return how many groups of each model the requests to a service would fill.

    A row of a node of an older release names no service and counts for each one.
    """
    groups: dict[ModelName, float] = defaultdict(float)
    for row in demand:
        if row.service in (service, ""):
            groups[row.model] += row.groups
    return dict(groups)


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
