"""Messages between nodes: authenticated bounded frames, ages, division of work."""

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
    NodeDigest,
    NodeReport,
    PeerDigest,
    PeerProblemCode,
    Pull,
    PullAnswer,
    answer_pull,
    choose_probers,
    decode_frame,
    digest_peers,
    encode_frame,
    is_log_reader,
    merge_group_digests,
    views_from_digests,
)
from briarpond.ports import EngineLoad

SENDER = NodeDigest("n2", "inc", 0, False)
SECRET = b"a secret of at least sixteen bytes"


def _envelope(**body):
    return Envelope(PROTOCOL_VERSION, "call-1", "n1", **body)


def _report(view):
    return NodeReport(SENDER, [view], [], [], [], 0.0)


def _pull():
    return Pull(7, False, NodeDigest("n1", "inc", 0, False), [])


def test_envelopes_survive_a_stream_that_arrives_in_pieces():
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
    envelopes = [
        _envelope(pull=_pull()),
        _envelope(pull_answer=answer),
        _envelope(key_answer=KeyAnswer("answered", 200, "text/plain", b"body")),
    ]
    stream = b"".join(encode_frame(each, SECRET) for each in envelopes)
    assembler, frames = FrameAssembler(), []
    for at in range(0, len(stream), 7):
        frames += assembler.feed(stream[at : at + 7]).ok
    assert [decode_frame(frame, SECRET).ok for frame in frames] == envelopes


def test_frames_with_another_secret_or_changed_bits_are_refused():
    envelope = _envelope(pull=_pull())
    frame = encode_frame(envelope, SECRET)[4:]
    refused = decode_frame(frame, b"another secret, long enough").error
    assert refused.code is PeerProblemCode.NOT_AUTHENTIC
    rng = random.Random(4)
    for _ in range(300):
        changed = bytearray(frame)
        changed[rng.randrange(len(changed))] ^= 1 << rng.randrange(8)
        decoded = decode_frame(bytes(changed), SECRET)
        # Only the last byte of the outer frame, its end marker, has no effect when changed.
        assert decoded.is_error() or (decoded.ok == envelope and bytes(changed)[:-1] == frame[:-1])


def test_random_bytes_are_refused_without_an_exception():
    rng = random.Random(5)
    for size in (0, 1, 5, 100, 5000):
        for _ in range(50):
            assert decode_frame(rng.randbytes(size), SECRET).is_error()


def test_frame_above_the_limit_is_refused_by_its_length_alone():
    problem = FrameAssembler().feed(struct.pack("!I", 2**31)).error
    assert problem.code is PeerProblemCode.TOO_LARGE


def test_other_protocol_version_is_refused():
    frame = encode_frame(Envelope(99, "c", "n1", pull=_pull()), SECRET)[4:]
    assert decode_frame(frame, SECRET).error.code is PeerProblemCode.OTHER_VERSION


@pytest.mark.parametrize("transit_s", [0.0, 0.2, 3.0])
def test_relayed_presence_is_not_newer_than_the_original(transit_s):
    """A group must not look ready for longer than it is because its view was in transit."""
    present_at, answered_at = 100.0, 101.0
    pull_sent_at, arrived_at = answered_at - transit_s, answered_at + transit_s
    view = GroupView(GroupId("g"), 5, present_at, float("-inf"), EngineLoad(1, 2), present_at)
    answer = answer_pull(_pull(), Tail(), _report(view), answered_at)
    views = {}
    merge_group_digests(answer.groups, {5: GroupId("g")}, views, pull_sent_at, arrived_at)
    assert views["g"].present_at <= present_at
    assert views["g"].load == EngineLoad(1, 2)


def test_relayed_absence_is_not_older_than_the_original():
    """A group that one node saw absent must not stay usable at nodes to which that is relayed."""
    view = GroupView(GroupId("g"), 5, 100.0, 100.5, EngineLoad(), 100.5)
    answer = answer_pull(_pull(), Tail(), _report(view), 101.0)
    views = {}
    merge_group_digests(answer.groups, {5: GroupId("g")}, views, 100.8, 101.2)
    assert not views["g"].usable(101.2, 10.0)
    assert views["g"].absent_at >= 100.5


def test_digest_of_an_unknown_generation_is_ignored():
    views = {}
    merge_group_digests([GroupDigest(9, 1)], {5: GroupId("g")}, views, 1.0, 1.0)
    assert views == {}


def test_contacts_are_relayed_only_for_the_incarnation_that_joined():
    """A contact with an earlier run of a node must not make its later run look alive."""
    nodes = {node.id: node for node in _nodes(3)}
    views = [
        PeerView("n0", "x", 99.0, False),
        PeerView("n1", "x", 98.0, True),
        PeerView("n2", "earlier", 99.0, False),
        PeerView("n7", "unknown", 99.0, False),
    ]
    digests = digest_peers(views, nodes, 100.0)
    relayed_views = views_from_digests(digests, nodes.values(), 100.0)
    assert [(view.node, view.leaving) for view in relayed_views] == [("n0", False), ("n1", True)]
    assert all(
        relayed.last_alive_at <= original.last_alive_at
        for relayed, original in zip(relayed_views, views, strict=False)
    )


def _nodes(count):
    return [
        Node(f"n{i}", "x", f"dc-{i % 3}", "r", "a", "b", NodeStage.LIVE, i + 1)
        for i in range(count)
    ]


def test_probers_are_spread_over_the_nodes_of_the_groups_data_centre():
    nodes = _nodes(9)
    pairs = [choose_probers(GroupId(f"g{n}"), "dc-1", nodes) for n in range(200)]
    assert all(set(pair) <= {"n1", "n4", "n7"} and len(pair) == 2 for pair in pairs)
    assert {name for pair in pairs for name in pair} == {"n1", "n4", "n7"}
    assert len(choose_probers(GroupId("g"), "dc-9", nodes)) == 2


def test_each_data_centre_has_one_log_reader_also_after_its_reader_left():
    nodes = _nodes(9)
    readers = [node.id for node in nodes if is_log_reader(node.id, node.data_centre, nodes)]
    assert len(readers) == 3
    remaining = [node for node in nodes if node.id not in readers]
    assert sum(is_log_reader(node.id, node.data_centre, remaining) for node in remaining) == 3
