"""Records of the instance list and the view of the backend servers that comes of them."""

import pytest

from briarpond.fleet import FleetView
from briarpond.gateway._instance_list import InstanceList
from briarpond.platform import KeyedRecord

from ..platform_samples import server_bytes

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
