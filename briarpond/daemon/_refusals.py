"""HTTP form of refusals to callers: error body, outcome header and node header."""

import msgspec

from briarpond.net import Headers
from briarpond.requests import Refusal, RefusalCode

from ._node import NodeContext
from ._reply import Reply

OUTCOME_HEADER = "Briarpond-Outcome"
NODE_HEADER = "Briarpond-Node"


class ErrorDetail(msgspec.Struct):
    """Error object in the form that client libraries of model APIs expect.

    Attributes
    ----------
    type : str
        Class of the error: ``invalid_request_error``, ``rate_limit_error`` or
        ``server_error``.
    param : str or None
        Always None; client libraries read the field.
    code : str
        Value of a `RefusalCode`, or the code of an input error.
    """

    message: str
    type: str
    param: str | None
    code: str


class ErrorBody(msgspec.Struct):
    """Body of a refusal.

    Attributes
    ----------
    outcome : str
        Value of an `Outcome`: whether the request may have run.
    node : str
        Id of the node that answers.
    """

    error: ErrorDetail
    outcome: str
    node: str


def send_refusal(node: NodeContext, reply: Reply, refusal: Refusal) -> None:
    """Send a refusal as a whole answer.

    A node that stops also closes the connection, so that the
    caller connects to another node.
    """
    headers: Headers = (
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, refusal.outcome.value),
        (NODE_HEADER, node.id),
    )
    if refusal.retry_after_s > 0:
        headers += (("Retry-After", str(max(1, round(refusal.retry_after_s)))),)
    if refusal.code is RefusalCode.NODE_STOPPING or not node.drain.accepts_requests:
        reply.close_when_done()
    reply.send_whole(refusal.status, headers, msgspec.json.encode(error_body(refusal, node.id)))


def error_body(refusal: Refusal, node_id: str) -> ErrorBody:
    """Return the body of a refusal; the error type follows from its HTTP status."""
    error_type = "invalid_request_error" if refusal.status < 500 else "server_error"
    if refusal.status == 429:
        error_type = "rate_limit_error"
    detail = ErrorDetail(refusal.message, error_type, None, refusal.code.value)
    return ErrorBody(detail, refusal.outcome.value, node_id)
