"""Requests that a node cut off from all servers passes to another one."""

import msgspec
import pytest

from briarpond.directory import Member
from briarpond.gateway._hop_choice import MAX_REFUSALS, usable_members
from briarpond.gateway._hop_headers import HOP_HEADERS
from briarpond.gateway._hop_receiver import answer_hop, peer_limits
from briarpond.gateway._request_context import choose_helper_for
from briarpond.gateway._stopping import Stop
from briarpond.ids import DataCentre, NodeId
from briarpond.net import Address, HttpServerLimits, LossReason
from briarpond.net._http_client import IDLE_TIMEOUT_S
from briarpond.platform import decode_configuration
from briarpond.reachability import CheckTarget
from briarpond.routes import RouteTable

from ..platform_samples import config_bytes
from . import hop_world
from .hop_world import HopWorld, all_passed, all_sent, peer_address
from .silent_servers import (
    BEGUN_SILENCE_S,
    NOT_EXECUTED,
    begin_answer,
    encode_event,
    server_of,
)
from .world import STAMP_HEADER


@pytest.fixture
def world(tmp_path):
    """Three nodes of one data centre, the first of which is cut off."""
    world = HopWorld(tmp_path)
    world.cut(world.nodes[0])
    return world


def send_order(world, **headers):
    """Send a request that may run once to the node that is cut off; return its reply."""
    reply = world.nodes[0].send_request("/order/1", **headers)
    world.clock.advance(0.01)
    return reply


def send_stream(world, **headers):
    reply = world.nodes[0].send_stream_request(**headers)
    world.clock.advance(0.01)
    return reply


def use_config(gateway, **changes):
    gateway.state.route_table = RouteTable(decode_configuration(config_bytes(**changes)).ok)


def allow_attempts(world, count):
    """Let each stream run at up to `count` servers."""
    for node in world.nodes:
        config = node.state.config
        routes = [msgspec.structs.replace(each, max_attempts=count) for each in config.routes]
        config = msgspec.structs.replace(config, routes=tuple(routes))
        node.state.route_table = RouteTable(config)


# Guards against callers that get nothing from a node that is cut off while others reach servers.
def test_request_at_a_node_that_is_cut_off_is_answered_through_another_one(world):
    reply = send_order(world, x_briarpond_tenant="forged")
    (sent,) = all_sent(world)
    assert not world.nodes[0].client.sent
    assert sent.header("x-briarpond-tenant") == "acme" and sent.header("authorization") is None
    assert sent.header("x-briarpond-request-id") == "r0" and sent.call.body == b"body"
    assert not HOP_HEADERS & {name for name, _ in sent.call.headers}
    sent.answer_whole(201, b"board", STAMP_HEADER)
    world.clock.advance(0.01)
    assert (reply.status, reply.body, reply.ended) == (201, b"board", True)
    assert reply.header("x-briarpond-server-stamp") == "s.1"
    assert not HOP_HEADERS & {name.lower() for name, _ in reply.headers}
    assert not any(node.ingress.in_flight for node in world.nodes)


def test_node_that_reaches_servers_passes_nothing_on(world):
    world.nodes[1].send_request("/order/1")
    assert not all_passed(world) and len(world.nodes[1].client.sent) == 1


# Guards against requests that are lost because a system of three nodes is cut off as a whole.
def test_request_goes_to_a_server_as_usual_if_all_nodes_are_cut_off(world):
    world.cut(*world.nodes)
    send_order(world)
    assert not all_passed(world) and len(world.nodes[0].client.sent) == 1


@pytest.mark.parametrize("why", ["cut_off", "not_ready", "leaving"])
def test_request_is_passed_to_no_node_that_cannot_serve_it(world, why):
    _, bad, good = world.nodes
    if why == "cut_off":
        world.cut(bad)
    bad.ready = why != "not_ready"
    bad.state.leaving = why == "leaving"
    for _ in range(6):
        send_order(world)
    assert not bad.client.sent and len(good.client.sent) == 6


# Guards against a caller that gets 404 from a node of an earlier release: it knows no requests of
# other nodes at its peer port.
def test_request_is_passed_to_no_node_that_does_not_tell_whether_it_is_cut_off():
    own = Member(NodeId("a"), 1, 1, Address("10.0.0.1", 8227), DataCentre("x"), True, False)
    earlier = msgspec.structs.replace(own, node=NodeId("b"), cut_off=None)
    assert usable_members([own, earlier], ()) == [own]


# One hop


# Guards against a request that goes round among nodes which all are cut off.
def test_request_is_passed_on_once_only(world):
    _, first, second = world.nodes
    world.cut(first, second)
    first.described_cut_off = second.described_cut_off = False
    reply = send_order(world)
    world.clock.advance(0.5)
    assert not first.client.passed and not second.client.passed
    assert len(all_passed(world)) == MAX_REFUSALS
    assert not all_sent(world) and reply.status == 503 and reply.header("retry-after")


# Guards against requests that are lost at nodes which are cut off and find it out a moment later.
def test_node_that_checks_its_links_takes_nothing_until_it_knows(world):
    _, checking, other = world.nodes
    world.cut(other)
    reachability = checking.state.reachability
    reachability.is_wired = True
    reachability.note_failure("p0", world.clock.now())
    reachability.next_checks([CheckTarget("p1", Address("10.9.0.2", 80), "z")], world.clock.now())
    reply = send_order(world)
    world.clock.advance(0.02)
    assert reply.status is None and not all_sent(world)
    reachability.note_connected(world.clock.now(), world.clock.now())
    world.clock.advance(0.06)
    assert len(checking.client.sent) == 1 and not other.client.sent


# Guards against requests that end with the node that has taken them when it is cut off, too.
def test_node_that_is_cut_off_gives_back_a_request_that_it_has_not_sent(world):
    _, first, second = world.nodes
    first.client.hanging = second.client.hanging = True
    send_order(world)
    (passed,) = all_passed(world)
    (connecting,) = passed.helper.client.connecting
    other = next(node for node in (first, second) if node is not passed.helper)
    other.client.hanging = False
    world.cut(passed.helper)
    world.clock.advance(0.1)
    assert connecting.cancelled and len(other.client.sent) == 1
    assert [each.helper for each in world.nodes[0].client.passed] == [passed.helper, other]
    assert not passed.helper.client.passed


@pytest.mark.parametrize("how", ["silent", "lost"])
def test_node_that_is_cut_off_gives_back_a_stream_that_goes_on_through_another_one(world, how):
    reply = send_stream(world)
    (passed,) = all_passed(world)
    (sent,) = all_sent(world)
    begin_answer(sent, 0)
    world.clock.advance(0.01)
    world.cut(passed.helper)
    if how == "lost":
        sent.call.on_lost(LossReason.CONNECTION_LOST)
    world.clock.advance(BEGUN_SILENCE_S)
    assert len(passed.helper.client.sent) == 1 and not passed.helper.client.passed
    _, second = all_passed(world)
    assert second.header("last-event-id") == "0" and second.header("briarpond-hop-attempts") == "1"
    (resumed,) = second.helper.client.sent
    begin_answer(resumed, 1)
    resumed.call.on_end()
    world.clock.advance(0.01)
    assert reply.body == encode_event(0) + encode_event(1)
    assert reply.ended and not reply.aborted


# Guards against a request that may run once, is given back and runs again.
def test_node_that_is_cut_off_keeps_a_request_that_may_run_once_and_that_it_has_sent(world):
    reply = send_order(world)
    (passed,) = all_passed(world)
    world.cut(passed.helper)
    world.clock.advance(1.5)
    assert len(all_passed(world)) == len(all_sent(world)) == 1 and reply.status == 504


def test_no_node_is_chosen_for_a_request_of_another_one(world):
    send_stream(world)
    (helper,) = (passed.helper for passed in all_passed(world))
    (forwarded,) = helper.ingress._requests
    world.cut(helper)
    assert choose_helper_for(forwarded._context, (), world.clock.now()) is None
    own = msgspec.structs.replace(forwarded._context, hop=None)
    assert choose_helper_for(own, (), world.clock.now()) is not None


def test_hop_headers_of_a_caller_are_not_believed(world):
    world.nodes[0].send_request("/order/1", briarpond_hop_origin="n9", briarpond_hop_attempts="9")
    (passed,) = all_passed(world)
    values = [value for name, value in passed.call.headers if name == "briarpond-hop-origin"]
    assert values == ["n0"] and passed.header("briarpond-hop-attempts") == "1"


@pytest.mark.parametrize("status", [200, 503])
def test_hop_headers_of_a_server_are_not_believed(world, status):
    reply = send_order(world)
    (sent,) = all_sent(world)
    sent.answer_whole(status, b"x", STAMP_HEADER, ("briarpond-hop-end", "stopping"))
    world.clock.advance(0.1)
    assert len(all_passed(world)) == 1 and (reply.status, reply.body) == (status, b"x")


# At most once, and what "not run" promises


# Guards against a request that may run once and is passed on again after it may have run.
def test_request_that_may_run_once_is_not_repeated_after_a_lost_hop(world):
    reply = send_order(world)
    (passed,) = all_passed(world)
    passed.lose()
    world.clock.advance(0.1)
    assert len(all_passed(world)) == len(all_sent(world)) == 1 and reply.status == 502


def test_request_that_may_have_run_ends_with_502_at_both_nodes(world):
    reply = send_order(world)
    (sent,) = all_sent(world)
    sent.call.on_lost(LossReason.CONNECTION_LOST)
    world.clock.advance(0.1)
    assert len(all_passed(world)) == len(all_sent(world)) == 1 and reply.status == 502


def test_request_that_a_server_has_turned_away_ends_as_not_run(world):
    reply = send_order(world)
    (sent,) = all_sent(world)
    sent.answer_whole(503, b"", NOT_EXECUTED)
    world.clock.advance(0.1)
    assert len(all_passed(world)) == 1
    assert reply.status == 503 and reply.header("retry-after") is not None


def test_failed_connect_to_a_node_leads_to_another_one(world):
    origin, gone, other = world.nodes
    origin.client.refusing = {peer_address(gone)}
    for number in range(4):
        send_order(world)
        assert len(other.client.sent) == number + 1
    assert not gone.client.sent


# Guards against a node that is tried by every request although it has just failed.
def test_node_that_has_just_failed_is_left_out_for_a_while(world):
    origin, gone, other = world.nodes
    origin.client.refusing = {peer_address(gone)}
    while not origin.state.is_avoided("node:n1", world.clock.now()):
        send_order(world)
    origin.client.refusing = set()
    for _ in range(5):
        send_order(world)
    assert not gone.client.sent
    for _ in range(20):
        world.clock.advance(0.1)
        send_order(world)
    assert gone.client.sent


# Guards against refusals in the moment in which the nodes tell each other who is cut off.
def test_request_is_offered_again_once_another_node_reaches_servers(tmp_path):
    world = HopWorld(tmp_path, ("hobart-a",) * 6)
    world.cut(*world.nodes)
    for node in world.nodes[1:]:
        node.described_cut_off = False
    reply = send_order(world)
    world.clock.advance(0.02)
    assert len(all_passed(world)) == 2 and reply.status is None
    for node in world.nodes[2:]:
        node.state.reachability.cut_off = False
    world.nodes[1].described_cut_off = True
    world.clock.advance(0.06)
    assert len(all_sent(world)) == 1 and reply.status is None


def test_refusals_leave_time_for_no_other_node_at_the_deadline(world):
    world.cut(*world.nodes)
    for node in world.nodes[1:]:
        node.described_cut_off = False
    reply = send_order(world, deadline_ms=90)
    world.clock.advance(0.05)
    assert reply.status == 503 and not all_sent(world)


# Deadline


# Guards against servers that are handed more time than the caller has left.
def test_deadline_is_what_is_left(world):
    origin = world.nodes[0]
    origin.state.reachability.cut_off = False
    addresses = {target.address for target in origin.state.servers(world.clock.now())}
    origin.client.refusing = addresses
    origin.send_request("/order/1", deadline_ms=700)
    world.cut(origin)
    world.clock.advance(0.01)
    (sent,) = all_sent(world)
    assert 600 <= int(sent.header("x-briarpond-deadline-ms")) <= 700


# Guards against an unknown outcome because the deadline comes before the answer of the helper.
def test_request_that_a_node_has_held_to_the_deadline_ends_as_not_run(world):
    world.clock.advance(1.0)
    for helper in world.nodes[1:]:
        for server in ("p0", "p1", "p2"):
            helper.state.load_tracker.mark_full(server, world.clock.now() + 9.0)
    reply = send_order(world, deadline_ms=400)
    world.clock.advance(0.5)
    assert reply.status == 503 and not all_sent(world)


def test_request_whose_time_is_over_at_the_helper_ends_with_504(world):
    reply = send_order(world)
    world.clock.advance(1.1)
    assert len(all_sent(world)) == 1 and reply.status == 504


# Limits of the helper


# Guards against few nodes that are crowded by all the others.
def test_node_without_room_refuses_what_is_passed_to_it_as_it_does_its_callers(world):
    for helper in world.nodes[1:]:
        for head in ("h1", "h2", "h3"):
            helper.state.load_tracker.mark_full(head, world.clock.now() + 9.0)
    own, passed = world.nodes[1].send_stream_request(), send_stream(world)
    world.clock.advance(1.0)
    assert own.status == passed.status == 503 and passed.header("retry-after")
    assert len(all_passed(world)) == 1 and not all_sent(world)


# Guards against refusals by a node that is cut off, too, and doesn't know it yet.
def test_request_for_which_a_node_knows_no_server_is_offered_to_one_more(world):
    for helper in world.nodes[1:]:
        helper.publish_plan(())
    reply = send_stream(world)
    world.clock.advance(1.0)
    assert reply.status == 503 and len(all_passed(world)) == 2 and not all_sent(world)


def test_requests_are_spread_over_the_nodes_that_are_left(tmp_path):
    world = HopWorld(tmp_path, ("hobart-a", "hobart-a", "glenorchy-b", "glenorchy-b"))
    world.cut(world.nodes[0])
    for _ in range(18):
        world.nodes[0].send_request("/order/1")
    counts = [sum(passed.helper is node for passed in all_passed(world)) for node in world.nodes]
    assert sum(counts) == 18 and counts[1] > counts[2] >= 3 and counts[3] >= 3


# Guards against requests at the limit that callers may use and other nodes may not.
def test_headers_that_callers_may_send_fit_with_those_that_a_node_adds(world):
    reply_limits = HttpServerLimits(max_header_bytes=2000, max_body_bytes=500, idle_timeout_s=1.0)
    limits = peer_limits(reply_limits)
    send_order(world)
    (passed,) = all_passed(world)
    added = sum(len(name) + len(value) + 4 for name, value in passed.call.headers)
    assert added < 1000 and limits.max_header_bytes >= 3000
    assert limits.max_body_bytes == 500 and limits.idle_timeout_s > IDLE_TIMEOUT_S


# Keys, routes and configuration


def test_node_with_an_older_configuration_refuses_and_another_one_serves(world):
    origin, older, newer = world.nodes
    for node in (origin, newer):
        use_config(node, version=8)
    for number in range(4):
        reply = send_order(world)
        assert len(newer.client.sent) == number + 1 and reply.status is None
    assert not older.client.sent


def test_newer_configuration_of_the_helper_decides(world):
    for helper in world.nodes[1:]:
        use_config(helper, version=9, tenants=[{"name": "acme", "apiKeys": ["key-b"]}])
    reply = send_order(world)
    world.clock.advance(0.1)
    assert reply.status == 401 and len(all_passed(world)) == 1 and not all_sent(world)


def test_node_that_cannot_check_keys_refuses_and_another_one_serves(world):
    _, stale, current = world.nodes
    stale.config_age_s = 4.5
    for number in range(4):
        send_order(world)
        assert len(current.client.sent) == number + 1
    assert not stale.client.sent


# Streams


def test_stream_passes_whole_and_event_by_event(world):
    reply = send_stream(world)
    (sent,) = all_sent(world)
    begin_answer(sent, 0)
    sent.call.on_body(b"id: 1\nda")
    world.clock.advance(0.01)
    assert reply.status == 200 and reply.body == encode_event(0) and not reply.ended
    sent.call.on_body(b"ta: x1\n\n")
    sent.call.on_end()
    world.clock.advance(0.01)
    assert reply.ended and not reply.aborted
    assert reply.body == encode_event(0) + encode_event(1)


def test_stream_that_the_caller_resumes_goes_on_after_its_last_event(world):
    send_stream(world, last_event_id="4")
    assert all_sent(world)[0].header("last-event-id") == "4"


def test_stream_whose_server_is_lost_is_resumed_by_the_helper(world):
    allow_attempts(world, 3)
    reply = send_stream(world)
    (sent,) = all_sent(world)
    begin_answer(sent, 0)
    world.clock.advance(0.01)
    sent.call.on_lost(LossReason.CONNECTION_LOST)
    world.clock.advance(0.01)
    first, second = all_sent(world)
    assert len(all_passed(world)) == 1 and second.header("last-event-id") == "0"
    begin_answer(second, 1)
    second.call.on_end()
    world.clock.advance(0.01)
    assert reply.body == encode_event(0) + encode_event(1)
    assert reply.ended and not reply.aborted


# Guards against streams that are cut because the node that passes them on has died.
def test_stream_whose_helper_is_lost_is_resumed_through_another_one(world):
    reply = send_stream(world)
    (passed,) = all_passed(world)
    (sent,) = all_sent(world)
    begin_answer(sent, 0)
    world.clock.advance(0.01)
    passed.lose()
    world.clock.advance(0.01)
    first, second = all_passed(world)
    assert second.helper is not first.helper and second.header("last-event-id") == "0"
    assert second.header("briarpond-hop-attempts") == "1"
    (resumed,) = second.helper.client.sent
    begin_answer(resumed, 1)
    resumed.call.on_end()
    world.clock.advance(0.01)
    assert reply.body == encode_event(0) + encode_event(1)
    assert reply.ended and not reply.aborted


# Guards against more runs than the route allows: one node's repeats and the other's.
@pytest.mark.parametrize("attempts", [2, 3])
def test_stream_that_the_helper_has_broken_off_is_not_repeated_beyond_its_attempts(world, attempts):
    allow_attempts(world, attempts)
    reply = send_stream(world)
    (sent,) = all_sent(world)
    begin_answer(sent, 0)
    world.clock.advance(0.01)
    lost = []
    for number in range(attempts):
        assert not reply.aborted
        assert len(all_sent(world)) == number + 1
        (open_send,) = [each for each in all_sent(world) if each not in lost]
        lost.append(open_send)
        open_send.call.on_lost(LossReason.CONNECTION_LOST)
        world.clock.advance(0.01)
    world.clock.advance(0.1)
    assert len(all_passed(world)) == 2 and len(all_sent(world)) == attempts
    assert reply.aborted and reply.body == encode_event(0)


# Guards against more runs than the route allows: the node that has the request asks a second
# server, and the one that has passed it on a second node.
@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("has_begun", [False, True])
@pytest.mark.parametrize("attempts", [2, 3])
def test_silent_stream_runs_at_no_more_servers_than_its_attempts(world, attempts, has_begun, seed):
    for number, node in enumerate(world.nodes):
        node.state.rng.seed(10 * seed + number)
    allow_attempts(world, attempts)
    send_stream(world)
    (first,) = all_sent(world)
    if has_begun:
        begin_answer(first, 0)
    world.clock.advance(4.0)
    assert len(all_sent(world)) > 1
    assert len({server_of(sent) for sent in all_sent(world)}) <= attempts


# Guards against a stream that looks whole though the node that passed it on has broken it off.
def test_stream_that_the_helper_breaks_off_at_its_stop_is_resumed_or_cut(world):
    world.cut(world.nodes[2])
    reply = send_stream(world)
    (sent,) = all_sent(world)
    begin_answer(sent, 0)
    world.clock.advance(0.01)
    world.nodes[1].ingress.end_all()
    world.nodes[1].ready = False
    world.clock.advance(0.01)
    assert not reply.ended or reply.aborted
    (own,) = world.nodes[0].client.sent
    assert own.header("last-event-id") == "0"
    world.clock.advance(8.0)
    assert reply.aborted


@pytest.mark.parametrize("status", [404, 500])
def test_failure_of_a_server_is_passed_on_with_its_stamp(world, status):
    reply = send_stream(world)
    all_sent(world)[0].answer_whole(status, b"no", STAMP_HEADER)
    world.clock.advance(0.01)
    assert (reply.status, reply.body) == (status, b"no")
    assert reply.header("x-briarpond-server-stamp") == "s.1" and len(all_passed(world)) == 1


# Callers that leave


# Guards against servers that work on for callers who have left a node that is cut off.
@pytest.mark.parametrize("begun", [False, True])
def test_caller_that_leaves_ends_the_request_at_the_server(world, begun):
    reply = send_stream(world)
    (sent,) = all_sent(world)
    if begun:
        begin_answer(sent, 0)
        world.clock.advance(0.01)
    reply.ended = True
    reply.on_disconnect()
    world.clock.advance(0.01)
    assert sent.cancelled and not any(node.ingress.in_flight for node in world.nodes)


# Stops


def stop(gateway, lasts_s=7.5):
    now = gateway.clock.now()
    gateway.ingress.stop = Stop(now, now + lasts_s)
    gateway.state.leaving = True


def test_node_that_stops_takes_nothing_new_and_ends_what_it_has(world):
    send_stream(world)
    (passed,) = all_passed(world)
    (sent,) = all_sent(world)
    helper = passed.helper
    other = next(node for node in world.nodes[1:] if node is not helper)
    stop(helper)
    # Not told of the stop yet, the origin may ask it once more.
    world.nodes[0].state.hops.members = lambda now: [
        msgspec.structs.replace(each, leaving=False) for each in world.members_but(world.nodes[0])
    ]
    for number in range(4):
        send_order(world)
        assert len(other.client.sent) == number + 1
    assert len(helper.client.sent) == 1 and helper.ingress.in_flight == 1
    begin_answer(sent, 0)
    sent.call.on_end()
    assert helper.ingress.in_flight == 0


def test_node_that_is_cut_off_and_stops_ends_what_it_has_passed_on(world):
    origin = world.nodes[0]
    reply = send_stream(world)
    stop(origin)
    late = send_order(world)
    by_target = {sent.call.target: sent for sent in all_sent(world)}
    begin_answer(by_target["/plan/x"], 0)
    by_target["/plan/x"].call.on_end()
    by_target["/order/1"].answer_whole(200, b"ok", STAMP_HEADER)
    world.clock.advance(0.01)
    assert reply.ended and not reply.aborted and late.body == b"ok"
    assert origin.ingress.in_flight == 0


# When the cut begins


def test_held_request_is_passed_on_once_the_node_knows_that_it_is_cut_off(world):
    origin = world.nodes[0]
    origin.state.reachability.cut_off = False
    origin.publish_plan(())
    origin.send_stream_request()
    world.clock.advance(0.05)
    assert not all_passed(world)
    world.cut(origin)
    world.clock.advance(0.05)
    assert len(all_passed(world)) == 1 and len(all_sent(world)) == 1


# Guards against streams that stay at servers from which nothing comes any more.
def test_silent_stream_goes_on_through_another_node(world):
    origin = world.nodes[0]
    origin.state.reachability.cut_off = False
    reply = send_stream(world)
    (own,) = origin.client.sent
    begin_answer(own, 0)
    world.cut(origin)
    world.clock.advance(BEGUN_SILENCE_S)
    (passed,) = all_passed(world)
    assert passed.header("last-event-id") == "0" and not own.cancelled
    assert passed.header("briarpond-hop-attempts") == "1"
    (sent,) = passed.helper.client.sent
    begin_answer(sent, 1)
    sent.call.on_end()
    world.clock.advance(0.01)
    assert own.cancelled and reply.ended and not reply.aborted
    assert reply.body == encode_event(0) + encode_event(1)


def test_stream_whose_server_goes_on_after_all_ends_the_hop(world):
    origin = world.nodes[0]
    origin.state.reachability.cut_off = False
    reply = send_stream(world)
    (own,) = origin.client.sent
    begin_answer(own, 0)
    world.cut(origin)
    world.clock.advance(BEGUN_SILENCE_S)
    (sent,) = (sent for node in world.nodes[1:] for sent in node.client.sent)
    own.call.on_body(encode_event(1))
    own.call.on_end()
    world.clock.advance(0.01)
    assert sent.cancelled and reply.body == encode_event(0) + encode_event(1)


# Guards against a request that may run once and is sent again from a server that has it.
def test_silent_request_that_may_run_once_is_not_passed_on(world):
    origin = world.nodes[0]
    origin.state.reachability.cut_off = False
    reply = send_order(world)
    world.cut(origin)
    world.clock.advance(2.0)
    assert not all_passed(world) and reply.status == 504


def test_request_that_no_byte_was_sent_of_is_passed_on(world):
    origin = world.nodes[0]
    origin.state.reachability.cut_off = False
    origin.client.refusing = {target.address for target in origin.state.servers(world.clock.now())}
    origin.send_request("/order/1")
    world.cut(origin)
    world.clock.advance(0.01)
    assert len(all_passed(world)) == 1 and len(all_sent(world)) == 1


# Guards against half a second that a request waits for a connection which can't be opened.
def test_request_that_waits_for_its_connection_is_passed_on_at_once(world):
    origin = world.nodes[0]
    origin.state.reachability.cut_off = False
    origin.client.hanging = True
    origin.send_request("/order/1")
    world.clock.advance(0.05)
    assert not all_passed(world)
    world.cut(origin)
    world.clock.advance(0.06)
    (connecting,) = origin.client.connecting
    assert connecting.cancelled and len(all_passed(world)) == 1 and len(all_sent(world)) == 1


def test_request_goes_on_waiting_for_its_connection_if_no_node_can_pass_it_on(world):
    origin = world.nodes[0]
    origin.client.hanging = True
    world.cut(*world.nodes)
    origin.send_request("/order/1")
    world.clock.advance(0.1)
    (connecting,) = origin.client.connecting
    assert not connecting.cancelled


# Guards against a second send that uses up the attempts while this node's links are checked.
def test_silent_stream_is_sent_to_no_other_server_while_the_links_are_in_doubt(world):
    origin = world.nodes[0]
    origin.state.reachability.cut_off = False
    send_stream(world)
    (own,) = origin.client.sent
    begin_answer(own, 0)
    world.clock.advance(0.3)
    reachability = origin.state.reachability
    reachability.is_wired = True
    reachability.note_failure(server_of(own), world.clock.now())
    world.clock.advance(0.25)
    assert len(origin.client.sent) == 1
    world.cut(origin)
    world.clock.advance(0.06)
    assert len(origin.client.sent) == 1 and len(all_passed(world)) == 1


# Guards against silent streams that wait for ever because this node's links can't be judged.
@pytest.mark.parametrize("reaches", [False, True])
def test_silent_stream_waits_for_the_check_of_the_links_for_a_moment_only(world, reaches):
    origin = world.nodes[0]
    origin.state.reachability.cut_off = False
    send_stream(world)
    (own,) = origin.client.sent
    begin_answer(own, 0)
    reachability = origin.state.reachability
    reachability.is_wired = True
    world.clock.advance(0.3)
    reachability.note_failure(server_of(own), world.clock.now())
    if reaches:
        world.clock.advance(0.1)
        reachability.note_connected(world.clock.now(), world.clock.now())
        world.clock.advance(0.15)
    else:
        world.clock.advance(0.56)
    assert len(origin.client.sent) == 2 and not all_passed(world)


# Guards against a retry budget that is used up by refusals while a cut begins.
def test_second_send_that_a_node_refuses_is_given_back_to_the_retry_budget(world):
    origin, *others = world.nodes
    origin.state.reachability.cut_off = False
    reply = send_stream(world)
    (own,) = origin.client.sent
    begin_answer(own, 0)
    world.cut(*world.nodes)
    for node in others:
        node.described_cut_off = False
    # One retry.
    settings = origin.state.settings
    bounds = msgspec.structs.replace(settings.bounds, retry_ratio=0.0, retry_slack=2)
    origin.state.settings = msgspec.structs.replace(settings, bounds=bounds)
    world.clock.advance(1.0)
    assert len(all_passed(world)) > 3 and not own.cancelled and not reply.ended
    for node in others:
        node.state.reachability.cut_off = False
    world.clock.advance(0.06)
    assert sum(len(node.client.sent) for node in others) == 1


# A helper that falls silent


def test_stream_at_a_silent_node_goes_on_through_another_one(world):
    reply = send_stream(world)
    (first,) = all_passed(world)
    begin_answer(all_sent(world)[0], 0)
    world.clock.advance(0.01)
    first.later = lambda step: None
    world.clock.advance(1.2)
    _, second = all_passed(world)
    assert second.helper is not first.helper and second.header("last-event-id") == "0"
    (sent,) = second.helper.client.sent
    begin_answer(sent, 1)
    sent.call.on_end()
    world.clock.advance(0.01)
    assert reply.body == encode_event(0) + encode_event(1)
    # Other nodes aren't told of a server that is none.
    assert world.nodes[0].reported_stalled == []


# Retry budget, demand and load


class CountingBudget:
    def __init__(self, gateway, service):
        self.requests = self.retries = 0
        budget = gateway.state.retry_budget(service)
        record, acquire = budget.record_request, budget.try_acquire

        def record_request(now):
            self.requests += 1
            record(now)

        def try_acquire(*args):
            self.retries += 1
            return acquire(*args)

        budget.record_request, budget.try_acquire = record_request, try_acquire


# Guards against repeats beyond the budget because two nodes count the same request.
def test_request_and_its_repeats_count_at_the_helper_only(world):
    allow_attempts(world, 3)
    budgets = [CountingBudget(node, "pool") for node in world.nodes]
    send_stream(world)
    (sent,) = all_sent(world)
    sent.call.on_lost(LossReason.CONNECTION_LOST)
    world.clock.advance(0.01)
    assert len(all_sent(world)) == 2
    assert budgets[0].requests == budgets[0].retries == 0
    assert sum(budget.requests for budget in budgets) == 1
    assert sum(budget.retries for budget in budgets) == 1


def test_request_that_was_at_a_server_before_counts_at_its_first_node(world):
    origin = world.nodes[0]
    origin.state.reachability.cut_off = False
    budgets = [CountingBudget(node, "pool") for node in world.nodes]
    send_stream(world)
    world.cut(origin)
    origin.client.sent[0].call.on_lost(LossReason.CONNECTION_LOST)
    world.clock.advance(0.01)
    assert len(all_passed(world)) == 1
    assert (budgets[0].requests, budgets[0].retries) == (1, 1)
    assert sum(budget.requests + budget.retries for budget in budgets[1:]) == 0


def test_demand_and_load_count_once(world):
    send_stream(world)
    now = world.clock.now()
    (helper,) = (passed.helper for passed in all_passed(world))
    origin = world.nodes[0]
    assert origin.state.demand(now) and not helper.state.demand(now)
    assert not origin.state.own_load(now).servers
    assert [row.in_flight for row in helper.state.own_load(now).servers] == [1]


def test_server_that_ends_under_a_passed_request_is_blamed_by_the_helper_only(world):
    allow_attempts(world, 3)
    blamed = []
    for node in world.nodes:
        node.state.quarantine.record_crash = lambda *args, node=node: blamed.append(node)
    send_stream(world)
    (sent,) = all_sent(world)
    helper = next(node for node in world.nodes if node.client.sent)
    sent.call.on_lost(LossReason.CONNECTION_LOST)
    world.clock.advance(0.01)
    all_sent(world)[1].call.on_lost(LossReason.CONNECTION_LOST)
    world.clock.advance(0.01)
    assert blamed == [helper, helper]


# Guards against a refusal by a helper's HTTP server that is passed on as a server's answer.
@pytest.mark.parametrize("status", [400, 408, 413, 431, 503])
def test_refusal_by_the_http_server_of_a_node_leads_to_another_one(world, monkeypatch, status):
    bad, good = world.nodes[1:]

    def answer(state, ingress, is_ready, request, reply, hop):
        if ingress is bad.ingress:
            reply.send_whole(status, (), b"")
        else:
            answer_hop(state, ingress, is_ready, request, reply, hop)

    monkeypatch.setattr(hop_world, "answer_hop", answer)
    replies = [send_order(world) for _ in range(6)]
    world.clock.advance(0.2)
    assert [reply.status for reply in replies] == [None] * 6
    assert len(good.client.sent) == 6


# Guards against a second run of a request that may run once, after an answer that nobody can judge.
def test_other_answer_of_the_http_server_of_a_node_counts_as_a_run(world, monkeypatch):
    def answer(state, ingress, is_ready, request, reply, hop):
        reply.send_whole(500, (), b"")

    monkeypatch.setattr(hop_world, "answer_hop", answer)
    reply = send_order(world)
    world.clock.advance(0.2)
    assert reply.status == 502 and len(all_passed(world)) == 1


# Guards against streams that a helper cuts, though their channels live on and the server goes on
# after a moment of silence: nobody has an attempt left, or reaches servers.
@pytest.mark.parametrize("why", ["last_attempt", "all_cut"])
def test_begun_stream_stays_at_a_helper_that_is_cut_off_if_nobody_can_do_better(world, why):
    reply = send_stream(world)
    (sent,) = all_sent(world)
    begin_answer(sent, 0)
    world.clock.advance(0.01)
    if why == "last_attempt":
        sent.call.on_lost(LossReason.CONNECTION_LOST)
        world.clock.advance(0.01)
        (sent,) = [each for each in all_sent(world) if each is not sent]
        begin_answer(sent, 1)
        world.clock.advance(0.01)
        world.cut(all_passed(world)[-1].helper)
    else:
        world.cut(*world.nodes)
    world.clock.advance(0.8)
    assert not sent.cancelled and not reply.aborted
    sent.call.on_body(encode_event(2))
    sent.call.on_end()
    world.clock.advance(0.05)
    assert reply.ended and not reply.aborted


def test_stream_without_an_event_stays_at_a_helper_if_all_nodes_are_cut_off(world):
    reply = send_stream(world)
    (sent,) = all_sent(world)
    world.cut(*world.nodes)
    world.clock.advance(1.2)
    assert not sent.cancelled and not reply.ended
