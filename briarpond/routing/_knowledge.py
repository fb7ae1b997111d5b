"""Routing state of one node, and the first-byte times that are estimated from it."""

import msgspec

from ._models import Candidate, PrefillEstimate
from ._prefix import PrefixCacheTracker
from ._speed import SlownessTable
from ._work import LoadEstimate, OwnLoadTracker

# Fraction of the prefix's prefill that is expected to be saved at a candidate to which this
# node sent the prefix recently.
CACHED_FRACTION_IF_SENT = 0.9
# The same at a preferred candidate, to which other nodes send the prefix.
CACHED_FRACTION_IF_PREFERRED = 0.6
# Seconds of a prefill that do not depend on the length of the prompt.
FIXED_PREFILL_S = 0.005
# Weight of the newest request in the moving average of the prefill times.
SMOOTHING_FACTOR = 0.05
# Seconds that a request waits for a slot, for each request beyond the slots.
WAIT_PER_EXCESS_REQUEST_S = 0.5


class FirstByteEstimate(msgspec.Struct, frozen=True):
    """Expected time to the first byte of a request at one candidate.

    Attributes
    ----------
    base_s : float
        Seconds expected from queue and prompt alone; measured times are compared with it.
    total_s : float
        `base_s` times the measured slowness of the instance, plus the network latency.
    prefill_s : float
        Seconds of the request's own prefill, by which it delays the requests after it.
    """

    base_s: float
    total_s: float
    prefill_s: float


class RoutingState:
    """State that a node's choices depend on.

    Attributes
    ----------
    own_load : OwnLoadTracker
        Attempts of this node at each instance.
    slowness : SlownessTable
        Measured slowness of each instance.
    prefix_cache : PrefixCacheTracker
        Prompt prefixes that each instance probably has cached.
    """

    def __init__(self) -> None:
        self.own_load = OwnLoadTracker()
        self.slowness = SlownessTable()
        self.prefix_cache = PrefixCacheTracker()
        self._mean_prefill_s = FIXED_PREFILL_S

    def estimate_load(self, candidate: Candidate) -> LoadEstimate:
        """Return the reported load of a candidate, corrected by this node's attempts since."""
        return self.own_load.estimate(
            candidate.target.instance, candidate.queued, candidate.running, candidate.reported_at
        )

    def estimate_first_byte(
        self,
        candidate: Candidate,
        prefill: PrefillEstimate,
        is_preferred: bool,
        slots: int,
        now: float,
    ) -> FirstByteEstimate:
        """Return the expected time to the first byte of a request at a candidate.

        Parameters
        ----------
        candidate : Candidate
            Where the request would go.
        prefill : PrefillEstimate
            Prefix of the prompt and the expected time of its prefill.
        is_preferred : bool
            Whether the candidate is a preferred one of the prefix, where it is more
            likely to be cached.
        slots : int
            Requests that the candidate handles at once; further ones wait there for a slot.
        now : float
            Monotonic time in seconds.
        """
        instance = candidate.target.instance
        load = self.estimate_load(candidate)
        excess = max(0.0, load.queued + load.running + 1 - slots)
        prefill_s = self._prefill_s(candidate, prefill, is_preferred, now)
        base_s = load.queued * self._mean_prefill_s + prefill_s + excess * WAIT_PER_EXCESS_REQUEST_S
        factor = self.slowness.factor(instance, now)
        return FirstByteEstimate(base_s, base_s * factor + candidate.latency_s, prefill_s)

    def record_prefill(
        self, candidate: Candidate, prefill: PrefillEstimate, is_preferred: bool, now: float
    ) -> None:
        """Add the expected prefill of a request that is sent to the mean over requests."""
        prefill_s = self._prefill_s(candidate, prefill, is_preferred, now)
        self._mean_prefill_s += SMOOTHING_FACTOR * (prefill_s - self._mean_prefill_s)

    def _prefill_s(
        self, candidate: Candidate, prefill: PrefillEstimate, is_preferred: bool, now: float
    ) -> float:
        cached_fraction = CACHED_FRACTION_IF_PREFERRED if is_preferred else 0.0
        if prefill.prefix_digest is not None and self.prefix_cache.is_cached(
            candidate.target.instance, prefill.prefix_digest, now
        ):
            cached_fraction = CACHED_FRACTION_IF_SENT
        return (
            FIXED_PREFILL_S
            + prefill.rest_prefill_s
            + (1.0 - cached_fraction) * prefill.prefix_prefill_s
        )
