"""Targets of one request's attempts, and the reports on them to the router."""

from briarpond.requests import Target
from briarpond.routing import Choice, DispatchedAttempt, Router

from ._pool import Pool


class AttemptTracker:
    """Chooses the target of each attempt of one request and reports to the router.

    From these reports the router estimates the load, speed and cached prompt prefixes of
    each backend server.

    Parameters
    ----------
    router : Router
        Router of the node, shared by all its requests.
    pool : Pool
        Backend servers that can take the request.
    """

    def __init__(self, router: Router, pool: Pool) -> None:
        self._router = router
        self._pool = pool
        self._choice: Choice | None = None
        self._current_attempt: DispatchedAttempt | None = None
        self._last_attempt: DispatchedAttempt | None = None

    def choose(self, avoided: frozenset[str], now: float) -> Target | None:
        """Return the target of the next attempt, None if no candidate is left.

        Parameters
        ----------
        avoided : frozenset of str
            Instances that must not be chosen, because an earlier attempt there failed.
        """
        pool = self._pool
        candidates = pool.candidates(now)
        self._choice = self._router.choose(candidates, pool.prefill, pool.slots, avoided, now)
        return self._choice.candidate.target if self._choice is not None else None

    def has_room(self, first_byte_target_s: float, now: float) -> bool:
        """Whether the request can be sent now instead of waiting at this node.

        True without any candidate: the request is then refused when it starts.

        Parameters
        ----------
        first_byte_target_s : float
            Longest expected time to the first byte, seconds.
        """
        pool = self._pool
        if self.choose(frozenset(), now) is None:
            return True
        assert self._choice is not None
        return self._router.should_send(
            self._choice, pool.prefill, pool.slots, first_byte_target_s, now
        )

    def record_start(self, target: Target, now: float) -> None:
        """Report that the request is sent to `target`, which must be the one chosen last."""
        assert self._choice is not None and self._choice.candidate.target == target
        self._current_attempt = self._router.record_sent(
            self._choice, self._pool.prefill, self._pool.slots, now
        )
        self._last_attempt = self._current_attempt

    def record_first_byte(self, now: float) -> None:
        """Report that the answer of the current attempt has begun."""
        if self._current_attempt is not None:
            self._router.record_first_byte(self._current_attempt, now)

    def record_prefix_miss(self) -> None:
        """Report that the backend server of the last attempt had no part of the prefix cached."""
        if self._last_attempt is not None:
            self._router.record_cache_miss(self._last_attempt)

    def record_end(self, now: float) -> None:
        """Report the end of the current attempt; does nothing if there is none."""
        attempt, self._current_attempt = self._current_attempt, None
        if attempt is not None:
            self._router.record_end(attempt, now)
