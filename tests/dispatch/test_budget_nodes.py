"""Nodes that have a part of the retry budget: those that are seen, and for a while the others."""

import pytest

from briarpond.dispatch import SHARE_HOLD_S, START_FRACTION, BudgetNodes, BudgetShare

WINDOW_S = 10.0


# Guards against parts that grow while a node is not seen and spends its own.
def test_node_that_is_not_seen_keeps_its_part_for_a_while():
    nodes = BudgetNodes(0.0)
    nodes.update(["a", "b", "c"], 0.0)
    nodes.update(["a"], SHARE_HOLD_S)
    assert nodes.share(WINDOW_S, SHARE_HOLD_S).nodes == 3
    nodes.update(["a"], SHARE_HOLD_S + 1.0)
    assert nodes.share(WINDOW_S, SHARE_HOLD_S + 1.0).nodes == 1


def test_node_that_comes_back_has_one_part():
    nodes = BudgetNodes(0.0)
    for now in range(100):
        nodes.update(["a", "b"] if now % 3 else ["a"], float(now))
        assert now == 0 or nodes.share(WINDOW_S, float(now)).nodes == 2


def test_nodes_that_have_no_part_are_forgotten():
    nodes = BudgetNodes(0.0)
    for now in range(10_000):
        nodes.update(["a", f"n{now}"], float(now))
    assert nodes.share(WINDOW_S, 10_000.0).nodes <= SHARE_HOLD_S + 2


# Guards against a process that spends in one window what the one before it has spent already.
def test_new_process_uses_a_fraction_of_its_part_for_a_window():
    nodes = BudgetNodes(100.0)
    nodes.update(["a", "b"], 103.0)
    for now in (104.0, 109.9):
        share = nodes.share(WINDOW_S, now)
        assert share.of_whole == pytest.approx(START_FRACTION / 2)
        assert share.request_fraction == START_FRACTION
    assert nodes.share(WINDOW_S, 110.1) == BudgetShare(2, 1.0, 1.0)
