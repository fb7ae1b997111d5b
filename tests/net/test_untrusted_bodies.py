"""Bodies that stall, take up too much, or come in tiny pieces, on real loopback sockets."""

import socket
import time

import pytest

from briarpond.net import BodyBudget, CloseReason
from briarpond.net._body_budget import SMALL_BODY_BYTES

from .test_http import loop, serve
from .test_pipelining import REQUEST, Recorder, connect, send_on_thread, wait_until_paused
from .test_stop_delivery import on_loop, read_whole

__all__ = ["loop"]
HEAD = b"POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
CHUNKED_HEAD = b"POST /chunked HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
# Needs a reservation; one of them fits into the budget below.
LARGE_BYTES = 100_000


def answer_size(request, reply):
    """Answer with the size of the body."""
    reply.send_whole(200, (), b"%d" % len(request.body))


def read_until(sock, ending):
    """Read an answer that ends with these bytes."""
    received = b""
    while not received.endswith(ending):
        data = sock.recv(1000)
        assert data, received
        received += data
    return received


def serve_with_budget(loop, handle, **limits):
    """Return a server with room for one large body, its port and the list of its refusals."""
    refusals = []
    server, port = serve(loop, handle, **limits)
    server.budget = BodyBudget(3 * LARGE_BYTES)
    server.on_body_refused = refusals.append
    return server, port, refusals


# Guards against a body that never ends and holds its connection for ever.
@pytest.mark.parametrize(
    "data", [HEAD % (b"x", 100) + b"x" * 99, CHUNKED_HEAD + b"3\r\nabc\r\n0\r"]
)
def test_body_without_progress_gets_408(loop, data):
    server, port, refusals = serve_with_budget(loop, answer_size, idle_timeout_s=0.3)
    with connect(port) as sock:
        sock.sendall(data)
        assert read_whole(sock).startswith(b"HTTP/1.1 408 ")
    assert [refusal.reason for refusal in refusals] == [CloseReason.BODY_TIMEOUT]
    loop.wait_until(lambda: not server.connections)
    assert server.budget.used == 0


# Guards against a timeout that counts from the begin of a body: slow ones are within the limits.
def test_slow_body_is_not_refused_while_it_makes_progress(loop):
    _, port, refusals = serve_with_budget(loop, answer_size, idle_timeout_s=0.6)
    with connect(port) as sock:
        sock.sendall(HEAD % (b"x", 8))
        for _ in range(8):
            time.sleep(0.2)
            sock.sendall(b"x")
        assert sock.recv(1000).startswith(b"HTTP/1.1 200 ")
    assert not refusals


# Guards against a stalled body that keeps others out for as long as it may be idle otherwise.
def test_stalled_body_makes_room_for_one_that_waits(loop):
    _, port, refusals = serve_with_budget(loop, answer_size)
    with connect(port) as stalled, connect(port) as waiting:
        stalled.sendall(HEAD % (b"x", LARGE_BYTES) + bytes(LARGE_BYTES - 1))
        time.sleep(0.3)
        send_on_thread(waiting, HEAD % (b"y", LARGE_BYTES) + bytes(LARGE_BYTES))
        read_until(waiting, b"\r\n\r\n%d" % LARGE_BYTES)
        assert read_whole(stalled).startswith(b"HTTP/1.1 408 ")
    assert [refusal.status for refusal in refusals] == [408]


# Guards against a whole request that is dropped to make room, and against one without room that
# waits for ever.
def test_whole_body_keeps_its_room_and_the_next_one_gets_503(loop):
    handle = Recorder()
    server, port, refusals = serve_with_budget(loop, handle, idle_timeout_s=0.4)
    with connect(port) as whole, connect(port) as waiting, connect(port) as small:
        whole.sendall(HEAD % (b"x", LARGE_BYTES) + bytes(LARGE_BYTES))
        loop.wait_until(lambda: handle.replies)
        send_on_thread(waiting, HEAD % (b"y", LARGE_BYTES) + bytes(LARGE_BYTES))
        small.sendall(HEAD % (b"small", 1000) + bytes(1000))
        loop.wait_until(lambda: len(handle.replies) == 2)
        refusal = read_whole(waiting).lower()
        assert refusal.startswith(b"http/1.1 503 ") and b"retry-after: 1\r\n" in refusal
        on_loop(loop, lambda: handle.replies[0].send_whole(200, (), b"done"))
        read_until(whole, b"done")
    assert [refusal.reason for refusal in refusals] == [CloseReason.BODY_NO_ROOM]
    assert len(handle.requests[0].body) == LARGE_BYTES
    loop.wait_until(lambda: not server.connections)
    assert server.budget.used == 0


# Guards against a caller that leaves while its body waits for room and isn't noticed.
def test_caller_that_leaves_while_it_waits_for_room_is_noticed(loop):
    handle = Recorder()
    server, port, _ = serve_with_budget(loop, handle)
    with connect(port) as whole:
        whole.sendall(HEAD % (b"x", LARGE_BYTES) + bytes(LARGE_BYTES))
        loop.wait_until(lambda: handle.replies)
        with connect(port) as waiting:
            waiting.sendall(HEAD % (b"y", LARGE_BYTES) + bytes(2 * SMALL_BODY_BYTES))
            loop.wait_until(lambda: server.budget.wanted)
        loop.wait_until(lambda: len(server.connections) == 1)
        assert server.budget.wanted == 0


# Guards against tiny chunks whose parsing keeps all others from being served meanwhile.
def test_ordinary_request_is_served_before_many_tiny_chunks_are_parsed(loop):
    seen = []

    def handle(request, reply):
        seen.append(request.target)
        answer_size(request, reply)

    _, port = serve(loop, handle)
    body = b"1\r\nx\r\n" * 10_000
    with connect(port) as chunked, connect(port) as ordinary:
        # Accepted and read in one turn, so that the chunks are taken up first.
        def send_both():
            chunked.sendall(CHUNKED_HEAD + body + b"0\r\n\r\n")
            ordinary.sendall(REQUEST % 2)

        on_loop(loop, send_both)
        assert ordinary.recv(1000).startswith(b"HTTP/1.1 200 ")
        read_until(chunked, b"\r\n\r\n10000")
    assert seen == ["/2", "/chunked"]


def second_request_waits(loop, handle, server, port, first, second):
    """Send two requests, check that the second is not read, and return the connection."""
    sock = connect(port)
    sock.sendall(first + second)
    loop.wait_until(lambda: handle.replies)
    wait_until_paused(loop, server)
    (caller,) = server.connections
    assert caller._conn.sock.recv(65_536, socket.MSG_PEEK) == second
    return sock


FIRST_REQUESTS = [
    REQUEST % 1,
    HEAD % (b"1", 3) + b"abc",
    CHUNKED_HEAD + b"3\r\nabc\r\n0\r\n\r\n",
    CHUNKED_HEAD + b"1\r\nx\r\n" * 100 + b"0\r\n\r\n",
]


# Guards against a process that ends with a whole request in its memory which it can't answer: the
# caller may send it again only if it was not read.
@pytest.mark.parametrize("first", FIRST_REQUESTS)
def test_request_behind_an_unanswered_one_stays_in_the_socket(loop, first):
    handle = Recorder()
    server, port = serve(loop, handle)
    with second_request_waits(loop, handle, server, port, first, REQUEST % 2) as sock:
        on_loop(loop, handle.answer_last)
        loop.wait_until(lambda: len(handle.requests) == 2)
        on_loop(loop, handle.answer_last)
        assert handle.requests[1].target == "/2"
        assert sock.recv(1000)


# Guards against a caller that closes in order behind bytes which are not read, and whose request
# goes on without anyone to answer.
@pytest.mark.parametrize("first", FIRST_REQUESTS)
def test_caller_that_closes_behind_unread_bytes_is_noticed(loop, first):
    handle, ends = Recorder(), []
    server, port = serve(loop, handle)
    server.on_end = ends.append
    second_request_waits(loop, handle, server, port, first, REQUEST % 2).close()
    loop.wait_until(lambda: ends)
    assert ends[0].reason is CloseReason.CALLER_LEFT and handle.replies[0].ended


# Guards against callers that keep their room with a byte now and then while others wait for it.
def test_trickling_body_makes_room_for_one_that_waits(loop):
    _, port, refusals = serve_with_budget(loop, answer_size)
    with connect(port) as trickling, connect(port) as waiting:
        trickling.sendall(HEAD % (b"x", LARGE_BYTES) + bytes(LARGE_BYTES - 1000))
        time.sleep(0.3)
        send_on_thread(waiting, HEAD % (b"y", LARGE_BYTES) + bytes(LARGE_BYTES))
        for _ in range(100):
            if refusals:
                break
            trickling.sendall(b"x")
            time.sleep(0.05)
        assert read_until(waiting, b"\r\n\r\n%d" % LARGE_BYTES)
    assert [refusal.status for refusal in refusals] == [408]
