"""Own dispatches, by which lagging load reports are corrected."""

from collections import defaultdict, deque

from briarpond.ids import InstanceId

MAX_STEPS = 4096


class OwnWork:
    """Requests that this node has sent to each instance and not seen end."""

    def __init__(self) -> None:
        self._in_flight: dict[InstanceId, int] = defaultdict(int)
        self._changes: dict[InstanceId, _Changes] = defaultdict(_Changes)

    def begin(self, instance: InstanceId, now: float) -> None:
        """Count a dispatch."""
        self._in_flight[instance] += 1
        self._changes[instance].add(now, 1)

    def end(self, instance: InstanceId, now: float) -> None:
        """Count the end of a dispatch."""
        self._in_flight[instance] -= 1
        if self._in_flight[instance] <= 0:
            del self._in_flight[instance]
        self._changes[instance].add(now, -1)

    def in_flight(self, instance: InstanceId) -> int:
        """Return the requests of this node that the instance is serving."""
        return self._in_flight.get(instance, 0)

    def since(self, instance: InstanceId, time: float) -> int:
        """Return dispatches less ends after `time`, the time of the newest report.

        Changes up to `time` are forgotten: reports do not go back in time.
        """
        changes = self._changes.get(instance)
        return changes.after(time) if changes is not None else 0

    def estimate(self, instance: InstanceId, reported: float, reported_at: float) -> float:
        """Return the load now: the report, corrected by what was sent since.

        Never below what this node itself has in flight there.
        """
        corrected = reported + self.since(instance, reported_at)
        return max(corrected, float(self.in_flight(instance)))


class _Changes:
    """Dispatches and ends in order of time, with their running sum."""

    def __init__(self) -> None:
        self._steps: deque[tuple[float, int]] = deque()
        self._sum = 0

    def add(self, at: float, step: int) -> None:
        if len(self._steps) >= MAX_STEPS:
            self._sum -= self._steps.popleft()[1]
        self._steps.append((at, step))
        self._sum += step

    def after(self, time: float) -> int:
        while self._steps and self._steps[0][0] <= time:
            self._sum -= self._steps.popleft()[1]
        return self._sum
