"""How old a node's knowledge of a topic gets while it follows it."""

import struct

import pytest

from briarpond.gateway._node import PLANNER_PACE_S, PLANNER_WAIT_S
from briarpond.gateway._peers import BEAT_S
from briarpond.gateway._planner_link import VIEW_FRESH_S
from briarpond.gateway._state import PLAN_S
from briarpond.gateway._store_link import LOOK_AGAIN_S, Feed

from .world import VirtualClock


class Store:
    """Answers a first page at once, and reads when the test says so."""

    def __init__(self) -> None:
        self.done = None

    def call(self, call, timeout_s, done, lost) -> None:
        if "newest" in call.target:
            done(200, b'{"entries":[],"hasMore":false,"end":0}')
        else:
            self.done = done


def test_planners_view_stays_fresh_when_a_record_comes_at_the_end_of_a_wait():
    clock, store = VirtualClock(), Store()
    feed = Feed(
        store,
        clock,
        "keyed.servers",
        lambda entries: None,
        lambda entries: None,
        lambda: PLANNER_PACE_S,
        wait_s=lambda: PLANNER_WAIT_S,
    )
    feed.start()
    clock.advance(PLANNER_WAIT_S * 0.99)
    record = b"\x03key" + b"value"
    store.done(200, struct.pack(">QQ", 1, 0) + struct.pack(">I", len(record)) + record)
    clock.advance(PLANNER_PACE_S + PLANNER_WAIT_S)
    assert feed.age(clock.now()) < VIEW_FRESH_S
    store.done(200, struct.pack(">QQ", 1, 0))
    assert feed.age(clock.now()) < 0.1


def test_feed_that_was_not_wanted_for_a_while_says_how_old_its_failure_is():
    clock, store = VirtualClock(), Store()
    wanted, told = [True], []
    feed = Feed(
        store,
        clock,
        "keyed.servers",
        lambda entries: None,
        lambda entries: None,
        on_regained=told.append,
        wanted=lambda: wanted[0],
    )
    feed.start()
    store.done(503, b"")
    wanted[0] = False
    clock.advance(10.0)
    wanted[0] = True
    clock.advance(0.2)
    store.done(200, struct.pack(">QQ", 0, 0))
    assert told == [pytest.approx(10.2, abs=0.2)]


# From the acknowledged departure of a server to its last new request.
DRAIN_S = 2.0
# A read of the store under load, and a turn of a busy loop.
READ_S = 0.15


def test_departure_that_the_planner_cannot_see_is_known_to_all_within_the_bound():
    """Derwent hunt-0bf1-27: a request 2,053 ms after; the planner's way to the store hung."""
    heartbeat_s = BEAT_S * 1.1
    assert VIEW_FRESH_S + heartbeat_s + LOOK_AGAIN_S + READ_S < DRAIN_S
    assert PLAN_S + LOOK_AGAIN_S + READ_S < DRAIN_S
