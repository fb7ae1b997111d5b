"""Wire format of the directory: callers look up the addresses of nodes."""

from collections.abc import Sequence
from urllib.parse import parse_qs, urlsplit

import msgspec

from briarpond.ids import DataCentre
from briarpond.net import Address

_LOOKUP_PATH = "/lookup"


class AddressQuery(msgspec.Struct, frozen=True):
    """A look-up in the directory.

    Attributes
    ----------
    host : str
        Host name that the caller wants to send requests to; empty if not given.
    data_centre : DataCentre
        Data centre of the caller, whose nodes are preferred; empty if not given.
    """

    host: str
    data_centre: DataCentre


def parse_address_query(target: str) -> AddressQuery | None:
    """Parse the request target of a look-up.

    Returns None if the path of `target` is not that of the directory.
    """
    parts = urlsplit(target)
    if parts.path != _LOOKUP_PATH:
        return None
    query = parse_qs(parts.query)
    return AddressQuery(query.get("name", [""])[0], DataCentre(query.get("zone", [""])[0]))


def encode_addresses(addresses: Sequence[Address], ttl_s: float) -> bytes:
    """Encode the answer to a look-up.

    Parameters
    ----------
    addresses : sequence of Address
        Nodes to connect to; those in the caller's data centre come first.
    ttl_s : float
        For how many seconds the caller may use this answer.
    """
    return msgspec.json.encode({"addresses": [str(each) for each in addresses], "ttlS": ttl_s})
