"""A new configuration changes a model's size, the models or the limits while a planner runs.

The tests guard against PARTIAL: the planner kept the engine that it had begun with, so that groups
of the former size went on serving, and a model that was added got no group.
"""

from collections import Counter

import msgspec
import pytest

from briarpond.fleet import MemberState
from briarpond.ids import InstanceId
from briarpond.placement import GroupStage, LoadBudget, OrderKind

from .test_planner import ENGINE
from .world import STALL_S, World, open_group_count

LOAD_WINDOW_S = 5.0
DEMAND = {"big": 2.0}


def engine_with_size(size, **changes):
    """Return an engine that hosts one model in groups of a size."""
    big, *_ = ENGINE.models
    return msgspec.structs.replace(
        ENGINE, models=(msgspec.structs.replace(big, group_size=size),), **changes
    )


class ChangingWorld(World):
    """A world whose engine changes; it records the orders of each kind."""

    def __init__(self, size, count=12, domain_size=12, seed=3, **options):
        super().__init__(engine_with_size(size), count, domain_size, seed, **options)
        self.orders = []
        self.running_planner = self.planner(1)
        self.run(self.running_planner, 20.0)
        self.run(self.running_planner, 10.0, DEMAND)
        assert self.sizes() == {size}

    def send(self, planner, order):
        self.orders.append(order)
        super().send(planner, order)

    def change_size(self, size):
        self.engine = engine_with_size(size)
        self.running_planner.configure(self.engine, STALL_S, LOAD_WINDOW_S)

    def go_on(self, seconds):
        self.run(self.running_planner, seconds, DEMAND)

    def sizes(self):
        """Return the sizes of the groups whose heads are open."""
        return {len(simulated.group[2]) for simulated in self.serving()}


@pytest.mark.parametrize(("before", "after"), [(2, 4), (4, 2), (4, 3), (2, 12)])
def test_groups_of_another_size_are_closed_and_new_ones_formed(before, after):
    world = ChangingWorld(before)
    loads = len(world.loads)
    world.change_size(after)
    world.go_on(0.3)
    assert before not in world.sizes()
    world.go_on(2.0)
    assert world.sizes() == {after}
    # The members have the model loaded: nothing is loaded twice, and nothing is cut off.
    assert len(world.loads) == loads
    assert OrderKind.CLOSE_CUT not in {order.kind for order in world.orders}
    assert world.violations == []


def test_members_stay_until_the_running_requests_have_finished():
    """Guards against TWO: a closing head still serves."""
    world = ChangingWorld(2)
    heads = world.serving()
    for head in heads:
        head.busy = True
    world.change_size(4)
    world.go_on(6.0)
    assert {head.state for head in heads} == {MemberState.CLOSING} and not world.serving()
    for head in heads:
        world.finish_requests(head.name)
    world.go_on(2.5)
    assert world.sizes() == {4} and world.violations == []


def test_size_that_changes_twice_within_half_a_second():
    world = ChangingWorld(2)
    world.change_size(4)
    world.go_on(0.4)
    world.change_size(2)
    world.go_on(3.0)
    assert world.sizes() == {2} and world.violations == []


@pytest.mark.parametrize("seed", range(6))
def test_lost_and_late_orders_around_a_change_of_size(seed):
    world = ChangingWorld(2, seed=seed, lost_share=0.2, late_share=0.5)
    for size in (4, 2, 3):
        world.change_size(size)
        world.go_on(4.0)
    world.go_on(30.0)
    assert world.sizes() == {3} and world.violations == []


def test_domain_smaller_than_the_new_size_forms_no_group():
    world = ChangingWorld(2, count=9, domain_size=3)
    world.change_size(4)
    world.go_on(10.0)
    assert not world.serving() and world.violations == []


def test_change_of_size_beside_an_evacuation():
    world = ChangingWorld(2, count=16, domain_size=8)
    world.data_centres = {"d1": "b"}
    world.running_planner.set_evacuated(frozenset({"b"}))
    world.change_size(4)
    world.go_on(5.0)
    assert world.sizes() == {4}
    assert {simulated.domain for simulated in world.serving()} == {"d0"}
    world.running_planner.set_evacuated(frozenset())
    world.go_on(5.0)
    assert {simulated.domain for simulated in world.serving()} == {"d0", "d1"}
    assert world.sizes() == {4} and world.violations == []


def test_group_that_is_forming_is_given_up():
    world = ChangingWorld(2)
    world.kill(world.serving()[0].group[2][1])
    world.change_size(4)
    planner = world.running_planner
    assert all(
        planner._roster.fits(group) or group.stage is GroupStage.CLOSING
        for _ in range(30)
        for group in (world.go_on(0.1) or planner.groups.values())
    )


def test_groups_of_a_model_that_is_removed_are_closed():
    world = ChangingWorld(2)
    planner = world.running_planner
    planner.configure(planner.engine_without_models, STALL_S, LOAD_WINDOW_S)
    world.go_on(3.0)
    assert not world.serving() and not planner.groups and world.violations == []


def with_second_model(size, group_size=2):
    """Return an engine with a second model that no instance has."""
    engine = engine_with_size(size)
    (big,) = engine.models
    added = msgspec.structs.replace(big, name="added", group_size=group_size)
    return msgspec.structs.replace(engine, models=(big, added))


@pytest.mark.parametrize("group_size", [1, 2, 4, 6])
@pytest.mark.parametrize("demand", [DEMAND, {"big": 9.0, "added": 1.0}])
def test_model_that_is_added_gets_a_group(group_size, demand):
    """Guards against a route to a new model that is refused for good: all instances were taken."""
    world = ChangingWorld(2)
    world.engine = with_second_model(2, group_size)
    world.running_planner.configure(world.engine, STALL_S, LOAD_WINDOW_S)
    loads = len(world.loads)
    world.run(world.running_planner, 25.0, demand)
    models = Counter(head.group[3] for head in world.serving())
    assert models["added"] >= 1 and models["big"] >= 2
    assert OrderKind.CLOSE_CUT not in {order.kind for order in world.orders}
    assert len(world.loads) - loads <= 2 * group_size and world.violations == []


def test_model_that_is_renamed_is_loaded_under_its_new_name():
    world = ChangingWorld(2)
    (big,) = world.engine.models
    renamed = msgspec.structs.replace(big, name="renamed")
    world.engine = msgspec.structs.replace(world.engine, models=(renamed,))
    world.running_planner.configure(world.engine, STALL_S, LOAD_WINDOW_S)
    world.run(world.running_planner, 60.0, {"renamed": 3.0})
    assert {head.group[3] for head in world.serving()} == {"renamed"}
    assert world.violations == []


def test_new_model_for_which_no_domain_is_large_enough_costs_no_group():
    world = ChangingWorld(2, count=9, domain_size=3)
    groups = len(world.serving())
    world.engine = with_second_model(2, 4)
    world.running_planner.configure(world.engine, STALL_S, LOAD_WINDOW_S)
    world.go_on(20.0)
    assert len(world.serving()) == groups and world.violations == []


def test_new_planner_closes_groups_of_another_size():
    """It has never known the former size."""
    world = ChangingWorld(2)
    world.engine = engine_with_size(4)
    successor = world.planner(2)
    world.run(successor, 5.0, DEMAND)
    assert world.sizes() == {4} and world.violations == []


def test_all_figures_of_the_engine_are_those_in_force():
    """A field that is read once is found whichever it is."""
    world = ChangingWorld(2)
    planner = world.running_planner
    for name in ENGINE.__struct_fields__:
        value = getattr(ENGINE, name)
        changed = value[:1] if name == "models" else type(value)(value * 2)
        engine = msgspec.structs.replace(ENGINE, **{name: changed})
        planner.configure(engine, STALL_S, LOAD_WINDOW_S)
        assert planner._roster.engine == engine
        assert planner._formation._roster.engine == engine


def test_limits_on_loads_change_and_loads_in_the_window_go_on_to_count():
    budget = LoadBudget(2.0, 10, LOAD_WINDOW_S)
    budget.enforced = True
    assert budget.try_start(10, 0, 100.0) and not budget.try_start(1, 0, 101.0)
    budget.configure(3.0, 10, LOAD_WINDOW_S)
    assert budget.try_start(5, 0, 101.0) and not budget.try_start(1, 0, 101.0)
    budget.configure(3.0, 1, LOAD_WINDOW_S)
    assert not budget.try_start(1, 1, 200.0) and budget.try_start(1, 0, 200.0)


def test_stall_time_changes():
    world = ChangingWorld(2)
    planner = world.running_planner
    planner.configure(world.engine, 1.0, LOAD_WINDOW_S)
    head = InstanceId(world.serving()[0].name)
    world.kill(head)
    planner.mark_lost(head, world.now)
    world.go_on(2.5)
    assert all(head not in group.members for group in planner.groups.values())
    assert open_group_count(planner) >= 5
