"""Which records of the operator are in force on a node, and who confirmed them last."""

import msgspec

# Stands for the store as the source of a confirmation; other sources are hosts of nodes.
STORE_SOURCE = "store"


class ConfigOrigin(msgspec.Struct, frozen=True):
    """Origin of the operator's records that are in force.

    Attributes
    ----------
    era : int
        Era of the store that the position belongs to; 0 if it is not known.
    position : int
        Offset up to which the operator's records are applied; 0 if it is not known.
    confirmed_by : str
        Who last confirmed that they are the newest: `STORE_SOURCE` or the host of another node;
        empty if nobody has.
    """

    era: int = 0
    position: int = 0
    confirmed_by: str = ""
