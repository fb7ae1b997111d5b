"""Evacuation of a data centre: how nodes learn of the order, keep it and let go of it.

The failure guarded against: a request that reaches a server of an evacuated data centre more than
5 s after the order was acknowledged, because a node has missed the order or lost it again.
"""

from types import SimpleNamespace

import pytest

from briarpond.directory import (
    ConfigRecord,
    ConfigStatus,
    GroupTarget,
    PlainServerTarget,
    Plan,
    RoutingTargets,
    StorePosition,
)
from briarpond.gateway import _evacuation
from briarpond.gateway._config_keeper import CONFIRMED_MAX_AGE_S, ConfigKeeper
from briarpond.gateway._node import Node
from briarpond.gateway._state import NodeState
from briarpond.net import Address, HttpRequest, LossReason
from briarpond.platform import evacuated_data_centre, load_gateway_settings

from ..platform_samples import SETTINGS, config_bytes
from .operator_log import OperatorLog
from .world import Gateway, RecordedReply, VirtualClock, make_instance

# The bound on an evacuation that the nodes keep.
BOUND_S = 5.0
# Interval within which a node pulls from relays.
PULL_INTERVAL_S = 0.4
PLACES = ("north", "east", "west")


class PeerClient:
    """Fetches from the keepers of other nodes, by host."""

    def __init__(self, clock, keepers):
        self.clock = clock
        self.keepers = keepers

    def fetch(self, address, method, target, headers, body, timeout_s, on_answer, on_failure):
        keeper = self.keepers.get(address.host)
        if keeper is None:
            self.clock.after(timeout_s, lambda: on_failure(LossReason.TIMEOUT))
            return
        reply = RecordedReply()
        keeper.answer_node(HttpRequest(method, target, (), b"", self.clock.now()), reply)
        self.clock.after(0.01, lambda: on_answer(reply.status, reply.body))


class World:
    """The operator's log, and the keepers of several nodes that the test lets pull."""

    def __init__(self, tmp_path):
        path = tmp_path / "node.yaml"
        path.write_text(SETTINGS)
        self.settings = load_gateway_settings(path).ok
        self.clock = VirtualClock()
        self.log = OperatorLog(self.clock)
        self.keepers = {}
        self.states = {}
        self.changes = []

    def start(self, host, is_candidate=True, log=None):
        """Start a node, or start it anew; return its state."""
        state = NodeState(self.settings, self.clock, PeerClient(self.clock, self.keepers))
        keeper = ConfigKeeper(
            state,
            self.log if log is None else log,
            lambda: is_candidate,
            lambda now: True,
            lambda config: None,
            lambda failure_age_s: None,
            lambda: self.changes.append((host, state.evacuated)),
        )
        self.keepers[host], self.states[host] = keeper, state
        keeper.start()
        return state

    def pull(self, host, other):
        """Let one node learn what another answers to a pull."""
        now = self.clock.now()
        status = self.keepers[other].status(now)
        if status is None:
            return
        keeper = self.keepers[host]
        keeper.on_version(status.version, other)
        if status.position is not None:
            keeper.on_position(status.position, other)
        keeper.on_status(status, now - status.age_s, other)

    def run(self, seconds, *pulls):
        """Let time pass; each pair of hosts in `pulls` pulls within its interval."""
        for _ in range(round(seconds / PULL_INTERVAL_S)):
            for host, other in pulls:
                self.pull(host, other)
            self.clock.advance(PULL_INTERVAL_S)


@pytest.fixture
def world(tmp_path):
    return World(tmp_path)


@pytest.fixture
def logged(monkeypatch):
    """Return the list of the log events of evacuations."""
    events = []
    monkeypatch.setattr(_evacuation, "log_event", lambda *_, **pairs: events.append(pairs))
    return events


def rejecting_log(world):
    log = OperatorLog(world.clock)
    log.rejecting = True
    return log


# Order and cancellation


def test_order_and_cancellation_are_put_into_force_at_once(world, logged):
    state = world.start("a")
    world.clock.advance(0.5)
    assert state.evacuated == frozenset()
    world.log.evacuate("north")
    world.clock.advance(0.1)
    assert state.evacuated == {"north"}
    assert state.metrics.evacuated_data_centres.get({}) == 1
    world.log.cancel("north")
    world.clock.advance(0.1)
    assert state.evacuated == frozenset()
    assert state.metrics.evacuated_data_centres.get({}) == 0
    assert [(each["state"], each["position"], each["source"]) for each in logged] == [
        ("begun", 2, "store"),
        ("ended", 3, "store"),
    ]
    assert world.changes == [("a", {"north"}), ("a", frozenset())]


def test_two_data_centres_are_evacuated_one_after_the_other(world):
    """Guards against a second order that replaces the first."""
    state = world.start("a")
    world.clock.advance(0.5)
    for name in ("north", "east"):
        world.log.evacuate(name)
        world.clock.advance(1.0)
    assert state.evacuated == {"north", "east"}
    world.log.cancel("north")
    world.clock.advance(1.0)
    assert state.evacuated == {"east"}


def test_repeated_order_changes_nothing(world):
    state = world.start("a")
    world.log.evacuate("north")
    world.log.evacuate("north")
    world.clock.advance(0.5)
    assert state.evacuated == {"north"} and len(world.changes) == 1


def test_configuration_after_the_order_leaves_it_in_force(world):
    state = world.start("a")
    world.log.evacuate("north")
    world.clock.advance(0.5)
    world.log.append("config", config_bytes(version=8))
    world.clock.advance(0.5)
    assert state.config.version == 8 and state.evacuated == {"north"}


@pytest.mark.parametrize("key", ["config", "evacuate/", "evacuate", "evacuated/north", ""])
def test_other_keys_evacuate_nothing(key):
    assert evacuated_data_centre(key) is None


# Reads of the store


def test_compacted_log_gives_the_orders_in_force(world):
    """Guards against an order that is lost, or comes back, when older records are gone."""
    for name in PLACES:
        world.log.evacuate(name)
    world.log.cancel("east")
    world.log.compact()
    state = world.start("a")
    world.clock.advance(0.5)
    assert state.evacuated == {"north", "west"}
    world.log.cancel("north")
    world.clock.advance(0.5)
    assert state.evacuated == {"west"}


def test_cancellation_that_was_compacted_away_is_seen_after_a_gap(world):
    """Guards against an order that stays in force because its cancellation was never read."""
    state = world.start("a")
    world.log.evacuate("north")
    world.clock.advance(0.5)
    world.log.rejecting = True
    world.clock.advance(2.0)
    world.log.cancel("north")
    world.log.append("other", b"1")
    world.log.compact(first_kept=3)
    world.log.rejecting = False
    world.clock.advance(3.0)
    assert state.evacuated == frozenset()


def test_outdated_list_does_not_cancel_an_order(world):
    """Guards against a list that the store read 3 s ago, before the order."""
    state = world.start("a")
    world.log.evacuate("north")
    world.clock.advance(0.5)
    world.log.visible = 1
    world.keepers["a"]._feed.read_whole()
    world.clock.advance(2.5)
    assert state.evacuated == {"north"}
    world.log.visible = None
    world.log.evacuate("east")
    world.clock.advance(2.5)
    assert state.evacuated == {"north", "east"}


def test_outdated_list_does_not_bring_a_cancelled_order_back(world):
    state = world.start("a")
    world.log.evacuate("north")
    world.log.cancel("north")
    world.clock.advance(0.5)
    world.log.visible = 2
    world.keepers["a"]._feed.read_whole()
    world.clock.advance(2.5)
    assert state.evacuated == frozenset() and world.changes == []


def test_outdated_answers_do_not_confirm_the_records(world):
    """Guards against a node that takes its records for the newest on the word of an old view."""
    world.start("a")
    world.log.evacuate("north")
    world.clock.advance(0.5)
    world.log.visible = 1
    world.clock.advance(2.0)
    age = world.keepers["a"].age(world.clock.now())
    world.clock.advance(2.0)
    assert world.keepers["a"].age(world.clock.now()) == pytest.approx(age + 2.0)
    world.log.visible = None
    world.clock.advance(1.5)
    assert world.keepers["a"].age(world.clock.now()) < 1.2


def test_answer_to_a_read_from_before_a_peers_record_is_not_applied_anew(world):
    """Guards against records that are taken for later ones than they are.

    The read was sent from an earlier offset; meanwhile another node has brought this one further.
    """
    state = world.start("a", is_candidate=False)
    world.clock.advance(0.1)
    record = ConfigRecord(0, 0.0, config_bytes(version=7), StorePosition(0, 4), frozenset())
    world.keepers["a"]._on_record(record, world.clock.now(), "b")
    world.log.evacuate("north")
    world.log.cancel("north")
    world.log.append("other", b"1")
    world.clock.advance(3.0)
    assert world.changes == [] and world.keepers["a"].status(
        world.clock.now()
    ).position == StorePosition(0, 4)
    world.log.evacuate("east")
    world.clock.advance(3.0)
    assert state.evacuated == {"east"}


def test_unavailable_store_leaves_the_order_in_force(world):
    state = world.start("a")
    world.log.evacuate("north")
    world.clock.advance(0.5)
    world.log.rejecting = True
    world.clock.advance(60.0)
    assert state.evacuated == {"north"}
    world.log.cancel("north")
    world.log.rejecting = False
    world.clock.advance(2.0)
    assert state.evacuated == frozenset()


def test_restart_of_all_nodes_leaves_the_order_in_force(world):
    """Guards against an order that only lives in the memory of the nodes."""
    for host in ("a", "b"):
        world.start(host)
    world.log.evacuate("north")
    world.run(0.8, ("a", "b"), ("b", "a"))
    states = [world.start(host) for host in ("a", "b")]
    world.run(0.8, ("a", "b"), ("b", "a"))
    assert [state.evacuated for state in states] == [{"north"}] * 2


# Exchange between nodes


def test_node_that_the_store_rejects_learns_of_the_order_from_another(world, logged):
    world.start("a")
    state = world.start("b", is_candidate=False, log=rejecting_log(world))
    world.run(0.8, ("b", "a"))
    world.log.evacuate("north")
    world.run(0.8, ("b", "a"))
    assert state.evacuated == {"north"}
    assert logged[-1]["source"] == "node"
    world.log.cancel("north")
    world.run(0.8, ("b", "a"))
    assert state.evacuated == frozenset()


def test_order_passes_through_a_node_that_the_store_rejects(world):
    world.start("a")
    for host in ("b", "c"):
        world.start(host, is_candidate=False, log=rejecting_log(world))
    world.run(1.2, ("b", "a"), ("c", "b"))
    world.log.evacuate("north")
    world.run(1.6, ("b", "a"), ("c", "b"))
    assert world.states["c"].evacuated == {"north"}


def test_restarted_node_learns_of_the_order_from_another_while_the_store_is_unavailable(world):
    world.start("a")
    world.log.evacuate("north")
    world.clock.advance(0.5)
    world.log.rejecting = True
    state = world.start("b")
    world.run(0.8, ("b", "a"))
    assert state.evacuated == {"north"}


def test_node_that_is_behind_does_not_undo_the_order(world):
    """Guards against a peer that still has the records from before the order."""
    state = world.start("a")
    world.start("b", is_candidate=False, log=rejecting_log(world))
    world.run(0.8, ("b", "a"))
    world.log.evacuate("north")
    world.clock.advance(0.1)
    world.run(0.8, ("a", "b"))
    assert state.evacuated == {"north"} and world.states["b"].evacuated == frozenset()
    outdated = ConfigRecord(0, 0.0, config_bytes(version=7), StorePosition(0, 1), frozenset())
    world.keepers["a"]._on_record(outdated, world.clock.now(), "b")
    assert state.evacuated == {"north"}


def test_same_version_with_another_position_does_not_confirm(world):
    """Guards against nodes that confirm each other's records from before the order.

    The order does not change the version of the configuration.
    """
    world.start("a", is_candidate=False, log=rejecting_log(world))
    keeper = world.keepers["a"]
    record = ConfigRecord(0, 0.0, config_bytes(version=7), StorePosition(0, 5), frozenset())
    keeper._on_record(record, world.clock.now(), "b")
    world.clock.advance(1.0)
    now = world.clock.now()
    for position in (4, 6):
        keeper.on_status(ConfigStatus(7, 0.0, StorePosition(0, position)), now, "b")
        assert keeper.age(now) == pytest.approx(1.0)
    keeper.on_status(ConfigStatus(7, 0.0, StorePosition(0, 5)), now, "b")
    assert keeper.age(now) == pytest.approx(0.0)


def test_status_without_a_position_confirms_by_its_version(world):
    """Guards against nodes of an earlier release that no longer confirm anything."""
    world.start("a", is_candidate=False, log=rejecting_log(world))
    keeper = world.keepers["a"]
    keeper._on_record(ConfigRecord(0, 0.0, config_bytes(version=7)), world.clock.now(), "b")
    world.clock.advance(1.0)
    keeper.on_status(ConfigStatus(7, 0.0), world.clock.now(), "b")
    assert keeper.age(world.clock.now()) == pytest.approx(0.0)
    assert keeper.status(world.clock.now()).position is None


def test_record_without_a_position_does_not_hide_an_earlier_order(world):
    """Guards against an order before the configuration, passed on by an earlier release."""
    world.log.evacuate("north")
    world.log.append("config", config_bytes(version=8))
    state = world.start("a", is_candidate=False)
    record = ConfigRecord(2, 0.0, config_bytes(version=8))
    world.keepers["a"]._on_record(record, world.clock.now(), "b")
    world.clock.advance(BOUND_S)
    assert state.config.version == 8 and state.evacuated == {"north"}


def test_node_with_a_path_to_the_store_keeps_the_bound_beside_nodes_that_are_behind(world):
    """Guards against peers that the store rejects and that answer with old records."""
    state = world.start("a", is_candidate=False)
    world.start("b", is_candidate=True)
    world.run(0.8, ("a", "b"))
    assert state.config is not None
    stuck = world.start("c", is_candidate=False, log=rejecting_log(world))
    world.run(0.8, ("a", "b"), ("c", "b"))
    world.log.evacuate("north")
    for _ in range(round(BOUND_S / PULL_INTERVAL_S)):
        world.run(PULL_INTERVAL_S, ("a", "c"), ("c", "a"))
        if state.evacuated:
            break
    assert state.evacuated == {"north"}
    world.run(0.8, ("c", "a"))
    assert stuck.evacuated == {"north"}


def test_announced_position_does_not_delay_the_read_of_outdated_records(world):
    """Guards against a host that announces a position and does not answer."""
    state = world.start("a", is_candidate=False)
    world.clock.advance(0.5)
    world.log.evacuate("north")
    world.keepers["a"].on_position(StorePosition(0, 2), "z")
    world.clock.advance(CONFIRMED_MAX_AGE_S + 0.2)
    assert state.evacuated == {"north"}


# Choice of the server


def group_target(name, data_centre):
    address = Address("10.8.0.1", 80)
    return GroupTarget(f"g-{name}", 1, "big", name, address, data_centre, service="pool", size=4)


def server_target(name, data_centre):
    return PlainServerTarget(name, "desk", Address("10.9.0.1", 80), data_centre, 6)


@pytest.fixture
def gateway(tmp_path):
    """Return a gateway whose plan has a group and a plain server in each data centre."""
    gateway = Gateway(tmp_path)
    gateway.ingress.start()
    groups = tuple(group_target(f"h-{each}", each) for each in PLACES)
    servers = tuple(server_target(f"p-{each}", each) for each in PLACES)
    plan = Plan(2, 1, True, RoutingTargets(groups, servers))
    gateway.state.accept_plan(plan, gateway.clock.now() + 1e6)
    return gateway


def sent_to(gateway):
    return {sent.call.address for sent in gateway.client.sent}


@pytest.mark.parametrize("target", ["/plan/x", "/order/1"])
def test_no_request_goes_to_an_evacuated_data_centre(tmp_path, target):
    gateway = Gateway(tmp_path)
    addresses = {each: Address(f"10.8.0.{n}", 80) for n, each in enumerate(PLACES)}
    groups = tuple(
        GroupTarget(
            f"g-{each}", 1, "big", f"h-{each}", addresses[each], each, service="pool", size=4
        )
        for each in PLACES
    )
    servers = tuple(
        PlainServerTarget(f"p-{each}", "desk", addresses[each], each, 6) for each in PLACES
    )
    plan = Plan(2, 1, True, RoutingTargets(groups, servers))
    gateway.state.accept_plan(plan, gateway.clock.now() + 1e6)
    gateway.state.evacuated = frozenset({"north", "west"})
    for _ in range(6):
        if target == "/plan/x":
            gateway.send_stream_request()
        else:
            gateway.send_request(target)
    assert sent_to(gateway) == {addresses["east"]}


def test_failed_send_is_not_repeated_in_an_evacuated_data_centre(gateway):
    gateway.state.evacuated = frozenset({"north", "west"})
    reply = gateway.send_request("/order/open/1", key=None)
    (sent,) = gateway.client.sent
    sent.call.on_lost(LossReason.CONNECTION_LOST)
    gateway.clock.advance(2.0)
    assert len(gateway.client.sent) == 1 and reply.ended


def test_group_of_a_plan_without_data_centres_is_looked_up_in_the_list(gateway):
    """Guards against a planner of an earlier release, whose plan does not name data centres."""
    state, now = gateway.state, gateway.clock.now()
    state.fleet.put(make_instance("h1"), now)
    plan = Plan(2, 2, True, RoutingTargets((group_target("h1", ""),), ()))
    state.accept_plan(plan, now + 1e6)
    state.evacuated = frozenset({state.fleet.get("h1").data_centre})
    reply = gateway.send_stream_request()
    assert not gateway.client.sent and not reply.ended
    state.evacuated = frozenset()
    gateway.ingress.retry_held()
    assert len(gateway.client.sent) == 1


def test_running_requests_in_an_evacuated_data_centre_may_finish(gateway):
    reply = gateway.send_request("/order/1")
    gateway.state.evacuated = frozenset(PLACES)
    gateway.ingress.retry_held()
    (sent,) = gateway.client.sent
    assert not sent.cancelled
    sent.answer_whole(200, b"ok", ("x-briarpond-server-stamp", "s.1"))
    assert reply.status == 200


def test_node_with_its_own_list_leaves_out_evacuated_data_centres(tmp_path):
    """Guards against the fallback of a node whose planner has stopped."""
    gateway = Gateway(tmp_path)
    state = gateway.state
    gateway.clock.time += 60.0
    gateway.list_read_at = gateway.clock.now()
    state.list_known_until = lambda: gateway.list_read_at
    data_centre = state.fleet.get("p0").data_centre
    state.evacuated = frozenset({data_centre})
    gateway.send_request("/order/1")
    assert not gateway.client.sent
    state.evacuated = frozenset()
    gateway.send_request("/order/1")
    assert len(gateway.client.sent) == 1


def test_held_request_is_sent_at_once_when_the_order_is_cancelled(world, tmp_path):
    """Guards against a caller that waits for a timer although a server is usable again."""
    gateway = Gateway(tmp_path)
    plan = Plan(2, 1, True, RoutingTargets((group_target("h-north", "north"),), ()))
    gateway.state.accept_plan(plan, gateway.clock.now() + 1e6)
    keeper = ConfigKeeper(
        gateway.state,
        world.log,
        lambda: True,
        lambda now: True,
        lambda config: None,
        lambda failure_age_s: None,
        gateway.ingress.retry_held,
    )
    world.log.evacuate("north")
    world.log.clock = gateway.clock
    keeper.start()
    gateway.clock.advance(0.05)
    reply = gateway.send_stream_request()
    assert not gateway.client.sent and not reply.ended
    world.log.cancel("north")
    gateway.clock.advance(0.03)
    assert len(gateway.client.sent) == 1


@pytest.mark.parametrize("failing", ["retry_held", "step", None])
def test_change_reaches_requests_planner_and_other_nodes_even_if_one_step_fails(failing):
    """Guards against a fault in one of the steps that keeps the order from the others."""
    done = []

    def step(name):
        def run():
            if name == failing:
                raise KeyError("unexpected")
            done.append(name)

        return run

    node = SimpleNamespace(
        ingress=SimpleNamespace(retry_held=step("retry_held")),
        _planner=SimpleNamespace(planning=True, step=step("step")),
        _announce_config=step("announce"),
    )
    Node._on_evacuation(node)
    assert done == [each for each in ("retry_held", "step", "announce") if each != failing]


@pytest.mark.parametrize("is_gap", [True, False])
def test_answers_that_contradict_each_other_are_read_with_pauses(world, is_gap):
    """Guards against calls without a pause while some answers of the store are outdated."""
    world.start("a")
    world.log.evacuate("north")
    world.clock.advance(0.5)
    if is_gap:
        world.log.evacuate("east")
        world.log.evacuate("west")
        world.log.compact(first_kept=3)
        world.keepers["a"]._position = StorePosition(0, 2)
        world.log._newest = lambda: b'{"entries":[],"hasMore":false,"end":1}'
        world.log.append("other", b"1")
    else:
        world.log.visible = 1
    calls = world.log.calls
    world.clock.advance(5.0)
    assert world.log.calls - calls < 5.0 / 0.1
    assert world.states["a"].evacuated >= {"north"}
