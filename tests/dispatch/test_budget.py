"""Retry budget of one node: which repeats count, and until when."""

from briarpond.dispatch import BudgetShare, SharedRetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 10.0, 10.0


def make_budget():
    return SharedRetryBudget(RATIO, SLACK, WINDOW_S)


def acquire_all(budget, now):
    granted = 0
    while budget.try_acquire(BudgetShare(1), now):
        granted += 1
    return granted


# Guards against repeats of held requests that are sent when their grants no longer count.
def test_repeat_counts_until_a_window_after_it_was_sent():
    budget = make_budget()
    granted = acquire_all(budget, 0.0)
    assert granted == 8
    for _ in range(granted):
        budget.record_sent(9.0)
    assert acquire_all(budget, 10.5) == 0
    assert acquire_all(budget, 18.9) == 0
    assert acquire_all(budget, 19.1) == granted


def test_grant_that_is_not_sent_counts_until_it_is_returned():
    budget = make_budget()
    granted = acquire_all(budget, 0.0)
    assert acquire_all(budget, 1000.0) == 0
    for _ in range(granted):
        budget.release()
    assert acquire_all(budget, 1000.0) == granted


def test_what_left_the_window_is_forgotten():
    budget = make_budget()
    for tick in range(100_000):
        now = tick * 0.01
        budget.record_request(now)
        if budget.try_acquire(BudgetShare(1), now):
            budget.record_sent(now)
    assert len(budget._request_times) <= 1 + WINDOW_S / 0.01
    assert len(budget._sent_times) <= RATIO * WINDOW_S / 0.01 + SLACK


# Guards against times of requests that pile up at a node that has nothing to repeat.
def test_requests_are_forgotten_without_any_repeat():
    budget = make_budget()
    for tick in range(100_000):
        budget.record_request(tick * 0.01)
    assert len(budget._request_times) <= 1 + WINDOW_S / 0.01
