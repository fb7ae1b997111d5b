"""Recovery from failed sends: a request that must not run twice is never sent again."""

import itertools

import pytest

from briarpond.dispatch import Failure, NextStep, Progress, next_step
from briarpond.platform import decode_configuration

from ..platform_samples import config_bytes

STREAM, ORDER, LOOK_UP = decode_configuration(config_bytes()).ok.routes


def test_non_idempotent_is_never_sent_again_once_it_may_have_run():
    for sends, budget in itertools.product(range(1, 4), (True, False)):
        step = next_step(ORDER, Failure.UNKNOWN, Progress(sends, 1, False), 1.0, budget)
        assert step is NextStep.FAIL


def test_request_is_refused_as_not_run_only_if_it_has_not_run():
    for route, sends, runs, failure in itertools.product(
        (STREAM, ORDER, LOOK_UP), range(4), range(3), Failure
    ):
        if runs > sends:
            continue
        step = next_step(route, failure, Progress(sends, runs, False), 0.0, False)
        assert (step is NextStep.REFUSE) == (runs == 0)


def test_failed_connect_is_retried_without_retry_budget():
    assert next_step(ORDER, Failure.NOT_SENT, Progress(0, 0, False, 1), 1.0, False) is (
        NextStep.AGAIN
    )


def test_failed_connects_are_limited():
    assert next_step(ORDER, Failure.NOT_SENT, Progress(0, 0, False, 4), 1.0, False) is (
        NextStep.REFUSE
    )


def test_runs_are_limited_by_the_attempts_of_the_route():
    assert next_step(STREAM, Failure.UNKNOWN, Progress(1, 1, True), 1.0, True) is NextStep.AGAIN
    assert next_step(STREAM, Failure.UNKNOWN, Progress(2, 2, True), 1.0, True) is NextStep.ABORT


@pytest.mark.parametrize("remaining_s", [0.0, 0.01])
def test_no_retry_when_too_little_time_remains(remaining_s):
    assert (
        next_step(LOOK_UP, Failure.UNKNOWN, Progress(1, 1, False), remaining_s, True)
        is NextStep.FAIL
    )


def test_retry_of_a_request_that_was_not_executed_needs_the_shared_budget():
    progress = Progress(1, 0, False)
    assert next_step(STREAM, Failure.NOT_EXECUTED, progress, 1.0, False) is NextStep.REFUSE
    assert next_step(STREAM, Failure.NOT_EXECUTED, progress, 1.0, True) is NextStep.AGAIN
