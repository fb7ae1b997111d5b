"""Reasons for which an HTTP call fails."""

from enum import Enum


class LossReason(Enum):
    """Why a call ended before its answer was complete.

    Attributes
    ----------
    CONNECT_FAILED
        No connection was established, so the request was not sent.
    CONNECTION_LOST
        The connection ended after the request was sent.
    MALFORMED
        The answer is not valid HTTP, or is larger than allowed.
    TIMEOUT
        The answer was not complete in time.
    """

    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"
