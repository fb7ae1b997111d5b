"""HTTP helper of the stand-ins."""

from urllib.parse import parse_qs

import msgspec

from briarpond.conf import Address, LimitSettings
from briarpond.daemon._inbound import Listener, Reply, RequestHandler
from briarpond.net import Clock

JSON = (("Content-Type", "application/json"),)


def serve(clock: Clock, port: int, handle: RequestHandler) -> Listener:
    """Listen on a loopback port."""
    limits = LimitSettings(connections=20_000, request_bytes=64 * 1024 * 1024)
    listener = Listener(Address("127.0.0.1", port), f"port-{port}", clock, limits, handle)
    clock += listener
    return listener


def send_json(reply: Reply, value, status: int = 200, headers=()) -> None:
    """Answer with JSON."""
    if not reply.ended:
        reply.whole(status, JSON + tuple(headers), msgspec.json.encode(value))


def query(request) -> dict[str, str]:
    """Return the query parameters of a request."""
    return {name: values[-1] for name, values in parse_qs(request.qs or "").items()}


def body_json(request):
    """Return the JSON tree of a request's body."""
    return msgspec.json.decode(request.body.read() or b"{}")
