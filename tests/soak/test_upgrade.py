"""Short runs of the upgrade soak, with the present build in both places: CI has no other one."""

import asyncio

import pytest

from .options import ROOT
from .upgrade import Trouble, run_upgrade

# Seeds with the nodes that each replaces; the runs have restorations of the store.
RUNS = [(1, 2)]
TROUBLES = [Trouble.RESTORATION, Trouble.LOST_HEADS]


# Guards against changes that all nodes ignore after the store has come back from a copy, and
# against nodes that fail while the one before them is replaced.
@pytest.mark.parametrize(("seed", "nodes"), RUNS)
def test_rules_hold_while_nodes_are_replaced(seed, nodes, tmp_path):
    soak = asyncio.run(run_upgrade(seed, tmp_path, nodes, ROOT, ROOT, TROUBLES))
    assert soak.checks.violations == []
    assert soak.requests_served > 0
