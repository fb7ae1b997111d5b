"""Which nodes hold the planner's lease while some of them reach no backend servers.

The failure guarded against: the planner left the lease to nodes that do not reach the store, nobody
could plan, and the plan ended for all nodes 1.5 s later.
"""

from types import SimpleNamespace

import pytest

from briarpond.directory import MemberTable
from briarpond.gateway._handover import PlanningHandover
from briarpond.gateway._lease import MAX_CANDIDATES, PlannerLease
from briarpond.net import LossReason

from ..directory.test_directory import member
from .test_lease import LeaseGroup
from .world import VirtualClock

# How often the nodes tell each other of themselves.
TELL_INTERVAL_S = 0.05
# A plan that nobody confirms ends after this time.
PLAN_LIFETIME_S = 1.5


class Node:
    """A node with its lease, its view of the others, and links that can be cut."""

    def __init__(self, name, clock, store):
        self.name = name
        self.reaches_store = True
        self.is_cut_off = False
        self.table = MemberTable(member(name, cut_off=False))
        self.lease = PlannerLease(
            SimpleNamespace(era=0, call=self._call_store),
            clock,
            name,
            1.0,
            lambda: self.table.should_apply(MAX_CANDIDATES, clock.now()),
            lambda: True,
            lambda: False,
        )
        self._clock = clock
        self._store = store
        self._handover = PlanningHandover(
            clock,
            SimpleNamespace(is_cut_off=lambda now: self.is_cut_off),
            self.lease,
            SimpleNamespace(planning=False, step=lambda: None),
            SimpleNamespace(sync=SimpleNamespace(members=self.table), announce=lambda: None),
        )

    def cut(self):
        self.is_cut_off = True
        self._handover.on_reach_changed()

    def describe(self, now):
        candidate = self.lease.is_candidate(now)
        self.table.update_own(candidate=candidate, cut_off=self.is_cut_off)
        return self.table.own

    def _call_store(self, request, timeout_s, on_answer, on_lost):
        if self.reaches_store:
            self._store.call(request, timeout_s, on_answer, on_lost)
        else:
            self._clock.after(timeout_s, lambda: on_lost(LossReason.TIMEOUT))


class System:
    """Six nodes, of which the first three are candidates."""

    def __init__(self):
        self.clock = VirtualClock()
        store = LeaseGroup(self.clock, 0.02)
        self.nodes = [Node(name, self.clock, store) for name in "123456"]
        self.clock.every(TELL_INTERVAL_S, self._tell_all)
        self._tell_all()
        for node in self.nodes:
            node.lease.start()
        self.clock.advance(3.0)

    def holders(self):
        now = self.clock.now()
        return [node.name for node in self.nodes if node.lease.holds(now)]

    def candidates(self):
        now = self.clock.now()
        return [node.name for node in self.nodes if node.lease.is_candidate(now)]

    def run(self, duration_s):
        """Return the longest time without a holder; there are never two."""
        longest_s = idle_s = 0.0
        for _ in range(round(duration_s * 100)):
            self.clock.advance(0.01)
            holders = self.holders()
            assert len(holders) <= 1
            idle_s = 0.0 if holders else idle_s + 0.01
            longest_s = max(longest_s, idle_s)
        return longest_s

    def _tell_all(self):
        now = self.clock.now()
        for node in self.nodes:
            own = node.describe(now)
            for other in self.nodes:
                if other is not node:
                    other.table.heard(own, now)


@pytest.fixture
def system():
    system = System()
    assert system.holders() == ["1"] and system.candidates() == ["1", "2", "3"]
    return system


# Guards against a plan that ends because the planner leaves before another node can take over.
def test_lease_moves_to_a_node_that_reaches_servers_if_all_candidates_are_cut_off(system):
    for node in system.nodes[:3]:
        node.cut()
    assert system.run(5.0) < PLAN_LIFETIME_S / 2
    assert system.holders() == ["4"]
    assert system.candidates() == ["4", "5", "6"]


# Guards against a planner that leaves to nodes which do not reach the store.
def test_planner_that_is_cut_off_stays_if_the_store_reaches_no_other_node(system):
    for node in system.nodes[:3]:
        node.cut()
    for node in system.nodes[1:]:
        node.reaches_store = False
    assert system.run(10.0) == 0.0
    assert system.holders() == ["1"]
    system.nodes[4].reaches_store = True
    assert system.run(5.0) < PLAN_LIFETIME_S / 2
    assert system.holders() == ["5"]


# Guards against a node that has left the planning and may not come back when nobody else can plan.
def test_node_that_is_cut_off_comes_back_if_the_next_planner_loses_the_store(system):
    system.nodes[0].cut()
    system.run(5.0)
    assert system.holders() == ["2"]
    for node in system.nodes[1:]:
        node.reaches_store = False
    system.run(10.0)
    assert system.holders() == ["1"]
