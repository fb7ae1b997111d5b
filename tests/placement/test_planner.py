"""The planner against simulated instances: forming, repairing and closing groups.

Orders may be lost or late, instances may die or restart, and planners may change.
"""

import itertools

import pytest

from briarpond.placement import GroupStage, LoadBudget, Order, OrderKind
from briarpond.platform import decode_configuration

from ..platform_samples import config_bytes
from .world import World, open_group_count

# Groups of each model that callers would fill.
DEMAND = {"big": 5.0, "small": 10.0}
# More groups than the instances can form, so that every usable instance is wanted.
HIGH_DEMAND = {"big": 12.0, "small": 30.0}
ENGINE = decode_configuration(config_bytes()).ok.services["pool"].engine


def steady_world(seed=1, **changes):
    """Return a world and its planner after 120 s, with all groups formed."""
    world = World(ENGINE, 60, 10, seed, **changes)
    planner = world.planner(1)
    world.run(planner, 120.0)
    return world, planner


def test_groups_are_formed_within_one_domain():
    world, planner = steady_world()
    assert not world.violations
    models = [group.model for group in planner.groups.values() if group.stage is GroupStage.OPEN]
    assert models.count("big") >= 6 and models.count("small") >= 11
    for group in planner.groups.values():
        assert len({world.instances[member].domain for member in group.members}) == 1


def test_lost_member_is_replaced_by_a_spare_with_the_model_loaded():
    world, planner = steady_world()
    group = next(g for g in planner.groups.values() if g.model == "big")
    open_before = open_group_count(planner)
    world.kill(group.members[2])
    world.run(planner, 2.0, DEMAND)
    assert not world.violations
    assert open_group_count(planner) >= open_before
    assert group.members[2] not in {m for g in planner.groups.values() for m in g.members}


@pytest.mark.parametrize("model", ["big", "small"])
def test_members_of_an_unreachable_head_join_other_groups_after_confirming_leave(model):
    """The planner cannot reach the head, but other nodes may, and it still serves them."""
    world, planner = steady_world()
    group = next(g for g in planner.groups.values() if g.model == model)
    others = set(group.members[1:])
    domain = world.instances[group.head].domain
    grouped = {member for each in planner.groups.values() for member in each.members}
    spares = sorted(
        set(world.instances) - grouped, key=lambda n: world.instances[n].domain != domain
    )
    for name in spares[1:]:
        world.kill(name)
    world.refresh()
    world.instances[group.head].unreachable = True
    world.run(planner, 2.0, HIGH_DEMAND)
    assert {(member, group.id) for member in others} <= set(world.leave_answers)
    serving = {m for g in planner.groups.values() if g.stage is GroupStage.OPEN for m in g.members}
    assert others <= serving
    world.instances[group.head].unreachable = False
    world.run(planner, 8.0, HIGH_DEMAND)
    assert not world.violations


def test_members_of_a_lost_head_join_no_group_before_confirming_leave():
    world, planner = steady_world()
    group = next(g for g in planner.groups.values() if g.model == "big")
    for member in group.members:
        world.instances[member].unreachable = True
    world.run(planner, 12.0, HIGH_DEMAND)
    serving = {m for g in planner.groups.values() if g.stage is GroupStage.OPEN for m in g.members}
    assert not serving & set(group.members) and not world.violations


def test_member_returned_to_its_old_group_by_a_late_join_is_ordered_to_leave_again():
    """The member leaves its unreachable head; then an old order to join is carried out late.

    The earlier confirmation must not make the planner treat the member as free.
    """
    world, planner = steady_world()
    group = next(g for g in planner.groups.values() if g.model == "big")
    member = group.members[1]
    domain = world.instances[member].domain
    for name, simulated in world.instances.items():
        if simulated.domain == domain and name not in group.members:
            world.kill(name)
    world.instances[group.head].unreachable = True
    world.run(planner, 1.0, HIGH_DEMAND)
    assert (member, group.id) in world.leave_answers and world.instances[member].group is None
    address = world.listed[member].address
    late_order = Order(
        OrderKind.JOIN, member, address, group.id, group.epoch, group.model, group.members
    )
    world.execute(late_order)
    spares = [name for name, simulated in world.instances.items() if simulated.domain == domain]
    for name in spares:
        if not world.instances[name].alive:
            world.restart(name)
            world.instances[name].last_model = "big"
    world.run(planner, 20.0, HIGH_DEMAND)
    assert world.leave_answers.count((member, group.id)) > 1 and not world.violations


def test_next_planner_frees_members_of_an_unlisted_head():
    """The head is lost while no node plans: the next planner sees only its members listed."""
    world, planner = steady_world()
    group = next(g for g in planner.groups.values() if g.model == "big")
    world.kill(group.head)
    world.refresh()
    next_planner = world.planner(7, itertools.count(1))
    world.run(next_planner, 3.0, HIGH_DEMAND)
    serving = {
        m for g in next_planner.groups.values() if g.stage is GroupStage.OPEN for m in g.members
    }
    assert set(group.members[1:]) <= serving and not world.violations


def test_slow_member_is_replaced_only_if_a_spare_can_join_without_a_load():
    world, planner = steady_world()
    group = next(g for g in planner.groups.values() if g.model == "big")
    planner.set_slow(group.members[1], True)
    world.run(planner, 2.0, DEMAND)
    members = {m for g in planner.groups.values() for m in g.members}
    assert group.id not in planner.groups and group.members[1] not in members
    served_groups = [
        g for g in planner.groups.values() if g.stage is GroupStage.OPEN and g.model == "big"
    ]
    for each in served_groups:
        for member in each.members:
            planner.set_slow(member, True)
    world.run(planner, 2.0, DEMAND)
    assert all(each.id in planner.groups for each in served_groups) and not world.violations


def test_idle_spares_are_not_loaded_with_another_model():
    """Spares that have either model loaded must not be reloaded to form one more group."""
    world, planner = steady_world()
    loads = len(world.loads)
    world.run(planner, 30.0, DEMAND)
    assert len(world.loads) == loads


# Guards against a model whose last group was lost and that no group serves for good: the few idle
# spares of each domain have the other model loaded, but one.
def test_model_without_a_group_gets_spares_that_have_another_model():
    world = World(ENGINE, 11, 11, 1)
    planner = world.planner(1)
    world.run(planner, 60.0)
    grouped = {member for group in planner.groups.values() for member in group.members}
    small = [group for group in planner.groups.values() if group.model == "small"]
    spares = sorted(set(world.instances) - grouped)
    for name, model in zip(spares, ("small", "big", "big"), strict=True):
        simulated = world.instances[name]
        simulated.staged, simulated.last_model, simulated.group = (model,), model, None
        planner._roster.last_model[name] = model
    lost = [member for group in small for member in group.members]
    for name in lost:
        world.kill(name)
    remaining = len(world.instances) - len(lost)
    assert remaining >= ENGINE.model("big").group_size + ENGINE.model("small").group_size
    world.run(planner, 40.0, DEMAND)
    serving = {each.model for each in planner.groups.values() if each.stage is GroupStage.OPEN}
    assert serving == {"big", "small"} and not world.violations


def test_next_planner_does_not_restart_running_loads():
    """A second order to stage the model under the next term would restart its load."""
    world = World(ENGINE, 20, 10, 1)
    world.run(world.planner(1), 6.0)
    loads = len(world.loads)
    joining = {s.name for s in world.instances.values() if s.state and s.state.value == "joining"}
    assert joining
    world.refresh()
    world.run(world.planner(9), 8.0, DEMAND)
    joined_again = [name for name in joining if world.instances[name].highest_epoch >= 9_000_000]
    staging_again = [n for n in joined_again if len(world.instances[n].group[2]) == 1]
    assert not staging_again and len(world.loads) >= loads


def test_group_of_a_restarted_member_is_dropped():
    world, planner = steady_world()
    group = next(g for g in planner.groups.values() if g.model == "small")
    world.kill(group.members[1])
    world.restart(group.members[1])
    world.run(planner, 3.0)
    assert group.id not in planner.groups and not world.violations


def test_group_of_a_draining_member_is_closed_without_aborting_requests():
    world, planner = steady_world()
    group = next(g for g in planner.groups.values() if g.model == "big")
    world.instances[group.members[1]].draining = True
    world.refresh()
    planner.update_instances(list(world.listed.values()), world.now)
    orders = planner.next_orders({}, world.now)
    assert [order.kind.value for order in orders if order.group == group.id] == ["close_wait"]


def test_next_planner_keeps_open_groups():
    world, planner = steady_world()
    before = {(s.name, s.group[0]) for s in world.serving()}
    next_planner = world.planner(7)
    world.run(next_planner, 5.0)
    after = {(s.name, s.group[0]) for s in world.serving()}
    assert before <= after and not world.violations


def test_loads_stay_within_the_window_limit_once_enforced():
    budget = LoadBudget(5.0, 7, 5.0)
    budget.enforced = True
    started = []
    for tick in range(300):
        now = tick * 0.1
        while budget.try_start(1, 0, now):
            started.append(now)
        assert sum(1 for at in started if at > now - 5.0) <= 27


def test_refused_start_of_several_loads_uses_no_budget():
    budget = LoadBudget(1.0, 7, 3.0)
    budget.enforced = True
    assert not budget.try_start(4, 0, 0.0)
    assert budget.try_start(3, 0, 0.0)


def test_loads_started_by_another_planner_count_against_the_window():
    budget = LoadBudget(5.0, 7, 5.0)
    budget.enforced = True
    budget.record_started(40, 10.0)
    assert not budget.try_start(1, 0, 14.9)
    assert budget.try_start(1, 0, 15.0)


@pytest.mark.parametrize("seed", range(12))
def test_no_partial_group_and_no_double_membership_with_lost_and_late_orders(seed):
    """Orders are lost, late and repeated; instances die, drain and restart; planners change."""
    world = World(ENGINE, 30, 10, seed, lost_share=0.35, late_share=0.7)
    numbers = itertools.count(1)
    term = 1
    planner = world.planner(term, numbers)
    world.run(planner, 60.0)
    for _ in range(12):
        name = world.rng.choice(sorted(world.instances))
        if world.rng.random() < 0.6:
            world.kill(name)
            if world.rng.random() < 0.5:
                world.advance(0.2)
                world.restart(name)
        else:
            world.instances[name].draining = world.rng.random() < 0.5
        world.run(planner, world.rng.uniform(0.5, 6.0), listing_lag_s=0.2)
        if world.rng.random() < 0.4:
            # The lease passes to another planner, which waits and reads the list again.
            term += 3
            world.advance(1.0)
            world.refresh()
            planner = world.planner(term, itertools.count(1))
    assert not world.violations


def test_groups_are_formed_while_orders_are_lost():
    world = World(ENGINE, 60, 10, 5, lost_share=0.35, late_share=0.7)
    planner = world.planner(1)
    world.run(planner, 180.0)
    assert not world.violations and open_group_count(planner) >= 12
