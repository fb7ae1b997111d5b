"""Which knowledge a node goes by when the planner falls silent."""

import pytest

from briarpond.directory import PlainRow, Plan, Targets
from briarpond.net import Address

from .world import Gateway


def row(name):
    return PlainRow(name, "desk", Address("10.9.0.1", 80), "z", 6)


@pytest.fixture
def node(tmp_path):
    """A node whose own list is old: in it, p0 to p2 are ready."""
    gateway = Gateway(tmp_path)
    gateway.read_at = gateway.clock.now()
    gateway.state.list_known_at = lambda: gateway.read_at
    groups = gateway.state.groups(gateway.clock.now())
    gateway.clock.time += 60.0
    targets = Targets(groups, (row("p1"), row("p2")))
    gateway.state.take_plan(Plan(2, 1, True, targets), gateway.clock.now())
    return gateway


def names(gateway):
    return {each.instance for each in gateway.state.servers(gateway.clock.now())}


def test_server_that_left_is_not_used_again_when_the_planner_falls_silent(node):
    """Derwent mix 227502272467: p0 got a request 2,077 ms after it said that it leaves."""
    assert names(node) == {"p1", "p2"}
    node.clock.time += 1.6
    assert node.state.needs_list(node.clock.now())
    assert names(node) == {"p1", "p2"}


def test_own_list_counts_once_it_was_read_after_the_planners_last_word(node):
    node.clock.time += 1.6
    node.read_at = node.clock.now()
    assert names(node) == {"p0", "p1", "p2"}


def test_planner_that_lost_the_store_is_not_followed_once_the_list_was_read(node):
    node.clock.time += 0.2
    stale = Plan(2, 1, False, None)
    node.state.take_plan(stale, node.clock.now())
    assert names(node) == {"p1", "p2"}
    node.read_at = node.clock.now() - 0.1
    node.state.take_plan(stale, node.clock.now())
    assert names(node) == {"p0", "p1", "p2"}


def test_groups_of_a_silent_planner_are_used_until_the_list_was_read(node):
    told = node.state.groups(node.clock.now())
    assert told
    node.clock.time += 1.6
    assert node.state.groups(node.clock.now()) == told
    node.read_at = node.clock.now()
    assert node.state.groups(node.clock.now()) == ()


def test_missing_entry_that_gets_no_new_work_is_not_told_to_others(node):
    """Derwent hunt-0bf1-27: a planner that began told all nodes of a server that had left."""
    state, clock = node.state, node.clock
    node.read_at = clock.now() + 60.0
    state.fleet.outage_ended(clock.now())
    state.fleet.remove("p0", clock.now())
    assert "p0" in {each.instance for each in state.targets_seen().servers}
    clock.time += 1.3
    state.fleet.settle(clock.now())
    assert state.fleet.get("p0") is not None
    assert "p0" not in {each.instance for each in state.targets_seen().servers}
