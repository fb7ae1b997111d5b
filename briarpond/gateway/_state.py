"""What the parts of one node share."""

import random
from collections import deque
from collections.abc import Callable

from briarpond.directory import Beat, DemandRow, PlainRow, Plan, PlanRow, Targets
from briarpond.dispatch import LoadBook, PaceBook, RetryBudget, Work, place_s
from briarpond.fleet import FleetView, InstanceState, MemberState, groups_of
from briarpond.ids import InstanceId, ServiceName
from briarpond.net import Clock, HttpClient
from briarpond.platform import GatewaySettings
from briarpond.routes import Configuration, EngineSpec, ModelName, RouteTable

from ._metrics import GatewayMetrics

# A plan that was not repeated for so long gives way to the node's own view.
PLAN_S = 1.5
# A planner that was silent for so long has stopped, or has lost its lease.
PLANNER_SILENT_S = 0.9
# A server that did not take a connection, or whose streams stand still, rests so long.
AVOID_S = 1.0
DEMAND_WINDOW_S = 4.0
# Part of a group's places that demand may fill before another group is wanted.
FILL = 0.7


class NodeState:
    """Configuration, fleet, loads and plan as this node knows them.

    Attributes
    ----------
    list_known_at : callable
        Returns up to when this node itself knows the list of instances; None if it
        has not read it.
    """

    def __init__(self, settings: GatewaySettings, clock: Clock, client: HttpClient) -> None:
        self.settings = settings
        self.clock = clock
        self.client = client
        self.rng = random.Random()
        self.table: RouteTable | None = None
        self.fleet = FleetView(settings.first_start)
        self.loads = LoadBook()
        self.paces = PaceBook()
        self.metrics = GatewayMetrics()
        self.leaving = False
        self.plan: Plan | None = None
        self.nodes = 1
        self.list_known_at: Callable[[], float | None] = lambda: None
        self._plan_at = float("-inf")
        self._fresh_plan_at = float("-inf")
        self._planner_heard_at = float("-inf")
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._avoid: dict[InstanceId, float] = {}
        self._demand: deque[tuple[float, ModelName, float]] = deque()
        self._targets = Targets()
        self._targets_of = (-1, -1)
        self._seen: tuple[int, Targets] = (-1, Targets())

    @property
    def config(self) -> Configuration | None:
        """The configuration in force."""
        return None if self.table is None else self.table.config

    def engine(self, service: ServiceName) -> EngineSpec | None:
        """Return the engine of a service whose instances form groups."""
        config = self.config
        spec = None if config is None else config.services.get(service)
        return None if spec is None else spec.engine

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return this node's part of the repeats to a service."""
        known = self._budgets.get(service)
        if known is None:
            bounds = self.settings.bounds
            known = RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
            self._budgets[service] = known
        return known

    def take_plan(self, plan: Plan, now: float) -> None:
        """Take the planner's word, unless it is older than what is known."""
        known = self.plan
        number = (plan.term, plan.sequence)
        if known is not None and number < (known.term, known.sequence):
            return
        if plan.targets is not None:
            self._welcome_new(plan.targets)
            self._targets = plan.targets
            self._targets_of = number
        self.plan = plan
        if self._targets_of == number:
            self._plan_at = now
            if plan.fresh:
                self._fresh_plan_at = now

    def _welcome_new(self, targets: Targets) -> None:
        """A head that was avoided serves again once it heads a new group."""
        known = {(row.head, row.epoch) for row in self._targets.groups}
        for row in targets.groups:
            if (row.head, row.epoch) not in known:
                self._avoid.pop(row.head, None)

    def hears_planner(self, now: float) -> bool:
        """Whether another node said a moment ago that it plans."""
        return now - self._planner_heard_at < PLANNER_SILENT_S

    def plan_holds(self, now: float) -> bool:
        """Whether the newest plan is known and was repeated a moment ago."""
        return self.plan is not None and now - self._plan_at <= PLAN_S

    def needs_list(self, now: float) -> bool:
        """Whether this node must follow the list of instances itself."""
        return not (self.plan_holds(now) and self.plan is not None and self.plan.fresh)

    def groups(self, now: float) -> tuple[PlanRow, ...]:
        """Return the groups that serve."""
        if self.plan_holds(now) or self._list_is_older_than(self._plan_at):
            return self._targets.groups
        return self.targets_seen().groups

    def servers(self, now: float) -> tuple[PlainRow, ...]:
        """Return the plain servers that take requests."""
        if not self._goes_by_list(now):
            return self._targets.servers
        return self.targets_seen().servers or self._targets.servers

    def has_left(self, server: InstanceId, now: float) -> bool:
        """Whether a server leaves or has left, as far as this node goes by the list.

        A node that is told by the planner does not: what it saw before may be old.
        """
        return server in self.fleet.left and self._goes_by_list(now)

    def _goes_by_list(self, now: float) -> bool:
        """Whether this node's own view of the list counts, not the planner's word.

        A node that has to follow the list again needs a moment to read what it missed;
        until then, what the planner said last is the younger knowledge.
        """
        return self.needs_list(now) and not self._list_is_older_than(self._fresh_plan_at)

    def _list_is_older_than(self, told_at: float) -> bool:
        known_at = self.list_known_at()
        return told_at > (float("-inf") if known_at is None else known_at)

    def targets_seen(self) -> Targets:
        """Return the targets by this node's own view of the list."""
        version, targets = self._seen
        if version != self.fleet.version:
            targets = Targets(self._groups_seen(), self._servers_seen())
            self._seen = (self.fleet.version, targets)
        return targets

    def avoid(self, server: InstanceId, now: float) -> None:
        """Send nothing to a server for a moment."""
        self._avoid[server] = now + AVOID_S

    def avoids(self, server: InstanceId, now: float) -> bool:
        """Whether a server rests."""
        return now < self._avoid.get(server, 0.0)

    def count_demand(self, model: ModelName, engine: EngineSpec, work: Work, now: float) -> None:
        """Count a caller's request for a model."""
        spec = engine.model(model)
        if spec is not None:
            need = place_s(engine, spec, work) / (engine.slots * FILL)
            self._demand.append((now, model, need))

    def demand(self, now: float) -> tuple[DemandRow, ...]:
        """Return how many groups of each model this node's callers would fill."""
        while self._demand and self._demand[0][0] < now - DEMAND_WINDOW_S:
            self._demand.popleft()
        sums: dict[ModelName, float] = {}
        for _, model, need in self._demand:
            sums[model] = sums.get(model, 0.0) + need / DEMAND_WINDOW_S
        return tuple(DemandRow(model, groups) for model, groups in sums.items())

    def take_beat(self, beat: Beat, now: float) -> None:
        """Take what another node says."""
        rows = [(row.instance, row.in_flight, row.unread_tokens) for row in beat.servers]
        self.loads.put_peer(beat.node, rows, now)
        for server in beat.stalled:
            self.avoid(server, now)
        if beat.plan is not None:
            self._planner_heard_at = now
            self.take_plan(beat.plan, now)

    def _groups_seen(self) -> tuple[PlanRow, ...]:
        return tuple(
            PlanRow(group.id, group.epoch, group.model, group.head, group.head_address)
            for group in groups_of(self.fleet.all())
            if group.state is MemberState.OPEN and group.head not in self.fleet.left
        )

    def _servers_seen(self) -> tuple[PlainRow, ...]:
        return tuple(
            PlainRow(row.id, row.service, row.address, row.data_centre, row.slots)
            for row in self.fleet.all()
            if row.state is InstanceState.READY
            and row.id not in self.fleet.left
            and self.engine(row.service) is None
        )
