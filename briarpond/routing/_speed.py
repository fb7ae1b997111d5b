"""Measured time of each instance for one request, by which stragglers stand out."""

import math
from statistics import median

import msgspec

from briarpond.ids import InstanceId

WEIGHT = 0.2
FORGET_S = 15.0
FIRST_GUESS_S = 0.05
MIN_REQUEST_S = 0.001


class _Speed(msgspec.Struct):
    request_s: float
    at: float


class SpeedTable:
    """Smoothed time that a request adds to the wait at an instance.

    A measurement loses its weight in favour of the median of all instances, so
    an instance that was set aside is tried again.
    """

    def __init__(self) -> None:
        self._speeds: dict[InstanceId, _Speed] = {}
        self._typical_s = FIRST_GUESS_S

    def observe(self, instance: InstanceId, waited_s: float, load: float, now: float) -> None:
        """Learn how long the first byte took with `load` requests at the instance."""
        sample = max(MIN_REQUEST_S, waited_s / (1.0 + load))
        speed = self._speeds.get(instance)
        if speed is None:
            self._speeds[instance] = _Speed(sample, now)
        else:
            current = self._faded(speed, now)
            speed.request_s = current + WEIGHT * (sample - current)
            speed.at = now
        self._typical_s = median(each.request_s for each in self._speeds.values())

    def request_s(self, instance: InstanceId, now: float) -> float:
        """Return the seconds that one request more costs at an instance."""
        speed = self._speeds.get(instance)
        return self._typical_s if speed is None else self._faded(speed, now)

    def _faded(self, speed: _Speed, now: float) -> float:
        kept = math.exp(-(now - speed.at) / FORGET_S)
        return self._typical_s + kept * (speed.request_s - self._typical_s)

    def forget(self, known: set[InstanceId]) -> None:
        """Drop instances that are not in `known`."""
        self._speeds = {name: speed for name, speed in self._speeds.items() if name in known}
