"""Load of backend servers: requests in flight from this node and from the other nodes.

The requests of this node are counted exactly; those of the other nodes come with their
heartbeats.
"""

from collections.abc import Iterable

import msgspec

from briarpond.ids import InstanceId, NodeId

# Seconds after which the load from another node's heartbeat is no longer counted.
PEER_LOAD_TTL_S = 1.5


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
    peer_loads : dict
        Load from each other node: requests in flight, unread prompt tokens, and the
        monotonic time of the heartbeat that reported them.
    full_until : float
        Monotonic time until which the server counts as full.
    """

    own: InFlightLoad = msgspec.field(default_factory=InFlightLoad)
    peer_loads: dict[NodeId, tuple[int, int, float]] = {}
    full_until: float = 0.0


class LoadTracker:
    """Counts the requests in flight at each backend server."""

    def __init__(self) -> None:
        self._servers: dict[InstanceId, _ServerState] = {}

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

    def set_peer_load(
        self, node: NodeId, rows: Iterable[tuple[InstanceId, int, int]], now: float
    ) -> None:
        """Replace the load that another node reports.

        Parameters
        ----------
        node : NodeId
            The other node.
        rows : iterable of tuple
            Server, requests in flight and unread prompt tokens. Servers that are left out
            no longer have load from that node.
        now : float
            Monotonic time in seconds, from which the load counts for `PEER_LOAD_TTL_S`.
        """
        reported = {server: (count, tokens) for server, count, tokens in rows}
        for server, state in self._servers.items():
            if server not in reported:
                state.peer_loads.pop(node, None)
        for server, (count, tokens) in reported.items():
            self._server(server).peer_loads[node] = (count, tokens, now)

    def total_load(self, server: InstanceId, now: float) -> InFlightLoad:
        """Return the load of a server from all nodes."""
        state = self._servers.get(server)
        if state is None:
            return InFlightLoad()
        total = InFlightLoad(state.own.in_flight, state.own.unread_tokens)
        for count, tokens, reported_at in state.peer_loads.values():
            if now - reported_at <= PEER_LOAD_TTL_S:
                total.in_flight += count
                total.unread_tokens += tokens
        return total

    def own_load_rows(self) -> list[tuple[InstanceId, int, int]]:
        """Return the load from this node for its heartbeat.

        A row has the server, its requests in flight and their unread prompt tokens;
        servers without requests of this node are left out.
        """
        return [
            (server, state.own.in_flight, state.own.unread_tokens)
            for server, state in self._servers.items()
            if state.own.in_flight
        ]

    def prune(self, listed: set[InstanceId]) -> None:
        """Drop servers that are not in `listed` and have no request of this node in flight."""
        for server in list(self._servers):
            if server not in listed and not self._servers[server].own.in_flight:
                del self._servers[server]

    def _server(self, server: InstanceId) -> _ServerState:
        state = self._servers.get(server)
        if state is None:
            state = self._servers[server] = _ServerState()
        return state
