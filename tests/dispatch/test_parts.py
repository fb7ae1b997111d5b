"""Event splitting, retry budget, load, expected times, slow heads and admission."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarpond.dispatch import (
    EventSplitter,
    LoadBook,
    PaceBook,
    RetryBudget,
    VerdictKind,
    Work,
    first_event_s,
    judge,
    place_s,
)
from briarpond.platform import decode_configuration

from ..platform_samples import config_bytes

ENGINE = decode_configuration(config_bytes()).ok.services["pool"].engine
BIG, SMALL = ENGINE.models
# Mean request of the sample configuration: tokens of prompt and answer.
MEAN_REQUEST = Work(979, 154)


@given(st.lists(st.integers(1, 40)), st.integers(1, 50))
def test_only_complete_events_are_returned_for_any_chunk_size(sizes, chunk_size):
    events = [b"id: %d\ndata: %s\n\n" % (n, b"x" * size) for n, size in enumerate(sizes)]
    stream = b"".join(events)
    splitter = EventSplitter()
    returned = b""
    for start in range(0, len(stream), chunk_size):
        complete = splitter.feed(stream[start : start + chunk_size])
        assert complete == b"" or complete.endswith(b"\n\n")
        returned += complete
    assert returned == stream and not splitter.partial
    if sizes:
        assert splitter.last_id == str(len(sizes) - 1).encode()


def test_restart_discards_an_incomplete_event():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert splitter.partial and splitter.last_id == b"1"
    splitter.restart()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize("nodes", [1, 8, 72])
def test_retries_of_all_nodes_stay_within_the_shared_budget(nodes):
    ratio, slack, window = 0.2, 107.0, 10.0
    budgets = [RetryBudget(ratio, slack, window) for _ in range(nodes)]
    retries: list[float] = []
    requests = 0
    for tick in range(400):
        now = tick * 0.1
        for budget in budgets:
            budget.count_request(now)
            requests += 1
            while budget.take(nodes, now):
                retries.append(now)
        retries_in_window = sum(1 for at in retries if at > now - window)
        requests_in_window = min(requests, int(window / 0.1) * nodes)
        assert retries_in_window <= ratio * requests_in_window + slack


def test_load_of_other_nodes_counts_until_it_expires_or_is_withdrawn():
    book = LoadBook()
    book.sent("s", 500)
    book.put_peer("n2", [("s", 3, 900)], 10.0)
    assert (book.load("s", 10.5).in_flight, book.load("s", 10.5).unread_tokens) == (4, 1400)
    assert book.load("s", 12.0).in_flight == 1
    book.put_peer("n2", [], 10.6)
    assert book.load("s", 10.7).in_flight == 1
    book.began("s", 500)
    book.ended("s")
    assert book.load("s", 10.7).in_flight == 0


def test_full_group_has_a_later_expected_first_event():
    free = first_event_s(ENGINE, BIG, MEAN_REQUEST, 8, 0)
    full = first_event_s(ENGINE, BIG, MEAN_REQUEST, 9, 0)
    fuller = first_event_s(ENGINE, BIG, MEAN_REQUEST, 12, 0)
    assert free < full < fuller
    assert place_s(ENGINE, SMALL, MEAN_REQUEST) < place_s(ENGINE, BIG, MEAN_REQUEST)


def test_head_far_slower_than_the_median_of_its_model_is_slow():
    """A member that works four times slower slows a group down whose head still answers."""
    book = PaceBook()
    for tick in range(20):
        now = tick * 0.05
        for head, gap in (("a", 0.05), ("b", 0.06), ("c", 0.05), ("d", 0.2)):
            book.note(head, "big", gap, now)
    assert book.slow(1.0) == ["d"]
    book.forget("d")
    assert book.slow(1.0) == [] and book.slow(9.0) == []


def test_no_head_is_slow_with_too_few_heads_of_its_model():
    book = PaceBook()
    for _ in range(20):
        book.note("a", "big", 0.9, 1.0)
        book.note("b", "small", 0.05, 1.0)
    assert book.slow(1.0) == []


def test_request_is_sent_or_held_and_refused_after_the_hold():
    assert judge(0.1, True, 0.0, 0.4, 8.0, 0.4).kind is VerdictKind.SEND
    assert judge(None, False, 0.0, 0.4, 8.0, 0.4).kind is VerdictKind.HOLD
    late = judge(None, False, 0.5, 0.4, 6.0, 0.4)
    assert late.kind is VerdictKind.REFUSE and 0 < late.retry_after_s <= 2.0
