"""Entries of the list, and answers, that are older than what is known of a head.

A head whose entry is outdated may be open or closing; none of its members may join another
group before it is known to be neither.
"""

import itertools

import msgspec
import pytest

from briarpond.fleet import MemberState
from briarpond.placement import GroupStage, Order, OrderKind

from .test_planner import ENGINE, HIGH_DEMAND, steady_world
from .world import OPEN_STATES, World

LATE_S = 3.0


def order(world, group, kind, member=None):
    """Return an order of a kind to a member of a group, by default to its head."""
    member = member or group.head
    address = world.listed[member].address
    return Order(kind, member, address, group.id, group.epoch, group.model, group.members)


def is_serving(world, group):
    head = world.instances[group.head]
    return head.group is not None and head.group[0] == group.id and head.state in OPEN_STATES


def world_with_outdated_head(state=MemberState.READY):
    """Return a world, its planner, and an open group whose head is listed in an earlier state.

    All other instances of the domain are gone, so that the members are wanted elsewhere.
    """
    world = World(ENGINE, 60, 10, 1)
    world.cut_next_head_in = state
    planner = world.planner(1)
    world.run(planner, 120.0)
    (head,) = (each for each in world.instances.values() if each.cut_from_list)
    group = planner.groups[head.group[0]]
    assert group.stage is GroupStage.OPEN and head.state is MemberState.OPEN
    head.busy = True
    for name, simulated in world.instances.items():
        if simulated.domain == head.domain and name not in group.members:
            world.kill(name)
    return world, planner, group


# Guards against a group that is released, while its head still serves, because the list shows the
# head as it was before it opened.
@pytest.mark.parametrize("state", [MemberState.READY, MemberState.JOINING])
def test_closing_group_is_not_released_on_an_entry_from_before_it_opened(state):
    world, planner, group = world_with_outdated_head(state)
    world.instances[group.members[1]].draining = True
    world.run(planner, 2.0, HIGH_DEMAND)
    assert is_serving(world, group) and not world.violations
    assert planner.groups[group.id].stage is GroupStage.CLOSING
    world.finish_requests(group.head)
    world.run(planner, 3.0, HIGH_DEMAND)
    assert group.id not in planner.groups and not world.violations


def test_closed_head_is_released_once_the_list_has_shown_it_serving():
    world, planner, group = world_with_outdated_head()
    world.instances[group.head].cut_from_list = False
    world.instances[group.members[1]].draining = True
    world.run(planner, 1.0, HIGH_DEMAND)
    assert planner.groups[group.id].stage is GroupStage.CLOSING
    world.finish_requests(group.head)
    world.refresh()
    planner.update_instances(list(world.listed.values()), world.now)
    assert group.id not in planner.groups


# Guards against a planner that takes members of a group which its predecessor opened, since the
# list shows the head as it was before.
@pytest.mark.parametrize("state", [MemberState.READY, MemberState.JOINING])
def test_next_planner_closes_a_head_with_an_outdated_entry_before_it_uses_its_members(state):
    world, _, group = world_with_outdated_head(state)
    next_planner = world.planner(7, itertools.count(1))
    world.run(next_planner, 2.0, HIGH_DEMAND)
    assert not world.violations and is_serving(world, group)
    world.finish_requests(group.head)
    world.run(next_planner, 5.0, HIGH_DEMAND)
    assert not world.violations
    assert world.instances[group.head].group[0] != group.id


# Guards against an order to open of the predecessor that is carried out after its group's members
# have joined other groups.
def test_late_order_of_the_predecessor_opens_nothing():
    world, planner = steady_world()
    group = next(each for each in planner.groups.values() if each.model == "big")
    world.instances[group.head].state = MemberState.READY
    world.refresh()
    next_planner = world.planner(7, itertools.count(1))
    world.run(next_planner, LATE_S, HIGH_DEMAND)
    assert world.execute(order(world, group, OrderKind.OPEN)) == 409
    world.run(next_planner, LATE_S, HIGH_DEMAND)
    assert not world.violations


# Guards against a released group whose head is open: the answer was one to the order to open.
@pytest.mark.parametrize("status", [200, 409, 421])
@pytest.mark.parametrize("kind", [OrderKind.OPEN, OrderKind.JOIN])
def test_late_answer_to_another_order_does_not_end_a_close(kind, status):
    world, planner, group = world_with_outdated_head()
    world.instances[group.members[1]].draining = True
    world.run(planner, 0.3, HIGH_DEMAND)
    assert planner.groups[group.id].stage is GroupStage.CLOSING
    planner.on_order_answer(order(world, group, kind), status, world.now)
    assert group.id in planner.groups


# Guards against an order to open that is still under way when the group is closed, and is carried
# out after the close.
def test_group_with_an_order_to_open_under_way_is_closed_by_leaving():
    world, planner = steady_world()
    group = next(each for each in planner.groups.values() if each.model == "big")
    planned = planner.groups[group.id]
    head = world.instances[group.head]
    head.state = MemberState.READY
    world.refresh()
    planned.enter_stage(GroupStage.OPENING, world.now)
    planner.update_instances(list(world.listed.values()), world.now)
    sent = [each for each in planner.next_orders({}, world.now) if each.group == group.id]
    assert [each.kind for each in sent] == [OrderKind.OPEN]
    world.instances[group.members[1]].draining = True
    world.refresh()
    planner.update_instances(list(world.listed.values()), world.now)
    sent = [each for each in planner.next_orders({}, world.now) if each.group == group.id]
    assert [each.kind for each in sent] == [OrderKind.LEAVE]


# Guards against a head that was given up while it served, with members that never left it, and
# that comes back with an outdated entry.
def test_head_that_comes_back_is_closed_before_it_joins_another_group():
    world, planner, group = world_with_outdated_head()
    for member in group.members:
        world.instances[member].unreachable = True
    world.run(planner, 6.0, HIGH_DEMAND)
    assert group.id not in planner.groups and is_serving(world, group)
    for member in group.members:
        world.instances[member].unreachable = False
        planner.clear_lost(member)
    world.run(planner, 2.0, HIGH_DEMAND)
    assert is_serving(world, group) and not world.violations
    world.finish_requests(group.head)
    world.run(planner, 4.0, HIGH_DEMAND)
    assert world.instances[group.head].group[0] != group.id and not world.violations


def restore_entry(world, name):
    """Give an instance a path to the store again."""
    simulated = world.instances[name]
    simulated.cut_from_list = False
    simulated.unlisted = False


def clear_domain(world, group):
    """Remove all instances of a group's domain but its members, so that they are wanted."""
    domain = world.instances[group.head].domain
    for name, simulated in world.instances.items():
        if simulated.domain == domain and name not in group.members:
            world.kill(name)


# Guards against members that are taken from a head which serves although the store has dropped its
# entry: their requests stall, and the members join other groups meanwhile.
@pytest.mark.parametrize("drained_first", [True, False])
def test_head_without_an_entry_finishes_its_requests_before_its_members_are_used(drained_first):
    world, planner, group = world_with_outdated_head()
    if drained_first:
        world.instances[group.members[1]].draining = True
        world.run(planner, 2.0, HIGH_DEMAND)
    world.instances[group.head].unlisted = True
    world.run(planner, 3.0, HIGH_DEMAND)
    assert is_serving(world, group)
    others = [world.instances[each].group[0] for each in group.members[1:]]
    assert others == [group.id] * len(others)
    world.finish_requests(group.head)
    world.run(planner, 3.0, HIGH_DEMAND)
    assert not is_serving(world, group) and group.id not in planner.groups


# Guards against a head without an entry that has ended, and whose members are kept for ever.
def test_head_without_an_entry_that_answers_nothing_is_given_up():
    world, planner, group = world_with_outdated_head()
    world.instances[group.head].unlisted = True
    world.instances[group.head].unreachable = True
    world.run(planner, 8.0, HIGH_DEMAND)
    assert group.id not in planner.groups


# Guards against a group that is released on the answer to an order to close which arrives while
# the group opens, and whose head opens afterwards.
def test_close_during_the_opening_is_followed_by_an_order_to_leave():
    world, planner = steady_world()
    group = next(each for each in planner.groups.values() if each.model == "big")
    planned = planner.groups[group.id]
    world.instances[group.head].state = MemberState.READY
    planned.enter_stage(GroupStage.OPENING, world.now)
    planned.opens_unanswered = 1
    planner.on_order_answer(order(world, group, OrderKind.OPEN), 202, world.now)
    world.instances[group.members[1]].draining = True
    world.refresh()
    planner.update_instances(list(world.listed.values()), world.now)
    sent = [each for each in planner.next_orders({}, world.now) if each.group == group.id]
    assert [each.kind for each in sent] == [OrderKind.CLOSE_WAIT]
    planner.on_order_answer(sent[0], 200, world.now)
    assert group.id in planner.groups
    sent = [each for each in planner.next_orders({}, world.now) if each.group == group.id]
    assert [each.kind for each in sent] == [OrderKind.LEAVE]


# Guards against a new planner that takes the members of its predecessor's open group, since the
# list shows them, or the head, in no group or in an earlier one.
@pytest.mark.parametrize("outdated", ["head", "member"])
def test_next_planner_asks_an_instance_for_its_membership_before_it_uses_it(outdated):
    world, planner = steady_world()
    group = next(each for each in planner.groups.values() if each.model == "big")
    name = group.head if outdated == "head" else group.members[1]
    clear_domain(world, group)
    before = world.listed[name]
    entry = msgspec.structs.replace(before, membership=None)
    world.listed[name] = entry
    world.instances[name].cut_from_list = True
    world.instances[group.head].busy = True
    next_planner = world.planner(7, itertools.count(1))
    world.run(next_planner, LATE_S, HIGH_DEMAND)
    assert not world.violations
    restore_entry(world, name)
    world.finish_requests(group.head)
    world.run(next_planner, 8.0, HIGH_DEMAND)
    assert not world.violations
