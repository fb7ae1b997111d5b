"""The nodes whose heartbeats a node receives, and the addresses that it gives to callers."""

import random

import msgspec

from briarpond.ids import DataCentre, NodeId
from briarpond.net import Address

from ._models import Heartbeat

# A node without a heartbeat for this long counts as silent: its address is not given to callers.
SILENT_AFTER_S = 1.0
# The entry of a node without a heartbeat for this long is dropped.
DROP_AFTER_S = 30.0
# Most addresses in one directory answer.
MAX_ADDRESSES = 64


class _ReceivedHeartbeat(msgspec.Struct):
    heartbeat: Heartbeat
    received_at: float


class HeartbeatTable:
    """Last heartbeat of each other node.

    Parameters
    ----------
    own_node : NodeId
        Name of this node, whose own heartbeats are ignored.
    """

    def __init__(self, own_node: NodeId) -> None:
        self._own_node = own_node
        self._received: dict[NodeId, _ReceivedHeartbeat] = {}

    def record(self, heartbeat: Heartbeat, now: float) -> bool:
        """Store a heartbeat; return whether its node is new or was silent before."""
        if heartbeat.node == self._own_node:
            return False
        previous = self._received.get(heartbeat.node)
        self._received[heartbeat.node] = _ReceivedHeartbeat(heartbeat, now)
        return previous is None or now - previous.received_at > SILENT_AFTER_S

    def live(self, now: float) -> list[Heartbeat]:
        """Return the last heartbeat of each node that is not silent."""
        return [
            received.heartbeat
            for received in self._received.values()
            if now - received.received_at <= SILENT_AFTER_S
        ]

    def count_nodes(self, now: float) -> int:
        """Return the number of nodes that are not silent, this one included."""
        return 1 + len(self.live(now))

    def should_apply(self, max_candidates: int, now: float) -> bool:
        """Whether this node should become a candidate for the planner's lease.

        It should if the present candidates, and the nodes that come before this one by
        name, are fewer than `max_candidates`.
        """
        live = [heartbeat for heartbeat in self.live(now) if not heartbeat.leaving]
        applying = sum(1 for heartbeat in live if heartbeat.candidate)
        others = sorted(heartbeat.node for heartbeat in live if not heartbeat.candidate)
        ahead = sum(1 for node in others if node < self._own_node)
        return applying + ahead < max_candidates

    def no_node_reaches_store(self, now: float) -> bool:
        """Whether no live node is a candidate, that is, reaches the store and applies.

        False if more than half of the known nodes are silent: this node may then be cut off
        from the others or may have been suspended, so its view is not reliable.
        """
        live = self.live(now)
        if 2 * len(live) < len(self._received):
            return False
        return not any(heartbeat.candidate for heartbeat in live)

    def drop_silent(self, now: float) -> None:
        """Drop the entries of nodes that were silent for `DROP_AFTER_S` seconds."""
        for node, received in list(self._received.items()):
            if now - received.received_at > DROP_AFTER_S:
                del self._received[node]

    def addresses(
        self,
        own_heartbeat: Heartbeat,
        preferred_data_centre: DataCentre,
        rng: random.Random,
        now: float,
    ) -> list[Address]:
        """Return addresses that a caller may connect to, at most `MAX_ADDRESSES`.

        Parameters
        ----------
        own_heartbeat : Heartbeat
            Entry of this node, as in its heartbeats.
        preferred_data_centre : DataCentre
            Data centre of the caller; its nodes come first.
        rng : random.Random
            Selects at random if there are more nodes than `MAX_ADDRESSES`.
        now : float
            Present time.
        """
        staying = [
            heartbeat for heartbeat in (own_heartbeat, *self.live(now)) if not heartbeat.leaving
        ]
        # If no node is ready, return all: one may become ready a moment later.
        heartbeats = [heartbeat for heartbeat in staying if heartbeat.ready] or staying
        if len(heartbeats) > MAX_ADDRESSES:
            heartbeats = rng.sample(heartbeats, MAX_ADDRESSES)
        heartbeats.sort(key=lambda heartbeat: heartbeat.data_centre != preferred_data_centre)
        return [heartbeat.caller_address for heartbeat in heartbeats]
