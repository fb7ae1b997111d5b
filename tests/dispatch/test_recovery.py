"""Recovery from failed sends: a request that must not run twice is never sent again."""

import itertools

import pytest

from briarpond.dispatch import RecoveryAction, SendFailure, SendProgress, decide_recovery
from briarpond.platform import decode_configuration

from ..platform_samples import config_bytes

STREAM, ORDER, LOOK_UP = decode_configuration(config_bytes()).ok.routes


def test_non_idempotent_request_is_never_sent_again_once_it_may_have_run():
    for sends, budget in itertools.product(range(1, 4), (True, False)):
        action = decide_recovery(
            ORDER, SendFailure.UNKNOWN, SendProgress(sends, 1, False), 1.0, budget
        )
        assert action is RecoveryAction.FAIL


def test_request_is_refused_as_not_run_only_if_it_has_not_run():
    for route, sends, runs, failure in itertools.product(
        (STREAM, ORDER, LOOK_UP), range(4), range(3), SendFailure
    ):
        if runs > sends:
            continue
        action = decide_recovery(route, failure, SendProgress(sends, runs, False), 0.0, False)
        assert (action is RecoveryAction.REFUSE) == (runs == 0)


def test_failed_connect_is_retried_without_retry_budget():
    assert decide_recovery(
        ORDER, SendFailure.NOT_SENT, SendProgress(0, 0, False, 1), 1.0, False
    ) is (RecoveryAction.RETRY)


def test_failed_connects_are_limited():
    assert decide_recovery(
        ORDER, SendFailure.NOT_SENT, SendProgress(0, 0, False, 4), 1.0, False
    ) is (RecoveryAction.REFUSE)


def test_runs_are_limited_by_the_attempts_of_the_route():
    assert (
        decide_recovery(STREAM, SendFailure.UNKNOWN, SendProgress(1, 1, True), 1.0, True)
        is RecoveryAction.RETRY
    )
    assert (
        decide_recovery(STREAM, SendFailure.UNKNOWN, SendProgress(2, 2, True), 1.0, True)
        is RecoveryAction.ABORT
    )


@pytest.mark.parametrize("remaining_s", [0.0, 0.01])
def test_no_retry_when_too_little_time_remains(remaining_s):
    assert (
        decide_recovery(LOOK_UP, SendFailure.UNKNOWN, SendProgress(1, 1, False), remaining_s, True)
        is RecoveryAction.FAIL
    )


def test_retry_of_a_request_that_was_not_executed_needs_the_shared_budget():
    progress = SendProgress(1, 0, False)
    assert (
        decide_recovery(STREAM, SendFailure.NOT_EXECUTED, progress, 1.0, False)
        is RecoveryAction.REFUSE
    )
    assert (
        decide_recovery(STREAM, SendFailure.NOT_EXECUTED, progress, 1.0, True)
        is RecoveryAction.RETRY
    )
