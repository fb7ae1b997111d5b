"""Crowds of callers of the own interface that don't keep to the limits, against a real process.

Each test checks what doesn't depend on the speed of the machine. The crowds and the bounds were
fixed before the node had any defence against them.
"""

import os
import socket
from pathlib import Path

import pytest

from tests.gateway.untrusted_callers import Crowd, alone
from tests.standins.deployment import (
    CALLER_KEY,
    Deployment,
    http_call,
    initial_configuration,
    wait_until,
)

pytestmark = pytest.mark.xdist_group("crowd")
REQUEST_BYTES = 4 * 1024 * 1024
# The room for bodies in the default settings, and half of it for what else a crowd takes up.
BODY_BYTES = 64 * 1024 * 1024
MOST_GROWTH_BYTES = BODY_BYTES * 3 // 2
# Callers whose bodies would take up two and a half times the room.
CROWD = BODY_BYTES // REQUEST_BYTES * 5 // 2
PIECE_BYTES = 16 * 1024
SPARE_DESCRIPTORS = 8
CHAT = {
    "model": "briar-7b",
    "max_tokens": 5,
    "messages": [{"role": "user", "content": "Mark crate 12."}],
}


@pytest.fixture
def deployment(tmp_path):
    with (
        alone(),
        Deployment(
            tmp_path / "crowd",
            data_centres=("hobart-a",),
            plain_server_count=1,
            limits={"request_read_s": 3.0, "idle_s": 5.0},
        ) as running,
    ):
        wait_until(lambda: running.submit_patch(initial_configuration({"hobart-a": 1})))
        running.wait_for_ready_groups(1)
        yield running


def head(length_line, path="/v1/chat/completions"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {CALLER_KEY}\r\n{length_line}\r\n\r\n"
    ).encode()


def memory_bytes(node, name):
    """Return VmRSS or VmHWM of a node's process."""
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    return int(next(line for line in status.splitlines() if line.startswith(name)).split()[1]) << 10


def descriptors(node):
    return len(os.listdir(f"/proc/{node.process.pid}/fd"))


def check_crowd(deployment, data, piece_bytes):
    """Let a crowd send, and check the node while the crowd's connections stay open."""
    node = next(iter(deployment.nodes.values()))
    memory_at_rest, descriptors_at_rest = memory_bytes(node, "VmRSS"), descriptors(node)
    crowd = Crowd(("127.0.0.1", node.callers_port), CROWD, data, piece_bytes)
    try:
        crowd.send()
        answer = http_call(node.callers_port, "POST", "/v1/chat/completions", CHAT)
        assert answer.status == 200
        wait_until(lambda: descriptors(node) <= descriptors_at_rest + SPARE_DESCRIPTORS, 60.0)
        assert node.process.poll() is None
        growth_mb = (memory_bytes(node, "VmHWM") - memory_at_rest) >> 20
        assert growth_mb < MOST_GROWTH_BYTES >> 20
    finally:
        crowd.close()


# Guards against callers whose bodies of legal size stop just short of their end and fill the
# memory of the process.
def test_whole_bodies_that_stop_short_of_their_end(deployment):
    data = head(f"Content-Length: {REQUEST_BYTES}") + bytes(REQUEST_BYTES - 1)
    check_crowd(deployment, data, len(data))


# Guards against the same where the bodies grow together, so that none of them is early.
def test_bodies_in_pieces_that_stop_short_of_their_end(deployment):
    data = head(f"Content-Length: {REQUEST_BYTES}") + bytes(REQUEST_BYTES - 1)
    check_crowd(deployment, data, PIECE_BYTES)


# Guards against chunked bodies, which this interface refuses, that take up memory all the same.
@pytest.mark.parametrize("chunk_bytes", [1, 64 * 1024])
def test_chunked_bodies(deployment, chunk_bytes):
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
    data = head("Transfer-Encoding: chunked") + chunk * (REQUEST_BYTES // len(chunk))
    check_crowd(deployment, data, len(data))


# Guards against bodies that are taken up though their announced length is over the limit.
def test_bodies_far_over_the_limit(deployment):
    data = head(f"Content-Length: {4 * REQUEST_BYTES}") + bytes(4 * REQUEST_BYTES)
    check_crowd(deployment, data, len(data))


# Guards against bodies of answered requests that stay in memory until cyclic garbage is collected:
# that counts objects, of which these have few.
def test_whole_bodies_that_are_answered(deployment):
    data = head(f"Content-Length: {REQUEST_BYTES}", "/services/cutdesk/x") + bytes(REQUEST_BYTES)
    check_crowd(deployment, data, len(data))


# Guards against a defence that refuses a single request of the largest size.
def test_one_body_of_the_largest_size_is_served(deployment):
    node = next(iter(deployment.nodes.values()))
    padding = "x" * (REQUEST_BYTES - 1000)
    body = CHAT | {"messages": [{"role": "user", "content": padding}]}
    assert http_call(node.callers_port, "POST", "/v1/chat/completions", body).status == 200


# Guards against a request that needs many reads, and gets mixed up with the one behind it.
def test_large_body_and_a_request_behind_it_are_both_answered(deployment):
    node = next(iter(deployment.nodes.values()))
    body = b'{"model": "other", "prompt": "' + b"x" * 500_000 + b'"}'
    last = b"GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    received = b""
    with socket.create_connection(("127.0.0.1", node.callers_port), 10) as sock:
        sock.sendall(head(f"Content-Length: {len(body)}") + body + last)
        while data := sock.recv(65_536):
            received += data
    assert received.startswith(b"HTTP/1.1 404 ") and received.count(b"HTTP/1.1 200 ") == 1
