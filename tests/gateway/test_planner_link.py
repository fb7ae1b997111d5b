"""When a node that got the lease starts to plan, and when it repeats the full plan."""

from types import SimpleNamespace

import msgspec
import pytest

from briarpond.directory import Plan, PlanLog, RoutingTargets
from briarpond.fleet import FleetView
from briarpond.gateway._lease_term import lease_term
from briarpond.gateway._planner_link import PlannerRunner
from briarpond.platform import decode_configuration, decode_instance
from briarpond.platform._settings import ColdBound
from briarpond.routes import RouteTable

from ..platform_samples import CONFIG, config_bytes, server_bytes
from .world import Gateway, held_lease, make_instance


@pytest.fixture
def node(tmp_path):
    gateway = Gateway(tmp_path)
    state = gateway.state
    now = gateway.clock.now()
    state.fleet.put(make_instance("i-1"), now)
    lease = held_lease(now)
    gateway.members = SimpleNamespace(
        planning_ended_at=lambda node: None, no_node_reaches_store=lambda now: False
    )
    sync = SimpleNamespace(demand=lambda now: (), plan_log=PlanLog(), members=gateway.members)
    gateway.announced = []
    peers = SimpleNamespace(
        sync=sync, announce=lambda delta=None: delta and gateway.announced.append(delta)
    )
    runner = PlannerRunner(state, lease, peers, gateway.clock.now)
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


def test_plan_is_announced_once_for_each_change(node):
    """Steps without a change send nothing; other nodes learn of a lost notice by their pulls."""
    gateway, runner = node
    assert step_after(node, 0.5)
    assert len(gateway.announced) == 1
    assert step_after(node, 0.1)
    assert len(gateway.announced) == 1
    gateway.state.fleet.remove("p0", gateway.clock.now())
    assert step_after(node, 0.1)
    assert gateway.announced[1].removed == ("server/p0",)


def test_new_holder_of_the_lease_publishes_listed_groups_before_it_may_plan(node):
    """After a restart of all nodes the list is read by one of them, not by each."""
    gateway, runner = node
    gateway.state.plan = None
    gateway.state.fleet.outage_ended(gateway.clock.now())
    assert not step_after(node, 0.1)
    assert {each.instance for each in gateway.announced[0].servers} == {"p0", "p1", "p2"}
    assert runner.publishes(gateway.clock.now())


def test_new_holder_of_the_lease_leaves_a_plan_in_force_alone(node):
    """The previous planner's plan leaves out heads that are lost but still listed."""
    gateway, _ = node
    gateway.state.fleet.outage_ended(gateway.clock.now())
    gateway.state.accept_plan(Plan(6, 1, True, RoutingTargets()), gateway.clock.now())
    assert not step_after(node, 0.1)
    assert not gateway.announced


def test_loads_are_limited_by_a_planner_that_takes_over_while_no_demand_is_known(node):
    """Guards against CEILING: an empty demand does not mean that callers have yet to come.

    A new planner that had just lost contact with the relays, or whose process had just
    started, took the system for new and loaded models without a limit.
    """
    gateway, runner = node
    gateway.send_stream_request()
    assert step_after(node, 0.5)
    (planner,) = runner._planners.values()
    assert planner._load_budget.enforced


@pytest.mark.parametrize(("first_start", "enforced"), [(True, False), (False, True)])
def test_loads_are_unlimited_only_at_the_first_start_of_the_system(node, first_start, enforced):
    gateway, runner = node
    settings = msgspec.structs.replace(gateway.state.settings, first_start=first_start)
    gateway.state.settings = settings
    assert step_after(node, 0.5)
    (planner,) = runner._planners.values()
    assert planner._load_budget.enforced is enforced


def test_planning_goes_on_at_once_after_a_late_renewal_of_the_same_term(node):
    """A planner whose renewal was late by a moment once stopped and took over from itself."""
    gateway, runner = node
    assert step_after(node, 0.5)
    (planner,) = runner._planners.values()
    runner._lease.holds = lambda now: False
    runner._lease.expired_while_held = lambda now: True
    announced = len(gateway.announced)
    assert step_after(node, 0.3)
    assert len(gateway.announced) == announced
    runner._lease.holds = lambda now: True
    step_after(node, 0.1)
    assert list(runner._planners.values()) == [planner]


def test_planning_begins_anew_if_the_term_changed_while_the_lease_had_expired(node):
    """Another node may have planned in between."""
    gateway, runner = node
    assert step_after(node, 0.5)
    (planner,) = runner._planners.values()
    runner._lease.holds = lambda now: False
    runner._lease.expired_while_held = lambda now: True
    step_after(node, 0.1)
    runner._lease.holds = lambda now: True
    runner._lease.held_since = gateway.clock.now()
    runner._lease.term += 2
    step_after(node, 0.1)
    assert planner not in runner._planners.values()


def test_planner_that_was_suspended_begins_anew_when_it_has_a_later_term(node):
    """Guards against orders of a process that was paused while another node planned.

    It did not see its lease expire: it holds one before and after, but not the same.
    """
    gateway, runner = node
    assert step_after(node, 0.5)
    (planner,) = runner._planners.values()
    gateway.clock.time += 5.0
    runner._lease.held_since = gateway.clock.now()
    runner._lease.term += 2
    assert not step_after(node, 0.1)
    assert planner not in runner._planners.values()


def test_planning_goes_on_through_a_new_term_of_a_lease_held_without_interruption(node):
    _, runner = node
    assert step_after(node, 0.5)
    (planner,) = runner._planners.values()
    runner._lease.term += 1
    assert step_after(node, 0.1)
    assert list(runner._planners.values()) == [planner]


def test_take_over_is_quick_once_the_previous_planner_has_said_that_it_stopped(node):
    """The lease moves among healthy candidates whenever one of them comes or goes."""
    gateway, runner = node
    state = gateway.state
    state.planner = "n2"
    state.planner_heard(gateway.clock.now())
    gateway.members.planning_ended_at = lambda node: None
    assert not step_after(node, 0.4)
    stopped_at = gateway.clock.now()
    gateway.members.planning_ended_at = {"n2": stopped_at}.get
    assert not step_after(node, 0.2)
    assert step_after(node, 0.15)


def test_stop_of_an_earlier_planner_says_nothing_about_the_previous_one(node):
    gateway, runner = node
    state = gateway.state
    state.planner = "n2"
    gateway.members.planning_ended_at = {"n2": gateway.clock.now() - 5.0}.get
    state.planner_heard(gateway.clock.now() + 0.3)
    assert not step_after(node, 0.5)


def published_servers(gateway, runner):
    return {each.instance for each in runner._peers.sync.plan_log.targets.servers}


def test_evacuated_data_centre_is_not_in_the_published_plan(node):
    """Guards against targets that every node would have to leave out by itself.

    It holds also while the planner of the next term has not begun to plan.
    """
    gateway, runner = node
    state = gateway.state
    data_centre = state.fleet.get("p0").data_centre
    state.evacuated = frozenset({data_centre})
    step_after(node, 0.1)
    assert published_servers(gateway, runner) == set()
    assert step_after(node, 0.5)
    assert published_servers(gateway, runner) == set()
    state.evacuated = frozenset()
    step_after(node, 0.1)
    assert published_servers(gateway, runner) == {"p0", "p1", "p2"}


def test_open_group_in_an_evacuated_data_centre_gets_no_orders_and_returns_to_the_plan(node):
    """Guards against a data centre that has to form its groups anew after a cancellation."""
    gateway, runner = node
    state = gateway.state
    engine = state.engine("pool")
    members = [f"m{rank}" for rank in range(engine.model("big").group_size)]
    for rank, member in enumerate(members):
        group = {"name": "g1-1", "epoch": 1000001, "rank": rank}
        group["state"] = "ready" if rank else "open"
        entry = server_bytes(group=group, addr=f"10.128.0.{rank + 1}:8080")
        state.fleet.put(decode_instance(member, entry).ok, gateway.clock.now())
    state.fleet.remove("i-1", gateway.clock.now())
    assert step_after(node, 0.5)
    plan_log = runner._peers.sync.plan_log
    assert [each.head for each in plan_log.targets.groups] == ["m0"]
    orders = []
    runner._send_order = lambda planner, order: orders.append(order)
    state.evacuated = frozenset({state.fleet.get("m0").data_centre})
    for _ in range(20):
        step_after(node, 0.1)
    assert plan_log.targets.groups == () and orders == []
    state.evacuated = frozenset()
    step_after(node, 0.1)
    assert [each.head for each in plan_log.targets.groups] == ["m0"] and orders == []


def test_plan_says_that_a_server_is_cold_until_its_time_is_over(node):
    """Guards against nodes that follow the plan and use a cold server like any other."""
    gateway, _ = node
    state = gateway.state
    bounds = msgspec.structs.replace(state.settings.bounds, cold=ColdBound(1.5, 5.0))
    state.settings = msgspec.structs.replace(state.settings, bounds=bounds)
    services = [{**each, "coldPerS": 26.0} for each in CONFIG["services"]]
    state.route_table = RouteTable(decode_configuration(config_bytes(services=services)).ok)
    step_after(node, 0.5)
    entry = server_bytes(service="desk", addr="10.9.0.1:80", group=None, coldLeftMs=2000)
    state.fleet.put(decode_instance("p0", entry).ok, gateway.clock.now())
    step_after(node, 0.1)
    changed = gateway.announced[-1].servers
    assert [(each.instance, each.cold) for each in changed] == [("p0", True)]
    count = len(gateway.announced)
    step_after(node, 1.8)
    assert len(gateway.announced) == count
    step_after(node, 0.2)
    changed = gateway.announced[-1].servers
    assert [(each.instance, each.cold) for each in changed] == [("p0", False)]


# Guards against two planners at a time after a restoration of the store: the store grants the lease
# anew although the one that it granted before the copy's end has not expired.
def test_take_over_waits_for_a_lease_that_the_restored_store_does_not_know(node):
    gateway, runner = node
    gateway.state.accept_plan(Plan(lease_term(1, 7), 1, True, RoutingTargets()), 0.0)
    runner._lease.term = lease_term(2, 3)
    runner._lease.follows_forgotten_lease = True
    gateway.members.planning_ended_at = lambda node: gateway.clock.now()
    assert not step_after(node, 1.4)
    assert step_after(node, 0.2)


def test_take_over_within_an_era_does_not_wait_for_the_lifetime_of_the_lease(node):
    gateway, runner = node
    gateway.state.accept_plan(Plan(lease_term(2, 2), 1, True, RoutingTargets()), 0.0)
    runner._lease.term = lease_term(2, 3)
    assert step_after(node, 0.4)
