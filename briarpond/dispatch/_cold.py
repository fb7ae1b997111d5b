"""Which nodes send requests to a cold server, and how fast.

A server that has just started, or has lost its caches, crashes when it receives many requests.
Nodes do not coordinate: each derives from its view of the nodes whether it is one of the few
senders of a cold server, and paces its own requests so that all senders together keep the bound.
"""

import hashlib
import heapq
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache, partial

import msgspec

from briarpond.ids import InstanceId, NodeId

# Senders of a cold server, at most. With many senders each sends at most once a second, so that
# a sender too many costs little, and nodes with few requests use up their share together.
COLD_SENDERS = 30
# The bound is kept with this many more senders, because the views of the nodes may differ.
SPARE_SENDERS = 5
# Requests may arrive closer together than they were sent, by up to this time.
ARRIVAL_JITTER_S = 0.1
# Nodes that a node assumes while it has not seen how many there are. The largest known
# deployment has 140.
ASSUMED_NODES = 200
# Nodes without a view of the others send at this share of the rate: how many of them are
# senders is then left to chance.
ALONE_SHARE = 0.5
# Rate below which a limit is not followed; it keeps intervals finite.
MIN_RATE_PER_S = 0.001
# Odd 64-bit factor that spreads a difference in low bits over the high ones.
_MIX_FACTOR = 0x9E3779B97F4A7C15
_MASK = 2**64 - 1
# The time of the last send to a server that is not cold is kept for this long.
KEEP_SENT_S = 10.0


class ColdLimit(msgspec.Struct, frozen=True):
    """What a cold server can take, from all nodes together.

    Attributes
    ----------
    per_s : float
        Requests a second that the server can handle.
    max_per_s : float
        Requests that it must not receive more of in any second.
    """

    per_s: float
    max_per_s: float


class SenderPace(msgspec.Struct, frozen=True):
    """How many nodes send to a cold server, and how often each of them does.

    Attributes
    ----------
    senders : int
        Number of senders.
    interval_s : float
        Shortest time between two requests of one sender.
    """

    senders: int
    interval_s: float


class NodeView(msgspec.Struct, frozen=True):
    """The nodes as one of them sees them.

    Attributes
    ----------
    nodes : frozenset of NodeId
        Nodes that are alive or were so a short time ago, the own one included.
    largest : int
        Largest number of nodes seen so far; 0 before the first settled view.
    is_settled : bool
        Whether the node has had time to learn of the others since its start.
    """

    nodes: frozenset[NodeId]
    largest: int
    is_settled: bool


class ColdRole(msgspec.Struct, frozen=True):
    """What a node may send to one cold server.

    Attributes
    ----------
    is_sender : bool
        Whether it may send requests at all.
    needs_no_other : bool
        Whether it may do so only if no server is left that is not cold.
    interval_s : float
        Shortest time between two requests.
    offset_s : float
        Wait before the first request, which is different for each sender.
    """

    is_sender: bool
    needs_no_other: bool = False
    interval_s: float = 0.0
    offset_s: float = 0.0


@lru_cache(maxsize=64)
def choose_pace(limit: ColdLimit, node_count: int) -> SenderPace:
    """Return the number of senders and their interval that use the limit best.

    In any second each sender sends a fixed number of requests at most. This number, for all
    senders and `SPARE_SENDERS` more, keeps the bound.

    Parameters
    ----------
    limit : ColdLimit
        What the server can take.
    node_count : int
        Number of nodes.
    """
    spare = min(SPARE_SENDERS, node_count)
    best_rate = max(MIN_RATE_PER_S, min(limit.per_s, limit.max_per_s) / (1 + spare))
    best_count = 1
    for count in range(1, min(node_count, COLD_SENDERS) + 1):
        allowed = int(limit.max_per_s / (count + spare))
        sends = min(math.ceil(limit.per_s / count), allowed)
        rate = min(limit.per_s, count * sends / (1 + ARRIVAL_JITTER_S))
        if rate >= best_rate:
            best_rate, best_count = rate, count
    return SenderPace(best_count, best_count / best_rate)


def hash_share(server: InstanceId, node: NodeId) -> float:
    """Return a number from 0 to 1 for a server and a node, evenly distributed.

    The names are hashed once each, since all pairs are needed when many servers are cold.
    """
    return ((_hash_name(server) ^ _hash_name(node)) * _MIX_FACTOR & _MASK) / 2**64


@lru_cache(maxsize=4096)
def _hash_name(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def choose_senders(server: InstanceId, nodes: Iterable[NodeId], count: int) -> list[NodeId]:
    """Return the senders of a server by rendezvous hashing, in order of their rank.

    If a node is missing from `nodes`, only its own place goes to another node.
    """
    return heapq.nsmallest(count, nodes, key=partial(hash_share, server))


def choose_role(own: NodeId, server: InstanceId, limit: ColdLimit, view: NodeView) -> ColdRole:
    """Return what a node may send to a cold server.

    Where a part of the nodes is cut off from the rest, each side has senders in proportion to
    its size, so that all sides together have as many as before.

    Parameters
    ----------
    own : NodeId
        The node.
    server : InstanceId
        The cold server.
    limit : ColdLimit
        What the server can take.
    view : NodeView
        The nodes as the node sees them.
    """
    if view.is_settled and len(view.nodes) > 1:
        pace = choose_pace(limit, view.largest)
        count = pace.senders * min(len(view.nodes), view.largest) // view.largest
        if count:
            senders = choose_senders(server, view.nodes, count)
            if own not in senders:
                return ColdRole(False)
            offset_s = pace.interval_s * senders.index(own) / count
            return ColdRole(True, False, pace.interval_s, offset_s)
    return _role_alone(own, server, limit, view.largest or ASSUMED_NODES)


def _role_alone(own: NodeId, server: InstanceId, limit: ColdLimit, node_count: int) -> ColdRole:
    """Return the role of a node that cannot rank itself among the others."""
    pace = choose_pace(limit, node_count)
    sender_share = ALONE_SHARE * pace.senders / node_count
    own_share = hash_share(server, own)
    if own_share >= sender_share:
        return ColdRole(False, True)
    return ColdRole(True, True, pace.interval_s, pace.interval_s * own_share / sender_share)


class _ColdServer(msgspec.Struct):
    """A cold server, and the role of this node towards it.

    Attributes
    ----------
    limit : ColdLimit
        What the server can take.
    known_since : float
        Time at which this node learnt that the server is cold.
    role : ColdRole or None
        Role of this node; None until it is needed with the present view of the nodes.
    first_due_at : float
        Earliest time of a request since this node became a sender.
    """

    limit: ColdLimit
    known_since: float
    role: ColdRole | None = None
    first_due_at: float = float("inf")


class ColdSends:
    """Paces this node's requests to cold servers.

    Parameters
    ----------
    own : NodeId
        Name of this node.
    """

    def __init__(self, own: NodeId) -> None:
        self._own = own
        self._view = NodeView(frozenset({own}), 0, False)
        self._view_since = float("-inf")
        self._servers: dict[InstanceId, _ColdServer] = {}
        self._sent_at: dict[InstanceId, float] = {}
        # Sends that were decided on and whose first byte has not left yet, by server.
        self._pending: dict[InstanceId, int] = {}

    def set_nodes(self, nodes: frozenset[NodeId], is_settled: bool, now: float) -> None:
        """Replace the view of the nodes.

        Parameters
        ----------
        nodes : frozenset of NodeId
            Nodes that are alive or were so a short time ago, this one included.
        is_settled : bool
            Whether this node has had time to learn of the others since its start.
        now : float
            Present time.
        """
        largest = self._view.largest
        if is_settled and len(nodes) > 1:
            largest = max(largest, len(nodes))
        view = NodeView(nodes, largest, is_settled)
        if view == self._view:
            return
        self._view, self._view_since = view, now
        for entry in self._servers.values():
            entry.role = None

    @property
    def cold_servers(self) -> frozenset[InstanceId]:
        """The servers to which requests are paced."""
        return frozenset(self._servers)

    def set_cold(self, limits: Mapping[InstanceId, ColdLimit], now: float) -> None:
        """Replace the cold servers and what each of them can take."""
        for server in self.cold_servers - limits.keys():
            del self._servers[server]
        for server, limit in limits.items():
            entry = self._servers.get(server)
            if entry is None:
                self._servers[server] = _ColdServer(limit, now)
            elif entry.limit != limit:
                entry.limit = limit
                entry.role = None

    def is_cold(self, server: InstanceId) -> bool:
        """Whether requests to a server are paced."""
        return server in self._servers

    def is_sender(self, server: InstanceId) -> bool:
        """Whether this node may send requests to a cold server."""
        entry = self._servers.get(server)
        return entry is not None and self._role(server, entry).is_sender

    def may_send(self, server: InstanceId, now: float, only_cold: bool = False) -> bool:
        """Whether a request may be sent to a server now; always true unless it is cold.

        Parameters
        ----------
        server : InstanceId
            The plain server, or the head of the group.
        now : float
            Present time.
        only_cold : bool
            Whether all servers that the request could be sent to are cold.
        """
        entry = self._servers.get(server)
        if entry is None:
            return True
        role = self._role(server, entry)
        if not role.is_sender or (role.needs_no_other and not only_cold):
            return False
        if self._pending.get(server):
            return False
        sent_at = self._sent_at.get(server, float("-inf"))
        return now >= max(entry.first_due_at, sent_at + role.interval_s)

    def reserve(self, server: InstanceId) -> None:
        """Count a send that was decided on; nothing else is sent until its first byte leaves.

        Each call is followed by one of `record_sent` or `release`.
        """
        self._pending[server] = self._pending.get(server, 0) + 1

    def release(self, server: InstanceId) -> None:
        """Remove a send that ended before its first byte left."""
        left = self._pending.get(server, 0) - 1
        if left > 0:
            self._pending[server] = left
        else:
            self._pending.pop(server, None)

    def record_sent(self, server: InstanceId, now: float) -> None:
        """Count a request, a repeated one included, at the time at which its first byte leaves."""
        self.release(server)
        self._sent_at[server] = now

    def prune(self, now: float) -> None:
        """Forget the sends to servers that are not cold."""
        self._sent_at = {
            server: at
            for server, at in self._sent_at.items()
            if server in self._servers or now - at <= KEEP_SENT_S
        }

    def _role(self, server: InstanceId, entry: _ColdServer) -> ColdRole:
        if entry.role is None:
            role = choose_role(self._own, server, entry.limit, self._view)
            self._set_role(entry, role)
            return role
        return entry.role

    def _set_role(self, entry: _ColdServer, role: ColdRole) -> None:
        """Set a role; a node that newly becomes a sender first waits for its offset."""
        entry.role = role
        if not role.is_sender:
            entry.first_due_at = float("inf")
        elif entry.first_due_at == float("inf"):
            entry.first_due_at = max(entry.known_since, self._view_since) + role.offset_s
