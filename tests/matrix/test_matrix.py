"""The fault matrix: every fault at every step of the protocol, and random pairs of them.

A step is a message or act of the simulated world (see `world.World.reach_step`). A fault is
injected just before the first such step after `FAULTS_ARMED_AT_S`, when the groups serve
requests. Seeds are fixed, so that each cell gives the same result in every run.
"""

import random

import pytest

from .checker import find_unanswered, find_violations
from .faults import FAULTS, LossSpans
from .scenario import run_scenario

GROUP_STEPS = (
    "append:form",
    "appended:form",
    "load-order",
    "load-order-answer",
    "model-loaded",
    "status-query",
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
    "answer-end",
    "service-call",
    "service-answer",
)
CONFIGURATION_STEPS = (
    "append:patch",
    "appended:patch",
    "log-page",
    "peer-pull",
    "append:snapshot",
    "appended:snapshot",
)
NODE_STEPS = (
    "node-boot",
    "append:join",
    "append:lease",
    "appended:lease",
    "node-drain",
    "append:leave",
    "append:remove",
)
STEPS = GROUP_STEPS + REQUEST_STEPS + CONFIGURATION_STEPS + NODE_STEPS
# Ready groups at the end of the scenario: two in one data centre and one in another.
EXPECTED_GROUPS = 3
PAIR_COUNT = 120


def _single_fault_cells():
    """Yield each fault at each step, with one of seven seeds in turn."""
    for number, step in enumerate(STEPS):
        for index, fault in enumerate(FAULTS):
            seed = 1 + (number + index) % 7
            yield pytest.param(((step, fault),), seed, id=f"{step}/{fault.__name__}/{seed}")


def _fault_pair_cells():
    """Yield random pairs of faults at random steps, each with a seed of its own."""
    rng = random.Random(20)
    for seed in range(101, 101 + PAIR_COUNT):
        injections = tuple((rng.choice(STEPS), fault) for fault in rng.sample(FAULTS, 2))
        name = "+".join(f"{step}/{fault.__name__}" for step, fault in injections)
        yield pytest.param(injections, seed, id=f"{name}/{seed}")


def _run_cell(injections, seed):
    """Run the scenario with faults at steps; engines check generations for even seeds only."""
    losses = LossSpans()

    def register_faults(world) -> None:
        for step, fault in injections:
            world.faults_by_step[step].append(lambda fault=fault: fault(world, losses))

    return run_scenario(seed, fencing=seed % 2 == 0, register_faults=register_faults), losses


def _assert_guarantees(world, losses) -> None:
    crashed = {
        (event.fields["node"], event.fields["process_number"])
        for event in world.history
        if event.kind == "node_crashed"
    }
    assert find_violations(world.history, losses.by_instance) == []
    assert find_unanswered(world.history, crashed) == []


def _assert_recovered(world) -> None:
    latest_states = {
        event.fields["node"]: event.fields
        for event in world.history
        if event.kind == "node_state" and world.now - event.time_s < 1.0
    }
    assert {len(state["ready"]) for state in latest_states.values()} == {EXPECTED_GROUPS}
    assert len({state["version"] for state in latest_states.values()}) == 1
    busy = [engine.name for engine in world.engines.values() if engine.up and engine.in_flight]
    assert (
        busy == []
    ), "engines still run requests whose callers have their answer or have disconnected"


@pytest.mark.parametrize(("injections", "seed"), list(_single_fault_cells()))
def test_every_fault_at_every_step(injections, seed):
    world, losses = _run_cell(injections, seed)
    assert any(
        event.kind == "fault_injected" for event in world.history
    ), "the step was not reached after faults were registered: no fault injected"
    _assert_guarantees(world, losses)
    _assert_recovered(world)


@pytest.mark.parametrize(("injections", "seed"), list(_fault_pair_cells()))
def test_pair_of_faults_at_random_steps(injections, seed):
    world, losses = _run_cell(injections, seed)
    _assert_guarantees(world, losses)
    _assert_recovered(world)
