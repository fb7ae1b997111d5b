"""Entries of the instance list that are older than what a node already knows of a server.

They are listed after a restoration of the store, or in an answer from an outdated view of it.
"""

import pytest

from briarpond.fleet import FleetView, InstanceState
from briarpond.platform import decode_instance

from ..platform_samples import server_bytes

BORN_MS = 1_700_000_000_000


def entry(seq, name="a", **changes):
    return decode_instance(name, server_bytes(seq=seq, **changes)).ok


def member(seq, epoch, state="open", **changes):
    group = {"name": f"g1-{epoch}", "epoch": epoch, "rank": 0, "state": state}
    return entry(seq, group=group, **changes)


def put(view, instance, now):
    view.put(instance, now)


def read_whole(view, instance, now):
    view.replace_all([instance], now)


both_ways = pytest.mark.parametrize("learn", [put, read_whole])


# Guards against DRAIN: a draining server is used again because an older entry shows it as ready.
@both_ways
def test_older_ready_entry_does_not_return_a_draining_server(learn):
    view = FleetView()
    view.put(entry(7), 0.0)
    view.put(entry(9, state="draining"), 1.0)
    learn(view, entry(7), 2.0)
    assert view.accepting("pool") == [] and view.unavailable_since == {"a": 1.0}


# Guards against PARTIAL and TWO: requests, or the planner, go by an earlier group of the server.
@both_ways
def test_older_membership_does_not_replace_a_later_one(learn):
    view = FleetView()
    view.put(member(5, 11), 0.0)
    view.put(member(8, 12), 1.0)
    learn(view, member(5, 11), 2.0)
    assert view.get("a").membership.epoch == 12


@both_ways
def test_older_state_of_a_head_does_not_replace_a_later_one(learn):
    view = FleetView()
    view.put(member(8, 12, "closing"), 1.0)
    learn(view, member(6, 12, "open"), 2.0)
    assert view.get("a").membership.state.value == "closing"


# Guards against members that count as ready though they have lost everything by a restart.
@both_ways
def test_entry_of_an_earlier_start_is_older_whatever_its_number(learn):
    view = FleetView()
    view.put(member(50, 11), 0.0)
    view.put(entry(1, born=BORN_MS + 1, group=None), 1.0)
    learn(view, member(51, 11), 2.0)
    assert view.get("a").membership is None


# Guards against a server that is never used again after its restart, since its numbers start anew.
@both_ways
def test_entry_of_a_later_start_is_taken_with_a_low_number(learn):
    view = FleetView()
    view.put(entry(90, state="draining"), 0.0)
    learn(view, entry(1, born=BORN_MS + 1), 1.0)
    assert view.get("a").state is InstanceState.READY and not view.unavailable_since


@both_ways
@pytest.mark.parametrize("seq", [None, "9", 1.5, True, -1, 2**70, [4]])
def test_entry_without_a_usable_number_is_taken_as_the_newest(learn, seq):
    """Another writer may leave it out or give it another type."""
    view = FleetView()
    view.put(member(8, 12), 0.0)
    learn(view, member(seq, 11), 1.0)
    assert view.get("a").membership.epoch == 11
    learn(view, member(3, 12), 2.0)
    assert view.get("a").membership.epoch == 12


# Guards against entries without a start that are compared by numbers of different starts.
@both_ways
def test_entry_without_a_start_is_taken_as_the_newest(learn):
    view = FleetView()
    view.put(member(8, 12, born=0), 0.0)
    learn(view, member(2, 13, born=0), 1.0)
    assert view.get("a").membership.epoch == 13


# Guards against a server that counts as cold again because its number in the list has risen.
def test_list_that_differs_in_the_number_only_changes_nothing_else():
    view = FleetView()
    view.put(entry(4, coldLeftMs=2000), 10.0)
    version = view.version
    view.replace_all([entry(6, coldLeftMs=2000)], 11.0)
    assert view.version == version and view.cold_until("a", 3.0) == 12.0
    view.put(entry(5, coldLeftMs=9000), 12.0)
    assert view.cold_until("a", 3.0) == 12.0


# Guards against an older entry that ends the search for a server whose entry is missing.
def test_older_entry_does_not_return_a_missing_server():
    view = FleetView()
    view.put(entry(8), 0.0)
    view.outage_ended(10.0, monitored=False)
    view.remove("a", 10.1)
    view.replace_all([entry(6)], 10.2)
    assert "a" in view.unavailable_since
    view.put(entry(8), 10.3)
    assert "a" not in view.unavailable_since


# Guards against DRAIN: a server that said it is leaving is used again on an entry that isn't later.
@both_ways
@pytest.mark.parametrize("seq", [9, 8, None, "10"])
def test_ready_entry_without_a_higher_number_does_not_end_draining(learn, seq):
    view = FleetView()
    view.put(entry(9, state="draining"), 1.0)
    learn(view, entry(seq), 2.0)
    assert view.accepting("pool") == [] and view.unavailable_since == {"a": 1.0}
    learn(view, entry(10), 3.0)
    assert view.accepting("pool") and not view.unavailable_since


@both_ways
def test_draining_without_any_numbers_ends_with_the_next_start_only(learn):
    view = FleetView()
    view.put(entry(None, state="draining"), 1.0)
    learn(view, entry(None), 2.0)
    assert view.accepting("pool") == []
    learn(view, entry(None, born=BORN_MS + 1), 3.0)
    assert view.accepting("pool") and not view.unavailable_since


# Guards against a server that another writer has made draining for good.
@both_ways
def test_numbered_ready_entry_ends_draining_that_has_no_number(learn):
    view = FleetView()
    view.put(entry(None, state="draining"), 1.0)
    learn(view, entry(3), 2.0)
    assert view.accepting("pool") and not view.unavailable_since


# Guards against a server that never drains because its entry has the number of the one before.
@both_ways
@pytest.mark.parametrize("seq", [4, None])
def test_server_drains_on_an_entry_of_the_same_number(learn, seq):
    view = FleetView()
    view.put(entry(seq), 1.0)
    learn(view, entry(seq, state="draining"), 2.0)
    assert view.unavailable_since == {"a": 2.0}
