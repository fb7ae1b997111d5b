"""What follows a failed send: never a second run of what may not be repeated."""

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


def test_refusal_promises_only_what_is_true():
    for route, sends, runs, failure in itertools.product(
        (STREAM, ORDER, LOOK_UP), range(4), range(3), Failure
    ):
        if runs > sends:
            continue
        step = next_step(route, failure, Progress(sends, runs, False), 0.0, False)
        assert (step is NextStep.REFUSE) == (runs == 0)


def test_failed_connect_is_free():
    assert next_step(ORDER, Failure.NOT_SENT, Progress(0, 0, False, 1), 1.0, False) is (
        NextStep.AGAIN
    )


def test_failed_connects_end():
    assert next_step(ORDER, Failure.NOT_SENT, Progress(0, 0, False, 4), 1.0, False) is (
        NextStep.REFUSE
    )


def test_runs_stay_within_the_attempts_of_the_route():
    assert next_step(STREAM, Failure.UNKNOWN, Progress(1, 1, True), 1.0, True) is NextStep.AGAIN
    assert next_step(STREAM, Failure.UNKNOWN, Progress(2, 2, True), 1.0, True) is NextStep.CUT


@pytest.mark.parametrize("left", [0.0, 0.01])
def test_nothing_is_sent_when_time_is_over(left):
    assert next_step(LOOK_UP, Failure.UNKNOWN, Progress(1, 1, False), left, True) is NextStep.FAIL


def test_repeats_need_the_shared_budget():
    progress = Progress(1, 0, False)
    assert next_step(STREAM, Failure.NOT_EXECUTED, progress, 1.0, False) is NextStep.REFUSE
    assert next_step(STREAM, Failure.NOT_EXECUTED, progress, 1.0, True) is NextStep.AGAIN
