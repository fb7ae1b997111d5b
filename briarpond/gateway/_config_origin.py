"""Which records of the operator are in force on a node, and who confirmed them last."""

import msgspec

from briarpond.directory import StorePosition

# Stands for the store as the source of a confirmation; other sources are hosts of nodes.
STORE_SOURCE = "store"


class ConfigOrigin(msgspec.Struct, frozen=True):
    """Origin of the operator's records that are in force.

    Attributes
    ----------
    position : StorePosition
        Position up to which the operator's records are applied; the first one if it is not known.
    confirmed_by : str
        Who last confirmed that they are the newest: `STORE_SOURCE` or the host of another node;
        empty if nobody has.
    """

    position: StorePosition = StorePosition()
    confirmed_by: str = ""
