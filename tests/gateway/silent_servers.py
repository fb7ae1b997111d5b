"""Answers of servers that fall silent, and what must hold when a request has ended."""

from .world import STAMP_HEADER

EVENT_STREAM = ("content-type", "text/event-stream")
CHUNKED = ("transfer-encoding", "chunked")
NOT_EXECUTED = ("x-briarpond-not-executed", "1")
# Silence after which another server is asked, with a margin: of a stream with events, and of
# one without.
BEGUN_SILENCE_S = 0.55
SILENCE_S = 1.0


def encode_event(number):
    return b"id: %d\ndata: x%d\n\n" % (number, number)


def server_of(sent):
    return sent.header("x-briarpond-expect-instance")


def own_load(gateway):
    """Return the requests and unread tokens of this node at all its servers."""
    rows = gateway.state.load_tracker.own_load_rows()
    return {row.server: (row.in_flight, row.unread_tokens) for row in rows}


def begin_answer(sent, *events):
    sent.answer_head(200, STAMP_HEADER, EVENT_STREAM, CHUNKED)
    for number in events:
        sent.call.on_body(encode_event(number))


def end_whole(gateway, reply, sent):
    """Let a send end; check that the reply is whole and that nothing of it is left over."""
    sent.call.on_end()
    assert reply.ended and not reply.aborted and reply.status == 200
    assert gateway.ingress.in_flight == 0
    assert own_load(gateway) == {} and gateway.state.kept_bytes.total == 0
