"""A new configuration or changed settings reach what keeps a copy of them, while the node runs.

The tests guard against PARTIAL: requests ran in groups of the size that an older version asked for.
"""

from types import SimpleNamespace

import msgspec
import pytest

from briarpond.directory import GroupTarget, Plan, PlanLog, PlanVersion, RoutingTargets
from briarpond.dispatch import BudgetShare
from briarpond.gateway._planner_link import PlannerRunner
from briarpond.net import Address
from briarpond.platform import decode_configuration, decode_instance
from briarpond.routes import RouteTable

from ..platform_samples import CONFIG, config_bytes, server_bytes
from .world import Gateway, held_lease

POOL, DESK = CONFIG["services"]
ROUTES = [{**CONFIG["routes"][0], "split": [], "service": "pool"}, *CONFIG["routes"][1:]]


def configure(gateway, size=4, services=None, **engine):
    """Put a configuration into force in which the model `big` has a size."""
    models = [{**model, "size": size} for model in POOL["engine"]["models"][:1]]
    pool = {**POOL, "engine": {**POOL["engine"], "models": models, **engine}}
    document = config_bytes(routes=ROUTES, services=services or [pool, DESK])
    gateway.state.route_table = RouteTable(decode_configuration(document).ok)


def list_group(gateway, number, ranks=range(4)):
    """List a group, as far as the members of these ranks are listed."""
    for rank in ranks:
        state = "ready" if rank else "open"
        entry = server_bytes(
            addr=f"10.8.{number}.{rank}:80",
            group={"name": f"g-{number}", "epoch": 5, "rank": rank, "state": state},
        )
        gateway.state.fleet.put(decode_instance(f"i-{number}-{rank}", entry).ok, 100.0)


def is_sent(gateway):
    """Return whether a request for the model goes to a group; otherwise it is refused soon."""
    before = len(gateway.client.sent)
    reply = gateway.send_stream_request()
    gateway.clock.advance(0.5)
    if len(gateway.client.sent) > before:
        return True
    assert reply.status == 503
    return False


def test_nothing_is_sent_to_a_group_of_another_size_whatever_the_plan_says(tmp_path):
    """The planner may learn of the configuration later, or be cut off with the old one."""
    gateway = Gateway(tmp_path)
    configure(gateway, 4)
    assert is_sent(gateway)
    configure(gateway, 2)
    assert not is_sent(gateway)
    configure(gateway, 4)
    assert is_sent(gateway)


def test_request_that_waits_for_room_is_not_sent_to_a_group_of_the_former_size(tmp_path):
    gateway = Gateway(tmp_path, heads=("h1",))
    configure(gateway, 4)
    gateway.state.load_tracker.mark_full("h1", gateway.clock.now() + 0.05)
    reply = gateway.send_stream_request()
    configure(gateway, 2)
    gateway.clock.advance(0.5)
    assert reply.status == 503 and not gateway.client.sent


@pytest.mark.parametrize(("ranks", "size"), [(range(4), 4), (range(2), 2), ((0, 1, 3), 0)])
def test_size_of_a_listed_group_is_known_only_if_no_member_is_missing(tmp_path, ranks, size):
    gateway = Gateway(tmp_path)
    list_group(gateway, 1, ranks)
    gateway.state.list_known_until = gateway.clock.now
    gateway.clock.advance(3.0)
    (group,) = gateway.state.groups(gateway.clock.now())
    assert group.size == size
    for wanted in (4, 3, 2):
        configure(gateway, wanted)
        assert is_sent(gateway) is (wanted == size)


def test_size_that_a_plan_does_not_tell_is_taken_from_the_own_list(tmp_path):
    """In a rolling upgrade the planner may be older."""
    gateway = Gateway(tmp_path)
    configure(gateway, 4)
    list_group(gateway, 1)
    gateway.clock.advance(3.0)
    groups = tuple(
        GroupTarget(f"g-{number}", 5, "big", f"i-{number}-0", Address("10.8.1.0", 80))
        for number in (1, 2)
    )
    gateway.state.accept_plan(Plan(9, 1, True, RoutingTargets(groups, ())), gateway.clock.now())
    sizes = {each.group: each.size for each in gateway.state.groups(gateway.clock.now())}
    assert sizes == {"g-1": 4, "g-2": 0}
    assert is_sent(gateway)
    configure(gateway, 2)
    assert not is_sent(gateway)


# Planner


@pytest.fixture
def node(tmp_path):
    """Return a node whose planner has taken over two groups of four."""
    gateway = Gateway(tmp_path)
    configure(gateway, 4)
    list_group(gateway, 1)
    list_group(gateway, 2)
    now = gateway.clock.now()
    lease = held_lease(now)
    members = SimpleNamespace(
        planning_ended_at=lambda node: None, no_node_reaches_store=lambda now: False
    )
    sync = SimpleNamespace(demand=lambda now: (), plan_log=PlanLog(), members=members)
    peers = SimpleNamespace(sync=sync, announce=lambda delta=None: None)
    gateway.runner = PlannerRunner(gateway.state, lease, peers, gateway.clock.now)
    step(gateway, 1.0)
    assert len(sync.plan_log.targets.groups) == 2
    return gateway


def step(gateway, seconds=0.1):
    gateway.clock.advance(seconds)
    gateway.runner.step()


def planner_of(gateway):
    (planner,) = gateway.runner._planners.values()
    return planner


def test_planner_plans_by_the_configuration_in_force(node):
    """Guards against a planner that keeps the engine with which it began."""
    configure(node, 2, loadsPerS=50.0, formMs=1.0, slots=3)
    step(node)
    engine = planner_of(node)._roster.engine
    assert engine == node.state.engine("pool")
    assert (engine.models[0].group_size, engine.slots) == (2, 3)
    assert node.runner._peers.sync.plan_log.targets.groups == ()
    delta = node.runner._peers.sync.plan_log.delta_since(PlanVersion(7, 1))
    assert set(delta.removed) == {"group/g-1", "group/g-2"}


def test_planner_plans_by_the_settings_in_force(node):
    """Settings are read again at SIGHUP."""
    settings = node.state.settings
    bounds = msgspec.structs.replace(settings.bounds, stall_s=1.5, weight_load_window_s=9.0)
    node.state.settings = msgspec.structs.replace(settings, bounds=bounds)
    step(node)
    planner = planner_of(node)
    assert planner._stall_s == 1.5 and planner._load_budget._window_s == 9.0


def test_retry_budget_keeps_to_the_settings_in_force(node):
    """Settings are read again at SIGHUP; requests and retries so far go on to count."""
    state, now = node.state, node.clock.now()
    budget = state.retry_budget("desk")
    assert budget.try_acquire(BudgetShare(1), now)
    bounds = msgspec.structs.replace(state.settings.bounds, retry_ratio=0.0, retry_slack=1.0)
    state.settings = msgspec.structs.replace(state.settings, bounds=bounds)
    assert state.retry_budget("desk") is budget
    assert not budget.try_acquire(BudgetShare(1), now)


def test_groups_of_a_service_that_is_removed_are_closed(node):
    configure(node, services=[DESK])
    step(node)
    groups = planner_of(node).groups.values()
    assert {each.stage.value for each in groups} == {"closing"}
    assert node.runner._peers.sync.plan_log.targets.groups == ()
    for planned in list(groups):
        planner_of(node).groups.pop(planned.id)
    step(node)
    assert not node.runner._planners and not node.runner._stages
