"""An unexpected error while one request is handled ends that request and nothing else."""

import pytest

from briarpond.invariants import BrokenInvariantError
from briarpond.net import LossReason, run_guarded

from .world import STAMP_HEADER, Gateway


def raise_once(monkeypatch, owner, name, exc):
    """Make a method raise at its next call."""
    original = getattr(owner, name)

    def fail(*args, **kwargs):
        monkeypatch.setattr(owner, name, original)
        raise exc

    monkeypatch.setattr(owner, name, fail)


# Guards against an assertion about one request that ends the process with everyone's requests.
def test_failed_assertion_costs_its_callback_and_not_the_process():
    def fail():
        raise AssertionError("state of one request")

    assert run_guarded("connection", fail) is False


# Guards against a process that goes on with shared state that can't be trusted any more.
def test_broken_invariant_of_shared_state_is_not_confined():
    def fail():
        raise BrokenInvariantError("records folded out of order")

    with pytest.raises(BrokenInvariantError):
        run_guarded("connection", fail)


# Guards against the end of a connection that is reported to a request which has given it up.
def test_loss_of_a_send_that_was_given_up_is_ignored(tmp_path):
    gateway = Gateway(tmp_path)
    reply = gateway.send_request("/order/1", deadline_ms=500)
    (sent,) = gateway.client.sent
    gateway.clock.advance(1.0)
    assert reply.status == 504
    sent.call.on_lost(LossReason.CONNECTION_LOST)
    assert gateway.ingress.in_flight == 0


# Guards against a request that gets no answer because its handling failed: its outcome is
# 'not run' as long as nothing was sent.
def test_error_before_the_send_ends_the_request_as_not_run(tmp_path, monkeypatch):
    gateway = Gateway(tmp_path)
    raise_once(monkeypatch, gateway.client, "start", KeyError("unexpected"))
    reply = gateway.send_request("/order/1")
    assert reply.status == 503 and reply.header("retry-after") is not None
    assert gateway.ingress.in_flight == 0


def test_error_while_an_answer_is_handled_ends_the_request_as_unknown(tmp_path, monkeypatch):
    gateway = Gateway(tmp_path)
    reply = gateway.send_request("/order/1")
    (sent,) = gateway.client.sent
    raise_once(monkeypatch, gateway.state.load_tracker, "record_end", KeyError("unexpected"))
    sent.answer_whole(200, b"ok", STAMP_HEADER)
    gateway.clock.advance(0.1)
    assert reply.status == 502
    assert gateway.ingress.in_flight == 0


# Guards against held requests that wait for ever behind one whose handling fails.
def test_error_in_one_held_request_does_not_hold_up_the_others(tmp_path, monkeypatch):
    gateway = Gateway(tmp_path, heads=())
    gateway.publish_plan(("h1",))
    load = gateway.state.load_tracker
    load.mark_full("h1", gateway.clock.now() + 0.1)
    replies = [gateway.send_stream_request() for _ in range(3)]
    assert not gateway.client.sent and gateway.ingress.in_flight == 3
    raise_once(monkeypatch, gateway.client, "start", KeyError("unexpected"))
    gateway.clock.advance(0.5)
    assert replies[0].status == 503
    assert len(gateway.client.sent) == 2
