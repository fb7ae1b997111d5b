"""Nodes that have a part of the retry budget: those that are seen, and for a while the others."""

from briarpond.dispatch import SHARE_HOLD_S, BudgetNodes


# Guards against parts that grow while a node is not seen and spends its own.
def test_node_that_is_not_seen_keeps_its_part_for_a_while():
    nodes = BudgetNodes()
    nodes.update(["a", "b", "c"], 0.0)
    nodes.update(["a"], SHARE_HOLD_S)
    assert nodes.count == 3
    nodes.update(["a"], SHARE_HOLD_S + 1.0)
    assert nodes.count == 1


def test_node_that_comes_back_has_one_part():
    nodes = BudgetNodes()
    for now in range(100):
        nodes.update(["a", "b"] if now % 3 else ["a"], float(now))
        assert now == 0 or nodes.count == 2


def test_nodes_that_have_no_part_are_forgotten():
    nodes = BudgetNodes()
    for now in range(10_000):
        nodes.update(["a", f"n{now}"], float(now))
    assert nodes.count <= SHARE_HOLD_S + 2
