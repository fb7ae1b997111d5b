"""Time from an accepted patch to its being in force on every node."""

import pytest

from .checker import CONFIG_IN_FORCE_S
from .faults import (
    Losses,
    log_loses_answers,
    log_slow,
    node_cut_from_platform,
    nodes_cut_apart,
)
from .scenario import run
from .world import Event

SEEDS = (1, 2, 3)
NEVER = float("inf")


def in_force_s(history) -> dict[int, float]:
    """Return, by version, the seconds until the last running node shows it.

    Counted from the first node that shows it; views are half a second apart. A
    process is counted if it was running when the version came and for long after.
    """
    views = [event for event in history if event.kind == "view"]
    first: dict[int, float] = {}
    booted: dict[tuple, float] = {}
    seen: dict[tuple, float] = {}
    reached: dict[tuple, dict[int, float]] = {}
    for event in views:
        process = (event.fields["node"], event.fields["epoch"])
        booted.setdefault(process, event.at)
        seen[process] = event.at
        for version in range(1, event.fields["version"] + 1):
            first.setdefault(version, event.at)
            reached.setdefault(process, {}).setdefault(version, event.at)
    return {
        version: max(
            reached.get(process, {}).get(version, NEVER) - at
            for process in booted
            if booted[process] <= at and seen[process] > at + CONFIG_IN_FORCE_S
        )
        for version, at in first.items()
    }


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "fault", [None, node_cut_from_platform, nodes_cut_apart, log_slow, log_loses_answers]
)
def test_in_force_within_seconds_also_without_the_log(fault, seed):
    def arm(world):
        if fault is not None:
            world.triggers["append:patch"].append(lambda: fault(world, Losses()))

    history = run(seed, arm=arm).history
    spans = in_force_s(history)
    assert len(spans) >= 4
    assert all(span <= CONFIG_IN_FORCE_S for span in spans.values()), spans


def test_a_node_that_never_follows_is_found():
    def view(at, node, version):
        return Event(at, "view", {"node": node, "epoch": 1, "version": version})

    history = [view(at, node, 0) for at in (1.0, 2.0) for node in ("n1", "n2")]
    history += [view(3.0, "n1", 1), view(20.0, "n1", 1), view(20.0, "n2", 0)]
    assert in_force_s(history) == {1: NEVER}
    assert in_force_s([*history, view(12.0, "n2", 1)]) == {1: 9.0}
