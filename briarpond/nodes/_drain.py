"""Graceful shutdown of a node, in stages.

SERVING -> LEAVING: the address is no longer given to callers; requests are accepted.
LEAVING -> CLOSING: every list with the address has expired; new requests are refused.
CLOSING -> STOPPED: no request is in flight, and callers have all complete answers.

From any stage but SERVING, a second signal or the time limit leads to STOPPED.
"""

from enum import Enum


class DrainStage(Enum):
    """Stage of the shutdown; the module docstring describes the transitions."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSING = "closing"
    STOPPED = "stopped"


class Drain:
    """State of the shutdown of one node.

    Times passed to the methods are monotonic, in seconds.

    Parameters
    ----------
    propagation_s : float
        Time in seconds within which other nodes learn that this node is leaving.
    entry_ttl_s : float
        Time in seconds for which callers keep a list of entry addresses.
    limit_s : float
        Longest time in seconds from the first signal until the node stops.

    Attributes
    ----------
    stage : DrainStage
        Stage that the shutdown has reached.
    forced : bool
        Whether the node stops without waiting for requests in flight, after a second
        signal or at the time limit.
    """

    def __init__(self, propagation_s: float, entry_ttl_s: float, limit_s: float) -> None:
        self.stage = DrainStage.SERVING
        self.forced = False
        self._propagation_s = propagation_s
        self._entry_ttl_s = entry_ttl_s
        self._limit_s = limit_s
        self._began_at = 0.0
        self._announced_at: float | None = None

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are accepted."""
        return self.stage in (DrainStage.SERVING, DrainStage.LEAVING)

    @property
    def leaving(self) -> bool:
        """Whether the shutdown has begun; the address is no longer given to callers."""
        return self.stage is not DrainStage.SERVING

    def can_finish(self, expires_at: float, longest_s: float, now: float) -> bool:
        """Whether a request ends before the node does; always while the node serves.

        Parameters
        ----------
        expires_at : float
            Time of the request's deadline.
        longest_s : float
            Seconds that the request takes at most, as far as known.
        """
        if not self.leaving:
            return True
        return min(expires_at, now + longest_s) <= self._began_at + self._limit_s

    def begin(self, now: float) -> None:
        """Begin the shutdown on the first signal; force it on a second one."""
        if self.stage is not DrainStage.SERVING:
            self.forced = True
            return
        self.stage = DrainStage.LEAVING
        self._began_at = now

    def on_announced(self, now: float) -> None:
        """Record that the log contains the announcement that this node is leaving."""
        if self._announced_at is None:
            self._announced_at = now

    def on_tick(self, now: float, in_flight: int) -> DrainStage:
        """Advance the shutdown and return the stage reached.

        Parameters
        ----------
        in_flight : int
            Number of requests that this node is handling, or whose complete answer the
            caller has not got yet.
        """
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
        """Return the time at which every entry list with this node's address has expired.

        While the log does not contain the announcement, other nodes learn of it from
        peers only: the wait then counts from the start of the shutdown and includes the
        propagation time twice.
        """
        if self._announced_at is not None:
            return self._announced_at + self._propagation_s + self._entry_ttl_s
        return self._began_at + 2 * self._propagation_s + self._entry_ttl_s
