"""A short seeded run of the soak, and seeds that failed before."""

import asyncio

import pytest

from .run import soak

# Seeds that found something once, each with its cause.
REGRESSIONS = {
    3: "told to stop while its modules were loaded, a node died of the signal",
    147: "told to stop before its first line, a node died of the signal",
}


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_promises_hold_while_faults_overlap(seed, tmp_path):
    world = asyncio.run(soak(seed, tmp_path, nodes=3, seconds=6.0))
    assert world.checks.problems == []
    assert world.served > 0
