"""The operator's records after the store has come back from a copy some seconds old.

What was acknowledged since the copy is gone, until the operator writes the newest record of each
key again; offsets are given out a second time.
"""

import pytest

from briarpond.directory import ConfigRecord, ConfigStatus, StorePosition
from briarpond.gateway._evacuation_orders import RESTORE_GRACE_S
from briarpond.gateway._ingress import KEYS_MAX_AGE_SHARE

from ..platform_samples import config_bytes
from .test_evacuation import PULL_INTERVAL_S, World, rejecting_log

# Time within which a change must be in force.
BOUND_S = 3.0
# Age from which requests with keys are refused.
STALE_S = 5.0 * KEYS_MAX_AGE_SHARE


@pytest.fixture
def world(tmp_path):
    return World(tmp_path)


def write(world, version):
    world.log.append("config", config_bytes(version=version))


def lose_and_rewrite(world, lost):
    """Write `lost` versions, come back from a copy without them, and write the newest again."""
    for version in range(8, 8 + lost):
        write(world, version)
        world.run(2 * PULL_INTERVAL_S, ("b", "a"))
    world.log.restore(1)
    world.run(2 * PULL_INTERVAL_S, ("b", "a"))
    write(world, 7 + lost)
    world.run(2 * PULL_INTERVAL_S, ("b", "a"))


# Guards against acknowledged changes that nodes ignore for good while they confirm the version
# before: the offsets of the lost records are given out again, and what is written there counted
# as known.
@pytest.mark.parametrize("lost", [1, 2, 3, 5])
def test_changes_after_a_restoration_are_put_into_force(world, lost):
    world.start("a")
    world.start("b", is_candidate=False, log=rejecting_log(world))
    world.run(0.8, ("b", "a"))
    lose_and_rewrite(world, lost)
    for version in range(8 + lost, 12 + lost):
        write(world, version)
        world.run(BOUND_S, ("b", "a"))
        versions = [state.config.version for state in world.states.values()]
        assert versions == [version, version]


# Guards against requests with keys that are refused until the operator has written as often as
# records were lost.
@pytest.mark.parametrize("lost", [1, 2, 3, 5])
def test_configuration_does_not_become_old_after_a_restoration(world, lost):
    world.start("a")
    world.start("b", is_candidate=False, log=rejecting_log(world))
    world.run(0.8, ("b", "a"))
    lose_and_rewrite(world, lost)
    for _ in range(20):
        world.run(PULL_INTERVAL_S, ("b", "a"))
        now = world.clock.now()
        assert all(keeper.age(now) < STALE_S for keeper in world.keepers.values())


def evacuate_and_restore(world):
    """Evacuate a data centre, and come back from a copy without the order."""
    world.start("a")
    world.start("b", is_candidate=False, log=rejecting_log(world))
    world.run(0.8, ("b", "a"))
    world.log.evacuate("north")
    world.run(0.8, ("b", "a"))
    world.log.restore(1)
    world.run(0.8, ("b", "a"))


def evacuated(world):
    return [state.evacuated for state in world.states.values()]


# Guards against requests to servers of an evacuated data centre between the return of the store and
# the moment at which the operator has written the order again.
def test_evacuation_outlasts_a_restoration_that_has_lost_it(world):
    evacuate_and_restore(world)
    assert evacuated(world) == [{"north"}] * 2
    world.run(RESTORE_GRACE_S / 2, ("b", "a"))
    world.log.evacuate("north")
    world.run(2 * RESTORE_GRACE_S, ("b", "a"))
    assert evacuated(world) == [{"north"}] * 2


# Guards against an order that is kept for good because its cancellation went unseen.
def test_order_that_the_store_does_not_get_again_ends(world):
    evacuate_and_restore(world)
    world.run(RESTORE_GRACE_S + 1.0, ("b", "a"))
    assert evacuated(world) == [frozenset()] * 2


def test_cancellation_after_a_restoration_ends_the_order_at_once(world):
    evacuate_and_restore(world)
    world.log.cancel("north")
    world.run(0.8, ("b", "a"))
    assert world.states["a"].evacuated == frozenset()


# Guards against a cancelled order that comes back by way of a node which still keeps it.
def test_kept_order_is_not_passed_on(world):
    evacuate_and_restore(world)
    state = world.start("c", is_candidate=False, log=rejecting_log(world))
    world.run(0.8, ("c", "b"))
    assert state.config is not None and state.evacuated == frozenset()


# Guards against reads without a pause while an evacuation is in force.
def test_node_that_starts_during_an_evacuation_reads_the_store_with_pauses(world):
    world.log.era = 3
    world.log.evacuate("north")
    state = world.start("a")
    calls = world.log.calls
    world.clock.advance(3 * RESTORE_GRACE_S)
    assert state.evacuated == {"north"}
    assert world.log.calls - calls < 3 * RESTORE_GRACE_S / 0.5


def test_two_restorations_one_after_the_other(world):
    evacuate_and_restore(world)
    world.log.restore(1)
    world.run(0.8, ("b", "a"))
    assert evacuated(world) == [{"north"}] * 2
    write(world, 9)
    world.run(BOUND_S, ("b", "a"))
    assert [state.config.version for state in world.states.values()] == [9, 9]


# Guards against an order that ends because the restored store still shows an earlier cancellation.
def test_earlier_cancellation_in_the_list_does_not_end_a_kept_order(world):
    world.start("a")
    world.log.evacuate("north")
    world.log.cancel("north")
    copy_end = len(world.log.records)
    world.log.evacuate("north")
    world.run(0.8)
    world.log.restore(copy_end)
    world.run(0.8)
    assert world.states["a"].evacuated == {"north"}


# Guards against revoked keys that work while a node knows of a newer version: the restored store
# shows the one before, and the node that had the newer one is gone.
def test_version_that_another_node_had_is_not_denied_by_the_restored_store(world):
    world.start("a")
    world.run(0.8)
    world.keepers["a"].on_version(8, "gone")
    world.log.restore(1)
    world.run(STALE_S)
    assert world.keepers["a"].age(world.clock.now()) > STALE_S - 0.5
    write(world, 8)
    world.run(BOUND_S)
    assert world.keepers["a"].age(world.clock.now()) < STALE_S


# Guards against a store whose former answers are used because only other nodes know of the era.
def test_era_that_another_node_has_named_is_passed_to_the_client_of_the_store(world):
    named = []
    world.log.note_era = named.append
    world.start("a", is_candidate=False)
    world.keepers["a"].on_position(StorePosition(3, 5), "b")
    assert named == [3]
    record = ConfigRecord(0, 0.0, config_bytes(version=7), StorePosition(4, 2), frozenset())
    world.keepers["a"]._on_record(record, world.clock.now(), "b")
    assert named == [3, 4]


# Guards against a node that stays with a former era for as long as the confirmations last.
def test_node_reads_the_store_if_nobody_delivers_what_was_announced(world):
    world.start("a", is_candidate=False)
    world.run(0.8)
    calls = world.log.calls
    keeper = world.keepers["a"]
    keeper.on_position(StorePosition(1, 1), "gone")
    for _ in range(4):
        now = world.clock.now()
        keeper.on_status(ConfigStatus(7, 0.0, StorePosition(0, 1)), now, "c")
        world.clock.advance(0.5)
    assert world.log.calls > calls


# Guards against an outdated record of another node that moves the time of the confirmation.
def test_outdated_record_confirms_nothing(world):
    world.start("a", is_candidate=False, log=rejecting_log(world))
    keeper = world.keepers["a"]
    record = ConfigRecord(0, 0.0, config_bytes(version=7), StorePosition(2, 3), frozenset())
    keeper._on_record(record, world.clock.now(), "b")
    world.clock.advance(1.0)
    for position in (StorePosition(1, 9), StorePosition(2, 2)):
        outdated = ConfigRecord(0, 0.0, config_bytes(version=7), position, frozenset())
        keeper._on_record(outdated, world.clock.now(), "c")
        assert keeper.age(world.clock.now()) == pytest.approx(1.0)
