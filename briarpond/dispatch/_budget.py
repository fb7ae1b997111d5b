"""Limit on the retries that all nodes together send to one service.

Each node keeps to its own part of the limit, so the nodes exchange no messages about it.
"""

from collections import deque

# Fraction of the budget that nodes use. The rest covers requests and retries that fall on
# different sides of the window's edge, so that any window stays within the whole budget.
USABLE_FRACTION = 0.8


class SharedRetryBudget:
    """Retries of one node to one service within a sliding window.

    A node may retry a fraction of its own requests, and has an equal part of a fixed
    allowance; the sum over all nodes stays within the whole budget.

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
        self._retry_times: deque[float] = deque()
        self.configure(ratio, slack, window_s)

    def configure(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the limit; what was counted in the window goes on to count."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_request(self, now: float) -> None:
        """Count a caller's request for the service, which raises the budget."""
        self._request_times.append(now)

    def try_acquire(self, node_count: int, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does.

        Parameters
        ----------
        node_count : int
            Nodes that share the fixed allowance, this one included.
        now : float
            Monotonic time in seconds.
        """
        self._discard_expired(now)
        allowed = len(self._request_times) * self._ratio + self._slack / max(1, node_count)
        if len(self._retry_times) + 1 > allowed * USABLE_FRACTION:
            return False
        self._retry_times.append(now)
        return True

    def give_back(self) -> None:
        """Take back the last retry that was counted, since it has reached no server."""
        if self._retry_times:
            self._retry_times.pop()

    def _discard_expired(self, now: float) -> None:
        window_start = now - self._window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < window_start:
                times.popleft()
