"""Tests of the HTTP server and client on real loopback sockets.

They guard against requests and answers that are assigned to the wrong exchange, and
against truncated answers that are taken as complete.
"""

import socket
import threading
import time

import pytest

from briarpond.net import (
    Address,
    Clock,
    Connector,
    DirectPoller,
    HttpCall,
    HttpClient,
    HttpServer,
    HttpServerLimits,
    TcpListener,
)
from briarpond.net._http_server import MAX_UNREAD_IN_ALL_BYTES


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Loop:
    """Event loop on a thread of its own.

    The clock runs an empty function every 5 ms, so that a timer that the test adds
    from its own thread is noticed within that time.
    """

    def __init__(self):
        self.clock = Clock()
        self.poller = DirectPoller()
        self.connector = Connector(self.clock, self.poller)
        for component in (self.poller, self.connector):
            self.clock += component
        self.clock.every(0.005, lambda: None)
        self.thread, _ = self.clock.start()

    def wait_until(self, condition, seconds=5.0):
        end = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < end, "condition not met in time"
            time.sleep(0.005)

    def close(self):
        self.clock.after(0.0, self.clock.stop)
        self.thread.join(5.0)


@pytest.fixture
def loop():
    running = Loop()
    yield running
    running.close()


def serve(loop, handle, **limits):
    port = free_port()
    server = HttpServer(loop.clock, handle, HttpServerLimits(**limits))
    listener = TcpListener(
        Address("127.0.0.1", port), loop.clock, loop.poller, loop.connector, server.accept
    )
    loop.clock += listener
    return server, port


def send_as_caller(loop, port, data, until=b"", pieces=None):
    """Send bytes and return what is received until `until` or the end of the connection.

    Parameters
    ----------
    until : bytes
        Stop once these bytes have been received; empty to read until the end.
    pieces : list of bytes or None
        Sent one after the other, with pauses, instead of `data`.
    """
    sock = socket.create_connection(("127.0.0.1", port))
    sock.settimeout(5)
    received = bytearray()
    done = threading.Event()

    def run():
        for piece in pieces or [data]:
            sock.sendall(piece)
            time.sleep(0.01)
        while not (until and until in received):
            try:
                chunk = sock.recv(65536)
            except OSError:
                break
            if not chunk:
                break
            received.extend(chunk)
        sock.close()
        done.set()

    threading.Thread(target=run, daemon=True).start()
    loop.wait_until(done.is_set)
    return bytes(received)


def echo(seen):
    """Return a handler that records requests and answers with their body or target."""

    def handle(request, reply):
        seen.append((request.method, request.target, request.body))
        reply.send_whole(200, (), request.body or request.target.encode())

    return handle


def test_pipelined_requests_are_answered_in_order(loop):
    seen = []
    _, port = serve(loop, echo(seen))
    request = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
    received = send_as_caller(loop, port, b"".join(request % n for n in range(3)), until=b"/2")
    assert [target for _, target, _ in seen] == ["/0", "/1", "/2"]
    assert [line[-2:] for line in received.split(b"\r\n\r\n")[1:]][-1] == b"/2"
    assert received.index(b"\n/0") < received.index(b"\n/1") < received.index(b"\n/2")


def test_chunked_body_is_read_completely_when_it_arrives_in_pieces(loop):
    seen = []
    _, port = serve(loop, echo(seen))
    data = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    send_as_caller(loop, port, b"", until=b"abc", pieces=[data[:40], data[40:70], data[70:]])
    assert seen == [("POST", "/x", b"abc")]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 3000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999\r\n\r\n", b"413"),
        (b"NOT HTTP\r\n\r\n", b"400"),
    ],
)
def test_too_large_or_malformed_request_is_refused_with_its_status(loop, data, status):
    seen = []
    _, port = serve(loop, echo(seen), max_header_bytes=2000, max_body_bytes=100)
    received = send_as_caller(loop, port, data)
    assert received.startswith(b"HTTP/1.1 " + status) and not seen


@pytest.mark.parametrize(
    ("before", "after", "status"), [(2000, 9000, b"200"), (9000, 2000, b"431")]
)
def test_open_connection_keeps_to_the_limit_on_headers_in_force(loop, before, after, status):
    """Guards against DENIED: 431 on kept connections after the limit had been raised."""
    server, port = serve(loop, echo([]), max_header_bytes=before)
    small = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n"
    # In two pieces, so that the parser has to keep the first one.
    head = [b"GET /big HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 5000, b"\r\n\r\n"]
    with socket.create_connection(("127.0.0.1", port)) as conn:
        conn.settimeout(5)
        conn.sendall(small % b"first")
        received = b""
        while not received.endswith(b"/first"):
            piece = conn.recv(65536)
            assert piece, received
            received += piece
        server.limits = HttpServerLimits(max_header_bytes=after)
        for piece in head:
            conn.sendall(piece)
            time.sleep(0.05)
        assert conn.recv(65536).startswith(b"HTTP/1.1 " + status)


def test_connection_with_slow_headers_or_no_request_is_closed(loop):
    _, port = serve(loop, echo([]), header_timeout_s=0.2, idle_timeout_s=0.4)
    assert send_as_caller(loop, port, b"GET / HT") == b""
    assert send_as_caller(loop, port, b"") == b""


def test_aborted_streamed_answer_lacks_the_final_chunk(loop):
    def handle(request, reply):
        reply.start(200, ())
        reply.write(b"part")
        loop.clock.after(0.05, reply.abort)

    _, port = serve(loop, handle)
    received = send_as_caller(loop, port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert b"part" in received and not received.endswith(b"0\r\n\r\n")


class ScriptedServer:
    """Server that sends fixed bytes for each read on a connection, then closes it.

    Parameters
    ----------
    answers : list of bytes
        Sent one after the other, each after something was received.
    reset : bool
        Whether the connection is reset instead of closed in order.
    """

    def __init__(self, answers, reset=False):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self.sock.getsockname()[1])
        self.connections = 0
        self.answers = answers
        self.reset = reset
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            conn, _ = self.sock.accept()
            self.connections += 1
            for answer in self.answers:
                conn.recv(65536)
                conn.sendall(answer)
            time.sleep(0.05)
            if self.reset:
                # With a linger time of 0 s a close sends a reset.
                linger = b"\1\0\0\0\0\0\0\0"
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            conn.close()


def call(loop, client, server, name="a", method="GET"):
    """Call a scripted server; return status and end of the call, and the body.

    Parameters
    ----------
    name : str
        Value of the header ``x-id`` that the answer has to repeat.
    """
    progress = []
    body = bytearray()
    http_call = HttpCall(
        server.address,
        method,
        "/",
        (("x-id", name),),
        b"",
        lambda status, headers: progress.append(status),
        body.extend,
        lambda: progress.append("end"),
        lambda reason: progress.append(reason.value),
        echoed_header=("x-id", name),
    )
    loop.clock.after(0.0, lambda: client.start(http_call))
    loop.wait_until(lambda: progress and progress[-1] not in (200,))
    return progress, bytes(body)


def answer(name, body=b"ok", extra=b""):
    """Return an answer with `name` in its header ``x-id``, followed by `extra` bytes."""
    head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: %d\r\n\r\n" % (name, len(body))
    return head + body + extra


def test_answer_to_an_earlier_request_is_discarded(loop):
    """A duplicate answer on a kept connection is not taken for the next call's answer."""
    server = ScriptedServer([answer(b"a"), answer(b"a", b"late") + answer(b"b", b"mine")])
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, server, "a") == ([200, "end"], b"ok")
    assert call(loop, client, server, "b") == ([200, "end"], b"mine")
    assert server.connections == 1


def test_connection_with_bytes_after_the_answer_is_not_reused(loop):
    server = ScriptedServer([answer(b"a", extra=b"HTTP/1.1 200 OK\r\n")])
    client = HttpClient(loop.connector, loop.clock)
    call(loop, client, server, "a")
    call(loop, client, server, "a")
    assert server.connections == 2


def test_answer_without_a_length_is_complete_only_if_its_connection_is_closed_in_order(loop):
    """A server that crashes resets the connection; its partial answer must not pass."""
    data = b"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhalf"
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, ScriptedServer([data]))[0] == [200, "end"]
    assert call(loop, client, ScriptedServer([data], reset=True))[0] == [200, "connection-lost"]


def test_answer_shorter_than_its_content_length_fails(loop):
    data = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nhalf"
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, ScriptedServer([data]))[0] == [200, "connection-lost"]


def test_answer_without_the_repeated_header_on_a_used_connection_fails(loop):
    """Such an answer may be a late copy of the answer to the previous call."""
    anonymous = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
    server = ScriptedServer([answer(b"a"), anonymous])
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, server, "a") == ([200, "end"], b"ok")
    assert call(loop, client, server, "b") == (["malformed"], b"")


@pytest.mark.parametrize("endless", [b"x" * 1000, b"X-Pad: " + b"y" * 1000 + b"\r\n"])
def test_head_without_end_fails_within_bounded_memory(loop, endless):
    data = b"HTTP/1.1 200 OK\r\n" + endless * 200
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, ScriptedServer([data]))[0] == ["malformed"]


def test_chunk_extension_without_end_fails_within_bounded_memory(loop):
    head = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = head + b"5;" + b"e" * 200_000
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, ScriptedServer([data]))[0] == [200, "malformed"]


def test_trailer_without_end_fails_within_bounded_memory(loop):
    head = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = head + b"2\r\nok\r\n0\r\n" + b"X-Pad: y\r\n" * 20_000
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, ScriptedServer([data]))[0] == [200, "malformed"]


def test_callback_that_raises_costs_its_call_and_not_the_process(loop):
    """Guards against an unexpected error in one answer that ends the whole process."""
    client = HttpClient(loop.connector, loop.clock)
    server = ScriptedServer([answer(b"a")])
    progress = []

    def fail(_status, _headers):
        raise KeyError("unexpected")

    http_call = HttpCall(server.address, "GET", "/", (), b"", fail, bytes, bool, progress.append)
    loop.clock.after(0.0, lambda: client.start(http_call))
    loop.wait_until(lambda: progress)
    assert progress[0] is not None
    assert call(loop, client, ScriptedServer([answer(b"a")])) == ([200, "end"], b"ok")


def test_timer_that_raises_does_not_stop_the_others(loop):
    fired = []
    loop.clock.after(0.0, lambda: {}["missing"])
    loop.clock.after(0.05, lambda: fired.append(1))
    loop.wait_until(lambda: fired)


def close_idle_while_bytes_are_unread(loop, server, client, data):
    """Send bytes, and close idle connections before the loop reads them.

    Returns the number of connections that are still to be answered.
    """
    unanswered = []

    def send_and_close_idle():
        client.sendall(data)
        time.sleep(0.02)
        server.close_idle()
        unanswered.append(server.unanswered_count())

    loop.clock.after(0.0, send_and_close_idle)
    loop.wait_until(lambda: unanswered)
    return unanswered[0]


@pytest.mark.parametrize("cut", [None, 20])
def test_request_that_arrived_just_before_a_planned_stop_is_answered(loop, cut):
    """Guards against requests that a stop cuts off without an answer, whole or half read."""
    server, port = serve(loop, echo([]))
    data = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.settimeout(5)
        loop.wait_until(lambda: server.connections)
        assert close_idle_while_bytes_are_unread(loop, server, client, data[:cut]) == 1
        if cut is not None:
            client.sendall(data[cut:])
        assert client.recv(1000).startswith(b"HTTP/1.1 200")
        loop.wait_until(lambda: server.unanswered_count() == 0)


def refusal(name):
    """Return a server's statement that it has not run the request `name`."""
    head = b"HTTP/1.1 503 Full\r\nX-Id: %b\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    return head % name


# Guards against an old refusal, written once more on a kept connection, that is taken for the
# answer to the next request: its caller would be told 'not run' of a request that runs.
def test_copy_of_an_earlier_refusal_on_a_kept_connection_is_discarded(loop):
    server = ScriptedServer([answer(b"a"), refusal(b"a") + answer(b"b", b"mine")])
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, server, "a") == ([200, "end"], b"ok")
    assert call(loop, client, server, "b") == ([200, "end"], b"mine")
    assert server.connections == 1


def test_several_copies_of_earlier_refusals_are_discarded(loop):
    copies = refusal(b"x") + refusal(b"a") + refusal(b"a")
    server = ScriptedServer([answer(b"a"), copies + answer(b"b", b"mine")])
    client = HttpClient(loop.connector, loop.clock)
    call(loop, client, server, "a")
    assert call(loop, client, server, "b") == ([200, "end"], b"mine")


def test_copy_of_an_earlier_refusal_alone_is_no_answer(loop):
    server = ScriptedServer([answer(b"a"), refusal(b"a")])
    client = HttpClient(loop.connector, loop.clock)
    call(loop, client, server, "a")
    assert call(loop, client, server, "b")[0] == ["connection-lost"]


# Guards against the same on an interface whose servers repeat no id: a connection on which a
# request was refused is not used again.
def test_connection_of_a_refused_request_is_not_kept(loop):
    server = ScriptedServer([refusal(b"a") + refusal(b"a")])
    client = HttpClient(loop.connector, loop.clock)
    started, status = [], []

    def on_head(code, _headers):
        status.append(code)
        started[0].cancel()

    def ignore(*_args):
        return None

    refused = HttpCall(server.address, "GET", "/", (), b"", on_head, ignore, ignore, ignore)
    loop.clock.after(0.0, lambda: started.append(client.start(refused)))
    loop.wait_until(lambda: status)
    assert status == [503] and not client.has_idle(server.address)


HEADS = [
    b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\n\r\n",
]


# Guards against a server that stops in the middle of its head and closes, and whose caller gets
# a 200 with an empty body that looks whole.
@pytest.mark.parametrize("head", HEADS)
def test_head_that_is_cut_off_anywhere_is_no_answer(loop, head):
    client = HttpClient(loop.connector, loop.clock)
    for length in range(1, len(head)):
        progress, body = call(loop, client, ScriptedServer([head[:length]]))
        assert progress in (["connection-lost"], ["malformed"]) and body == b"", head[:length]


@pytest.mark.parametrize("body", [b"", b"4", b"4\r\n", b"4\r\nda", b"4\r\ndata\r\n", b"0\r\n"])
def test_chunked_body_that_is_cut_off_anywhere_is_not_complete(loop, body):
    client = HttpClient(loop.connector, loop.clock)
    progress, _ = call(loop, client, ScriptedServer([HEADS[1] + body]))
    assert progress in ([200, "connection-lost"], [200, "malformed"])


OBS_TEXT = "Jürgen Hämäläinen".encode("latin-1")


# Guards against one header outside ASCII that ends the process which passes the request on.
def test_header_bytes_outside_ascii_are_sent_unchanged(loop):
    received = []

    class RecordingServer(ScriptedServer):
        def run(self):
            conn, _ = self.sock.accept()
            received.append(conn.recv(65536))
            conn.sendall(answer(b"a"))
            conn.close()

    client = HttpClient(loop.connector, loop.clock)
    server = RecordingServer([])
    headers = (("x-id", "a"), ("x-customer", OBS_TEXT.decode("latin-1")))
    ends = []
    http_call = HttpCall(
        server.address,
        "GET",
        "/",
        headers,
        b"",
        lambda *_: None,
        bytes,
        lambda: ends.append(1),
        ends.append,
    )
    loop.clock.after(0.0, lambda: client.start(http_call))
    loop.wait_until(lambda: ends)
    assert ends == [1]
    assert b"x-customer: " + OBS_TEXT + b"\r\n" in received[0]


# Guards against an answer that never reaches its caller because of one header outside ASCII.
def test_answer_with_header_bytes_outside_ascii_reaches_the_caller(loop):
    def handle(request, reply):
        reply.send_whole(200, (("x-customer", request.header("x-customer")),), b"ok")

    _, port = serve(loop, handle)
    request = b"GET / HTTP/1.1\r\nHost: a\r\nX-Customer: " + OBS_TEXT + b"\r\n\r\n"
    received = send_as_caller(loop, port, request, until=b"ok")
    assert b"x-customer: " + OBS_TEXT + b"\r\n" in received and received.endswith(b"ok")


def broken_call(server, events, header=("x-note", "\x00")):
    """Return a call that cannot be encoded; what it reports is appended to `events`."""
    return HttpCall(
        server.address,
        "GET",
        "/",
        (header,),
        b"",
        lambda *_: events.append("head"),
        bytes,
        lambda: events.append("end"),
        lambda reason: events.append(reason.value),
        lambda: events.append("sent"),
    )


# Guards against a call that fails before it is sent and stays tied to a kept connection: the
# end of that connection, seconds later, was reported to a request that no longer had a server.
@pytest.mark.parametrize("header", [("x-note", "\x00"), ("x-note", "\u0142"), ("x note", "a")])
def test_call_that_cannot_be_encoded_ends_once_and_leaves_kept_connections_alone(loop, header):
    server = ScriptedServer([answer(b"a"), answer(b"b")])
    client = HttpClient(loop.connector, loop.clock)
    call(loop, client, server, "a")
    events = []
    loop.clock.after(0.0, lambda: client.start(broken_call(server, events, header)))
    loop.wait_until(lambda: events)
    assert call(loop, client, server, "b") == ([200, "end"], b"ok")
    loop.wait_until(lambda: not client.has_idle(server.address))
    assert events == ["invalid-request"] and server.connections == 1


# Guards against a store's reader or a timer that waits for ever for a call that never began.
def test_fetch_that_cannot_be_encoded_reports_its_failure(loop):
    server = ScriptedServer([answer(b"a")])
    client = HttpClient(loop.connector, loop.clock)
    failures = []

    def fetch():
        headers = (("x-note", "\u0142"),)
        client.fetch(server.address, "GET", "/", headers, b"", 5.0, print, failures.append)

    loop.clock.after(0.0, fetch)
    loop.wait_until(lambda: failures, 2.0)
    assert [reason.value for reason in failures] == ["invalid-request"]


class UnreadConnection:
    """Stands in for a `Connection` whose other side does not read."""

    def __init__(self, size):
        self.send_buffer = bytearray(size)
        self.callbacks = None
        self.closed = False

    def unsent_in_socket(self):
        return 0

    def close(self):
        self.closed = True
        self.send_buffer.clear()


# Guards against callers that do not read and together take up all memory, though each stays
# below its own limit: those with the most are closed.
def test_unread_answers_of_all_callers_share_one_bound(loop):
    server, _ = serve(loop, echo([]))
    sizes = [MAX_UNREAD_IN_ALL_BYTES // 16 + number for number in range(20)]
    connections = [UnreadConnection(size) for size in sizes]
    for connection in connections:
        server.accept(connection)
    loop.wait_until(lambda: any(connection.closed for connection in connections))
    loop.wait_until(lambda: len(server.connections) < len(sizes))
    closed = [connection.closed for connection in connections]
    assert closed == sorted(closed) and 4 <= sum(closed) <= 6
    left = sum(len(connection.send_buffer) for connection in connections)
    assert left <= MAX_UNREAD_IN_ALL_BYTES


@pytest.mark.parametrize("is_served", [True, False])
def test_connection_without_a_call_tells_whether_the_server_is_reached(loop, is_served):
    results = []
    client = HttpClient(loop.connector, loop.clock)
    port = serve(loop, echo([]))[1] if is_served else free_port()
    address = Address("127.0.0.1", port)
    loop.clock.after(0.0, lambda: client.connect(address, 0.5, 2.0, results.append))
    loop.wait_until(lambda: results)
    assert results == [is_served]
    assert client.has_idle(address) is is_served
