"""Versions of the exchange between nodes, by which builds that run side by side know each other.

Fields of messages are only ever added, as optional. What a message means, or what a node does with
it, may change only where all nodes know the new meaning: the change gets a version here, and starts
once `MemberTable.lowest_version` has reached it.
"""

from enum import IntEnum


class ExchangeVersion(IntEnum):
    """What a node knows of the exchange. Each version knows all that the former ones know."""

    # Releases up to 0.7: positions in the operator's records and terms of the lease have no era.
    WITHOUT_ERAS = 0
    # Release 0.8: positions and terms have the era of the store.
    STORE_ERAS = 1
    # A node tells its version, and its terms have no era while nodes without eras are known.
    TOLD = 2


CURRENT_VERSION = ExchangeVersion.TOLD


def version_from_wire(told: int | None, cut_off: bool | None) -> int:
    """Return the version of a node by its description; it may be one that is not known here.

    Parameters
    ----------
    told : int or None
        Version that the node tells. Earlier releases tell none, and pass none on.
    cut_off : bool or None
        Whether the node is cut off from the backend servers, which 0.8 was the first to tell.
    """
    if told is not None:
        return told
    return ExchangeVersion.WITHOUT_ERAS if cut_off is None else ExchangeVersion.STORE_ERAS
