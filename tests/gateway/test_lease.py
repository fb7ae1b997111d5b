"""Who applies for the planner's lease, and when a node comes back after it lost the store.

The pattern guarded against: a candidate that was cut off from the store rejoins, the lease moves
to it at that moment, and nobody plans while it reads the list and waits for entries to return.
On the large site this left 6 of 30 seconds without repairs while servers crashed.
"""

import json

import msgspec
import pytest

from briarpond.gateway._lease import RENEW_INTERVAL_S, PlannerLease
from briarpond.platform import leave_lease_request

from .world import VirtualClock

LEAVE_TARGET = leave_lease_request("n1").target


class LeaseStore:
    """Answers calls to join at once, or not at all while it is down."""

    era = 0

    def __init__(self):
        self.is_down = False
        self.term = 1
        self.generations_sent = []
        self.holds = True
        self.joins = 0
        self.left = 0
        self.is_slow = False
        self._unanswered = []

    def call(self, request, timeout_s, on_answer, on_lost):
        if self.is_down:
            return
        if request.target == LEAVE_TARGET:
            self.left += 1
            return
        self.joins += 1
        self.generations_sent.append(json.loads(request.body)["generation"])
        if self.is_slow:
            self._unanswered.append(on_answer)
        else:
            self._answer(on_answer)

    def answer_slow(self):
        """Answer the calls to join that came while the store was slow."""
        for on_answer in self._unanswered:
            self._answer(on_answer)

    def _answer(self, on_answer):
        parts = [("planner", 0, 0)] if self.holds else []
        on_answer(200, msgspec.json.encode({"generation": self.term, "parts": parts}))


@pytest.fixture
def candidate():
    clock = VirtualClock()
    store = LeaseStore()
    flags = {"should_apply": True, "prepared": False, "superseded": False}
    lease = PlannerLease(
        store,
        clock,
        "n1",
        1.0,
        lambda: flags["should_apply"],
        lambda: flags["prepared"],
        lambda: flags["superseded"],
    )
    lease.start()
    clock.advance(1.0)
    lease.clock, lease.store, lease.flags = clock, store, flags
    return lease


def test_first_application_needs_no_preparation(candidate):
    assert candidate.holds(candidate.clock.now())


def test_standby_that_lost_the_store_comes_back_only_when_prepared(candidate):
    candidate.store.holds = False
    candidate.clock.advance(RENEW_INTERVAL_S)
    candidate.store.is_down = True
    candidate.clock.advance(3.0)
    candidate.store.is_down = False
    joins = candidate.store.joins
    candidate.clock.advance(3.0)
    assert candidate.is_preparing and candidate.store.joins == joins
    candidate.flags["prepared"] = True
    candidate.clock.advance(2 * RENEW_INTERVAL_S)
    assert candidate.store.joins > joins and not candidate.is_preparing


def test_holder_that_nobody_has_replaced_renews_as_soon_as_it_can(candidate):
    """During an outage of the whole store the last planner goes on and keeps the lease."""
    candidate.store.is_down = True
    candidate.clock.advance(6.0)
    assert candidate.expired_while_held(candidate.clock.now())
    candidate.store.is_down = False
    candidate.clock.advance(2 * RENEW_INTERVAL_S)
    assert candidate.holds(candidate.clock.now())


def test_holder_that_was_replaced_gives_up_and_prepares(candidate):
    candidate.store.is_down = True
    candidate.flags["superseded"] = True
    candidate.clock.advance(3.0)
    now = candidate.clock.now()
    assert not candidate.expired_while_held(now) and not candidate.is_candidate(now)
    assert candidate.is_preparing


def test_node_that_is_not_needed_any_more_does_not_come_back(candidate):
    candidate.store.holds = False
    candidate.clock.advance(RENEW_INTERVAL_S)
    candidate.store.is_down = True
    candidate.clock.advance(3.0)
    candidate.store.is_down = False
    candidate.flags.update(should_apply=False, prepared=True)
    joins = candidate.store.joins
    candidate.clock.advance(3.0)
    assert candidate.store.joins == joins and not candidate.is_preparing


# Guards against two planners, one after the other, that use the same term and with it the same
# names and epochs of groups: the store came back from a copy from before the members had joined.
def test_term_rises_although_the_generation_falls(candidate):
    candidate.store.era, candidate.store.term = 1, 9
    candidate.clock.advance(2 * RENEW_INTERVAL_S)
    former = candidate.term
    candidate.store.era, candidate.store.term = 2, 3
    candidate.clock.advance(2 * RENEW_INTERVAL_S)
    assert candidate.term > former and candidate.holds(candidate.clock.now())


def test_first_call_in_an_era_names_no_generation_of_another(candidate):
    candidate.store.term = 9
    candidate.clock.advance(2 * RENEW_INTERVAL_S)
    assert candidate.store.generations_sent[-1] == 9
    # Another call to the store was the first to hear of the era.
    candidate.store.era, candidate.store.term = 2, 3
    candidate.clock.advance(RENEW_INTERVAL_S)
    assert candidate.store.generations_sent[-1] == 0
    candidate.clock.advance(RENEW_INTERVAL_S)
    assert candidate.store.generations_sent[-1] == 3


def test_holder_that_withdraws_gives_up_the_lease_and_comes_back_only_when_prepared(candidate):
    """A node that is cut off from the servers leaves the planning to others at once."""
    candidate.flags["should_apply"] = False
    candidate.withdraw()
    now = candidate.clock.now()
    assert not candidate.holds(now) and not candidate.is_candidate(now)
    assert not candidate.expired_while_held(now)
    assert candidate.store.left == 1
    joins = candidate.store.joins
    candidate.clock.advance(3.0)
    assert candidate.store.joins == joins
    candidate.flags["should_apply"] = True
    candidate.clock.advance(1.0)
    assert candidate.is_preparing and candidate.store.joins == joins
    candidate.flags["prepared"] = True
    candidate.clock.advance(1.0)
    assert candidate.holds(candidate.clock.now())


def test_join_that_was_under_way_at_the_withdrawal_does_not_bring_the_lease_back(candidate):
    """Guards against a member of the lease group that the store keeps and that does not plan."""
    candidate.store.is_slow = True
    candidate.clock.advance(RENEW_INTERVAL_S)
    candidate.flags["should_apply"] = False
    candidate.withdraw()
    candidate.store.answer_slow()
    assert not candidate.holds(candidate.clock.now())
    assert candidate.store.left == 2


def test_withdrawal_of_a_node_that_does_not_apply_tells_the_store_nothing(candidate):
    candidate.flags["should_apply"] = False
    candidate.withdraw()
    candidate.withdraw()
    assert candidate.store.left == 1
