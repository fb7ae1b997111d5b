"""Link to the instances: the lagging list, probes, confirmations and orders."""

from collections.abc import Callable

from briarpond.groups import (
    Planner,
    PlannerInput,
    PlannerPolicy,
    confirm_members,
    due_orders,
    loading_groups,
)
from briarpond.ids import DataCentre, GroupId, InstanceId
from briarpond.journal import Group, GroupPhase, NodeStage, Settled
from briarpond.logs import log_event, log_warning
from briarpond.ports import (
    FleetInstance,
    StatusReport,
    decode_fleet,
    decode_order_answer,
    decode_status,
    fleet_request,
    order_request,
    status_request,
)
from briarpond.requests import LossReason, Target

from ._node import NodeContext, parse_address

ORDER_RETRY_S = 1.0
PROPOSAL_TIMEOUT_S = 5.0

ProbeDone = Callable[[StatusReport | None], None]
ConfirmDone = Callable[[bool], None]


class FleetLink:
    """Keeps list and presence up to date and carries out plans."""

    def __init__(
        self,
        node: NodeContext,
        probes_group: Callable[[Group], bool],
        plans: Callable[[], bool],
    ) -> None:
        self._node = node
        self._probes_group = probes_group
        self._plans = plans
        self._planner: Planner | None = None
        self._listing = False
        self._probing: set[InstanceId] = set()
        self._rounds: dict[Target, list[ConfirmDone]] = {}
        self._proposed: set[str] = set()
        self._ordered_at: dict[tuple[InstanceId, int], float] = {}

    def start(self) -> None:
        """Schedule all rounds."""
        timing = self._node.settings.timing
        clock = self._node.clock
        clock.every(timing.list_poll_s, self.read_list)
        clock.every(timing.probe_s, self.probe_round)
        clock.every(timing.plan_s, self.plan_round)

    def read_list(self) -> None:
        """Ask for the list of instances."""
        if self._listing:
            return
        self._listing = True
        asked_at = self._node.clock.now()

        def done(status: int, body: bytes) -> None:
            self._listing = False
            fleet = decode_fleet(body) if status == 200 else None
            if fleet is not None and fleet.is_ok():
                self._node.leaving_known_at = max(self._node.leaving_known_at, asked_at)
                self._node.fleet = {row.instance: row for row in fleet.ok.instances}

        def lost(reason: LossReason) -> None:
            self._listing = False

        request = fleet_request()
        timing = self._node.settings.timing
        self._node.client.fetch(
            self._node.settings.platform.instances,
            request.method,
            request.target,
            (),
            request.body,
            timing.log_timeout_s,
            done,
            lost,
        )

    def probe_round(self) -> None:
        """Probe the instances that this node watches."""
        watched: dict[InstanceId, str] = {}
        for group in self._node.tail.state.groups.values():
            if self._probes_group(group):
                watched.update((member.instance, member.address) for member in group.members)
        if self._plans():
            watched.update((row.instance, row.address) for row in self._plannable())
        for instance, address in watched.items():
            if instance not in self._probing:
                self._probing.add(instance)
                self._probe(instance, address, lambda _: None)

    def confirm(self, target: Target, done: ConfirmDone) -> None:
        """Probe every member of the target's group, then judge the group.

        All probes are sent after this call. Calls that come while a round is
        under way share the next round.
        """
        waiting = self._rounds.get(target)
        if waiting is not None:
            waiting.append(done)
            return
        self._confirm_round(target, [done])

    def _confirm_round(self, target: Target, callers: list[ConfirmDone]) -> None:
        self._rounds[target] = []
        group = self._current(target)
        if group is None:
            self._node.clock.after(0.0, lambda: self._end_round(target, callers, False))
            return
        reports: list[StatusReport] = []
        missing = len(group.members)

        def on_report(report: StatusReport | None) -> None:
            nonlocal missing
            missing -= 1
            if report is not None:
                reports.append(report)
            if missing == 0:
                # The group may have been dissolved while the probes were under way.
                current = self._current(target)
                ready = current is not None and confirm_members(current, reports).ready
                self._end_round(target, callers, ready)

        for member in group.members:
            self._probe(member.instance, member.address, on_report)

    def _end_round(self, target: Target, callers: list[ConfirmDone], ready: bool) -> None:
        waiting = self._rounds.pop(target)
        for done in callers:
            done(ready)
        if waiting:
            self._confirm_round(target, waiting)

    def plan_round(self) -> None:
        """Plan and give orders if this node holds the lease of its data centre."""
        if not self._plans():
            self._planner = None
            return
        if self._planner is None:
            self._planner = Planner()
        now = self._node.clock.now()
        policy = self._policy()
        given = PlannerInput(
            self._node.wall_ms(),
            self._node.id,
            self._node.data_centre,
            self._node.tail.state,
            self._node.fleet_seen(now),
            self._node.presence,
            policy,
            self._node.new_id,
            lambda group: self._node.group_ready(group, now),
            self._planned_data_centres(),
        )
        if not self._proposed:
            for record in self._planner.plan(given, now):
                self._propose(record)
        self._give_orders(policy, now)

    def _propose(self, record) -> None:
        def settled(result: Settled) -> None:
            self._proposed.discard(record.id)
            code = result.verdict.code.value if result.verdict else "no-answer"
            detail = result.verdict.detail if result.verdict else ""
            kind = type(record).__name__
            log_event("proposal", kind=kind, group=record.group, verdict=code, detail=detail)

        if self._node.submit(record, PROPOSAL_TIMEOUT_S, settled):
            self._proposed.add(record.id)

    def _give_orders(self, policy: PlannerPolicy, now: float) -> None:
        node = self._node
        own = [
            group
            for group in node.tail.state.groups.values()
            if group.data_centre == node.data_centre and group.phase is GroupPhase.FORMED
        ]
        limit = node.document.policy.max_loading
        ttl_s = policy.presence_ttl_s
        for group in loading_groups(own, node.presence, now, ttl_s, limit):
            for due in due_orders(group, node.presence, now, ttl_s):
                key = (due.instance, due.order.generation)
                if now - self._ordered_at.get(key, float("-inf")) >= ORDER_RETRY_S:
                    self._ordered_at[key] = now
                    self._order(due.address, due.instance, due.order)
        self._ordered_at = {key: at for key, at in self._ordered_at.items() if now - at < 60.0}

    def _order(self, address_text: str, instance: InstanceId, order) -> None:
        address = parse_address(address_text)
        if address is None:
            return

        def done(status: int, body: bytes) -> None:
            answer = decode_order_answer(body)
            accepted = answer.is_ok() and answer.ok.accepted
            report = log_event if accepted else log_warning
            report(
                "order",
                instance=instance,
                group=order.group,
                generation=order.generation,
                accepted=accepted,
            )

        def lost(reason: LossReason) -> None:
            log_warning("order", instance=instance, group=order.group, lost=reason.value)

        request = order_request(order)
        self._node.client.fetch(
            address,
            request.method,
            request.target,
            (("Content-Type", "application/json"),),
            request.body,
            self._node.settings.timing.probe_timeout_s,
            done,
            lost,
        )

    def _probe(self, instance: InstanceId, address_text: str, then: ProbeDone) -> None:
        address = parse_address(address_text)
        if address is None:
            self._probing.discard(instance)
            self._node.clock.after(0.0, lambda: then(None))
            return
        asked_at = self._node.clock.now()

        def done(status: int, body: bytes) -> None:
            self._probing.discard(instance)
            report = decode_status(body) if status == 200 else None
            if report is None or report.is_error() or report.ok.instance != instance:
                self._node.metrics.probes.inc({"result": "malformed"})
                then(None)
                return
            self._node.metrics.probes.inc({"result": "ok"})
            self._node.presence.observe(report.ok, asked_at)
            then(report.ok)

        def lost(reason: LossReason) -> None:
            self._probing.discard(instance)
            self._node.metrics.probes.inc({"result": reason.value})
            then(None)

        request = status_request()
        timeout_s = self._node.settings.timing.probe_timeout_s
        self._node.client.fetch(
            address, request.method, request.target, (), request.body, timeout_s, done, lost
        )

    def _plannable(self) -> list[FleetInstance]:
        node = self._node
        served = {deployment.service for deployment in node.document.deployments.values()}
        return [
            row
            for row in node.fleet.values()
            if row.data_centre == node.data_centre and row.service in served
        ]

    def _planned_data_centres(self) -> frozenset[DataCentre]:
        node = self._node
        others = {row.data_centre for row in node.live_peers() if row.stage is NodeStage.LIVE}
        return frozenset(others | {node.data_centre})

    def _current(self, target: Target) -> Group | None:
        group = self._node.tail.state.groups.get(GroupId(target.group or ""))
        if group is None or group.generation != target.generation:
            return None
        return group if group.phase is GroupPhase.FORMED else None

    def _policy(self) -> PlannerPolicy:
        policy = self._node.document.policy
        return PlannerPolicy(
            self._node.settings.timing.presence_ttl_s,
            policy.order_settle_s,
            policy.load_timeout_s,
            policy.downtime_weight,
        )
