"""Measured times of answers, for what a request takes at most as far as known."""

from collections import deque

# Measurements that are kept for each pool; the slowest one counts.
KEPT_MEASUREMENTS = 64
# Factor on the slowest measured time: backend servers may be slower than before.
DURATION_SAFETY = 2.0


class AnswerTimes:
    """Times of the last answers by pool, per unit of work: a token, or a whole answer."""

    def __init__(self) -> None:
        self._unit_times: dict[str, deque[float]] = {}

    def record(self, pool: str, units: int, seconds: float) -> None:
        """Record an answer of `units` that took `seconds`."""
        times = self._unit_times.setdefault(pool, deque(maxlen=KEPT_MEASUREMENTS))
        times.append(seconds / units)

    def longest_s(self, pool: str, units: int) -> float | None:
        """Return a time within which `units` are answered, seconds; None if not measured."""
        times = self._unit_times.get(pool)
        return DURATION_SAFETY * units * max(times) if times else None
