"""The fault matrix: every fault at every step, alone and in pairs.

A step is a message or act that the world sees; a fault strikes just before the
first such step after the groups serve. Seeds are fixed, so each cell gives the
same verdict every time.
"""

import random

import pytest

from .checker import unanswered, violations
from .faults import FAULTS, Losses
from .scenario import run

GROUP_STEPS = (
    "append:form",
    "appended:form",
    "order",
    "ordered",
    "loaded",
    "status",
    "append:retire",
    "appended:retire",
    "append:dissolve",
    "appended:dissolve",
)
REQUEST_STEPS = (
    "append:claim",
    "appended:claim",
    "key-query",
    "dispatch",
    "token",
    "end",
    "call",
    "called",
)
CONFIGURATION_STEPS = (
    "append:patch",
    "appended:patch",
    "page",
    "pull",
    "append:snapshot",
    "appended:snapshot",
)
NODE_STEPS = (
    "boot",
    "append:join",
    "append:lease",
    "appended:lease",
    "drain",
    "append:leave",
    "append:remove",
)
STEPS = GROUP_STEPS + REQUEST_STEPS + CONFIGURATION_STEPS + NODE_STEPS
GROUPS_WANTED = 3
PAIRS = 120


def _cells():
    for number, step in enumerate(STEPS):
        for index, fault in enumerate(FAULTS):
            seed = 1 + (number + index) % 7
            yield pytest.param(((step, fault),), seed, id=f"{step}/{fault.__name__}/{seed}")


def _pairs():
    rng = random.Random(20)
    for seed in range(101, 101 + PAIRS):
        strikes = tuple((rng.choice(STEPS), fault) for fault in rng.sample(FAULTS, 2))
        name = "+".join(f"{step}/{fault.__name__}" for step, fault in strikes)
        yield pytest.param(strikes, seed, id=f"{name}/{seed}")


def _run(strikes, seed):
    losses = Losses()

    def arm(world) -> None:
        for step, fault in strikes:
            world.triggers[step].append(lambda fault=fault: fault(world, losses))

    return run(seed, fencing=seed % 2 == 0, arm=arm), losses


def _assert_promises(world, losses) -> None:
    crashed = {
        (event.fields["node"], event.fields["epoch"])
        for event in world.history
        if event.kind == "node_crashed"
    }
    assert violations(world.history, losses.spans) == []
    assert unanswered(world.history, crashed) == []


def _assert_recovered(world) -> None:
    views = {
        event.fields["node"]: event.fields
        for event in world.history
        if event.kind == "view" and world.now - event.at < 1.0
    }
    assert {len(view["ready"]) for view in views.values()} == {GROUPS_WANTED}
    assert len({view["version"] for view in views.values()}) == 1
    busy = [engine.name for engine in world.engines.values() if engine.up and engine.in_flight]
    assert busy == [], "work goes on for callers that have their answer or have left"


@pytest.mark.parametrize(("strikes", "seed"), list(_cells()))
def test_every_fault_at_every_step(strikes, seed):
    world, losses = _run(strikes, seed)
    assert any(event.kind == "fault" for event in world.history), "the step never came"
    _assert_promises(world, losses)
    _assert_recovered(world)


@pytest.mark.parametrize(("strikes", "seed"), list(_pairs()))
def test_two_faults(strikes, seed):
    world, losses = _run(strikes, seed)
    _assert_promises(world, losses)
    _assert_recovered(world)
