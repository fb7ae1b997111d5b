"""Finds heads whose streams are far slower than those of other heads of the same model.

A head may itself be fast and still have slow streams, because another member of its group
is slow.
"""

from collections import defaultdict
from collections.abc import Container
from statistics import median

import msgspec

from briarpond.ids import InstanceId
from briarpond.routes import HostedModel

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
# Least weight of the newest gap in the pace of a head: an answer has some twenty gaps.
PACE_SMOOTHING_FACTOR = 0.05
# Time without gaps after which the logarithm of a pace has halved.
PACE_HALF_LIFE_S = 10.0
# Largest factor by which a group counts as slower or faster than its peers.
MAX_PACE = 8.0


class _HeadGap(msgspec.Struct):
    """Moving average of the gaps between the events of one head.

    Attributes
    ----------
    hosted : HostedModel
        Service and model of the head's group; only heads with the same one are compared.
    mean_gap_s : float
        Moving average in seconds.
    samples : int
        Gaps that went into the average.
    updated_at : float
        Monotonic time of the last event.
    """

    hosted: HostedModel
    mean_gap_s: float
    samples: int
    updated_at: float


class EventGapTracker:
    """Mean gap between the events of streams, for each head."""

    def __init__(self) -> None:
        self._heads: dict[InstanceId, _HeadGap] = {}

    def record_gap(self, head: InstanceId, hosted: HostedModel, gap_s: float, now: float) -> None:
        """Record an event that came `gap_s` seconds after the one before it in its stream."""
        average = self._heads.get(head)
        if average is None or now - average.updated_at > MAX_SAMPLE_AGE_S:
            self._heads[head] = _HeadGap(hosted, gap_s, 1, now)
            return
        average.mean_gap_s += SMOOTHING_FACTOR * (gap_s - average.mean_gap_s)
        average.samples += 1
        average.updated_at = now

    def reset(self, head: InstanceId) -> None:
        """Discard the average of a head, so that only new events count."""
        self._heads.pop(head, None)

    def slow_heads(self, now: float) -> list[InstanceId]:
        """Return the heads whose mean gap is far above the median of those of their model."""
        gaps_by_model: dict[HostedModel, list[tuple[InstanceId, float]]] = defaultdict(list)
        for head, gap in self._heads.items():
            if now - gap.updated_at <= MAX_SAMPLE_AGE_S and gap.samples >= MIN_SAMPLES:
                gaps_by_model[gap.hosted].append((head, gap.mean_gap_s))
        slow = []
        for gaps in gaps_by_model.values():
            if len(gaps) < MIN_COMPARED_HEADS:
                continue
            median_gap_s = median(mean_s for _, mean_s in gaps)
            slow += [head for head, mean_s in gaps if mean_s > SLOW_GAP_FACTOR * median_gap_s]
        return slow


class _HeadPace(msgspec.Struct):
    """Moving average of the gaps of one head, in multiples of the expected step.

    Attributes
    ----------
    hosted : HostedModel
        Service and model of the head's group.
    mean : float
        Moving average.
    samples : int
        Gaps that went into the average.
    updated_at : float
        Monotonic time of the last one.
    """

    hosted: HostedModel
    mean: float
    samples: int
    updated_at: float


class StepPaces:
    """Step times of groups, as multiples of those of their peers.

    A gap is compared with the step that the configured figures give for the requests in flight,
    so that a full group does not look slow. Events hold the same number of tokens everywhere,
    which cancels out.
    """

    def __init__(self) -> None:
        self._heads: dict[InstanceId, _HeadPace] = {}

    def record_gap(
        self,
        head: InstanceId,
        hosted: HostedModel,
        gap_s: float,
        expected_step_s: float,
        now: float,
    ) -> None:
        """Record the time between two events where a decode step is expected to take a time."""
        multiple = gap_s / max(expected_step_s, 1e-6)
        pace = self._heads.get(head)
        if pace is None or pace.hosted != hosted:
            self._heads[head] = _HeadPace(hosted, multiple, 1, now)
            return
        weight = max(PACE_SMOOTHING_FACTOR, 1 / (pace.samples + 1))
        pace.mean += weight * (multiple - pace.mean)
        pace.samples += 1
        pace.updated_at = now

    def pace(self, head: InstanceId, now: float) -> float:
        """Return the step time of a head's group in multiples of the median of its model.

        Only heads of the same service are compared. The result is 1 while too little is known,
        and returns to 1 when no gaps are measured, so that a group is tried again.
        """
        own = self._heads.get(head)
        if own is None or own.samples < MIN_SAMPLES:
            return 1.0
        means = [
            each.mean
            for each in self._heads.values()
            if each.hosted == own.hosted and each.samples >= MIN_SAMPLES
        ]
        if len(means) < MIN_COMPARED_HEADS:
            return 1.0
        ratio = own.mean / median(means)
        trust = 0.5 ** ((now - own.updated_at) / PACE_HALF_LIFE_S)
        return float(min(MAX_PACE, max(1 / MAX_PACE, ratio)) ** trust)

    def prune(self, heads: Container[InstanceId]) -> None:
        """Forget the heads that are not in `heads`."""
        self._heads = {head: pace for head, pace in self._heads.items() if head in heads}
