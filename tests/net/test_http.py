"""HTTP framing of callers and servers over real loopback sockets."""

import socket
import threading
import time

import pytest

from briarpond.net import (
    Address,
    Clock,
    Connector,
    DirectPoller,
    FaceLimits,
    HttpCall,
    HttpClient,
    HttpFace,
    TcpListener,
)


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Loop:
    """A loop on a thread of its own; what is told to it is done there."""

    def __init__(self):
        self.clock = Clock()
        self.poller = DirectPoller()
        self.connector = Connector(self.clock, self.poller)
        for component in (self.poller, self.connector):
            self.clock += component
        self.clock.every(0.005, lambda: None)
        self.thread, _ = self.clock.start()

    def turn(self, until, seconds=5.0):
        end = time.monotonic() + seconds
        while not until():
            assert time.monotonic() < end, "not reached"
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
    face = HttpFace(loop.clock, handle, FaceLimits(**limits))
    listener = TcpListener(
        Address("127.0.0.1", port), loop.clock, loop.poller, loop.connector, face.accept
    )
    loop.clock += listener
    return face, port


def talk(loop, port, data, until=b"", pieces=None):
    """Send bytes as a caller and read until the connection or `until` ends it."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.settimeout(5)
    got = bytearray()
    done = threading.Event()

    def run():
        for piece in pieces or [data]:
            sock.sendall(piece)
            time.sleep(0.01)
        while not (until and until in got):
            try:
                chunk = sock.recv(65536)
            except OSError:
                break
            if not chunk:
                break
            got.extend(chunk)
        sock.close()
        done.set()

    threading.Thread(target=run, daemon=True).start()
    loop.turn(done.is_set)
    return bytes(got)


def echo(seen):
    def handle(request, reply):
        seen.append((request.method, request.target, request.body))
        reply.whole(200, (), request.body or request.target.encode())

    return handle


def test_pipelined_requests_are_answered_in_order(loop):
    seen = []
    _, port = serve(loop, echo(seen))
    request = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
    got = talk(loop, port, b"".join(request % n for n in range(3)), until=b"/2")
    assert [target for _, target, _ in seen] == ["/0", "/1", "/2"]
    assert [line[-2:] for line in got.split(b"\r\n\r\n")[1:]][-1] == b"/2"
    assert got.index(b"\n/0") < got.index(b"\n/1") < got.index(b"\n/2")


def test_chunked_body_is_read_whole_byte_by_byte(loop):
    seen = []
    _, port = serve(loop, echo(seen))
    data = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    talk(loop, port, b"", until=b"abc", pieces=[data[:40], data[40:70], data[70:]])
    assert seen == [("POST", "/x", b"abc")]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 3000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999\r\n\r\n", b"413"),
        (b"NOT HTTP\r\n\r\n", b"400"),
    ],
)
def test_what_is_too_large_or_no_request_gets_its_status(loop, data, status):
    seen = []
    _, port = serve(loop, echo(seen), header_bytes=2000, body_bytes=100)
    got = talk(loop, port, data)
    assert got.startswith(b"HTTP/1.1 " + status) and not seen


def test_slow_head_and_idle_connection_are_ended(loop):
    _, port = serve(loop, echo([]), header_s=0.2, idle_s=0.4)
    assert talk(loop, port, b"GET / HT") == b""
    assert talk(loop, port, b"") == b""


def test_streamed_answer_that_is_cut_does_not_look_complete(loop):
    def handle(request, reply):
        reply.start(200, ())
        reply.write(b"part")
        loop.clock.after(0.05, reply.abort)

    _, port = serve(loop, handle)
    got = talk(loop, port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert b"part" in got and not got.endswith(b"0\r\n\r\n")


class Script:
    """A server that answers each connection with scripted bytes."""

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
                linger = b"\1\0\0\0\0\0\0\0"
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            conn.close()


def call(loop, client, script, name="a"):
    ends = []
    body = bytearray()
    call = HttpCall(
        script.address,
        "GET",
        "/",
        (("x-id", name),),
        b"",
        lambda status, headers: ends.append(status),
        body.extend,
        lambda: ends.append("end"),
        lambda reason: ends.append(reason.value),
        echo=("x-id", name),
    )
    loop.clock.after(0.0, lambda: client.start(call))
    loop.turn(lambda: ends and ends[-1] not in (200,))
    return ends, bytes(body)


def answer(name, body=b"ok", extra=b""):
    head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: %d\r\n\r\n" % (name, len(body))
    return head + body + extra


def test_answer_to_an_earlier_request_is_passed_over(loop):
    script = Script([answer(b"a"), answer(b"a", b"late") + answer(b"b", b"mine")])
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, script, "a") == ([200, "end"], b"ok")
    assert call(loop, client, script, "b") == ([200, "end"], b"mine")
    assert script.connections == 1


def test_connection_with_bytes_behind_the_answer_is_not_kept(loop):
    script = Script([answer(b"a", extra=b"HTTP/1.1 200 OK\r\n")])
    client = HttpClient(loop.connector, loop.clock)
    call(loop, client, script, "a")
    call(loop, client, script, "a")
    assert script.connections == 2


def test_answer_without_a_length_is_whole_only_if_its_connection_ends_in_order(loop):
    data = b"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhalf"
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, Script([data]))[0] == [200, "end"]
    assert call(loop, client, Script([data], reset=True))[0] == [200, "connection-lost"]


def test_short_answer_is_lost(loop):
    data = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nhalf"
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, Script([data]))[0] == [200, "connection-lost"]
