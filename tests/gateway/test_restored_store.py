"""The operator's records after the store has come back from a copy some seconds old.

What was acknowledged since the copy is gone, until the operator writes the newest record of each
key again; offsets are given out a second time.
"""

import pytest

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
