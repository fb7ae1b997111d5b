"""Look-ups of the addresses that callers may connect to."""

from collections.abc import Sequence
from urllib.parse import parse_qs, urlsplit

import msgspec

from briarpond.ids import DataCentre
from briarpond.net import Address

_LOOKUP_PATH = "/lookup"


class AddressQuery(msgspec.Struct, frozen=True):
    """Who asks: the host to be called and the caller's data centre."""

    host: str
    data_centre: DataCentre


def parse_address_query(target: str) -> AddressQuery | None:
    """Read a look-up; None if `target` is something else."""
    parts = urlsplit(target)
    if parts.path != _LOOKUP_PATH:
        return None
    query = parse_qs(parts.query)
    return AddressQuery(query.get("name", [""])[0], DataCentre(query.get("zone", [""])[0]))


def encode_addresses(addresses: Sequence[Address], ttl_s: float) -> bytes:
    """Answer a look-up."""
    return msgspec.json.encode({"addresses": [str(each) for each in addresses], "ttlS": ttl_s})
