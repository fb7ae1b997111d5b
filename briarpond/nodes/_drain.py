"""Graceful shutdown of a node.

SERVING -> LEAVING: the address is no longer given out, requests are still taken.
LEAVING -> CLOSING: what callers hold has run out; new requests are refused.
CLOSING -> STOPPED: nothing is in flight any more, or the limit has come.
"""

from enum import Enum


class DrainStage(Enum):
    """How far the shutdown has come."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"
    STOPPED = "stopped"


class Drain:
    """Shutdown of one node.

    Parameters
    ----------
    spread_s : float
        Time for other nodes to learn that this one leaves, seconds.
    entry_ttl_s : float
        How long callers keep an answer with entry addresses, seconds.
    limit_s : float
        Longest time from the first signal to the end, seconds.
    """

    def __init__(self, spread_s: float, entry_ttl_s: float, limit_s: float) -> None:
        self.stage = DrainStage.SERVING
        self.forced = False
        self._spread_s = spread_s
        self._entry_ttl_s = entry_ttl_s
        self._limit_s = limit_s
        self._began_at = 0.0
        self._known_at: float | None = None

    @property
    def accepts(self) -> bool:
        """Whether new requests are taken."""
        return self.stage in (DrainStage.SERVING, DrainStage.LEAVING)

    @property
    def leaving(self) -> bool:
        """Whether the shutdown has begun."""
        return self.stage is not DrainStage.SERVING

    def begin(self, now: float) -> None:
        """Begin on the first signal; force the end on a second one."""
        if self.stage is not DrainStage.SERVING:
            self.forced = True
            return
        self.stage = DrainStage.LEAVING
        self._began_at = now

    def on_known(self, now: float) -> None:
        """Learn that the log carries the announcement."""
        if self._known_at is None:
            self._known_at = now

    def on_tick(self, now: float, in_flight: int) -> DrainStage:
        """Advance as far as `now` and the requests in flight allow."""
        if self.stage is DrainStage.SERVING:
            return self.stage
        if self.forced or now - self._began_at >= self._limit_s:
            self.forced = True
            self.stage = DrainStage.STOPPED
            return self.stage
        if self.stage is DrainStage.LEAVING and now >= self._close_at():
            self.stage = DrainStage.CLOSING
        if self.stage is DrainStage.CLOSING and in_flight == 0:
            self.stage = DrainStage.STOPPED
        return self.stage

    def _close_at(self) -> float:
        """Return when no caller can hold this node's address any more.

        Until the log carries the announcement, only peers spread it; the wait
        then runs from the begin, with the time to spread counted twice.
        """
        if self._known_at is not None:
            return self._known_at + self._spread_s + self._entry_ttl_s
        return self._began_at + 2 * self._spread_s + self._entry_ttl_s
