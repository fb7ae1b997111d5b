"""Decoder of the platform's instance list, one record of the store per instance.

`LoadedModel` and `GroupReport` also occur in the answers to a status request.
"""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from briarpond.fleet import Instance, InstanceState, Membership, MemberState
from briarpond.ids import DataCentre, FabricDomain, GroupId, InstanceId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName

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
    epoch: int
    rank: int
    state: str


class _InstanceEntry(msgspec.Struct):
    service: str
    addr: str
    # Data centre.
    zone: str
    state: str
    slots: int = 1
    # Start of the process, in Unix milliseconds.
    born: int = 0
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
        The instance, or the reason why the record cannot be decoded: a field is missing
        or has a wrong type, or the address or state is not valid.
    """
    try:
        entry = _decoder.decode(body)
        address = Address.parse(entry.addr)
    except (msgspec.MsgspecError, ValueError) as exc:
        return Error(str(exc))
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
            slots=entry.slots,
            started_at_ms=entry.born,
            domain=FabricDomain("" if entry.domain is None else str(entry.domain)),
            staged_models=tuple(ModelName(name) for name in entry.staged or ()),
            model=ModelName(entry.models[0].name) if entry.models else None,
            membership=to_membership(entry.group),
        )
    )


def to_membership(reported: GroupReport | None) -> Membership | None:
    """Convert the membership that an instance reports.

    Returns None if the instance is in no group. An unknown state is taken as
    ``JOINING``, so that no requests are sent to the group.
    """
    if reported is None or not reported.name:
        return None
    state = _MEMBER_STATES.get(reported.state, MemberState.JOINING)
    return Membership(GroupId(reported.name), reported.epoch, reported.rank, state)
