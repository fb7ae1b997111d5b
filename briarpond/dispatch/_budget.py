"""Share of the repeats that all nodes together may send, kept without messages."""

from collections import deque

# Part of the whole budget that is spent, so that counts at the edge of a window fit.
USED_SHARE = 0.8


class RetryBudget:
    """Repeats of one node to one service in a sliding window.

    Each node may repeat a share of its own requests, and has an equal part of
    the fixed number; the sum over all nodes stays within the whole budget.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """A caller's request for the service has come."""
        self._requests.append(now)

    def take(self, nodes: int, now: float) -> bool:
        """Whether one more repeat fits; it is counted if so.

        Parameters
        ----------
        nodes : int
            Nodes that share the budget.
        """
        self._trim(now)
        allowed = len(self._requests) * self._ratio + self._slack / max(1, nodes)
        if len(self._repeats) + 1 > allowed * USED_SHARE:
            return False
        self._repeats.append(now)
        return True

    def _trim(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
