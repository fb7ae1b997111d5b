"""Refusals as callers see them: error body, outcome and node headers."""

import msgspec

from briarpond.net import Headers
from briarpond.requests import Refusal

from ._inbound import Reply
from ._node import NodeContext

OUTCOME_HEADER = "Briarpond-Outcome"
NODE_HEADER = "Briarpond-Node"


class ErrorDetail(msgspec.Struct):
    """Error in the shape that clients of model APIs expect."""

    message: str
    type: str
    param: str | None
    code: str


class ErrorBody(msgspec.Struct):
    """Body of a refusal."""

    error: ErrorDetail
    outcome: str
    node: str


def refuse(node: NodeContext, reply: Reply, refusal: Refusal) -> None:
    """Answer with a refusal, its outcome and when to try again."""
    headers: Headers = (
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, refusal.outcome.value),
        (NODE_HEADER, node.id),
    )
    if refusal.retry_after_s > 0:
        headers += (("Retry-After", str(max(1, round(refusal.retry_after_s)))),)
    if not node.drain.accepts:
        reply.close_after()
    reply.whole(refusal.status, headers, msgspec.json.encode(error_body(refusal, node.id)))


def error_body(refusal: Refusal, node_id: str) -> ErrorBody:
    """Return the body of a refusal."""
    kind = "invalid_request_error" if refusal.status < 500 else "server_error"
    if refusal.status == 429:
        kind = "rate_limit_error"
    detail = ErrorDetail(refusal.message, kind, None, refusal.code.value)
    return ErrorBody(detail, refusal.outcome.value, node_id)
