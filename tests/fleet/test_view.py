"""The list of instances through outages, and the groups they say they form."""

from briarpond.fleet import FleetView, InstanceState, groups_of
from briarpond.platform import decode_instance

from ..platform_samples import server_bytes


def row(name, **changes):
    return decode_instance(name, server_bytes(**changes)).ok


def test_removed_instance_is_gone_at_once_in_calm_times():
    view = FleetView()
    view.put(row("a"), 0.0)
    view.remove("a", 1.0)
    assert view.get("a") is None and "a" in view.left


def test_entries_that_lapsed_in_an_outage_get_time_to_come_back():
    view = FleetView()
    view.put(row("a"), 0.0)
    view.put(row("b"), 0.0)
    view.outage_ended(10.0)
    view.replace_all([], 10.0)
    assert {each.id for each in view.all()} == {"a", "b"}
    view.put(row("a"), 11.0)
    view.settle(12.0)
    assert view.get("b") is not None
    view.settle(12.6)
    assert view.get("b") is None and view.get("a") is not None
    assert view.left.keys() == {"b"}


def test_entry_that_is_missing_after_an_outage_nobody_watched_gets_no_new_work():
    """Derwent hunt-0bf1-27: the list was read again 10 s after its store had failed."""
    view = FleetView()
    view.put(row("a"), 0.0)
    view.outage_ended(10.0, watched=False)
    view.remove("a", 10.0)
    assert "a" in view.left and not view.trusted(10.0)
    view.put(row("a"), 11.0)
    assert "a" not in view.left
    view.outage_ended(20.0, watched=True)
    view.remove("a", 20.0)
    assert "a" not in view.left


def test_list_that_a_restarted_node_reads_first_may_lack_entries_after_an_outage():
    """It has not seen the outage that may have ended just before it began."""
    restarted = FleetView(first_start=False)
    restarted.replace_all([row("a")], 100.0)
    assert not restarted.trusted(101.9)
    assert restarted.trusted(102.5)
    restarted.replace_all([row("a"), row("b")], 110.0)
    assert restarted.trusted(110.0)
    first = FleetView(first_start=True)
    first.replace_all([row("a")], 100.0)
    assert first.trusted(100.0)


def test_draining_instance_takes_no_new_work():
    view = FleetView()
    view.put(row("a", state="draining"), 3.0)
    assert view.of("pool") == [] and view.left == {"a": 3.0}
    view.put(row("a"), 4.0)
    assert [each.state for each in view.of("pool")] == [InstanceState.READY]


def test_groups_are_put_together_by_rank():
    def member(name, rank):
        return row(name, group={"name": "g", "epoch": 5, "rank": rank, "state": "open"})

    (group,) = groups_of([member("b", 1), member("a", 0), row("c", group=None)])
    assert (group.head, group.members, group.epoch) == ("a", ("a", "b"), 5)
    assert groups_of([member("b", 1)]) == []


def test_missing_entry_gets_no_new_work_well_before_its_server_may_be_gone():
    """Derwent hunt-6b2e-15: a server left just after the store had come back to this node."""
    view = FleetView()
    view.put(row("a"), 0.0)
    view.outage_ended(10.0)
    view.remove("a", 10.3)
    view.settle(11.4)
    assert "a" not in view.left
    view.settle(11.6)
    assert "a" in view.left and view.get("a") is not None
    view.put(row("a"), 11.7)
    assert "a" not in view.left
