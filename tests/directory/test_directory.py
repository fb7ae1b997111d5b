"""Heartbeats travel whole, and only nodes that stay are given to callers."""

import random

from briarpond.directory import (
    Beat,
    DemandRow,
    NodeBook,
    Plan,
    PlanRow,
    ServerRow,
    decode_beat,
    encode_beat,
)
from briarpond.net import Address


def beat(node, place="a", ready=True, leaving=False):
    return Beat(node, Address("10.0.0.1", 80), place, ready, leaving)


def test_heartbeat_round_trip():
    sent = Beat(
        "n1",
        Address("10.0.0.1", 80),
        "a",
        True,
        False,
        (ServerRow("i", 3, 400),),
        (DemandRow("m", 1.5),),
        ("i",),
        Plan(3, 9, (PlanRow("g", 3000001, "m", "i", Address("10.0.0.2", 81)),)),
    )
    assert decode_beat(encode_beat(sent)).ok == sent


def test_cut_heartbeats_are_errors_and_nothing_else():
    data = encode_beat(beat("n1"))
    for end in range(len(data) - 1):
        assert decode_beat(data[:end]).is_error()


def test_silent_leaving_and_unready_nodes_are_not_given():
    book = NodeBook("own")
    book.put(beat("far", "b"), 10.0)
    book.put(beat("near", "a"), 10.0)
    book.put(beat("silent"), 8.0)
    book.put(beat("leaving", leaving=True), 10.0)
    book.put(beat("cold", ready=False), 10.0)
    own = beat("own", ready=False)
    assert len(book.addresses(own, "a", random.Random(1), 10.5)) == 2
    assert book.count(10.5) == 5
