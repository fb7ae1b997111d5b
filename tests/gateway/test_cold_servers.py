"""Requests to cold servers from one node: which it sends, when they count, and what is logged."""

import itertools
from types import SimpleNamespace

import msgspec
import pytest

from briarpond.directory import GroupTarget, Member, MemberTable, Plan, RoutingTargets
from briarpond.dispatch import ColdLimit
from briarpond.dispatch._cold import choose_pace, choose_senders, hash_share
from briarpond.gateway import _cold_link
from briarpond.gateway._node import Node
from briarpond.net import Address, BodyBudget
from briarpond.platform import decode_configuration, decode_instance
from briarpond.platform._settings import ColdBound
from briarpond.routes import RouteTable

from ..platform_samples import CONFIG, config_bytes, server_bytes
from .silent_servers import BEGUN_SILENCE_S, begin_answer
from .world import Gateway

OWN = "edge-hobart-a-1"
OTHERS = [f"edge-{number:03d}" for number in range(139)]
LIMIT = ColdLimit(26.0, 44.0)
INTERVAL_S = choose_pace(LIMIT, 140).interval_s


def heads(is_sender):
    """Return names of servers of which this node, among 140, is a sender or is none."""
    names = (f"h{n}" for n in itertools.count())
    count = choose_pace(LIMIT, 140).senders
    return (
        name for name in names if (OWN in choose_senders(name, [OWN, *OTHERS], count)) is is_sender
    )


MINE = next(heads(True))
NOT_MINE = next(heads(False))
# This node sends to it also when it hears no other.
MINE_ALONE = next(name for name in heads(True) if hash_share(name, OWN) < 0.1)


class ColdGateway(Gateway):
    """The node among 139 others, with limits for cold servers unless `limits` is false."""

    def __init__(self, tmp_path, limits=True, others=OTHERS):
        super().__init__(tmp_path)
        self.sent_at = []
        if limits:
            self._set_limits()
        start = self.client.start

        def record_start(call):
            on_sent = call.on_sent
            call = msgspec.structs.replace(
                call, on_sent=lambda: (self.sent_at.append(self.clock.now()), on_sent())
            )
            return start(call)

        self.client.start = record_start
        self.clock.advance(10.0)
        nodes = frozenset([OWN, *others])
        self.state.cold_link.update_nodes(nodes, self.clock.now())

    def _set_limits(self):
        state = self.state
        routes = [{**CONFIG["routes"][0], "split": [], "service": "pool"}, *CONFIG["routes"][1:]]
        services = [{**each, "coldPerS": 26.0, "coldStartS": 3.0} for each in CONFIG["services"]]
        config = decode_configuration(config_bytes(routes=routes, services=services)).ok
        state.route_table = RouteTable(config)
        bounds = msgspec.structs.replace(state.settings.bounds, cold=ColdBound(1.5, 5.0))
        state.settings = msgspec.structs.replace(state.settings, bounds=bounds)

    def publish(self, cold=(), warm=()):
        """Put a plan into force with one group for each head; take the offsets as waited for."""
        names = (*cold, *warm)
        groups = tuple(
            GroupTarget(
                f"g-{head}",
                1,
                "big",
                head,
                Address("10.8.0.1", 80 + n),
                cold=head in cold,
                service="pool",
                size=4,
            )
            for n, head in enumerate(names)
        )
        plan = Plan(1, self.state.plan.sequence + 1, False, RoutingTargets(groups, ()))
        self.state.accept_plan(plan, self.clock.now())
        self.state.cold_sends(self.clock.now())
        self.clock.advance(2 * INTERVAL_S)

    def heads_of_sends(self):
        by_address = {each.address: each.head for each in self.state.groups(self.clock.now())}
        return [by_address[sent.call.address] for sent in self.client.sent]

    def put_server(self, name, **changes):
        entry = {"service": "desk", "addr": "10.9.0.1:80", "slots": 6, "group": None, **changes}
        self.state.fleet.put(decode_instance(name, server_bytes(**entry)).ok, self.clock.now())

    def detours(self):
        counter = self.state.metrics.cold_detours
        return counter.get({}) if len(counter.values) else 0


@pytest.fixture
def cold_gateway(tmp_path):
    return ColdGateway(tmp_path)


def test_sender_paces_requests_that_are_held(cold_gateway):
    """Guards against a burst of held requests, which are looked at every 10 ms."""
    gateway = cold_gateway
    gateway.publish(cold=[MINE])
    for _ in range(100):
        gateway.send_stream_request()
        gateway.clock.advance(0.05)
    gaps = [b - a for a, b in itertools.pairwise(gateway.sent_at)]
    assert min(gaps) >= INTERVAL_S and max(gaps) <= INTERVAL_S + 0.05
    assert len(gateway.sent_at) == 5


def test_first_request_after_the_discovery_is_paced_like_any_other(cold_gateway):
    """Guards against 140 nodes that send at the moment at which they learn of the server."""
    gateway = cold_gateway
    groups = (
        GroupTarget(
            "g", 1, "big", MINE, Address("10.8.0.1", 80), cold=True, service="pool", size=4
        ),
    )
    gateway.state.accept_plan(Plan(1, 9, False, RoutingTargets(groups, ())), gateway.clock.now())
    gateway.send_stream_request()
    rank = choose_senders(MINE, [OWN, *OTHERS], 30).index(OWN)
    assert rank > 0 and gateway.sent_at == []
    for _ in range(130):
        gateway.send_stream_request()
        gateway.clock.advance(0.01)
    begun = gateway.sent_at[0] - 110.0
    assert INTERVAL_S * rank / 30 <= begun <= INTERVAL_S * rank / 30 + 0.02


def test_other_nodes_hold_and_refuse_requests_if_only_cold_servers_are_left(cold_gateway):
    gateway = cold_gateway
    gateway.publish(cold=[NOT_MINE])
    reply = gateway.send_stream_request()
    assert reply.status is None
    gateway.clock.advance(2.0)
    assert reply.status == 503 and float(reply.header("retry-after")) > 0
    assert gateway.client.sent == []


def test_other_nodes_use_other_servers_and_count_it_once_per_request(cold_gateway):
    gateway = cold_gateway
    gateway.publish(cold=[NOT_MINE], warm=["w1"])
    for _ in range(3):
        gateway.send_stream_request()
    assert gateway.heads_of_sends() == ["w1"] * 3
    assert gateway.detours() == 3


class SlowConnection:
    """Call whose connection is established after a delay; then its first byte leaves."""

    def __init__(self, clock, call):
        self.is_open = True
        clock.after(0.3, lambda: self.is_open and call.on_sent())

    def cancel(self):
        self.is_open = False


def test_request_counts_when_its_first_byte_leaves(cold_gateway):
    """Guards against requests that were chosen apart and arrive together after slow connects."""
    gateway = cold_gateway
    gateway.publish(cold=[MINE])

    def start(call):
        on_sent = call.on_sent

        def record():
            gateway.sent_at.append(gateway.clock.now())
            on_sent()

        return SlowConnection(gateway.clock, msgspec.structs.replace(call, on_sent=record))

    gateway.client.start = start
    for _ in range(100):
        gateway.send_stream_request()
        gateway.clock.advance(0.05)
    gaps = [b - a for a, b in itertools.pairwise(gateway.sent_at)]
    assert len(gaps) >= 2 and min(gaps) >= INTERVAL_S + 0.3 - 0.01


def test_connection_that_is_refused_does_not_block_the_server(cold_gateway):
    gateway = cold_gateway
    gateway.publish(cold=[MINE])
    address = gateway.state.groups(gateway.clock.now())[0].address
    gateway.client.refusing.add(address)
    gateway.send_stream_request()
    gateway.clock.advance(2.0)
    gateway.client.refusing.clear()
    gateway.send_stream_request()
    assert len(gateway.sent_at) == 1


def test_caller_that_leaves_before_the_first_byte_does_not_block_the_server(cold_gateway):
    gateway = cold_gateway
    gateway.publish(cold=[MINE])
    start = gateway.client.start
    gateway.client.start = lambda call: SlowConnection(gateway.clock, call)
    gateway.send_stream_request().on_disconnect()
    gateway.client.start = start
    gateway.send_stream_request()
    assert len(gateway.sent_at) == 1


def test_repeated_request_counts(cold_gateway):
    gateway = cold_gateway
    gateway.publish(cold=[MINE], warm=["w1"])
    gateway.state.avoid(MINE, gateway.clock.now() - 0.9)
    gateway.send_stream_request()
    assert gateway.heads_of_sends() == ["w1"]
    gateway.clock.advance(0.2)
    gateway.client.sent[0].answer_head(421)
    assert gateway.heads_of_sends() == ["w1", MINE]
    assert not gateway.state.cold_link.sends.may_send(MINE, gateway.clock.now() + INTERVAL_S - 0.01)


@pytest.mark.parametrize(("cold", "sends"), [(MINE, 2), (NOT_MINE, 1)])
def test_hedge_is_paced_and_counts(cold_gateway, cold, sends):
    """Guards against hedges of all nodes that meet at a cold server when a warm one stalls."""
    gateway = cold_gateway
    gateway.publish(cold=[cold], warm=["w1"])
    gateway.state.avoid(cold, gateway.clock.now())
    gateway.ingress.start()
    gateway.send_stream_request()
    begin_answer(gateway.client.sent[0], 0)
    gateway.clock.advance(BEGUN_SILENCE_S + 1.5)
    assert gateway.heads_of_sends() == ["w1", cold][:sends]
    pacing = gateway.state.cold_link.sends
    if sends == 2:
        assert not pacing.may_send(cold, gateway.sent_at[-1] + INTERVAL_S - 0.01)


def test_plain_server_that_is_cold_is_chosen_only_when_due(cold_gateway):
    gateway = cold_gateway
    for number, name in enumerate((NOT_MINE, "p1", "p2")):
        left_ms = 3000 if name == NOT_MINE else 0
        gateway.put_server(name, addr=f"10.9.1.{number}:80", coldLeftMs=left_ms)
    gateway.state.fleet.remove("p0", gateway.clock.now())
    for _ in range(8):
        gateway.send_request("/order/open/x", key=None)
    addresses = {sent.call.address.host for sent in gateway.client.sent}
    assert addresses == {"10.9.1.1", "10.9.1.2"} and gateway.detours() == 8
    gateway.clock.advance(3.1)
    for _ in range(30):
        gateway.send_request("/order/open/x", key=None)
    assert "10.9.1.0" in {sent.call.address.host for sent in gateway.client.sent}


def test_only_cold_plain_servers_are_used_at_their_pace(cold_gateway):
    gateway = cold_gateway
    gateway.put_server(MINE, coldLeftMs=60_000)
    for name in ("p0", "p1", "p2"):
        gateway.state.fleet.remove(name, gateway.clock.now())
    gateway.state.cold_sends(gateway.clock.now())
    gateway.clock.advance(2 * INTERVAL_S)
    for _ in range(80):
        gateway.send_request("/order/open/x", key=None)
        gateway.clock.advance(0.05)
    assert min(b - a for a, b in itertools.pairwise(gateway.sent_at)) >= INTERVAL_S
    assert len(gateway.sent_at) == 4


def choices(tmp_path, name, cold, limits):
    directory = tmp_path / name
    directory.mkdir()
    gateway = ColdGateway(directory, limits)
    gateway.publish(cold=cold, warm=[each for each in ("w1", "w2", "w3", "w4") if each not in cold])
    gateway.state.rng.seed(7)
    for _ in range(20):
        gateway.send_stream_request()
        gateway.send_request("/order/open/x", key=None)
        gateway.clock.advance(0.02)
    by_head = {each.address: each.head for each in gateway.state.groups(gateway.clock.now())}
    sends = [by_head.get(sent.call.address, sent.call.address) for sent in gateway.client.sent]
    return sends, gateway.detours()


def test_deployments_without_the_settings_choose_as_before(tmp_path):
    """A flag in the plan changes nothing where the settings have no bound, nor vice versa."""
    plain, _ = choices(tmp_path, "plain", (), limits=False)
    assert len(plain) == 40 and len(set(plain)) > 3
    assert choices(tmp_path, "flag", ("w1", "w2"), limits=False) == (plain, 0)
    assert choices(tmp_path, "limits", (), limits=True) == (plain, 0)
    limited, detours = choices(tmp_path, "both", ("w1", "w2"), limits=True)
    assert limited != plain and detours > 0


@pytest.mark.parametrize("others", [[], OTHERS])
@pytest.mark.parametrize("warm", [["w1"], []])
def test_node_that_hears_no_other_uses_a_cold_server_only_if_no_other_is_left(
    cold_gateway, warm, others
):
    gateway = cold_gateway
    gateway.state.cold_link.update_nodes(frozenset([OWN, *others]), gateway.clock.now())
    gateway.publish(cold=[MINE_ALONE], warm=warm)
    for _ in range(30):
        gateway.send_stream_request()
        gateway.clock.advance(0.1)
    assert (MINE_ALONE in gateway.heads_of_sends()) is (bool(others) or not warm)
    assert gateway.heads_of_sends().count(MINE_ALONE) <= 3


def test_cold_state_follows_the_own_view_of_the_list(cold_gateway):
    gateway = cold_gateway
    state = gateway.state
    gateway.put_server("p1", coldLeftMs=2000)
    gateway.put_server("i-9", coldLeftMs=2500, service="pool", group=json_group("open"))

    def cold_targets():
        targets = state.own_targets()
        names = {each.instance for each in targets.servers if each.cold}
        return names | {each.head for each in targets.groups if each.cold}

    assert cold_targets() == {"p1", "i-9"}
    gateway.clock.advance(2.1)
    assert cold_targets() == {"i-9"}
    gateway.clock.advance(0.5)
    assert cold_targets() == set()
    gateway.put_server("p2", coldLeftMs=3000)
    assert cold_targets() == {"p2"}


def test_servers_are_not_marked_as_cold_without_the_settings(tmp_path):
    gateway = ColdGateway(tmp_path, limits=False)
    gateway.put_server("p1", coldLeftMs=2000)
    assert not any(each.cold for each in gateway.state.own_targets().servers)


def test_cold_state_follows_the_settings_and_the_configuration(cold_gateway):
    """Guards against targets that were cached before the settings were reloaded."""
    gateway = cold_gateway
    state = gateway.state
    gateway.put_server("p1", coldLeftMs=60_000)

    def has_cold():
        return any(each.cold for each in state.own_targets().servers)

    assert has_cold()
    settings, route_table = state.settings, state.route_table
    bounds = msgspec.structs.replace(settings.bounds, cold=None)
    state.settings = msgspec.structs.replace(settings, bounds=bounds)
    assert not has_cold()
    state.settings = settings
    assert has_cold()
    state.route_table = RouteTable(decode_configuration(config_bytes()).ok)
    assert not has_cold()
    state.route_table = route_table
    assert has_cold()


def test_node_tells_the_pacing_of_the_nodes_that_it_knows(cold_gateway):
    """Guards against a node that never has a view, and so is never a regular sender."""
    gateway = cold_gateway
    now = gateway.clock.now()
    address = Address("10.1.0.40", 8227)
    members = MemberTable(Member(OWN, 1, 1, address, "hobart-a", True, False))
    for name in OTHERS:
        members.heard(Member(name, 1, 1, address, "hobart-a", True, False), now)
    gateway.state.cold_link.update_nodes(frozenset([OWN]), now)
    gateway.publish(cold=[MINE])
    peers = SimpleNamespace(sync=SimpleNamespace(members=members))
    node = SimpleNamespace(
        state=gateway.state, _clock=gateway.clock, _peers=peers, _body_budget=BodyBudget()
    )
    assert not gateway.state.cold_link.sends.may_send(MINE, gateway.clock.now())
    Node._run_housekeeping(node)
    gateway.clock.advance(INTERVAL_S)
    assert gateway.state.cold_link.sends.may_send(MINE, gateway.clock.now())


def test_begin_and_end_are_logged_once(cold_gateway, monkeypatch):
    gateway = cold_gateway
    logged = []
    monkeypatch.setattr(_cold_link, "log_event", lambda name, **fields: logged.append(fields))
    gateway.put_server(MINE, coldLeftMs=2000)
    for _ in range(30):
        gateway.state.cold_sends(gateway.clock.now())
        gateway.clock.advance(0.1)
    assert logged == [
        {"server": MINE, "state": "begun", "left_ms": 2000, "sender": "yes"},
        {"server": MINE, "state": "ended", "left_ms": 0, "sender": "yes"},
    ]


def json_group(state):
    return {"name": "g9-9", "epoch": 9, "rank": 0, "state": state}
