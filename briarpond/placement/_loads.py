"""Limit on loads from the shared weight store."""

from collections import deque

QUEUED_AT_START = 4


class LoadBudget:
    """Counts loads in a sliding window and those that run.

    Parameters
    ----------
    per_s : float
        Loads that may start in a second.
    at_once : int
        Loads that run at full speed side by side.
    window_s : float
        Window over which the limit is enforced.

    Attributes
    ----------
    counts : bool
        Whether callers' requests have begun; before, loads are not limited.
    """

    def __init__(self, per_s: float, at_once: int, window_s: float) -> None:
        self.counts = False
        self._most = max(1, int(per_s * window_s))
        self._at_once = at_once
        self._window_s = window_s
        self._started: deque[float] = deque()

    def spend(self, count: int, now: float) -> None:
        """Count loads that another planner started, at the latest now."""
        self._started.extend([now] * min(count, self._most))

    def take(self, count: int, running: int, now: float) -> bool:
        """Whether `count` more loads may start now, beside `running` others."""
        while self._started and self._started[0] <= now - self._window_s:
            self._started.popleft()
        # While loads are quick, some wait at the store so that it is never idle.
        most = self._at_once if self.counts else self._at_once + QUEUED_AT_START
        if running >= most:
            return False
        if self.counts and len(self._started) + count > self._most:
            return False
        self._started.extend([now] * count)
        return True
