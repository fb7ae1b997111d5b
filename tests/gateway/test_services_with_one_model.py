"""Two services host the same model: each request runs at the service of its route.

The tests guard against ROUTE: requests of a route ran at another service with the same model.
"""

from types import SimpleNamespace

import msgspec
import pytest

from briarpond.directory import (
    GroupTarget,
    ModelDemand,
    Plan,
    PlanLog,
    PlanVersion,
    RoutingTargets,
)
from briarpond.gateway._cold_link import cold_limits
from briarpond.gateway._planner_link import PlannerRunner, demand_of_service
from briarpond.net import Address
from briarpond.platform import decode_configuration, decode_instance
from briarpond.platform._settings import ColdBound
from briarpond.routes import HostedModel, RouteTable

from ..platform_samples import CONFIG, config_bytes, server_bytes
from .world import STAMP_HEADER, Gateway, held_lease

PORTS = {"pool": 81, "next": 91}
STREAM_ROUTE, *OTHER_ROUTES = CONFIG["routes"]
POOL, DESK = CONFIG["services"]
# With one model only: for a second one, of which there is no group, groups would be closed.
ONE_MODEL = {**POOL["engine"], "models": POOL["engine"]["models"][:1]}


def route(prefix, service):
    return {
        **STREAM_ROUTE,
        "name": f"r-{prefix}",
        "pathPrefix": f"/{prefix}/",
        "split": [],
        "service": service,
    }


def set_routes(gateway, services=("pool", "next"), **service_of_path):
    """Put a configuration into force with a route to a service for each path."""
    routes = [route(path, service) for path, service in service_of_path.items()]
    specs = [*({**POOL, "name": name, "engine": ONE_MODEL} for name in services), DESK]
    document = config_bytes(routes=[*routes, *OTHER_ROUTES], services=specs)
    gateway.state.route_table = RouteTable(decode_configuration(document).ok)


def list_group(gateway, service, number, epoch=5):
    """List an open group of four of a service, whose head is at a port that tells the service."""
    for rank in range(4):
        name = f"{service}-{number}-{rank}"
        entry = server_bytes(
            service=service,
            addr=f"10.8.{number}.{rank}:{PORTS[service]}",
            group={
                "name": f"g-{service}-{number}",
                "epoch": epoch,
                "rank": rank,
                "state": "ready" if rank else "open",
            },
        )
        gateway.state.fleet.put(decode_instance(name, entry).ok, gateway.clock.now())


@pytest.fixture
def gateway(tmp_path):
    """Return a node that uses its own list: two groups of each service, the same model."""
    gateway = Gateway(tmp_path)
    set_routes(gateway, a="pool", b="next")
    for service in PORTS:
        for number in (1, 2):
            list_group(gateway, service, number)
    gateway.state.list_known_until = gateway.clock.now
    gateway.clock.advance(3.0)
    return gateway


def services_of_sends(gateway, path, count=30):
    """Return the services at which requests of a path arrive; each is answered at once."""
    names = {port: service for service, port in PORTS.items()}
    services = set()
    for _ in range(count):
        before = len(gateway.client.sent)
        gateway.send_request(
            f"/{path}/x", x_briarpond_model="big", x_briarpond_token_usage="979,154"
        )
        gateway.clock.advance(0.05)
        for sent in gateway.client.sent[before:]:
            services.add(names[sent.call.address.port])
            sent.answer_whole(503, b"", ("x-briarpond-not-executed", "1"))
    return services


def test_requests_run_at_the_service_of_their_route(gateway):
    """Both services host the model from the first version on; nothing has moved."""
    assert services_of_sends(gateway, "a") == {"pool"}
    assert services_of_sends(gateway, "b") == {"next"}


def test_swapped_routes_swap_the_services(gateway):
    set_routes(gateway, a="next", b="pool")
    assert services_of_sends(gateway, "a") == {"next"}
    assert services_of_sends(gateway, "b") == {"pool"}


def test_service_without_a_group_refuses_and_borrows_none(gateway):
    """A refusal says that the request has not run, and it comes long before the deadline."""
    for number in (1, 2):
        gateway.state.fleet.remove(f"next-{number}-0", gateway.clock.now())
    reply = gateway.send_request("/b/x", x_briarpond_model="big", x_briarpond_token_usage="9,9")
    gateway.clock.advance(0.5)
    assert reply.status == 503 and not gateway.client.sent


def test_second_send_of_a_request_stays_at_its_service_when_the_route_moves(gateway):
    """A request that runs at one service is repeated there, by the configuration that sent it."""
    gateway.send_request("/a/x", x_briarpond_model="big", x_briarpond_token_usage="979,154")
    set_routes(gateway, a="next")
    (first,) = gateway.client.sent
    first.answer_whole(503, b"", ("x-briarpond-not-executed", "1"))
    gateway.clock.advance(0.1)
    assert len(gateway.client.sent) > 1
    assert {sent.call.address.port for sent in gateway.client.sent} == {PORTS["pool"]}


def test_held_request_is_refused_once_its_service_is_gone(gateway):
    """It is not sent to the members of the service's groups as if they were plain servers."""
    for head in ("pool-1-0", "pool-2-0"):
        gateway.state.load_tracker.mark_full(head, gateway.clock.now() + 60.0)
    reply = gateway.send_request("/a/x", x_briarpond_model="big", x_briarpond_token_usage="9,9")
    assert not reply.ended
    set_routes(gateway, services=("next",), a="next")
    gateway.clock.advance(0.5)
    assert reply.status == 503 and not gateway.client.sent


def plan_without_services(gateway, *heads):
    """Put a plan into force as a planner of an older release tells it."""
    groups = tuple(
        GroupTarget(f"g-{head[:-2]}", 5, "big", head, Address("10.8.9.9", PORTS[head[:-4]]))
        for head in heads
    )
    gateway.state.accept_plan(Plan(9, 1, True, RoutingTargets(groups, ())), gateway.clock.now())


def test_group_whose_service_no_plan_tells_is_looked_up_in_the_own_list(gateway):
    """In a rolling upgrade the planner may be older; the list is followed meanwhile."""
    plan_without_services(gateway, "pool-1-0", "next-1-0")
    assert gateway.state.plan_is_in_force(gateway.clock.now())
    assert gateway.state.needs_instance_list(gateway.clock.now())
    assert services_of_sends(gateway, "a") == {"pool"}


def test_group_of_unknown_service_gets_no_request(gateway):
    plan_without_services(gateway, "pool-7-0")
    reply = gateway.send_request("/a/x", x_briarpond_model="big", x_briarpond_token_usage="9,9")
    gateway.clock.advance(0.5)
    assert reply.status == 503 and not gateway.client.sent


def test_instance_of_another_service_is_no_member_of_a_group(gateway):
    """Its entry still shows the group that it was in as a server of the former service."""
    entry = server_bytes(
        service="next",
        addr="10.8.1.2:91",
        group={"name": "g-pool-1", "epoch": 5, "rank": 2, "state": "ready"},
    )
    gateway.state.fleet.put(decode_instance("pool-1-2", entry).ok, gateway.clock.now())
    groups = {each.group: each.service for each in gateway.state.groups(gateway.clock.now())}
    assert groups["g-pool-1"] == "pool" and len(groups) == 4


# What is learned and told of a model is of one service, too.


def test_demand_is_counted_and_told_by_service(gateway):
    for _ in range(4):
        gateway.send_request("/a/x", x_briarpond_model="big", x_briarpond_token_usage="979,154")
    (row,) = gateway.state.demand(gateway.clock.now())
    assert (row.service, row.model) == ("pool", "big")
    assert demand_of_service([row], "next") == {}
    assert demand_of_service([row], "pool") == {"big": row.groups}


def test_demand_that_names_no_service_counts_for_each():
    """Guards against a planner that lets groups go in a rolling upgrade."""
    rows = [ModelDemand("big", 1.5), ModelDemand("big", 1.0, "pool")]
    assert demand_of_service(rows, "pool") == {"big": 2.5}
    assert demand_of_service(rows, "next") == {"big": 1.5}


def test_pace_of_a_group_is_compared_within_its_service(gateway):
    """Engines of two services may differ in speed without either being slow."""
    paces, tracker, now = (
        gateway.state.step_paces,
        gateway.state.event_gap_tracker,
        gateway.clock.now(),
    )
    for service, gap_s in (("pool", 0.05), ("next", 0.5)):
        for number in range(4 if service == "pool" else 2):
            hosted = HostedModel(service, "big")
            for _ in range(40):
                paces.record_gap(f"{service}-{number}", hosted, gap_s, 0.05, now)
                tracker.record_gap(f"{service}-{number}", hosted, gap_s, now)
    assert paces.pace("next-0", now) == pytest.approx(1.0)
    assert tracker.slow_heads(now) == []


def test_admitted_share_is_of_one_service(gateway):
    """Overload of one service must not refuse the requests of another."""
    gateway.state.admitted_shares[HostedModel("next", "big")] = SimpleNamespace(share=0.0)
    assert services_of_sends(gateway, "a", 3) == {"pool"}


def test_cold_head_is_limited_by_its_own_service(gateway):
    bounds = msgspec.structs.replace(gateway.state.settings.bounds, cold=ColdBound(1.2, 4.0))
    specs = [{**POOL, "name": "pool", "coldPerS": 2}, {**POOL, "name": "next", "coldPerS": 9}]
    config = decode_configuration(config_bytes(services=[*specs, DESK])).ok
    group = GroupTarget("g", 1, "big", "h", Address("10.8.0.1", 80), cold=True, service="next")
    assert cold_limits(RoutingTargets((group,)), config, bounds)["h"].per_s == 9


# Planner


@pytest.fixture
def runner(gateway):
    """Return a planner that has taken over the groups of both services."""
    now = gateway.clock.now()
    lease = held_lease(now)
    members = SimpleNamespace(
        planning_ended_at=lambda node: None, no_node_reaches_store=lambda now: False
    )
    gateway.rows = ()
    sync = SimpleNamespace(demand=lambda now: gateway.rows, plan_log=PlanLog(), members=members)
    peers = SimpleNamespace(sync=sync, announce=lambda delta=None: None)
    runner = PlannerRunner(gateway.state, lease, peers, gateway.clock.now)
    gateway.clock.advance(1.0)
    runner.step()
    assert runner.planning
    return runner


def test_plan_tells_the_service_of_each_group(gateway, runner):
    delta = runner._peers.sync.plan_log.delta_since(PlanVersion())
    assert {(each.group, each.service) for each in delta.groups} == {
        (f"g-{service}-{number}", service) for service in PORTS for number in (1, 2)
    }
    assert services_of_sends(gateway, "a") == {"pool"}


def test_loads_are_limited_at_each_service_once_callers_have_come(gateway, runner):
    """Guards against CEILING: a service without requests took the system for new."""
    gateway.rows = (ModelDemand("big", 1.0, "pool"),)
    gateway.clock.advance(0.1)
    runner.step()
    assert all(each._load_budget.enforced for each in runner._planners.values())


def test_loads_of_all_services_share_one_limit(gateway, runner):
    """Guards against CEILING: the weight store is one, whatever the number of services."""
    gateway.rows = (ModelDemand("big", 1.0, "pool"),)
    gateway.clock.advance(0.1)
    runner.step()
    now, (first, second) = gateway.clock.now(), runner._planners.values()
    while first._load_budget.try_start(1, 0, now):
        pass
    assert not second._load_budget.try_start(1, 0, now)
    bounds = gateway.state.settings.bounds
    assert second._load_budget.try_start(1, 0, now + bounds.weight_load_window_s)


def test_stages_of_the_groups_of_two_services_are_logged_once(gateway, runner, monkeypatch):
    """Guards against a log in which the groups of each service dissolve at every step."""
    events = []
    monkeypatch.setattr(
        "briarpond.gateway._planner_link.log_event", lambda name, **fields: events.append(name)
    )
    gateway.clock.advance(0.1)
    runner.step()
    assert "group" not in events


def test_answer_of_the_service_reaches_the_caller(gateway):
    reply = gateway.send_request("/b/x", x_briarpond_model="big", x_briarpond_token_usage="979,154")
    (sent,) = gateway.client.sent
    sent.answer_whole(200, b"id: 0\ndata: x\n\n", STAMP_HEADER)
    assert reply.status == 200 and sent.call.address.port == PORTS["next"]
