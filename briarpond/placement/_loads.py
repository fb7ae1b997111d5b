"""Rate limit on model loads from the shared weight store."""

from collections import deque

# Loads that may run beyond the limit before requests arrive. They queue at the weight
# store, which therefore is never idle between two loads.
EXTRA_LOADS_AT_START = 4


class LoadBudget:
    """Limits how many loads start in a sliding window and how many run at once.

    Parameters
    ----------
    starts_per_s : float
        Loads that may start per second, on average over the window.
    max_concurrent : int
        Loads that the store serves at full speed at the same time.
    window_s : float
        Length of the sliding window, in seconds.

    Attributes
    ----------
    enforced : bool
        Whether the window applies. It does from the first request on; before, loads
        are quick and only their number at one time is limited.
    """

    def __init__(self, starts_per_s: float, max_concurrent: int, window_s: float) -> None:
        self.enforced = False
        self._start_times: deque[float] = deque()
        self.configure(starts_per_s, max_concurrent, window_s)

    def configure(self, starts_per_s: float, max_concurrent: int, window_s: float) -> None:
        """Change the limits; loads that have started go on to count."""
        self._max_per_window = max(1, int(starts_per_s * window_s))
        self._max_concurrent = max_concurrent
        self._window_s = window_s

    def record_started(self, count: int, now: float) -> None:
        """Count loads that another planner started as if they started at `now`."""
        self._start_times.extend([now] * min(count, self._max_per_window))

    def try_start(self, count: int, running: int, now: float) -> bool:
        """Start `count` loads if the limits allow it; return whether they do.

        Parameters
        ----------
        count : int
            Loads to start; either all of them start or none.
        running : int
            Loads that run at present.
        now : float
            Monotonic time in seconds.
        """
        while self._start_times and self._start_times[0] <= now - self._window_s:
            self._start_times.popleft()
        limit = (
            self._max_concurrent if self.enforced else self._max_concurrent + EXTRA_LOADS_AT_START
        )
        if running >= limit:
            return False
        if self.enforced and len(self._start_times) + count > self._max_per_window:
            return False
        self._start_times.extend([now] * count)
        return True
