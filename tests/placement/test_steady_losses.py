"""Sustained losses: every 3 s two members of open groups are lost for good.

Loading a model takes 12 to 16 s and few loads run at once, so groups keep serving only if
the planner replaces lost members by spares that already have the model loaded.
"""

import pytest

from briarpond.placement import GroupStage
from briarpond.platform import decode_configuration

from ..platform_samples import config_bytes
from .world import World

ENGINE = decode_configuration(config_bytes()).ok.services["pool"].engine
# Groups of each model that callers' requests would fill.
DEMAND = {"big": 5.0, "small": 9.0}
LOSS_ROUNDS = 10
LOSS_INTERVAL_S = 3.0


def mean_served_share(seed: int) -> tuple[float, World]:
    """Return the mean ratio of open groups to groups wanted, and the world."""
    world = World(ENGINE, 60, 10, seed)
    planner = world.planner(1)
    world.run(planner, 120.0)
    served_shares = []
    for _ in range(LOSS_ROUNDS):
        grouped = sorted(
            member
            for group in planner.groups.values()
            if group.stage is GroupStage.OPEN
            for member in group.members
        )
        for name in world.rng.sample(grouped, 2):
            world.kill(name)
        for _ in range(int(LOSS_INTERVAL_S)):
            world.run(planner, 1.0, DEMAND)
            open_now = [g.model for g in planner.groups.values() if g.stage is GroupStage.OPEN]
            served_shares += [min(1.0, open_now.count(m) / DEMAND[m]) for m in DEMAND]
    return sum(served_shares) / len(served_shares), world


@pytest.mark.parametrize("seed", range(6))
def test_wanted_groups_keep_serving_while_members_are_lost(seed):
    share, world = mean_served_share(seed)
    assert not world.violations
    assert share >= 0.9
