"""Passing of the configuration between nodes: who reads the store, and what is accepted.

The pattern guarded against: every change of the configuration made each of 195 nodes call the
store, and so did each start of a node.
"""

import random
import zlib

import pytest

from briarpond.directory import (
    ConfigRecord,
    StorePosition,
    decode_config_record,
    encode_config_record,
)
from briarpond.gateway import _config_exchange
from briarpond.gateway._config_exchange import CONFIG_PATH, ConfigExchange
from briarpond.net import HttpRequest, LossReason

from .world import RecordedReply, VirtualClock

RECORD = b'{"version":7}' * 50


class FetchingClient:
    """Records the fetches, which the test answers."""

    def __init__(self):
        self.fetches = []

    def fetch(self, address, method, target, headers, body, timeout_s, on_answer, on_failure):
        self.fetches.append((address, target, on_answer, on_failure))


@pytest.fixture
def exchange():
    clock = VirtualClock()
    client = FetchingClient()
    received = []
    exchange = ConfigExchange(
        clock, client, 7340, lambda now: 0.25, lambda *record: received.append(record)
    )
    exchange.clock, exchange.client, exchange.received = clock, client, received
    return exchange


def answer_of(exchange, path=CONFIG_PATH):
    reply = RecordedReply()
    exchange.answer(HttpRequest("GET", path, (), b"", 0.0), reply)
    return reply


def test_record_is_fetched_with_the_time_at_which_it_was_newest(exchange):
    exchange.set_record(12, RECORD)
    body = answer_of(exchange).body
    requested_at = exchange.clock.now()
    exchange.fetch(7, "10.0.0.2")
    exchange.clock.time += 0.1
    exchange.client.fetches[0][2](200, body)
    record, newest_at, host = exchange.received[0]
    assert host == "10.0.0.2"
    assert (record.offset, record.value) == (12, RECORD)
    assert newest_at == pytest.approx(requested_at - 0.25)


def test_node_without_a_record_answers_404(exchange):
    assert answer_of(exchange).status == 404
    exchange.set_record(12, RECORD)
    assert answer_of(exchange, "/other").status == 404


def test_only_one_fetch_at_a_time(exchange):
    exchange.fetch(7, "10.0.0.2")
    exchange.fetch(7, "10.0.0.3")
    assert len(exchange.client.fetches) == 1
    exchange.client.fetches[0][3](LossReason.CONNECT_FAILED)
    exchange.fetch(7, "10.0.0.3")
    assert len(exchange.client.fetches) == 2


def test_store_is_read_if_no_node_delivers(exchange):
    exchange.fetch(7, "10.0.0.2")
    assert exchange.may_deliver(exchange.clock.now())
    exchange.client.fetches[0][3](LossReason.CONNECT_FAILED)
    exchange.clock.time += 0.6
    exchange.fetch(7, "10.0.0.3")
    exchange.clock.time += 0.5
    assert not exchange.may_deliver(exchange.clock.now())


def malformed_records():
    yield b""
    yield random.Random(3).randbytes(300)
    yield encode_config_record(ConfigRecord(1, 0.0, b"not compressed"))
    yield encode_config_record(ConfigRecord(1, 0.0, zlib.compress(RECORD)[:-5]))


@pytest.mark.parametrize("body", list(malformed_records()))
def test_malformed_record_is_dropped(exchange, body):
    exchange.fetch(7, "10.0.0.2")
    exchange.client.fetches[0][2](200, body)
    assert exchange.received == []


def test_record_that_grows_without_bound_is_dropped(exchange, monkeypatch):
    monkeypatch.setattr(_config_exchange, "MAX_RECORD_BYTES", 1000)
    body = encode_config_record(ConfigRecord(1, 0.0, zlib.compress(bytes(100_000))))
    exchange.fetch(7, "10.0.0.2")
    exchange.client.fetches[0][2](200, body)
    assert exchange.received == []


def test_record_round_trip():
    record = ConfigRecord(5, 0.5, RECORD)
    assert decode_config_record(encode_config_record(record)).ok == record


def test_record_round_trip_with_position_and_evacuations():
    record = ConfigRecord(5, 0.5, RECORD, StorePosition(2, 9), frozenset({"a", "b"}))
    assert decode_config_record(encode_config_record(record)).ok == record
    record = ConfigRecord(5, 0.5, RECORD, StorePosition(2, 9))
    assert decode_config_record(encode_config_record(record)).ok == record


def test_record_goes_with_the_position_and_the_evacuations_as_of_it(exchange):
    """Guards against a record that brings a node up to a position without its evacuations."""
    exchange.set_record(12, RECORD)
    exchange.set_position(StorePosition(1, 15), frozenset({"a"}))
    exchange.fetch(7, "10.0.0.2")
    exchange.client.fetches[0][2](200, answer_of(exchange).body)
    record, *_ = exchange.received[0]
    assert (record.offset, record.position, record.evacuated) == (
        12,
        StorePosition(1, 15),
        frozenset({"a"}),
    )
