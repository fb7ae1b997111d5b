"""What a node knows of its peers beside the log."""

import msgspec

from briarpond.ids import Incarnation, NodeId


class PeerView(msgspec.Struct, frozen=True):
    """Last sign of life of a peer.

    Attributes
    ----------
    heard_at : float
        Monotonic time at which the peer is known to have been alive; never
        later than the truth.
    leaving : bool
        Whether the peer drains.
    """

    node: NodeId
    incarnation: Incarnation
    heard_at: float
    leaving: bool


class PeerViews:
    """Signs of life of all peers, own and relayed."""

    def __init__(self) -> None:
        self._views: dict[NodeId, PeerView] = {}

    def hear(self, view: PeerView) -> None:
        """Keep the newest sign of life; a leaving incarnation stays leaving."""
        known = self._views.get(view.node)
        if known is None or known.incarnation != view.incarnation:
            if known is None or view.heard_at > known.heard_at:
                self._views[view.node] = view
            return
        heard_at = max(known.heard_at, view.heard_at)
        leaving = known.leaving or view.leaving
        self._views[view.node] = PeerView(view.node, view.incarnation, heard_at, leaving)

    def get(self, node: NodeId) -> PeerView | None:
        """Return what is known of `node`."""
        return self._views.get(node)

    def alive(self, now: float, dead_s: float) -> set[NodeId]:
        """Return the peers heard within `dead_s` seconds."""
        return {view.node for view in self._views.values() if now - view.heard_at <= dead_s}

    def all(self) -> list[PeerView]:
        """Return every view."""
        return list(self._views.values())

    def forget(self, nodes: set[NodeId]) -> None:
        """Drop peers that the log no longer shows."""
        for node in nodes:
            self._views.pop(node, None)
