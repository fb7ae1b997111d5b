"""What the parts of one node share."""

import random
from collections import deque

from briarpond.directory import Beat, DemandRow, Plan, PlanRow
from briarpond.dispatch import LoadBook, RetryBudget, Work, place_s
from briarpond.fleet import FleetView, MemberState, groups_of
from briarpond.ids import InstanceId, ServiceName
from briarpond.net import Clock, HttpClient
from briarpond.platform import GatewaySettings
from briarpond.routes import Configuration, EngineSpec, ModelName, RouteTable

from ._metrics import GatewayMetrics

# A plan that was not repeated for so long gives way to the node's own view.
PLAN_S = 1.5
# A server that did not take a connection, or whose streams stand still, rests so long.
AVOID_S = 1.0
DEMAND_WINDOW_S = 4.0
# Part of a group's places that demand may fill before another group is wanted.
FILL = 0.7


class NodeState:
    """Configuration, fleet, loads and plan as this node knows them."""

    def __init__(self, settings: GatewaySettings, clock: Clock, client: HttpClient) -> None:
        self.settings = settings
        self.clock = clock
        self.client = client
        self.rng = random.Random()
        self.table: RouteTable | None = None
        self.fleet = FleetView()
        self.loads = LoadBook()
        self.metrics = GatewayMetrics()
        self.leaving = False
        self.plan: Plan | None = None
        self.nodes = 1
        self._plan_at = float("-inf")
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._avoid: dict[InstanceId, float] = {}
        self._demand: deque[tuple[float, ModelName, float]] = deque()
        self._own_groups: tuple[int, tuple[PlanRow, ...]] = (-1, ())

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
        if known is not None and (plan.term, plan.sequence) < (known.term, known.sequence):
            return
        self.plan = plan
        self._plan_at = now

    def groups(self, now: float) -> tuple[PlanRow, ...]:
        """Return the groups that serve."""
        if self.plan is not None and now - self._plan_at <= PLAN_S:
            return self.plan.groups
        return self._groups_seen()

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
            self.take_plan(beat.plan, now)

    def _groups_seen(self) -> tuple[PlanRow, ...]:
        version, rows = self._own_groups
        if version != self.fleet.version:
            rows = tuple(
                PlanRow(group.id, group.epoch, group.model, group.head, group.head_address)
                for group in groups_of(self.fleet.all())
                if group.state is MemberState.OPEN
            )
            self._own_groups = (self.fleet.version, rows)
        return rows
