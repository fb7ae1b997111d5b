"""How old a node's knowledge of a topic gets while it follows it."""

import struct

from briarpond.gateway._node import PLANNER_PACE_S, PLANNER_WAIT_S
from briarpond.gateway._planner_link import VIEW_FRESH_S
from briarpond.gateway._store_link import Feed

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
