"""Calls to the store: what is learnt of its era."""

import pytest

from briarpond.gateway import _store_client
from briarpond.gateway._store_client import StoreClient
from briarpond.net import Address
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
        self.store = StoreClient(Address("10.0.0.1", 80), self.http)
        self.answered = []
        self.lost = []

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


def test_store_that_names_no_era_has_none(world, logged):
    world.call()
    world.http.answer(0)
    assert world.store.era == 0 and logged == []
