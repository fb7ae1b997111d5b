"""The nodes among which the fixed part of the retry budget is divided."""

from collections.abc import Iterable

from briarpond.ids import NodeId

# For this long a node that is not seen keeps its part. It may be cut off and still send; a part
# that is taken back too early would be spent twice, one that is kept too long is only not used.
SHARE_HOLD_S = 300.0


class BudgetNodes:
    """Nodes that have a part of the retry budget, as one of them knows them.

    A node that is no longer seen keeps its part for `SHARE_HOLD_S` seconds, so that the parts of
    the others do not grow while it may still spend its own.
    """

    def __init__(self) -> None:
        self._seen_at: dict[NodeId, float] = {}

    def update(self, nodes: Iterable[NodeId], now: float) -> None:
        """Take over which nodes are seen now, and forget those that have no part any more.

        Parameters
        ----------
        nodes : iterable of NodeId
            Nodes that count as alive, the own one included.
        now : float
            Monotonic time in seconds.
        """
        for node, seen_at in list(self._seen_at.items()):
            if now - seen_at > SHARE_HOLD_S:
                del self._seen_at[node]
        self._seen_at.update(dict.fromkeys(nodes, now))

    @property
    def count(self) -> int:
        """Number of nodes that have a part; 1 before the first update."""
        return max(1, len(self._seen_at))
