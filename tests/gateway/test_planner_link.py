"""When a node that got the lease begins to plan."""

from types import SimpleNamespace

import pytest

from briarpond.fleet import FleetView
from briarpond.gateway._planner_link import PlannerLink

from .world import Gateway, instance


@pytest.fixture
def node(tmp_path):
    gateway = Gateway(tmp_path)
    state = gateway.state
    now = gateway.clock.now()
    state.fleet.put(instance("i-1"), now)
    lease = SimpleNamespace(
        term=7, held_since=now, holds=lambda now: True, lapsed_holding=lambda now: False
    )
    peers = SimpleNamespace(book=SimpleNamespace(living=lambda now: []), send_now=lambda: None)
    link = PlannerLink(state, lease, peers, gateway.clock.now)
    return gateway, link


def step_after(node, seconds):
    gateway, link = node
    gateway.clock.time += seconds
    link.step()
    return link.planning


def test_planning_begins_soon_where_no_planner_is_heard(node):
    assert not step_after(node, 0.1)
    assert step_after(node, 0.3)


def test_list_is_not_planned_on_while_entries_come_back_after_an_outage(node):
    """Lehtinen hunt-5c73-39: a group opened during an outage was not listed yet (TWO)."""
    gateway, _ = node
    gateway.state.fleet.outage_ended(gateway.clock.now())
    assert not step_after(node, 2.0)
    assert step_after(node, 0.6)


def test_restarted_node_does_not_plan_at_once_on_its_first_list(node):
    """Its members' heads may be about to come back: it would let them leave."""
    gateway, _ = node
    fleet = FleetView(first_start=False)
    gateway.state.fleet = fleet
    fleet.replace_all([instance("i-1")], gateway.clock.now())
    assert not step_after(node, 2.0)
    assert step_after(node, 0.6)


def test_whole_plan_is_repeated_until_it_has_gone_out(node):
    """Look-ups of addresses once used the repeat up: nodes then followed the list themselves."""
    gateway, link = node
    assert step_after(node, 0.5)
    gateway.clock.time += 1.4
    now = gateway.clock.now()
    assert link.plan(now).targets is not None
    assert link.plan(now + 0.01).targets is not None
    link.note_sent(now + 0.01)
    assert link.plan(now + 0.02).targets is None
    assert link.plan(now + 1.3).targets is not None
