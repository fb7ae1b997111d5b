"""The checker finds broken promises: crafted histories and mutated code."""

import pytest

from briarpond.daemon import _fleet_link
from briarpond.groups import Readiness, ReadinessCode
from briarpond.journal import _fold
from briarpond.requests import RequestMachine

from .checker import unanswered, violations
from .faults import Losses, head_straggles, member_pauses, node_pauses
from .scenario import run
from .world import Event


def _told(request, outcome="answered", status=200, data="", kind=None, at=2.0):
    fields = {"request": request, "outcome": outcome, "status": status, "data": data}
    fields |= {"kind": kind or request.rpartition("-")[0], "node": "n1"}
    return Event(at, "told", fields)


def _ran(request, at=1.0, whole=True, instance="e1"):
    fields = {"request": request, "whole": whole, "instance": instance}
    return Event(at, "run", fields | {"members": ("e1", "e2")})


def _view(at, version, document="{}", groups=None):
    fields = {"node": "n1", "epoch": 1, "version": version, "document": document}
    return Event(at, "view", fields | {"groups": groups or {}, "ready": ()})


@pytest.mark.parametrize(
    "history",
    [
        [_ran("order-1"), _ran("order-1")],
        [_ran("order-1"), _told("order-1", "not-run", 503)],
        [_told("service-1", data="done service-2")],
        [_told("stream-1", data="data: stream-1.0 \n\n")],
        [_told("whole-1", data="whole-1.0 ")],
        [_view(1.0, 1, groups={"a": ("e1", "e2"), "b": ("e2", "e3")})],
        [_ran("order-1", whole=False)],
        [_view(1.0, 2), _view(2.0, 1)],
        [_view(1.0, 1), _view(2.0, 1, document='{"policy": {}}')],
        [
            Event(1.0, "list_shows_leaving", {"instance": "e1"}),
            _ran("whole-1", at=6.0, instance="e1"),
        ],
    ],
)
def test_crafted_violation_is_found(history):
    assert len(violations(history, {})) == 1


def test_only_the_loss_of_a_member_opens_the_window():
    run_in_part = [_ran("order-1", whole=False)]
    assert violations(run_in_part, {"e2": [(0.99, 5.0)]}) == []
    assert len(violations(run_in_part, {"e7": [(0.99, 5.0)]})) == 1
    assert len(violations(run_in_part, {"e2": [(0.5, 5.0)]})) == 1


def test_request_without_a_word_is_found():
    asked = Event(1.0, "asked", {"request": "order-1", "node": "n1", "epoch": 1})
    assert len(unanswered([asked], set())) == 1
    assert unanswered([asked], {("n1", 1)}) == []


def _violations_of(arm_at, fault, seed=2):
    losses = Losses()
    world = run(seed, arm=lambda world: world.triggers[arm_at].append(lambda: fault(world, losses)))
    return violations(world.history, losses.spans)


def test_fold_without_the_member_rule_is_caught(monkeypatch):
    def form_unchecked(state, record, position):
        unheld = _fold.replace(state, member_of=_fold.Map(), changed_at=_fold.Map())
        return genuine(unheld, record, position)

    genuine = _fold._form
    monkeypatch.setitem(_fold._DECIDERS, _fold.GroupForm, form_unchecked)
    monkeypatch.setattr(
        _fleet_link.GroupProposer, "plan", _plan_blindly(_fleet_link.GroupProposer.plan)
    )
    assert any("groups on" in line for line in _violations_of("page", node_pauses))


def _plan_blindly(genuine):
    """Return a planner that believes every instance to be free."""

    def plan(self, given, now):
        blind = _fold.replace(given.state, member_of=_fold.Map(), groups=_fold.Map())
        return genuine(self, _fold.replace(given, state=blind), now)

    return plan


def test_retry_of_a_sent_order_is_caught(monkeypatch):
    genuine = RequestMachine.on_lost

    def on_lost(self, attempt, reason, now):
        plan = self.plan
        self.plan = _fold.replace(plan, idempotent=True)
        effects = genuine(self, attempt, reason, now)
        self.plan = plan
        return effects

    monkeypatch.setattr(RequestMachine, "on_lost", on_lost)
    assert any("times" in line for line in _violations_of("dispatch", head_straggles))


def test_dispatch_without_confirmation_is_caught(monkeypatch):
    ready = Readiness(ReadinessCode.READY)
    monkeypatch.setattr(_fleet_link, "readiness_from_reports", lambda group, reports: ready)
    assert any("not whole" in line for line in _violations_of("token", member_pauses))
