"""A planner that reaches no server declares none lost and leaves the planning to others.

The failure guarded against: the planner was among the partitioned nodes, declared 49 servers lost
within milliseconds, closed their groups for the whole system, and kept the lease.
"""

from types import SimpleNamespace

import pytest

from briarpond.directory import ModelDemand, PlanLog
from briarpond.gateway._handover import HANDOVER_DELAY_S, PlanningHandover
from briarpond.gateway._planner_link import PlannerRunner
from briarpond.platform import decode_instance

from ..platform_samples import server_bytes
from .cut_links import Cut, CuttableGateway

GROUPS = 5


class Members:
    """Other nodes as the planner knows them."""

    def __init__(self):
        self.reach_servers = True
        self.other_is_candidate = True

    def planning_ended_at(self, node):
        return None

    def no_node_reaches_store(self, now):
        return False

    def others_reach_servers(self, now):
        return self.reach_servers

    def other_may_plan(self, now):
        return self.reach_servers and self.other_is_candidate

    def candidates(self, now):
        return ["another"] if self.other_is_candidate else []


class Lease:
    """A lease that is held until this node withdraws."""

    def __init__(self, now):
        self.term = 7
        self.follows_forgotten_lease = False
        self.held_since = now
        self.is_withdrawn = False
        self.is_granted = True

    def holds(self, now):
        return self.is_granted and not self.is_withdrawn

    def is_candidate(self, now):
        return not self.is_withdrawn

    def expired_while_held(self, now):
        return False

    def refresh_term(self):
        """The term is always the same."""

    def withdraw(self):
        self.is_withdrawn = True


class PlanningNode(CuttableGateway):
    """A node that plans `GROUPS` open groups of one model and one of another."""

    def __init__(self, tmp_path):
        super().__init__(tmp_path, heads=())
        clock, state = self.clock, self.state
        self.members = Members()
        self.announced = []
        demand = (ModelDemand("big", float(GROUPS), "pool"),)
        sync = SimpleNamespace(demand=lambda now: demand, plan_log=PlanLog(), members=self.members)
        peers = SimpleNamespace(sync=sync, announce=lambda delta=None: self.announced.append(delta))
        self.size = state.engine("pool").model("big").group_size
        for number in range(GROUPS):
            self._list_group(number, "big", self.size)
        self._list_group(GROUPS, "small", 2)
        self.lease = Lease(clock.now())
        self.planner = PlannerRunner(state, self.lease, peers, clock.now)
        self.handover = PlanningHandover(clock, state.reachability, self.lease, self.planner, peers)
        self.planner.start()
        clock.advance(1.0)
        assert len(self.published) == GROUPS + 1

    def _on_change(self):
        super()._on_change()
        self.handover.on_reach_changed()

    def _list_group(self, number, model, size):
        for rank in range(size):
            group = {"name": f"g{number}", "epoch": 1000001 + number, "rank": rank}
            entry = server_bytes(
                group={**group, "state": "ready" if rank else "open"},
                addr=f"10.1.{number}.{rank + 1}:8080",
                domain=f"d{number}",
                models=[{"name": model, "version": 1, "adapters": []}],
                staged=[model],
            )
            self.state.fleet.put(decode_instance(f"m{number}-{rank}", entry).ok, self.clock.now())

    @property
    def published(self):
        return self.planner._peers.sync.plan_log.targets.groups

    @property
    def lost(self):
        return [name for each in self.planner._planners.values() for name in each.lost]

    def orders(self):
        return [target for _, target in self.client.fetches if target == "/order"]

    def report_all_stalled(self):
        """Report each head as stalled, as nodes do whose streams are silent or were reset."""
        for number in range(GROUPS):
            self.planner.probe_group_of(f"m{number}-0")


@pytest.fixture
def node(tmp_path):
    return PlanningNode(tmp_path)


# Guards against 49 servers declared lost 0.76 s after the planner was cut off.
@pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET, Cut.REFUSE])
def test_planner_that_is_cut_off_declares_nothing_lost(node, cut):
    node.members.reach_servers = False
    node.client.begin(cut)
    node.client.fetches.clear()
    node.report_all_stalled()
    for _ in range(60):
        node.clock.advance(0.05)
        assert node.lost == []
    assert node.is_cut_off
    assert len(node.published) == GROUPS + 1
    assert node.orders() == []


# Guards against a plan that ends for all nodes while nobody can plan.
def test_planner_keeps_the_lease_and_confirms_its_plan_if_all_nodes_are_cut_off(node):
    node.members.reach_servers = False
    node.client.begin(Cut.HANG)
    node.report_all_stalled()
    node.clock.advance(4.0)
    assert node.is_cut_off and not node.lease.is_withdrawn and node.planner.planning
    assert node.state.plan_age(node.clock.now()) <= 0.1
    node.client.begin(Cut.NONE)
    node.clock.advance(1.5)
    assert not node.is_cut_off and node.lost == []


# Guards against a planner that keeps the lease because the store still reaches it.
@pytest.mark.parametrize("cut", [Cut.HANG, Cut.RESET, Cut.REFUSE])
def test_planner_that_is_cut_off_leaves_the_lease_and_stops(node, cut):
    node.client.begin(cut)
    node.report_all_stalled()
    node.clock.advance(1.0 + HANDOVER_DELAY_S)
    assert node.lease.is_withdrawn and not node.planner.planning
    assert len(node.published) == GROUPS + 1


def test_planner_leaves_the_lease_once_it_learns_of_a_node_that_reaches_servers(node):
    node.members.reach_servers = False
    node.client.begin(Cut.HANG)
    node.report_all_stalled()
    node.clock.advance(3.0)
    assert not node.lease.is_withdrawn
    node.members.reach_servers = True
    node.clock.advance(0.2)
    assert node.lease.is_withdrawn and not node.planner.planning


# Guards against a plan that ends for all nodes: the store reached only the planner that left.
def test_planner_keeps_the_lease_until_a_node_that_reaches_servers_is_a_candidate(node):
    node.members.other_is_candidate = False
    node.client.begin(Cut.HANG)
    node.report_all_stalled()
    node.clock.advance(4.0)
    assert node.is_cut_off and not node.lease.is_withdrawn and node.planner.planning
    assert node.state.plan_age(node.clock.now()) <= 0.1
    node.members.other_is_candidate = True
    node.clock.advance(0.2)
    assert node.lease.is_withdrawn and not node.planner.planning


# Guards against a lease that moves to another node that is cut off when the planner leaves.
def test_candidate_without_the_lease_leaves_though_the_other_candidates_are_cut_off(node):
    node.lease.is_granted = False
    node.members.other_may_plan = lambda now: False
    node.client.begin(Cut.HANG)
    node.report_all_stalled()
    node.clock.advance(1.0 + HANDOVER_DELAY_S)
    assert node.is_cut_off and node.lease.is_withdrawn


# Guards against a store that reaches only nodes which are cut off, and has no candidate left.
def test_last_candidate_stays_though_it_does_not_hold_the_lease(node):
    node.lease.is_granted = False
    node.members.other_is_candidate = False
    node.client.begin(Cut.HANG)
    node.report_all_stalled()
    node.clock.advance(4.0)
    assert node.is_cut_off and not node.lease.is_withdrawn


def test_planner_that_was_cut_off_for_a_moment_keeps_the_lease(node):
    node.client.begin(Cut.REFUSE)
    node.report_all_stalled()
    node.clock.advance(0.1)
    assert node.is_cut_off
    node.client.begin(Cut.NONE)
    node.state.reachability.note_connected(node.clock.now(), node.clock.now())
    node.clock.advance(HANDOVER_DELAY_S + 1.0)
    assert not node.is_cut_off


# Guards against repairs that wait for checks of the planner's own links.
def test_one_lost_member_is_declared_lost_without_delay(node):
    dead = node.state.fleet.get("m0-1").address
    node.client.dead.add(dead)
    node.planner.probe_group_of("m0-0")
    node.clock.advance(0.3 + 0.1)
    assert node.lost == ["m0-1"]
    assert not node.is_cut_off


def test_loss_of_a_whole_domain_of_servers_is_declared(node):
    for number in (0, 1):
        for rank in range(node.size):
            node.client.dead.add(node.state.fleet.get(f"m{number}-{rank}").address)
    node.planner.probe_group_of("m0-0")
    node.planner.probe_group_of("m1-0")
    node.clock.advance(0.3 + 0.2)
    assert len(node.lost) == 2 * node.size
    assert not node.is_cut_off


# Guards against servers declared lost for probes that a cut of a moment has swallowed.
def test_probes_that_were_lost_in_a_short_cut_are_repeated(node):
    node.client.begin(Cut.HANG)
    node.report_all_stalled()
    node.clock.advance(0.35)
    node.client.begin(Cut.NONE)
    for _ in range(40):
        node.clock.advance(0.05)
        assert node.lost == []
    assert not node.is_cut_off


# Guards against checks of the planner's links each second for as long as a lost server is listed.
def test_server_that_stays_lost_costs_no_more_checks(node):
    node.client.dead.add(node.state.fleet.get("m0-1").address)
    node.planner.probe_group_of("m0-0")
    node.clock.advance(1.0)
    connects = node.client.connects
    node.clock.advance(10.0)
    assert node.lost == ["m0-1"]
    assert node.client.connects == connects
