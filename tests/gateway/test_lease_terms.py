"""Terms of the planner's lease on random days: restorations of the store, and nodes of two builds.

The failures guarded against: after a restoration another node plans under a term that was in use,
gives its groups names and epochs of open groups, and takes the servers of these away; and a node
of 0.7 plans under a term that is lower than one before it, so that no node uses its plan.
"""

import copy
import json
import random

import msgspec
import pytest

from briarpond.gateway._lease import PlannerLease
from briarpond.gateway._lease_term import GENERATIONS_PER_ERA
from briarpond.platform import leave_lease_request

from .world import VirtualClock

SEEDS = range(30)
LEAVE_TARGET = leave_lease_request("n1").target
DAY_S = 40.0
STEP_S = 0.05
TTL_S = 1.0
# Copies are kept of the last seconds, and are as old as that at the most.
COPY_INTERVAL_S = 0.25
MAX_COPIES = 20
MAX_AWAY_S = 1.5


class RestorableGroup:
    """A lease group in the store: each change of its members deals the lease anew."""

    def __init__(self, clock, rng):
        self.era = 1
        self.is_away = False
        self._clock = clock
        self._rng = rng
        self._generation = 0
        self._expires_at = {}
        self._holder = None
        self._copies = []

    def keep_copy(self):
        state = (self._generation, dict(self._expires_at), self._holder)
        self._copies = [*self._copies, state][-MAX_COPIES:]

    def restore(self):
        self._generation, expires_at, self._holder = self._rng.choice(self._copies)
        self._expires_at = copy.copy(expires_at)
        self._copies = []
        self.keep_copy()
        self.era += 1
        self.is_away = False

    def call(self, request):
        """Carry out a call; return the body of the answer."""
        self._expire()
        member = json.loads(request.body)["member"]
        if request.target == LEAVE_TARGET:
            if self._expires_at.pop(member, None) is not None:
                self._deal()
            return b"{}"
        is_new = member not in self._expires_at
        self._expires_at[member] = self._clock.now() + TTL_S
        if is_new:
            self._deal()
        parts = [("planner", 0, 0)] if self._holder == member else []
        return msgspec.json.encode({"generation": self._generation, "parts": parts})

    def _expire(self):
        now = self._clock.now()
        expired = [member for member, at in self._expires_at.items() if at <= now]
        for member in expired:
            del self._expires_at[member]
        if expired:
            self._deal()

    def _deal(self):
        self._generation += 1
        members = sorted(self._expires_at)
        self._holder = self._rng.choice(members) if members else None


class StoreOfNode:
    """One node's client of the store; knows the era of the last answer, unless it reads none."""

    def __init__(self, group, clock, reads_eras):
        self.era = 0
        self.is_connected = True
        self._reads_eras = reads_eras
        self._group = group
        self._clock = clock

    def call(self, request, timeout_s, on_answer, on_lost):
        if self._group.is_away or not self.is_connected:
            return
        body = self._group.call(request)
        era = self._group.era
        if self._reads_eras:
            self.era = era

        def answer():
            if self.is_connected and era == self._group.era:
                on_answer(200, body)

        self._clock.after(0.01, answer)


class Day:
    """A random day of several nodes that apply for the lease.

    The first `old_count` nodes read no era from the store's answers, as those of 0.7. Where the
    others follow plans, they know which terms are in use.
    """

    def __init__(self, seed, node_count, old_count=0, follows_plans=False):
        self.follows_plans = follows_plans
        self.old_nodes = {f"n{number}" for number in range(old_count)}
        self.restore_share = 0.01
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.group = RestorableGroup(self.clock, self.rng)
        self.nodes = {}
        self.owners = {}
        self._starts = 0
        for number in range(node_count):
            self._start(f"n{number}")

    def _start(self, name):
        if name in self.nodes:
            self.nodes[name][1].is_connected = False
        self._starts += 1
        is_old = name in self.old_nodes
        store = StoreOfNode(self.group, self.clock, not is_old)
        flags = (lambda: True, lambda: True, lambda: False)
        lease = PlannerLease(store, self.clock, name, TTL_S, *flags)
        if self.follows_plans and not is_old:
            lease = PlannerLease(store, self.clock, name, TTL_S, *flags, self._highest_term)
        self.nodes[name] = lease, store, self._starts
        lease.start()

    def _highest_term(self):
        """Return the highest term that a node which follows the plans knows."""
        return max(self.owners, default=0)

    def run(self):
        ends_at = self.clock.now() + DAY_S
        copy_at = back_at = self.clock.now()
        while self.clock.now() < ends_at:
            now = self.clock.now()
            if self.group.is_away and now >= back_at:
                self.group.restore()
            elif not self.group.is_away and now >= copy_at:
                self.group.keep_copy()
                copy_at = now + COPY_INTERVAL_S
            if self.rng.random() < self.restore_share and not self.group.is_away:
                self.group.is_away = True
                back_at = now + self.rng.uniform(0.1, MAX_AWAY_S)
            if self.rng.random() < 0.03:
                self._start(self.rng.choice(sorted(self.nodes)))
            if self.rng.random() < 0.02:
                store = self.rng.choice(sorted(self.nodes.items()))[1][1]
                store.is_connected = not store.is_connected
            self.clock.advance(STEP_S)
            self._check()

    def _check(self):
        highest_term = self._highest_term()
        for name, (lease, store, start) in self.nodes.items():
            if not store.is_connected or not lease.holds(self.clock.now()):
                continue
            is_first = lease.term not in self.owners
            owner = self.owners.setdefault(lease.term, start)
            if name in self.old_nodes and self.restore_share:
                # A node without eras repeats terms after a restoration.
                continue
            assert not is_first or lease.term > highest_term, "a later term is lower"
            assert owner == start, f"term {lease.term} has two holders"


# Guards against two holders, one after the other, with the same term; names and epochs of groups
# are made from it.
@pytest.mark.parametrize("node_count", [1, 3, 12])
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("follows_plans", [False, True])
def test_no_two_holders_have_the_same_term(seed, node_count, follows_plans):
    Day(seed, node_count, follows_plans=follows_plans).run()


# Guards against plans of nodes of 0.7 that no node uses, since a newer node has planned under a
# term with an era: until the next change of the planner no group is formed.
@pytest.mark.parametrize("seed", SEEDS)
def test_terms_rise_beside_nodes_that_know_no_eras(seed):
    day = Day(seed, node_count=4, old_count=2, follows_plans=True)
    day.restore_share = 0.0
    day.run()
    assert 0 < max(day.owners) < GENERATIONS_PER_ERA


# Guards against a way back to 0.7 after which no group is formed any more: servers refuse orders
# whose epochs are lower than those of groups that were formed before.
@pytest.mark.parametrize("seed", SEEDS)
def test_terms_are_plain_generations_until_the_store_has_come_back(seed):
    day = Day(seed, node_count=3, follows_plans=True)
    day.restore_share = 0.0
    day.run()
    assert 0 < max(day.owners) < GENERATIONS_PER_ERA


# Guards against a term that is used twice after a restoration, although it has no era.
@pytest.mark.parametrize("seed", SEEDS)
def test_newer_nodes_repeat_no_term_beside_nodes_that_know_no_eras(seed):
    Day(seed, node_count=4, old_count=1, follows_plans=True).run()
