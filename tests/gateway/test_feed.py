"""Age of a feed's view of its topic, while it follows the topic and after failures."""

import json
import struct

import pytest

from briarpond.directory import RELAY_INTERVAL_S, StorePosition
from briarpond.gateway._node import PLANNER_READ_PAUSE_S, PLANNER_READ_WAIT_S
from briarpond.gateway._state import plan_lifetime_s
from briarpond.gateway._topic_feed import IDLE_CHECK_INTERVAL_S, TopicFeed

from .world import VirtualClock


class ScriptedStore:
    """Store with an empty snapshot, whose later reads the test answers through `on_answer`."""

    era = 0

    def note_era(self, era):
        self.era = max(self.era, era)

    def __init__(self) -> None:
        self.on_answer = None

    def call(self, request, timeout_s, on_answer, on_lost) -> None:
        if "newest" in request.target:
            on_answer(200, b'{"entries":[],"hasMore":false,"end":0}')
        else:
            self.on_answer = on_answer


def test_planner_list_stays_current_when_a_record_arrives_at_the_end_of_a_wait():
    clock, store = VirtualClock(), ScriptedStore()
    feed = TopicFeed(
        store,
        clock,
        "keyed.servers",
        lambda entries: None,
        lambda entries: None,
        lambda: PLANNER_READ_PAUSE_S,
        wait_s=lambda: PLANNER_READ_WAIT_S,
    )
    feed.start()
    clock.advance(PLANNER_READ_WAIT_S * 0.99)
    record = b"\x03key" + b"value"
    store.on_answer(200, struct.pack(">QQ", 1, 0) + struct.pack(">I", len(record)) + record)
    clock.advance(PLANNER_READ_PAUSE_S + PLANNER_READ_WAIT_S)
    # Other nodes add the intervals of their pulls: one hop with few nodes, else two.
    assert feed.age(clock.now()) + 1.1 * RELAY_INTERVAL_S < plan_lifetime_s(DRAIN_BOUND_S)
    assert feed.age(clock.now()) + 2.2 * RELAY_INTERVAL_S < plan_lifetime_s(3.0)
    store.on_answer(200, struct.pack(">QQ", 1, 0))
    assert feed.age(clock.now()) < 0.1


def test_feed_reports_age_of_its_last_failure_after_it_was_not_wanted():
    clock, store = VirtualClock(), ScriptedStore()
    is_wanted, failure_ages = [True], []
    feed = TopicFeed(
        store,
        clock,
        "keyed.servers",
        lambda entries: None,
        lambda entries: None,
        on_regained=failure_ages.append,
        is_wanted=lambda: is_wanted[0],
    )
    feed.start()
    store.on_answer(503, b"")
    is_wanted[0] = False
    clock.advance(10.0)
    is_wanted[0] = True
    clock.advance(0.2)
    store.on_answer(200, struct.pack(">QQ", 0, 0))
    assert failure_ages == [pytest.approx(10.2, abs=0.2)]


# Longest time from the acknowledged departure of a server to its last new request.
DRAIN_BOUND_S = 2.0
# Allowance for a read of the store under load plus one iteration of a busy event loop.
STORE_READ_S = 0.15


def test_intervals_add_up_to_less_than_drain_bound_while_planner_cannot_reach_store():
    """Guards against new requests to a departed server after the bound of 2 s.

    A server once got a request 2,053 ms after its departure, because the planner's
    connection to the store hung and the other nodes relied on its list for too long.
    """
    for bound_s in (DRAIN_BOUND_S, 3.0, 4.0):
        assert plan_lifetime_s(bound_s) + IDLE_CHECK_INTERVAL_S + STORE_READ_S < bound_s


def records_answer(*records, first=0):
    """Return an answer to a read with records, each given as key and value."""
    body = struct.pack(">QQ", first + len(records), first)
    for key, value in records:
        record = bytes([len(key)]) + key + value
        body += struct.pack(">I", len(record)) + record
    return body


class FailingTaker:
    """Takes records; raises once for those that contain a key."""

    def __init__(self, key):
        self.key = key
        self.calls = []

    def __call__(self, entries):
        self.calls.append([entry.key for entry in entries])
        if self.key in self.calls[-1]:
            self.key = None
            raise RecursionError("deep")


# Guards against a reader that never reads again after one record that its user can't take: no
# node followed the list of servers any more. What was applied may have a gap, so it is read whole.
def test_feed_goes_on_with_a_whole_read_after_its_user_raised():
    clock, store, take = VirtualClock(), ScriptedStore(), FailingTaker("bad")
    snapshots = []
    feed = TopicFeed(store, clock, "keyed.servers", snapshots.append, take)
    feed.start()
    clock.advance(0.1)
    known_until = feed.known_until
    store.on_answer(200, records_answer((b"bad", b"x")))
    assert feed.known_until == known_until
    clock.advance(1.0)
    assert len(snapshots) == 2
    store.on_answer(200, records_answer((b"good", b"x"), first=0))
    assert take.calls == [["bad"], ["good"]]


@pytest.mark.parametrize("hook", ["is_wanted", "wait_s", "pause_s"])
def test_feed_goes_on_after_an_error_in_what_it_asks(hook):
    clock, store = VirtualClock(), ScriptedStore()
    failing = [True]

    def ask():
        if failing.pop() if failing else False:
            raise KeyError("unexpected")
        return hook == "is_wanted"

    taken = []
    feed = TopicFeed(store, clock, "keyed.op", taken.append, taken.append, **{hook: ask})
    feed.start()
    clock.advance(2.0)
    if hook == "pause_s":
        store.on_answer(200, records_answer((b"a", b"x")))
        clock.advance(2.0)
    store.on_answer(200, records_answer((b"b", b"x")))
    assert [entry.key for entry in taken[-1]] == ["b"]


# Guards against an answer that is lost, refused or unreadable and ends the reading.
@pytest.mark.parametrize("body", [b"", b"\xff" * 40, struct.pack(">QQI", 1, 0, 2**32 - 1)])
def test_feed_reads_again_after_an_answer_that_cannot_be_read(body):
    clock, store = VirtualClock(), ScriptedStore()
    taken = []
    TopicFeed(store, clock, "keyed.op", taken.append, taken.append).start()
    for _ in range(3):
        on_answer, store.on_answer = store.on_answer, None
        on_answer(200, body)
        clock.advance(1.5)
        assert store.on_answer is not None


def behind_answer(*records, first, end):
    """Return an answer with records from `first` on of a topic that ends at `end`."""
    body = records_answer(*records, first=first)
    return struct.pack(">QQ", end, 0) + body[16:]


# Guards against a part of a long read that counts as all there was: a node that followed the list
# again used drained servers, and planned on an outdated list.
def test_list_is_known_only_once_the_end_of_the_topic_is_read():
    clock, store = VirtualClock(), ScriptedStore()
    feed = TopicFeed(
        store, clock, "keyed.servers", lambda e: None, lambda e: None, pause_s=lambda: 0.5
    )
    feed.start()
    known_until = feed.known_until
    clock.advance(5.0)
    for number in range(3):
        on_answer, store.on_answer = store.on_answer, None
        on_answer(200, behind_answer((b"a", b"x"), first=number, end=4))
        # What is left is read at once.
        assert feed.known_until == known_until and store.on_answer is not None
        clock.advance(0.2)
    store.on_answer(200, behind_answer((b"a", b"x"), first=3, end=4))
    assert feed.known_until == pytest.approx(clock.now(), abs=0.3)


class PagedStore:
    """Store whose snapshot has two pages, which the test answers one by one."""

    era = 0

    def note_era(self, era):
        self.era = max(self.era, era)

    def __init__(self):
        self.on_answer = None

    def call(self, request, timeout_s, on_answer, on_lost):
        self.on_answer = on_answer


# Guards against changes that were made while the pages were read and count as known.
def test_list_of_several_pages_is_known_up_to_the_first():
    clock, store = VirtualClock(), PagedStore()
    feed = TopicFeed(store, clock, "keyed.servers", lambda e: None, lambda e: None)
    began_at = clock.now()
    feed.start()
    clock.advance(1.0)
    store.on_answer(200, b'{"entries":[{"key":"a","offset":0}],"hasMore":true,"end":1}')
    clock.advance(1.0)
    store.on_answer(200, b'{"entries":[{"key":"b","offset":0}],"hasMore":false,"end":9}')
    assert feed.known_until == began_at


class EraStore(PagedStore):
    """Store whose answers the test gives, each in an era."""

    def __init__(self):
        super().__init__()
        self.targets = []

    def call(self, request, timeout_s, on_answer, on_lost):
        super().call(request, timeout_s, on_answer, on_lost)
        self.targets.append(request.target)

    def answer(self, era, body, status=200):
        self.era = era
        self.on_answer(status, body)


def page(key, has_more, end):
    entries = [{"key": key, "offset": 0}]
    return json.dumps({"entries": entries, "hasMore": has_more, "end": end}).encode()


@pytest.fixture
def restored():
    """Return a store and a feed of it, with the keys of each list and of each further record."""
    clock, store, lists, records = VirtualClock(), EraStore(), [], []
    feed = TopicFeed(
        store,
        clock,
        "keyed.servers",
        lambda entries: lists.append([entry.key for entry in entries]),
        lambda entries: records.append([entry.key for entry in entries]),
    )
    feed.start()
    store.clock, store.feed, store.lists, store.records = clock, feed, lists, records
    return store


# Guards against a list without its first keys: the era began while the list was read in pages, and
# the second page was taken for the first one of the new list.
def test_second_page_is_not_taken_for_the_first_of_a_new_era(restored):
    restored.answer(1, page("a", True, 3))
    restored.answer(2, page("b", False, 3))
    assert restored.lists == []
    restored.answer(2, page("a", True, 3))
    restored.answer(2, page("b", False, 3))
    assert restored.lists == [["a", "b"]]


# Guards against records of a new era that are taken for those that follow in the former one.
def test_read_that_is_answered_in_a_new_era_leads_to_a_new_list(restored):
    restored.answer(1, page("a", False, 9))
    restored.answer(2, records_answer((b"b", b"x"), first=9))
    assert restored.records == [] and "newest" in restored.targets[-1]
    restored.answer(2, page("c", False, 4))
    assert restored.lists == [["a"], ["c"]]
    assert restored.feed.position == StorePosition(2, 4)


# Guards against an empty answer to a read of a former era that moves the offset beyond the end.
def test_answer_to_a_read_from_before_a_peers_era_is_not_used(restored):
    restored.answer(1, page("a", False, 9))
    restored.feed.adopt(StorePosition(2, 3), restored.clock.now(), "b")
    assert restored.era == 2
    restored.answer(2, struct.pack(">QQ", 9, 0))
    assert restored.feed.position == StorePosition(2, 3)
    assert "from=3" in restored.targets[-1]


# Guards against a list from before what is known to exist, which confirms that nothing is missing.
@pytest.mark.parametrize(("reached", "is_confirmed"), [(3, True), (4, False)])
def test_list_from_before_a_known_position_confirms_nothing(reached, is_confirmed):
    clock, store = VirtualClock(), EraStore()
    feed = TopicFeed(
        store,
        clock,
        "keyed.op",
        lambda entries: None,
        lambda entries: None,
        reached=lambda: StorePosition(1, reached),
    )
    feed.start()
    store.answer(1, page("a", False, 3))
    assert (feed.known_until is not None) is is_confirmed


# Guards against an offset of a former era that counts as reached in the new one.
def test_position_of_another_node_counts_while_the_list_of_a_new_era_is_awaited(restored):
    restored.answer(1, page("a", False, 9))
    restored.answer(2, records_answer((b"b", b"x"), first=9))
    restored.feed.adopt(StorePosition(2, 3), restored.clock.now(), "b")
    assert restored.feed.position == StorePosition(2, 3)
