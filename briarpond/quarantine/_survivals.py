"""When each prompt part was last seen to be harmless."""

from collections import OrderedDict

from briarpond.ids import PromptPart

# Parts that are remembered, the most recently survived ones.
MAX_SURVIVALS = 4096
# How long a survival is remembered.
SURVIVAL_LIFETIME_S = 60.0


class SurvivalLog:
    """Time at which a server last began an answer on a part that it then completed."""

    def __init__(self) -> None:
        self._survived_at: OrderedDict[PromptPart, float] = OrderedDict()

    def add(self, part: PromptPart, at: float) -> bool:
        """Record a survival; return whether it is later than the one that was known."""
        known_at = self._survived_at.get(part)
        if known_at is not None and known_at >= at:
            return False
        self._survived_at[part] = at
        self._survived_at.move_to_end(part)
        if len(self._survived_at) > MAX_SURVIVALS:
            self._survived_at.popitem(last=False)
        return True

    def last(self, part: PromptPart, now: float) -> float:
        """Return the time of the last survival; minus infinity if none is remembered."""
        at = self._survived_at.get(part)
        return at if at is not None and now - at <= SURVIVAL_LIFETIME_S else float("-inf")
