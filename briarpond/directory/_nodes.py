"""The nodes that a node hears from, and the addresses that it gives to callers."""

import random

import msgspec

from briarpond.ids import DataCentre, NodeId
from briarpond.net import Address

from ._models import Beat

# A node that was silent for so long is not given to callers.
SILENT_S = 1.0
# A node that was silent for so long is forgotten.
FORGET_S = 30.0
MAX_ADDRESSES = 64


class _Heard(msgspec.Struct):
    beat: Beat
    at: float


class NodeBook:
    """Last heartbeat of each other node."""

    def __init__(self, own: NodeId) -> None:
        self._own = own
        self._heard: dict[NodeId, _Heard] = {}

    def put(self, beat: Beat, now: float) -> bool:
        """Take a heartbeat; tell whether the node was not heard before."""
        if beat.node == self._own:
            return False
        known = self._heard.get(beat.node)
        self._heard[beat.node] = _Heard(beat, now)
        return known is None or now - known.at > SILENT_S

    def living(self, now: float) -> list[Beat]:
        """Return the last heartbeats of nodes that are heard."""
        return [heard.beat for heard in self._heard.values() if now - heard.at <= SILENT_S]

    def count(self, now: float) -> int:
        """Return how many nodes there are, this one included."""
        return 1 + len(self.living(now))

    def should_apply(self, most: int, now: float) -> bool:
        """Whether this node should apply for a lease that `most` nodes apply for."""
        living = [beat for beat in self.living(now) if not beat.leaving]
        applying = sum(1 for beat in living if beat.candidate)
        others = sorted(beat.node for beat in living if not beat.candidate)
        ahead = sum(1 for node in others if node < self._own)
        return applying + ahead < most

    def nobody_reaches_store(self, now: float) -> bool:
        """Whether all nodes are without the store, as far as most of them say so.

        A node that hears few of the others may be the one that is cut off, or may
        have been frozen: it cannot tell.
        """
        living = self.living(now)
        if 2 * len(living) < len(self._heard):
            return False
        return not any(beat.candidate for beat in living)

    def forget(self, now: float) -> None:
        """Drop nodes that were silent for long."""
        for node, heard in list(self._heard.items()):
            if now - heard.at > FORGET_S:
                del self._heard[node]

    def addresses(
        self, own: Beat, near: DataCentre, rng: random.Random, now: float
    ) -> list[Address]:
        """Return where callers of a data centre may connect, a bounded sample.

        Parameters
        ----------
        own : Beat
            What this node would say of itself.
        """
        staying = [beat for beat in (own, *self.living(now)) if not beat.leaving]
        # Where no node is ready, callers may as well ask any: one may be, a moment later.
        beats = [beat for beat in staying if beat.ready] or staying
        if len(beats) > MAX_ADDRESSES:
            beats = rng.sample(beats, MAX_ADDRESSES)
        beats.sort(key=lambda beat: beat.data_centre != near)
        return [beat.callers for beat in beats]
