"""Header names and values of requests on the users' platform."""

import msgspec


class WireHeader:
    """Header names, in the lower case in which they are compared."""

    REQUEST_ID = "x-briarpond-request-id"
    DEADLINE_MS = "x-briarpond-deadline-ms"
    EXPECT_INSTANCE = "x-briarpond-expect-instance"
    TENANT = "x-briarpond-tenant"
    STAMP = "x-briarpond-server-stamp"
    NOT_EXECUTED = "x-briarpond-not-executed"
    SERVER_LOAD = "x-briarpond-server-load"
    MODEL = "x-briarpond-model"
    TOKENS = "x-briarpond-token-usage"
    LENGTH_HINT = "x-briarpond-length-hint"
    PRIORITY = "x-briarpond-request-priority"
    LAST_EVENT = "last-event-id"
    AUTHORIZATION = "authorization"
    # Names the server that made a request fail, which may be another member.
    AT_SERVER = "at-server"


# Headers that concern one connection and are not passed on.
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)

_BEARER = "bearer "


class ServerLoad(msgspec.Struct, frozen=True):
    """Load that a server told in an answer."""

    running: int
    waiting: int
    slots: int


def bearer_key(value: str | None) -> str | None:
    """Return the key of an ``Authorization`` header."""
    if value is None or not value.lower().startswith(_BEARER):
        return None
    return value[len(_BEARER) :].strip()


def parse_server_load(value: str | None) -> ServerLoad | None:
    """Read ``running,waiting,slots``; None where it cannot be read."""
    parts = value.split(",") if value else []
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return ServerLoad(*(int(part) for part in parts))


def parse_token_counts(value: str | None) -> tuple[int, int] | None:
    """Read prompt tokens and the most output tokens."""
    parts = value.split(",") if value else []
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        return None
    return int(parts[0]), int(parts[1])
