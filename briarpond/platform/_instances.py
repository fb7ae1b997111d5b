"""Decoder of the platform's instance list, one record of the store per instance.

`LoadedModel` and `GroupReport` also occur in the answers to a status request.
"""

from typing import Annotated, Any

import msgspec
from expression import Error, Ok, Result

from briarpond.decoding import decode_json, is_visible_ascii
from briarpond.fleet import Instance, InstanceState, Membership, MemberState
from briarpond.ids import DataCentre, FabricDomain, GroupId, InstanceId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName

# More slots than any server has; one that states no limit counts as having these.
MAX_SLOTS = 100_000
# Longest time for which an entry can make its server cold.
MAX_COLD_LEFT_S = 3600.0

# Largest number of an entry that is compared with others.
MAX_SEQUENCE = 2**63 - 1

# A number that the messages between nodes can carry.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]

_STATES = {state.value: state for state in InstanceState}
_MEMBER_STATES = {state.value: state for state in MemberState}


class LoadedModel(msgspec.Struct):
    """A model that an instance has loaded, as JSON object of the platform."""

    name: str


class GroupReport(msgspec.Struct):
    """The membership that an instance reports, as JSON object of the platform.

    Attributes
    ----------
    name : str
        Id of the group; empty if the instance is in none.
    epoch : int
        Fencing token of the group.
    rank : int
        Index of the instance among the members; rank 0 is the head.
    state : str
        A value of ``MemberState``.
    """

    name: str
    epoch: _Count
    rank: _Count
    state: str


class _InstanceEntry(msgspec.Struct):
    service: str
    addr: str
    # Data centre.
    zone: str
    state: str
    slots: _Count = 1
    # Start of the process, in Unix milliseconds.
    born: _Count = 0
    # How long the server stays cold from the writing of the record, in milliseconds.
    coldLeftMs: float | None = None  # noqa: N815
    # Number of the entry. It is checked apart: one of another type is left out of account.
    seq: Any = None
    # Fabric domain; the members of a group are in the same one.
    domain: str | int | None = None
    # Models whose weights are stored on the host.
    staged: list[str] | None = None
    # Loaded models; only the first is used.
    models: list[LoadedModel] | None = None
    group: GroupReport | None = None


_decoder: Any = msgspec.json.Decoder(_InstanceEntry)


def decode_instance(key: str, body: bytes) -> Result[Instance, str]:
    """Decode one record of the instance list.

    Parameters
    ----------
    key : str
        Key of the record, which is the id of the instance.
    body : bytes
        Value of the record, as JSON.

    Returns
    -------
    Result
        The instance, or the reason why the record names none that can be used: a field is
        missing, has a wrong type or is out of range, or key, address or state is not valid.
    """
    if not is_visible_ascii(key):
        return Error("the key is no id that a request can name")
    decoded = decode_json(_decoder, body)
    if decoded.is_error():
        return decoded
    entry: _InstanceEntry = decoded.ok
    try:
        address = Address.parse(entry.addr)
    except ValueError as exc:
        return Error(f"addr: {exc}")
    state = _STATES.get(entry.state)
    if state is None:
        return Error(f"unknown state {entry.state}")
    return Ok(
        Instance(
            id=InstanceId(key),
            service=ServiceName(entry.service),
            address=address,
            data_centre=DataCentre(entry.zone),
            state=state,
            slots=min(entry.slots, MAX_SLOTS),
            started_at_ms=entry.born,
            domain=FabricDomain("" if entry.domain is None else str(entry.domain)),
            staged_models=tuple(ModelName(name) for name in entry.staged or ()),
            model=ModelName(entry.models[0].name) if entry.models else None,
            membership=to_membership(entry.group),
            cold_left_s=_to_cold_left_s(entry.coldLeftMs),
            sequence=_to_sequence(entry.seq),
        )
    )


def _to_cold_left_s(cold_left_ms: float | None) -> float | None:
    if cold_left_ms is None:
        return None
    return min(max(0.0, cold_left_ms / 1000), MAX_COLD_LEFT_S)


def _to_sequence(number: Any) -> int | None:
    """Return the number of an entry; None if it is none that can be compared."""
    is_number = isinstance(number, int) and not isinstance(number, bool)
    return number if is_number and 0 <= number <= MAX_SEQUENCE else None


def to_membership(reported: GroupReport | None) -> Membership | None:
    """Convert the membership that an instance reports.

    Returns None if the instance is in no group. An unknown state is taken as
    ``JOINING``, so that no requests are sent to the group.
    """
    if reported is None or not reported.name:
        return None
    state = _MEMBER_STATES.get(reported.state, MemberState.JOINING)
    return Membership(GroupId(reported.name), reported.epoch, reported.rank, state)
