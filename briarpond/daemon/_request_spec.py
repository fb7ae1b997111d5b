"""Properties of a request, from its headers and the configuration."""

import re

from circuits.web.wrappers import Request

from briarpond.configuration import ServiceConfig
from briarpond.ids import AccountId, RequestKey
from briarpond.net import parse_count
from briarpond.requests import Outcome, Refusal, RefusalCode, RequestKind, RequestSpec

from ._node import NodeContext

DEADLINE_HEADER = "Briarpond-Deadline-Ms"
IDEMPOTENT_HEADER = "Briarpond-Idempotent"
KEY_HEADER = "Idempotency-Key"
# Longest time that a caller may set as its deadline, and the default.
MAX_DEADLINE_MS = 600_000
_KEY_PATTERN = re.compile(r"^[\x21-\x7e]{1,255}$")
# Methods that RFC 9110 defines as idempotent.
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


def build_spec(
    node: NodeContext,
    account: AccountId,
    request: Request,
    kind: RequestKind,
    idempotent: bool,
    max_silence_s: float,
) -> RequestSpec | Refusal:
    """Return the specification of the request, or a refusal if a header is invalid.

    A request with an idempotency key counts as not idempotent: the claim of the
    key makes sure that it runs once.

    Parameters
    ----------
    idempotent : bool
        Whether the request may be run twice without harm, by header and service.
    max_silence_s : float
        Longest time without a byte from the backend server, seconds.
    """
    key = request.headers.get(KEY_HEADER)
    if key is not None and not _KEY_PATTERN.match(key):
        return _invalid_request("Idempotency-Key must be 1 to 255 visible ASCII characters.")
    deadline = request.headers.get(DEADLINE_HEADER) or str(MAX_DEADLINE_MS)
    deadline_ms = parse_count(deadline, MAX_DEADLINE_MS)
    if deadline_ms is None:
        return _invalid_request(f"{DEADLINE_HEADER} must be a whole number of milliseconds.")
    return RequestSpec(
        account,
        kind,
        idempotent and key is None,
        node.clock.now() + deadline_ms / 1000,
        max_silence_s,
        RequestKey(f"{account}/{key}") if key is not None else None,
        max_whole_answer_bytes=node.settings.limits.whole_answer_bytes,
    )


def is_idempotent(request: Request, service: ServiceConfig | None) -> bool:
    """Whether the request may be run twice without harm.

    The caller's header value "false" always wins. Model requests are idempotent
    otherwise. For a plain service the configuration of the method comes next,
    then the HTTP method, then the caller's header value "true".

    Parameters
    ----------
    service : ServiceConfig or None
        Plain service that is called; None for a model request.
    """
    header_value = request.headers.get(IDEMPOTENT_HEADER, "").lower()
    if header_value == "false":
        return False
    if service is None:
        return True
    configured = service.idempotent.get(request.method)
    if configured is not None:
        return configured
    return request.method in _IDEMPOTENT_METHODS or header_value == "true"


def _invalid_request(message: str) -> Refusal:
    return Refusal(RefusalCode.INVALID_REQUEST, Outcome.NOT_RUN, 400, message)
