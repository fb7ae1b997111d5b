"""Finds heads whose streams are far slower than those of other heads of the same model.

A head may itself be fast and still have slow streams, because another member of its group
is slow.
"""

from collections import defaultdict
from statistics import median

import msgspec

from briarpond.ids import InstanceId
from briarpond.routes import ModelName

# Weight of the newest gap in the moving average of a head.
SMOOTHING_FACTOR = 0.2
# Gaps that must be measured before a head is compared with others.
MIN_SAMPLES = 8
# Heads of one model that are needed for a comparison.
MIN_COMPARED_HEADS = 3
# A head is slow if its mean gap is longer than this multiple of the median of its model.
SLOW_GAP_FACTOR = 2.5
# Seconds after its last event after which the mean gap of a head is discarded.
MAX_SAMPLE_AGE_S = 2.0


class _HeadGap(msgspec.Struct):
    """Moving average of the gaps between the events of one head.

    Attributes
    ----------
    model : ModelName
        Model that the group of the head hosts.
    mean_gap_s : float
        Moving average in seconds.
    samples : int
        Gaps that went into the average.
    updated_at : float
        Monotonic time of the last event.
    """

    model: ModelName
    mean_gap_s: float
    samples: int
    updated_at: float


class EventGapTracker:
    """Mean gap between the events of streams, for each head."""

    def __init__(self) -> None:
        self._heads: dict[InstanceId, _HeadGap] = {}

    def record_gap(self, head: InstanceId, model: ModelName, gap_s: float, now: float) -> None:
        """Record an event that came `gap_s` seconds after the one before it in its stream."""
        average = self._heads.get(head)
        if average is None or now - average.updated_at > MAX_SAMPLE_AGE_S:
            self._heads[head] = _HeadGap(model, gap_s, 1, now)
            return
        average.mean_gap_s += SMOOTHING_FACTOR * (gap_s - average.mean_gap_s)
        average.samples += 1
        average.updated_at = now

    def reset(self, head: InstanceId) -> None:
        """Discard the average of a head, so that only new events count."""
        self._heads.pop(head, None)

    def slow_heads(self, now: float) -> list[InstanceId]:
        """Return the heads whose mean gap is far above the median of their model."""
        gaps_by_model: dict[ModelName, list[tuple[InstanceId, float]]] = defaultdict(list)
        for head, gap in self._heads.items():
            if now - gap.updated_at <= MAX_SAMPLE_AGE_S and gap.samples >= MIN_SAMPLES:
                gaps_by_model[gap.model].append((head, gap.mean_gap_s))
        slow = []
        for gaps in gaps_by_model.values():
            if len(gaps) < MIN_COMPARED_HEADS:
                continue
            median_gap_s = median(mean_s for _, mean_s in gaps)
            slow += [head for head, mean_s in gaps if mean_s > SLOW_GAP_FACTOR * median_gap_s]
        return slow
