"""The planner's lease: a member of a group at the store holds it."""

from collections.abc import Callable

from briarpond.ids import NodeId
from briarpond.logs import log_event, log_warning
from briarpond.net import Clock, LossReason
from briarpond.platform import decode_lease, join_lease, leave_lease

from ._store_link import StoreLink

RENEW_S = 0.3
FIRST_APPLY_S = 0.3
# So many nodes apply for the lease; more would only move it more often.
CANDIDATES = 3
CALL_TIMEOUT_S = 0.4
# The holder stops this much before the store may give the lease to another.
MARGIN_S = 0.1


class Lease:
    """Keeps this node a candidate, and knows whether it holds the lease.

    Attributes
    ----------
    term : int
        Number of the lease; it rises with each change of holders.
    held_since : float
        When this node last became the holder.
    """

    def __init__(
        self,
        store: StoreLink,
        clock: Clock,
        node: NodeId,
        ttl_min_s: float,
        should_apply: Callable[[], bool],
    ) -> None:
        self.term = 0
        self.held_since = float("inf")
        self._should_apply = should_apply
        self._applies = False
        self._lost_count = 0
        self._store = store
        self._clock = clock
        # A restarted process is another member, so that its term is a new one.
        self._member = f"{node}.{int(clock.now() * 1000)}"
        self._ttl_s = max(ttl_min_s, 3 * RENEW_S)
        self._granted_at = float("-inf")
        self._holds = False
        self._stopped = False

    def start(self) -> None:
        """Begin to apply for the lease, once other nodes could be heard."""
        self._clock.after(FIRST_APPLY_S, self._renew)

    def stop(self) -> None:
        """Give the lease up."""
        self._stopped = True
        self._holds = False
        self._store.call(leave_lease(self._member), CALL_TIMEOUT_S, self._left, self._not_left)

    def is_candidate(self, now: float) -> bool:
        """Whether this node applies for the lease and reaches the store."""
        return self._applies and now < self._granted_at + self._ttl_s

    def holds(self, now: float) -> bool:
        """Whether this node holds the lease now."""
        return self._holds and now < self._granted_at + self._ttl_s - MARGIN_S

    def lapsed_holding(self, now: float) -> bool:
        """Whether it was this node's when the store was last heard, and has run out."""
        return self._holds and not self.holds(now)

    def _renew(self) -> None:
        if self._stopped:
            return
        self._clock.after(RENEW_S, self._renew)
        # Whoever applies goes on: each change of members may move the lease.
        self._applies = self._applies or self._should_apply()
        if not self._applies:
            return
        asked_at = self._clock.now()
        call = join_lease(self._member, self._ttl_s, self.term)
        self._store.call(
            call,
            CALL_TIMEOUT_S,
            lambda status, body: self._answered(asked_at, status, body),
            self._lost,
        )

    def _answered(self, asked_at: float, status: int, body: bytes) -> None:
        answer = decode_lease(body) if status == 200 else None
        if answer is None or answer.is_error():
            return
        if self._stopped:
            return
        self._lost_count = 0
        held = self.holds(self._clock.now())
        if answer.ok.term != self.term:
            log_event("lease_term", term=answer.ok.term, parts=answer.ok.parts, known=self.term)
        self.term = max(self.term, answer.ok.term)
        self._holds = answer.ok.holds
        self._granted_at = asked_at
        if self._holds and not held:
            self.held_since = self._clock.now()
        if held != self._holds:
            log_event("lease", holds=self._holds, term=self.term)

    def _lost(self, reason: LossReason) -> None:
        self._lost_count += 1
        if self._holds and self._lost_count == 1:
            log_warning("lease_not_renewed", term=self.term, reason=reason.value)

    def _left(self, status: int, _body: bytes) -> None:
        log_event("lease_left", status=status)

    def _not_left(self, reason: LossReason) -> None:
        log_warning("lease_not_left", reason=reason.value)
