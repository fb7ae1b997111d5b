"""Records of the instance list and the view of the backend servers that comes of them."""

from types import SimpleNamespace

import pytest

from briarpond.fleet import FleetView
from briarpond.fleet._view import REREGISTRATION_GRACE_S
from briarpond.gateway._instance_list import InstanceList
from briarpond.gateway._node import Node
from briarpond.platform import KeyedRecord

from ..platform_samples import server_bytes
from .world import make_instance

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
        put(instance, now)

    monkeypatch.setattr(fleet, "put", fail_on_odd)
    records = [record(key, server_bytes()) for key in ("a", "odd", "b")]
    InstanceList(fleet).apply_changes(records, NOW)
    assert listed(fleet) == {"a", "b"}


# Guards against a planner that takes over on the list of a store that has come back from a copy:
# groups that were opened since the copy are not listed, and their members look free.
def test_list_is_incomplete_for_a_while_after_a_restoration_of_the_store():
    fleet = FleetView()
    fleet.replace_all([make_instance("i-1")], NOW)
    node = SimpleNamespace(state=SimpleNamespace(fleet=fleet), _clock=SimpleNamespace())
    node._clock.now = lambda: NOW + 1
    node._registry = SimpleNamespace(on_store_restored=lambda: None)
    Node._on_store_restored(node)
    assert not fleet.is_complete(NOW + 1)
    fleet.replace_all([], NOW + 1.1)
    assert listed(fleet) == {"i-1"}
    assert fleet.is_complete(NOW + 1 + REREGISTRATION_GRACE_S)
