"""Calls to the store: what is learnt of its era."""

import pytest

from briarpond.gateway import _store_client
from briarpond.gateway._store_client import StoreClient
from briarpond.net import Address, LossReason
from briarpond.platform import StoreRequest


class AnsweringClient:
    """Keeps the calls, which the test answers in any order."""

    def __init__(self):
        self.calls = []

    def fetch(self, *call):
        self.calls.append(call)

    def answer(self, number, era=None, status=200):
        *_, on_answer, _, on_headers = self.calls[number]
        on_headers(() if era is None else (("store-era", str(era)),))
        on_answer(status, b"")


class World:
    """A client of the store, and what becomes of its calls."""

    def __init__(self):
        self.http = AnsweringClient()
        self.store = StoreClient(
            Address("10.0.0.1", 80), self.http, self._on_restored, lambda: self.now
        )
        self.now = 100.0
        self.restored = []
        self.answered = []
        self.lost = []

    def _on_restored(self):
        self.restored.append(self.store.era)

    def call(self):
        self.store.call(
            StoreRequest("GET", "/"),
            1.0,
            lambda status, body: self.answered.append(self.store.era),
            self.lost.append,
        )


@pytest.fixture
def world():
    return World()


@pytest.fixture
def logged(monkeypatch):
    events = []
    monkeypatch.setattr(_store_client, "log_event", lambda *_, **pairs: events.append(pairs))
    return events


def test_each_new_era_is_logged_once(world, logged):
    for number, era in enumerate([2, 2, 3, 3]):
        world.call()
        world.http.answer(number, era)
    assert logged == [{"era": 2, "known": 0}, {"era": 3, "known": 2}]


# Guards against generations and offsets of a former era that are taken for present ones: the answer
# had been under way when the store came back.
def test_answer_of_a_former_era_counts_as_lost(world):
    world.call()
    world.call()
    world.http.answer(1, 3)
    world.http.answer(0, 2)
    assert world.answered == [3] and world.lost == [LossReason.OUTDATED]


def test_era_that_another_node_has_named_counts(world):
    world.store.note_era(4)
    world.call()
    world.http.answer(0, 3)
    assert world.answered == [] and world.store.era == 4


def test_store_that_names_no_era_has_none(world, logged):
    world.call()
    world.http.answer(0)
    assert world.store.era == 0 and logged == []


def test_each_restoration_is_told_once_and_the_first_era_is_none(world):
    for number, era in enumerate([2, 2, 3, 3]):
        world.call()
        world.http.answer(number, era)
    world.store.note_era(4)
    world.store.note_era(1)
    assert world.restored == [3, 4]


def test_time_of_an_era_is_that_of_its_first_answer():
    world = World()
    world.call()
    world.http.answer(0, era=1)
    assert (world.store.era_since, world.store.was_restored) == (100.0, False)
    for at, era in ((103.0, 2), (105.0, 2)):
        world.now = at
        world.call()
        world.http.answer(-1, era=era)
    assert (world.store.era_since, world.store.was_restored) == (103.0, True)
