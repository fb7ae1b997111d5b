"""How many nodes read the store when many start at once.

The pattern guarded against: a restart of 195 nodes in which each reads the configuration and the
list of 760 instances.
"""

from briarpond.gateway._start_wait import MAX_WAIT_S, SEED_WAIT_S, start_wait_s


def test_few_nodes_do_not_wait_long_after_a_restart():
    assert start_wait_s(8, connected=True, first_start=False, has_seeds=True) < 0.2


def test_many_nodes_wait_for_what_others_read():
    """A candidate for the lease settles, gets it and reads the list within this time."""
    assert start_wait_s(195, connected=True, first_start=False, has_seeds=True) == MAX_WAIT_S
    assert MAX_WAIT_S >= 1.0


def test_isolated_node_gives_its_seeds_time_to_answer():
    assert start_wait_s(1, connected=False, first_start=True, has_seeds=True) == SEED_WAIT_S
    assert start_wait_s(1, connected=False, first_start=True, has_seeds=False) == 0.0


def test_first_start_waits_longer_than_the_first_groups_take():
    assert start_wait_s(2, connected=True, first_start=True, has_seeds=True) >= 5.0
