"""Measured slowness of each instance, so that slow ones get fewer requests."""

import math

import msgspec

from briarpond.ids import InstanceId

# Weight of the newest measurement in the moving average.
SMOOTHING_FACTOR = 0.2
# Seconds in which the distance of a factor from 1 decays to 1/e.
DECAY_S = 20.0
# Bounds of the ratio of measured to expected time in one measurement.
MAX_RATIO = 20.0
MIN_RATIO = 0.2


class _Slowness(msgspec.Struct):
    """Slowness of one instance.

    Attributes
    ----------
    factor : float
        Moving average of measured to expected first-byte times.
    updated_at : float
        Monotonic time of the last measurement.
    """

    factor: float
    updated_at: float


class SlownessTable:
    """Moving average of the ratio of measured to expected first-byte time, by instance.

    The average decays towards 1 with time, so that an instance that is no longer chosen
    because it was slow gets requests again.
    """

    def __init__(self) -> None:
        self._slowness: dict[InstanceId, _Slowness] = {}

    def record(
        self, instance: InstanceId, measured_s: float, expected_s: float, now: float
    ) -> None:
        """Record a first byte that took `measured_s` instead of `expected_s` seconds."""
        ratio = min(MAX_RATIO, max(MIN_RATIO, measured_s / max(expected_s, 1e-6)))
        slowness = self._slowness.setdefault(instance, _Slowness(1.0, now))
        current = self._decayed(slowness, now)
        slowness.factor = current + SMOOTHING_FACTOR * (ratio - current)
        slowness.updated_at = now

    def factor(self, instance: InstanceId, now: float) -> float:
        """Return how many times slower than expected an instance is; 1 without measurement."""
        slowness = self._slowness.get(instance)
        return 1.0 if slowness is None else self._decayed(slowness, now)

    def prune(self, listed: set[InstanceId]) -> None:
        """Drop instances that are not in `listed`."""
        self._slowness = {
            name: slowness for name, slowness in self._slowness.items() if name in listed
        }

    def _decayed(self, slowness: _Slowness, now: float) -> float:
        weight = math.exp(-(now - slowness.updated_at) / DECAY_S)
        return 1.0 + weight * (slowness.factor - 1.0)
