"""Backend servers in trouble: bytes that are no answer, without end, or a byte now and then.

A request at such a server ends or moves on within the stall timeout, or at the latest at its
route's timeout, and the memory that it takes is bounded.
"""

import pytest

from briarpond.dispatch import MAX_SENDS_OF_BEGUN_STREAM
from briarpond.dispatch._resume_pause import FIRST_RESUME_PAUSE_S
from briarpond.gateway._answer_buffer import MAX_ANSWER_BYTES, MAX_EVENT_BYTES
from briarpond.gateway._ingress import HELD_CHECK_INTERVAL_S
from briarpond.gateway._kept_bytes import MAX_KEPT_BYTES
from briarpond.net import HttpRequest, LossReason

from .world import STAMP_HEADER, Gateway, RecordedReply

EVENT_STREAM = ("content-type", "text/event-stream")

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
    reply, sent = begun_stream(gateway)
    elapsed = 0.0
    while elapsed < STALL_LIMIT_S:
        gateway.clock.advance(TRICKLE_INTERVAL_S)
        elapsed += TRICKLE_INTERVAL_S
        sent.call.on_body(piece)
    # The server may still go on, so that its send ends with the first event of the other.
    _, second = gateway.client.sent
    assert second.header("last-event-id") == "0"
    second.answer_head(200, STAMP_HEADER)
    second.call.on_body(b"id: 1\ndata: y\n\n")
    assert sent.cancelled and reply.body.endswith(b"\n\nid: 1\ndata: y\n\n")


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


# Guards against a server whose answers without end are each within their limit, but together take
# all memory of the process; its other requests ended with it.
def test_answers_without_end_share_one_bound(tmp_path):
    gateway = Gateway(tmp_path)
    kept = gateway.state.kept_bytes
    replies = [gateway.send_request("/order/1") for _ in range(18)]
    sends = list(gateway.client.sent)
    for sent in sends:
        sent.answer_head(200, STAMP_HEADER)
    largest = 0
    for _ in range(2 * MAX_ANSWER_BYTES // 262_144):
        for sent in sends:
            if not sent.cancelled:
                sent.call.on_body(b"x" * 262_144)
        largest = max(largest, kept.total)
    assert len(sends) * MAX_ANSWER_BYTES > 2 * MAX_KEPT_BYTES
    assert largest <= MAX_KEPT_BYTES + 262_144
    assert {reply.status for reply in replies} == {502} and kept.total == 0


# Guards against a server that sends no HTTP and gets request after request all the same.
def test_plain_server_whose_answer_is_no_http_is_avoided(tmp_path):
    gateway = Gateway(tmp_path)
    gateway.send_request("/order/1")
    (sent,) = gateway.client.sent
    sent.call.on_lost(LossReason.MALFORMED)
    faulty = sent.header("x-briarpond-expect-instance")
    for _ in range(10):
        gateway.send_request("/order/1")
    servers = {each.header("x-briarpond-expect-instance") for each in gateway.client.sent[1:]}
    assert len(servers) == 2 and faulty not in servers


# Guards against blame for the parts of a prompt because servers send bytes that are no answer.
def test_answer_that_is_none_is_no_end_of_a_server(tmp_path):
    gateway = Gateway(tmp_path)
    reply = gateway.send_stream_request(x_briarpond_prompt_prefix="f1:1,a1:2")
    (sent,) = gateway.client.sent
    sent.call.on_lost(LossReason.MALFORMED)
    assert not gateway.state.quarantine._crashes.mentions("f1")
    second = gateway.client.sent[-1]
    assert second is not sent
    second.call.on_lost(LossReason.MALFORMED)
    gateway.clock.advance(9.0)
    # It may have run: no refusal that says otherwise, and no stamp of a server.
    assert reply.status in (502, 504) and reply.headers == ()


# Guards against a second run of a request that may have run at a server in trouble.
def test_answer_that_is_none_may_have_run(tmp_path):
    gateway = Gateway(tmp_path)
    reply = gateway.send_request("/order/1")
    gateway.client.sent[0].call.on_lost(LossReason.MALFORMED)
    gateway.clock.advance(2.0)
    assert len(gateway.client.sent) == 1 and (reply.status, reply.headers) == (502, ())


def test_small_answers_are_kept_while_others_take_up_the_memory(tmp_path):
    gateway = Gateway(tmp_path)
    gateway.state.kept_bytes.change(0, 2 * MAX_KEPT_BYTES)
    reply = gateway.send_request("/order/1")
    gateway.client.sent[0].answer_whole(200, b"ok" * 1000, STAMP_HEADER)
    assert reply.status == 200 and reply.body == b"ok" * 1000
    assert gateway.state.kept_bytes.total == 2 * MAX_KEPT_BYTES


def break_off_and_resume(gateway):
    """Return a stream whose first server was lost, with the send that is to resume it."""
    reply = gateway.send_stream_request()
    first = gateway.client.sent[0]
    first.answer_head(200, STAMP_HEADER, EVENT_STREAM)
    first.call.on_body(b"id: 0\ndata: x\n\n")
    first.call.on_lost(LossReason.CONNECTION_LOST)
    return reply, gateway.client.sent[1]


def deliver(sent, status, headers, body):
    """Deliver an answer as an `Exchange` does: nothing more once the send was cancelled."""
    sent.call.on_head(status, headers)
    if not sent.cancelled:
        sent.call.on_body(body)
    if not sent.cancelled:
        sent.call.on_end()


# Guards against the text of a second server's error in the middle of a caller's stream, and
# against such a stream that ends as if it were complete.
@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (500, (STAMP_HEADER, ("content-type", "text/plain"))),
        (504, (STAMP_HEADER,)),
        (404, ()),
        (503, (("x-briarpond-not-executed", "1"),)),
        (204, (STAMP_HEADER,)),
        (200, (("content-type", "text/event-stream"),)),
        (200, (STAMP_HEADER, ("content-type", "text/html"))),
        (200, (STAMP_HEADER, EVENT_STREAM, ("content-encoding", "gzip"))),
    ],
)
def test_error_of_the_resuming_server_never_gets_into_the_stream(tmp_path, status, headers):
    gateway = Gateway(tmp_path)
    reply, second = break_off_and_resume(gateway)
    deliver(second, status, headers, b"error: out of memory\n\nHTTP/1.1 500 Oops\r\n\r\n")
    gateway.clock.advance(10.0)
    assert reply.body == b"id: 0\ndata: x\n\n"
    assert reply.aborted


# Guards against a stream that ends as complete because the resuming server closed at once.
def test_resumed_answer_without_length_and_events_is_no_end_of_the_stream(tmp_path):
    gateway = Gateway(tmp_path)
    reply, second = break_off_and_resume(gateway)
    deliver(second, 200, (STAMP_HEADER, EVENT_STREAM), b"")
    assert reply.aborted


def test_resumed_answer_with_a_length_may_have_nothing_left_to_send(tmp_path):
    gateway = Gateway(tmp_path)
    reply, second = break_off_and_resume(gateway)
    second.answer_head(200, STAMP_HEADER, EVENT_STREAM, ("transfer-encoding", "chunked"))
    second.call.on_end()
    assert reply.ended and not reply.aborted


@pytest.mark.parametrize("rest", [b"id: 1\nda", b"id: 1\ndata: y\n", b"id"])
def test_stream_without_length_that_ends_inside_an_event_is_resumed(tmp_path, rest):
    gateway = Gateway(tmp_path)
    gateway.send_stream_request()
    first = gateway.client.sent[0]
    first.answer_head(200, STAMP_HEADER, EVENT_STREAM)
    first.call.on_body(b"id: 0\ndata: x\n\n" + rest)
    first.call.on_end()
    assert gateway.client.sent[1].header("last-event-id") == "0"


# Guards against an earlier answer on a kept connection that no id tells from the right one.
def test_request_without_id_gets_a_connection_of_its_own(tmp_path):
    gateway = Gateway(tmp_path)
    pairs = (("host", "shop.example"), ("x-briarpond-deadline-ms", "1000"))
    request = HttpRequest("GET", "/order/open/1", pairs, b"", gateway.clock.now())
    gateway.ingress.handle(request, RecordedReply())
    (sent,) = gateway.client.sent
    assert not sent.call.reuse_idle


# Guards against a spoiled id of an event that is sent to the next server as Last-Event-Id, or
# that can't be sent at all: the stream goes on after the last event whose id can be read.
@pytest.mark.parametrize("event_id", [b"\xb3", b"1\x00", b"1 2", b"", b"7" * 1000])
def test_event_with_a_spoiled_id_is_read_again_elsewhere(tmp_path, event_id):
    gateway = Gateway(tmp_path)
    reply, sent = begun_stream(gateway)
    sent.call.on_body(b"id: " + event_id + b"\ndata: y\n\n")
    assert sent.cancelled and not reply.ended
    assert gateway.client.sent[1].header("last-event-id") == "0"
    assert reply.body == b"id: 0\ndata: x\n\n"


def silent_stream(gateway):
    """Return a stream whose server falls silent after the first event, with its send."""
    reply, sent = begun_stream(gateway)
    assert not sent.cancelled
    return reply, sent


def fill_others(gateway, sent, seconds):
    """Let all heads but that of a send count as full."""
    for head in ("h1", "h2", "h3"):
        if head != sent.header("x-briarpond-expect-instance"):
            gateway.state.load_tracker.mark_full(head, gateway.clock.now() + seconds)


# Guards against a stream that is taken from a silent but sound server while no other has room, and
# then ends without one: the server went on, and its answer would have been whole.
def test_begun_stream_stays_at_a_silent_server_until_another_has_room(tmp_path):
    gateway = Gateway(tmp_path)
    reply, sent = silent_stream(gateway)
    fill_others(gateway, sent, 1.5)
    gateway.clock.advance(1.2)
    assert not sent.cancelled
    sent.call.on_body(b"id: 1\ndata: y\n\n")
    sent.call.on_end()
    assert reply.ended and not reply.aborted and len(gateway.client.sent) == 1


def test_request_that_cannot_be_moved_takes_nothing_from_the_retry_budget(tmp_path):
    gateway = Gateway(tmp_path)
    _, sent = silent_stream(gateway)
    fill_others(gateway, sent, 10.0)
    budget = gateway.state.retry_budget("pool")
    granted = []
    acquire = budget.try_acquire
    budget.try_acquire = lambda *args: granted.append(acquire(*args)) or granted[-1]
    gateway.clock.advance(3.0)
    assert not granted and not sent.cancelled


# Guards against a begun stream that is cut because the servers that were to resume it are full
# for a moment: they have not run it.
def test_begun_stream_that_is_turned_away_waits_for_another_server(tmp_path):
    gateway = Gateway(tmp_path)
    reply, first = silent_stream(gateway)
    first.call.on_lost(LossReason.CONNECTION_LOST)
    not_executed = ("x-briarpond-not-executed", "1")
    for number in range(1, 6):
        gateway.client.sent[number].answer_head(503, not_executed)
        assert not reply.ended
        pause_s = FIRST_RESUME_PAUSE_S * 2 ** (number - 1)
        gateway.clock.advance(pause_s + 2 * HELD_CHECK_INTERVAL_S)
    last = gateway.client.sent[6]
    assert last.header("last-event-id") == "0"
    last.answer_head(200, STAMP_HEADER)
    last.call.on_body(b"id: 1\ndata: y\n\n")
    last.call.on_end()
    assert reply.ended and not reply.aborted


def test_begun_stream_is_turned_away_a_bounded_number_of_times(tmp_path):
    gateway = Gateway(tmp_path)
    reply, first = silent_stream(gateway)
    first.call.on_lost(LossReason.CONNECTION_LOST)
    answered = 1
    while not reply.ended and answered < 20:
        gateway.clock.advance(0.3)
        if len(gateway.client.sent) > answered:
            gateway.client.sent[answered].answer_head(503, ("x-briarpond-not-executed", "1"))
            answered += 1
    assert reply.aborted and len(gateway.client.sent) == MAX_SENDS_OF_BEGUN_STREAM


# Guards against a begun stream that tries dead servers again and again until its timeout.
def test_begun_stream_ends_after_a_bounded_number_of_failed_connects(tmp_path):
    gateway = Gateway(tmp_path)
    reply, first = silent_stream(gateway)
    start, connects = gateway.client.start, []

    def fail(call):
        connects.append(call.address)
        gateway.client.refusing.add(call.address)
        return start(call)

    gateway.client.start = fail
    first.call.on_lost(LossReason.CONNECTION_LOST)
    gateway.clock.advance(7.5)
    assert reply.aborted and len(connects) <= MAX_SENDS_OF_BEGUN_STREAM


# Guards against a begun stream that is cut because the retry budget is used up just then: it has
# room again a moment later.
def test_begun_stream_waits_for_the_retry_budget(tmp_path):
    gateway = Gateway(tmp_path)
    reply, sent = begun_stream(gateway)
    budget = gateway.state.retry_budget("pool")
    acquire = budget.try_acquire
    budget.try_acquire = lambda *args: False
    sent.call.on_lost(LossReason.CONNECTION_LOST)
    gateway.clock.advance(0.2)
    assert not reply.ended and len(gateway.client.sent) == 1
    budget.try_acquire = acquire
    gateway.clock.advance(0.2)
    assert gateway.client.sent[1].header("last-event-id") == "0"
