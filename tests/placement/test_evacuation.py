"""The planner while a data centre is evacuated: spare servers elsewhere replace its groups.

The failures guarded against: groups or loads in a data centre that is about to be lost, and
groups elsewhere that are formed only once it is lost.
"""

import pytest

from briarpond.placement import GroupStage, OrderKind
from briarpond.platform import decode_configuration

from ..platform_samples import config_bytes
from .world import World

ENGINE = decode_configuration(config_bytes()).ok.services["pool"].engine
# All data centres together have a surplus, two of them have none.
DEMAND = {"big": 4.0, "small": 8.0}
# More groups than all instances can form.
HIGH_DEMAND = {"big": 12.0, "small": 30.0}
EVACUATED = frozenset({"c"})


class Evacuation(World):
    """Three data centres of two domains each; records the orders to the instances of each.

    Attributes
    ----------
    orders : list of tuple
        Kind of each order and data centre of the instance that it went to.
    """

    def __init__(self, **changes):
        super().__init__(ENGINE, 60, 10, 1, **changes)
        self.data_centres = {f"d{n}": "abc"[n // 2] for n in range(6)}
        self.orders = []

    def place(self, instance):
        return self.data_centres[self.instances[instance].domain]

    def send(self, planner, order):
        self.orders.append((order.kind, self.place(order.instance)))
        super().send(planner, order)

    def open_heads(self, data_centre):
        return {each.name for each in self.serving() if self.place(each.name) == data_centre}

    def orders_there(self):
        return [kind for kind, data_centre in self.orders if data_centre in EVACUATED]


def world_with_planner(demand, seconds=40.0):
    """Return a world with groups formed before the first request, some time after it."""
    world = Evacuation()
    planner = world.planner(1)
    world.run(planner, 120.0)
    world.run(planner, seconds, demand)
    return world, planner


def supply_elsewhere(planner, world, model):
    return sum(
        1
        for group in planner.groups.values()
        if group.model == model
        and group.stage is GroupStage.OPEN
        and world.place(group.head) not in EVACUATED
    )


def test_open_groups_there_get_no_orders_and_stay_open():
    world, planner = world_with_planner(HIGH_DEMAND)
    heads = world.open_heads("c")
    assert heads
    planner.set_evacuated(EVACUATED)
    world.orders.clear()
    world.run(planner, 30.0, HIGH_DEMAND)
    assert world.orders_there() == [] and world.open_heads("c") == heads
    planner.set_evacuated(frozenset())
    world.run(planner, 5.0, HIGH_DEMAND)
    assert world.open_heads("c") >= heads and not world.violations


def test_spares_elsewhere_form_groups_before_the_loss():
    """Guards against spares that wait because the groups there still count as supply."""
    world, planner = world_with_planner(DEMAND)
    before = {model: supply_elsewhere(planner, world, model) for model in DEMAND}
    world.run(planner, 60.0, DEMAND)
    assert {model: supply_elsewhere(planner, world, model) for model in DEMAND} == before
    planner.set_evacuated(EVACUATED)
    world.run(planner, 60.0, DEMAND)
    after = {model: supply_elsewhere(planner, world, model) for model in DEMAND}
    assert after["small"] > before["small"] and after["big"] == before["big"]
    assert not world.violations


def groups_there(planner, world):
    return {each.id for each in planner.groups.values() if world.place(each.head) in EVACUATED}


@pytest.mark.parametrize("seconds", [0.0, 2.0, 20.0])
def test_no_group_is_formed_and_no_model_staged_there(seconds):
    """Guards against loads for a data centre that is about to be lost."""
    world = Evacuation()
    planner = world.planner(1)
    world.run(planner, seconds, HIGH_DEMAND)
    planner.set_evacuated(EVACUATED)
    begun = groups_there(planner, world)
    for _ in range(60):
        world.run(planner, 1.0, HIGH_DEMAND)
        assert groups_there(planner, world) <= begun
    assert world.open_heads("a") and world.open_heads("b")
    planner.set_evacuated(frozenset())
    world.run(planner, 60.0, HIGH_DEMAND)
    assert world.open_heads("c") and not world.violations


@pytest.mark.parametrize("lost_share", [0.0, 0.5])
@pytest.mark.parametrize("seconds", [2.0, 5.0, 12.0])
def test_begun_joins_there_are_not_gone_on_with(seconds, lost_share):
    """Guards against orders that are repeated there, and groups that open there."""
    world = Evacuation(lost_share=lost_share)
    planner = world.planner(1)
    world.run(planner, seconds)
    assert groups_there(planner, world)
    planner.set_evacuated(EVACUATED)
    world.orders.clear()
    heads = world.open_heads("c")
    world.run(planner, 60.0, HIGH_DEMAND)
    assert not {OrderKind.JOIN, OrderKind.OPEN} & set(world.orders_there())
    assert world.open_heads("c") == heads
    planner.set_evacuated(frozenset())
    world.run(planner, 60.0, HIGH_DEMAND)
    assert world.open_heads("c") and not world.violations


def test_group_there_that_loses_a_member_is_closed_and_not_replaced():
    """Guards against a group that serves with a member missing after the cancellation."""
    world, planner = world_with_planner(HIGH_DEMAND)
    head = sorted(world.open_heads("c"))[0]
    group = next(each for each in planner.groups.values() if each.head == head)
    planner.set_evacuated(EVACUATED)
    world.kill(group.members[1])
    world.orders.clear()
    world.run(planner, 10.0, HIGH_DEMAND)
    assert group.id not in planner.groups and head not in world.open_heads("c")
    assert OrderKind.JOIN not in world.orders_there() and not world.violations


def test_next_planner_keeps_to_the_order():
    """Guards against a planner that takes over and repairs or closes what is there."""
    world, planner = world_with_planner(HIGH_DEMAND)
    planner.set_evacuated(EVACUATED)
    world.run(planner, 5.0, HIGH_DEMAND)
    heads = world.open_heads("c")
    successor = world.planner(2)
    successor.set_evacuated(EVACUATED)
    world.orders.clear()
    world.run(successor, 20.0, HIGH_DEMAND)
    assert world.open_heads("c") == heads and world.orders_there() == []
    successor.set_evacuated(frozenset())
    world.run(successor, 5.0, HIGH_DEMAND)
    served = {group.head for group in successor.serving_groups(world.now)}
    assert heads <= served and not world.violations


def test_two_data_centres_one_after_the_other():
    world, planner = world_with_planner(HIGH_DEMAND)
    planner.set_evacuated(frozenset({"c"}))
    world.run(planner, 10.0, HIGH_DEMAND)
    planner.set_evacuated(frozenset({"b", "c"}))
    world.orders.clear()
    world.run(planner, 30.0, HIGH_DEMAND)
    assert {data_centre for _, data_centre in world.orders} <= {"a"}
    assert world.open_heads("a") and not world.violations
