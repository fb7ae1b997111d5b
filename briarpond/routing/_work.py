"""Own dispatches, by which lagging load reports are corrected."""

from collections import deque

import msgspec

from briarpond.ids import InstanceId

MAX_STEPS = 4096


class _Changes:
    """Changes of a count in order of time, with their running sum."""

    def __init__(self) -> None:
        self.count = 0
        self._steps: deque[tuple[float, int]] = deque()
        self._sum = 0

    def add(self, at: float, step: int) -> None:
        self.count += step
        if len(self._steps) >= MAX_STEPS:
            self._sum -= self._steps.popleft()[1]
        self._steps.append((at, step))
        self._sum += step

    def after(self, time: float) -> int:
        while self._steps and self._steps[0][0] <= time:
            self._sum -= self._steps.popleft()[1]
        return self._sum


class Load(msgspec.Struct, frozen=True):
    """Estimated load of an instance, in requests.

    Attributes
    ----------
    queued : float
        Requests that wait for their first byte.
    running : float
        Requests that are being answered.
    """

    queued: float
    running: float


class OwnWork:
    """Requests that this node has sent to each instance and not seen end."""

    def __init__(self) -> None:
        self._queued: dict[InstanceId, _Changes] = {}
        self._running: dict[InstanceId, _Changes] = {}

    def begin(self, instance: InstanceId, now: float) -> None:
        """Count a dispatch."""
        self._queued.setdefault(instance, _Changes()).add(now, 1)

    def first_byte(self, instance: InstanceId, now: float) -> None:
        """Count a dispatch as being answered."""
        self._queued.setdefault(instance, _Changes()).add(now, -1)
        self._running.setdefault(instance, _Changes()).add(now, 1)

    def end(self, instance: InstanceId, answered: bool, now: float) -> None:
        """Count the end of a dispatch, whose first byte had come if `answered`."""
        changes = self._running if answered else self._queued
        changes.setdefault(instance, _Changes()).add(now, -1)

    def estimate(
        self, instance: InstanceId, queued: float, running: float, reported_at: float
    ) -> Load:
        """Return the load now: the report, corrected by what was seen since.

        Never below what this node itself has there. Changes up to the time of
        the report are forgotten: reports do not go back in time.
        """
        return Load(
            _corrected(self._queued.get(instance), queued, reported_at),
            _corrected(self._running.get(instance), running, reported_at),
        )

    def forget(self, known: set[InstanceId]) -> None:
        """Drop instances that are not in `known` and have nothing of this node."""
        for table in (self._queued, self._running):
            for name in [name for name in table if name not in known and not table[name].count]:
                del table[name]


def _corrected(changes: _Changes | None, reported: float, reported_at: float) -> float:
    if changes is None:
        return reported
    return max(reported + changes.after(reported_at), float(changes.count), 0.0)
