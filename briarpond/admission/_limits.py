"""Limits of each client account on one node.

A node holds a share of each limit; shares follow where an account's requests
arrive, by what peers tell of theirs, and need no message for a request.
"""

import msgspec

from briarpond.configuration import AccountConfig
from briarpond.ids import AccountId

BURST_S = 2.0
RATE_HALF_LIFE_S = 5.0


class Admitted(msgspec.Struct, frozen=True):
    """The request may go on."""


class Denied(msgspec.Struct, frozen=True):
    """The request was not run.

    Attributes
    ----------
    reason : str
        Which limit it met.
    retry_after_s : float
        When the limit lets the next request through, seconds.
    """

    reason: str
    retry_after_s: float


class _Usage:
    def __init__(self, now: float) -> None:
        self.requests = 0.0
        self.tokens = 0.0
        self.filled_at = now
        self.in_flight = 0
        self.rate = 0.0
        self.started = False

    def refill(self, config: AccountConfig, share: float, now: float) -> None:
        elapsed = now - self.filled_at
        self.filled_at = now
        self.rate *= 0.5 ** (elapsed / RATE_HALF_LIFE_S)
        request_rate = config.requests_per_s * share
        token_rate = config.tokens_per_s * share
        request_cap = max(1.0, request_rate * BURST_S)
        token_cap = token_rate * BURST_S
        if not self.started:
            self.started = True
            self.requests, self.tokens = request_cap, token_cap
            return
        self.requests = min(request_cap, self.requests + request_rate * elapsed)
        self.tokens = min(token_cap, self.tokens + token_rate * elapsed)


class AccountLimiter:
    """Rates and concurrency of all accounts on this node."""

    def __init__(self) -> None:
        self._usage: dict[AccountId, _Usage] = {}

    def admit(
        self, account: AccountId, config: AccountConfig, share: float, tokens: int, now: float
    ) -> Admitted | Denied:
        """Admit a request that may generate up to `tokens` tokens, or deny it.

        Parameters
        ----------
        share : float
            This node's part of the account's limits, above 0 and up to 1.
        """
        usage = self._usage.setdefault(account, _Usage(now))
        usage.refill(config, share, now)
        # Demand counts denied requests too, or a throttled node would never gain a share.
        usage.rate += 1.0 / RATE_HALF_LIFE_S
        allowed = max(1, round(config.concurrency * share))
        if usage.in_flight >= allowed:
            return Denied("concurrency", 1.0)
        if usage.requests < 1.0:
            wait_s = (1.0 - usage.requests) / (config.requests_per_s * share)
            return Denied("requests_per_s", wait_s)
        if usage.tokens <= 0.0:
            wait_s = (1.0 - usage.tokens) / (config.tokens_per_s * share)
            return Denied("tokens_per_s", wait_s)
        usage.requests -= 1.0
        usage.tokens -= tokens
        usage.in_flight += 1
        return Admitted()

    def finish(self, account: AccountId, unused_tokens: int) -> None:
        """End an admitted request and give back tokens that it did not use."""
        usage = self._usage[account]
        usage.in_flight -= 1
        usage.tokens += unused_tokens

    def demand_of(self, account: AccountId) -> float:
        """Return the recent demand of one account here, requests per second."""
        usage = self._usage.get(account)
        return usage.rate if usage is not None else 0.0

    def demand(self) -> dict[AccountId, float]:
        """Return the recent demand of each account here, requests per second."""
        return {account: usage.rate for account, usage in self._usage.items()}
