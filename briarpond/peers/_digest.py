"""Digests of presence and load that nodes pull from each other.

Ages are measured from the moment a pull was sent, so that the way of the answer
counts as age. A relayed sign of life is therefore never taken for younger than
it is, without any agreement of clocks.
"""

from collections.abc import Iterable

from briarpond.groups import GroupView
from briarpond.ids import GroupId, Incarnation, NodeId, Position
from briarpond.journal import Tail, encode_snapshot
from briarpond.nodes import PeerView
from briarpond.platform import EngineLoad

from ._models import AccountDemand, GroupDigest, LogRow, NodeDigest, Pull, PullAnswer

MAX_ROWS_BYTES = 256 * 1024
MAX_AGE_MS = 3_600_000
NEVER_MS = -1
NEVER = float("-inf")


def answer_pull(
    pull: Pull,
    tail: Tail,
    views: Iterable[GroupView],
    nodes: list[NodeDigest],
    demand: list[AccountDemand],
    contact_at: float,
    leaving: list[str],
    now: float,
) -> PullAnswer:
    """Return what this node knows beyond what the sender of `pull` has."""
    page = tail.relay_from(pull.next_offset, MAX_ROWS_BYTES)
    gap = pull.next_offset < page.oldest
    snapshot = None
    if gap and pull.wants_snapshot and tail.state.position > 0:
        snapshot = encode_snapshot(tail.state)
    return PullAnswer(
        page.oldest,
        page.following,
        tail.highest_seen,
        age_ms(contact_at, now),
        [LogRow(entry.offset, entry.value) for entry in page.entries],
        [digest_group(view, now) for view in views],
        nodes,
        demand,
        snapshot,
        leaving,
    )


def digest_group(view: GroupView, now: float) -> GroupDigest:
    """Return the digest of one group."""
    return GroupDigest(
        view.generation,
        age_ms(view.present_at, now),
        age_ms(view.absent_at, now),
        view.load.running,
        age_ms(view.load_at, now),
        view.load.queued,
    )


def digest_nodes(views: Iterable[PeerView], now: float) -> list[NodeDigest]:
    """Return the signs of life of peers."""
    return [
        NodeDigest(view.node, view.incarnation, age_ms(view.heard_at, now), view.leaving)
        for view in views
    ]


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
        load_at = _time(digest.load_age_ms, asked_at)
        view = GroupView(
            group,
            Position(digest.generation),
            _time(digest.present_age_ms, asked_at),
            _time(digest.absent_age_ms, now),
            EngineLoad(max(0, digest.running), max(0, digest.queued)),
            load_at,
        )
        known[group] = view.merged(known.get(group))


def merge_nodes(digests: Iterable[NodeDigest], asked_at: float) -> list[PeerView]:
    """Return the signs of life that a peer relays."""
    return [
        PeerView(
            NodeId(digest.node),
            Incarnation(digest.incarnation),
            _time(digest.age_ms, asked_at),
            digest.leaving,
        )
        for digest in digests
        if digest.age_ms >= 0
    ]


def age_ms(time: float, now: float) -> int:
    """Return an age in whole milliseconds, rounded up."""
    if time == NEVER:
        return NEVER_MS
    return min(MAX_AGE_MS, max(0, int((now - time) * 1000) + 1))


def _time(age: int, reference: float) -> float:
    return NEVER if age < 0 else reference - age / 1000.0
