"""Answers whose status is none: HTTP knows 100 to 599, and a server in trouble sends anything.

The tests guard against MIXED: a caller got an answer with status 600, 700 or 999 as the server's.
"""

import pytest

from briarpond.net import HttpClient

from .test_http import ScriptedServer, answer, call, loop

__all__ = ["loop"]
ODD = [
    "000",
    "001",
    "099",
    "600",
    "700",
    "999",
    "0",
    "20",
    "2000",
    "+200",
    "-200",
    "2 0",
    "20x",
    "0x200",
    "\u0662\u0660\u0660",
    "",
    "OK",
]


def with_status(status, body=b"ok", line_end=" OK"):
    head = f"HTTP/1.1 {status}{line_end}\r\nX-Id: a\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.mark.parametrize("status", ODD)
def test_answer_whose_status_is_none_is_no_answer(loop, status):
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, ScriptedServer([with_status(status)])) == (["malformed"], b"")


@pytest.mark.parametrize("status", ["600", "999"])
def test_kept_connection_with_such_an_answer_is_closed(loop, status):
    """The bytes behind it belong to nothing that is known."""
    server = ScriptedServer([answer(b"a"), with_status(status) + answer(b"a", b"next")])
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, server) == ([200, "end"], b"ok")
    assert call(loop, client, server) == (["malformed"], b"")
    assert call(loop, client, server) == ([200, "end"], b"ok")
    assert server.connections == 2


@pytest.mark.parametrize("status", ["600", "999"])
def test_such_an_answer_to_an_earlier_request_is_not_passed_over(loop, status):
    """Whatever request it names: what follows it on the connection can't be trusted."""
    late = with_status(status).replace(b"X-Id: a", b"X-Id: z")
    server = ScriptedServer([answer(b"a"), late + answer(b"a", b"mine")])
    client = HttpClient(loop.connector, loop.clock)
    call(loop, client, server)
    assert call(loop, client, server) == (["malformed"], b"")


@pytest.mark.parametrize("status", [201, 299, 404, 500, 599])
def test_every_final_status_of_http_is_passed_on(loop, status):
    client = HttpClient(loop.connector, loop.clock)
    progress, body = call(loop, client, ScriptedServer([with_status(status)]))
    assert progress[0] == status and body in (b"", b"ok")


@pytest.mark.parametrize("line_end", ["", " "])
def test_status_line_without_a_reason_is_one(loop, line_end):
    client = HttpClient(loop.connector, loop.clock)
    server = ScriptedServer([with_status("200", line_end=line_end)])
    assert call(loop, client, server) == ([200, "end"], b"ok")


def test_interim_answers_are_passed_over(loop):
    interim = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n"
    client = HttpClient(loop.connector, loop.clock)
    assert call(loop, client, ScriptedServer([interim + answer(b"a")])) == ([200, "end"], b"ok")


@pytest.mark.parametrize("status", ["600", "999"])
def test_status_of_a_whole_fetch(loop, status):
    """Calls to the store, to other nodes and to servers' reports end as lost."""
    client = HttpClient(loop.connector, loop.clock)
    server = ScriptedServer([with_status(status)])
    ends = []
    loop.clock.after(
        0.0,
        lambda: client.fetch(
            server.address,
            "GET",
            "/",
            (),
            b"",
            1.0,
            lambda code, body: ends.append(code),
            lambda reason: ends.append(reason.value),
        ),
    )
    loop.wait_until(lambda: ends)
    assert ends == ["malformed"]


@pytest.mark.parametrize(("status", "ends"), [("200", [200, "end"]), ("600", ["malformed"])])
def test_head_request(loop, status, ends):
    client = HttpClient(loop.connector, loop.clock)
    head = f"HTTP/1.1 {status} OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\n".encode()
    assert call(loop, client, ScriptedServer([head]), method="HEAD")[0] == ends
