"""Entries of the platform's list of servers, and what servers say of themselves."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from briarpond.fleet import Instance, InstanceState, Membership, MemberState
from briarpond.ids import DataCentre, FabricDomain, GroupId, InstanceId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName

_STATES = {state.value: state for state in InstanceState}
_MEMBER_STATES = {state.value: state for state in MemberState}


class ModelRow(msgspec.Struct):
    """A model that a server has loaded."""

    name: str


class GroupRow(msgspec.Struct):
    """The group that a server says it belongs to."""

    name: str
    epoch: int
    rank: int
    state: str


class _Entry(msgspec.Struct):
    service: str
    addr: str
    zone: str
    state: str
    slots: int = 1
    born: int = 0
    domain: str | int | None = None
    staged: list[str] | None = None
    models: list[ModelRow] | None = None
    group: GroupRow | None = None


_decoder: Any = msgspec.json.Decoder(_Entry)


def decode_instance(key: str, body: bytes) -> Result[Instance, str]:
    """Translate the entry of the server `key`; the error says why it names none."""
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
            membership=membership_of(entry.group),
        )
    )


def membership_of(row: GroupRow | None) -> Membership | None:
    """Translate the group that a server names; an unknown state counts as joining."""
    if row is None or not row.name:
        return None
    state = _MEMBER_STATES.get(row.state, MemberState.JOINING)
    return Membership(GroupId(row.name), row.epoch, row.rank, state)
