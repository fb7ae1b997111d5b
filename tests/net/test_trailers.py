"""Trailers of an answer, from the server to the client on real loopback sockets."""

import pytest

from briarpond.net import Address, Connector, HttpCall, HttpClient

from .test_http import Loop, serve


@pytest.fixture
def loop():
    running = Loop()
    yield running
    running.close()


def call(loop, client, port):
    """Call a server once; return what the call has reported, in order."""
    reported = []
    http_call = HttpCall(
        Address("127.0.0.1", port),
        "GET",
        "/",
        (),
        b"",
        lambda status, headers: reported.append(status),
        lambda data: reported.append(data),
        lambda: reported.append("end"),
        lambda reason: reported.append(reason.value),
        on_trailers=lambda trailers: reported.append(trailers),
    )
    loop.clock.after(0.0, lambda: client.start(http_call))
    loop.wait_until(lambda: reported and isinstance(reported[-1], str))
    return reported


def make_client(loop):
    connector = Connector(loop.clock, loop.poller)
    loop.clock += connector
    return HttpClient(connector, loop.clock)


# Guards against a stream that another node has broken off and that looks complete here.
def test_trailers_are_reported_before_the_end(loop):
    def handle(_request, reply):
        reply.start(200, ())
        reply.write(b"part")
        reply.end((("x-end", "stopping"),))

    _, port = serve(loop, handle)
    client = make_client(loop)
    for _ in range(2):
        reported = call(loop, client, port)
        assert reported == [200, b"part", (("x-end", "stopping"),), "end"]


@pytest.mark.parametrize("is_whole", [False, True])
def test_answer_without_trailers_reports_none(loop, is_whole):
    def handle(_request, reply):
        if is_whole:
            reply.send_whole(200, (), b"part")
            return
        reply.start(200, ())
        reply.write(b"part")
        reply.end()

    _, port = serve(loop, handle)
    assert call(loop, make_client(loop), port) == [200, b"part", "end"]
