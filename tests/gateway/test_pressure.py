"""Overload at one node: what is refused, with which reason, and what servers are told."""

import msgspec
import pytest

from briarpond.gateway._pressure import measure_pressure
from briarpond.platform import decode_configuration
from briarpond.routes import HostedModel, RouteTable

from ..platform_samples import CONFIG, config_bytes
from .world import STAMP_HEADER, Gateway

SLOTS, HEADS = 9, ("h1", "h2", "h3")
PLAN = {**CONFIG["routes"][0], "split": [], "service": "pool"}
URGENT = {**PLAN, "name": "r-now", "pathPrefix": "/now/", "priority": 0, "goalMs": 253}
TENANTS = [{"name": "acme", "apiKeys": ["key-a"]}, {"name": "beta", "apiKeys": ["key-b"]}]
MODEL = {"x_briarpond_model": "big", "x_briarpond_token_usage": "979,154"}


def gateway_with(tmp_path, routes=(PLAN, URGENT), tenants=TENANTS, sheds_load=True):
    gateway = Gateway(tmp_path, HEADS)
    settings = gateway.state.settings
    gateway.state.settings = msgspec.structs.replace(settings, sheds_load=sheds_load)
    document = config_bytes(routes=[*routes, *CONFIG["routes"][1:]], tenants=list(tenants))
    gateway.state.route_table = RouteTable(decode_configuration(document).ok)
    gateway.state.time_of_day = lambda: 0.0
    return gateway


def fill(gateway, per_group, seconds=8.0):
    """Report as many requests of other nodes at each group, for some seconds."""
    end = gateway.clock.now() + seconds
    while gateway.clock.now() < end:
        rows = [(head, per_group, 0) for head in HEADS]
        gateway.state.load_tracker.set_peer_load("relays", rows)
        measure_pressure(gateway.state, gateway.clock.now())
        gateway.clock.advance(0.4)


@pytest.fixture
def full(tmp_path):
    """Return a node that admits three tenths of the requests, since its groups are nearly full."""
    gateway = gateway_with(tmp_path)
    fill(gateway, SLOTS - 1)
    gateway.state.admitted_shares[HostedModel("pool", "big")].share = 0.3
    return gateway


def test_less_urgent_requests_are_refused_first_and_at_once(full):
    """Guards against urgent requests that find the slots taken by others."""
    later = [full.send_request(f"/plan/{n}", **MODEL) for n in range(20)]
    now = [full.send_request(f"/now/{n}", **MODEL) for n in range(2)]
    assert sum(reply.status == 503 for reply in later) >= 10
    assert [reply.status for reply in now] == [None] * 2


def test_repeated_request_is_refused_again(full):
    """Guards against callers that get in by asking often: the content decides, not a new draw."""
    refused = next(
        path
        for path in (f"/plan/{n}" for n in range(40))
        if full.send_request(path, **MODEL).status == 503
    )
    assert {full.send_request(refused, **MODEL).status for _ in range(30)} == {503}


def test_retry_after_is_spread_and_at_most_a_third_of_the_time_left(full):
    """Guards against callers with equal deadlines that all come back in the same moment."""
    replies = [full.send_request(f"/plan/{n}", **MODEL) for n in range(40)]
    waits = [float(reply.header("retry-after")) for reply in replies if reply.status == 503]
    assert len(set(waits)) > 20 and max(waits) > 1.5 * min(waits)
    assert min(waits) >= 0.4 and max(waits) <= 8.0 / 3 + 0.001


def test_occupancy_below_the_threshold_changes_no_decision(full):
    """Guards against refusals that go on after the overload has ended."""
    rows = [(head, SLOTS // 2, 0) for head in HEADS]
    full.state.load_tracker.set_peer_load("relays", rows)
    assert [full.send_request(f"/plan/{n}", **MODEL).status for n in range(3)] == [None] * 3


def test_settings_without_load_shedding_leave_all_decisions_as_they_are(tmp_path):
    """Guards against refusals and headers in deployments that do not ask for load shedding."""
    gateway = gateway_with(tmp_path, sheds_load=False)
    fill(gateway, SLOTS - 1)
    assert not gateway.state.admitted_shares
    replies = [gateway.send_request(f"/plan/{n}", **MODEL) for n in range(3)]
    assert [reply.status for reply in replies] == [None] * 3
    assert gateway.client.sent[0].header("x-briarpond-request-priority") is None


def test_one_priority_leaves_all_decisions_as_they_are(tmp_path):
    """Guards against refusals and headers in deployments that have no priorities."""
    same = [{**route, "priority": 1} for route in (PLAN, URGENT, *CONFIG["routes"][1:])]
    gateway = gateway_with(tmp_path)
    document = config_bytes(routes=same, tenants=TENANTS)
    gateway.state.route_table = RouteTable(decode_configuration(document).ok)
    fill(gateway, SLOTS - 1)
    replies = [gateway.send_request(f"/plan/{n}", **MODEL) for n in range(3)]
    assert [reply.status for reply in replies] == [None] * 3
    assert not gateway.state.admitted_shares
    assert gateway.client.sent[0].header("x-briarpond-request-priority") is None


def test_servers_are_told_the_priority_of_route_or_account_and_not_the_callers(tmp_path):
    """Guards against callers that choose their own place in the servers' queues."""
    first, second = TENANTS
    gateway = gateway_with(tmp_path, tenants=[first, {**second, "priority": 12}])
    forged = {"x_briarpond_request_priority": "0", **MODEL}
    gateway.send_request("/plan/x", **forged)
    gateway.send_request("/plan/x", key="key-b", **forged)
    name = "x-briarpond-request-priority"
    sent = [
        [value for each, value in send.call.headers if each == name] for send in gateway.client.sent
    ]
    assert sent == [["1"], ["9"]]


def test_log_and_metrics_name_reason_and_priority(full, monkeypatch):
    """Guards against refusals that cannot be told from a lack of groups."""
    lines = []
    monkeypatch.setattr(
        "briarpond.gateway._outcome.log_event", lambda event, **pairs: lines.append(pairs)
    )
    for n in range(20):
        full.send_request(f"/plan/{n}", **MODEL)
    assert "reserved" in {line["reason"] for line in lines}
    text = full.state.metrics.render(None)[0].decode()
    assert 'overload_refusals_total{priority="1",reason="reserved"}' in text
    assert 'briarpond_gateway_occupancy{model="big",service="pool"}' in text


def test_retried_request_is_not_refused_for_pressure(full):
    """Guards against the loss of a request that a server has turned away."""
    reply = full.send_request("/now/x", **MODEL)
    full.state.admitted_shares[HostedModel("pool", "big")].share = 0.02
    full.client.sent[-1].answer_whole(503, b"", STAMP_HEADER, ("x-briarpond-not-executed", "1"))
    assert reply.status is None and len(full.client.sent) == 2


# Guards against a node that forgets the overload because it avoids all servers while it is cut off.
def test_admitted_share_is_not_learned_while_the_node_is_cut_off(full):
    admitted = full.state.admitted_shares[HostedModel("pool", "big")]
    share = admitted.share
    full.state.reachability.is_cut_off = lambda now: True
    for head in HEADS:
        full.state.avoid(head, full.clock.now() + 10.0)
    full.clock.advance(2.0)
    measure_pressure(full.state, full.clock.now())
    full.send_request("/plan/1", **MODEL)
    assert admitted.share == share
