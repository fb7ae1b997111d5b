"""Load of backend servers: own requests exactly, those of other nodes as told."""

from collections.abc import Iterable

import msgspec

from briarpond.ids import InstanceId, NodeId

# What another node told of its requests is forgotten after this time.
PEER_LOAD_S = 1.5


class GroupLoad(msgspec.Struct):
    """Requests in flight at one server."""

    in_flight: int = 0
    unread_tokens: int = 0


class _Server(msgspec.Struct):
    own: GroupLoad = msgspec.field(default_factory=GroupLoad)
    peers: dict[NodeId, tuple[int, int, float]] = {}
    full_until: float = 0.0


class LoadBook:
    """Counts requests in flight at each server."""

    def __init__(self) -> None:
        self._servers: dict[InstanceId, _Server] = {}

    def sent(self, server: InstanceId, tokens: int) -> None:
        """A request was sent."""
        own = self._server(server).own
        own.in_flight += 1
        own.unread_tokens += tokens

    def began(self, server: InstanceId, tokens: int) -> None:
        """A request has shown its first event, or ended before."""
        own = self._server(server).own
        own.unread_tokens = max(0, own.unread_tokens - tokens)

    def ended(self, server: InstanceId) -> None:
        """A request has ended."""
        own = self._server(server).own
        own.in_flight = max(0, own.in_flight - 1)

    def told_full(self, server: InstanceId, until: float) -> None:
        """A server turned a request away."""
        self._server(server).full_until = until

    def is_full(self, server: InstanceId, now: float) -> bool:
        """Whether a server turned a request away a moment ago."""
        known = self._servers.get(server)
        return known is not None and now < known.full_until

    def put_peer(
        self, node: NodeId, rows: Iterable[tuple[InstanceId, int, int]], now: float
    ) -> None:
        """Take what another node has in flight."""
        told = {server: (count, tokens) for server, count, tokens in rows}
        for server, known in self._servers.items():
            if server not in told:
                known.peers.pop(node, None)
        for server, (count, tokens) in told.items():
            self._server(server).peers[node] = (count, tokens, now)

    def load(self, server: InstanceId, now: float) -> GroupLoad:
        """Return what is in flight at a server, from all nodes."""
        known = self._servers.get(server)
        if known is None:
            return GroupLoad()
        total = GroupLoad(known.own.in_flight, known.own.unread_tokens)
        for count, tokens, at in known.peers.values():
            if now - at <= PEER_LOAD_S:
                total.in_flight += count
                total.unread_tokens += tokens
        return total

    def own_rows(self) -> list[tuple[InstanceId, int, int]]:
        """Return what this node has in flight, to tell the others."""
        return [
            (server, known.own.in_flight, known.own.unread_tokens)
            for server, known in self._servers.items()
            if known.own.in_flight
        ]

    def forget(self, living: set[InstanceId]) -> None:
        """Drop servers that are gone and have nothing in flight."""
        for server in list(self._servers):
            if server not in living and not self._servers[server].own.in_flight:
                del self._servers[server]

    def _server(self, server: InstanceId) -> _Server:
        known = self._servers.get(server)
        if known is None:
            known = self._servers[server] = _Server()
        return known
