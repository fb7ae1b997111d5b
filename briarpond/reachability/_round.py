"""One round of checks, which finds out whether this node's links or a server failed."""

import random
from collections.abc import Collection, Sequence

from briarpond.ids import InstanceId

from ._models import Check, CheckTarget
from ._sample import choose_targets

# Servers that are checked first.
FIRST_CHECKS = 2
# Servers that are checked if none of the first answers.
FURTHER_CHECKS = 3
# The others are checked if the first have not answered for this long, in seconds.
FURTHER_AFTER_S = 0.1
# With this many servers or fewer, their failure says little: a sound server may be silent for a
# second. Checks are repeated for FEW_SERVERS_S before this node counts as cut off.
FEW_SERVERS = 2
FEW_SERVERS_S = 1.5
# Pause between two checks of the same few servers, in seconds.
FEW_SERVERS_PAUSE_S = 0.1


class CheckRound:
    """Checks a few servers, then a few more if none of them answers.

    Parameters
    ----------
    failed : collection of InstanceId
        Servers that have failed already. They are checked only if there are few others.
    began_at : float
        Present time.

    Attributes
    ----------
    began_at : float
        Time at which the round began.
    checked, failures : int
        Checks that were begun, and those of them that failed.
    """

    def __init__(self, failed: Collection[InstanceId], began_at: float) -> None:
        self.began_at = began_at
        self.checked = 0
        self.failures = 0
        self._failed = frozenset(failed)
        self._tried: set[InstanceId] = set()
        self._open: set[Check] = set()
        self._next_at = began_at

    def next_checks(
        self, pool: Sequence[CheckTarget], rng: random.Random, now: float
    ) -> list[Check]:
        """Return the checks to begin now."""
        is_first = self.checked == 0
        if not is_first and self._open and now < self._next_at:
            return []
        if self._is_waiting(pool, now):
            return []
        if _are_few(pool):
            self._tried.clear()
        count = FIRST_CHECKS if is_first else FURTHER_CHECKS
        targets = choose_targets(pool, count, self._left_out(pool), rng)
        if not targets:
            return []
        checks = [Check(target, now) for target in targets]
        self._tried |= {target.server for target in targets}
        self._open |= set(checks)
        self.checked += len(checks)
        self._next_at = now + (FEW_SERVERS_PAUSE_S if _are_few(pool) else FURTHER_AFTER_S)
        return checks

    def _is_waiting(self, pool: Sequence[CheckTarget], now: float) -> bool:
        """Whether all checks of the round are under way, or the few servers were just asked."""
        if _are_few(pool):
            return bool(self._open) or now < self._next_at
        return self.checked >= FIRST_CHECKS + FURTHER_CHECKS

    def _left_out(self, pool: Sequence[CheckTarget]) -> set[InstanceId]:
        """Return the servers that are not checked: those tried, and failed ones if others do."""
        others = {target.server for target in pool} - self._failed
        if len(others) <= FEW_SERVERS:
            return self._tried
        return self._tried | self._failed

    def record_failure(self, check: Check) -> None:
        """Count a check that was not answered."""
        if check in self._open:
            self._open.discard(check)
            self.failures += 1

    def discard(self, check: Check) -> None:
        """Drop a check that says nothing; another server may be checked instead."""
        if check in self._open:
            self._open.discard(check)
            self._tried.discard(check.target.server)
            self.checked -= 1

    def is_stuck(self, now: float) -> bool:
        """Whether no check is under way though one was due; asked after `next_checks`."""
        return not self._open and now >= self._next_at

    def all_failed(self, pool: Sequence[CheckTarget], now: float) -> bool:
        """Whether enough servers were checked, and none of them has answered."""
        if self._open or self.failures == 0:
            return False
        if _are_few(pool):
            return now - self.began_at >= FEW_SERVERS_S
        nobody_is_left = {target.server for target in pool} <= self._left_out(pool)
        return nobody_is_left or self.failures >= FIRST_CHECKS + FURTHER_CHECKS


def _are_few(pool: Sequence[CheckTarget]) -> bool:
    return len(pool) <= FEW_SERVERS
