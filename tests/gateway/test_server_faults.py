"""Backend servers in trouble: bytes that are no answer, without end, or a byte now and then.

A request at such a server ends or moves on within the stall timeout, or at the latest at its
route's timeout, and the memory that it takes is bounded.
"""

import pytest

from briarpond.gateway._run import MAX_ANSWER_BYTES, MAX_EVENT_BYTES
from briarpond.net import HttpRequest

from .world import STAMP_HEADER, Gateway, RecordedReply

TRICKLE_INTERVAL_S = 0.2
# Silence after which a request is moved away from its server, with a margin for the check.
STALL_LIMIT_S = 1.2


def begun_stream(gateway):
    """Return a stream that has passed one event on, with its send."""
    gateway.ingress.start()
    reply = gateway.send_stream_request()
    (sent,) = gateway.client.sent
    sent.answer_head(200, STAMP_HEADER)
    sent.call.on_body(b"id: 0\ndata: x\n\n")
    assert reply.body
    return reply, sent


@pytest.mark.parametrize("piece", [b": keep-alive\n\n", b"d", b"\n"])
def test_stream_that_sends_bytes_without_events_is_moved_on(tmp_path, piece):
    """Guards against stalled streams that never end because a byte comes now and then."""
    gateway = Gateway(tmp_path)
    _, sent = begun_stream(gateway)
    elapsed = 0.0
    while elapsed < STALL_LIMIT_S and not sent.cancelled:
        gateway.clock.advance(TRICKLE_INTERVAL_S)
        elapsed += TRICKLE_INTERVAL_S
        if not sent.cancelled:
            sent.call.on_body(piece)
    assert sent.cancelled
    assert gateway.client.sent[1].header("last-event-id") == "0"


def test_slow_but_sound_stream_is_not_moved(tmp_path):
    """Events that keep coming, a little apart, are progress."""
    gateway = Gateway(tmp_path)
    reply, sent = begun_stream(gateway)
    for number in range(1, 15):
        gateway.clock.advance(0.35)
        sent.call.on_body(b"id: %d\ndata: x\n\n" % number)
    sent.call.on_end()
    assert not sent.cancelled and reply.ended and not reply.aborted
    assert len(gateway.client.sent) == 1


def test_event_without_end_is_given_up_within_bounded_memory(tmp_path):
    gateway = Gateway(tmp_path)
    _, sent = begun_stream(gateway)
    for _ in range(2 * MAX_EVENT_BYTES // 65536):
        if sent.cancelled:
            break
        sent.call.on_body(b"x" * 65536)
    assert sent.cancelled
    assert gateway.client.sent[1].header("last-event-id") == "0"


def test_other_requests_are_unharmed_by_an_event_without_end(tmp_path):
    """The server is avoided; a request at another one goes on."""
    gateway = Gateway(tmp_path)
    _, sent = begun_stream(gateway)
    bad_head = sent.header("x-briarpond-expect-instance")
    sent.call.on_body(b"x" * (MAX_EVENT_BYTES + 1))
    for _ in range(6):
        gateway.send_stream_request()
    heads = {each.header("x-briarpond-expect-instance") for each in gateway.client.sent[1:]}
    assert bad_head not in heads


def test_body_without_end_is_given_up_within_bounded_memory(tmp_path):
    gateway = Gateway(tmp_path)
    reply = gateway.send_request("/order/1")
    (sent,) = gateway.client.sent
    sent.answer_head(200, STAMP_HEADER)
    for _ in range(2 * MAX_ANSWER_BYTES // 65536):
        if sent.cancelled:
            break
        sent.call.on_body(b"x" * 65536)
    assert sent.cancelled and reply.status == 502
    assert MAX_ANSWER_BYTES <= 16 * 1024 * 1024


# Guards against an earlier answer on a kept connection that no id tells from the right one.
def test_request_without_id_gets_a_connection_of_its_own(tmp_path):
    gateway = Gateway(tmp_path)
    pairs = (("host", "shop.example"), ("x-briarpond-deadline-ms", "1000"))
    request = HttpRequest("GET", "/order/open/1", pairs, b"", gateway.clock.now())
    gateway.ingress.handle(request, RecordedReply())
    (sent,) = gateway.client.sent
    assert not sent.call.reuse_idle
