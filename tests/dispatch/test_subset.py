"""Preferred groups of many nodes.

The pattern guarded against: 195 nodes that each spread 2.7 requests a second over 95 groups open
a new connection for nearly every request, and send it across data centres without need.
"""

import random
from collections import Counter
from types import SimpleNamespace

from briarpond.dispatch import GroupPreferences, subset_size

DATA_CENTRES = ["a", "b", "c", "d", "e"]


def make_groups(count, first=0):
    return [
        SimpleNamespace(head=f"i-{n:04x}", data_centre=DATA_CENTRES[n % 5])
        for n in range(first, first + count)
    ]


def make_nodes(count):
    return [GroupPreferences(f"edge-{n}", DATA_CENTRES[n % 5]) for n in range(count)]


def preferred(node, groups, node_count):
    return node.sort(groups)[: subset_size(len(groups), node_count)]


def test_few_nodes_use_all_groups():
    assert subset_size(12, 8) == 12
    assert subset_size(20, 6) == 20


def test_many_nodes_prefer_few_groups_of_their_data_centre():
    groups = make_groups(50)
    for number, node in enumerate(make_nodes(195)):
        chosen = preferred(node, groups, 195)
        assert len(chosen) <= 5
        assert {group.data_centre for group in chosen} == {DATA_CENTRES[number % 5]}


def test_all_groups_are_preferred_by_some_nodes():
    """Every group has users, and none has three times its share."""
    groups = make_groups(50)
    users = Counter(
        group.head for node in make_nodes(195) for group in preferred(node, groups, 195)
    )
    mean = sum(users.values()) / len(groups)
    assert len(users) == len(groups)
    assert max(users.values()) < 2.5 * mean


def test_preferences_change_little_when_groups_come_and_go():
    groups = make_groups(50)
    changed = groups[3:] + make_groups(3, first=100)
    kept = total = 0
    for node in make_nodes(195):
        before = {group.head for group in preferred(node, groups, 195)}
        after = {group.head for group in preferred(node, changed, 195)}
        kept += len(before & after)
        total += len(before)
    assert kept / total > 0.8


def test_requests_reuse_connections():
    """A node keeps one connection to each group that it has used in the last seconds."""
    groups = make_groups(50)
    rng = random.Random(1)
    idle_s = 5.0
    for prefer, least_reuse in ((True, 0.6), (False, 0.0)):
        reused = requests = 0
        for node in make_nodes(20):
            pool = preferred(node, groups, 195) if prefer else groups
            last_used = {}
            now = 0.0
            while now < 40.0:
                now += rng.expovariate(1.35)
                head = rng.choice(pool).head
                requests += 1
                reused += now - last_used.get(head, -idle_s) < idle_s
                last_used[head] = now
        assert reused / requests > least_reuse
