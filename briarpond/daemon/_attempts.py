"""Attempts of one request as the router sees them."""

from briarpond.requests import Target
from briarpond.routing import Choice, Dispatched, Router

from ._pool import Pool


class Attempts:
    """Chooses targets for one request and tells the router what became of them."""

    def __init__(self, router: Router, pool: Pool) -> None:
        self._router = router
        self._pool = pool
        self._choice: Choice | None = None
        self._current: Dispatched | None = None
        self._last: Dispatched | None = None

    def choose(self, avoided: frozenset[str], now: float) -> Target | None:
        """Return the target of the next attempt."""
        pool = self._pool
        candidates = pool.candidates(now)
        self._choice = self._router.choose(candidates, pool.hint, pool.slots, avoided, now)
        return self._choice.candidate.target if self._choice is not None else None

    def has_room(self, target_s: float, now: float) -> bool:
        """Whether a request would not have to wait; without any server it need not either."""
        pool = self._pool
        if self.choose(frozenset(), now) is None:
            return True
        assert self._choice is not None
        return self._router.has_room(self._choice, pool.hint, pool.slots, target_s, now)

    def begin(self, target: Target, now: float) -> None:
        """Note that the request is sent to the target chosen last."""
        assert self._choice is not None and self._choice.candidate.target == target
        self._current = self._router.begin(self._choice, self._pool.hint, self._pool.slots, now)
        self._last = self._current

    def first_byte(self, now: float) -> None:
        """Note that the answer of the current attempt has begun."""
        if self._current is not None:
            self._router.first_byte(self._current, now)

    def missed(self) -> None:
        """Note that the last attempt found nothing of its prefix cached."""
        if self._last is not None:
            self._router.missed(self._last)

    def end(self, now: float) -> None:
        """Note the end of the current attempt, if there is one."""
        current, self._current = self._current, None
        if current is not None:
            self._router.end(current, now)
