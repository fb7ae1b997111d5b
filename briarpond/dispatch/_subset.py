"""Which groups a node prefers, so that many nodes spread over many groups.

If every node used all groups, each connection would be used once and closed, and all nodes
would pick the same idle groups by the same delayed loads. So each node prefers a few groups, in
an order of its own that hardly changes when nodes or groups come and go. The groups of its own
data centre come first; a node goes on to later groups when the preferred ones are full.
"""

import zlib
from collections.abc import Sequence
from typing import Protocol, TypeVar

from briarpond.ids import DataCentre, InstanceId, NodeId

# Nodes that share a group, at least. With fewer nodes each uses all groups.
MIN_NODES_PER_GROUP = 16
# Groups that a node prefers, at least.
MIN_SUBSET = 4


class HasHead(Protocol):
    """A group with its head and the data centre of that."""

    @property
    def head(self) -> InstanceId:
        """Head of the group."""

    @property
    def data_centre(self) -> DataCentre:
        """Data centre of the head."""


GroupT = TypeVar("GroupT", bound=HasHead)


def subset_size(group_count: int, node_count: int) -> int:
    """Return how many of `group_count` groups each of `node_count` nodes prefers."""
    share = -(-MIN_NODES_PER_GROUP * group_count // max(1, node_count))
    return min(group_count, max(MIN_SUBSET, share))


class GroupPreferences:
    """Order in which a node prefers groups.

    Parameters
    ----------
    node : NodeId
        Name of the node; each node has an order of its own.
    data_centre : DataCentre
        Data centre of the node.
    """

    def __init__(self, node: NodeId, data_centre: DataCentre) -> None:
        self._node = node
        self._data_centre = data_centre
        self._ranks: dict[InstanceId, int] = {}

    def sort(self, groups: Sequence[GroupT]) -> list[GroupT]:
        """Return groups in the order in which this node prefers them."""
        return sorted(groups, key=self._key)

    def prune(self, heads: set[InstanceId]) -> None:
        """Forget the ranks of instances that are not in `heads`."""
        self._ranks = {head: rank for head, rank in self._ranks.items() if head in heads}

    def _key(self, group: HasHead) -> tuple[bool, int]:
        rank = self._ranks.get(group.head)
        if rank is None:
            rank = self._ranks[group.head] = zlib.crc32(f"{self._node}/{group.head}".encode())
        return group.data_centre != self._data_centre, rank
