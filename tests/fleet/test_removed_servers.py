"""Entries of servers that were removed from the list, and come back with an older view of it."""

import pytest

from briarpond.fleet import FleetView
from briarpond.fleet._removed import HELD_BACK_S, MAX_REMEMBERED, REMEMBERED_S

from .test_older_entries import BORN_MS, both_ways, entry, member


def view_without_a(seq=9, **changes):
    """Return a view from which a server was removed at the time 1."""
    view = FleetView()
    view.put(entry(seq, **changes), 0.0)
    view.remove("a", 1.0)
    return view


def is_used(view):
    return view.get("a") is not None and "a" not in view.unavailable_since


# Guards against DRAIN: a server that is gone is used again on an entry from before its removal.
@both_ways
@pytest.mark.parametrize("seq", [8, 9])
def test_removed_server_does_not_return_with_an_entry_from_before(learn, seq):
    view = view_without_a()
    learn(view, entry(seq), 2.0)
    assert view.get("a") is None and view.unavailable_since == {"a": 1.0}


# Guards against PARTIAL: the group of a removed head takes requests again.
@both_ways
def test_removed_head_does_not_return_with_its_group(learn):
    view = FleetView()
    view.put(member(9, 12), 0.0)
    view.remove("a", 1.0)
    learn(view, member(9, 12), 2.0)
    assert view.all_instances() == []


@both_ways
def test_removed_draining_server_does_not_return_as_ready(learn):
    view = view_without_a(state="draining")
    learn(view, entry(9), 2.0)
    assert view.get("a") is None


# Guards against a server that was cut off from the store, or restarted, and is never used again.
@both_ways
@pytest.mark.parametrize(("seq", "born"), [(10, BORN_MS), (0, BORN_MS + 1)])
def test_removed_server_returns_with_a_later_entry(learn, seq, born):
    view = view_without_a()
    learn(view, entry(seq, born=born), 2.0)
    assert is_used(view)


@both_ways
@pytest.mark.parametrize("changes", [{"seq": None}, {"seq": 4, "born": 0}])
def test_removed_server_returns_with_an_entry_that_cannot_be_compared(learn, changes):
    view = view_without_a()
    learn(view, entry(**changes), 2.0)
    assert is_used(view)


# Guards against a running server that is refused: the copy that the store came back from lacked
# its entry, which is written again with its number.
def test_server_that_a_whole_list_lacked_returns_with_the_same_entry():
    view = FleetView()
    view.put(entry(9), 0.0)
    view.replace_all([], 1.0)
    view.put(entry(8), 2.0)
    assert view.get("a") is None
    view.put(entry(9), 3.0)
    assert is_used(view)


# Guards against DRAIN: a removal in the time after an outage counts less than one at other times.
def test_server_that_was_removed_after_an_outage_does_not_return_with_an_older_entry():
    view = FleetView()
    view.put(entry(9), 0.0)
    view.outage_ended(10.0)
    view.remove("a", 10.1)
    view.expire_missing(12.6)
    view.put(entry(9), 13.0)
    assert view.get("a") is None and "a" in view.unavailable_since


# Guards against a sound server that is refused for good: the store lists it all the time, so that
# it is not removed for silence, but its entry isn't written again.
@both_ways
def test_refused_entry_is_taken_if_it_stays_listed(learn):
    view = view_without_a()
    learn(view, entry(9), 2.0)
    learn(view, entry(9), 5.0)
    view.expire_missing(2.0 + HELD_BACK_S - 0.1)
    assert view.get("a") is None
    view.expire_missing(2.0 + HELD_BACK_S)
    assert is_used(view)


def remove_again(view):
    view.remove("a", 3.0)


def read_without_it(view):
    view.replace_all([], 3.0)


@pytest.mark.parametrize("leave", [remove_again, read_without_it])
def test_refused_entry_that_leaves_the_list_is_not_taken(leave):
    view = view_without_a()
    view.put(entry(9), 2.0)
    leave(view)
    view.expire_missing(2.0 + HELD_BACK_S)
    assert view.get("a") is None


# Guards against DRAIN: a server that was leaving is used again after some seconds.
def test_refused_entry_of_a_server_that_was_draining_is_not_taken_later():
    view = view_without_a(state="draining")
    view.put(entry(8), 2.0)
    view.expire_missing(2.0 + HELD_BACK_S)
    assert view.get("a") is None


# Guards against a later entry that is replaced by one that was refused before.
def test_refused_entry_does_not_replace_a_later_one():
    view = view_without_a()
    view.put(entry(8, slots=3), 2.0)
    view.put(entry(10, slots=5), 3.0)
    view.expire_missing(2.0 + HELD_BACK_S)
    assert view.get("a").slots == 5


# Guards against memory that grows with each server that was ever there.
def test_removed_servers_are_forgotten_after_a_time_and_beyond_a_number():
    view = view_without_a()
    view.expire_missing(1.0 + REMEMBERED_S)
    view.put(entry(8), 1.0 + REMEMBERED_S)
    assert is_used(view)
    view = view_without_a()
    for number in range(MAX_REMEMBERED):
        view.put(entry(1, name=f"i-{number}"), 2.0)
        view.remove(f"i-{number}", 2.0)
    view.put(entry(8), 3.0)
    view.put(entry(1, name="i-0"), 3.0)
    assert is_used(view) and view.get("i-0") is None
