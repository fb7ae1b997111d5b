"""Nodes that have a part of the retry budget: those that are seen, and for a while the others."""

import pytest

from briarpond.dispatch import KNOWN_AFTER_S, SHARE_HOLD_S, START_FRACTION, BudgetNodes, BudgetShare

WINDOW_S = 10.0


# Guards against parts that grow while a node is not seen and spends its own.
def test_node_that_is_not_seen_keeps_its_part_for_a_while():
    nodes = BudgetNodes("a", 0.0, True)
    nodes.update(["a", "b", "c"], 0.0)
    nodes.update(["a"], SHARE_HOLD_S)
    assert nodes.share(WINDOW_S, SHARE_HOLD_S).nodes == 3
    nodes.update(["a"], SHARE_HOLD_S + 1.0)
    assert nodes.share(WINDOW_S, SHARE_HOLD_S + 1.0).nodes == 1


def test_node_that_comes_back_has_one_part():
    nodes = BudgetNodes("a", 0.0, True)
    for now in range(100):
        nodes.update(["a", "b"] if now % 3 else ["a"], float(now))
        assert now == 0 or nodes.share(WINDOW_S, float(now)).nodes == 2


def test_nodes_that_have_no_part_are_forgotten():
    nodes = BudgetNodes("a", 0.0, True)
    for now in range(10_000):
        nodes.update(["a", f"n{now}"], float(now))
    assert nodes.share(WINDOW_S, 10_000.0).nodes <= SHARE_HOLD_S + 2


# Guards against a process that spends in one window what the one before it has spent already.
def test_new_process_uses_a_fraction_of_its_part_for_a_window():
    nodes = BudgetNodes("a", 100.0, True)
    nodes.update(["a", "b"], 100.5)
    for now in (104.0, 109.9):
        share = nodes.share(WINDOW_S, now)
        assert share.of_whole == pytest.approx(START_FRACTION / 2)
        assert share.request_fraction == START_FRACTION
    assert nodes.share(WINDOW_S, 110.1) == BudgetShare(2, 1.0, 1.0)


# Guards against a process that takes the whole allowance, since it sees no other node yet.
def test_process_that_sees_no_other_node_has_no_fixed_part_however_long():
    nodes = BudgetNodes("a", 0.0, expects_others=True)
    assert nodes.share(WINDOW_S, 0.0).of_whole == 0
    for now in range(1, 1000):
        nodes.update(["a"], float(now))
        assert nodes.share(WINDOW_S, float(now)).of_whole == 0
    assert nodes.share(WINDOW_S, 999.0).request_fraction == 1


# Guards against a part of half the allowance, as the first of many nodes has just been seen.
def test_process_has_a_fixed_part_once_it_has_had_time_to_see_all_nodes():
    nodes = BudgetNodes("a", 0.0, expects_others=True)
    nodes.update(["a", "b"], 50.0)
    assert nodes.share(WINDOW_S, 50.0 + KNOWN_AFTER_S - 0.1).of_whole == 0
    nodes.update(["a", "b", "c", "d"], 51.0)
    assert nodes.share(WINDOW_S, 50.0 + KNOWN_AFTER_S + 0.1).of_whole == 0.25


def test_only_node_has_the_whole_allowance():
    nodes = BudgetNodes("a", 0.0, expects_others=False)
    nodes.update(["a"], 1.0)
    assert nodes.share(WINDOW_S, KNOWN_AFTER_S - 0.1).of_whole == 0
    assert nodes.share(WINDOW_S, WINDOW_S + 0.1).of_whole == 1
