"""The checker finds violations, both in crafted histories and in runs of faulty code.

Tests of the second kind replace a rule of the system by a faulty one for the run.
"""

import pytest

from briarpond.daemon import _fleet_link
from briarpond.groups import Readiness, ReadinessCode
from briarpond.journal import _fold
from briarpond.requests import RequestMachine

from .checker import find_unanswered, find_violations
from .faults import LossSpans, head_slows_down, member_pauses, node_pauses
from .scenario import run_scenario
from .world import Event


def _answered(request, outcome="answered", status=200, body="", kind=None, at=2.0):
    fields = {"request": request, "outcome": outcome, "status": status, "answer_body": body}
    fields |= {"kind": kind or request.rpartition("-")[0], "node": "n1"}
    return Event(at, "request_answered", fields)


def _started(request, at=1.0, group_complete=True, instance="e1"):
    fields = {"request": request, "group_complete": group_complete, "instance": instance}
    return Event(at, "request_started", fields | {"members": ("e1", "e2")})


def _node_state(at, version, document="{}", groups=None):
    fields = {"node": "n1", "process_number": 1, "version": version, "document": document}
    return Event(at, "node_state", fields | {"groups": groups or {}, "ready": ()})


@pytest.mark.parametrize(
    "history",
    [
        [_started("order-1"), _started("order-1")],
        [_started("order-1"), _answered("order-1", "not-run", 503)],
        [_answered("service-1", body="done service-2")],
        [_answered("stream-1", body="data: stream-1.0 \n\n")],
        [_answered("whole-1", body="whole-1.0 ")],
        [_node_state(1.0, 1, groups={"a": ("e1", "e2"), "b": ("e2", "e3")})],
        [_started("order-1", group_complete=False)],
        [_node_state(1.0, 2), _node_state(2.0, 1)],
        [_node_state(1.0, 1), _node_state(2.0, 1, document='{"policy": {}}')],
        [
            Event(1.0, "listed_as_leaving", {"instance": "e1"}),
            _started("whole-1", at=6.0, instance="e1"),
        ],
    ],
)
def test_violation_in_crafted_history_is_found(history):
    """Each history violates exactly one guarantee, in the order of `find_violations`."""
    assert len(find_violations(history, {})) == 1


def test_start_in_incomplete_group_is_allowed_only_soon_after_loss_of_a_member():
    start_in_incomplete_group = [_started("order-1", group_complete=False)]
    assert find_violations(start_in_incomplete_group, {"e2": [(0.99, 5.0)]}) == []
    assert len(find_violations(start_in_incomplete_group, {"e7": [(0.99, 5.0)]})) == 1
    assert len(find_violations(start_in_incomplete_group, {"e2": [(0.5, 5.0)]})) == 1


def test_unanswered_request_is_found():
    request_sent = Event(
        1.0, "request_sent", {"request": "order-1", "node": "n1", "process_number": 1}
    )
    assert len(find_unanswered([request_sent], set())) == 1
    assert find_unanswered([request_sent], {("n1", 1)}) == []


def _violations_of(step, fault, seed=2):
    """Run the scenario with a fault at a step and return the violations found."""
    losses = LossSpans()
    world = run_scenario(
        seed,
        register_faults=lambda world: world.faults_by_step[step].append(
            lambda: fault(world, losses)
        ),
    )
    return find_violations(world.history, losses.by_instance)


def test_instance_in_two_groups_is_caught(monkeypatch):
    """Mutation: planner and fold ignore that instances are members of a group already."""

    def form_without_member_check(state, record, position):
        without_members = _fold.replace(state, member_of=_fold.Map(), changed_at=_fold.Map())
        return original(without_members, record, position)

    original = _fold._decide_group_form
    monkeypatch.setitem(_fold._DECIDERS, _fold.GroupForm, form_without_member_check)
    monkeypatch.setattr(
        _fleet_link.GroupProposer, "plan", _plan_without_memberships(_fleet_link.GroupProposer.plan)
    )
    assert any("groups on" in line for line in _violations_of("log-page", node_pauses))


def _plan_without_memberships(original):
    """Return a `GroupProposer.plan` that treats every instance as a member of no group."""

    def plan(self, inputs, now):
        without_groups = _fold.replace(inputs.state, member_of=_fold.Map(), groups=_fold.Map())
        return original(self, _fold.replace(inputs, state=without_groups), now)

    return plan


def test_retry_of_a_non_idempotent_request_is_caught(monkeypatch):
    """Mutation: a non-idempotent request is sent again after its connection was lost."""
    original = RequestMachine.on_lost

    def on_lost(self, attempt, reason, now):
        spec = self.spec
        self.spec = _fold.replace(spec, idempotent=True)
        effects = original(self, attempt, reason, now)
        self.spec = spec
        return effects

    monkeypatch.setattr(RequestMachine, "on_lost", on_lost)
    assert any("times" in line for line in _violations_of("dispatch", head_slows_down))


def test_dispatch_without_confirmation_is_caught(monkeypatch):
    """Mutation: a group counts as confirmed without status answers of its members."""
    ready = Readiness(ReadinessCode.READY)
    monkeypatch.setattr(_fleet_link, "readiness_from_reports", lambda group, reports: ready)
    assert any("incomplete group" in line for line in _violations_of("token", member_pauses))
