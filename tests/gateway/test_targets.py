"""Which targets a node uses when the planner falls silent, and which group a request goes to."""

import math
import random
from collections import Counter

import msgspec
import pytest

from briarpond.directory import PlainServerTarget, Plan, RoutingTargets
from briarpond.dispatch import GroupPreferences, RequestSize, expected_first_event_s
from briarpond.gateway._targets import best_group
from briarpond.net import Address
from briarpond.routes import HostedModel

from .world import STAMP_HEADER, Gateway


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


MODEL_SLOTS = 9
POOL_BIG = HostedModel("pool", "big")


def learn_answers(state, events=30, answers=20):
    """Let a node know whole answers of the stream route, so that it chooses by cost."""
    for n in range(answers):
        state.answer_lengths.record("pool", "r-plan", 154, events, state.clock.now() - answers + n)


def forecast_of(state, tokens):
    """Return a learned forecast of an answer of about `tokens` tokens."""
    learn_answers(state)
    learned = state.answer_lengths.predict("pool", "r-plan", 154, 0, 154.0, state.clock.now())
    assert learned.is_learned
    return msgspec.structs.replace(learned, log_mean=math.log(tokens), variance=0.01)


def choose(state, forecast=None, prompt_tokens=979):
    """Return the head that a request is sent to."""
    size = RequestSize(prompt_tokens, 154)
    choice = best_group(state, POOL_BIG, size, (), state.clock.now(), forecast)
    return choice.instance


def connect_all(gateway):
    """Keep an idle connection to each group, so that all cost the same to connect to."""
    gateway.client.idle = {group.address for group in gateway.state.groups(100.0)}


def test_requests_of_one_kind_with_different_predicted_costs_go_to_different_groups(tmp_path):
    """Few long answers in one group, more short ones in another, and two requests of a route.

    A long answer would run beside the long ones to its end.
    """
    gateway = Gateway(tmp_path, heads=("h1", "h2"))
    state = gateway.state
    connect_all(gateway)
    state.load_tracker.set_peer_load("relays", [("h1", 4, 0, 4 * 500), ("h2", 5, 0, 5 * 20)])
    assert {choose(state, forecast_of(state, 20.0)) for _ in range(10)} == {"h1"}
    assert {choose(state, forecast_of(state, 900.0)) for _ in range(10)} == {"h2"}


def test_group_with_long_answers_under_way_is_avoided(tmp_path):
    """All groups have as many requests; the answers of two groups have just begun."""
    gateway = Gateway(tmp_path)
    state = gateway.state
    connect_all(gateway)
    rows = [("h1", 5, 0, 5 * 400), ("h2", 5, 0, 5 * 15), ("h3", 5, 0, 5 * 400)]
    state.load_tracker.set_peer_load("relays", rows)
    assert {choose(state, forecast_of(state, 150.0)) for _ in range(10)} == {"h2"}


def test_slow_group_gets_less(tmp_path):
    """One of three groups is twice as slow as configured, with some requests everywhere."""
    gateway = Gateway(tmp_path)
    state = gateway.state
    connect_all(gateway)
    forecast = forecast_of(state, 150.0)
    for tick in range(20):
        for head, gap_s in (("h1", 0.08), ("h2", 0.04), ("h3", 0.04)):
            state.step_paces.record_gap(head, POOL_BIG, gap_s, 0.008, 98.0 + tick * 0.1)
    sent = Counter()
    for _ in range(12):
        head = choose(state, forecast)
        sent[head] += 1
        state.load_tracker.record_sent(head, 979, 150.0)
    assert 0 < sent["h1"] < min(sent["h2"], sent["h3"])


def test_nodes_with_the_same_stale_loads_do_not_choose_the_same_group(tmp_path):
    """All nodes see the same loads, half a second old, in which many groups look alike.

    Unread prompts in the reports have long been read and must not single one group out.
    """
    heads = tuple(f"h{n}" for n in range(12))
    chosen = Counter()
    for seed in range(24):
        gateway = Gateway(tmp_path, heads=heads)
        state = gateway.state
        connect_all(gateway)
        state.rng.seed(f"node {seed}")
        state.node_count = 84
        state.group_preferences = GroupPreferences(f"n{seed}", state.settings.data_centre)
        rows = [(head, 4, 979 * (n > 0), 4 * 77) for n, head in enumerate(heads)]
        state.load_tracker.set_peer_load("relays", rows)
        chosen[choose(state, forecast_of(state, 150.0))] += 1
    assert len(chosen) >= 8 and chosen["h0"] <= 4 and max(chosen.values()) <= 6


def test_own_sends_since_the_last_report_count_in_full(tmp_path):
    """A burst at one node comes between two reports: it must spread over the groups."""
    gateway = Gateway(tmp_path)
    state = gateway.state
    connect_all(gateway)
    forecast = forecast_of(state, 150.0)
    sent = Counter()
    for _ in range(12):
        head = choose(state, forecast)
        sent[head] += 1
        state.load_tracker.record_sent(head, 979, 150.0)
    assert set(sent.values()) == {4}


def test_choice_is_that_by_first_event_while_nothing_is_learned(tmp_path):
    """A node that has just started has no lengths: unwritten tokens must not change its choice."""
    gateway = Gateway(tmp_path)
    state = gateway.state
    connect_all(gateway)
    rng = random.Random(5)
    unlearned = state.answer_lengths.predict("pool", "r-plan", 154, 0, 154.0, 100.0)
    assert not unlearned.is_learned
    engine = state.engine("pool")
    for _ in range(50):
        rows = [
            (head, rng.randrange(MODEL_SLOTS), rng.randrange(4000), rng.randrange(2000))
            for head in ("h1", "h2", "h3")
        ]
        state.load_tracker.set_peer_load("relays", rows)
        size = RequestSize(979, 154)
        by_first_event = min(
            rows, key=lambda row: expected_first_event_s(engine, engine.models[0], size, *row[1:3])
        )
        assert choose(state, unlearned) == by_first_event[0] == choose(state)


def test_load_returns_to_nothing_after_streams_of_any_end(tmp_path):
    """Unwritten tokens that are left over would make a group look busy for good."""
    gateway = Gateway(tmp_path, heads=("h1",))
    state = gateway.state
    for end in ("whole", "cut", "cancelled"):
        gateway.send_stream_request()
        sent = gateway.client.sent[-1]
        assert state.load_tracker.total_load("h1").unwritten_tokens > 0
        sent.answer_head(200, STAMP_HEADER)
        sent.call.on_body(b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
        if end == "whole":
            sent.call.on_end()
        elif end == "cut":
            sent.call.on_body(b"id: 3\nda")
            sent.call.on_end()
        gateway.clock.advance(9.0)
        assert state.load_tracker.total_load("h1").unwritten_tokens == pytest.approx(0.0)


def stream_answer(gateway, events, **headers):
    """Let a server answer a new stream request with a number of events."""
    gateway.send_stream_request(**headers)
    sent = gateway.client.sent[-1]
    sent.answer_head(200, STAMP_HEADER)
    for n in range(events):
        sent.call.on_body(b"id: %d\ndata: x\n\n: comment\n\n" % (n + 1))
    sent.call.on_end()


def test_lengths_are_learned_from_whole_answers_only(tmp_path):
    """A caller that resumes its stream gets a rest: learned, it would make answers look short."""
    gateway = Gateway(tmp_path)
    for _ in range(5):
        stream_answer(gateway, 3, last_event_id="27")
    assert not gateway.state.answer_lengths.predict(
        "pool", "r-plan", None, 0, 154.0, 100.0
    ).is_learned
    for _ in range(5):
        stream_answer(gateway, 30)
    learned = gateway.state.answer_lengths.predict("pool", "r-plan", None, 0, 154.0, 100.0)
    assert learned.is_learned and learned.tokens_per_event == pytest.approx(154.0 / 30)
