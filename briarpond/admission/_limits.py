"""Limits of each client account on one node.

Each node applies a share of every limit. The shares follow the demand of the account that
each node reports to its peers, so that no message is needed for a single request.
"""

import msgspec

from briarpond.configuration import AccountConfig
from briarpond.ids import AccountId

# Size of the token buckets, as seconds of the rate limit: what an account may use at once
# after a time without requests.
BURST_S = 2.0
# Seconds after which a request counts half in the measured demand.
DEMAND_HALF_LIFE_S = 5.0


class Admitted(msgspec.Struct, frozen=True):
    """The request is within the limits of its account."""


class Denied(msgspec.Struct, frozen=True):
    """The request is over a limit of its account and was not run.

    Attributes
    ----------
    reason : str
        Name of the limit in the configuration.
    retry_after_s : float
        Seconds until the limit admits the next request; a guess for ``concurrency``, where
        it depends on when running requests end.
    """

    reason: str
    retry_after_s: float


class _AccountUsage:
    """Token buckets, concurrency and measured demand of one account.

    Attributes
    ----------
    request_allowance : float
        Requests that the account may still send.
    token_allowance : float
        Tokens that its requests may still generate; below 0 after a request that may
        generate more than were left.
    refilled_at : float
        Monotonic time of the last refill.
    in_flight : int
        Admitted requests that have not ended.
    demand_rate : float
        Measured demand in requests per second, denied requests included.
    filled : bool
        Whether the buckets have been filled, as they are at first use.
    """

    def __init__(self, now: float) -> None:
        self.request_allowance = 0.0
        self.token_allowance = 0.0
        self.refilled_at = now
        self.in_flight = 0
        self.demand_rate = 0.0
        self.filled = False

    def refill(self, config: AccountConfig, share: float, now: float) -> None:
        """Refill the buckets and decay the measured demand for the time since the last call.

        The first call fills the buckets.
        """
        elapsed = now - self.refilled_at
        self.refilled_at = now
        self.demand_rate *= 0.5 ** (elapsed / DEMAND_HALF_LIFE_S)
        request_rate = config.requests_per_s * share
        token_rate = config.tokens_per_s * share
        request_cap = max(1.0, request_rate * BURST_S)
        token_cap = token_rate * BURST_S
        if not self.filled:
            self.filled = True
            self.request_allowance, self.token_allowance = request_cap, token_cap
            return
        self.request_allowance = min(request_cap, self.request_allowance + request_rate * elapsed)
        self.token_allowance = min(token_cap, self.token_allowance + token_rate * elapsed)


class AccountLimiter:
    """Applies the rate and concurrency limits of all accounts on this node."""

    def __init__(self) -> None:
        self._usage: dict[AccountId, _AccountUsage] = {}

    def admit(
        self, account: AccountId, config: AccountConfig, share: float, tokens: int, now: float
    ) -> Admitted | Denied:
        """Admit or deny a request.

        A request is admitted while any token is left, also if it may generate more; the
        account then waits until the bucket is above 0 again.

        Parameters
        ----------
        account : AccountId
            Account of the caller.
        config : AccountConfig
            Limits of the account over all nodes.
        share : float
            This node's fraction of the limits, above 0 and up to 1.
        tokens : int
            Tokens that the request may generate at most.
        now : float
            Monotonic time in seconds.
        """
        usage = self._usage.setdefault(account, _AccountUsage(now))
        usage.refill(config, share, now)
        # Denied requests count as demand too. Otherwise a node at its limit would report
        # little demand and its share would never grow.
        usage.demand_rate += 1.0 / DEMAND_HALF_LIFE_S
        allowed = max(1, round(config.concurrency * share))
        if usage.in_flight >= allowed:
            return Denied("concurrency", 1.0)
        if usage.request_allowance < 1.0:
            wait_s = (1.0 - usage.request_allowance) / (config.requests_per_s * share)
            return Denied("requests_per_s", wait_s)
        if usage.token_allowance <= 0.0:
            wait_s = (1.0 - usage.token_allowance) / (config.tokens_per_s * share)
            return Denied("tokens_per_s", wait_s)
        usage.request_allowance -= 1.0
        usage.token_allowance -= tokens
        usage.in_flight += 1
        return Admitted()

    def release(self, account: AccountId, unused_tokens: int) -> None:
        """Record the end of an admitted request and credit the tokens that it did not use."""
        usage = self._usage[account]
        usage.in_flight -= 1
        usage.token_allowance += unused_tokens

    def demand_of(self, account: AccountId) -> float:
        """Return the recent demand of one account on this node, in requests per second."""
        usage = self._usage.get(account)
        return usage.demand_rate if usage is not None else 0.0

    def demand_by_account(self) -> dict[AccountId, float]:
        """Return the recent demand of each account on this node, in requests per second."""
        return {account: usage.demand_rate for account, usage in self._usage.items()}
