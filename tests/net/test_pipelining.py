"""Bytes that a caller sends behind a request that is not answered yet."""

import socket
import struct
import threading
import time

import pytest

from briarpond.net import CloseReason
from briarpond.net._outbound import HALF_CLOSE_TIMEOUT_S

from .test_http import loop, serve
from .test_stop_delivery import connect as connect_with_small_buffer
from .test_stop_delivery import on_loop, read_whole

__all__ = ["loop"]
REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
LAST_REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
# More than the sockets of both sides hold.
BODY_BYTES = 20_000_000
# Bytes behind an unanswered request that the process may have taken out of the socket.
MAX_HELD_BYTES = 0
# More than one read.
WAITING_BYTES = 128 * 1024


class Recorder:
    """Handler that keeps the requests and their replies, to be answered by the test."""

    def __init__(self):
        self.requests = []
        self.replies = []

    def __call__(self, request, reply):
        self.requests.append(request)
        self.replies.append(reply)

    def answer_last(self):
        self.replies[-1].send_whole(200, (), self.requests[-1].target.encode())


def held_bytes(server):
    """Return how many bytes the only connection holds behind its request.

    What the parser has only peeked at, and the socket still has, isn't held.
    """
    (caller,) = server.connections
    seen = caller._h11.trailing_data[0]
    if seen and caller._conn.sock.recv(len(seen), socket.MSG_PEEK) == seen:
        return 0
    return len(seen)


def connect(port):
    sock = socket.create_connection(("127.0.0.1", port))
    sock.settimeout(10.0)
    return sock


def send_on_thread(sock, data):
    """Send bytes on a thread; return a list that gets None at the end, or the error."""
    outcome = []

    def send():
        try:
            outcome.append(sock.sendall(data))
        except OSError as exc:
            outcome.append(exc)

    threading.Thread(target=send, daemon=True).start()
    return outcome


def wait_until_paused(loop, server):
    """Wait until bytes wait in the socket of the only connection unread, and a while longer."""
    (caller,) = server.connections
    conn = caller._conn
    loop.wait_until(lambda: conn.has_unread_bytes() and not loop.poller.isReading(conn.sock))
    time.sleep(0.3)


# Guards against a caller that takes up memory without a bound while its request is answered, and
# against a bound that loses a part of what it sent.
def test_bytes_behind_an_unanswered_request_are_bounded_and_not_lost(loop):
    handle = Recorder()
    server, port = serve(loop, handle, max_body_bytes=BODY_BYTES)
    body = bytes(range(250)) * (BODY_BYTES // 250)
    head = b"POST /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    with connect(port) as sock:
        sent = send_on_thread(sock, REQUEST % 1 + head % len(body) + body)
        loop.wait_until(lambda: handle.replies)
        wait_until_paused(loop, server)
        assert on_loop(loop, lambda: held_bytes(server)) <= MAX_HELD_BYTES
        on_loop(loop, handle.answer_last)
        loop.wait_until(lambda: len(handle.requests) == 2)
        assert handle.requests[1].body == body
        on_loop(loop, handle.answer_last)
        assert read_whole(sock).endswith(b"/2")
        assert sent == [None]


# Guards against a bound that each small request behind another one lifts by one more read.
@pytest.mark.parametrize("is_answered_at_once", [True, False])
def test_many_small_pipelined_requests_stay_bounded_and_are_all_answered(loop, is_answered_at_once):
    count = 20_000
    seen, held = [], []

    def handle(request, reply):
        seen.append(request.target)
        held.append(held_bytes(server))

        def answer():
            reply.send_whole(200, (), request.target.encode())

        if is_answered_at_once and len(seen) > 1:
            answer()
        else:
            loop.clock.after(0.2 if len(seen) == 1 else 0.0, answer)

    server, port = serve(loop, handle)
    data = b"".join(REQUEST % number for number in range(count)) + LAST_REQUEST % count
    with connect(port) as sock:
        send_on_thread(sock, data)
        received = read_whole(sock)
    assert seen == [f"/{number}" for number in range(count + 1)]
    assert received.count(b"HTTP/1.1 200 ") == count + 1 and received.endswith(b"/%d" % count)
    assert max(held) <= MAX_HELD_BYTES


# Guards against a caller whose reset is not noticed because its bytes are not read any more.
def test_caller_that_resets_is_noticed_while_its_bytes_wait(loop):
    handle, ends = Recorder(), []
    server, port = serve(loop, handle)
    server.on_end = ends.append
    with connect(port) as sock:
        sock.sendall(REQUEST % 1)
        loop.wait_until(lambda: handle.replies)
        sock.sendall(bytes(WAITING_BYTES))
        wait_until_paused(loop, server)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    loop.wait_until(lambda: ends)
    assert ends[0].reason is CloseReason.CALLER_LEFT and handle.replies[0].ended


# Guards against waiting bytes that reset a connection at its close, which may cost the last answer.
@pytest.mark.parametrize("waiting_bytes", [WAITING_BYTES, BODY_BYTES])
def test_bytes_that_wait_at_the_close_do_not_cost_the_last_answer(loop, waiting_bytes):
    handle, ends = Recorder(), []
    server, port = serve(loop, handle)
    server.on_end = ends.append
    body = b"x" * 400_000
    with connect(port) as sock:
        sent = send_on_thread(sock, LAST_REQUEST % 1 + bytes(waiting_bytes))
        loop.wait_until(lambda: handle.replies)
        wait_until_paused(loop, server)
        on_loop(loop, lambda: handle.replies[0].send_whole(200, (), body))
        time.sleep(2 * HALF_CLOSE_TIMEOUT_S)
        assert read_whole(sock).endswith(b"\r\n\r\n" + body)
        assert sent == [None]
    loop.wait_until(lambda: ends)
    assert (ends[0].reason, ends[0].gives_up) == (CloseReason.LAST_ANSWER, False)


# Guards against the same at the end of the process, for an answer that the socket still holds.
def test_bytes_that_wait_at_the_end_of_the_process_do_not_cost_an_answer_in_the_socket(loop):
    handle = Recorder()
    server, port = serve(loop, handle)
    body = b"x" * 400_000
    with connect_with_small_buffer(port) as sock:
        sock.sendall(REQUEST % 1)
        loop.wait_until(lambda: handle.replies)
        on_loop(loop, lambda: handle.replies[0].send_whole(200, (), body))
        sent = send_on_thread(sock, REQUEST % 2 + bytes(BODY_BYTES))
        wait_until_paused(loop, server)
        assert server.unsent_bytes() == 0
        assert on_loop(loop, server.end_all) == 1
        received = sock.recv(len(body) - 1000, socket.MSG_WAITALL)
        time.sleep(2 * HALF_CLOSE_TIMEOUT_S)
        assert (received + read_whole(sock)).endswith(b"\r\n\r\n" + body)
        assert sent == [None]
