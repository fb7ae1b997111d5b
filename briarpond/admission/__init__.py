"""Client accounts: who a caller is and how much it may ask for."""

from ._accounts import AccountIndex, key_hash
from ._limits import AccountLimiter, Admitted, Denied

__all__ = ["AccountIndex", "AccountLimiter", "Admitted", "Denied", "key_hash"]
