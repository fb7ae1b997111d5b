"""Records of the instance list and the view of the backend servers that comes of them."""

from types import SimpleNamespace

import pytest

from briarpond.fleet import FleetView
from briarpond.fleet._view import REREGISTRATION_GRACE_S
from briarpond.gateway._instance_list import InstanceList
from briarpond.gateway._node import Node
from briarpond.platform import KeyedRecord

from ..platform_samples import server_bytes
from .world import Gateway, make_instance

NOW = 100.0
UNUSABLE = [b"", b"no JSON", b"[" * 100_000, server_bytes(slots=2**70), server_bytes(addr="x")]


def record(key, value, offset=0):
    return KeyedRecord(key, value, offset)


def listed(fleet):
    return {instance.id for instance in fleet.all_instances()}


# Guards against one odd record that hides those beside it.
@pytest.mark.parametrize("value", UNUSABLE)
def test_unusable_record_leaves_the_others(value):
    fleet = FleetView()
    instances = InstanceList(fleet)
    good = server_bytes()
    instances.replace_all([record("a", good), record("odd", value), record("b", good)], NOW)
    assert listed(fleet) == {"a", "b"}
    instances.apply_changes([record("odd", value), record("c", good), record("a", None)], NOW + 1)
    assert listed(fleet) == {"b", "c"}


def test_record_that_the_view_cannot_take_leaves_the_others(monkeypatch):
    fleet = FleetView()
    put = fleet.put

    def fail_on_odd(instance, now):
        if instance.id == "odd":
            raise KeyError("unexpected")
        return put(instance, now)

    monkeypatch.setattr(fleet, "put", fail_on_odd)
    records = [record(key, server_bytes()) for key in ("a", "odd", "b")]
    InstanceList(fleet).apply_changes(records, NOW)
    assert listed(fleet) == {"a", "b"}


def restored_state(tmp_path, list_known_until):
    """Return the state of a node that hears of a restoration at NOW + 1, with one instance."""
    gateway = Gateway(tmp_path)
    state = gateway.state
    state.fleet = FleetView()
    state.fleet.replace_all([make_instance("i-1")], NOW)
    state.list_known_until = lambda: list_known_until
    state.on_store_restored(NOW + 1)
    return state


# Guards against a planner that takes over on the list of a store that has come back from a copy:
# groups that were opened since the copy are not listed, and their members look free.
def test_list_is_incomplete_for_a_while_after_a_restoration_of_the_store(tmp_path):
    fleet = restored_state(tmp_path, NOW + 0.5).fleet
    assert not fleet.is_complete(NOW + 1)
    fleet.replace_all([], NOW + 1.1)
    assert listed(fleet) == {"i-1"} and "i-1" not in fleet.unavailable_since
    assert fleet.is_complete(NOW + 1 + REREGISTRATION_GRACE_S)


# Guards against requests to servers that left long ago, on a node that did not follow the list.
@pytest.mark.parametrize("list_known_until", [None, NOW - 10.0])
def test_missing_entry_gets_no_work_after_a_restoration_if_the_list_is_old(
    tmp_path, list_known_until
):
    fleet = restored_state(tmp_path, list_known_until).fleet
    fleet.replace_all([], NOW + 1.1)
    assert "i-1" in fleet.unavailable_since


# Guards against a restoration that the node's parts are not told of.
def test_node_tells_its_parts_of_a_restoration():
    told = []
    node = SimpleNamespace(
        state=SimpleNamespace(on_store_restored=told.append),
        _clock=SimpleNamespace(now=lambda: NOW),
        _registry=SimpleNamespace(on_store_restored=lambda: told.append("registry")),
    )
    Node._on_store_restored(node)
    assert told == [NOW, "registry"]


@pytest.fixture
def events(monkeypatch):
    """Return the events that the list logs, with their fields."""
    logged = []
    monkeypatch.setattr(
        "briarpond.gateway._instance_list.log_event",
        lambda event, **fields: logged.append((event, fields)),
    )
    return logged


# Guards against a restoration of the store that nobody can see in the log.
@pytest.mark.parametrize("whole", [True, False])
def test_older_record_is_logged_and_not_applied(events, whole):
    fleet = FleetView()
    instances = InstanceList(fleet)
    instances.apply_changes([record("a", server_bytes(seq=9, state="draining"), 5)], NOW)
    older = record("a", server_bytes(seq=7), 3)
    if whole:
        instances.replace_all([older], NOW + 1)
    else:
        instances.apply_changes([older], NOW + 1)
    assert "a" in fleet.unavailable_since
    (fields,) = [fields for event, fields in events if event == "instance_outdated"]
    assert (fields["state"], fields["seq"]) == ("ready", 7)
    assert (fields["known_state"], fields["known_seq"]) == ("draining", 9)
    assert fields["offset"] == (-1 if whole else 3)
