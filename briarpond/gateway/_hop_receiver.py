"""Requests that another node passes to this one, because it is cut off from servers."""

import msgspec

from briarpond.logs import log_event
from briarpond.net import HttpReply, HttpRequest, HttpServerLimits
from briarpond.platform import PlatformHeader
from briarpond.reachability import Reachability

from ._hop_choice import CUT_OFF_REASON
from ._hop_headers import Hop, end_headers, without_hop_headers
from ._hop_send import NOT_RUN_STATUS
from ._ingress import OTHER_NODE_RETRY_S, Ingress
from ._state import NodeState

# Most bytes of the headers that a node adds.
ADDED_HEADER_BYTES = 1024


def hop_refusal(
    hop: Hop,
    reachability: Reachability,
    leaving: bool,
    is_ready: bool,
    config_version: int | None,
    now: float,
) -> str | None:
    """Return why this node takes no request of another node; None if it does.

    Parameters
    ----------
    hop : Hop
        What the other node tells of the request.
    reachability : Reachability
        Whether this node reaches servers. If it is cut off, too, it can't help, as a request is
        passed on only once; while its links are checked, it may be.
    leaving : bool
        Whether this node is about to stop.
    is_ready : bool
        Whether callers should connect to this node.
    config_version : int or None
        Version of the configuration in force here; None without one. With an older one than the
        other node has, routes and keys may be missing.
    now : float
        Present time.
    """
    if reachability.is_cut_off(now):
        return CUT_OFF_REASON
    if reachability.is_checking:
        return "checking_links"
    if leaving:
        return "stopping"
    if not is_ready:
        return "not_ready"
    if config_version is None or config_version < hop.config_version:
        return "older_configuration"
    return None


def peer_limits(callers: HttpServerLimits) -> HttpServerLimits:
    """Return the limits on what other nodes send, given those on what callers send.

    What a node has accepted from a caller fits with the headers that it adds. Connections between
    nodes are kept as long as the client keeps them, however short callers' ones may be idle.
    """
    return msgspec.structs.replace(
        HttpServerLimits(),
        max_header_bytes=callers.max_header_bytes + ADDED_HEADER_BYTES,
        max_body_bytes=callers.max_body_bytes,
    )


def answer_hop(
    state: NodeState,
    ingress: Ingress,
    is_ready: bool,
    request: HttpRequest,
    reply: HttpReply,
    hop: Hop,
) -> None:
    """Take a request of another node like one of a caller, or refuse it as not run.

    Parameters
    ----------
    state : NodeState
        Shared state of the node.
    ingress : Ingress
        Routes, checks and forwards the request.
    is_ready : bool
        Whether callers should connect to this node.
    request : HttpRequest
        The request as received.
    reply : HttpReply
        Receives the answer, now or later.
    hop : Hop
        What the other node tells of the request.
    """
    config_version = None if state.config is None else state.config.version
    now = state.clock.now()
    reason = hop_refusal(hop, state.reachability, state.leaving, is_ready, config_version, now)
    if reason is None:
        state.metrics.hops.inc({"end": "taken"})
        ingress.handle(without_hop_headers(request), reply, hop)
        return
    state.metrics.hops.inc({"end": reason})
    log_event(
        "hop_refused",
        id=request.header(PlatformHeader.REQUEST_ID),
        origin=hop.origin,
        reason=reason,
        config=config_version or 0,
        origin_config=hop.config_version,
    )
    retry_after = (("Retry-After", f"{OTHER_NODE_RETRY_S:.3f}"),)
    reply.send_whole(NOT_RUN_STATUS, (*retry_after, *end_headers(reason, 0)), b"")
