"""When a node that was cut off from the backend servers counts as back."""

import random
from collections.abc import Sequence

from ._models import Check, CheckTarget
from ._sample import choose_targets

# Servers that are checked at once while a node is cut off, and how often, in seconds.
CHECKS_AT_ONCE = 2
CHECK_INTERVAL_S = 0.2
# The same once a server has answered.
RETURN_INTERVAL_S = 0.1
# A node is back when servers have answered for this long, in seconds, and that often.
BACK_AFTER_S = 0.3
BACK_ANSWERS = 3


class ReturnWatch:
    """Checks a few servers at an interval until most of them have answered for a while.

    Parameters
    ----------
    now : float
        Time at which the node was found cut off.

    Attributes
    ----------
    began_at : float
        Time at which the node was found cut off.
    answers, failures : int
        Checks since the first answer that were answered, and those that failed.
    """

    def __init__(self, now: float) -> None:
        self.began_at = now
        self.answers = 0
        self.failures = 0
        self._answering_since: float | None = None
        self._next_at = now + CHECK_INTERVAL_S

    def next_checks(
        self, pool: Sequence[CheckTarget], rng: random.Random, now: float
    ) -> list[Check]:
        """Return the checks to begin now."""
        if now < self._next_at:
            return []
        is_answered = self._answering_since is not None
        self._next_at = now + (RETURN_INTERVAL_S if is_answered else CHECK_INTERVAL_S)
        return [Check(target, now) for target in choose_targets(pool, CHECKS_AT_ONCE, (), rng)]

    def record_answer(self, now: float) -> None:
        """Count a new connection that was established."""
        if self._answering_since is None:
            self._answering_since = now
            self._next_at = min(self._next_at, now + RETURN_INTERVAL_S)
        self.answers += 1

    def record_failure(self) -> None:
        """Count a check that was not answered; most must be, or the node is not on its way back."""
        self.failures += 1
        if self.failures > self.answers or self._answering_since is None:
            self._answering_since = None
            self.answers = self.failures = 0

    def is_back(self, now: float) -> bool:
        """Whether most checks have been answered for long enough."""
        if self._answering_since is None or self.answers < BACK_ANSWERS:
            return False
        is_steady = self.answers >= 2 * self.failures
        return is_steady and now - self._answering_since >= BACK_AFTER_S
