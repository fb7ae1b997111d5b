"""Client accounts: who a caller is and how much it may ask for."""

from ._accounts import AccountIndex, key_hash
from ._limits import AccountLimiter, Admitted, Denied
from ._queue import FairQueue, QueueFull, Waiting

__all__ = [
    "AccountIndex",
    "AccountLimiter",
    "Admitted",
    "Denied",
    "FairQueue",
    "QueueFull",
    "Waiting",
    "key_hash",
]
