"""A caller's request as the gateway reads it, and the headers with which it is sent on."""

import msgspec

from briarpond.dispatch import RequestSize
from briarpond.ids import InstanceId, PromptPart
from briarpond.net import Headers, HttpRequest, parse_count
from briarpond.platform import (
    HOP_BY_HOP_HEADERS,
    PlatformHeader,
    format_priority,
    parse_prompt_parts,
    parse_token_counts,
)
from briarpond.routes import ModelName, Tenant

# Time allowed for a request without a deadline header; the route's timeout also applies.
DEFAULT_DEADLINE_S = 30.0
# A longer deadline is read as this.
MAX_DEADLINE_MS = 86_400_000
# Headers of the caller that are not sent to servers; some are replaced by the node's own.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    "content-length",
    PlatformHeader.AUTHORIZATION,
    PlatformHeader.TENANT,
    PlatformHeader.DEADLINE_MS,
    PlatformHeader.EXPECT_INSTANCE,
    PlatformHeader.PRIORITY,
    PlatformHeader.LAST_EVENT_ID,
}


class CallerRequest(msgspec.Struct, frozen=True):
    """What the headers of a request say.

    Attributes
    ----------
    http : HttpRequest
        The request as received.
    id : str or None
        Id that the caller gave it.
    expires_at : float
        Time of the deadline, or of the route's timeout if that is earlier.
    model : ModelName
        Model that the request names; empty if none.
    size : RequestSize
        Tokens of the prompt and expected tokens of the answer; zeros if not known.
    max_answer_tokens : int
        Most tokens of the answer; 0 if not known.
    prompt_parts : tuple of PromptPart
        Parts of the prompt.
    length_hint : int or None
        Tokens of the answer that the caller expects; None if it gives no number.
    """

    http: HttpRequest
    id: str | None
    expires_at: float
    model: ModelName
    size: RequestSize
    max_answer_tokens: int
    prompt_parts: tuple[PromptPart, ...]
    length_hint: int | None = None


def read_caller_request(http: HttpRequest, timeout_s: float) -> CallerRequest:
    """Read the headers of a request.

    The expected length of the answer is the caller's hint, capped at the most tokens that
    the request allows; without a hint it is that maximum.

    Parameters
    ----------
    http : HttpRequest
        The request as received.
    timeout_s : float
        Timeout of its route, in seconds.
    """
    deadline_ms = parse_count(http.header(PlatformHeader.DEADLINE_MS), MAX_DEADLINE_MS)
    allowed_s = DEFAULT_DEADLINE_S if deadline_ms is None else deadline_ms / 1000
    token_counts = parse_token_counts(http.header(PlatformHeader.TOKEN_USAGE))
    prompt_tokens, max_answer_tokens = token_counts or (0, 0)
    hint = parse_count(http.header(PlatformHeader.LENGTH_HINT), max_answer_tokens)
    return CallerRequest(
        http,
        http.header(PlatformHeader.REQUEST_ID),
        http.read_at + min(allowed_s, timeout_s),
        ModelName(http.header(PlatformHeader.MODEL) or ""),
        RequestSize(prompt_tokens, max_answer_tokens if hint is None else hint),
        max_answer_tokens,
        parse_prompt_parts(http.joined_header(PlatformHeader.PROMPT_PARTS)),
        hint,
    )


def forwarded_headers(
    caller: CallerRequest,
    server: InstanceId,
    tenant: Tenant | None,
    last_event_id: bytes | None,
    now: float,
    priority: int | None = None,
) -> Headers:
    """Return the headers of one send.

    Parameters
    ----------
    server : InstanceId
        Server that the send is meant for.
    tenant : Tenant or None
        Client account of the request.
    last_event_id : bytes or None
        Event after which a stream is resumed; None to pass the caller's own on.
    now : float
        Present time.
    priority : int or None
        Priority that the server is told; None to leave it to the server.
    """
    headers = [pair for pair in caller.http.headers if pair[0] not in _DROPPED_HEADERS]
    remaining_ms = max(1, int((caller.expires_at - now) * 1000))
    headers.append((PlatformHeader.DEADLINE_MS, str(remaining_ms)))
    headers.append((PlatformHeader.EXPECT_INSTANCE, server))
    if priority is not None:
        headers.append((PlatformHeader.PRIORITY, format_priority(priority)))
    if tenant is not None:
        # A name may have characters beyond those of a header: its bytes in UTF-8 are sent.
        headers.append((PlatformHeader.TENANT, tenant.name.encode().decode("latin-1")))
    last_event = caller.http.header(PlatformHeader.LAST_EVENT_ID)
    if last_event_id is not None:
        last_event = last_event_id.decode("latin-1")
    if last_event is not None:
        headers.append((PlatformHeader.LAST_EVENT_ID, last_event))
    return tuple(headers)
