"""Decides whether crashes are a part's doing or may have come together by chance."""

from collections.abc import Iterable
from itertools import pairwise

import msgspec

from ._crashes import RATE_WINDOW_S

# A request can be blamed for this long: until its server begins to write, and a second more.
EXPOSURE_S = 1.5
# A part is to blame if its crashes would come together by chance less often than this.
MAX_CHANCE = 1e-3
# One crash never tells a part from its neighbours.
MIN_CRASHES = 2
# Servers that end within this time of each other have probably one cause, and count once.
SAME_CAUSE_S = 0.15
# A part that was survived this shortly before its last crash is not blamed: word of another
# answer since then may still be under way.
RECENT_SURVIVAL_S = 2.0
# Different requests that must share a part, unless the part belongs to one request alone. A part
# that used to be harmless needs one more: others may be aboard only because they are common.
MIN_REQUESTS = 2


class Case(msgspec.Struct, frozen=True):
    """What speaks for and against a part.

    Attributes
    ----------
    crashes : int
        Crashes with the part since it was last survived, which no other part accounts for;
        servers that ended together count once.
    requests : int
        Different requests among them.
    is_own : bool
        Whether the part is the last one of all its requests, and so belongs to one request
        or session.
    depth : float
        Mean position of the part in the prompts of these requests. Of two parts that always
        come together, the later one is the more specific.
    survived_before_s : float or None
        How long before the last of these crashes the part was survived; None if never.
    other_crashes : int
        Recent crashes without the part, which no other part accounts for.
    groups : int
        Number of groups that serve.
    """

    crashes: int
    requests: int
    is_own: bool
    depth: float
    survived_before_s: float | None
    other_crashes: int
    groups: int

    @property
    def chance(self) -> float:
        """Probability that the crashes hit a harmless part, between 0 and 1.

        It follows from how often servers end for other reasons: a domain that goes dark makes
        all losses of that time weak evidence.
        """
        rate = (self.other_crashes + 1) * EXPOSURE_S / (max(1, self.groups) * RATE_WINDOW_S)
        return min(1.0, rate) ** self._counted_crashes

    @property
    def is_suspicious(self) -> bool:
        """Whether several crashes came with the part, which was not survived just before."""
        if self._counted_crashes < MIN_CRASHES:
            return False
        return self.survived_before_s is None or self.survived_before_s >= RECENT_SURVIVAL_S

    @property
    def to_blame(self) -> bool:
        """Whether requests with the part should no longer be sent."""
        if not self.is_suspicious:
            return False
        needed_requests = MIN_REQUESTS + int(self.survived_before_s is not None)
        if not self.is_own and self.requests < needed_requests:
            return False
        return self.chance <= MAX_CHANCE

    @property
    def _counted_crashes(self) -> int:
        """Crashes that count; a part that used to be harmless needs one more."""
        return self.crashes - int(self.survived_before_s is not None)


def count_causes(crashed_at: Iterable[float]) -> int:
    """Return the number of crashes, given by their times, without those that came together."""
    times = sorted(crashed_at)
    gaps = [later - earlier for earlier, later in pairwise(times)]
    return int(bool(times)) + sum(1 for gap in gaps if gap > SAME_CAUSE_S)
