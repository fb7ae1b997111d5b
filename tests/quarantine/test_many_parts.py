"""Requests with many parts, or parts with long names: what is remembered and what is told.

The tests guard against BUDGET: a bound on what is kept or told must not hide the part that ends
servers, and a message must not grow beyond a datagram.
"""

import random
from collections import Counter

import pytest

from briarpond.directory import Member, Notice, decode_datagram, encode_datagram
from briarpond.net import Address
from briarpond.quarantine._crashes import MAX_MENTIONS, MAX_REQUESTS_PER_CRASH, MIN_CRASHES_KEPT
from briarpond.quarantine._reports import MAX_PARTS_BYTES, encoded_size, shorten_request

from .test_quarantine import Node

OWN = Member("n1", 1, 0, Address("10.0.0.1", 80), "d1", True, False)
# Length of the digest of a long id.
DIGITS = 32


def names(prefix, count):
    """Return parts as long as a digest."""
    return [f"{prefix}{number:04}".ljust(DIGITS, "0") for number in range(count)]


def request(number, part="bad", place=70, count=100):
    """Return a request whose other parts no other request has, with `part` at a place."""
    others = names(f"{number}-", count)
    return " ".join([*others[:place], part, *others[place:]])


@pytest.mark.parametrize("place", [0, 63, 64, 2_000])
def test_part_is_found_at_any_place(place):
    node = Node()
    for number in range(2):
        node.crash(f"s{number}", request(number, place=place, count=2_500))
    assert node.blocked("bad r9").part == "bad"
    assert node.blocked(request(7, part="good")) is None


def test_part_is_found_at_a_node_that_was_told_of_one_crash():
    """Each node has seen one server end, under as many requests as a group runs."""
    one, other = Node(), Node()
    one.crash("s1", *[request(n, f"g{n}", count=64) for n in range(9)], request(9, count=64))
    sound = [request(n, f"g{n}", count=64) for n in range(20, 29)]
    other.crash("s2", *sound, request(29, count=64), after_s=2.0)
    one.now = other.now
    one.tell(other)
    other.quarantine.evaluate(other.now + 1.0)
    assert other.blocked("bad r9").part == "bad"


def test_all_parts_that_fit_no_message_are_told_in_turn():
    """A request larger than a message is told piece by piece, its last part with each."""
    one, other = Node(), Node()
    big = request(1, place=1_500, count=3_000)
    assert encoded_size(big.split()) > 3 * MAX_PARTS_BYTES
    one.crash("s1", big)
    other.crash("s2", "bad r2", after_s=2.0)
    one.now = other.now
    for _ in range(6):
        one.tell(other)
    other.quarantine.evaluate(other.now + 1.0)
    assert other.blocked("bad r9").part == "bad"


def test_message_stays_within_a_datagram_and_tells_the_suspect():
    node = Node(groups=2)
    for number in range(8):
        requests = [request(100 * number + n, "good", count=64) for n in range(17)]
        node.crash(f"s{number}", *requests, request(100 * number + 50, count=64), after_s=0.2)
        node.survive("good")
        evidence = node.quarantine.evidence(node.now)
        data = encode_datagram(Notice(OWN, evidence=evidence))
        assert len(data) < 2 * MAX_PARTS_BYTES
        assert decode_datagram(data).ok.evidence is not None
        told = [set(each) for crash in evidence.crashes for each in crash.requests]
        assert number == 0 or sum("bad" in each for each in told) >= 2


def test_remembered_parts_are_bounded_and_the_newest_crashes_are_kept():
    node = Node()
    for number in range(60):
        requests = [request(100 * number + n, count=60) for n in range(40)]
        node.crash(f"s{number}", *requests, after_s=0.01)
        log = node.quarantine._crashes
        mentions = sum(len(each) for crash in log._crashes.values() for each in crash.requests)
        assert mentions == log._mention_count
        assert mentions <= MAX_MENTIONS or len(log._crashes) <= MIN_CRASHES_KEPT
        assert all(len(each.requests) <= MAX_REQUESTS_PER_CRASH for each in log._crashes.values())
        assert f"s{number}" in {key.server for key in log._crashes}
    assert len(log._by_part) <= MAX_MENTIONS
    node.now += 100.0
    node.crash("late", "a r")
    assert log._mention_count == 2


def test_shortened_request_keeps_order_last_part_and_what_other_crashes_have():
    rng = random.Random(5)
    parts = tuple(names("p", 500))
    for _ in range(20):
        suspects = set(rng.sample(parts, 5))
        told = rng.randrange(50)
        room = rng.randrange(400, 5_000)
        short = shorten_request(parts, room, Counter(suspects), told)
        assert encoded_size(short) <= room
        assert suspects <= set(short) and short[-1] == parts[-1]
        assert list(short) == sorted(short, key=parts.index)
