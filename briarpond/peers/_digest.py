"""Digests of presence and load that nodes pull from each other.

Ages are measured from the moment a pull was sent, so that the way of the answer
counts as age. A relayed sign of life is therefore never taken for younger than
it is, without any agreement of clocks.
"""

from collections.abc import Iterable, Mapping

import msgspec

from briarpond.groups import GroupView
from briarpond.ids import GroupId, NodeId, Position
from briarpond.journal import Node, Tail, encode_snapshot
from briarpond.nodes import PeerView
from briarpond.ports import EngineLoad

from ._models import AccountDemand, GroupDigest, LogRow, NodeDigest, PeerDigest, Pull, PullAnswer

MAX_ROWS_BYTES = 256 * 1024
MAX_AGE_MS = 3_600_000
NEVER_MS = -1
NEVER = float("-inf")


class Known(msgspec.Struct, frozen=True):
    """What a node knows besides the log when it answers a pull."""

    sender: NodeDigest
    views: list[GroupView]
    nodes: list[PeerDigest]
    demand: list[AccountDemand]
    leaving: list[str]
    contact_at: float


def answer_pull(pull: Pull, tail: Tail, known: Known, now: float) -> PullAnswer:
    """Return what this node knows beyond what the sender of `pull` has."""
    page = tail.relay_from(pull.next_offset, MAX_ROWS_BYTES)
    gap = pull.next_offset < page.oldest
    snapshot = None
    if gap and pull.wants_snapshot and tail.state.position > 0:
        snapshot = encode_snapshot(tail.state)
    contact_age = age_ms(known.contact_at, now)
    return PullAnswer(
        known.sender,
        page.oldest,
        page.following,
        tail.highest_seen,
        NEVER_MS if contact_age is None else contact_age,
        [LogRow(entry.offset, entry.value) for entry in page.entries],
        [digest_group(view, now) for view in known.views],
        known.nodes,
        known.demand,
        snapshot,
        known.leaving,
    )


def digest_group(view: GroupView, now: float) -> GroupDigest:
    """Return the digest of one group."""
    present_age = age_ms(view.present_at, now)
    load_age = age_ms(view.load_at, now)
    return GroupDigest(
        view.generation,
        present_age,
        age_ms(view.absent_at, now),
        view.load.running or None,
        None if load_age == present_age else load_age,
        view.load.queued or None,
    )


def digest_nodes(
    views: Iterable[PeerView], nodes: Mapping[NodeId, Node], now: float
) -> list[PeerDigest]:
    """Return the signs of life of peers that the log shows under the same incarnation."""
    digests = []
    for view in views:
        node = nodes.get(view.node)
        age = age_ms(view.heard_at, now)
        if node is not None and node.incarnation == view.incarnation and age is not None:
            digests.append(PeerDigest(node.position, age, view.leaving or None))
    return digests


def merge_groups(
    digests: Iterable[GroupDigest],
    by_generation: dict[Position, GroupId],
    known: dict[GroupId, GroupView],
    asked_at: float,
    now: float,
) -> None:
    """Take a peer's views into `known` where they are newer.

    Good news is dated from when the pull was sent, the earliest it can be;
    bad news from now, the latest.
    """
    for digest in digests:
        group = by_generation.get(Position(digest.generation))
        if group is None:
            continue
        load_age = digest.load_age_ms
        if load_age is None:
            load_age = digest.present_age_ms
        view = GroupView(
            group,
            Position(digest.generation),
            _time(digest.present_age_ms, asked_at),
            _time(digest.absent_age_ms, now),
            EngineLoad(max(0, digest.running or 0), max(0, digest.queued or 0)),
            _time(load_age, asked_at),
        )
        known[group] = view.merged(known.get(group))


def merge_nodes(
    digests: Iterable[PeerDigest], nodes: Iterable[Node], asked_at: float
) -> list[PeerView]:
    """Return the signs of life that a peer relays, of nodes that the log shows."""
    by_position = {node.position: node for node in nodes}
    views = []
    for digest in digests:
        node = by_position.get(Position(digest.position))
        if node is not None:
            heard_at = _time(digest.age_ms, asked_at)
            views.append(PeerView(node.id, node.incarnation, heard_at, bool(digest.leaving)))
    return views


def age_ms(time: float, now: float) -> int | None:
    """Return an age in whole milliseconds, rounded up; None for never."""
    if time == NEVER:
        return None
    return min(MAX_AGE_MS, max(0, int((now - time) * 1000) + 1))


def _time(age: int | None, reference: float) -> float:
    return NEVER if age is None or age < 0 else reference - age / 1000.0
