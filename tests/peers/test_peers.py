"""Frames between nodes: authentic, bounded, and ages that are never too low."""

import random
import struct

import pytest

from briarpond.groups import GroupView
from briarpond.ids import GroupId
from briarpond.journal import Node, NodeStage, Tail
from briarpond.nodes import PeerView
from briarpond.peers import (
    PROTOCOL_VERSION,
    Envelope,
    FrameAssembler,
    GroupDigest,
    KeyAnswer,
    Known,
    NodeDigest,
    PeerDigest,
    PeerProblemCode,
    Pull,
    PullAnswer,
    answer_pull,
    decode_frame,
    digest_nodes,
    encode_frame,
    is_reader,
    merge_groups,
    merge_nodes,
    probers,
)
from briarpond.ports import EngineLoad

SENDER = NodeDigest("n2", "inc", 0, False)
SECRET = b"a secret of at least sixteen bytes"


def _envelope(**body):
    return Envelope(PROTOCOL_VERSION, "call-1", "n1", **body)


def _known(view):
    return Known(SENDER, [view], [], [], [], 0.0)


def _pull():
    return Pull(7, False, NodeDigest("n1", "inc", 0, False), [])


def test_round_trip_in_pieces():
    answer = PullAnswer(
        SENDER,
        1,
        2,
        3,
        -1,
        [],
        [GroupDigest(5, 1, None, 2, 3, 4), GroupDigest(6)],
        [PeerDigest(9, 4, True), PeerDigest(10, 5)],
        [],
        b"x",
        ["e1"],
    )
    sent = [
        _envelope(pull=_pull()),
        _envelope(pull_answer=answer),
        _envelope(key_answer=KeyAnswer("answered", 200, "text/plain", b"body")),
    ]
    stream = b"".join(encode_frame(each, SECRET) for each in sent)
    assembler, got = FrameAssembler(), []
    for at in range(0, len(stream), 7):
        got += assembler.feed(stream[at : at + 7]).ok
    assert [decode_frame(frame, SECRET).ok for frame in got] == sent


def test_wrong_secret_and_changed_bytes_are_refused():
    sent = _envelope(pull=_pull())
    frame = encode_frame(sent, SECRET)[4:]
    refused = decode_frame(frame, b"another secret, long enough").error
    assert refused.code is PeerProblemCode.NOT_AUTHENTIC
    rng = random.Random(4)
    for _ in range(300):
        changed = bytearray(frame)
        changed[rng.randrange(len(changed))] ^= 1 << rng.randrange(8)
        got = decode_frame(bytes(changed), SECRET)
        # The byte that ends the outer frame carries nothing; all others count.
        assert got.is_error() or (got.ok == sent and bytes(changed)[:-1] == frame[:-1])


def test_garbage_is_refused_without_harm():
    rng = random.Random(5)
    for size in (0, 1, 5, 100, 5000):
        for _ in range(50):
            assert decode_frame(rng.randbytes(size), SECRET).is_error()


def test_oversized_frame_is_refused_before_it_arrives():
    problem = FrameAssembler().feed(struct.pack("!I", 2**31)).error
    assert problem.code is PeerProblemCode.TOO_LARGE


def test_other_version_is_refused():
    frame = encode_frame(Envelope(99, "c", "n1", pull=_pull()), SECRET)[4:]
    assert decode_frame(frame, SECRET).error.code is PeerProblemCode.OTHER_VERSION


@pytest.mark.parametrize("way_s", [0.0, 0.2, 3.0])
def test_relayed_presence_is_never_too_young(way_s):
    present_at, answered_at = 100.0, 101.0
    asked_at, got_at = answered_at - way_s, answered_at + way_s
    view = GroupView(GroupId("g"), 5, present_at, float("-inf"), EngineLoad(1, 2), present_at)
    answer = answer_pull(_pull(), Tail(), _known(view), answered_at)
    known = {}
    merge_groups(answer.groups, {5: GroupId("g")}, known, asked_at, got_at)
    assert known["g"].present_at <= present_at
    assert known["g"].load == EngineLoad(1, 2)


def test_bad_news_is_dated_late():
    view = GroupView(GroupId("g"), 5, 100.0, 100.5, EngineLoad(), 100.5)
    answer = answer_pull(_pull(), Tail(), _known(view), 101.0)
    known = {}
    merge_groups(answer.groups, {5: GroupId("g")}, known, 100.8, 101.2)
    assert not known["g"].usable(101.2, 10.0)
    assert known["g"].absent_at >= 100.5


def test_unknown_generation_is_left():
    known = {}
    merge_groups([GroupDigest(9, 1)], {5: GroupId("g")}, known, 1.0, 1.0)
    assert known == {}


def test_signs_of_life_go_by_the_place_of_the_join():
    nodes = {node.id: node for node in _nodes(3)}
    views = [
        PeerView("n0", "x", 99.0, False),
        PeerView("n1", "x", 98.0, True),
        PeerView("n2", "earlier life", 99.0, False),
        PeerView("n7", "unknown", 99.0, False),
    ]
    digests = digest_nodes(views, nodes, 100.0)
    got = merge_nodes(digests, nodes.values(), 100.0)
    assert [(view.node, view.leaving) for view in got] == [("n0", False), ("n1", True)]
    assert all(now.heard_at <= was.heard_at for now, was in zip(got, views, strict=False))


def _nodes(count):
    return [
        Node(f"n{i}", "x", f"dc-{i % 3}", "r", "a", "b", NodeStage.LIVE, i + 1)
        for i in range(count)
    ]


def test_probers_prefer_the_groups_data_centre_and_spread():
    nodes = _nodes(9)
    chosen = [probers(GroupId(f"g{n}"), "dc-1", nodes) for n in range(200)]
    assert all(set(pair) <= {"n1", "n4", "n7"} and len(pair) == 2 for pair in chosen)
    assert {name for pair in chosen for name in pair} == {"n1", "n4", "n7"}
    assert len(probers(GroupId("g"), "dc-9", nodes)) == 2


def test_one_reader_for_each_data_centre():
    nodes = _nodes(9)
    readers = [node.id for node in nodes if is_reader(node.id, node.data_centre, nodes)]
    assert len(readers) == 3
    left = [node for node in nodes if node.id not in readers]
    assert sum(is_reader(node.id, node.data_centre, left) for node in left) == 3
