"""Measured slowness of each instance, by which stragglers stand out."""

import math

import msgspec

from briarpond.ids import InstanceId

WEIGHT = 0.2
FORGET_S = 20.0
SLOWEST = 20.0
FASTEST = 0.2


class _Speed(msgspec.Struct):
    factor: float
    at: float


class SpeedTable:
    """Smoothed ratio of measured to expected first-byte time of each instance.

    A measurement loses its weight in favour of 1, so that an instance that was
    set aside is tried again.
    """

    def __init__(self) -> None:
        self._speeds: dict[InstanceId, _Speed] = {}

    def observe(self, instance: InstanceId, waited_s: float, expected_s: float, now: float) -> None:
        """Learn how long a first byte took that was expected after `expected_s`."""
        ratio = min(SLOWEST, max(FASTEST, waited_s / max(expected_s, 1e-6)))
        speed = self._speeds.setdefault(instance, _Speed(1.0, now))
        current = self._faded(speed, now)
        speed.factor = current + WEIGHT * (ratio - current)
        speed.at = now

    def factor(self, instance: InstanceId, now: float) -> float:
        """Return by how much an instance is slower than expected."""
        speed = self._speeds.get(instance)
        return 1.0 if speed is None else self._faded(speed, now)

    def forget(self, known: set[InstanceId]) -> None:
        """Drop instances that are not in `known`."""
        self._speeds = {name: speed for name, speed in self._speeds.items() if name in known}

    def _faded(self, speed: _Speed, now: float) -> float:
        kept = math.exp(-(now - speed.at) / FORGET_S)
        return 1.0 + kept * (speed.factor - 1.0)
