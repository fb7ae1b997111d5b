"""Limits on callers: slow, oversized, malformed and abandoned requests affect no others."""

import json
import socket
import threading
import time

import pytest

from tests.standins.deployment import (
    CALLER_KEY,
    Deployment,
    http_call,
    initial_configuration,
    wait_until,
)

CHAT = {"model": "briar-7b", "messages": [{"role": "user", "content": "Mark crate 12."}]}


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    limits = {
        "connections": 24,
        "request_read_s": 1.0,
        "request_bytes": 65536,
        "write_buffer_bytes": 16384,
    }
    with Deployment(
        tmp_path_factory.mktemp("limits"),
        data_centres=("hobart-a",),
        engines_per_data_centre=1,
        plain_server_count=1,
        limits=limits,
        engine_flags={"pace_s": 0.0005},
    ) as running:
        wait_until(lambda: running.submit_patch(initial_configuration({"hobart-a": 1}, 1)))
        running.wait_for_ready_groups(1)
        yield running


@pytest.fixture
def node(deployment):
    return next(iter(deployment.nodes.values()))


def _connect(node) -> socket.socket:
    """Open a connection to the node's port for callers."""
    sock = socket.create_connection(("127.0.0.1", node.callers_port), 10)
    sock.settimeout(10)
    return sock


def _read_all(sock) -> bytes:
    """Read until the node closes the connection."""
    data = b""
    while chunk := sock.recv(65536):
        data += chunk
    return data


def _post(body: bytes, length: int | None = None) -> bytes:
    """Return a model request; `length` replaces the true length in the Content-Length header."""
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {CALLER_KEY}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body) if length is None else length}\r\n\r\n"
    )
    return head.encode() + body


def _is_healthy(node) -> bool:
    return http_call(node.callers_port, "GET", "/health", key="").status == 200


def test_header_that_arrives_too_slowly_gets_408(node):
    with _connect(node) as sock:
        sock.sendall(b"GET /v1/models HTTP/1.1\r\nHost:")
        answer = _read_all(sock)
    assert answer.startswith(b"HTTP/1.1 408")
    assert b"Briarpond-Outcome: not-run" in answer


def test_body_that_arrives_too_slowly_gets_408(node):
    with _connect(node) as sock:
        sock.sendall(_post(b"{", 1000))
        assert _read_all(sock).startswith(b"HTTP/1.1 408")


def test_oversized_header_is_refused(node):
    with _connect(node) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + b"a" * 200_000)
        assert _read_all(sock).split()[1] in (b"413", b"431")
    assert _is_healthy(node)


def test_oversized_body_is_refused(node):
    with _connect(node) as sock:
        try:
            sock.sendall(_post(b"x" * 300_000))
            answer = _read_all(sock)
        except ConnectionError:
            answer = b""
    assert answer == b"" or answer.startswith(b"HTTP/1.1 413")
    assert _is_healthy(node)


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00\x01\x02\r\n\r\n",
        b"GET / HTTP/1.1\r\nContent-Length: many\r\nHost: x\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
    ],
)
def test_malformed_request_does_not_stop_the_node(node, raw):
    with _connect(node) as sock:
        sock.sendall(raw)
        sock.shutdown(socket.SHUT_WR)
        _read_all(sock)
    assert _is_healthy(node)


def test_connections_above_the_limit_are_refused_and_freed_on_close(node):
    """Connections above the limit get 503; closed ones no longer count."""
    socks = [_connect(node) for _ in range(40)]
    refused = 0
    for sock in socks[24:]:
        refused += _read_all(sock).startswith(b"HTTP/1.1 503")
    for sock in socks:
        sock.close()
    assert refused == 16
    wait_until(lambda: _is_healthy(node))


def test_disconnect_of_the_caller_ends_its_request(deployment, node):
    """A request must not go on at the engine after its caller has disconnected."""
    with _connect(node) as sock:
        body = json.dumps(CHAT | {"stream": True, "max_tokens": 1_000_000}).encode()
        sock.sendall(_post(body))
        sock.recv(1000)
        wait_until(lambda: _in_flight(deployment, node) == 1)
    wait_until(lambda: _in_flight(deployment, node) == 0, 5)


def _in_flight(deployment, node) -> int:
    return deployment.call_as_operator(node.name, "GET", "/operator/status").json()["in_flight"]


def _resident_kb(node) -> int:
    with open(f"/proc/{node.process.pid}/status", encoding="ascii") as status:
        return int(next(line for line in status if line.startswith("VmRSS")).split()[1])


def test_memory_held_for_a_slow_reader_is_limited(deployment, node):
    """Reading from the engine pauses while the caller does not read its answer."""
    before_kb = _resident_kb(node)
    with _connect(node) as sock:
        body = json.dumps(CHAT | {"stream": True, "max_tokens": 60_000}).encode()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.sendall(_post(body))
        time.sleep(4)
        growth_kb = _resident_kb(node) - before_kb
        assert _in_flight(deployment, node) == 1, "the answer must still be waiting for the reader"
    assert growth_kb < 8 * 1024
    assert _is_healthy(node)


def test_pipelined_requests_each_get_their_own_answer(node):
    """Guards against lost requests: circuits.web takes the bytes of one read as one request."""
    request = b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n"
    last = b"GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    with _connect(node) as sock:
        sock.sendall(request)
        sock.sendall(request)
        sock.sendall(last)
        assert _read_all(sock).count(b"HTTP/1.1 200") == 3


def test_answers_are_not_mixed_up_under_parallel_load(node):
    """Each prompt has its own text, so an answer to another caller would show."""
    texts: dict[int, set[str]] = {}

    def run_caller(number: int) -> None:
        messages = [{"role": "user", "content": f"caller {number}"}]
        body = CHAT | {"messages": messages}
        texts[number] = set()
        for _ in range(5):
            answer = http_call(node.callers_port, "POST", "/v1/chat/completions", body).json()
            texts[number].add(answer["choices"][0]["message"]["content"])

    threads = [threading.Thread(target=run_caller, args=(number,)) for number in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert [len(distinct) for distinct in texts.values()] == [1] * 8
    assert len(set.union(*texts.values())) == 8, "each caller must get its own text"
