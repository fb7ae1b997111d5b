"""Names and values of the platform's HTTP headers."""

from hashlib import blake2b

import msgspec

from briarpond.directory import MAX_STORE_ERA
from briarpond.ids import PromptPart
from briarpond.net import Headers, find_header, parse_count


class PlatformHeader:
    """Header names, in lower case like the names of received headers.

    Attributes
    ----------
    REQUEST_ID : str
        Identifies a request; a server repeats it in its answer.
    DEADLINE_MS : str
        Time that is left for the request, in milliseconds.
    EXPECT_INSTANCE : str
        Instance that a request is meant for; another one refuses it with status 421.
    TENANT : str
        Client account on whose behalf the request is sent.
    SERVER_STAMP : str
        Id of the server that has produced an answer; a successful answer without it
        is not trusted.
    NOT_EXECUTED : str
        Marks an answer to a request that the server has not run, so that the
        request may safely be sent again.
    SERVER_LOAD : str
        Load of the server, see `parse_server_load`.
    MODEL : str
        Model that the request is for.
    TOKEN_USAGE : str
        Token counts of the request, see `parse_token_counts`.
    LENGTH_HINT : str
        Number of output tokens that the caller expects, at most the maximum in
        `TOKEN_USAGE`.
    PROMPT_PARTS : str
        Parts of the request's prompt in order, see `parse_prompt_parts`.
    PRIORITY : str
        Priority of the request, see `format_priority`. Servers are told that of the route or
        the client account; what a caller gives is not forwarded.
    LAST_EVENT_ID : str
        Last event of a stream that was received; a resumed stream continues after it.
    FAILED_SERVER : str
        Server that made the request fail, which may be a member of the group other
        than the head that answers.
    STORE_ERA : str
        Era of the store, see `parse_store_era`.
    """

    REQUEST_ID = "x-briarpond-request-id"
    DEADLINE_MS = "x-briarpond-deadline-ms"
    EXPECT_INSTANCE = "x-briarpond-expect-instance"
    TENANT = "x-briarpond-tenant"
    SERVER_STAMP = "x-briarpond-server-stamp"
    NOT_EXECUTED = "x-briarpond-not-executed"
    SERVER_LOAD = "x-briarpond-server-load"
    MODEL = "x-briarpond-model"
    TOKEN_USAGE = "x-briarpond-token-usage"
    LENGTH_HINT = "x-briarpond-length-hint"
    PROMPT_PARTS = "x-briarpond-prompt-prefix"
    PRIORITY = "x-briarpond-request-priority"
    LAST_EVENT_ID = "last-event-id"
    AUTHORIZATION = "authorization"
    FAILED_SERVER = "at-server"
    STORE_ERA = "store-era"


# Headers that apply to one connection (hop-by-hop, RFC 9110) and are not forwarded.
# "expect" is among them because the node itself answers "100-continue".
HOP_BY_HOP_HEADERS = frozenset(
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

_BEARER_PREFIX = "bearer "
# Larger counts of requests or tokens are read as this.
MAX_COUNT = 10_000_000
# Greatest value of the header with the priority.
LAST_PRIORITY = 9
# Bytes of the digest that stands for a long id of a part. Two ids with the same digest would be
# one part, whose quarantine refused sound requests, also if somebody looked for such a pair.
PART_DIGEST_BYTES = 16
# Shorter ids are kept as they are, so that operators recognise them; no digest equals one.
_MAX_PLAIN_DIGITS = 2 * PART_DIGEST_BYTES - 1
_HEX_DIGITS = frozenset("0123456789abcdef")


class ServerLoad(msgspec.Struct, frozen=True):
    """Load of a server as reported in one of its answers.

    Attributes
    ----------
    running, waiting : int
        Requests that the server runs and that it has queued.
    slots : int
        Requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


def bearer_key(value: str | None) -> str | None:
    """Return the API key of an ``Authorization`` header value.

    Returns None if the header is missing or has a scheme other than ``Bearer``.
    """
    if value is None or not value.lower().startswith(_BEARER_PREFIX):
        return None
    return value[len(_BEARER_PREFIX) :].strip()


def format_priority(priority: int) -> str:
    """Return the header value of a priority: 0 is served first, `LAST_PRIORITY` last."""
    return str(min(max(priority, 0), LAST_PRIORITY))


def parse_server_load(value: str | None) -> ServerLoad | None:
    """Parse a header value ``running,waiting,slots``.

    Returns None if the header is missing or not three non-negative integers.
    """
    counts = _parse_counts(value)
    return ServerLoad(*counts) if counts is not None and len(counts) == 3 else None


def parse_token_counts(value: str | None) -> tuple[int, int] | None:
    """Parse a header value ``prompt,max_output`` into two token counts.

    Returns None if the header is missing or not two non-negative integers.
    """
    counts = _parse_counts(value)
    return (counts[0], counts[1]) if counts is not None and len(counts) == 2 else None


def _parse_counts(value: str | None) -> list[int] | None:
    """Parse comma-separated counts; None if the header is missing or one is no count."""
    parts = value.split(",") if value else []
    counts = [parse_count(part.strip(), MAX_COUNT) for part in parts]
    known = [count for count in counts if count is not None]
    return known if counts and len(known) == len(counts) else None


def parse_store_era(headers: Headers) -> int | None:
    """Return the era that an answer of the store names, at most `MAX_STORE_ERA`; None if none."""
    return parse_count(find_header(headers, PlatformHeader.STORE_ERA), MAX_STORE_ERA)


def parse_prompt_parts(value: str | None) -> tuple[PromptPart, ...]:
    """Parse a header value of comma-separated entries ``id:tokens``, ids in hexadecimal.

    Returns the different parts in order; entries without an id are left out. Every other part
    is there, however long its id and the list are: any of them may end servers. The size of a
    request's headers bounds the list.
    """
    if not value:
        return ()
    parts = [parse_prompt_part(entry.partition(":")[0]) for entry in value.split(",")]
    return tuple(dict.fromkeys(part for part in parts if part))


def parse_prompt_part(text: str) -> PromptPart:
    """Return the part that an id names; empty for an empty id.

    An id is a number in hexadecimal: capitals and leading zeros make no difference. A long one,
    or one that is no number, is replaced by a digest of `PART_DIGEST_BYTES`.
    """
    name = text.strip().lower()
    if not name:
        return PromptPart("")
    if _HEX_DIGITS.issuperset(name):
        name = name.lstrip("0") or "0"
        if len(name) <= _MAX_PLAIN_DIGITS:
            return PromptPart(name)
    return PromptPart(blake2b(name.encode(), digest_size=PART_DIGEST_BYTES).hexdigest())
