"""What the own interface reads from its callers, and for how long: a listener in this process."""

import socket
import time

import pytest
from circuits.core.pollers import EPoll

from briarpond.conf import Address, LimitSettings
from briarpond.daemon._inbound import Listener
from briarpond.net import BodyBudget, Clock, UncaughtExceptionHandler
from tests.net.test_http import free_port

REQUEST = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"POST /%b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
# Needs a reservation; one of them fits into the room below.
LARGE_BYTES = 100_000


class Running:
    """A listener on a thread, whose requests the test answers."""

    def __init__(self):
        self.port = free_port()
        self.replies = []
        self.left = []
        self.clock, self.exceptions = Clock(), UncaughtExceptionHandler()
        self.budget = BodyBudget(3 * LARGE_BYTES)
        limits = LimitSettings(request_read_s=5.0)
        self.listener = Listener(
            Address("127.0.0.1", self.port), "callers", self.clock, limits, self.handle, self.budget
        )
        for component in (EPoll(), self.exceptions, self.listener):
            self.clock += component
        self.clock.every(0.005, lambda: None)
        self.thread, _ = self.clock.start()

    def handle(self, request, reply):
        reply.on_disconnect = lambda: self.left.append(request.path)
        answer = request.path.encode() + b" %d" % len(request.body.read())
        self.replies.append((answer, reply))

    def wait_until(self, condition, seconds=10.0):
        end = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < end, "condition not met in time"
            time.sleep(0.005)

    def answer_last(self):
        answer, reply = self.replies[-1]
        self.clock.after(0.0, lambda: reply.send_whole(200, (), answer))

    def connect(self):
        self.wait_until(lambda: self.listener.server._poller is not None)
        return socket.create_connection(("127.0.0.1", self.port), timeout=10)

    def close(self):
        self.clock.after(0.0, self.clock.stop)
        self.thread.join(5.0)


@pytest.fixture
def running():
    running = Running()
    yield running
    running.close()
    assert running.exceptions.exit_code == 0


def read_until(sock, ending):
    received = b""
    while not received.endswith(ending):
        data = sock.recv(1000)
        assert data, received
        received += data
    return received


FIRST_REQUESTS = [REQUEST % b"1", HEAD % (b"1", 3) + b"abc", HEAD % (b"1", 50_000) + bytes(50_000)]


# Guards against a process that ends with a request in its memory which it can't answer, and against
# megabytes that are kept behind a request under way.
@pytest.mark.parametrize("first", FIRST_REQUESTS)
def test_request_behind_an_unanswered_one_stays_in_the_socket(running, first):
    second = HEAD % (b"2", 3) + b"xyz"
    with running.connect() as sock:
        sock.sendall(first + second)
        running.wait_until(lambda: running.replies)
        (server_sock,) = running.listener._connections
        time.sleep(0.3)
        assert server_sock.recv(65_536, socket.MSG_PEEK) == second
        running.answer_last()
        running.wait_until(lambda: len(running.replies) == 2)
        running.answer_last()
        read_until(sock, b"/2 3")
    running.wait_until(lambda: not running.listener._connections)
    assert running.budget.used == 0


# Guards against a caller that closes behind bytes which are not read, and whose request goes on
# without anyone to answer.
@pytest.mark.parametrize("behind", [b"", REQUEST % b"2"])
def test_caller_that_closes_behind_unread_bytes_is_noticed(running, behind):
    with running.connect() as sock:
        sock.sendall(REQUEST % b"1" + behind)
        running.wait_until(lambda: running.replies)
    running.wait_until(lambda: running.left)
    assert running.left == ["/1"] and len(running.replies) == 1


# Guards against a stalled body that keeps others out for as long as a request may take.
def test_stalled_body_makes_room_for_one_that_waits(running):
    with running.connect() as stalled, running.connect() as waiting:
        stalled.sendall(HEAD % (b"x", LARGE_BYTES) + bytes(LARGE_BYTES - 1))
        running.wait_until(lambda: running.budget.used == 2 * LARGE_BYTES)
        waiting.sendall(HEAD % (b"y", LARGE_BYTES) + bytes(LARGE_BYTES))
        assert stalled.recv(1000).startswith(b"HTTP/1.1 408 ")
        running.wait_until(lambda: running.replies)
        running.answer_last()
        read_until(waiting, b"/y %d" % LARGE_BYTES)


# Guards against a whole request that is dropped to make room, and against one without room that
# waits for ever.
def test_whole_body_keeps_its_room_and_the_next_one_gets_503(running):
    with running.connect() as whole, running.connect() as waiting, running.connect() as small:
        whole.sendall(HEAD % (b"x", LARGE_BYTES) + bytes(LARGE_BYTES))
        running.wait_until(lambda: running.replies)
        waiting.sendall(HEAD % (b"y", LARGE_BYTES) + bytes(LARGE_BYTES))
        small.sendall(HEAD % (b"small", 1000) + bytes(1000))
        running.wait_until(lambda: len(running.replies) == 2)
        running.answer_last()
        read_until(small, b"/small 1000")
        refusal = read_until(waiting, b"}}")
        assert refusal.startswith(b"HTTP/1.1 503 ") and b"not-run" in refusal
        running.replies.pop()
        running.answer_last()
        read_until(whole, b"/x %d" % LARGE_BYTES)
