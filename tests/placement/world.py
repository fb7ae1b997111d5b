"""Simulation of instances that carry out orders in virtual time, for tests of the planner.

It checks that no group opens before all its members are ready, and that no member of a
serving group joins another group.
"""

import heapq
import itertools
import random

from briarpond.fleet import Instance, InstanceState, Membership, MemberState
from briarpond.net import Address
from briarpond.placement import GroupStage, LoadBudget, Order, OrderKind, Planner

# Time in seconds after which the head of a group that lost a member breaks.
STALL_S = 4.0
# States of a head in which its group counts as serving.
OPEN_STATES = (MemberState.OPEN, MemberState.CLOSING)


class SimulatedInstance:
    """An instance that carries out orders in virtual time.

    Attributes
    ----------
    unreachable : bool
        Whether orders do not reach the instance although it is running.
    start_count : int
        Number of this start; a restart increases it.
    staged : tuple of str
        Models whose weights are on the host.
    group : tuple or None
        Name, epoch, members and model of the group that the instance belongs to.
    busy : bool
        Whether requests are running, so that an order to close with a wait takes effect only
        when they have finished.
    cut_from_list : bool
        Whether the list goes on to show the entry that it had, as if the instance were cut off
        from the store.
    unlisted : bool
        Whether the list has dropped the entry, as after a long time without a path to the store.
    highest_epoch : int
        Highest epoch of an accepted order to join; orders to join with a lower epoch are
        rejected.
    """

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.alive = True
        self.unreachable = False
        self.draining = False
        self.start_count = 1
        self.staged: tuple[str, ...] = ()
        self.last_model: str | None = None
        self.group: tuple[str, int, tuple[str, ...], str] | None = None
        self.state: MemberState | None = None
        self.highest_epoch = 0
        self.busy = False
        self.cut_from_list = False
        self.unlisted = False


class World:
    """Simulated instances, orders in transit, and the list that planners are given.

    Parameters
    ----------
    instance_count : int
        Number of instances.
    domain_size : int
        Number of instances in a fabric domain.
    lost_share : float
        Share of the orders that get no answer.
    late_share : float
        Share of the orders without an answer that are still carried out, 2 to 12 s
        late.

    Attributes
    ----------
    violations : list of str
        Broken invariants; empty after a correct run.
    ready_seen : set
        Group, epoch and name of each member that became ready.
    loads : list of float
        Times at which loads from the weight store started.
    leave_answers : list
        Instance and group of each answered order to leave.
    listed : dict
        Instance list as of the last `refresh`.
    data_centres : dict
        Data centre of each fabric domain; those without an entry are in "a".
    cut_next_head_in : MemberState or None
        State in which the next head of a group of several is cut from the list; None for none.
    """

    def __init__(
        self,
        engine,
        instance_count: int,
        domain_size: int,
        seed: int,
        lost_share=0.0,
        late_share=0.0,
    ):
        self.engine = engine
        self.rng = random.Random(seed)
        self.now = 0.0
        self.instances = {
            f"i-{n}": SimulatedInstance(f"i-{n}", f"d{n // domain_size}")
            for n in range(instance_count)
        }
        self.lost_share = lost_share
        self.late_share = late_share
        self.violations: list[str] = []
        self.ready_seen: set[tuple[str, int, str]] = set()
        self.loads: list[float] = []
        self.leave_answers: list[tuple[str, str]] = []
        self.listed: dict[str, Instance] = {}
        self.data_centres: dict[str, str] = {}
        self.cut_next_head_in: MemberState | None = None
        self._events: list = []
        self._event_order = itertools.count()

    def planner(self, term: int, group_numbers=None) -> Planner:
        """Return a new planner that holds the lease under a term."""
        load_budget = LoadBudget(
            self.engine.load_starts_per_s, self.engine.max_concurrent_loads, 5.0
        )
        return Planner(term, self.engine, load_budget, STALL_S, group_numbers or itertools.count(1))

    def schedule(self, delay: float, call) -> None:
        """Call a function after a delay, in seconds of virtual time."""
        heapq.heappush(self._events, (self.now + delay, next(self._event_order), call))

    def run(
        self, planner: Planner, seconds: float, demand=None, listing_lag_s: float = 0.0
    ) -> None:
        """Run a planner every 0.1 s.

        Parameters
        ----------
        listing_lag_s : float
            Mean age of the instance list that the planner sees, in seconds.
        """
        end = self.now + seconds
        while self.now < end:
            self.advance(0.1)
            if listing_lag_s == 0.0 or self.rng.random() < 0.1 / listing_lag_s:
                self.refresh()
            planner.update_instances(list(self.listed.values()), self.now)
            for name, simulated in self.instances.items():
                if (not simulated.alive or simulated.unreachable) and self.rng.random() < 0.3:
                    planner.mark_lost(name, self.now)
            for order in planner.next_orders(demand or {}, self.now):
                self.send(planner, order)
            for name in planner.instances_to_verify():
                self._report(planner, self.instances[name])

    def advance(self, seconds: float) -> None:
        """Advance virtual time and run what was scheduled in between."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def refresh(self) -> None:
        """Update the instance list to the present state."""
        self.listed = {
            name: self.listed[name] if s.cut_from_list else self._listed_instance(s)
            for name, s in self.instances.items()
            if s.alive and not s.unlisted
        }

    def _report(self, planner: Planner, simulated: SimulatedInstance) -> None:
        """Tell the planner the membership of an instance that can be reached."""
        if not simulated.alive or simulated.unreachable:
            return
        planner.on_report(simulated.name, _membership(simulated))

    def send(self, planner: Planner, order: Order) -> None:
        """Deliver an order to its instance, or lose it, and answer the planner."""
        if self.rng.random() < self.lost_share:
            if self.rng.random() < self.late_share:
                self.schedule(self.rng.uniform(2.0, 12.0), lambda: self.execute(order))
            self.schedule(0.4, lambda: planner.on_order_answer(order, None, self.now))
            return

        def deliver() -> None:
            status = self.execute(order)
            if status is not None and order.kind is OrderKind.LEAVE:
                self.leave_answers.append((order.instance, order.group))
            planner.on_order_answer(order, status, self.now)

        self.schedule(0.004, deliver)

    def execute(self, order: Order) -> int | None:
        """Carry out an order; return the HTTP status, or None if it does not arrive."""
        simulated = self.instances[order.instance]
        if not simulated.alive or simulated.unreachable:
            return None
        if order.kind is OrderKind.JOIN:
            return self._join(simulated, order)
        is_member = simulated.group is not None and simulated.group[:2] == (
            order.group,
            order.epoch,
        )
        if not is_member:
            return 409
        if order.kind is OrderKind.LEAVE:
            self._set_membership(simulated, None, None)
            return 200
        if order.kind is OrderKind.OPEN:
            return self._open(simulated, order)
        if simulated.state not in OPEN_STATES:
            return 200
        if simulated.busy and order.kind is OrderKind.CLOSE_WAIT:
            simulated.state = MemberState.CLOSING
            return 202
        simulated.state = MemberState.READY
        return 200

    def finish_requests(self, name: str) -> None:
        """End the running requests of an instance; a closing head is then closed."""
        simulated = self.instances[name]
        simulated.busy = False
        if simulated.state is MemberState.CLOSING:
            simulated.state = MemberState.READY

    def serving(self) -> list[SimulatedInstance]:
        """Return the heads of open groups."""
        return [s for s in self.instances.values() if s.alive and s.state is MemberState.OPEN]

    def kill(self, name: str) -> None:
        """End an instance at once."""
        simulated = self.instances[name]
        simulated.alive = False
        self._schedule_head_break(simulated)
        simulated.group, simulated.state = None, None

    def restart(self, name: str) -> None:
        """Start an instance again under its name, with the weights that are on its host."""
        previous = self.instances[name]
        simulated = SimulatedInstance(name, previous.domain)
        simulated.staged = previous.staged
        simulated.start_count = previous.start_count + 1
        self.instances[name] = simulated

    def _listed_instance(self, simulated: SimulatedInstance) -> Instance:
        return Instance(
            id=simulated.name,
            service="pool",
            address=Address("10.0.0.1", 80),
            data_centre=self.data_centres.get(simulated.domain, "a"),
            state=InstanceState.DRAINING if simulated.draining else InstanceState.READY,
            slots=9,
            started_at_ms=simulated.start_count,
            domain=simulated.domain,
            staged_models=simulated.staged,
            model=simulated.group[3] if simulated.group else None,
            membership=_membership(simulated),
        )

    def _join(self, simulated: SimulatedInstance, order: Order) -> int:
        new_group = (order.group, order.epoch, order.members, order.model)
        if simulated.group is not None and simulated.group == new_group:
            return 200 if simulated.state is not MemberState.JOINING else 202
        if order.epoch < simulated.highest_epoch:
            return 412
        if simulated.group is not None and simulated.group[:2] != new_group[:2]:
            self._check_old_head(simulated, order)
        simulated.highest_epoch = order.epoch
        self._set_membership(simulated, new_group, MemberState.JOINING)
        spec = self.engine.model(order.model)
        duration_s = 0.2
        if simulated.last_model != order.model:
            duration_s = spec.warm_join_s
            if order.model not in simulated.staged:
                duration_s += spec.load_s
                self.loads.append(self.now)
        simulated.last_model = order.model
        simulated.staged = (order.model,)
        self._cut_head(simulated)
        start_count = simulated.start_count

        def become_ready() -> None:
            still_running = (
                self.instances[simulated.name] is simulated
                and simulated.start_count == start_count
                and simulated.alive
            )
            if (
                still_running
                and simulated.group == new_group
                and simulated.state is MemberState.JOINING
            ):
                simulated.state = MemberState.READY
                self._cut_head(simulated)
                self.ready_seen.add((order.group, order.epoch, simulated.name))

        self.schedule(duration_s, become_ready)
        return 202

    def _cut_head(self, simulated: SimulatedInstance) -> None:
        """Cut a head from the list if it is the next one to be cut."""
        assert simulated.group is not None
        members = simulated.group[2]
        is_head = members[0] == simulated.name and len(members) > 2
        if is_head and simulated.state is self.cut_next_head_in:
            self.cut_next_head_in = None
            self.listed[simulated.name] = self._listed_instance(simulated)
            simulated.cut_from_list = True

    def _check_old_head(self, simulated: SimulatedInstance, order: Order) -> None:
        """Record a violation if an instance joins another group while its old one serves."""
        assert simulated.group is not None
        name, epoch, members, _ = simulated.group
        head = self.instances[members[0]]
        still_head = head.alive and head.group is not None and head.group[:2] == (name, epoch)
        if still_head and head.state in OPEN_STATES:
            self.violations.append(
                f"double membership at {self.now:.2f} s: {simulated.name} joins {order.group}"
                f" while its group {name} is open"
            )

    def _open(self, simulated: SimulatedInstance, order: Order) -> int:
        if simulated.state is MemberState.OPEN:
            return 200
        if simulated.state is not MemberState.READY:
            return 409
        spec = self.engine.model(order.model)
        complete = len(order.members) == spec.group_size and all(
            (order.group, order.epoch, member) in self.ready_seen for member in order.members
        )
        if not complete:
            self.violations.append(
                f"partial group at {self.now:.2f} s: {order.group} opened"
                " before all its members were ready"
            )
        simulated.state = MemberState.OPEN
        return 202

    def _set_membership(self, simulated: SimulatedInstance, group, state) -> None:
        if simulated.group is not None:
            self._schedule_head_break(simulated)
        simulated.group, simulated.state = group, state

    def _schedule_head_break(self, simulated: SimulatedInstance) -> None:
        """Break the head of an instance's group after the stall time, as a member is gone."""
        if simulated.group is None:
            return
        head = self.instances[simulated.group[2][0]]
        left_group = simulated.group[:2]

        def break_head() -> None:
            if (
                head.group is not None
                and head.group[:2] == left_group
                and head.state in OPEN_STATES
            ):
                head.state = MemberState.BROKEN

        self.schedule(STALL_S, break_head)


def _membership(simulated: SimulatedInstance) -> Membership | None:
    if simulated.group is None or simulated.state is None:
        return None
    name, epoch, members, _ = simulated.group
    return Membership(name, epoch, members.index(simulated.name), simulated.state)


def open_group_count(planner: Planner) -> int:
    """Return the number of groups that are open according to the planner."""
    return sum(1 for group in planner.groups.values() if group.stage is GroupStage.OPEN)
