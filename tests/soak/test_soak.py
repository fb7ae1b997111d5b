"""Short runs of the soak: one fixed seed, and the seeds that failed before."""

import asyncio

import pytest

from .run import run_soak

# Seeds that failed before, each with the cause of the failure.
REGRESSIONS = {
    3: "SIGTERM while a node was importing its modules killed it instead of stopping it",
    147: "SIGTERM before the first line of a node's program ran killed it instead of stopping it",
}


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_no_violation_under_overlapping_faults(seed, tmp_path):
    """Guards against guarantees that break only when several faults overlap.

    Examples are a second run of a non-idempotent request, two groups that share an
    instance, or a node that SIGTERM kills.
    """
    soak = asyncio.run(run_soak(seed, tmp_path, nodes=3, seconds=6.0))
    assert soak.checks.violations == []
    assert soak.requests_served > 0
