"""A configuration version is in force on all nodes within a fixed time, also under faults."""

import pytest

from .checker import CONFIG_IN_FORCE_LIMIT_S
from .faults import (
    LossSpans,
    log_loses_answers,
    log_slow,
    node_cannot_reach_platform,
    nodes_partitioned,
)
from .scenario import run_scenario
from .world import Event

SEEDS = (1, 2, 3)
NEVER = float("inf")


def in_force_s(history) -> dict[int, float]:
    """Return, by version, the seconds from the first to the last node that has it in force.

    The states of nodes are recorded half a second apart. A process counts if it ran when the
    version first appeared and for more than `CONFIG_IN_FORCE_LIMIT_S` afterwards.
    """
    node_states = [event for event in history if event.kind == "node_state"]
    first_at: dict[int, float] = {}
    started_at: dict[tuple, float] = {}
    last_seen_at: dict[tuple, float] = {}
    reached_at: dict[tuple, dict[int, float]] = {}
    for event in node_states:
        process = (event.fields["node"], event.fields["process_number"])
        started_at.setdefault(process, event.time_s)
        last_seen_at[process] = event.time_s
        for version in range(1, event.fields["version"] + 1):
            first_at.setdefault(version, event.time_s)
            reached_at.setdefault(process, {}).setdefault(version, event.time_s)
    return {
        version: max(
            reached_at.get(process, {}).get(version, NEVER) - at
            for process in started_at
            if started_at[process] <= at and last_seen_at[process] > at + CONFIG_IN_FORCE_LIMIT_S
        )
        for version, at in first_at.items()
    }


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "fault", [None, node_cannot_reach_platform, nodes_partitioned, log_slow, log_loses_answers]
)
def test_version_in_force_on_all_nodes_within_limit(fault, seed):
    def register_faults(world):
        if fault is not None:
            world.faults_by_step["append:patch"].append(lambda: fault(world, LossSpans()))

    history = run_scenario(seed, register_faults=register_faults).history
    durations_s = in_force_s(history)
    assert len(durations_s) >= 4
    assert all(seconds <= CONFIG_IN_FORCE_LIMIT_S for seconds in durations_s.values()), durations_s


def test_node_that_never_reaches_a_version_is_found():
    def node_state(at, node, version):
        return Event(at, "node_state", {"node": node, "process_number": 1, "version": version})

    history = [node_state(at, node, 0) for at in (1.0, 2.0) for node in ("n1", "n2")]
    history += [node_state(3.0, "n1", 1), node_state(20.0, "n1", 1), node_state(20.0, "n2", 0)]
    assert in_force_s(history) == {1: NEVER}
    assert in_force_s([*history, node_state(12.0, "n2", 1)]) == {1: 9.0}
