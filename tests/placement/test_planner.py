"""Groups are formed, kept whole and repaired, whatever happens to the orders."""

import itertools

import pytest

from briarpond.placement import LoadBudget, Order, OrderKind, Stage
from briarpond.platform import decode_configuration

from ..platform_samples import config_bytes
from .world import World, whole_groups

# Groups of each model that callers would fill.
DEMAND = {"big": 5.0, "small": 10.0}
# More than there are groups: whatever can serve is wanted.
MORE = {"big": 12.0, "small": 30.0}
ENGINE = decode_configuration(config_bytes()).ok.services["pool"].engine


def calm(seed=1, **changes):
    world = World(ENGINE, 60, 10, seed, **changes)
    planner = world.planner(1)
    world.run(planner, 120.0)
    return world, planner


def test_all_groups_are_formed_inside_their_domains():
    world, planner = calm()
    assert not world.problems
    models = [group.model for group in planner.groups.values() if group.stage is Stage.OPEN]
    assert models.count("big") >= 6 and models.count("small") >= 11
    for group in planner.groups.values():
        assert len({world.servers[member].domain for member in group.members}) == 1


def test_lost_member_is_replaced_by_a_spare_that_knows_the_model():
    world, planner = calm()
    group = next(g for g in planner.groups.values() if g.model == "big")
    open_before = whole_groups(planner)
    world.kill(group.members[2])
    world.run(planner, 2.0, DEMAND)
    assert not world.problems
    assert whole_groups(planner) >= open_before
    assert group.members[2] not in {m for g in planner.groups.values() for m in g.members}


@pytest.mark.parametrize("model", ["big", "small"])
def test_members_of_a_head_that_is_cut_off_join_again_once_they_have_left(model):
    """The head lives on and serves whoever reaches it: its members leave first."""
    world, planner = calm()
    group = next(g for g in planner.groups.values() if g.model == model)
    rest = set(group.members[1:])
    domain = world.servers[group.head].domain
    grouped = {member for each in planner.groups.values() for member in each.members}
    spares = sorted(set(world.servers) - grouped, key=lambda n: world.servers[n].domain != domain)
    for name in spares[1:]:
        world.kill(name)
    world.refresh()
    world.servers[group.head].cut_off = True
    world.run(planner, 2.0, MORE)
    assert {(member, group.id) for member in rest} <= set(world.left)
    serving = {m for g in planner.groups.values() if g.stage is Stage.OPEN for m in g.members}
    assert rest <= serving
    world.servers[group.head].cut_off = False
    world.run(planner, 8.0, MORE)
    assert not world.problems


def test_members_that_have_not_confirmed_to_leave_a_lost_head_stay_out_of_other_groups():
    world, planner = calm()
    group = next(g for g in planner.groups.values() if g.model == "big")
    for member in group.members:
        world.servers[member].cut_off = True
    world.run(planner, 12.0, MORE)
    serving = {m for g in planner.groups.values() if g.stage is Stage.OPEN for m in g.members}
    assert not serving & set(group.members) and not world.problems


def test_member_that_a_late_order_brought_back_leaves_its_old_group_anew():
    """It had left a head that lives on; an old join, carried out late, undid that."""
    world, planner = calm()
    group = next(g for g in planner.groups.values() if g.model == "big")
    member = group.members[1]
    domain = world.servers[member].domain
    for name, server in world.servers.items():
        if server.domain == domain and name not in group.members:
            world.kill(name)
    world.servers[group.head].cut_off = True
    world.run(planner, 1.0, MORE)
    assert (member, group.id) in world.left and world.servers[member].group is None
    address = world.view[member].address
    late = Order(OrderKind.JOIN, member, address, group.id, group.epoch, group.model, group.members)
    world.carry_out(late)
    spares = [name for name, server in world.servers.items() if server.domain == domain]
    for name in spares:
        if not world.servers[name].alive:
            world.restart(name)
            world.servers[name].last_model = "big"
    world.run(planner, 20.0, MORE)
    assert world.left.count((member, group.id)) > 1 and not world.problems


def test_next_planner_frees_members_whose_head_is_gone():
    """The head died while nobody planned: its entry is gone, its members wait."""
    world, planner = calm()
    group = next(g for g in planner.groups.values() if g.model == "big")
    world.kill(group.head)
    world.refresh()
    following = world.planner(7, itertools.count(1))
    world.run(following, 3.0, MORE)
    serving = {m for g in following.groups.values() if g.stage is Stage.OPEN for m in g.members}
    assert set(group.members[1:]) <= serving and not world.problems


def test_slow_member_is_replaced_only_where_a_spare_can_join_soon():
    world, planner = calm()
    group = next(g for g in planner.groups.values() if g.model == "big")
    planner.mark_slow(group.members[1], True)
    world.run(planner, 2.0, DEMAND)
    members = {m for g in planner.groups.values() for m in g.members}
    assert group.id not in planner.groups and group.members[1] not in members
    held = [g for g in planner.groups.values() if g.stage is Stage.OPEN and g.model == "big"]
    for each in held:
        for member in each.members:
            planner.mark_slow(member, True)
    world.run(planner, 2.0, DEMAND)
    assert all(each.id in planner.groups for each in held) and not world.problems


def test_idle_spares_keep_their_models():
    """Spares of two models are not reloaded into one more small group."""
    world, planner = calm()
    loads = len(world.loads)
    world.run(planner, 30.0, DEMAND)
    assert len(world.loads) == loads


def test_next_planner_lets_loads_go_on():
    world = World(ENGINE, 20, 10, 1)
    world.run(world.planner(1), 6.0)
    loads = len(world.loads)
    joining = {s.name for s in world.servers.values() if s.state and s.state.value == "joining"}
    assert joining
    world.refresh()
    world.run(world.planner(9), 8.0, DEMAND)
    again = [name for name in joining if world.servers[name].top_epoch >= 9_000_000]
    singles = [n for n in again if len(world.servers[n].group[2]) == 1]
    assert not singles and len(world.loads) >= loads


def test_restarted_instance_is_no_member_any_more():
    world, planner = calm()
    group = next(g for g in planner.groups.values() if g.model == "small")
    world.kill(group.members[1])
    world.restart(group.members[1])
    world.run(planner, 3.0)
    assert group.id not in planner.groups and not world.problems


def test_group_of_a_leaving_member_is_closed_without_cutting_requests():
    world, planner = calm()
    group = next(g for g in planner.groups.values() if g.model == "big")
    world.servers[group.members[1]].draining = True
    world.refresh()
    planner.update(list(world.view.values()), world.now)
    orders = planner.step({}, world.now)
    assert [order.kind.value for order in orders if order.group == group.id] == ["close_wait"]


def test_next_planner_keeps_open_groups():
    world, planner = calm()
    before = {(s.name, s.group[0]) for s in world.serving()}
    following = world.planner(7)
    world.run(following, 5.0)
    after = {(s.name, s.group[0]) for s in world.serving()}
    assert before <= after and not world.problems


def test_loads_stay_within_the_limit_once_callers_have_come():
    budget = LoadBudget(5.0, 7, 5.0)
    budget.counts = True
    started = []
    for tick in range(300):
        now = tick * 0.1
        while budget.take(1, 0, now):
            started.append(now)
        assert sum(1 for at in started if at > now - 5.0) <= 27


def test_group_that_does_not_fit_the_window_leaves_the_budget_to_others():
    budget = LoadBudget(1.0, 7, 3.0)
    budget.counts = True
    assert not budget.take(4, 0, 0.0)
    assert budget.take(3, 0, 0.0)


def test_planner_that_follows_another_does_not_load_at_once():
    budget = LoadBudget(5.0, 7, 5.0)
    budget.counts = True
    budget.spend(40, 10.0)
    assert not budget.take(1, 0, 14.9)
    assert budget.take(1, 0, 15.0)


@pytest.mark.parametrize("seed", range(12))
def test_no_partial_and_no_double_membership_with_lost_and_late_orders(seed):
    """Orders are lost, late and repeated; instances die and restart; planners change."""
    world = World(ENGINE, 30, 10, seed, lose=0.35, late=0.7)
    numbers = itertools.count(1)
    term = 1
    planner = world.planner(term, numbers)
    world.run(planner, 60.0)
    for _ in range(12):
        victim = world.rng.choice(sorted(world.servers))
        if world.rng.random() < 0.6:
            world.kill(victim)
            if world.rng.random() < 0.5:
                world.advance(0.2)
                world.restart(victim)
        else:
            world.servers[victim].draining = world.rng.random() < 0.5
        world.run(planner, world.rng.uniform(0.5, 6.0), view_lag=0.2)
        if world.rng.random() < 0.4:
            # The lease goes to another, which waits and reads the list anew.
            term += 3
            world.advance(1.0)
            world.refresh()
            planner = world.planner(term, itertools.count(1))
    assert not world.problems


def test_groups_come_back_while_orders_are_lost():
    world = World(ENGINE, 60, 10, 5, lose=0.35, late=0.7)
    planner = world.planner(1)
    world.run(planner, 180.0)
    assert not world.problems and whole_groups(planner) >= 12
