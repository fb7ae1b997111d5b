"""Calls to instances and to the instance list: probes, confirmations, load orders.

The list lags behind the instances, so readiness is decided by probes. The list only
shows which instances exist and which leave.
"""

from collections.abc import Callable

from briarpond.groups import (
    GroupProposer,
    PlannerInput,
    PlannerPolicy,
    groups_to_load,
    pending_orders,
    readiness_from_reports,
)
from briarpond.ids import DataCentre, GroupId, InstanceId
from briarpond.journal import Group, GroupPhase, NodeStage, RecordOutcome
from briarpond.logs import log_event, log_warning
from briarpond.ports import (
    ListedInstance,
    StatusReport,
    decode_instance_list,
    decode_order_answer,
    decode_status,
    instance_list_request,
    order_request,
    status_request,
)
from briarpond.requests import LossReason, Target

from ._node import NodeContext, parse_address

# Shortest time between two load orders of the same generation to one instance.
ORDER_RETRY_S = 1.0
# How long the planner waits for the log's verdict on a proposal.
PROPOSAL_TIMEOUT_S = 5.0

# Called with the status report of an instance, None if the probe failed.
OnReport = Callable[[StatusReport | None], None]
# Called with whether every member of the group is ready.
OnConfirmed = Callable[[bool], None]


class InstanceLink:
    """Keeps the instance list and the presence table up to date; as planner, forms groups.

    Parameters
    ----------
    probes_group : callable
        Whether this node is one of the nodes that probe a group.
    is_planner : callable
        Whether this node holds the planner's lease of its data centre.
    """

    def __init__(
        self,
        node: NodeContext,
        probes_group: Callable[[Group], bool],
        is_planner: Callable[[], bool],
    ) -> None:
        self._node = node
        self._probes_group = probes_group
        self._is_planner = is_planner
        self._planner: GroupProposer | None = None
        self._list_pending = False
        self._pending_probes: set[InstanceId] = set()
        # Callbacks for the next confirmation round; a key exists while a round runs.
        self._next_round: dict[Target, list[OnConfirmed]] = {}
        self._pending_proposals: set[str] = set()
        # Send time of the last load order, by instance and generation.
        self._last_order_at: dict[tuple[InstanceId, int], float] = {}

    def start(self) -> None:
        """Schedule reads of the list, probes and planning."""
        timing = self._node.settings.timing
        clock = self._node.clock
        clock.every(timing.list_poll_s, self.read_instance_list)
        clock.every(timing.probe_s, self.probe_round)
        clock.every(timing.plan_s, self.plan_round)

    def read_instance_list(self) -> None:
        """Read the instance list, unless a read is under way."""
        if self._list_pending:
            return
        self._list_pending = True
        sent_at = self._node.clock.now()

        def on_answer(status: int, body: bytes) -> None:
            self._list_pending = False
            decoded = decode_instance_list(body) if status == 200 else None
            if decoded is not None and decoded.is_ok():
                self._node.leaving_checked_at = max(self._node.leaving_checked_at, sent_at)
                self._node.listed_instances = {
                    listed.instance: listed for listed in decoded.ok.instances
                }

        def on_lost(reason: LossReason) -> None:
            self._list_pending = False

        request = instance_list_request()
        timing = self._node.settings.timing
        self._node.client.fetch(
            self._node.settings.platform.instances,
            request.method,
            request.target,
            (),
            request.body,
            timing.log_timeout_s,
            on_answer,
            on_lost,
        )

    def probe_round(self) -> None:
        """Probe the members of the groups assigned to this node.

        The planner also probes every instance that it can put into a group.
        """
        addresses: dict[InstanceId, str] = {}
        for group in self._node.tail.state.groups.values():
            if self._probes_group(group):
                addresses.update((member.instance, member.address) for member in group.members)
        if self._is_planner():
            addresses.update(
                (listed.instance, listed.address) for listed in self._instances_to_plan()
            )
        for instance, address in addresses.items():
            if instance not in self._pending_probes:
                self._pending_probes.add(instance)
                self._probe(instance, address, lambda _: None)

    def confirm(self, target: Target, on_confirmed: OnConfirmed) -> None:
        """Probe every member of the target's group, then decide whether it is ready.

        All probes are sent after this call, so that no answer is older than it. Calls
        that come while a round for the target is under way share the next round.
        """
        next_round = self._next_round.get(target)
        if next_round is not None:
            next_round.append(on_confirmed)
            return
        self._confirm_round(target, [on_confirmed])

    def _confirm_round(self, target: Target, callbacks: list[OnConfirmed]) -> None:
        self._next_round[target] = []
        group = self._formed_group(target)
        if group is None:
            self._node.clock.after(
                0.0, lambda: self._finish_confirm_round(target, callbacks, False)
            )
            return
        reports: list[StatusReport] = []
        unanswered = len(group.members)

        def on_report(report: StatusReport | None) -> None:
            nonlocal unanswered
            unanswered -= 1
            if report is not None:
                reports.append(report)
            if unanswered == 0:
                # The group may have been dissolved while the probes were under way.
                current = self._formed_group(target)
                ready = current is not None and readiness_from_reports(current, reports).ready
                self._finish_confirm_round(target, callbacks, ready)

        for member in group.members:
            self._probe(member.instance, member.address, on_report)

    def _finish_confirm_round(
        self, target: Target, callbacks: list[OnConfirmed], ready: bool
    ) -> None:
        next_round = self._next_round.pop(target)
        for on_confirmed in callbacks:
            on_confirmed(ready)
        if next_round:
            self._confirm_round(target, next_round)

    def plan_round(self) -> None:
        """Submit proposals and send load orders if this node is the planner.

        No new plan is made until all proposals of the last one have their verdict.
        """
        if not self._is_planner():
            self._planner = None
            return
        if self._planner is None:
            self._planner = GroupProposer()
        now = self._node.clock.now()
        policy = self._planner_policy()
        planner_input = PlannerInput(
            self._node.wall_clock_ms(),
            self._node.id,
            self._node.data_centre,
            self._node.tail.state,
            self._node.instances_with_relayed_state(now),
            self._node.presence,
            policy,
            self._node.new_id,
            lambda group: self._node.group_ready(group, now),
            self._data_centres_with_nodes(),
        )
        if not self._pending_proposals:
            for record in self._planner.plan(planner_input, now):
                self._submit_proposal(record)
        self._send_due_orders(policy, now)

    def _submit_proposal(self, record) -> None:
        """Submit the record of a `Proposal` to the log."""

        def on_settled(result: RecordOutcome) -> None:
            self._pending_proposals.discard(record.id)
            code = result.verdict.code.value if result.verdict else "no-answer"
            detail = result.verdict.detail if result.verdict else ""
            kind = type(record).__name__
            log_event("proposal", kind=kind, group=record.group, verdict=code, detail=detail)

        if self._node.submit(record, PROPOSAL_TIMEOUT_S, on_settled):
            self._pending_proposals.add(record.id)

    def _send_due_orders(self, policy: PlannerPolicy, now: float) -> None:
        """Send load orders to the members that need one, for a limited number of groups."""
        node = self._node
        formed_groups = [
            group
            for group in node.tail.state.groups.values()
            if group.data_centre == node.data_centre and group.phase is GroupPhase.FORMED
        ]
        limit = node.document.policy.max_loading
        ttl_s = policy.presence_ttl_s
        for group in groups_to_load(formed_groups, node.presence, now, ttl_s, limit):
            for due in pending_orders(group, node.presence, now, ttl_s):
                key = (due.instance, due.order.generation)
                if now - self._last_order_at.get(key, float("-inf")) >= ORDER_RETRY_S:
                    self._last_order_at[key] = now
                    self._send_order(due.address, due.instance, due.order)
        # Entries older than 60 s have no effect on the spacing and are dropped.
        self._last_order_at = {
            key: at for key, at in self._last_order_at.items() if now - at < 60.0
        }

    def _send_order(self, address_text: str, instance: InstanceId, order) -> None:
        address = parse_address(address_text)
        if address is None:
            return

        def on_answer(status: int, body: bytes) -> None:
            answer = decode_order_answer(body)
            accepted = answer.is_ok() and answer.ok.accepted
            emit = log_event if accepted else log_warning
            emit(
                "order",
                instance=instance,
                group=order.group,
                generation=order.generation,
                accepted=accepted,
            )

        def on_lost(reason: LossReason) -> None:
            log_warning("order", instance=instance, group=order.group, lost=reason.value)

        request = order_request(order)
        self._node.client.fetch(
            address,
            request.method,
            request.target,
            (("Content-Type", "application/json"),),
            request.body,
            self._node.settings.timing.probe_timeout_s,
            on_answer,
            on_lost,
        )

    def _probe(self, instance: InstanceId, address_text: str, on_probed: OnReport) -> None:
        """Ask an instance for its status; an answer of another instance counts as a failure."""
        address = parse_address(address_text)
        if address is None:
            self._pending_probes.discard(instance)
            self._node.clock.after(0.0, lambda: on_probed(None))
            return
        sent_at = self._node.clock.now()

        def on_answer(status: int, body: bytes) -> None:
            self._pending_probes.discard(instance)
            report = decode_status(body) if status == 200 else None
            if report is None or report.is_error() or report.ok.instance != instance:
                self._node.metrics.probes.inc({"result": "malformed"})
                on_probed(None)
                return
            self._node.metrics.probes.inc({"result": "ok"})
            self._node.presence.record_report(report.ok, sent_at)
            on_probed(report.ok)

        def on_lost(reason: LossReason) -> None:
            self._pending_probes.discard(instance)
            self._node.metrics.probes.inc({"result": reason.value})
            on_probed(None)

        request = status_request()
        timeout_s = self._node.settings.timing.probe_timeout_s
        self._node.client.fetch(
            address, request.method, request.target, (), request.body, timeout_s, on_answer, on_lost
        )

    def _instances_to_plan(self) -> list[ListedInstance]:
        """Return the instances of this data centre whose service has a deployment."""
        node = self._node
        services = {deployment.service for deployment in node.document.deployments.values()}
        return [
            listed
            for listed in node.listed_instances.values()
            if listed.data_centre == node.data_centre and listed.service in services
        ]

    def _data_centres_with_nodes(self) -> frozenset[DataCentre]:
        """Return the data centres that have a live node, which can plan for them."""
        node = self._node
        peers_data_centres = {
            peer.data_centre for peer in node.other_nodes() if peer.stage is NodeStage.LIVE
        }
        return frozenset(peers_data_centres | {node.data_centre})

    def _formed_group(self, target: Target) -> Group | None:
        """Return the target's group if it is formed and has the target's generation."""
        group = self._node.tail.state.groups.get(GroupId(target.group or ""))
        if group is None or group.generation != target.generation:
            return None
        return group if group.phase is GroupPhase.FORMED else None

    def _planner_policy(self) -> PlannerPolicy:
        policy = self._node.document.policy
        return PlannerPolicy(
            self._node.settings.timing.presence_ttl_s,
            policy.order_settle_s,
            policy.load_timeout_s,
            policy.downtime_weight,
        )
