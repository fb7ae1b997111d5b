"""When a node that got the lease starts to plan, and when it repeats the full plan."""

from types import SimpleNamespace

import pytest

from briarpond.fleet import FleetView
from briarpond.gateway._planner_link import PlannerRunner

from .world import Gateway, make_instance


@pytest.fixture
def node(tmp_path):
    gateway = Gateway(tmp_path)
    state = gateway.state
    now = gateway.clock.now()
    state.fleet.put(make_instance("i-1"), now)
    lease = SimpleNamespace(
        term=7, held_since=now, holds=lambda now: True, expired_while_held=lambda now: False
    )
    heartbeat_link = SimpleNamespace(
        heartbeats=SimpleNamespace(live=lambda now: []), send_now=lambda: None
    )
    runner = PlannerRunner(state, lease, heartbeat_link, gateway.clock.now)
    return gateway, runner


def step_after(node, seconds):
    gateway, runner = node
    gateway.clock.time += seconds
    runner.step()
    return runner.planning


def test_planning_starts_after_short_delay_if_no_other_planner_is_heard(node):
    assert not step_after(node, 0.1)
    assert step_after(node, 0.3)


def test_planning_waits_for_entries_to_return_after_store_outage(node):
    """Guards against planning on an incomplete list right after an outage of the store.

    A group that had been opened during the outage was not listed yet, and its instances were
    ordered into second groups.
    """
    gateway, _ = node
    gateway.state.fleet.outage_ended(gateway.clock.now())
    assert not step_after(node, 2.0)
    assert step_after(node, 0.6)


def test_restarted_node_does_not_plan_right_after_its_first_list(node):
    """Entries may still be missing after an outage, so groups may look as if they had no head.

    A planner that started at once would order their members to leave.
    """
    gateway, _ = node
    fleet = FleetView(first_start=False)
    gateway.state.fleet = fleet
    fleet.replace_all([make_instance("i-1")], gateway.clock.now())
    assert not step_after(node, 2.0)
    assert step_after(node, 0.6)


def test_full_plan_is_due_until_a_heartbeat_was_sent_with_it(node):
    """Only a heartbeat that is sent resets the interval of full plans.

    Look-ups of addresses once reset it too. The other nodes then missed the full plan and
    followed the instance list themselves.
    """
    gateway, runner = node
    assert step_after(node, 0.5)
    gateway.clock.time += 1.4
    now = gateway.clock.now()
    assert runner.plan(now).targets is not None
    assert runner.plan(now + 0.01).targets is not None
    runner.mark_sent(now + 0.01)
    assert runner.plan(now + 0.02).targets is None
    assert runner.plan(now + 1.3).targets is not None
