"""Load of backend servers: requests in flight from this node and from the other nodes.

The requests of this node are counted exactly; those of the other nodes are reported by them
or, summed up, by relays.
"""

from collections.abc import Iterable
from typing import NamedTuple

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
    unwritten_tokens : float or None
        Tokens that the answers of these requests are expected to have yet; None if a node
        does not tell them.
    """

    in_flight: int = 0
    unread_tokens: int = 0
    unwritten_tokens: float | None = 0


class LoadRow(NamedTuple):
    """Load of one server, as a node tells it to others; the fields are those of `InFlightLoad`."""

    server: InstanceId
    in_flight: int
    unread_tokens: int
    unwritten_tokens: int | None = None


class _ServerState(msgspec.Struct):
    """Known load of one backend server.

    Attributes
    ----------
    own : InFlightLoad
        Load from this node.
    peers : InFlightLoad
        Load from all other nodes together.
    untold : int
        Requests of other nodes whose unwritten tokens are not told.
    full_until : float
        Monotonic time until which the server counts as full.
    """

    own: InFlightLoad = msgspec.field(default_factory=InFlightLoad)
    peers: InFlightLoad = msgspec.field(default_factory=InFlightLoad)
    untold: int = 0
    full_until: float = 0.0


class LoadTracker:
    """Counts the requests in flight at each backend server."""

    def __init__(self) -> None:
        self._servers: dict[InstanceId, _ServerState] = {}
        self._reported: dict[str, list[LoadRow]] = {}

    def record_sent(self, server: InstanceId, tokens: int, unwritten: float = 0.0) -> None:
        """Count a request that this node sends.

        Parameters
        ----------
        server : InstanceId
            The plain server, or the head of the group.
        tokens : int
            Prompt tokens of the request.
        unwritten : float
            Expected tokens of the answer.
        """
        own = self._server(server).own
        own.in_flight += 1
        own.unread_tokens += tokens
        self.change_unwritten(server, unwritten)

    def change_unwritten(self, server: InstanceId, change: float) -> None:
        """Add to the tokens that a server is expected to write yet; less for a negative change."""
        own = self._server(server).own
        own.unwritten_tokens = max(0.0, (own.unwritten_tokens or 0.0) + change)

    def record_first_event(self, server: InstanceId, tokens: int) -> None:
        """Remove the prompt tokens of a request at its first event, or at an earlier end."""
        own = self._server(server).own
        own.unread_tokens = max(0, own.unread_tokens - tokens)

    def record_end(self, server: InstanceId, unwritten: float = 0.0) -> None:
        """Remove a request of this node that has ended, and what it was expected to write yet."""
        own = self._server(server).own
        own.in_flight = max(0, own.in_flight - 1)
        self.change_unwritten(server, -unwritten)

    def mark_full(self, server: InstanceId, until: float) -> None:
        """Treat a server as full until a monotonic time, because it turned a request away."""
        self._server(server).full_until = until

    def is_full(self, server: InstanceId, now: float) -> bool:
        """Whether a server counts as full because it turned a request away recently."""
        state = self._servers.get(server)
        return state is not None and now < state.full_until

    def set_peer_load(
        self, source: str, rows: Iterable[tuple[InstanceId, int, int] | LoadRow]
    ) -> None:
        """Replace the load that a source reports: another node, or a sum over several.

        Parameters
        ----------
        source : str
            Name of the source.
        rows : iterable of tuple
            Server, requests in flight, unread prompt tokens and, if told, unwritten tokens.
            Servers that are left out have no load from that source.
        """
        for row in self._reported.pop(source, ()):
            self._add_peer_load(row, -1)
        new_rows = [LoadRow(*row) for row in rows]
        for row in new_rows:
            self._add_peer_load(row, 1)
        if new_rows:
            self._reported[source] = new_rows

    def _add_peer_load(self, row: LoadRow, sign: int) -> None:
        state = self._server(row.server)
        peers = state.peers
        peers.in_flight += sign * row.in_flight
        peers.unread_tokens += sign * row.unread_tokens
        if row.unwritten_tokens is None:
            state.untold += sign * row.in_flight
        else:
            peers.unwritten_tokens = (peers.unwritten_tokens or 0) + sign * row.unwritten_tokens

    def total_load(self, server: InstanceId) -> InFlightLoad:
        """Return the load of a server from all nodes."""
        state = self._servers.get(server)
        if state is None:
            return InFlightLoad()
        own, peers = state.own, state.peers
        unwritten = (own.unwritten_tokens or 0.0) + (peers.unwritten_tokens or 0.0)
        return InFlightLoad(
            own.in_flight + peers.in_flight,
            own.unread_tokens + peers.unread_tokens,
            None if state.untold else unwritten,
        )

    def present_load(self, server: InstanceId) -> InFlightLoad:
        """Return the load of a server, without the unread tokens of the other nodes.

        Their reports are 0.2 to 0.8 s old, in which time a group reads far more than the prompts
        that were unread then; counted, they are noise in the comparison of groups.
        """
        load = self.total_load(server)
        state = self._servers.get(server)
        unread = 0 if state is None else state.own.unread_tokens
        return InFlightLoad(load.in_flight, unread, load.unwritten_tokens)

    def own_in_flight(self, server: InstanceId) -> int:
        """Return the requests of this node that are in flight at a server."""
        state = self._servers.get(server)
        return 0 if state is None else state.own.in_flight

    def own_load_rows(self) -> list[LoadRow]:
        """Return the load from this node, to tell other nodes.

        Servers without requests of this node are left out.
        """
        return [
            LoadRow(
                server,
                state.own.in_flight,
                state.own.unread_tokens,
                round(state.own.unwritten_tokens or 0.0),
            )
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
