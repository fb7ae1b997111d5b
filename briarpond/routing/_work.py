"""Own dispatches, by which lagging load reports are corrected."""

from collections import defaultdict, deque

from briarpond.ids import InstanceId

KEPT_S = 30.0


class OwnWork:
    """Requests that this node has sent to each instance and not seen end."""

    def __init__(self) -> None:
        self._in_flight: dict[InstanceId, int] = defaultdict(int)
        self._changes: dict[InstanceId, deque[tuple[float, int]]] = defaultdict(deque)

    def begin(self, instance: InstanceId, now: float) -> None:
        """Count a dispatch."""
        self._in_flight[instance] += 1
        self._note(instance, now, 1)

    def end(self, instance: InstanceId, now: float) -> None:
        """Count the end of a dispatch."""
        self._in_flight[instance] -= 1
        if self._in_flight[instance] <= 0:
            del self._in_flight[instance]
        self._note(instance, now, -1)

    def in_flight(self, instance: InstanceId) -> int:
        """Return the requests of this node that the instance is serving."""
        return self._in_flight.get(instance, 0)

    def since(self, instance: InstanceId, time: float) -> int:
        """Return dispatches less ends after `time`."""
        changes = self._changes.get(instance)
        return sum(step for at, step in changes if at > time) if changes else 0

    def estimate(self, instance: InstanceId, reported: float, reported_at: float) -> float:
        """Return the load now: the report, corrected by what was sent since.

        Never below what this node itself has in flight there.
        """
        corrected = reported + self.since(instance, reported_at)
        return max(corrected, float(self.in_flight(instance)))

    def _note(self, instance: InstanceId, now: float, step: int) -> None:
        changes = self._changes[instance]
        changes.append((now, step))
        while changes and now - changes[0][0] > KEPT_S:
            changes.popleft()
