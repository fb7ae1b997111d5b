"""Who gets room for a body, and who loses it: decisions without sockets."""

import pytest

from briarpond.net import BodyBudget
from briarpond.net._body_budget import COPIES, LARGE_SHARE, SMALL_BODY_BYTES, choose_stalled

LIMIT = 1_000_000
LARGE = 300_000


class Holder:
    """Stands in for a connection."""

    def __init__(self):
        self.calls = 0

    def on_room(self):
        self.calls += 1


@pytest.fixture
def budget():
    return BodyBudget(LIMIT)


def take(budget, count, size, is_large):
    """Return holders that have asked for room, and how many of them got it."""
    holders = [Holder() for _ in range(count)]
    return holders, sum(budget.request_room(holder, size, is_large) for holder in holders)


# Guards against many large bodies that fill the room together with none of them whole.
def test_large_bodies_get_room_for_their_whole_length_or_wait(budget):
    holders, granted = take(budget, 5, LARGE, True)
    assert granted == int(LIMIT * LARGE_SHARE) // LARGE == 2
    assert budget.used == 2 * LARGE and budget.wanted == 3 * LARGE
    budget.release(holders[0])
    assert [holder.calls for holder in holders] == [0, 0, 1, 0, 0]
    assert budget.request_room(holders[2], LARGE, True)


# Guards against large bodies that keep ordinary ones out.
def test_small_bodies_find_room_beside_large_ones(budget):
    take(budget, 5, LARGE, True)
    _, granted = take(budget, 5, SMALL_BODY_BYTES, False)
    assert granted == 5


# Guards against small bodies that take up more than the whole budget.
def test_small_bodies_wait_at_the_limit(budget):
    _, granted = take(budget, 100, SMALL_BODY_BYTES, False)
    assert granted == LIMIT // SMALL_BODY_BYTES and budget.used <= LIMIT


# Guards against a body within the limits that is never let in, as it exceeds the large share.
def test_a_single_large_body_is_let_in_whatever_the_budget(budget):
    holder = Holder()
    assert budget.request_room(holder, COPIES * SMALL_BODY_BYTES, False)
    assert budget.request_room(holder, 2 * LIMIT, True)
    assert not budget.request_room(Holder(), LARGE, True)


# Guards against room that is lost when a connection ends while it waits.
def test_released_holder_neither_holds_nor_waits(budget):
    holders, _ = take(budget, 4, LARGE, True)
    budget.release(holders[3])
    for holder in holders[:3]:
        budget.release(holder)
    assert (budget.used, budget.wanted, holders[3].calls) == (0, 0, 0)


# Guards against a reservation that outlives the end of its body: a whole one holds its own size.
def test_whole_body_gives_back_what_it_does_not_need(budget):
    holders, _ = take(budget, 3, LARGE, True)
    budget.set_whole(holders[0], 1000)
    assert budget.held_by(holders[0]) == 1000 and holders[2].calls == 1


def test_the_largest_stalled_bodies_are_refused_first_and_no_more_than_needed():
    stalled = [("a", 10), ("b", 30), ("c", 20)]
    assert choose_stalled(stalled, 0) == []
    assert choose_stalled(stalled, 30) == ["b"]
    assert choose_stalled(stalled, 31) == ["b", "c"]
