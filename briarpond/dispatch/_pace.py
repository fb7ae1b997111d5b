"""Which heads pass their events far more slowly than others of the same model."""

from collections import defaultdict
from statistics import median

import msgspec

from briarpond.ids import InstanceId
from briarpond.routes import ModelName

WEIGHT = 0.2
MIN_EVENTS = 8
MIN_HEADS = 3
SLOW_FACTOR = 2.5
# What was seen of a head is of use for this long.
FRESH_S = 2.0


class _Pace(msgspec.Struct):
    model: ModelName
    gap_s: float
    events: int
    at: float


class PaceBook:
    """Mean pause between events of a stream, by head."""

    def __init__(self) -> None:
        self._heads: dict[InstanceId, _Pace] = {}

    def note(self, head: InstanceId, model: ModelName, gap_s: float, now: float) -> None:
        """An event has come `gap_s` after the one before it."""
        known = self._heads.get(head)
        if known is None or now - known.at > FRESH_S:
            self._heads[head] = _Pace(model, gap_s, 1, now)
            return
        known.gap_s += WEIGHT * (gap_s - known.gap_s)
        known.events += 1
        known.at = now

    def forget(self, head: InstanceId) -> None:
        """Begin anew with a head that was found slow."""
        self._heads.pop(head, None)

    def slow(self, now: float) -> list[InstanceId]:
        """Return heads that are far slower than the median of their model."""
        rows: dict[ModelName, list[tuple[InstanceId, float]]] = defaultdict(list)
        for head, pace in self._heads.items():
            if now - pace.at <= FRESH_S and pace.events >= MIN_EVENTS:
                rows[pace.model].append((head, pace.gap_s))
        found = []
        for paces in rows.values():
            if len(paces) < MIN_HEADS:
                continue
            usual = median(gap for _, gap in paces)
            found += [head for head, gap in paces if gap > SLOW_FACTOR * usual]
        return found
