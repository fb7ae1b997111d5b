"""Limits of client accounts, and the fair queue of requests that wait."""

import pytest

from briarpond.admission import (
    AccountIndex,
    AccountLimiter,
    Admitted,
    Denied,
    FairQueue,
    QueuedRequest,
    QueueFull,
    api_key_digest,
)
from briarpond.admission._queue import MAX_QUEUED
from briarpond.configuration import AccountConfig, Document


def test_admitted_rate_is_the_share_of_the_limit_and_one_burst():
    limiter = AccountLimiter()
    config = AccountConfig(requests_per_s=10.0, concurrency=10_000)
    admitted = 0
    for step in range(1000):
        now = step * 0.01
        if isinstance(limiter.admit("lark", config, 0.5, 1, now), Admitted):
            admitted += 1
            limiter.release("lark", 1)
    # A share of 0.5 of 10 requests per second for 10 s, and a burst of 2 s at the start.
    assert admitted == pytest.approx(60, abs=2)


def test_denial_states_when_the_next_request_is_admitted():
    limiter = AccountLimiter()
    config = AccountConfig(requests_per_s=1.0)
    answers = [limiter.admit("lark", config, 1.0, 1, 0.0) for _ in range(3)]
    assert isinstance(answers[1], Admitted)
    assert answers[2] == Denied("requests_per_s", 1.0)
    assert isinstance(limiter.admit("lark", config, 1.0, 1, 1.0), Admitted)


def test_concurrency_and_token_rate_are_limited():
    limiter = AccountLimiter()
    config = AccountConfig(concurrency=1, tokens_per_s=100.0)
    assert isinstance(limiter.admit("lark", config, 1.0, 500, 0.0), Admitted)
    assert limiter.admit("lark", config, 1.0, 1, 0.0).reason == "concurrency"
    limiter.release("lark", 0)
    assert limiter.admit("lark", config, 1.0, 1, 0.0).reason == "tokens_per_s"
    assert isinstance(limiter.admit("lark", config, 1.0, 1, 4.0), Admitted)


def test_unused_tokens_are_returned_to_the_account():
    limiter = AccountLimiter()
    config = AccountConfig(tokens_per_s=100.0)
    limiter.admit("lark", config, 1.0, 500, 0.0)
    limiter.release("lark", 450)
    assert isinstance(limiter.admit("lark", config, 1.0, 1, 0.0), Admitted)


def test_account_is_found_by_its_exact_key_and_not_by_the_digest():
    document = Document(accounts={"lark": AccountConfig(key_sha256=(api_key_digest("secret"),))})
    index = AccountIndex(document)
    assert index.find("secret") == "lark"
    assert index.find("Secret") is None
    assert index.find(api_key_digest("secret")) is None


def _fill(queue, account, count, started, weight=1.0, slot_free=None):
    def try_start() -> bool:
        if slot_free is not None and not slot_free[0]:
            return False
        started.append(account)
        return True

    for _ in range(count):
        assert (
            queue.push(QueuedRequest(account, 1e9, try_start, lambda: None), weight, 1.0, 0.0)
            is None
        )


def test_account_with_few_requests_is_not_delayed_by_one_with_many():
    queue, started = FairQueue(), []
    _fill(queue, "large", 100, started)
    _fill(queue, "small", 5, started)
    queue.start_queued(1.0, 10)
    assert started.count("small") == 5


def test_requests_are_started_in_proportion_to_the_weights():
    queue, started = FairQueue(), []
    _fill(queue, "a", 100, started, weight=3.0)
    _fill(queue, "b", 100, started, weight=1.0)
    queue.start_queued(1.0, 80)
    assert started.count("a") == pytest.approx(60, abs=1)


def test_no_request_is_started_without_a_free_slot():
    queue, started, slot_free = FairQueue(), [], [False]
    _fill(queue, "a", 3, started, slot_free=slot_free)
    assert queue.start_queued(1.0, 3) == 0
    assert len(queue) == 3
    slot_free[0] = True
    assert queue.start_queued(1.0, 3) == 3
    assert len(queue) == 0


def test_request_that_cannot_start_by_its_deadline_is_not_queued():
    queue, started = FairQueue(), []
    _fill(queue, "a", 50, started)
    refused = queue.push(QueuedRequest("b", 0.5, lambda: True, lambda: None), 1.0, 1.0, 0.0)
    assert isinstance(refused, QueueFull)
    assert refused.reason == "deadline"
    assert refused.retry_after_s > 0.5


def test_queue_and_each_accounts_part_of_it_are_limited():
    queue, started = FairQueue(), []
    _fill(queue, "a", MAX_QUEUED // 2, started)
    assert (
        queue.push(QueuedRequest("a", 1e9, lambda: True, lambda: None), 1.0, 1.0, 0.0) is not None
    )
    _fill(queue, "b", MAX_QUEUED // 2, started)
    full = queue.push(QueuedRequest("c", 1e9, lambda: True, lambda: None), 1.0, 1.0, 0.0)
    assert full.reason == "queue"


def test_expired_and_removed_requests_are_not_started():
    queue = FairQueue()
    expired = QueuedRequest("a", 50.0, lambda: True, lambda: None)
    removed = QueuedRequest("a", 1e9, lambda: True, lambda: None)
    assert queue.push(expired, 1.0, 1.0, 0.0) is None
    assert queue.push(removed, 1.0, 1.0, 0.0) is None
    queue.remove(removed)
    assert queue.remove_expired(60.0) == [expired]
    assert len(queue) == 0
    assert queue.start_queued(61.0, 5) == 0
