"""Limit on the retries that all nodes together send to one service.

Each node keeps to its own part of the limit, so the nodes exchange no messages about it.
"""

from collections import deque

import msgspec

from ._budget_nodes import BudgetShare

# Fraction of the budget that nodes use. The rest covers requests and retries that fall on
# different sides of the window's edge, so that any window stays within the whole budget.
USABLE_FRACTION = 0.8


class RetryUsage(msgspec.Struct, frozen=True):
    """What a node has used of its part of the limit.

    Attributes
    ----------
    retries : int
        Retries that count at present, those that are granted and not yet sent included.
    unsent : int
        Retries among them that are not yet sent.
    requests : int
        Requests of callers in the window.
    allowed : float
        Retries that the node may count at once.
    """

    retries: int
    unsent: int
    requests: int
    allowed: float


class SharedRetryBudget:
    """Retries of one node to one service within a sliding window.

    A node may retry a fraction of its own requests, and has a part of a fixed allowance; the sum
    over all nodes stays within the whole budget. A retry counts from its grant until one window
    after it was sent, which may be seconds after the grant.

    Parameters
    ----------
    ratio : float
        Retries allowed per request of a caller.
    slack : float
        Retries allowed in a window to all nodes together, regardless of the number of
        requests.
    window_s : float
        Length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._request_times: deque[float] = deque()
        self._sent_times: deque[float] = deque()
        self._unsent = 0
        self.configure(ratio, slack, window_s)

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the limit; what was counted in the window goes on to count."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_request(self, now: float) -> None:
        """Count a caller's request for the service, which raises the budget."""
        self._request_times.append(now)
        self._discard_expired(now)

    def try_acquire(self, share: BudgetShare, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does.

        The caller owes `record_sent` or `release` for each retry that is granted.

        Parameters
        ----------
        share : BudgetShare
            Part of the budget that this node may use.
        now : float
            Monotonic time in seconds.
        """
        usage = self.usage(share, now)
        if usage.retries + 1 > usage.allowed:
            return False
        self._unsent += 1
        return True

    def record_sent(self, now: float, was_granted: bool = True) -> None:
        """Count a retry as sent now, even one that was never granted."""
        if was_granted:
            self._unsent -= 1
        self._sent_times.append(now)

    def release(self) -> None:
        """Give back the grant of a retry that is not going to be sent."""
        self._unsent -= 1

    def restore_grant(self, sent_at: float) -> None:
        """Count a retry as granted again that was sent at a time and has reached no server."""
        if sent_at in self._sent_times:
            self._sent_times.remove(sent_at)
        self._unsent += 1

    def usage(self, share: BudgetShare, now: float) -> RetryUsage:
        """Return what is used, and what may be; parameters as in `try_acquire`."""
        self._discard_expired(now)
        requests = len(self._request_times)
        allowed = requests * self._ratio * share.request_fraction + self._slack * share.of_whole
        retries = len(self._sent_times) + self._unsent
        return RetryUsage(retries, self._unsent, requests, allowed * USABLE_FRACTION)

    def _discard_expired(self, now: float) -> None:
        window_start = now - self._window_s
        for times in (self._request_times, self._sent_times):
            while times and times[0] < window_start:
                times.popleft()
