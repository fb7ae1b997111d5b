"""Generated input of callers and servers: every request ends, and nothing unexpected is raised."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from briarpond.net import Address, CallState, HttpCall
from briarpond.net._http_client import Exchange

from .world import STAMP_HEADER, Gateway

GENERATED = settings(
    max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
NAMES = [
    "authorization",
    "content-type",
    "last-event-id",
    "x-briarpond-deadline-ms",
    "x-briarpond-length-hint",
    "x-briarpond-model",
    "x-briarpond-prompt-prefix",
    "x-briarpond-request-id",
    "x-briarpond-tenant",
    "x-briarpond-token-usage",
    "x-customer",
]
# What HTTP allows in a value, decoded as the server does.
VALUES = st.text(
    st.characters(min_codepoint=33, max_codepoint=255, exclude_characters="\x7f\x85\xa0"),
    max_size=24,
) | st.sampled_from(["\u00b2", "9" * 30, "-1", "1e9", "9" * 30 + "," + "9" * 30, "a:b,c:d"])


@pytest.fixture
def unexpected(monkeypatch):
    """Return the unexpected errors that were confined."""
    errors = []
    monkeypatch.setattr(
        "briarpond.net._guard.log_warning", lambda *_, **pairs: errors.append(pairs)
    )
    return errors


@given(headers=st.dictionaries(st.sampled_from(NAMES), VALUES, max_size=6))
@GENERATED
def test_headers_of_callers_raise_nothing(tmp_path, unexpected, headers):
    gateway = Gateway(tmp_path)
    fields = {name.replace("-", "_"): value for name, value in headers.items()}
    deadline = fields.pop("x_briarpond_deadline_ms", 1000)
    key = fields.pop("authorization", "key-a")
    fields.pop("x_briarpond_request_id", None)
    for target in ("/order/1", "/plan/x", "/none/x"):
        reply = gateway.send_request(target, key=key, deadline_ms=deadline, **fields)
        gateway.clock.advance(40.0)
        assert reply.ended
    assert not unexpected and gateway.ingress.in_flight == 0


@given(
    status=st.integers(200, 599),
    headers=st.dictionaries(
        st.sampled_from([*NAMES, "at-server", "x-briarpond-server-load", "keep-alive"]), VALUES
    ),
    pieces=st.lists(st.binary(max_size=40), max_size=5),
)
@GENERATED
def test_answers_of_servers_raise_nothing(tmp_path, unexpected, status, headers, pieces):
    gateway = Gateway(tmp_path)
    for target in ("/order/1", "/plan/x"):
        reply = gateway.send_request(target, x_briarpond_model="big")
        sent = gateway.client.sent[-1]
        sent.call.on_head(status, (STAMP_HEADER, *headers.items()))
        for piece in pieces:
            if not sent.cancelled:
                sent.call.on_body(piece)
        if not sent.cancelled:
            sent.call.on_end()
        gateway.clock.advance(40.0)
        assert reply.ended
    assert not unexpected and gateway.ingress.in_flight == 0


class FakeConnection:
    """An established connection whose other side the test plays."""

    address = Address("10.0.0.1", 80)
    established, closed, was_reset = True, False, False

    def __init__(self):
        self.call_count = 0
        self.send_buffer = bytearray()

    def send(self, data):
        pass

    def close(self):
        self.closed = True


class FakeClient:
    """Takes connections back."""

    def keep_idle(self, conn, idle_timeout_s):
        pass


ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n1;x=y\r\n!\r\n0\r\nX-End: 1\r\n\r\n"
)


# Guards against an answer whose bytes end neither its call nor its connection, or end it twice.
@given(
    cuts=st.lists(st.integers(0, len(ANSWER)), max_size=4),
    changes=st.dictionaries(st.integers(0, len(ANSWER) - 1), st.integers(0, 255), max_size=4),
    is_used=st.booleans(),
)
@GENERATED
def test_spoiled_bytes_of_an_answer_end_the_call_once(cuts, changes, is_used):
    ends = []
    call = HttpCall(
        Address("10.0.0.1", 80),
        "GET",
        "/",
        (("x-id", "a"),),
        b"",
        lambda *_: None,
        lambda _: None,
        lambda: ends.append("end"),
        lambda reason: ends.append(reason.value),
        echoed_header=("x-id", "a"),
    )
    exchange = Exchange(FakeClient(), call)
    conn = FakeConnection()
    conn.call_count = int(is_used)
    exchange.attach(conn)
    data = bytearray(ANSWER)
    for position, value in changes.items():
        data[position] = value
    positions = [0, *sorted(cuts), len(data)]
    for start, end in zip(positions, positions[1:], strict=False):
        if exchange.state is not CallState.ENDED and start < end:
            exchange.on_data(bytes(data[start:end]))
    if exchange.state is not CallState.ENDED:
        exchange.on_closed(True)
    assert len(ends) == 1 and exchange.state is CallState.ENDED
