"""Entry addresses that callers may use."""

from collections.abc import Callable, Iterable

import msgspec

from briarpond.ids import DataCentre
from briarpond.journal import Node, NodeStage


class EntryList(msgspec.Struct, frozen=True):
    """Answer to a caller that asks for entry addresses.

    Attributes
    ----------
    addresses : tuple of str
        Nearest first.
    keep_s : float
        How long the caller may keep the answer, seconds.
    """

    addresses: tuple[str, ...]
    keep_s: float


def entry_list(
    nodes: Iterable[Node],
    usable: Callable[[Node], bool],
    near: DataCentre,
    keep_s: float,
    shuffle: Callable[[list[str]], None],
) -> EntryList:
    """Return the addresses of live nodes that do not drain.

    Parameters
    ----------
    nodes : iterable of Node
        Nodes in the folded state.
    usable : callable
        Whether a node shows signs of life and does not drain.
    near : DataCentre
        Data centre whose addresses come first.
    keep_s : float
        Seconds for which the answer holds.
    shuffle : callable
        Shuffles a list in place, so that callers spread over the nodes.
    """
    live = [node for node in nodes if node.stage is NodeStage.LIVE and usable(node)]
    local = [node.callers for node in live if node.data_centre == near]
    remote = [node.callers for node in live if node.data_centre != near]
    shuffle(local)
    shuffle(remote)
    return EntryList(tuple(local + remote), keep_s)
