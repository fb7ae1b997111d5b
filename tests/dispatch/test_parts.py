"""Event splitting, retry budget, load, expected times, slow heads and admission."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarpond.dispatch import (
    AdmissionAction,
    BudgetShare,
    EventGapTracker,
    LoadTracker,
    RequestSize,
    ResumableEventSplitter,
    SharedRetryBudget,
    decide_admission,
    expected_first_event_s,
    slot_occupancy_s,
)
from briarpond.platform import decode_configuration
from briarpond.routes import HostedModel

from ..platform_samples import config_bytes

ENGINE = decode_configuration(config_bytes()).ok.services["pool"].engine
BIG, SMALL = ENGINE.models
# Mean request of the sample configuration: tokens of prompt and answer.
MEAN_REQUEST = RequestSize(979, 154)


@given(st.lists(st.integers(1, 40)), st.integers(1, 50))
def test_only_complete_events_are_returned_for_any_chunk_size(sizes, chunk_size):
    events = [b"id: %d\ndata: %s\n\n" % (n, b"x" * size) for n, size in enumerate(sizes)]
    stream = b"".join(events)
    splitter = ResumableEventSplitter()
    returned = b""
    for start in range(0, len(stream), chunk_size):
        complete = splitter.feed(stream[start : start + chunk_size])
        assert complete == b"" or complete.endswith(b"\n\n")
        returned += complete
    assert returned == stream and not splitter.has_partial_event
    if sizes:
        assert splitter.last_event_id == str(len(sizes) - 1).encode()


def test_partial_event_of_an_ended_send_is_not_prefixed_to_the_next_send():
    splitter = ResumableEventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assert splitter.has_partial_event and splitter.last_event_id == b"1"
    splitter.discard_partial_event()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize("nodes", [1, 8, 72])
def test_retries_of_all_nodes_stay_within_the_shared_budget(nodes):
    ratio, slack, window = 0.2, 107.0, 10.0
    budgets = [SharedRetryBudget(ratio, slack, window) for _ in range(nodes)]
    retries: list[float] = []
    requests = 0
    for tick in range(400):
        now = tick * 0.1
        for budget in budgets:
            budget.record_request(now)
            requests += 1
            while budget.try_acquire(BudgetShare(nodes), now):
                budget.record_sent(now)
                retries.append(now)
        retries_in_window = sum(1 for at in retries if at > now - window)
        requests_in_window = min(requests, int(window / 0.1) * nodes)
        assert retries_in_window <= ratio * requests_in_window + slack


def test_retry_that_has_reached_no_server_is_granted_again_and_counts_once():
    budget = SharedRetryBudget(0.0, 2.0, 10.0)
    share = BudgetShare(1)
    assert budget.try_acquire(share, 0.0)
    budget.record_sent(0.5)
    budget.restore_grant(0.5)
    assert budget.usage(share, 1.0).unsent == 1 and not budget.try_acquire(share, 1.0)
    budget.record_sent(2.0)
    assert budget.usage(share, 11.0).retries == 1 and not budget.try_acquire(share, 11.0)
    budget.restore_grant(2.0)
    budget.release()
    assert budget.try_acquire(share, 11.5)


# Guards against a repeat of another request that ceases to count, and a count below zero for good.
def test_grant_that_is_restored_leaves_the_repeats_of_other_requests():
    budget = SharedRetryBudget(0.0, 10.0, 10.0)
    share = BudgetShare(1)
    for sent_at in (0.0, 9.0):
        assert budget.try_acquire(share, sent_at)
        budget.record_sent(sent_at)
    assert budget.usage(share, 10.5).retries == 1
    budget.restore_grant(0.0)
    assert budget.usage(share, 10.5).retries == 2
    budget.release()
    assert budget.usage(share, 10.5).retries == 1
    assert budget.usage(share, 30.0).unsent == budget.usage(share, 30.0).retries == 0


def test_load_of_other_nodes_counts_until_it_is_replaced():
    tracker = LoadTracker()
    tracker.record_sent("s", 500)
    tracker.set_peer_load("n2", [("s", 3, 900)])
    tracker.set_peer_load("n3", [("s", 1, 0)])
    total = tracker.total_load("s")
    assert (total.in_flight, total.unread_tokens) == (5, 1400)
    tracker.set_peer_load("n2", [("s", 2, 0)])
    assert tracker.total_load("s").in_flight == 4
    tracker.set_peer_load("n2", [])
    tracker.set_peer_load("n3", [])
    assert tracker.total_load("s").in_flight == 1
    tracker.record_first_event("s", 500)
    tracker.record_end("s")
    assert tracker.total_load("s").in_flight == 0
    tracker.prune(set())
    assert tracker.total_load("s").in_flight == 0


def test_full_group_has_a_later_expected_first_event():
    free = expected_first_event_s(ENGINE, BIG, MEAN_REQUEST, 8, 0)
    full = expected_first_event_s(ENGINE, BIG, MEAN_REQUEST, 9, 0)
    fuller = expected_first_event_s(ENGINE, BIG, MEAN_REQUEST, 12, 0)
    assert free < full < fuller
    assert slot_occupancy_s(ENGINE, SMALL, MEAN_REQUEST) < slot_occupancy_s(
        ENGINE, BIG, MEAN_REQUEST
    )


def test_head_far_slower_than_the_median_of_its_model_is_slow():
    """A member that is four times slower delays the streams of a group with a fast head."""
    tracker = EventGapTracker()
    for tick in range(20):
        now = tick * 0.05
        for head, gap in (("a", 0.05), ("b", 0.06), ("c", 0.05), ("d", 0.2)):
            tracker.record_gap(head, HostedModel("pool", "big"), gap, now)
    assert tracker.slow_heads(1.0) == ["d"]
    tracker.reset("d")
    assert tracker.slow_heads(1.0) == [] and tracker.slow_heads(9.0) == []


def test_no_head_is_slow_with_too_few_heads_of_its_model():
    tracker = EventGapTracker()
    for _ in range(20):
        tracker.record_gap("a", HostedModel("pool", "big"), 0.9, 1.0)
        tracker.record_gap("b", HostedModel("pool", "small"), 0.05, 1.0)
    assert tracker.slow_heads(1.0) == []


def test_request_is_sent_or_held_and_refused_after_the_hold():
    assert decide_admission(0.1, True, 0.0, 0.4, 8.0, 0.4).action is AdmissionAction.SEND
    assert decide_admission(None, False, 0.0, 0.4, 8.0, 0.4).action is AdmissionAction.HOLD
    late = decide_admission(None, False, 0.5, 0.4, 6.0, 0.4)
    assert late.action is AdmissionAction.REFUSE and 0 < late.retry_after_s <= 2.0
