"""Pattern: two grouped instances are lost for good every 3 s, and empty ones come.

Loads take 12 to 16 s and few run at once, so what counts is how many of the instances
that know a model serve.
"""

import pytest

from briarpond.placement import Stage
from briarpond.platform import decode_configuration

from ..platform_samples import config_bytes
from .world import World

ENGINE = decode_configuration(config_bytes()).ok.services["pool"].engine
# What the callers of the day fill, in groups.
DEMAND = {"big": 5.0, "small": 9.0}
LOSSES = 10
EVERY_S = 3.0


def play(seed: int) -> tuple[float, World]:
    """Return the mean of groups that serve, as part of those wanted."""
    world = World(ENGINE, 60, 10, seed)
    planner = world.planner(1)
    world.run(planner, 120.0)
    served = []
    for _ in range(LOSSES):
        grouped = sorted(
            member
            for group in planner.groups.values()
            if group.stage is Stage.OPEN
            for member in group.members
        )
        for name in world.rng.sample(grouped, 2):
            world.kill(name)
        for _ in range(int(EVERY_S)):
            world.run(planner, 1.0, DEMAND)
            open_now = [g.model for g in planner.groups.values() if g.stage is Stage.OPEN]
            served += [min(1.0, open_now.count(m) / DEMAND[m]) for m in DEMAND]
    return sum(served) / len(served), world


@pytest.mark.parametrize("seed", range(6))
def test_wanted_groups_keep_serving_while_members_are_lost(seed):
    share, world = play(seed)
    assert not world.problems
    assert share >= 0.9
