"""The nodes among which the fixed part of the retry budget is divided."""

from collections.abc import Iterable

import msgspec

from briarpond.ids import NodeId

# For this long a node that is not seen keeps its part. It may be cut off and still send; a part
# that is taken back too early would be spent twice, one that is kept too long is only not used.
SHARE_HOLD_S = 300.0
# Fraction of its part that a process uses in the first window after its start: the process that
# ran there before may have used all of it in the same window. With `USABLE_FRACTION` both together
# stay within the part.
START_FRACTION = 0.2
# A process knows the other nodes this long after it has seen the first of them, or after its start
# if it expects none: by then it has asked those that it was told of.
KNOWN_AFTER_S = 3.0


class BudgetShare(msgspec.Struct, frozen=True):
    """Part of the retry budget that a node may use.

    Attributes
    ----------
    nodes : int
        Nodes that have equal parts of the fixed allowance.
    fraction : float
        Fraction that the node may use at present of its part of the fixed allowance.
    request_fraction : float
        The same of the allowance that follows from its own requests.
    """

    nodes: int
    fraction: float = 1.0
    request_fraction: float = 1.0

    @property
    def of_whole(self) -> float:
        """Fraction of the whole fixed allowance."""
        return self.fraction / self.nodes


class BudgetNodes:
    """Nodes that have a part of the retry budget, as one of them knows them.

    A node that is no longer seen keeps its part for `SHARE_HOLD_S` seconds, so that the parts of
    the others do not grow while it may still spend its own.

    Parameters
    ----------
    own : NodeId
        This node.
    started_at : float
        Time of the start of this process.
    expects_others : bool
        Whether this process was told of other nodes. Until it sees one, it does not know how
        many there are, however long that takes.
    """

    def __init__(self, own: NodeId, started_at: float, expects_others: bool) -> None:
        self._own = own
        self._started_at = started_at
        self._expects_others = expects_others
        self._others_since: float | None = None
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
        if self._others_since is None and self._seen_at.keys() - {self._own}:
            self._others_since = now

    def share(self, window_s: float, now: float) -> BudgetShare:
        """Return the part of this node.

        Parameters
        ----------
        window_s : float
            Length of the budget's window in seconds.
        now : float
            Monotonic time in seconds.
        """
        is_new = now - self._started_at <= window_s
        fraction = START_FRACTION if is_new else 1.0
        fixed_fraction = fraction if self._are_known(now) else 0.0
        return BudgetShare(max(1, len(self._seen_at)), fixed_fraction, fraction)

    def _are_known(self, now: float) -> bool:
        """Whether this process has had time to learn how many nodes there are."""
        known_since = self._others_since
        if known_since is None and not self._expects_others:
            known_since = self._started_at
        return known_since is not None and now - known_since >= KNOWN_AFTER_S
