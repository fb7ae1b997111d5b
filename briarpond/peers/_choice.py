"""Rendezvous choices that all nodes make alike without a message.

Two nodes that see different members may choose differently for a moment; that
costs a probe or a read more or less and nothing else.
"""

from collections.abc import Iterable

import xxhash

from briarpond.ids import DataCentre, GroupId, NodeId
from briarpond.journal import Node

PROBERS_PER_GROUP = 2


def probers(
    group: GroupId, data_centre: DataCentre, nodes: Iterable[Node], count: int = PROBERS_PER_GROUP
) -> list[NodeId]:
    """Return the nodes that probe a group, those of its data centre first."""
    ranked = sorted(
        nodes, key=lambda node: (node.data_centre != data_centre, _score(group, node.id))
    )
    return [node.id for node in ranked[:count]]


def is_reader(own: NodeId, data_centre: DataCentre, nodes: Iterable[Node]) -> bool:
    """Whether this node reads the log for its data centre."""
    local = [node.id for node in nodes if node.data_centre == data_centre]
    return not local or min(local, key=lambda node: _score(data_centre, node)) == own


def _score(subject: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}|{node}".encode())
