"""Which targets a node uses when the planner falls silent: the last plan or its own list."""

import pytest

from briarpond.directory import PlainServerTarget, Plan, RoutingTargets
from briarpond.net import Address

from .world import Gateway


def server_target(name):
    return PlainServerTarget(name, "desk", Address("10.9.0.1", 80), "z", 6)


@pytest.fixture
def node(tmp_path):
    """Return a node with a current plan of p1 and p2, whose own list is old and has p0 to p2."""
    gateway = Gateway(tmp_path)
    gateway.list_read_at = gateway.clock.now()
    gateway.state.list_known_until = lambda: gateway.list_read_at
    groups = gateway.state.groups(gateway.clock.now())
    gateway.clock.time += 60.0
    targets = RoutingTargets(groups, (server_target("p1"), server_target("p2")))
    gateway.state.accept_plan(Plan(2, 1, True, targets), gateway.clock.now())
    return gateway


def server_names(gateway):
    return {each.instance for each in gateway.state.servers(gateway.clock.now())}


def test_departed_server_is_not_used_when_planner_falls_silent(node):
    """Guards against the use of an old list after the plan expires.

    A server once got a request 2,077 ms after it had announced its departure.
    """
    assert server_names(node) == {"p1", "p2"}
    node.clock.time += 1.6
    assert node.state.needs_instance_list(node.clock.now())
    assert server_names(node) == {"p1", "p2"}


def test_own_list_is_used_once_read_after_the_last_plan(node):
    node.clock.time += 1.6
    node.list_read_at = node.clock.now()
    assert server_names(node) == {"p0", "p1", "p2"}


def test_outdated_plan_is_not_used_once_own_list_was_read(node):
    node.clock.time += 0.2
    outdated_plan = Plan(2, 1, False, None)
    node.state.accept_plan(outdated_plan, node.clock.now())
    assert server_names(node) == {"p1", "p2"}
    node.list_read_at = node.clock.now() - 0.1
    node.state.accept_plan(outdated_plan, node.clock.now())
    assert server_names(node) == {"p0", "p1", "p2"}


def test_groups_of_silent_planner_are_used_until_own_list_was_read(node):
    planner_groups = node.state.groups(node.clock.now())
    assert planner_groups
    node.clock.time += 1.6
    assert node.state.groups(node.clock.now()) == planner_groups
    node.list_read_at = node.clock.now()
    assert node.state.groups(node.clock.now()) == ()


def test_missing_server_without_new_work_is_not_in_published_targets(node):
    """Guards against a new planner that publishes a departed server as a target.

    The server's entry was missing after an outage of the store, and the planner kept it as
    one that may return.
    """
    state, clock = node.state, node.clock
    node.list_read_at = clock.now() + 60.0
    state.fleet.outage_ended(clock.now())
    state.fleet.remove("p0", clock.now())
    assert "p0" in {each.instance for each in state.own_targets().servers}
    clock.time += 1.3
    state.fleet.expire_missing(clock.now())
    assert state.fleet.get("p0") is not None
    assert "p0" not in {each.instance for each in state.own_targets().servers}


def test_outage_that_the_list_has_outlived_does_not_delay_planning_again(node):
    """Guards against a second grace period, seen in an incident: 2 s without a planner.

    A candidate had followed the list again for 2.5 s when its configuration feed, which had
    not been followed, reported the end of the same outage.
    """
    state, clock = node.state, node.clock
    state.on_store_regained(0.2, clock.now())
    assert not state.fleet.is_complete(clock.now())
    clock.time += 2.6
    node.list_read_at = clock.now()
    assert state.fleet.is_complete(clock.now())
    state.on_store_regained(9.0, clock.now())
    assert state.fleet.is_complete(clock.now())
    state.on_store_regained(0.0, clock.now())
    assert not state.fleet.is_complete(clock.now())
