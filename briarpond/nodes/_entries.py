"""Entry addresses: the addresses of nodes that callers may send requests to."""

from collections.abc import Callable, Iterable

import msgspec

from briarpond.ids import DataCentre
from briarpond.journal import Node, NodeStage


class EntryList(msgspec.Struct, frozen=True):
    """Answer to a caller that asks for entry addresses; sent as JSON under these names.

    Attributes
    ----------
    addresses : tuple of str
        Addresses of the nodes, those of the answering node's data centre first.
    keep_s : float
        Time in seconds for which the caller may keep the answer.
    """

    addresses: tuple[str, ...]
    keep_s: float


def entry_list(
    nodes: Iterable[Node],
    is_usable: Callable[[Node], bool],
    local_data_centre: DataCentre,
    keep_s: float,
    shuffle: Callable[[list[str]], None],
) -> EntryList:
    """Return the addresses of the live nodes that are not draining.

    Parameters
    ----------
    nodes : iterable of Node
        Nodes in the state folded from the log.
    is_usable : callable
        Whether a node was recently known to be alive and is not draining.
    local_data_centre : DataCentre
        Data centre whose addresses come first.
    keep_s : float
        Time in seconds for which the caller may keep the answer.
    shuffle : callable
        Shuffles a list in place, which spreads callers over the nodes.
    """
    live = [node for node in nodes if node.stage is NodeStage.LIVE and is_usable(node)]
    local_addresses = [node.callers for node in live if node.data_centre == local_data_centre]
    remote_addresses = [node.callers for node in live if node.data_centre != local_data_centre]
    shuffle(local_addresses)
    shuffle(remote_addresses)
    return EntryList(tuple(local_addresses + remote_addresses), keep_s)
