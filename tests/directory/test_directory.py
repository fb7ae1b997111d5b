"""Heartbeats travel whole, and only nodes that stay are given to callers."""

import random

import msgspec

from briarpond.directory import (
    Beat,
    DemandRow,
    Echo,
    NodeBook,
    PlainRow,
    Plan,
    PlanRow,
    ServerRow,
    Targets,
    decode_beat,
    decode_message,
    encode_beat,
    encode_echo,
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
        Plan(
            3,
            9,
            True,
            Targets(
                (PlanRow("g", 3000001, "m", "i", Address("10.0.0.2", 81)),),
                (PlainRow("p", "desk", Address("10.0.0.3", 82), "a", 6),),
            ),
        ),
        True,
    )
    assert decode_beat(encode_beat(sent)).ok == sent
    repeated = msgspec.structs.replace(sent, plan=Plan(3, 9, False, None))
    assert decode_beat(encode_beat(repeated)).ok == repeated


def test_echo_round_trip_and_unknown_kinds():
    echo = Echo(123456, 7, 40)
    assert decode_message(encode_echo(echo)).ok == echo
    assert decode_message(encode_beat(beat("n1"))).ok.node == "n1"
    for data in (b"", b"?", b"E", b"X" + encode_echo(echo)):
        assert decode_message(data).is_error()


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


def test_few_nodes_apply_for_the_lease():
    books = {name: NodeBook(name) for name in "abcdefgh"}
    for book in books.values():
        for name in books:
            book.put(beat(name), 10.0)
    assert [name for name, book in books.items() if book.should_apply(3, 10.1)] == ["a", "b", "c"]


def test_next_node_applies_when_one_is_lost():
    book = NodeBook("d")
    for name in "abc":
        book.put(msgspec.structs.replace(beat(name), candidate=name != "b"), 10.0)
    assert not book.should_apply(3, 10.1)
    book = NodeBook("d")
    for name in "ac":
        book.put(msgspec.structs.replace(beat(name), candidate=True), 10.0)
    assert book.should_apply(3, 10.1)


def test_planner_goes_on_without_the_store_only_if_nobody_has_it():
    """Lehtinen hunt-5c73-39: a planner without its lease went on while another had it."""
    book = NodeBook("own")
    for name in "abcd":
        book.put(beat(name), 10.0)
    assert book.nobody_reaches_store(10.5)
    book.put(msgspec.structs.replace(beat("b"), candidate=True), 10.5)
    assert not book.nobody_reaches_store(10.6)


def test_planner_that_was_frozen_or_cut_off_does_not_go_on():
    book = NodeBook("own")
    for name in "abcd":
        book.put(beat(name), 10.0)
    assert not book.nobody_reaches_store(14.0)
    book.put(beat("a"), 14.0)
    assert not book.nobody_reaches_store(14.1)
    book.put(beat("b"), 14.0)
    assert book.nobody_reaches_store(14.1)
