"""Carries out the planner's orders while this node holds the lease."""

import itertools
from collections.abc import Callable

from briarpond.directory import Plan, PlanRow, Targets
from briarpond.fleet import MemberState
from briarpond.ids import InstanceId, ServiceName
from briarpond.logs import log_event, log_warning
from briarpond.net import Exchange, LossReason
from briarpond.placement import LoadBudget, Order, OrderKind, PlannedGroup, Planner, Stage
from briarpond.platform import (
    ORDER_TARGET,
    REPORT_TARGET,
    decode_report,
    encode_close,
    encode_join,
    encode_leave,
    encode_open,
)
from briarpond.routes import ModelName, ServiceSpec

from ._lease import Lease
from ._peers import PeerLink
from ._state import NodeState

STEP_S = 0.1
# An earlier planner acts for so long after the lease has gone to another.
TAKE_OVER_S = 1.0
# Where no other planner is heard, its lease has lapsed on its own clock before.
LAPSED_S = 0.3
# A new plan goes along with each heartbeat for so long, later at this interval.
NEW_PLAN_S = 1.3
WHOLE_PLAN_S = 1.2
# A planner whose view of the list is older does not vouch for it: the others read the
# list themselves. They must have done so well within the bound on departures of 2 s,
# also when the planner lost the store silently just before a departure.
VIEW_FRESH_S = 1.25
ORDER_TIMEOUT_S = 0.4
PROBE_TIMEOUT_S = 0.3
# Probes in a row without an answer after which an instance counts as lost.
PROBES_MISSED = 2
# Lost and slow instances are asked again after this time.
PROBE_AGAIN_S = 1.0
JSON = (("Content-Type", "application/json"),)


class PlannerLink:
    """Runs one planner per service of groups while the lease is held."""

    def __init__(
        self,
        state: NodeState,
        lease: Lease,
        peers: PeerLink,
        view_fresh_at: Callable[[], float | None],
    ) -> None:
        self._state = state
        self._view_fresh_at = view_fresh_at
        self._lease = lease
        self._peers = peers
        self._planners: dict[ServiceName, Planner] = {}
        self._sequence = 0
        self._told = Targets()
        self._told_at = 0.0
        self._sent_whole_at = 0.0
        self._probing: dict[InstanceId, Exchange] = {}
        self._probed_at: dict[InstanceId, float] = {}
        self._term = 0
        self._numbers = itertools.count(1)
        self._stages: dict[str, Stage] = {}

    @property
    def planning(self) -> bool:
        """Whether this node plans at present."""
        return bool(self._planners)

    def start(self) -> None:
        """Begin to look at the lease."""
        self._state.clock.every(STEP_S, self.step)

    def plan(self, now: float) -> Plan | None:
        """Return what the other nodes are told, while this node plans.

        The targets go along while they are new, and now and then for nodes that
        have just started or missed them.
        """
        if not self._planners:
            return None
        targets = self._told if self._tells_whole(now) else None
        return Plan(self._term, self._sequence, self._fresh(now), targets)

    def note_sent(self, now: float) -> None:
        """What `plan` returned has gone out to the other nodes."""
        if self._repeat_is_due(now):
            self._sent_whole_at = now

    def _tells_whole(self, now: float) -> bool:
        return now - self._told_at < NEW_PLAN_S or self._repeat_is_due(now)

    def _repeat_is_due(self, now: float) -> bool:
        return now - self._sent_whole_at >= WHOLE_PLAN_S

    def check(self, server: InstanceId) -> None:
        """A head stands still: find out which member is lost."""
        for planner in self._planners.values():
            for group in planner.groups.values():
                if server in group.members:
                    for member in group.members:
                        # The standstill is a first sign; one missed probe is the second.
                        self._probe(planner, member, PROBES_MISSED - 1)

    def step(self) -> None:
        """Plan, if this node holds the lease."""
        state = self._state
        now = state.clock.now()
        config = state.config
        if config is None or state.leaving or not self._holds(now):
            self._stop_planning()
            return
        for spec in config.services.values():
            if spec.engine is not None and spec.engine.models:
                self._step_service(spec, now)
        self._tell(now)

    def _holds(self, now: float) -> bool:
        if self._lease.holds(now):
            if self._planners:
                self._renew()
                return True
            return self._took_over(now)
        # While nobody reaches the store, whoever planned goes on.
        lapsed = bool(self._planners) and self._lease.lapsed_holding(now)
        return lapsed and not self._outbid() and self._peers.book.nobody_reaches_store(now)

    def _took_over(self, now: float) -> bool:
        """Whether the planner before this one has surely stopped, and its work is seen."""
        if not self._state.fleet.trusted(now):
            # Groups that were opened during an outage are not listed yet.
            return False
        began = self._lease.held_since
        seen = self._view_fresh_at()
        if seen is not None and seen >= began and self._no_groups():
            # Nobody has formed a group yet, and none opens faster than orders are fenced.
            return True
        wait_s = TAKE_OVER_S if self._state.hears_planner(now) else LAPSED_S
        return now - began >= wait_s and seen is not None and seen >= began + wait_s

    @property
    def taking_over(self) -> bool:
        """Whether the lease is held and planning has not begun."""
        return not self._planners and self._lease.holds(self._state.clock.now())

    def _joining(self, service: ServiceName) -> int:
        return sum(
            1
            for row in self._state.fleet.all()
            if row.service == service
            and row.membership is not None
            and row.membership.state is MemberState.JOINING
        )

    def _no_groups(self) -> bool:
        rows = self._state.fleet.all()
        return bool(rows) and all(row.membership is None for row in rows)

    def _renew(self) -> None:
        if self._lease.term == self._term:
            return
        self._term = self._lease.term
        for planner in self._planners.values():
            planner.renew(self._term)

    def _outbid(self) -> bool:
        plan = self._state.plan
        return plan is not None and plan.term > self._term

    def _stop_planning(self) -> None:
        if self._planners:
            log_event("planner_stop", term=self._term)
            self._planners.clear()
            self._stages.clear()

    def _step_service(self, spec: ServiceSpec, now: float) -> None:
        planner = self._planners.get(spec.name) or self._begin(spec, now)
        state = self._state
        planner.update([row for row in state.fleet.all() if row.service == spec.name], now)
        for instance in (*planner.lost, *planner.slow):
            if now - self._probed_at.get(instance, now) > PROBE_AGAIN_S:
                self._probe(planner, instance, 0)
        for order in planner.step(self._demand(now), now):
            self._send(planner, order)
        self._log_stages(planner)

    def _begin(self, spec: ServiceSpec, now: float) -> Planner:
        assert spec.engine is not None
        bounds = self._state.settings.bounds
        self._term = self._lease.term
        engine = spec.engine
        loads = LoadBudget(engine.loads_per_s, engine.loads_at_once, bounds.loads_window_s)
        loads.spend(self._joining(spec.name), now)
        planner = Planner(self._term, engine, loads, bounds.stall_s, self._numbers)
        self._planners[spec.name] = planner
        log_event("planner_start", term=self._term, service=spec.name)
        return planner

    def _demand(self, now: float) -> dict[ModelName, float]:
        sums: dict[ModelName, float] = {}
        rows = list(self._state.demand(now))
        for beat in self._peers.book.living(now):
            rows += beat.demand
        for row in rows:
            sums[row.model] = sums.get(row.model, 0.0) + row.groups
        return sums

    def _tell(self, now: float) -> None:
        groups = tuple(
            row
            for planner in self._planners.values()
            for group in planner.serving(now)
            if (row := self._row(group)) is not None
        )
        targets = Targets(groups, self._state.targets_seen().servers)
        changed = targets != self._told or self._sequence == 0
        if changed:
            self._told = targets
            self._sequence += 1
            self._told_at = now
            self._state.metrics.groups.set({}, len(groups))
        self._state.take_plan(Plan(self._term, self._sequence, self._fresh(now), targets), now)
        if changed:
            self._peers.send_now()

    def _fresh(self, now: float) -> bool:
        seen = self._view_fresh_at()
        return seen is not None and now - seen < VIEW_FRESH_S

    def _row(self, group: PlannedGroup) -> PlanRow | None:
        head = self._state.fleet.get(group.head)
        if head is None or group.head in self._state.fleet.left:
            return None
        return PlanRow(group.id, group.epoch, group.model, group.head, head.address)

    def _send(self, planner: Planner, order: Order) -> None:
        clock = self._state.clock

        def done(status: int, body: bytes) -> None:
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
            planner.on_answer(order, status, clock.now())
            if order.kind in (OrderKind.CLOSE_CUT, OrderKind.CLOSE_WAIT):
                self.step()

        def lost(reason: LossReason) -> None:
            self._state.metrics.orders.inc({"kind": order.kind.value, "status": "none"})
            log_warning(
                "order_unanswered",
                kind=order.kind.value,
                instance=order.instance,
                group=order.group,
                epoch=order.epoch,
                reason=reason.value,
            )
            planner.on_answer(order, None, clock.now())
            self._probe(planner, order.instance, 0)

        self._state.client.fetch(
            order.address,
            "POST",
            ORDER_TARGET,
            JSON,
            _encode(order),
            ORDER_TIMEOUT_S,
            done,
            lost,
        )

    def _probe(self, planner: Planner, instance: InstanceId, missed: int) -> None:
        """Ask an instance for its report; lost once it has missed some in a row."""
        row = self._state.fleet.get(instance)
        if row is None or instance in self._probing:
            return
        self._probed_at[instance] = self._state.clock.now()

        def done(status: int, body: bytes) -> None:
            self._probing.pop(instance, None)
            if status != 200:
                return
            report = decode_report(body)
            if instance in planner.lost:
                log_event("instance_back", instance=instance)
            planner.mark_alive(instance)
            if report.is_ok():
                self._note_pace(planner, instance, report.ok.pace)

        def lost(reason: LossReason) -> None:
            self._probing.pop(instance, None)
            if missed + 1 < PROBES_MISSED:
                self._probe(planner, instance, missed + 1)
                return
            if instance not in planner.lost:
                log_warning("instance_lost", instance=instance, reason=reason.value)
            planner.mark_lost(instance, self._state.clock.now())
            self.step()

        self._probing[instance] = self._state.client.fetch(
            row.address, "GET", REPORT_TARGET, (), b"", PROBE_TIMEOUT_S, done, lost
        )

    def _note_pace(self, planner: Planner, instance: InstanceId, pace: float) -> None:
        slow = pace > SLOW_PACE
        if slow != (instance in planner.slow):
            log_event("instance_pace", instance=instance, pace=pace, slow=slow)
        planner.mark_slow(instance, slow)

    def _log_stages(self, planner: Planner) -> None:
        present = {}
        for group in planner.groups.values():
            present[group.id] = group.stage
            if self._stages.get(group.id) is not group.stage:
                log_event(
                    "group",
                    group=group.id,
                    epoch=group.epoch,
                    model=group.model,
                    stage=group.stage.value,
                    members="+".join(group.members),
                )
        for name in self._stages:
            if name not in present:
                log_event("group", group=name, stage="dissolved")
        self._stages = present


# An instance that works this many times slower holds up its whole group.
SLOW_PACE = 1.8


def _encode(order: Order) -> bytes:
    match order.kind:
        case OrderKind.JOIN:
            return encode_join(order.group, order.epoch, order.model, order.members)
        case OrderKind.OPEN:
            return encode_open(order.group, order.epoch)
        case OrderKind.LEAVE:
            return encode_leave(order.group, order.epoch)
        case OrderKind.CLOSE_WAIT:
            return encode_close(order.group, order.epoch, wait=True)
        case OrderKind.CLOSE_CUT:
            return encode_close(order.group, order.epoch, wait=False)
