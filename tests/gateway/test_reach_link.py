"""A node that reaches no server finds out, and teaches and tells nobody what it has lost by that.

The failure guarded against: a node that was partitioned from all servers took them for lost,
told other nodes to avoid them, and taught them that prompts end servers.
"""

from functools import partial
from types import SimpleNamespace

import pytest

from briarpond.gateway._node import Node
from briarpond.net import LossReason
from briarpond.reachability import LinkState, LossKind

from .cut_links import Cut, CuttableGateway
from .world import NullExchange

ALL_CUTS = [Cut.HANG, Cut.RESET, Cut.REFUSE]


@pytest.fixture
def gateway(tmp_path):
    gateway = CuttableGateway(tmp_path)
    gateway.clock.advance(1.0)
    return gateway


@pytest.fixture
def events(monkeypatch):
    lines = []
    monkeypatch.setattr(
        "briarpond.gateway._reach_link.log_warning", lambda name, **fields: lines.append(fields)
    )
    monkeypatch.setattr(
        "briarpond.gateway._reach_link.log_event", lambda name, **fields: lines.append(fields)
    )
    return lines


def begin_streams(gateway, count=4):
    for _ in range(count):
        gateway.send_stream_request(x_briarpond_prompt_prefix="ab:10,cd:20")
    for sent in gateway.client.sent:
        sent.answer_head(
            200, ("content-type", "text/event-stream"), ("x-briarpond-server-stamp", "s")
        )
        sent.call.on_body(b"id: 1\ndata: a\n\n")


@pytest.mark.parametrize("cut", ALL_CUTS)
def test_cut_is_found_within_a_second_of_one_request_a_second(gateway, cut):
    gateway.client.begin(cut)
    gateway.send_request("/plan/x", x_briarpond_model="big", x_briarpond_token_usage="9,9")
    gateway.clock.advance(0.8)
    assert gateway.is_cut_off and gateway.changes == [True]


def test_hanging_streams_alone_show_the_cut_within_a_second(gateway):
    begin_streams(gateway)
    gateway.client.begin(Cut.HANG)
    gateway.clock.advance(0.8)
    assert gateway.is_cut_off


@pytest.mark.parametrize("cut", ALL_CUTS)
def test_node_is_back_within_a_second_after_the_cut(gateway, cut):
    gateway.client.begin(cut)
    gateway.state.reachability.note_failure("h1", gateway.clock.now())
    gateway.clock.advance(3.0)
    gateway.client.begin(Cut.NONE)
    gateway.clock.advance(1.0)
    assert not gateway.is_cut_off and gateway.changes == [True, False]


def test_servers_that_failed_in_a_cut_are_used_at_once_after_it(gateway):
    gateway.client.begin(Cut.REFUSE)
    gateway.send_stream_request()
    gateway.clock.advance(0.5)
    assert gateway.is_cut_off
    gateway.client.begin(Cut.NONE)
    now = gateway.clock.now()
    for head in ("h1", "h2", "h3"):
        gateway.state.avoid(head, now + 5.0)
    gateway.clock.advance(1.0)
    assert not any(gateway.state.is_avoided(h, gateway.clock.now()) for h in ("h1", "h2", "h3"))


def test_one_dead_server_cuts_nothing_off_and_is_acted_on_at_once(gateway):
    acted = []
    gateway.reach.hold("h1", LossKind.STALL, lambda: acted.append(gateway.clock.now()))
    began_at = gateway.clock.now()
    gateway.clock.advance(1.0)
    assert not gateway.is_cut_off
    assert acted and acted[0] - began_at < 0.1
    assert gateway.client.connects == 2


def test_losses_of_a_cut_are_dropped_with_one_line(gateway, events):
    acted = []
    gateway.client.begin(Cut.HANG)
    gateway.reach.hold("h1", LossKind.STALL, lambda: acted.append("h1"))
    gateway.reach.hold("h2", LossKind.STALL, lambda: acted.append("h2"))
    gateway.reach.hold("h1", LossKind.CRASH, lambda: acted.append("h1"))
    gateway.clock.advance(5.0)
    gateway.client.begin(Cut.NONE)
    gateway.clock.advance(2.0)
    assert acted == []
    assert {"outcome": "dropped", "count": 3, "kinds": "crash:1+stall:2"} in events
    states = [line["state"] for line in events if "state" in line]
    assert states == ["cut_off", "back"]
    assert all(line["checked"] for line in events if "state" in line)


@pytest.mark.parametrize("is_cut", [False, True])
def test_crashes_that_come_together_are_held(gateway, is_cut):
    acted = []
    gateway.client.cut = Cut.REFUSE if is_cut else Cut.NONE
    for head in ("h1", "h2", "h3"):
        gateway.reach.hold(head, LossKind.CRASH, partial(acted.append, head))
    assert acted == ["h1"]
    gateway.clock.advance(1.0)
    assert acted == (["h1"] if is_cut else ["h1", "h2", "h3"])


def test_channels_that_were_reset_by_a_cut_are_no_evidence_against_prompts(gateway):
    """Guards against the quarantine of a part that all requests of a cut node share."""
    crashes = []
    gateway.state.quarantine.record_crash = lambda *crash: crashes.append(crash)
    begin_streams(gateway, 6)
    gateway.client.begin(Cut.RESET)
    gateway.clock.advance(2.0)
    assert gateway.is_cut_off
    assert len(gateway.client.sent) == 6
    assert len(crashes) <= 1


# Guards against one more repeat of a request that ends servers.
def test_crash_of_one_server_is_evidence_at_once(gateway):
    crashes = []
    gateway.state.quarantine.record_crash = lambda *crash: crashes.append(crash)
    begin_streams(gateway, 1)
    (sent,) = gateway.client.sent
    began_at = gateway.clock.now()
    gateway.client.dead.add(sent.call.address)
    sent.call.on_lost(LossReason.CONNECTION_LOST)
    ((_, _, at),) = crashes
    assert at == began_at


def test_pause_of_a_cut_is_not_learned_as_the_pace_of_a_group(gateway):
    begin_streams(gateway, 1)
    (sent,) = gateway.client.sent
    gaps = []
    gateway.state.event_gap_tracker.record_gap = lambda *row: gaps.append(row[2])
    gateway.client.begin(Cut.HANG)
    gateway.state.reachability.note_failure("h1", gateway.clock.now())
    gateway.clock.advance(0.6)
    assert gateway.is_cut_off
    gateway.client.begin(Cut.NONE)
    sent.call.on_body(b"id: 2\ndata: a\n\n")
    gateway.clock.advance(1.0)
    sent.call.on_body(b"id: 3\ndata: a\n\n")
    gateway.clock.advance(0.05)
    sent.call.on_body(b"id: 4\ndata: a\n\n")
    assert [round(gap, 2) for gap in gaps] == [0.05]


def test_check_load_is_nothing_while_all_is_well(gateway):
    gateway.clock.advance(30.0)
    assert gateway.client.connects == 0


def test_metric_tells_whether_the_node_is_cut_off(gateway):
    gateway.client.begin(Cut.REFUSE)
    gateway.state.reachability.note_failure("h1", gateway.clock.now())
    gateway.clock.advance(1.0)
    assert gateway.state.metrics.cut_off.get({}) == 1
    gateway.client.begin(Cut.NONE)
    gateway.clock.advance(1.0)
    assert gateway.state.metrics.cut_off.get({}) == 0


def test_new_connection_of_a_request_ends_a_doubt_and_a_kept_one_does_not(gateway):
    """Kept connections may live on while new ones are refused."""
    state = gateway.state
    state.reachability.note_failure("h1", gateway.clock.now())
    gateway.send_stream_request()
    assert state.reachability.state() is LinkState.IN_DOUBT
    connecting = []
    gateway.client.start = lambda call: connecting.append(call) or NullExchange()
    gateway.send_stream_request()
    connecting[0].on_sent()
    assert state.reachability.state() is LinkState.REACHING


def stalled_reports(gateway):
    """Return the servers that other nodes are told to avoid, as the list fills."""
    told = []
    node = SimpleNamespace(
        state=gateway.state,
        _planner=SimpleNamespace(planning=False),
        _peers=SimpleNamespace(announce=lambda stalled: told.extend(stalled)),
    )
    gateway.ingress._report_stalled = lambda server: Node._on_stalled(node, server)
    return told


# Guards against sound servers that all nodes avoid, because one of them has lost its links.
@pytest.mark.parametrize("cut", ALL_CUTS)
def test_cut_node_tells_nobody_that_servers_are_stalled(gateway, cut):
    told = stalled_reports(gateway)
    begin_streams(gateway, 6)
    gateway.client.begin(cut)
    gateway.send_stream_request()
    for _ in range(60):
        gateway.clock.advance(0.05)
    gateway.client.begin(Cut.NONE)
    gateway.clock.advance(1.0)
    assert gateway.changes == [True, False]
    assert told == []


def test_server_that_refuses_connections_is_reported_at_once(gateway):
    told = stalled_reports(gateway)
    target = gateway.state.groups(gateway.clock.now())[0]
    gateway.client.refusing = {target.address}
    while not told and gateway.clock.now() < 103.0:
        gateway.send_stream_request()
        gateway.clock.advance(0.1)
    assert told == [target.head]
    assert not gateway.is_cut_off
