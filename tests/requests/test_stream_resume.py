"""A stream of the own interface whose backend server is lost and that another one resumes."""

import pytest

from briarpond.ids import AttemptId
from briarpond.net import LossReason
from briarpond.requests import (
    Outcome,
    ReplyData,
    ReplyEnd,
    ReplyRefusal,
    RequestKind,
    RequestMachine,
    RequestSpec,
    RetryBudget,
    Target,
    TargetKind,
)

EVENT_STREAM = (("content-type", "text/event-stream"),)
ERROR_TEXT = b"error: out of memory\n\nHTTP/1.1 500 Oops\n\ndata: [DONE]\n\n"


@pytest.fixture
def machine():
    """Return the machine of a stream that was lost after one event and runs at another server."""
    numbers = iter(range(1, 9))
    spec = RequestSpec("lark", RequestKind.MODEL_STREAM, True, deadline=60.0, max_silence_s=10.0)
    machine = RequestMachine(
        spec,
        lambda avoided, now: Target(TargetKind.SERVER, f"s{len(avoided)}", "10.0.0.1:80"),
        RetryBudget(),
        lambda: AttemptId(f"a{next(numbers)}"),
    )
    machine.start(now=0.0)
    machine.on_sent("a1", now=0.1)
    machine.on_head("a1", 200, EVENT_STREAM, False, now=0.2)
    assert machine.on_body("a1", b"data: x\n\n", now=0.3)
    machine.on_lost("a1", LossReason.CONNECTION_LOST, now=0.4)
    machine.on_sent("a2", now=0.5)
    return machine


# Guards against the text of a second server's error in the middle of a caller's stream.
@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (500, EVENT_STREAM),
        (404, (("content-type", "text/plain"),)),
        (200, (("content-type", "text/html"),)),
        (200, ()),
    ],
)
def test_error_of_the_resuming_server_never_gets_into_the_stream(machine, status, headers):
    effects = machine.on_head("a2", status, headers, False, now=0.6)
    effects += machine.on_body("a2", ERROR_TEXT, now=0.7)
    effects += machine.on_end("a2", now=0.8)
    assert not [effect for effect in effects if isinstance(effect, ReplyData | ReplyEnd)]
    assert machine.outcome is not Outcome.ANSWERED


def test_resumed_stream_goes_on(machine):
    headers = (("content-type", "text/event-stream; charset=utf-8"),)
    machine.on_head("a2", 200, headers, False, now=0.6)
    effects = machine.on_body("a2", b"data: y\n\ndata: [DONE]\n\n", now=0.7)
    effects += machine.on_end("a2", now=0.8)
    assert [type(effect) for effect in effects] == [ReplyData, ReplyEnd]


# Guards against a stream that ends as complete because the resuming server closed at once.
def test_resumed_answer_without_events_is_no_end_of_the_stream(machine):
    machine.on_head("a2", 200, EVENT_STREAM, False, now=0.6)
    effects = machine.on_end("a2", now=0.7)
    assert not [effect for effect in effects if isinstance(effect, ReplyEnd)]


# Guards against 'not run' for a request that an earlier server had run.
def test_refusal_by_the_next_server_does_not_make_the_request_not_run(machine):
    effects = machine.on_head("a2", 503, (), True, now=0.6)
    while not machine.done:
        effects = machine.on_lost(machine._attempt, LossReason.CONNECT_FAILED, now=0.7)
    (refusal,) = [effect for effect in effects if isinstance(effect, ReplyRefusal)]
    assert refusal.refusal.outcome is Outcome.UNKNOWN
