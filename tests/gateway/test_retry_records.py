"""Logs and metrics of the retry budget: what is granted, refused and sent."""

import pytest

from briarpond.gateway import _retry_records
from briarpond.net import LossReason

from .silent_servers import NOT_EXECUTED
from .world import Gateway


@pytest.fixture
def logged(monkeypatch):
    """Events that the records of the retry budget log."""
    events = []
    monkeypatch.setattr(
        _retry_records, "log_event", lambda name, **fields: events.append((name, fields))
    )
    return events


def values(metric):
    return {tuple(sorted(labels.items())): value for labels, value in metric.get_all()}


def test_repeat_is_logged_with_what_counts(tmp_path, logged):
    gateway = Gateway(tmp_path)
    gateway.send_stream_request()
    gateway.client.sent[0].answer_head(503, NOT_EXECUTED)
    ((name, fields),) = logged
    assert name == "send_repeated"
    assert fields["service"] == "pool" and fields["counted"] == 1 and fields["held_ms"] == 0
    metrics = gateway.state.metrics
    assert values(metrics.retries_granted) == {(("service", "pool"),): 1}


# Guards against a record of which nobody can tell that the budget had refused a repeat.
def test_refusals_are_counted_and_logged_once_a_second(tmp_path, logged):
    gateway = Gateway(tmp_path)
    gateway.state.retry_budget("pool").try_acquire = lambda *args: False
    for _ in range(3):
        gateway.send_stream_request()
        gateway.client.sent[-1].answer_head(503, NOT_EXECUTED)
    gateway.clock.advance(1.0)
    gateway.send_stream_request()
    gateway.client.sent[-1].call.on_lost(LossReason.CONNECTION_LOST)
    assert [name for name, _ in logged] == ["retry_refused"] * 2
    assert [fields["refusals"] for _, fields in logged] == [1, 3]
    ((labels, count),) = values(gateway.state.metrics.retries_refused).items()
    assert dict(labels)["service"] == "pool" and count == 4


def test_gauges_tell_what_is_used(tmp_path):
    gateway = Gateway(tmp_path)
    gateway.send_stream_request()
    gateway.client.sent[0].answer_head(503, NOT_EXECUTED)
    gateway.state.publish_retry_usage(gateway.clock.now())
    metrics = gateway.state.metrics
    assert values(metrics.retries_counted) == {(("service", "pool"),): 1}
    assert values(metrics.retries_allowed)[(("service", "pool"),)] > 1
    assert values(metrics.retry_nodes) == {(): 1}
