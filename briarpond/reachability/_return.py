"""When a node that was cut off from the backend servers counts as back."""

import random
from collections.abc import Sequence

from briarpond.ids import DataCentre

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
# It is back as well when the servers of one data centre have answered that often in a row, for
# BACK_AFTER_S at least: all others may be dead. Links that let one check in three through by
# chance give such a row once in 6,561 tries.
BACK_ANSWERS_IN_A_ROW = 8


class _AnswersInARow:
    """Answers of the servers of one data centre since the last check that failed there."""

    def __init__(self, since: float) -> None:
        self.since = since
        self.count = 0

    def is_steady(self, now: float) -> bool:
        """Whether there were enough of them for long enough."""
        return self.count >= BACK_ANSWERS_IN_A_ROW and now - self.since >= BACK_AFTER_S


class ReturnWatch:
    """Checks a few servers at an interval until they have answered for a while.

    Most checks must have been answered, or all of one data centre. The servers of the others may be
    dead, which says nothing about the links of this node.

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
        self._rows: dict[DataCentre, _AnswersInARow] = {}
        self._next_at = now + CHECK_INTERVAL_S

    def next_checks(
        self, pool: Sequence[CheckTarget], rng: random.Random, now: float
    ) -> list[Check]:
        """Return the checks to begin now."""
        if now < self._next_at:
            return []
        is_answered = self._answering_since is not None or bool(self._rows)
        self._next_at = now + (RETURN_INTERVAL_S if is_answered else CHECK_INTERVAL_S)
        return [Check(target, now) for target in choose_targets(pool, CHECKS_AT_ONCE, (), rng)]

    def record_answer(self, target: CheckTarget | None, now: float) -> None:
        """Count a new connection that was established; None if no check opened it."""
        if self._answering_since is None:
            self._answering_since = now
            self._next_at = min(self._next_at, now + RETURN_INTERVAL_S)
        self.answers += 1
        if target is not None:
            row = self._rows.setdefault(target.data_centre, _AnswersInARow(now))
            row.count += 1

    def record_failure(self, target: CheckTarget) -> None:
        """Count a check that was not answered; the row of answers of its data centre ends."""
        self._rows.pop(target.data_centre, None)
        self.failures += 1
        if self.failures > self.answers or self._answering_since is None:
            self._answering_since = None
            self.answers = self.failures = 0

    def is_back(self, now: float) -> bool:
        """Whether most checks, or all of a data centre, have been answered for long enough."""
        return self._are_most_answered(now) or any(
            row.is_steady(now) for row in self._rows.values()
        )

    def _are_most_answered(self, now: float) -> bool:
        if self._answering_since is None or self.answers < BACK_ANSWERS:
            return False
        is_steady = self.answers >= 2 * self.failures
        return is_steady and now - self._answering_since >= BACK_AFTER_S
