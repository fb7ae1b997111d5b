"""Logs and metrics of the retry budget: what is granted, refused and sent."""

from types import SimpleNamespace

import pytest

from briarpond.directory import Member, MemberTable
from briarpond.dispatch import KNOWN_AFTER_S, BudgetShare
from briarpond.gateway import _retry_records
from briarpond.gateway._node import Node
from briarpond.net import Address, BodyBudget, LossReason

from .silent_servers import BEGUN_SILENCE_S, NOT_EXECUTED, begin_answer
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
    assert values(metrics.retry_nodes) == {(): 1} and values(metrics.retry_share) == {(): 1}


# Guards against repeats that leave when their grants have left the window.
def test_held_repeat_counts_from_when_it_is_sent(tmp_path, logged):
    gateway = Gateway(tmp_path)
    gateway.ingress.start()
    budget = gateway.state.retry_budget("pool")
    gateway.send_stream_request(deadline_ms=8000)
    first = gateway.client.sent[0]
    begin_answer(first, 0)
    granted_at = gateway.clock.now()
    for group in gateway.state.groups(granted_at):
        gateway.state.load_tracker.mark_full(group.head, granted_at + 3.0)
    first.call.on_lost(LossReason.CONNECTION_LOST)
    gateway.clock.advance(4.0)
    ((name, fields),) = logged
    assert name == "send_repeated" and fields["held_ms"] >= 3000
    sent_at = granted_at + fields["held_ms"] / 1000
    begin_answer(gateway.client.sent[1], 1)
    gateway.client.sent[1].call.on_end()
    window_s = gateway.state.settings.bounds.retry_window_s
    assert budget.usage(BudgetShare(1), sent_at + window_s - 0.1).retries == 1
    assert budget.usage(BudgetShare(1), sent_at + window_s + 0.1).retries == 0


# Guards against grants that nobody gives back: they would count for good.
@pytest.mark.parametrize("end", ["caller", "timeout", "stop"])
def test_request_that_ends_gives_its_unsent_grant_back(tmp_path, end):
    gateway = Gateway(tmp_path)
    budget = gateway.state.retry_budget("pool")
    reply = gateway.send_stream_request(deadline_ms=2000)
    begin_answer(gateway.client.sent[0], 0)
    for group in gateway.state.groups(gateway.clock.now()):
        gateway.state.load_tracker.mark_full(group.head, gateway.clock.now() + 30.0)
    gateway.client.sent[0].call.on_lost(LossReason.CONNECTION_LOST)
    assert budget.usage(BudgetShare(1), gateway.clock.now()).unsent == 1
    match end:
        case "caller":
            reply.on_disconnect()
        case "timeout":
            gateway.clock.advance(3.0)
        case "stop":
            gateway.ingress.end_all()
    usage = budget.usage(BudgetShare(1), gateway.clock.now())
    assert usage.unsent == 0 and usage.retries == 0


# Guards against a second grant for a connect that failed: one repeat has used two.
def test_repeat_after_a_failed_connect_uses_the_same_grant(tmp_path, logged):
    gateway = Gateway(tmp_path)
    gateway.ingress.start()
    budget = gateway.state.retry_budget("pool")
    gateway.send_stream_request()
    first = gateway.client.sent[0]
    begin_answer(first, 0)
    addresses = {group.address for group in gateway.state.groups(gateway.clock.now())}
    gateway.client.refusing = addresses - {first.call.address}
    gateway.clock.advance(BEGUN_SILENCE_S)
    assert len(gateway.client.sent) == 1
    assert budget.usage(BudgetShare(1), gateway.clock.now()).retries == 1
    gateway.client.refusing = set()
    gateway.clock.advance(2.0)
    assert [name for name, _ in logged] == ["send_repeated"]
    usage = budget.usage(BudgetShare(1), gateway.clock.now())
    assert usage.retries == 1 and usage.unsent == 0


# Guards against a part that is too large for good, since nobody tells the budget of the nodes.
def test_node_tells_the_budget_of_the_nodes_that_it_knows(tmp_path):
    gateway = Gateway(tmp_path, is_new=True)
    own, others = gateway.state.settings.node, ("n2", "n3", "n4")
    address = Address("10.1.0.40", 8227)
    members = MemberTable(Member(own, 1, 1, address, "hobart-a", True, False))
    for name in others:
        member = Member(name, 1, 1, address, "hobart-a", True, False)
        members.heard(member, gateway.clock.now())
    peers = SimpleNamespace(sync=SimpleNamespace(members=members))
    node = SimpleNamespace(
        state=gateway.state, _clock=gateway.clock, _peers=peers, _body_budget=BodyBudget()
    )
    Node._run_housekeeping(node)
    assert gateway.state.node_count == 4
    gateway.clock.advance(20.0)
    assert members.live(gateway.clock.now()) == []
    Node._run_housekeeping(node)
    assert gateway.state.node_count == 1
    assert gateway.state.retry_share(gateway.clock.now()) == BudgetShare(4)


# Guards against a record that doesn't tell a part that is used up from one that a node lacks.
def test_refusals_name_why_the_part_is_small(tmp_path, logged):
    gateway = Gateway(tmp_path, is_new=True)
    window_s = gateway.state.settings.bounds.retry_window_s
    refuse_repeat(gateway)
    gateway.clock.advance(KNOWN_AFTER_S + 0.1)
    refuse_repeat(gateway)
    gateway.clock.advance(window_s)
    refuse_repeat(gateway)
    reasons = [fields["reason"] for _, fields in logged]
    assert reasons == ["nodes_unknown", "new_process", "spent"]


def refuse_repeat(gateway):
    """Let the budget refuse a repeat, since grants that are not sent use it up."""
    budget = gateway.state.retry_budget("pool")
    now = gateway.clock.now()
    while budget.try_acquire(gateway.state.retry_share(now), now):
        pass
    gateway.send_stream_request()
    gateway.client.sent[-1].answer_head(503, NOT_EXECUTED)
