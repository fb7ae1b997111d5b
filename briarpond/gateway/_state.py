"""State that the parts of one node share: configuration, fleet, loads and plan."""

import random
import time
from collections import deque
from collections.abc import Callable, Mapping

import msgspec

from briarpond.directory import (
    RELAY_INTERVAL_S,
    GroupTarget,
    Load,
    ModelDemand,
    PlainServerTarget,
    Plan,
    PlanVersion,
    RoutingTargets,
    ServerInFlight,
    demand_rows,
)
from briarpond.dispatch import (
    AdmittedShare,
    AnswerLengths,
    BudgetNodes,
    BudgetShare,
    ColdSends,
    EventGapTracker,
    GroupPreferences,
    LoadRow,
    LoadTracker,
    RequestSize,
    SharedRetryBudget,
    StepPaces,
    slot_occupancy_s,
)
from briarpond.fleet import FleetView, InstanceState, ListedGroup, MemberState, assemble_groups
from briarpond.ids import DataCentre, GroupId, InstanceId, NodeId, ServiceName
from briarpond.net import Clock, HttpClient
from briarpond.platform import GatewaySettings
from briarpond.quarantine import Quarantine
from briarpond.reachability import LossKind, Reachability
from briarpond.routes import EngineSpec, GatewayConfiguration, HostedModel, RouteTable

from ._cold_link import ColdLink, cold_limit
from ._config_origin import ConfigOrigin
from ._hop_link import HopLink
from ._kept_bytes import KeptBytes
from ._metrics import GatewayMetrics
from ._quarantine_link import QuarantineLink
from ._retry_records import RetryRecords

# What the planner tells of departed servers is relied on for the bound on requests to them,
# less this time, in which a node can read the instance list itself.
OWN_READ_TIME_S = 0.5
# A planner that did not confirm its plan for this long has stopped or lost its lease.
PLANNER_TIMEOUT_S = 2.25 * RELAY_INTERVAL_S
# How long nothing is sent to a server that refused a connection or stalled.
AVOID_DURATION_S = 1.0
# Sliding window over which the demand for models is averaged.
DEMAND_WINDOW_S = 4.0
# Share of a group's slots that demand may fill before another group is wanted.
TARGET_FILL = 0.7


# While a feed is wanted, failed reads are repeated within this time. If the last failure is
# longer ago, the feed was not followed in between and the outage may have ended long before.
MAX_RETRY_GAP_S = 2.0


def plan_lifetime_s(drain_within_s: float) -> float:
    """Return for how long a plan may be used without a newer view of the instance list.

    Parameters
    ----------
    drain_within_s : float
        Bound on the time from a server's departure to the last request sent to it.
    """
    return drain_within_s - OWN_READ_TIME_S


def complete_target(
    target: GroupTarget, listed: Mapping[tuple[GroupId, int, InstanceId], ListedGroup]
) -> GroupTarget:
    """Return a group of a plan with its service and size.

    A planner of an older release tells neither; then they are those of the list, if it has the
    group.

    Parameters
    ----------
    target : GroupTarget
        The group as the planner tells it.
    listed : mapping
        Listed groups by name, epoch and head.
    """
    group = listed.get((target.group, target.epoch, target.head))
    if group is None or target.service:
        return target
    return msgspec.structs.replace(target, service=group.service, size=group.size)


def _act_at_once(_server: InstanceId, _kind: LossKind, act: Callable[[], None]) -> None:
    """Act on a loss on a node that makes no checks."""
    act()


class NodeState:
    """Configuration in force, fleet view, loads and plan of one node.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the node.
    clock : Clock
        Source of time and timers.
    client : HttpClient
        Client for calls to backend servers and instances.

    Attributes
    ----------
    time_of_day : callable
        Returns the time in seconds on a clock that all nodes have about in common.
    route_table : RouteTable or None
        Routes of the configuration in force; None until one was read.
    fleet : FleetView
        This node's own view of the instance list.
    load_tracker : LoadTracker
        Requests in flight at each backend server, from all nodes.
    group_preferences : GroupPreferences
        Order in which this node uses groups.
    event_gap_tracker : EventGapTracker
        Time between events of the streams of each head.
    answer_lengths : AnswerLengths
        Lengths of answers by service and route, learned from those that were whole.
    step_paces : StepPaces
        Step times of groups relative to those of their peers.
    admitted_shares : dict
        Share of the requests for each model that this node admits under overload.
    kept_bytes : KeptBytes
        Memory that incomplete answers of servers take up.
    cold_link : ColdLink
        Pacing of requests to cold servers.
    retry_records : RetryRecords
        What the retry budgets grant and refuse.
    quarantine_link : QuarantineLink
        Prompt parts that end servers, and what is reported of them.
    hops : HopLink
        Nodes that pass requests to servers for this one while it is cut off from them.
    evacuated : frozenset of DataCentre
        Data centres whose servers get no requests, by the operator's order.
    reachability : Reachability
        Whether this node reaches backend servers.
    hold_loss : callable
        Takes a server that this node takes for lost, the kind of what is to be done about it, and
        a function that does it. The function is called once it is clear that the server has
        failed and not this node's links, and else never.
    leaving : bool
        Whether the node is about to stop.
    has_served : bool
        Whether this node has taken a caller's request for a model since its start.
    plan : Plan or None
        Newest plan that this node received or published; None before the first.
    planner : NodeId or None
        Node that made the newest plan; None before there is one.
    targets_version : PlanVersion
        Version of the plan that the routing targets are from.
    node_count : int
        Number of nodes that are alive, this one included.
    budget_nodes : BudgetNodes
        Nodes that have a part of the retry budgets.
    list_known_until : callable
        Returns the time up to which this node has followed the instance list without a
        gap; None if it has not read the list.
    config_origin : callable
        Returns the origin of the operator's records in force.
    """

    def __init__(self, settings: GatewaySettings, clock: Clock, client: HttpClient) -> None:
        self.settings = settings
        self.clock = clock
        self.client = client
        self.rng = random.Random()
        self.time_of_day: Callable[[], float] = time.time
        self.route_table: RouteTable | None = None
        self.fleet = FleetView(settings.first_start)
        self.load_tracker = LoadTracker()
        self.group_preferences = GroupPreferences(settings.node, settings.data_centre)
        self.event_gap_tracker = EventGapTracker()
        self.answer_lengths = AnswerLengths()
        self.step_paces = StepPaces()
        self.admitted_shares: dict[HostedModel, AdmittedShare] = {}
        self.metrics = GatewayMetrics()
        self.retry_records = RetryRecords(self.metrics)
        self.kept_bytes = KeptBytes()
        self.cold_link = ColdLink(settings.node, clock.now(), self._cold_until)
        self.quarantine_link = QuarantineLink(
            self.metrics, clock, lambda now: len(self.groups(now))
        )
        self.evacuated: frozenset[DataCentre] = frozenset()
        self.reachability = Reachability()
        self.hops = HopLink(
            settings.data_centre,
            settings.peer_port,
            self.rng,
            lambda now: self.reachability.is_cut_off(now),
        )
        self.hold_loss: Callable[[InstanceId, LossKind, Callable[[], None]], None] = _act_at_once
        self.leaving = False
        self.has_served = False
        self.plan: Plan | None = None
        self.planner: NodeId | None = None
        self.node_count = 1
        self.budget_nodes = BudgetNodes(settings.node, clock.now(), bool(settings.seed_hosts))
        self.list_known_until: Callable[[], float | None] = lambda: None
        self.config_origin: Callable[[], ConfigOrigin] = ConfigOrigin
        self._plan_confirmed_at = float("-inf")
        self._plan_list_known_at = float("-inf")
        self._planner_heard_at = float("-inf")
        self._retry_budgets: dict[ServiceName, SharedRetryBudget] = {}
        self._avoided_until: dict[InstanceId, float] = {}
        self._recent_demand: deque[tuple[float, HostedModel, float]] = deque()
        self._targets = RoutingTargets()
        self._plan_is_complete = True
        self._completed_groups: tuple[GroupTarget, ...] = ()
        self._completed_groups_key: tuple[PlanVersion, int] | None = None
        self.targets_version = PlanVersion(-1, -1)
        self._own_targets = RoutingTargets()
        # What the own targets follow from, and until when they hold if that does not change.
        self._own_targets_key: tuple[int, object, object] = (-1, None, None)
        self._own_targets_until = float("-inf")

    @property
    def quarantine(self) -> Quarantine:
        """Prompt parts that end servers, as this node knows them."""
        return self.quarantine_link.quarantine

    @property
    def config(self) -> GatewayConfiguration | None:
        """The configuration in force; None until one was read."""
        return None if self.route_table is None else self.route_table.config

    def engine(self, service: ServiceName) -> EngineSpec | None:
        """Return the engine of a service; None unless its instances form groups."""
        config = self.config
        spec = None if config is None else config.services.get(service)
        return None if spec is None else spec.engine

    def retry_budget(self, service: ServiceName) -> SharedRetryBudget:
        """Return this node's share of the repeated sends to a service."""
        bounds = self.settings.bounds
        limits = (bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = SharedRetryBudget(*limits)
        # The settings may have been read again since.
        budget.configure(*limits)
        return budget

    def update_nodes(self, nodes: frozenset[NodeId], now: float) -> None:
        """Replace the nodes that count as alive, this one included."""
        self.node_count = len(nodes)
        self.budget_nodes.update(nodes, now)

    def retry_share(self, now: float) -> BudgetShare:
        """Return this node's part of the fixed number of repeats."""
        return self.budget_nodes.share(self.settings.bounds.retry_window_s, now)

    def publish_retry_usage(self, now: float) -> None:
        """Set the metrics of the retry budgets."""
        share = self.retry_share(now)
        for service in self._retry_budgets:
            usage = self.retry_budget(service).usage(share, now)
            self.retry_records.update_gauges(service, usage, share)

    def accept_plan(
        self, plan: Plan, confirmed_at: float, list_known_at: float | None = None
    ) -> None:
        """Put a plan into force unless it is older than the present one.

        A plan without targets only confirms one that was received before: it extends the
        lifetime of the targets if this node has them, but does not replace them.

        Parameters
        ----------
        plan : Plan
            The plan.
        confirmed_at : float
            Time at which the planner had this plan.
        list_known_at : float or None
            Time up to which the planner had followed the instance list; by default
            `confirmed_at`.
        """
        current = self.plan
        version = PlanVersion(plan.term, plan.sequence)
        if current is not None and version < PlanVersion(current.term, current.sequence):
            return
        if plan.targets is not None:
            self._stop_avoiding_new_heads(plan.targets)
            self._targets = plan.targets
            # Planners of older releases name no service.
            self._plan_is_complete = all(each.service for each in plan.targets.groups)
            self.targets_version = version
        self.plan = plan
        if self.targets_version == version:
            self._plan_confirmed_at = max(self._plan_confirmed_at, confirmed_at)
            if plan.list_is_current:
                known_at = confirmed_at if list_known_at is None else list_known_at
                self._plan_list_known_at = max(self._plan_list_known_at, known_at)

    def on_store_regained(self, failure_age_s: float, now: float) -> None:
        """Begin the grace period of the instance list after an outage of the store.

        Nothing happens if the list was read since the failure: its own feed has then noticed
        the outage, and another feed, which was not followed in between, reports it late.

        Parameters
        ----------
        failure_age_s : float
            Seconds since the last failure of the feed that has got an answer.
        now : float
            Present time.
        """
        known_until = self.list_known_until()
        if known_until is not None and known_until > now - failure_age_s:
            return
        self.fleet.outage_ended(now, failure_age_s <= MAX_RETRY_GAP_S)

    def on_store_restored(self, now: float) -> None:
        """Begin the grace period of the instance list after a restoration of the store."""
        known_until = self.list_known_until()
        is_followed = known_until is not None and now - known_until <= MAX_RETRY_GAP_S
        self.fleet.outage_ended(now, is_followed)

    def planner_heard(self, at: float) -> None:
        """Record that the planner, another node, had its plan at a time."""
        self._planner_heard_at = max(self._planner_heard_at, at)

    def plan_age(self, now: float) -> float:
        """Return the seconds since the planner confirmed the plan."""
        return now - self._plan_confirmed_at

    def plan_list_age(self, now: float) -> float:
        """Return the seconds since the planner's view of the instance list was current."""
        return now - self._plan_list_known_at

    def _stop_avoiding_new_heads(self, targets: RoutingTargets) -> None:
        """Make avoided heads usable again where they head a new group."""
        present_heads = {(target.head, target.epoch) for target in self._targets.groups}
        for target in targets.groups:
            if (target.head, target.epoch) not in present_heads:
                self._avoided_until.pop(target.head, None)

    def planner_is_heard(self, now: float) -> bool:
        """Whether another node confirmed its plan within the last `PLANNER_TIMEOUT_S` seconds."""
        return now - self._planner_heard_at < PLANNER_TIMEOUT_S

    def plan_is_in_force(self, now: float) -> bool:
        """Whether a plan whose targets are known here was confirmed a short time ago."""
        return self.plan is not None and self.plan_age(now) <= self._plan_lifetime_s()

    def needs_instance_list(self, now: float) -> bool:
        """Whether this node must follow the instance list itself.

        It need not while a plan is in force whose sender follows the list.
        """
        if self.plan is None or not self.plan.list_is_current:
            return True
        if not self._plan_is_complete:
            return True
        return not self.plan_is_in_force(now) or self.plan_list_age(now) > self._plan_lifetime_s()

    def _plan_lifetime_s(self) -> float:
        return plan_lifetime_s(self.settings.bounds.drain_within_s)

    def groups(self, now: float) -> tuple[GroupTarget, ...]:
        """Return the groups that requests may be sent to.

        They are those of the plan while it is in force, and afterwards until this node has
        read the instance list anew.
        """
        if self.plan_is_in_force(now) or self._list_is_older_than(self._plan_confirmed_at):
            return self._planned_groups()
        return self.own_targets().groups

    def _planned_groups(self) -> tuple[GroupTarget, ...]:
        """Return the groups of the plan, with what a planner of an older release does not tell.

        It is taken from this node's own view of the list, and stays unknown for groups that
        are not there.
        """
        if self._plan_is_complete:
            return self._targets.groups
        key = (self.targets_version, self.fleet.version)
        if key != self._completed_groups_key:
            listed = {
                (group.id, group.epoch, group.head): group
                for group in assemble_groups(self.fleet.all_instances())
            }
            self._completed_groups = tuple(
                complete_target(target, listed) for target in self._targets.groups
            )
            self._completed_groups_key = key
        return self._completed_groups

    def servers(self, now: float) -> tuple[PlainServerTarget, ...]:
        """Return the plain servers that requests may be sent to."""
        if not self._uses_own_list(now):
            return self._targets.servers
        return self.own_targets().servers or self._targets.servers

    def has_left(self, server: InstanceId, now: float) -> bool:
        """Whether this node saw a server leave, provided that it uses its own view of the list.

        While it uses the planner's targets this is False: its own view may be outdated.
        """
        return server in self.fleet.unavailable_since and self._uses_own_list(now)

    def _uses_own_list(self, now: float) -> bool:
        """Whether this node uses its own view of the list instead of the planner's targets.

        A node that has to follow the list again needs a moment to read the changes that it
        missed; until then the planner's last targets are more recent than its own view.
        """
        return self.needs_instance_list(now) and not self._list_is_older_than(
            self._plan_list_known_at
        )

    def _list_is_older_than(self, plan_at: float) -> bool:
        known_until = self.list_known_until()
        return plan_at > (float("-inf") if known_until is None else known_until)

    def own_targets(self) -> RoutingTargets:
        """Return the targets that follow from this node's own view of the list."""
        now = self.clock.now()
        key = (self.fleet.version, self.route_table, self.settings.bounds)
        if key != self._own_targets_key or now >= self._own_targets_until:
            self._own_targets = RoutingTargets(self._own_groups(now), self._own_servers(now))
            self._own_targets_key = key
            self._own_targets_until = self._next_cold_end(now)
        return self._own_targets

    def cold_sends(self, now: float) -> ColdSends:
        """Return the pacing of requests to the servers that are cold at present."""
        targets = RoutingTargets(self.groups(now), self.servers(now))
        self.cold_link.update_targets(targets, self.config, self.settings.bounds, now)
        return self.cold_link.sends

    def is_cold(self, server: InstanceId, now: float) -> bool:
        """Whether the instance list says that a server is cold, and requests to it are limited."""
        return now < self._cold_until(server)

    def _cold_until(self, server: InstanceId) -> float:
        instance = self.fleet.get(server)
        config = self.config
        spec = None if instance is None or config is None else config.services.get(instance.service)
        if spec is None or cold_limit(spec, self.settings.bounds) is None:
            return float("-inf")
        return self.fleet.cold_until(server, spec.cold_start_s)

    def _next_cold_end(self, now: float) -> float:
        ends = (self._cold_until(each.id) for each in self.fleet.all_instances())
        return min((end for end in ends if end > now), default=float("inf"))

    def avoid(self, server: InstanceId, now: float) -> None:
        """Send nothing to a server for the next `AVOID_DURATION_S` seconds."""
        self._avoided_until[server] = now + AVOID_DURATION_S

    def forget_avoided(self) -> None:
        """Use all servers again, because not they but this node's links had failed."""
        self._avoided_until.clear()

    def is_avoided(self, server: InstanceId, now: float) -> bool:
        """Whether nothing is to be sent to a server at present."""
        return now < self._avoided_until.get(server, 0.0)

    def count_demand(
        self, hosted: HostedModel, engine: EngineSpec, request_size: RequestSize, now: float
    ) -> None:
        """Add a caller's request to the demand for its model at a service."""
        self.has_served = True
        spec = engine.model(hosted.model)
        if spec is not None:
            group_share = slot_occupancy_s(engine, spec, request_size) / (
                engine.slots * TARGET_FILL
            )
            self._recent_demand.append((now, hosted, group_share))

    def demand(self, now: float) -> tuple[ModelDemand, ...]:
        """Return how many groups of each model the requests to this node would fill."""
        while self._recent_demand and self._recent_demand[0][0] < now - DEMAND_WINDOW_S:
            self._recent_demand.popleft()
        sums: dict[HostedModel, float] = {}
        for _, hosted, group_share in self._recent_demand:
            sums[hosted] = sums.get(hosted, 0.0) + group_share / DEMAND_WINDOW_S
        return demand_rows(sums)

    def own_load(self, now: float) -> Load:
        """Return this node's requests in flight and its demand."""
        rows = self.load_tracker.own_load_rows()
        return Load(tuple(ServerInFlight(*row) for row in rows), self.demand(now))

    def set_peer_load(self, source: str, load: Load) -> None:
        """Replace the requests in flight that another node or a relay reported."""
        rows = [
            LoadRow(row.instance, row.in_flight, row.unread_tokens, row.unwritten_tokens)
            for row in load.servers
        ]
        self.load_tracker.set_peer_load(source, rows)

    def _own_groups(self, now: float) -> tuple[GroupTarget, ...]:
        return tuple(
            self._group_target(group, now)
            for group in assemble_groups(self.fleet.all_instances())
            if group.state is MemberState.OPEN and group.head not in self.fleet.unavailable_since
        )

    def _group_target(self, group: ListedGroup, now: float) -> GroupTarget:
        head = self.fleet.get(group.head)
        data_centre = DataCentre("") if head is None else head.data_centre
        return GroupTarget(
            group.id,
            group.epoch,
            group.model,
            group.head,
            group.head_address,
            data_centre,
            self.is_cold(group.head, now),
            group.service,
            group.size,
        )

    def _own_servers(self, now: float) -> tuple[PlainServerTarget, ...]:
        return tuple(
            PlainServerTarget(
                listed_instance.id,
                listed_instance.service,
                listed_instance.address,
                listed_instance.data_centre,
                listed_instance.slots,
                self.is_cold(listed_instance.id, now),
            )
            for listed_instance in self.fleet.all_instances()
            if listed_instance.state is InstanceState.READY
            and listed_instance.id not in self.fleet.unavailable_since
            and self.engine(listed_instance.service) is None
            # A service may have lost its engine while its groups still serve.
            and listed_instance.membership is None
        )
