"""Headers of requests that one node passes to another one, and of the answers to them.

They are names of this project: only its nodes speak them, at their peer port.
"""

import msgspec

from briarpond.ids import InstanceId, NodeId, ServiceName
from briarpond.net import Headers, HttpRequest, find_header, parse_count
from briarpond.platform import HOP_BY_HOP_HEADERS, PlatformHeader

from ._caller_request import CallerRequest

# Of the request: node that passes it on, which also marks it as passed on once already.
ORIGIN = "briarpond-hop-origin"
# Version of the configuration by which that node has accepted it.
CONFIG_VERSION = "briarpond-hop-config"
# Service that it goes to.
SERVICE = "briarpond-hop-service"
# Servers at which it may yet run.
ATTEMPTS = "briarpond-hop-attempts"
# 1 if the node that passes it on keeps an attempt beside those, otherwise 0.
KEEPS_ATTEMPT = "briarpond-hop-keeps"
# 1 if the node that passes it on has counted it for its own retry budget, otherwise 0.
IS_COUNTED = "briarpond-hop-counted"
# Of the answer: why there is none of a server. It is also the trailer of a stream that is broken
# off, since a stream of chunks ends in order with its trailers.
END_REASON = "briarpond-hop-end"
# Servers at which the request may have run so far.
RUNS = "briarpond-hop-runs"

# All of them; a caller or a server that sends one is not believed.
HOP_HEADERS = frozenset(
    {
        ORIGIN,
        CONFIG_VERSION,
        SERVICE,
        ATTEMPTS,
        KEEPS_ATTEMPT,
        IS_COUNTED,
        END_REASON,
        RUNS,
    }
)
# Headers of the caller that concern its own connection only, or are replaced.
_DROPPED_HEADERS = (
    HOP_BY_HOP_HEADERS
    | HOP_HEADERS
    | {"content-length", PlatformHeader.DEADLINE_MS, PlatformHeader.LAST_EVENT_ID}
)
# Larger numbers are read as this.
_MAX_VERSION = 2**53
_MAX_ATTEMPTS = 100
# The node that passes a request on learns its outcome this long before the deadline.
DEADLINE_MARGIN_S = 0.02
# Longest Retry-After that is passed on, in seconds.
MAX_RETRY_AFTER_S = 60.0
# Begins the name by which a node stands among the servers that a request was sent to.
_TARGET_PREFIX = "node:"


class Hop(msgspec.Struct, frozen=True):
    """What a node tells another one about a request that it passes to it.

    Attributes
    ----------
    origin : NodeId
        Node that has taken the request from its caller.
    config_version : int
        Version of the configuration by which that node has accepted it.
    service : ServiceName
        Service that it goes to.
    attempts : int
        Servers at which it may yet run.
    is_counted : bool
        Whether the origin has counted it for its own retry budget.
    keeps_attempt : bool
        Whether the origin keeps an attempt beside those, so that a request may be given back.
    """

    origin: NodeId
    config_version: int
    service: ServiceName
    attempts: int
    is_counted: bool
    keeps_attempt: bool


class HopEnd(msgspec.Struct, frozen=True):
    """Why a helper has no answer of a server, or only a part of one.

    Attributes
    ----------
    reason : str
        Reason as in the helper's log.
    runs : int
        Servers at which the request may have run.
    retry_after_s : float
        Seconds after which the caller may come back.
    """

    reason: str
    runs: int
    retry_after_s: float = 0.0


def target_name(node: NodeId) -> InstanceId:
    """Return the name by which a node stands among the servers that a request was sent to."""
    return InstanceId(_TARGET_PREFIX + node)


def is_node_target(server: InstanceId) -> bool:
    """Whether a name among those of servers stands for a node."""
    return server.startswith(_TARGET_PREFIX)


def read_hop(request: HttpRequest) -> Hop | None:
    """Return what a request says of its hop; None if no node has passed it on."""
    origin = request.header(ORIGIN)
    if origin is None:
        return None
    return Hop(
        NodeId(_from_bytes_text(origin)),
        parse_count(request.header(CONFIG_VERSION), _MAX_VERSION) or 0,
        ServiceName(_from_bytes_text(request.header(SERVICE) or "")),
        max(1, parse_count(request.header(ATTEMPTS), _MAX_ATTEMPTS) or 1),
        request.header(IS_COUNTED) == "1",
        request.header(KEEPS_ATTEMPT) == "1",
    )


def without_hop_headers(request: HttpRequest) -> HttpRequest:
    """Return a request as its caller has sent it, but for the deadline."""
    headers = tuple(pair for pair in request.headers if pair[0] not in HOP_HEADERS)
    return msgspec.structs.replace(request, headers=headers)


def hop_request_headers(
    caller: CallerRequest, hop: Hop, last_event_id: bytes | None, now: float
) -> Headers:
    """Return the headers with which a request is passed to another node.

    Parameters
    ----------
    caller : CallerRequest
        The request. All that it says of itself is passed on, with the key, since the other node
        routes and checks it anew.
    hop : Hop
        What the other node is told.
    last_event_id : bytes or None
        Event after which a stream is resumed; None to pass the caller's own on.
    now : float
        Present time.
    """
    headers = [pair for pair in caller.http.headers if pair[0] not in _DROPPED_HEADERS]
    remaining_s = caller.expires_at - now - DEADLINE_MARGIN_S
    headers.append((PlatformHeader.DEADLINE_MS, str(max(1, int(remaining_s * 1000)))))
    last_event = caller.http.header(PlatformHeader.LAST_EVENT_ID)
    if last_event_id is not None:
        last_event = last_event_id.decode("latin-1")
    if last_event is not None:
        headers.append((PlatformHeader.LAST_EVENT_ID, last_event))
    headers += [
        (ORIGIN, _to_bytes_text(hop.origin)),
        (CONFIG_VERSION, str(hop.config_version)),
        (SERVICE, _to_bytes_text(hop.service)),
        (ATTEMPTS, str(hop.attempts)),
        (KEEPS_ATTEMPT, str(int(hop.keeps_attempt))),
        (IS_COUNTED, str(int(hop.is_counted))),
    ]
    return tuple(headers)


def end_headers(reason: str, runs: int) -> Headers:
    """Return the headers, or trailers, by which a helper says that it has no whole answer."""
    return ((END_REASON, reason or "-"), (RUNS, str(runs)))


def runs_header(runs: int) -> Headers:
    """Return the header of a server's answer that tells how often the request may have run."""
    return ((RUNS, str(runs)),)


def is_of_hop(headers: Headers) -> bool:
    """Whether an answer is one to a request of a node, and not of the HTTP server before it."""
    return find_header(headers, RUNS) is not None


def read_runs(headers: Headers) -> int:
    """Return at how many servers a request may have run, by the answer of a helper; at least 1."""
    return max(1, parse_count(find_header(headers, RUNS), _MAX_ATTEMPTS) or 1)


def read_end(headers: Headers) -> HopEnd | None:
    """Return why a helper has no whole answer, by its headers or trailers; None if it has."""
    reason = find_header(headers, END_REASON)
    if reason is None:
        return None
    runs = parse_count(find_header(headers, RUNS), _MAX_ATTEMPTS) or 0
    return HopEnd(reason, runs, _read_retry_after_s(find_header(headers, "retry-after")))


def _to_bytes_text(name: str) -> str:
    """Return a name, which may have any characters, as its bytes in UTF-8 for a header."""
    return name.encode().decode("latin-1")


def _from_bytes_text(value: str) -> str:
    return value.encode("latin-1").decode(errors="replace")


def _read_retry_after_s(value: str | None) -> float:
    try:
        seconds = float(value or 0.0)
    except ValueError:
        return 0.0
    return min(max(0.0, seconds), MAX_RETRY_AFTER_S) if seconds == seconds else 0.0
