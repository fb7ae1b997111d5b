"""State of a node's links to the backend servers, decided from checks of several of them.

A server that fails raises a doubt. While there is one, a few other servers are checked: if one
answers, the links are sound and the server is to blame; if none does, this node is cut off. What
this node has seen of losses in the meantime is held, see `Reachability.verdict`.
"""

import random
from collections.abc import Callable, Sequence

from briarpond.ids import InstanceId

from ._models import CHECK_TIMEOUT_S, Check, CheckTarget, LinkState, Verdict
from ._return import ReturnWatch
from ._round import CheckRound

# Pause between a round of checks that was answered and the next one. It doubles up to
# MAX_PAUSE_S while failures go on, and is forgotten after QUIET_S without a round.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 0.5
QUIET_S = 3.0
# A check that fails this long after its timeout says nothing: this process was not running.
LATE_S = 0.15


class Reachability:
    """Decides whether this node is cut off from all backend servers.

    Nothing here has a socket; `next_checks` returns the checks to make and `record_check` takes
    their results. Without them no doubt ever ends, so `is_wired` tells whether somebody makes them.

    Attributes
    ----------
    is_wired : bool
        Whether checks are made. If not, the node never counts as cut off.
    on_doubt : callable
        Called when a failure raises a doubt.
    checked, failures : int
        Checks that have led to the last change of `is_cut_off`, and those of them that failed.
    elapsed_s : float
        Seconds from the first of these checks to a cut, or from a cut to its end.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.is_wired = False
        self.on_doubt: Callable[[], None] = lambda: None
        self.checked = 0
        self.failures = 0
        self.elapsed_s = 0.0
        self._rng = random.Random() if rng is None else rng
        self._round: CheckRound | None = None
        self._return: ReturnWatch | None = None
        self._failed: dict[InstanceId, float] = {}
        self._doubted_at = float("-inf")
        self._reached_from = float("-inf")
        self._cut_ended_at = float("-inf")
        self._next_round_at = float("-inf")
        self._pause_s = MIN_PAUSE_S

    # What is known

    def state(self) -> LinkState:
        """Return what is known of the links."""
        if self._return is not None:
            return LinkState.CUT_OFF
        in_doubt = self._doubted_at > self._reached_from
        return LinkState.IN_DOUBT if in_doubt else LinkState.REACHING

    def is_cut_off(self, now: float) -> bool:
        """Whether this node reaches no backend servers, while others may reach them."""
        return self._return is not None

    @property
    def is_checking(self) -> bool:
        """Whether checks are under way, none of which has been answered yet."""
        return self._round is not None

    def was_cut_off_since(self, at: float) -> bool:
        """Whether this node is cut off, or was at some moment since a time."""
        return self._return is not None or self._cut_ended_at >= at

    def has_other_failure(self, server: InstanceId, since: float) -> bool:
        """Whether another server failed after a time, and no connection has succeeded since."""
        return any(at >= since for name, at in self._failed.items() if name != server)

    def verdict(self, lost_at: float) -> Verdict:
        """Return what is to become of the report of a loss.

        Parameters
        ----------
        lost_at : float
            Time at which this node took something for lost.
        """
        if not self.is_wired:
            return Verdict.BELIEVE
        if self.was_cut_off_since(lost_at):
            return Verdict.DROP
        return Verdict.BELIEVE if self._reached_from >= lost_at else Verdict.HOLD

    # What is learnt

    def note_failure(self, server: InstanceId, now: float, is_urgent: bool = False) -> None:
        """Record that a server refused a connection, did not answer or broke off.

        Parameters
        ----------
        server : InstanceId
            The server.
        now : float
            Present time.
        is_urgent : bool
            Whether the next checks begin at once, however short ago the last ones were.
        """
        if not self.is_wired or self._return is not None:
            return
        if self.state() is LinkState.REACHING:
            self._failed.clear()
        if is_urgent:
            self._next_round_at = min(self._next_round_at, now)
        self._failed[server] = now
        self._doubted_at = now
        self.on_doubt()

    def note_connected(self, began_at: float, now: float) -> None:
        """Record that a new connection to a server was established.

        Connections that were there before say nothing: they may live on while new ones are
        refused.

        Parameters
        ----------
        began_at : float
            Time at which the node began to connect.
        now : float
            Present time.
        """
        self._take_answer(None, began_at, now)

    def _take_answer(self, target: CheckTarget | None, began_at: float, now: float) -> None:
        self._reached_from = max(self._reached_from, began_at)
        if self._return is not None:
            self._return.record_answer(target, now)
            self._end_cut_if_back(now)
        elif self._round is not None:
            ends_doubt = self.state() is LinkState.REACHING
            if ends_doubt or began_at >= self._round.began_at:
                self._end_round(now)

    def record_check(self, check: Check, is_answered: bool, now: float) -> None:
        """Take the result of a check."""
        if is_answered:
            self._take_answer(check.target, check.began_at, now)
            return
        is_late = now - check.began_at > CHECK_TIMEOUT_S + LATE_S
        if self._return is not None:
            if not is_late:
                self._return.record_failure(check.target)
        elif self._round is not None:
            record = self._round.discard if is_late else self._round.record_failure
            record(check)

    # What to do

    def next_checks(self, pool: Sequence[CheckTarget], now: float) -> list[Check]:
        """Decide what follows from the results so far; return the checks to begin now.

        Parameters
        ----------
        pool : sequence of CheckTarget
            The servers that may be checked.
        now : float
            Present time.
        """
        if self._return is not None:
            return self._return.next_checks(pool, self._rng, now)
        if self.state() is LinkState.REACHING:
            return []
        if not pool:
            # Nothing can be found out.
            self._reached_from = now
            self._end_round(now)
            return []
        if self._round is None and now >= self._next_round_at:
            self._round = CheckRound(self._failed, now)
        if self._round is None:
            return []
        if self._round.all_failed(pool, now):
            self._begin_cut(self._round, now)
            return []
        checks = self._round.next_checks(pool, self._rng, now)
        if self._round.is_stuck(now):
            # It would never be decided; the next step begins a new one.
            self._round = None
        return checks

    def _begin_cut(self, checks: CheckRound, now: float) -> None:
        self.checked, self.failures = checks.checked, checks.failures
        self.elapsed_s = now - checks.began_at
        self._round = None
        self._return = ReturnWatch(now)

    def _end_cut_if_back(self, now: float) -> None:
        watch = self._return
        if watch is None or not watch.is_back(now):
            return
        self.checked, self.failures = watch.answers + watch.failures, watch.failures
        self.elapsed_s = now - watch.began_at
        self._return = None
        self._cut_ended_at = now
        self._reached_from = now
        self._failed.clear()

    def _end_round(self, now: float) -> None:
        """End a round that was answered; the next one waits, longer while failures go on."""
        if now - self._next_round_at > QUIET_S:
            self._pause_s = MIN_PAUSE_S
        self._next_round_at = now + self._pause_s
        self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S)
        self._round = None
        self._failed = {
            server: at for server, at in self._failed.items() if at > self._reached_from
        }
