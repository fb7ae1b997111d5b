"""Log line and metrics of a request that has ended."""

from enum import Enum

import msgspec

from briarpond.ids import PromptPart
from briarpond.logs import log_event

from ._caller_reply import CallerReply
from ._request_context import RequestContext
from ._request_sends import RequestSends


class Outcome(Enum):
    """How a request has ended.

    Attributes
    ----------
    ANSWERED
        The caller got a server's whole answer.
    REFUSED
        The request has not run, and the caller was told so.
    FAILED
        There was no answer, and the request may have run.
    TIMED_OUT
        The same, at the request's deadline.
    CUT
        An answer that the caller had got in part was broken off.
    CALLER_LEFT
        The caller closed its connection.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timeout"
    CUT = "cut"
    CALLER_LEFT = "caller_left"


class Ending(msgspec.Struct, frozen=True):
    """How and why a request has ended.

    Attributes
    ----------
    outcome : Outcome
        How it has ended.
    reason : str
        Why the last send failed, or the request ended; empty if nothing went wrong.
    quarantined_part : PromptPart or None
        Part of the prompt for which the request was ended.
    """

    outcome: Outcome
    reason: str
    quarantined_part: PromptPart | None


def record_ending(
    context: RequestContext,
    sends: RequestSends,
    reply: CallerReply,
    ending: Ending,
    now: float,
) -> None:
    """Count a request that has ended, and log it.

    Parameters
    ----------
    context : RequestContext
        The request.
    sends : RequestSends
        Its sends.
    reply : CallerReply
        The answer to its caller.
    ending : Ending
        How it has ended.
    now : float
        Present time.
    """
    state, route, caller = context.state, context.route, context.caller
    read_at = caller.http.read_at
    kind = route.kind.value
    first_byte_at = reply.first_byte_at
    # The node that has passed a request on counts it.
    if context.hop is None:
        state.metrics.requests.inc({"kind": kind, "status": str(reply.status)})
        state.metrics.duration.observe({"kind": kind}, now - read_at)
        if first_byte_at is not None:
            state.metrics.first_byte.observe({"kind": kind}, first_byte_at - read_at)
    log_event(
        "request",
        id=caller.id,
        route=route.name,
        outcome=ending.outcome.value,
        status=reply.status,
        reason=ending.reason or "-",
        servers="+".join(sends.tried) or "-",
        sends=sends.sent,
        first_ms=-1 if first_byte_at is None else int((first_byte_at - read_at) * 1000),
        ms=int((now - read_at) * 1000),
        expected_tokens=round(context.cost.expected_tokens),
        seen_tokens=round(context.cost.seen_tokens),
        part=ending.quarantined_part or "-",
        config=state.config.version if state.config else 0,
        origin="-" if context.hop is None else context.hop.origin,
    )
