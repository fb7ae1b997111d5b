"""Registration of a node at the store, by which nodes that know nobody find it."""

from types import SimpleNamespace

import pytest

from briarpond.gateway._registry import CHECK_INTERVAL_S, RETRY_DELAY_S, NodeRegistry
from briarpond.net import LossReason

from .world import VirtualClock


class NodesStore:
    """Counts the registrations, and answers each call at once unless it is down."""

    def __init__(self):
        self.registrations = 0
        self.is_down = False
        self.held = []
        self.holds_answers = False

    def call(self, request, timeout_s, on_answer, on_lost):
        if self.is_down:
            on_lost(LossReason.CONNECT_FAILED)
            return
        if request.method == "POST":
            self.registrations += 1
            body = b""
        else:
            body = b'{"entries":[],"hasMore":false,"end":0}'
        if self.holds_answers:
            self.held.append(lambda: on_answer(200, body))
        else:
            on_answer(200, body)


def make_registry(clock, store, is_candidate):
    """Return a started registry of a node that knows others."""
    settings = SimpleNamespace(node="n1", host="10.0.0.1", seed_hosts=())
    registry = NodeRegistry(
        store, clock, settings, lambda hosts: None, lambda: True, lambda: is_candidate
    )
    registry.start()
    return registry


@pytest.fixture
def registry():
    clock, store = VirtualClock(), NodesStore()
    registry = make_registry(clock, store, is_candidate=True)
    registry.clock, registry.store = clock, store
    clock.advance(2 * CHECK_INTERVAL_S)
    return registry


def test_candidate_registers_once(registry):
    registry.clock.advance(10 * CHECK_INTERVAL_S)
    assert registry.store.registrations == 1


# Guards against nodes that can't be found any more: what they had registered since the copy from
# which the store has come back is gone, and nobody writes it again for them.
def test_node_registers_again_after_a_restoration_of_the_store(registry):
    registry.on_store_restored()
    registry.clock.advance(2 * CHECK_INTERVAL_S)
    assert registry.store.registrations == 2
    registry.clock.advance(10 * CHECK_INTERVAL_S)
    assert registry.store.registrations == 2


def test_registration_after_a_restoration_is_repeated_until_it_succeeds(registry):
    registry.on_store_restored()
    registry.store.is_down = True
    registry.clock.advance(3 * RETRY_DELAY_S + 2 * CHECK_INTERVAL_S)
    registry.store.is_down = False
    registry.clock.advance(2 * CHECK_INTERVAL_S)
    assert registry.store.registrations == 2


@pytest.mark.parametrize("is_first", [True, False])
def test_registration_under_way_during_a_restoration_does_not_count(is_first):
    clock, store = VirtualClock(), NodesStore()
    registry = make_registry(clock, store, is_candidate=True)
    store.holds_answers = is_first
    clock.advance(2 * CHECK_INTERVAL_S)
    if not is_first:
        registry.on_store_restored()
        store.holds_answers = True
        clock.advance(2 * CHECK_INTERVAL_S)
    sent = store.registrations
    registry.on_store_restored()
    store.holds_answers = False
    for answer in store.held:
        answer()
    clock.advance(2 * CHECK_INTERVAL_S)
    assert store.registrations == sent + 1


def test_node_that_never_registered_does_not_after_a_restoration():
    clock, store = VirtualClock(), NodesStore()
    registry = make_registry(clock, store, is_candidate=False)
    registry.on_store_restored()
    clock.advance(10 * CHECK_INTERVAL_S)
    assert store.registrations == 0
