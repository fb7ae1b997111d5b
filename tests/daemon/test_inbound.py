"""The callers' listener in this process, with handlers that fail."""

import socket

import pytest
from circuits.core.pollers import EPoll

from briarpond.conf import Address, LimitSettings
from briarpond.daemon._inbound import Listener
from briarpond.net import Clock, UncaughtExceptionHandler
from tests.net.test_http import free_port

REQUEST = b"GET /%b HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def listener():
    """Return the port of a listener and its exception handler; a path `bad` makes it fail."""

    def handle(request, reply):
        if request.path == "/bad":
            raise KeyError("unexpected")
        reply.send_whole(200, (), b"ok")

    port = free_port()
    clock, exceptions = Clock(), UncaughtExceptionHandler()
    for component in (
        EPoll(),
        exceptions,
        Listener(Address("127.0.0.1", port), "callers", clock, LimitSettings(), handle),
    ):
        clock += component
    clock.every(0.005, lambda: None)
    thread, _ = clock.start()
    yield port, exceptions
    clock.after(0.0, clock.stop)
    thread.join(5.0)


def ask(port, path):
    """Send one request on a new connection; return what is received first."""
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(REQUEST % path)
        return sock.recv(65536)


# Guards against one request of a caller that ends the process with everyone's requests.
def test_error_in_one_request_closes_its_connection_and_no_other(listener):
    port, exceptions = listener
    assert ask(port, b"bad") == b""
    assert ask(port, b"good").startswith(b"HTTP/1.1 200")
    assert exceptions.exit_code == 0
