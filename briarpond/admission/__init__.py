"""Client accounts: authentication by key, limits, and the fair queue of requests that wait."""

from ._accounts import AccountIndex, api_key_digest
from ._limits import AccountLimiter, Admitted, Denied
from ._queue import FairQueue, QueuedRequest, QueueFull

__all__ = [
    "AccountIndex",
    "AccountLimiter",
    "Admitted",
    "Denied",
    "FairQueue",
    "QueueFull",
    "QueuedRequest",
    "api_key_digest",
]
