"""Attempts of this node in flight, with which late load reports are corrected."""

from collections import deque

import msgspec

from briarpond.ids import InstanceId

# Changes kept for each count; the oldest ones are dropped beyond it.
MAX_CHANGES = 4096


class _CountHistory:
    """A count and its recent changes in the order of time.

    Attributes
    ----------
    count : int
        The count now.
    """

    def __init__(self) -> None:
        self.count = 0
        self._changes: deque[tuple[float, int]] = deque()
        self._sum = 0

    def add(self, at: float, change: int) -> None:
        """Change the count at a monotonic time not before that of the last change."""
        self.count += change
        if len(self._changes) >= MAX_CHANGES:
            self._sum -= self._changes.popleft()[1]
        self._changes.append((at, change))
        self._sum += change

    def sum_after(self, time: float) -> int:
        """Return the sum of the changes after `time`, and drop those up to it."""
        while self._changes and self._changes[0][0] <= time:
            self._sum -= self._changes.popleft()[1]
        return self._sum


class LoadEstimate(msgspec.Struct, frozen=True):
    """Estimated load of an instance.

    Attributes
    ----------
    queued : float
        Requests that wait for their first byte.
    running : float
        Requests that are being answered.
    """

    queued: float
    running: float


class OwnLoadTracker:
    """Attempts that this node has sent to each instance and that have not ended."""

    def __init__(self) -> None:
        self._queued: dict[InstanceId, _CountHistory] = {}
        self._running: dict[InstanceId, _CountHistory] = {}

    def record_sent(self, instance: InstanceId, now: float) -> None:
        """Record that an attempt is sent."""
        self._queued.setdefault(instance, _CountHistory()).add(now, 1)

    def record_first_byte(self, instance: InstanceId, now: float) -> None:
        """Record the first byte of an answer: the attempt no longer waits but runs."""
        self._queued.setdefault(instance, _CountHistory()).add(now, -1)
        self._running.setdefault(instance, _CountHistory()).add(now, 1)

    def record_end(self, instance: InstanceId, answered: bool, now: float) -> None:
        """Record the end of an attempt; `answered` is whether its first byte had come."""
        by_instance = self._running if answered else self._queued
        by_instance.setdefault(instance, _CountHistory()).add(now, -1)

    def estimate(
        self, instance: InstanceId, queued: float, running: float, reported_at: float
    ) -> LoadEstimate:
        """Return the present load: the reported one and this node's changes since then.

        The estimate is never below the number of this node's own attempts. Changes up to
        the time of the report are dropped, because reports do not go back in time.

        Parameters
        ----------
        instance : InstanceId
            Plain server, or head of the group.
        queued : float
            Requests that waited for their first byte, by the report.
        running : float
            Requests that were being answered, by the report.
        reported_at : float
            Monotonic time to which the report refers.
        """
        return LoadEstimate(
            _corrected(self._queued.get(instance), queued, reported_at),
            _corrected(self._running.get(instance), running, reported_at),
        )

    def prune(self, listed: set[InstanceId]) -> None:
        """Drop instances that are not in `listed` and have no attempt of this node in flight."""
        for histories in (self._queued, self._running):
            for name in [
                name for name in histories if name not in listed and not histories[name].count
            ]:
                del histories[name]


def _corrected(history: _CountHistory | None, reported: float, reported_at: float) -> float:
    if history is None:
        return reported
    return max(reported + history.sum_after(reported_at), float(history.count), 0.0)
