"""Liveness of peers, as exchanged between nodes outside the log."""

import msgspec

from briarpond.ids import Incarnation, NodeId


class PeerView(msgspec.Struct, frozen=True):
    """Liveness of one peer.

    Attributes
    ----------
    incarnation : Incarnation
        Identifies the start of the peer; a restart has a new one.
    last_alive_at : float
        Monotonic time in seconds at which the peer was last known to be alive. It is a
        lower bound: the peer may have been alive later.
    leaving : bool
        Whether the peer is draining.
    """

    node: NodeId
    incarnation: Incarnation
    last_alive_at: float
    leaving: bool


class PeerViews:
    """Liveness of all peers, from their own messages and relayed by other peers."""

    def __init__(self) -> None:
        self._views: dict[NodeId, PeerView] = {}

    def merge(self, view: PeerView) -> None:
        """Merge a view into the stored view of the same peer.

        The later time is kept. An incarnation that is leaving stays leaving, whatever
        the order in which views arrive; a view of another incarnation replaces the
        stored one only if it is later.
        """
        stored = self._views.get(view.node)
        if stored is None or stored.incarnation != view.incarnation:
            if stored is None or view.last_alive_at > stored.last_alive_at:
                self._views[view.node] = view
            return
        last_alive_at = max(stored.last_alive_at, view.last_alive_at)
        leaving = stored.leaving or view.leaving
        self._views[view.node] = PeerView(view.node, view.incarnation, last_alive_at, leaving)

    def get(self, node: NodeId) -> PeerView | None:
        """Return the view of a peer, if there is one."""
        return self._views.get(node)

    def alive_peers(self, now: float, max_age_s: float) -> set[NodeId]:
        """Return the peers that were alive within the last `max_age_s` seconds."""
        return {view.node for view in self._views.values() if now - view.last_alive_at <= max_age_s}

    def all_views(self) -> list[PeerView]:
        """Return the views of all peers."""
        return list(self._views.values())

    def remove(self, nodes: set[NodeId]) -> None:
        """Drop the views of nodes that were removed from the log's state."""
        for node in nodes:
            self._views.pop(node, None)
