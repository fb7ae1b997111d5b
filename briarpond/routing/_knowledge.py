"""What one node knows when it chooses, and the first-byte time it expects."""

import msgspec

from ._models import Candidate, Hint
from ._prefix import PrefixBeliefs
from ._speed import SpeedTable
from ._work import Load, OwnWork

CACHED_IF_SENT = 0.9
CACHED_IF_HOME = 0.6
FIXED_S = 0.005
TYPICAL_WEIGHT = 0.05
SLOT_WAIT_S = 0.5


class Expectation(msgspec.Struct, frozen=True):
    """Expected time to the first byte, before and after the instance's own slowness.

    Attributes
    ----------
    plain_s : float
        By queue and prompt alone, seconds.
    wait_s : float
        With the measured slowness and the way there, seconds.
    prefill_s : float
        The request's own part: what it takes from those who come after it.
    """

    plain_s: float
    wait_s: float
    prefill_s: float


class Knowledge:
    """Own work, speeds, prefix beliefs, and the typical prefill of a request."""

    def __init__(self) -> None:
        self.own = OwnWork()
        self.speeds = SpeedTable()
        self.beliefs = PrefixBeliefs()
        self._typical_s = FIXED_S

    def load(self, candidate: Candidate) -> Load:
        """Return the corrected load of a candidate."""
        return self.own.estimate(
            candidate.target.instance, candidate.queued, candidate.running, candidate.reported_at
        )

    def expect(
        self, candidate: Candidate, hint: Hint, is_home: bool, slots: int, now: float
    ) -> Expectation:
        """Return the first-byte time to expect of a candidate."""
        instance = candidate.target.instance
        load = self.load(candidate)
        over = max(0.0, load.queued + load.running + 1 - slots)
        own_s = self._prefill_s(candidate, hint, is_home, now)
        plain_s = load.queued * self._typical_s + own_s + over * SLOT_WAIT_S
        factor = self.speeds.factor(instance, now)
        return Expectation(plain_s, plain_s * factor + candidate.distance_s, own_s)

    def note_prefill(self, candidate: Candidate, hint: Hint, is_home: bool, now: float) -> None:
        """Learn what a dispatched request typically costs."""
        own_s = self._prefill_s(candidate, hint, is_home, now)
        self._typical_s += TYPICAL_WEIGHT * (own_s - self._typical_s)

    def _prefill_s(self, candidate: Candidate, hint: Hint, is_home: bool, now: float) -> float:
        cached = CACHED_IF_HOME if is_home else 0.0
        if hint.prefix is not None and self.beliefs.holds(
            candidate.target.instance, hint.prefix, now
        ):
            cached = CACHED_IF_SENT
        return FIXED_S + hint.rest_s + (1.0 - cached) * hint.prefix_s
