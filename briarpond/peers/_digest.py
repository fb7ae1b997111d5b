"""Readiness, load and liveness that nodes relay to each other as ages.

Clocks of nodes need not agree: a message holds ages, not times. The receiver
subtracts an age from the time at which it sent its pull, so the transit time of the
pull and the answer counts as age, too. What is relayed is therefore never taken for
newer than it is.
"""

from collections.abc import Iterable, Mapping

import msgspec

from briarpond.groups import GroupView
from briarpond.ids import GroupId, NodeId, Position
from briarpond.journal import Node, Tail, encode_snapshot
from briarpond.nodes import PeerView
from briarpond.ports import EngineLoad

from ._models import AccountDemand, GroupDigest, LogRow, NodeDigest, PeerDigest, Pull, PullAnswer

# Limit of the log entries in one answer; a longer first entry is sent alone.
MAX_ROWS_BYTES = 256 * 1024
# Higher ages are sent as one hour; their fields in the messages are 32-bit integers.
MAX_AGE_MS = 3_600_000
# "Never": as `contact_age_ms` of an answer, and as a monotonic time.
NEVER_MS = -1
NEVER = float("-inf")


class NodeReport(msgspec.Struct, frozen=True):
    """What a node reports in the answer to a pull, apart from log entries.

    Attributes
    ----------
    sender : NodeDigest
        The node that answers.
    group_views : list of GroupView
        Its views of the groups.
    peer_digests : list of PeerDigest
        Its last contacts with other nodes.
    demand : list of AccountDemand
        Demand of client accounts at it.
    leaving : list of str
        Instances that its copy of the instance list shows as leaving.
    log_contact_at : float
        Monotonic time at which it had last read the log to its end; `NEVER` if it has not.
    """

    sender: NodeDigest
    group_views: list[GroupView]
    peer_digests: list[PeerDigest]
    demand: list[AccountDemand]
    leaving: list[str]
    log_contact_at: float


def answer_pull(pull: Pull, tail: Tail, report: NodeReport, now: float) -> PullAnswer:
    """Return the answer to a peer's pull.

    Parameters
    ----------
    pull : Pull
        Request of the peer.
    tail : Tail
        This node's state and buffered log entries.
    report : NodeReport
        What this node reports apart from log entries.
    now : float
        Monotonic time from which ages are computed.
    """
    page = tail.page_for_peer(pull.next_offset, MAX_ROWS_BYTES)
    gap = pull.next_offset < page.oldest
    snapshot = None
    if gap and pull.wants_snapshot and tail.state.position > 0:
        snapshot = encode_snapshot(tail.state)
    contact_age = age_ms(report.log_contact_at, now)
    return PullAnswer(
        report.sender,
        page.oldest,
        page.following,
        tail.highest_seen,
        NEVER_MS if contact_age is None else contact_age,
        [LogRow(entry.offset, entry.value) for entry in page.entries],
        [digest_group(view, now) for view in report.group_views],
        report.peer_digests,
        report.demand,
        snapshot,
        report.leaving,
    )


def digest_group(view: GroupView, now: float) -> GroupDigest:
    """Return a view of a group with its times as ages at `now`."""
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


def digest_peers(
    views: Iterable[PeerView], nodes: Mapping[NodeId, Node], now: float
) -> list[PeerDigest]:
    """Return the last contacts with peers, for relaying them to other nodes.

    Peers that the folded state does not hold in the same incarnation are left out,
    as are peers with which there was no contact.

    Parameters
    ----------
    views : iterable of PeerView
        This node's contacts with its peers.
    nodes : mapping
        Nodes of the folded state by id.
    now : float
        Monotonic time from which ages are computed.
    """
    digests = []
    for view in views:
        node = nodes.get(view.node)
        age = age_ms(view.last_alive_at, now)
        if node is not None and node.incarnation == view.incarnation and age is not None:
            digests.append(PeerDigest(node.position, age, view.leaving or None))
    return digests


def merge_group_digests(
    digests: Iterable[GroupDigest],
    group_of_generation: dict[Position, GroupId],
    views: dict[GroupId, GroupView],
    pull_sent_at: float,
    now: float,
) -> None:
    """Merge a peer's views of groups into this node's relayed views.

    Errors of the transit time must not make a group look ready for longer than it
    is. Presence and load are therefore dated back from the time at which the pull was
    sent, the earliest possible; absence from the time of the answer, the latest.

    Parameters
    ----------
    digests : iterable of GroupDigest
        Views of the peer; those of unknown generations are ignored.
    group_of_generation : dict
        Generation to the id of the group, from the folded state.
    views : dict
        Group to relayed view; changed in place.
    pull_sent_at : float
        Monotonic time at which the pull was sent.
    now : float
        Monotonic time at which the answer arrived.
    """
    for digest in digests:
        group = group_of_generation.get(Position(digest.generation))
        if group is None:
            continue
        load_age = digest.load_age_ms
        if load_age is None:
            load_age = digest.present_age_ms
        view = GroupView(
            group,
            Position(digest.generation),
            _time_from_age(digest.present_age_ms, pull_sent_at),
            _time_from_age(digest.absent_age_ms, now),
            EngineLoad(max(0, digest.running or 0), max(0, digest.queued or 0)),
            _time_from_age(load_age, pull_sent_at),
        )
        views[group] = view.merged(views.get(group))


def views_from_digests(
    digests: Iterable[PeerDigest], nodes: Iterable[Node], pull_sent_at: float
) -> list[PeerView]:
    """Return the contacts with nodes that a peer relays.

    Parameters
    ----------
    digests : iterable of PeerDigest
        Contacts of the peer; those with nodes that have not joined are ignored.
    nodes : iterable of Node
        Nodes of the folded state.
    pull_sent_at : float
        Monotonic time at which the pull was sent.
    """
    by_position = {node.position: node for node in nodes}
    views = []
    for digest in digests:
        node = by_position.get(Position(digest.position))
        if node is not None:
            alive_at = _time_from_age(digest.age_ms, pull_sent_at)
            views.append(PeerView(node.id, node.incarnation, alive_at, bool(digest.leaving)))
    return views


def age_ms(time: float, now: float) -> int | None:
    """Return the age of a monotonic time in whole milliseconds, None for `NEVER`.

    The age is rounded up and lies between 0 and `MAX_AGE_MS`.
    """
    if time == NEVER:
        return None
    return min(MAX_AGE_MS, max(0, int((now - time) * 1000) + 1))


def _time_from_age(age: int | None, reference: float) -> float:
    """Return the monotonic time `age` milliseconds before `reference`, `NEVER` without an age."""
    return NEVER if age is None or age < 0 else reference - age / 1000.0
