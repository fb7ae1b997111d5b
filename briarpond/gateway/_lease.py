"""The planner's lease, granted by the store to one member of a lease group."""

from collections.abc import Callable

from briarpond.ids import NodeId
from briarpond.logs import log_event, log_warning
from briarpond.net import Clock, LossReason
from briarpond.platform import decode_lease, join_lease_request, leave_lease_request

from ._lease_term import lease_term, lowest_unused_term
from ._store_client import StoreClient

# How often a candidate renews its membership of the lease group.
RENEW_INTERVAL_S = 0.3
# Wait before the first application, in which this node learns of others.
FIRST_APPLY_DELAY_S = 0.3
# Largest number of nodes that apply for the lease at the same time. Every change of the
# members may move the lease, so more candidates would only move it more often.
MAX_CANDIDATES = 3
# Timeout of a call to the store.
CALL_TIMEOUT_S = 0.4
# The holder stops acting this long before the store may grant the lease to another node.
EXPIRY_MARGIN_S = 0.1


class PlannerLease:
    """Applies for the planner's lease and tracks whether this node holds it.

    Parameters
    ----------
    store : StoreClient
        Client of the store that grants the lease.
    clock : Clock
        Source of time and timers.
    node : NodeId
        Name of this node.
    ttl_min_s : float
        Shortest lifetime of a lease that the store grants, in seconds. The node asks for
        this lifetime, but for at least three renewal intervals.
    should_apply : callable
        Returns whether this node should become a candidate. Not called while it is one.
    is_prepared : callable
        Returns whether this node could plan at once. A node whose membership has expired
        comes back only then, since the lease may move to it at that moment.
    is_superseded : callable
        Returns whether another node has planned under a later term.
    highest_used_term : callable
        Returns the highest term known to be in use; None if terms must have the store's era.

    Attributes
    ----------
    term : int
        Term of the lease that follows from the store's answers; it rises with each change of the
        lease group's members and with each era of the store.
    held_since : float
        Time at which this node last became the holder; infinite if it never did.
    ttl_s : float
        Lifetime of the lease that the node asks for, in seconds.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        node: NodeId,
        ttl_min_s: float,
        should_apply: Callable[[], bool],
        is_prepared: Callable[[], bool],
        is_superseded: Callable[[], bool],
        highest_used_term: Callable[[], int | None] = lambda: None,
    ) -> None:
        self.term = 0
        self.held_since = float("inf")
        self._should_apply = should_apply
        self._is_prepared = is_prepared
        self._is_superseded = is_superseded
        self._highest_used_term = highest_used_term
        # Era of the store's last answer, the highest generation that it has named in it, which the
        # term is made from, and whether the term is that generation.
        self._era = 0
        self._term_generation = 0
        self._has_plain_term = False
        self._is_applying = False
        self._has_expired = False
        self._is_preparing = False
        self._unanswered_calls = 0
        # Last generation that the store reported to the present member.
        self._generation = 0
        self._store = store
        self._clock = clock
        self._node = node
        # The start time makes a restarted process a new member, which gets a new term.
        self._member_number = int(clock.now() * 1000)
        self.ttl_s = max(ttl_min_s, 3 * RENEW_INTERVAL_S)
        self._renewed_at = float("-inf")
        self._holds = False
        self._stopped = False
        # Member that left last, and the time until which an answer to that call is awaited.
        self._former_member = ""
        self._leaving_until = float("-inf")

    def start(self) -> None:
        """Start to apply, after a delay in which this node learns of others."""
        self._clock.after(FIRST_APPLY_DELAY_S, self._renew)

    def stop(self) -> None:
        """Leave the lease group, and with it give up the lease."""
        self._stopped = True
        self._holds = False
        self._leave(self._member)

    def withdraw(self) -> None:
        """Leave the lease group for now; this node applies again when it should and is prepared.

        It waits until this call to the store has ended, and comes back as another member: the
        store may handle a call that it hasn't answered after later ones.
        """
        if not self._is_applying:
            return
        self._is_applying = False
        self._has_expired = True
        self._holds = False
        log_event("lease_withdrawn", term=self.term)
        self._former_member = self._member
        self._leaving_until = self._clock.now() + CALL_TIMEOUT_S
        self._become_new_member()
        self._leave(self._former_member)

    @property
    def _member(self) -> str:
        """Name of this node as a member of the lease group."""
        return f"{self._node}.{self._member_number}"

    def _become_new_member(self) -> None:
        """Take a name that no call which is still under way can join or remove."""
        self._member_number += 1
        self._generation = 0
        self._renewed_at = float("-inf")

    def _leave(self, member: str) -> None:
        self._store.call(
            leave_lease_request(member),
            CALL_TIMEOUT_S,
            lambda status, _body: self._on_left(member, status),
            lambda reason: self._on_leave_failed(member, reason),
        )

    def is_candidate(self, now: float) -> bool:
        """Whether this node applies for the lease and the store answered within its lifetime."""
        return self._is_applying and now < self._renewed_at + self.ttl_s

    @property
    def is_preparing(self) -> bool:
        """Whether this node wants to become a candidate again and must prepare for that."""
        return self._is_preparing

    def holds(self, now: float) -> bool:
        """Whether this node holds an unexpired lease."""
        return self._holds and now < self._renewed_at + self.ttl_s - EXPIRY_MARGIN_S

    @property
    def follows_forgotten_lease(self) -> bool:
        """Whether a lease that the store has forgotten may be in force beside this one.

        The store came back from a copy, or this node first heard of it, less than the lifetime of
        a lease before it granted this one.
        """
        return self._store.era > 0 and self.held_since - self._store.era_since < self.ttl_s

    def expired_while_held(self, now: float) -> bool:
        """Whether this node held the lease at the store's last answer and it has expired since."""
        return self._holds and not self.holds(now)

    def _renew(self) -> None:
        if self._stopped:
            return
        self._clock.after(RENEW_INTERVAL_S, self._renew)
        self._end_expired_membership(self._clock.now())
        # A candidate stays one, because each change of the members may move the lease.
        self._is_applying = self._is_applying or self._may_apply()
        if not self._is_applying:
            return
        requested_at = self._clock.now()
        member = self._member
        request = join_lease_request(member, self.ttl_s, self._known_generation())
        self._store.call(
            request,
            CALL_TIMEOUT_S,
            lambda status, body: self._on_answer(member, requested_at, status, body),
            self._on_no_answer,
        )

    def _end_expired_membership(self, now: float) -> None:
        """Stop applying once the store has dropped this member, so far as it can be known."""
        expires_at = self._renewed_at + self.ttl_s + CALL_TIMEOUT_S
        if not self._is_applying or self._renewed_at == float("-inf") or now < expires_at:
            return
        if self._holds and not self._is_superseded():
            # Nobody else plans, so this node gets the lease back as soon as it can.
            return
        self._is_applying = False
        self._has_expired = True
        self._holds = False
        log_warning("lease_membership_expired", term=self.term)

    def _may_apply(self) -> bool:
        wants = self._should_apply()
        self._is_preparing = wants and self._has_expired
        if not wants or (self._has_expired and not self._is_prepared()):
            return False
        if self._clock.now() < self._leaving_until:
            return False
        self._is_preparing = False
        return True

    def _known_generation(self) -> int:
        """Return the last generation of the present era; 0 if none is known."""
        return self._generation if self._era == self._store.era else 0

    def _on_answer(self, member: str, requested_at: float, status: int, body: bytes) -> None:
        answer = decode_lease(body) if status == 200 else None
        if answer is None or answer.is_error():
            return
        if self._stopped:
            return
        if member != self._member:
            # The store may have handled this call after the one by which this member left.
            self._leave(member)
            return
        self._unanswered_calls = 0
        held_before = self.holds(self._clock.now())
        self._generation = answer.ok.generation
        self._holds = answer.ok.holds_lease
        known_term = self.term
        self._update_term(self._store.era, answer.ok.generation)
        if self.term != known_term:
            parts = answer.ok.partition_count
            log_event("lease_term", term=self.term, parts=parts, known=known_term)
        self._renewed_at = requested_at
        if self._holds and not held_before:
            self.held_since = self._clock.now()
        if held_before != self._holds:
            log_event("lease", holds=self._holds, term=self.term)

    def _update_term(self, era: int, generation: int) -> None:
        """Set the term that belongs to the newest of the store's answers."""
        if era != self._era or generation > self._term_generation:
            self._era, self._term_generation = era, generation
            self._has_plain_term = False
        self.refresh_term()

    def refresh_term(self) -> None:
        """Set the term anew by what is known now of the terms in use.

        While another member holds the lease the term is the plain generation and isn't used.
        """
        generation = self._term_generation
        if not self._holds:
            self.term = generation
            return
        highest_used = self._highest_used_term()
        if highest_used is None:
            self.term = lease_term(self._era, generation)
        else:
            is_own = self._has_plain_term
            self.term = lowest_unused_term(self._era, generation, highest_used, is_own)
        self._has_plain_term = self.term == generation

    def _on_no_answer(self, reason: LossReason) -> None:
        self._unanswered_calls += 1
        if self._holds and self._unanswered_calls == 1:
            log_warning("lease_not_renewed", term=self.term, reason=reason.value)

    def _on_left(self, member: str, status: int) -> None:
        self._end_leave(member)
        log_event("lease_left", status=status)

    def _on_leave_failed(self, member: str, reason: LossReason) -> None:
        self._end_leave(member)
        log_warning("lease_not_left", reason=reason.value)

    def _end_leave(self, member: str) -> None:
        """Allow to apply again once the call by which this node left last has ended."""
        if member == self._former_member:
            self._leaving_until = float("-inf")
