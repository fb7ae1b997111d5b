"""One whole own answer, or a true refusal: what callers and servers see of a request."""

import pytest

from briarpond.net import LossReason

from .world import STAMP, Gateway, instance

NOT_EXECUTED = ("x-briarpond-not-executed", "1")


@pytest.fixture
def gateway(tmp_path):
    return Gateway(tmp_path)


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def test_request_goes_on_with_tenant_and_without_the_key(gateway):
    gateway.ask("/order/1", x_briarpond_tenant="forged")
    (sent,) = gateway.client.sent
    assert sent.header("x-briarpond-tenant") == "acme"
    assert sent.header("authorization") is None
    assert sent.header("x-briarpond-expect-instance") in ("p0", "p1", "p2")
    assert int(sent.header("x-briarpond-deadline-ms")) <= 1000


def test_answer_is_passed_whole_with_its_stamp(gateway):
    reply = gateway.ask("/order/1")
    gateway.client.sent[0].whole(201, b"board", STAMP)
    assert (reply.status, reply.body, reply.ended) == (201, b"board", True)
    assert reply.header("x-briarpond-server-stamp") == "s.1"


def test_success_without_a_stamp_is_nobodys(gateway):
    reply = gateway.ask("/order/1")
    gateway.client.sent[0].whole(200, b"??")
    assert reply.status == 502 and reply.header("x-briarpond-server-stamp") is None


@pytest.mark.parametrize(
    ("target", "key", "status"),
    [("/none/", "key-a", 404), ("/order/1", "bad", 401), ("/order/1", None, 401)],
)
def test_what_the_configuration_does_not_allow(gateway, target, key, status):
    assert gateway.ask(target, key=key).status == status
    assert not gateway.client.sent


def test_old_knowledge_of_keys_refuses_instead_of_serving(gateway):
    gateway.age = 4.5
    assert gateway.ask("/order/1").status == 503
    assert gateway.ask("/order/open/1", method="GET", key=None).status is None


def test_no_configuration_is_503(gateway):
    gateway.state.table = None
    assert gateway.ask("/none/").status == 503


def test_non_idempotent_is_not_sent_again_after_a_loss(gateway):
    reply = gateway.ask("/order/1")
    gateway.client.sent[0].call.on_lost(LossReason.CONNECTION_LOST)
    assert len(gateway.client.sent) == 1 and reply.status == 502


def test_non_idempotent_refusal_of_the_server_is_a_true_refusal(gateway):
    reply = gateway.ask("/order/1")
    gateway.client.sent[0].whole(503, b"", NOT_EXECUTED)
    assert len(gateway.client.sent) == 1 and reply.status == 503
    assert reply.header("retry-after") is not None


def test_failed_connect_goes_to_the_next_server(gateway):
    row = next(row for row in gateway.state.fleet.all() if row.id == "p1")
    others = [each.address for each in gateway.state.fleet.all() if each.id != "p1"]
    gateway.client.dead.update(others)
    gateway.ask("/order/1")
    gateway.clock.advance(0.1)
    assert [sent.call.address for sent in gateway.client.sent] == [row.address]


def test_idempotent_is_sent_again_after_a_loss(gateway):
    reply = gateway.ask("/order/open/1", method="GET", key=None)
    gateway.client.sent[0].call.on_lost(LossReason.CONNECTION_LOST)
    assert len(gateway.client.sent) == 2
    gateway.client.sent[1].whole(200, b"ok", STAMP)
    assert reply.status == 200


def test_stream_resumes_inside_one_answer(gateway):
    reply = gateway.stream()
    first = gateway.client.sent[0]
    first.head(200, STAMP)
    first.call.on_body(event(1) + event(2) + b"id: 3\nda")
    first.call.on_lost(LossReason.CONNECTION_LOST)
    second = gateway.client.sent[1]
    assert second.header("last-event-id") == "2"
    assert second.call.address != first.call.address
    second.head(200, ("x-briarpond-server-stamp", "s.2"))
    second.call.on_body(event(3))
    second.call.on_end()
    assert reply.body == event(1) + event(2) + event(3) and reply.ended and not reply.aborted
    assert reply.header("x-briarpond-server-stamp") == "s.1"


def test_stream_that_cannot_go_on_is_seen_to_be_cut(gateway):
    reply = gateway.stream()
    for sent_number in range(2):
        sent = gateway.client.sent[sent_number]
        sent.head(200, STAMP)
        sent.call.on_body(event(sent_number))
        sent.call.on_lost(LossReason.CONNECTION_LOST)
    assert reply.aborted


def test_stream_that_ends_inside_an_event_is_not_complete(gateway):
    reply = gateway.stream()
    sent = gateway.client.sent[0]
    sent.head(200, STAMP)
    sent.call.on_body(event(1) + b"id: 2\nda")
    sent.call.on_end()
    assert not reply.ended and len(gateway.client.sent) == 2


def test_caller_that_leaves_ends_the_servers_work(gateway):
    reply = gateway.stream()
    reply.ended = True
    reply.on_gone()
    assert gateway.client.sent[0].cancelled and gateway.ingress.in_flight == 0
    assert gateway.state.loads.load("h1", gateway.clock.now()).in_flight == 0


def test_time_of_the_route_ends_a_request(gateway):
    reply = gateway.ask("/order/1", deadline_ms=5000)
    gateway.clock.advance(1.01)
    assert reply.status == 504 and gateway.client.sent[0].cancelled


def test_request_that_was_never_sent_is_refused_not_failed(gateway):
    gateway.plan(())
    reply = gateway.stream()
    gateway.clock.advance(0.5)
    assert reply.status == 503 and not gateway.client.sent


def test_held_request_is_sent_once_there_is_a_group(gateway):
    gateway.plan(())
    reply = gateway.stream()
    gateway.clock.advance(0.1)
    gateway.plan(("h9",))
    gateway.clock.advance(0.05)
    assert len(gateway.client.sent) == 1 and reply.status is None


def test_silent_head_is_told_and_its_streams_go_on_elsewhere(gateway):
    """Pattern: a member of a group is lost, so its head stands still without an error."""
    gateway.ingress.start()
    reply = gateway.stream()
    sent = gateway.client.sent[0]
    sent.head(200, STAMP)
    sent.call.on_body(event(1))
    gateway.clock.advance(0.7)
    assert len(gateway.stalled) == 1 and sent.cancelled
    assert gateway.client.sent[1].header("last-event-id") == "1"
    assert reply.body == event(1)


def test_draining_server_gets_nothing_new(gateway):
    for name in ("p0", "p1"):
        gateway.state.fleet.remove(name, gateway.clock.now())
    for _ in range(5):
        gateway.ask("/order/1")
    assert {sent.header("x-briarpond-expect-instance") for sent in gateway.client.sent} == {"p2"}


def test_server_that_came_back_is_used_by_nodes_that_are_told(gateway):
    """Pattern: servers go down and up by turns while this node does not follow the list."""
    now = gateway.clock.now()
    gateway.state.fleet.put(instance("h1"), now)
    gateway.state.fleet.remove("h1", now)
    gateway.plan(("h1",), fresh=True)
    gateway.stream()
    assert gateway.client.sent[0].header("x-briarpond-expect-instance") == "h1"


def test_head_that_was_seen_to_leave_gets_nothing_new(gateway):
    now = gateway.clock.now()
    gateway.state.fleet.put(instance("h1"), now)
    gateway.state.fleet.remove("h1", now)
    gateway.plan(("h1",), fresh=False)
    gateway.stream()
    assert not gateway.client.sent
