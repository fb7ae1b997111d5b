"""Division of work among nodes by rendezvous hashing, without messages.

Nodes that see the same live nodes choose alike. While they see different ones, a
group may be probed, or the log read, by one node more or fewer than intended; the
choice has no other effect.
"""

from collections.abc import Iterable

import xxhash

from briarpond.ids import DataCentre, GroupId, NodeId
from briarpond.journal import Node

# With two, a group is still probed while one of its probers has failed.
PROBERS_PER_GROUP = 2


def choose_probers(
    group: GroupId, data_centre: DataCentre, nodes: Iterable[Node], count: int = PROBERS_PER_GROUP
) -> list[NodeId]:
    """Return the nodes that probe a group.

    Parameters
    ----------
    group : str
        Group to probe.
    data_centre : str
        Data centre of the group; its nodes are preferred.
    nodes : iterable of Node
        Live nodes.
    count : int
        Number of probers; fewer are returned if there are fewer nodes.
    """
    ranked = sorted(
        nodes,
        key=lambda node: (node.data_centre != data_centre, _rendezvous_weight(group, node.id)),
    )
    return [node.id for node in ranked[:count]]


def is_log_reader(node_id: NodeId, data_centre: DataCentre, nodes: Iterable[Node]) -> bool:
    """Return whether a node reads the log for its data centre.

    One node of each data centre does; the others get the entries from their peers.

    Parameters
    ----------
    node_id : str
        Node in question.
    data_centre : str
        Its data centre.
    nodes : iterable of Node
        Live nodes; if none is in the data centre, the node in question reads the log.
    """
    local = [node.id for node in nodes if node.data_centre == data_centre]
    return (
        not local or min(local, key=lambda node: _rendezvous_weight(data_centre, node)) == node_id
    )


def _rendezvous_weight(subject: str, node: str) -> int:
    """Return the weight of `node` for `subject`; the node of the lowest weight is chosen."""
    return xxhash.xxh3_64_intdigest(f"{subject}|{node}".encode())
