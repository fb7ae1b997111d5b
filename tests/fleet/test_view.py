"""The instance list over outages of the store, and the groups that instances report."""

from briarpond.fleet import FleetView, InstanceState, assemble_groups
from briarpond.platform import decode_instance

from ..platform_samples import server_bytes


def listed_instance(name, **changes):
    return decode_instance(name, server_bytes(**changes)).ok


def test_removed_instance_is_dropped_at_once_without_a_recent_outage():
    view = FleetView()
    view.put(listed_instance("a"), 0.0)
    view.remove("a", 1.0)
    assert view.get("a") is None and "a" in view.unavailable_since


def test_entries_that_lapsed_in_an_outage_are_kept_for_the_grace_period():
    view = FleetView()
    view.put(listed_instance("a"), 0.0)
    view.put(listed_instance("b"), 0.0)
    view.outage_ended(10.0)
    view.replace_all([], 10.0)
    assert {each.id for each in view.all_instances()} == {"a", "b"}
    view.put(listed_instance("a"), 11.0)
    view.expire_missing(12.0)
    assert view.get("b") is not None
    view.expire_missing(12.6)
    assert view.get("b") is None and view.get("a") is not None
    assert view.unavailable_since.keys() == {"b"}


def test_entry_missing_after_an_unmonitored_outage_gets_no_new_work():
    """A node that does not query the store may read the list long after an outage ended.

    An entry that it finds removed then may belong to an instance that left long before;
    requests were still sent to it.
    """
    view = FleetView()
    view.put(listed_instance("a"), 0.0)
    view.outage_ended(10.0, monitored=False)
    view.remove("a", 10.0)
    assert "a" in view.unavailable_since and not view.is_complete(10.0)
    view.put(listed_instance("a"), 11.0)
    assert "a" not in view.unavailable_since
    view.outage_ended(20.0, monitored=True)
    view.remove("a", 20.0)
    assert "a" not in view.unavailable_since


def test_first_list_after_a_restart_counts_as_incomplete_for_the_grace_period():
    """An outage that the node did not see may have ended just before it started."""
    restarted = FleetView(first_start=False)
    restarted.replace_all([listed_instance("a")], 100.0)
    assert not restarted.is_complete(101.9)
    assert restarted.is_complete(102.5)
    restarted.replace_all([listed_instance("a"), listed_instance("b")], 110.0)
    assert restarted.is_complete(110.0)
    first = FleetView(first_start=True)
    first.replace_all([listed_instance("a")], 100.0)
    assert first.is_complete(100.0)


def test_draining_instance_gets_no_new_work():
    view = FleetView()
    view.put(listed_instance("a", state="draining"), 3.0)
    assert view.accepting("pool") == [] and view.unavailable_since == {"a": 3.0}
    view.put(listed_instance("a"), 4.0)
    assert view.accepting("pool") == [] and view.unavailable_since == {"a": 3.0}
    view.put(listed_instance("a", seq=5), 5.0)
    assert [each.state for each in view.accepting("pool")] == [InstanceState.READY]
    assert view.unavailable_since == {}


def test_groups_are_assembled_by_rank_and_need_a_head():
    def member(name, rank):
        return listed_instance(name, group={"name": "g", "epoch": 5, "rank": rank, "state": "open"})

    (group,) = assemble_groups([member("b", 1), member("a", 0), listed_instance("c", group=None)])
    assert (group.head, group.members, group.epoch) == ("a", ("a", "b"), 5)
    assert assemble_groups([member("b", 1)]) == []


def test_missing_entry_gets_no_new_work_before_the_grace_period_ends():
    """An instance may leave for good just after the store has recovered.

    Its removal looks like an entry that lapsed in the outage; keeping it in use for the
    whole grace period sent requests to it too long after it had left.
    """
    view = FleetView()
    view.put(listed_instance("a"), 0.0)
    view.outage_ended(10.0)
    view.remove("a", 10.3)
    view.expire_missing(11.4)
    assert "a" not in view.unavailable_since
    view.expire_missing(11.6)
    assert "a" in view.unavailable_since and view.get("a") is not None
    view.put(listed_instance("a"), 11.7)
    assert "a" not in view.unavailable_since


def test_instance_is_cold_for_the_time_that_its_entry_states():
    view = FleetView()
    view.put(listed_instance("a", coldLeftMs=2000), 10.0)
    assert view.cold_until("a", 3.0) == 12.0
    view.replace_all([listed_instance("a", coldLeftMs=2000)], 11.0)
    assert view.cold_until("a", 3.0) == 12.0
    view.put(listed_instance("a", coldLeftMs=0, seq=5), 11.5)
    assert view.cold_until("a", 3.0) == 11.5
    view.put(listed_instance("a", coldLeftMs=3000, seq=6), 20.0)
    assert view.cold_until("a", 3.0) == 23.0
    assert view.cold_until("unknown", 3.0) == float("-inf")


def test_instance_whose_entry_does_not_say_is_cold_after_its_start():
    """A later entry of the same start does not make it cold again."""
    view = FleetView()
    view.put(listed_instance("a", coldLeftMs=None, born=1), 10.0)
    view.put(listed_instance("a", coldLeftMs=None, born=1, slots=3), 12.0)
    assert view.cold_until("a", 3.0) == 13.0
    view.put(listed_instance("a", coldLeftMs=None, born=2), 20.0)
    assert view.cold_until("a", 3.0) == 23.0
