"""Load of backend servers: requests in flight from this node and from the other nodes.

The requests of this node are counted exactly; those of the other nodes are reported by them
or, summed up, by relays.
"""

from collections.abc import Iterable

import msgspec

from briarpond.ids import InstanceId


class InFlightLoad(msgspec.Struct):
    """Requests in flight at one plain server, or at one group, identified by its head.

    Attributes
    ----------
    in_flight : int
        Requests that were sent and have not ended.
    unread_tokens : int
        Prompt tokens of those requests whose first event has not arrived yet.
    """

    in_flight: int = 0
    unread_tokens: int = 0


class _ServerState(msgspec.Struct):
    """Known load of one backend server.

    Attributes
    ----------
    own : InFlightLoad
        Load from this node.
    peers : InFlightLoad
        Load from all other nodes together.
    full_until : float
        Monotonic time until which the server counts as full.
    """

    own: InFlightLoad = msgspec.field(default_factory=InFlightLoad)
    peers: InFlightLoad = msgspec.field(default_factory=InFlightLoad)
    full_until: float = 0.0


class LoadTracker:
    """Counts the requests in flight at each backend server."""

    def __init__(self) -> None:
        self._servers: dict[InstanceId, _ServerState] = {}
        self._reported: dict[str, list[tuple[InstanceId, int, int]]] = {}

    def record_sent(self, server: InstanceId, tokens: int) -> None:
        """Count a request that this node sends.

        Parameters
        ----------
        server : InstanceId
            The plain server, or the head of the group.
        tokens : int
            Prompt tokens of the request.
        """
        own = self._server(server).own
        own.in_flight += 1
        own.unread_tokens += tokens

    def record_first_event(self, server: InstanceId, tokens: int) -> None:
        """Remove the prompt tokens of a request at its first event, or at an earlier end."""
        own = self._server(server).own
        own.unread_tokens = max(0, own.unread_tokens - tokens)

    def record_end(self, server: InstanceId) -> None:
        """Remove a request of this node that has ended."""
        own = self._server(server).own
        own.in_flight = max(0, own.in_flight - 1)

    def mark_full(self, server: InstanceId, until: float) -> None:
        """Treat a server as full until a monotonic time, because it turned a request away."""
        self._server(server).full_until = until

    def is_full(self, server: InstanceId, now: float) -> bool:
        """Whether a server counts as full because it turned a request away recently."""
        state = self._servers.get(server)
        return state is not None and now < state.full_until

    def set_peer_load(self, source: str, rows: Iterable[tuple[InstanceId, int, int]]) -> None:
        """Replace the load that a source reports: another node, or a sum over several.

        Parameters
        ----------
        source : str
            Name of the source.
        rows : iterable of tuple
            Server, requests in flight and unread prompt tokens. Servers that are left out
            have no load from that source.
        """
        for server, count, tokens in self._reported.pop(source, ()):
            self._add_peer_load(server, -count, -tokens)
        new_rows = list(rows)
        for server, count, tokens in new_rows:
            self._add_peer_load(server, count, tokens)
        if new_rows:
            self._reported[source] = new_rows

    def _add_peer_load(self, server: InstanceId, count: int, tokens: int) -> None:
        peers = self._server(server).peers
        peers.in_flight += count
        peers.unread_tokens += tokens

    def total_load(self, server: InstanceId) -> InFlightLoad:
        """Return the load of a server from all nodes."""
        state = self._servers.get(server)
        if state is None:
            return InFlightLoad()
        own, peers = state.own, state.peers
        return InFlightLoad(
            own.in_flight + peers.in_flight, own.unread_tokens + peers.unread_tokens
        )

    def own_in_flight(self, server: InstanceId) -> int:
        """Return the requests of this node that are in flight at a server."""
        state = self._servers.get(server)
        return 0 if state is None else state.own.in_flight

    def own_load_rows(self) -> list[tuple[InstanceId, int, int]]:
        """Return the load from this node, to tell other nodes.

        A row has the server, its requests in flight and their unread prompt tokens;
        servers without requests of this node are left out.
        """
        return [
            (server, state.own.in_flight, state.own.unread_tokens)
            for server, state in self._servers.items()
            if state.own.in_flight
        ]

    def prune(self, listed: set[InstanceId]) -> None:
        """Drop servers that are not in `listed` and have no request in flight."""
        for server, state in list(self._servers.items()):
            if server not in listed and not state.own.in_flight and not state.peers.in_flight:
                del self._servers[server]

    def _server(self, server: InstanceId) -> _ServerState:
        state = self._servers.get(server)
        if state is None:
            state = self._servers[server] = _ServerState()
        return state
