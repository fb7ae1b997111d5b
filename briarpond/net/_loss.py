"""Reasons for which an HTTP call fails."""

from enum import Enum


class LossReason(Enum):
    """Why a call ended before its answer was complete.

    Attributes
    ----------
    CONNECT_FAILED
        No connection was established, so the request was not sent.
    INVALID_REQUEST
        The request cannot be written as HTTP, so it was not sent.
    CONNECTION_LOST
        The connection ended after the request was sent.
    MALFORMED
        The answer is not valid HTTP, or is larger than allowed.
    TIMEOUT
        The answer was not complete in time.
    OUTDATED
        The answer is from before one that was already heard.
    """

    CONNECT_FAILED = "connect-failed"
    INVALID_REQUEST = "invalid-request"
    CONNECTION_LOST = "connection-lost"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"
    OUTDATED = "outdated"

    @property
    def not_sent(self) -> bool:
        """Whether no byte of the request can have reached the server."""
        return self in (LossReason.CONNECT_FAILED, LossReason.INVALID_REQUEST)
