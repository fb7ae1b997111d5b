"""How a call can fail."""

from enum import Enum


class LossReason(Enum):
    """How a call ended before its answer was whole."""

    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    MALFORMED = "malformed"
    TIMEOUT = "timeout"
