"""Thrift codec of the datagrams between nodes."""

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from briarpond.ids import DataCentre, GroupId, InstanceId, NodeId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName

from ._codec_ages import age_from_ms, age_to_ms
from ._codec_evidence import evidence_from_wire, evidence_to_wire
from ._models import (
    MAX_STORE_ERA,
    Answer,
    ConfigRecord,
    ConfigStatus,
    GroupTarget,
    Load,
    Member,
    ModelDemand,
    Notice,
    PlainServerTarget,
    PlanDelta,
    PlanStatus,
    PlanVersion,
    Pull,
    ServerInFlight,
    StorePosition,
)
from ._version import version_from_wire
from .gen.exchange import ttypes

Datagram = Pull | Answer | Notice

# First byte of a datagram, which identifies its type; the Thrift struct follows.
PULL_TAG = b"P"
ANSWER_TAG = b"A"
NOTICE_TAG = b"N"
# Exceptions that malformed data can raise in the generated code or in the translation.
_MALFORMED = (
    TException,
    EOFError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    MemoryError,
    RecursionError,
)
# Exceptions that a value out of the range of its field raises when it is encoded.
UNENCODABLE = (TException, TypeError, ValueError, AttributeError, OverflowError)
# Largest count that a field takes; a larger one is sent as this.
MAX_COUNT = 2**31 - 1


def encode_datagram(message: Datagram) -> bytes:
    """Return the datagram of a message.

    Raises
    ------
    Any of UNENCODABLE
        If a value is out of the range of its field.
    """
    tag, wire = _to_wire(message)
    buffer = TMemoryBuffer()
    wire.write(TCompactProtocolAccelerated(buffer))
    return tag + buffer.getvalue()


def decode_datagram(data: bytes) -> Result[Datagram, str]:
    """Read a datagram of another node; the error describes what cannot be read."""
    tag = data[:1]
    reader = _READERS.get(tag)
    if reader is None:
        return Error(f"unknown message tag {tag!r}")
    struct, translate = reader
    wire = struct()
    try:
        wire.read(TCompactProtocolAccelerated(TMemoryBuffer(data[1:])))
        _validate(wire)
        return Ok(translate(wire))
    except _MALFORMED as exc:
        return Error(repr(exc))


def encode_config_record(record: ConfigRecord) -> bytes:
    """Return the bytes with which a node passes on the record of the configuration."""
    buffer = TMemoryBuffer()
    wire = ttypes.ConfigRecord(
        record.offset,
        age_to_ms(record.age_s),
        record.value,
        _offset_to_wire(record.position),
        None if record.position is None else sorted(record.evacuated),
        _era_to_wire(record.position),
    )
    wire.write(TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode_config_record(data: bytes) -> Result[ConfigRecord, str]:
    """Read what `encode_config_record` returned; the error describes what cannot be read."""
    wire = ttypes.ConfigRecord()
    try:
        wire.read(TCompactProtocolAccelerated(TMemoryBuffer(data)))
        wire.validate()
        return Ok(
            ConfigRecord(
                wire.offset,
                age_from_ms(wire.age_ms),
                wire.value,
                _position_from_wire(wire.position, wire.era),
                frozenset(DataCentre(each) for each in wire.evacuated or ()),
            )
        )
    except _MALFORMED as exc:
        return Error(repr(exc))


def _validate(wire) -> None:
    """Check the required fields of a struct and of the structs in it."""
    wire.validate()
    for value in vars(wire).values():
        for each in value if isinstance(value, list) else (value,):
            if hasattr(each, "validate"):
                _validate(each)


def _to_wire(message: Datagram) -> tuple[bytes, object]:
    match message:
        case Pull():
            return PULL_TAG, _pull_to_wire(message)
        case Answer():
            return ANSWER_TAG, _answer_to_wire(message)
        case Notice():
            return NOTICE_TAG, _notice_to_wire(message)


def _pull_to_wire(pull: Pull) -> ttypes.Pull:
    return ttypes.Pull(
        sender=_member_to_wire(pull.sender),
        clock_ms=pull.clock_ms,
        table=pull.table,
        cursor=pull.cursor,
        plan_term=pull.plan.term,
        plan_sequence=pull.plan.sequence,
        config_version=pull.config_version,
        load=_load_to_wire(pull.load),
        evidence=evidence_to_wire(pull.evidence),
        config_position=_offset_to_wire(pull.config_position),
        config_era=_era_to_wire(pull.config_position),
    )


def _pull_from_wire(wire: ttypes.Pull) -> Pull:
    return Pull(
        sender=_member_from_wire(wire.sender),
        clock_ms=wire.clock_ms,
        table=wire.table,
        cursor=wire.cursor,
        plan=PlanVersion(wire.plan_term, wire.plan_sequence),
        config_version=wire.config_version,
        load=_load_from_wire(wire.load),
        evidence=evidence_from_wire(wire.evidence),
        config_position=_position_from_wire(wire.config_position, wire.config_era),
    )


def _answer_to_wire(answer: Answer) -> ttypes.Answer:
    return ttypes.Answer(
        sender=_member_to_wire(answer.sender),
        clock_ms=answer.clock_ms,
        table=answer.table,
        cursor=answer.cursor,
        more=answer.more,
        members=[_member_to_wire(each) for each in answer.members],
        ages=[ttypes.DataCentreAge(name, age_to_ms(age)) for name, age in answer.ages_s.items()],
        load=None if answer.load is None else _load_to_wire(answer.load),
        plan=None if answer.plan is None else _status_to_wire(answer.plan),
        delta=None if answer.delta is None else _delta_to_wire(answer.delta),
        config=None if answer.config is None else _config_to_wire(answer.config),
        evidence=evidence_to_wire(answer.evidence),
    )


def _answer_from_wire(wire: ttypes.Answer) -> Answer:
    return Answer(
        sender=_member_from_wire(wire.sender),
        clock_ms=wire.clock_ms,
        table=wire.table,
        cursor=wire.cursor,
        more=wire.more,
        members=tuple(_member_from_wire(each) for each in wire.members),
        ages_s={DataCentre(each.data_centre): age_from_ms(each.age_ms) for each in wire.ages},
        load=None if wire.load is None else _load_from_wire(wire.load),
        plan=None if wire.plan is None else _status_from_wire(wire.plan),
        delta=None if wire.delta is None else _delta_from_wire(wire.delta),
        config=None if wire.config is None else _config_from_wire(wire.config),
        evidence=evidence_from_wire(wire.evidence),
    )


def _notice_to_wire(notice: Notice) -> ttypes.Notice:
    return ttypes.Notice(
        sender=_member_to_wire(notice.sender),
        stalled=list(notice.stalled),
        config_version=notice.config_version,
        plan=None if notice.plan is None else _status_to_wire(notice.plan),
        delta=None if notice.delta is None else _delta_to_wire(notice.delta),
        relayed=notice.relayed,
        evidence=evidence_to_wire(notice.evidence),
        config_position=_offset_to_wire(notice.config_position),
        config_era=_era_to_wire(notice.config_position),
    )


def _notice_from_wire(wire: ttypes.Notice) -> Notice:
    return Notice(
        sender=_member_from_wire(wire.sender),
        stalled=tuple(InstanceId(each) for each in wire.stalled),
        config_version=wire.config_version,
        plan=None if wire.plan is None else _status_from_wire(wire.plan),
        delta=None if wire.delta is None else _delta_from_wire(wire.delta),
        relayed=wire.relayed,
        evidence=evidence_from_wire(wire.evidence),
        config_position=_position_from_wire(wire.config_position, wire.config_era),
    )


def _member_to_wire(member: Member) -> ttypes.MemberRow:
    return ttypes.MemberRow(
        member.node,
        member.incarnation,
        member.revision,
        member.caller_address.host,
        member.caller_address.port,
        member.data_centre,
        member.ready,
        member.leaving,
        member.candidate,
        member.gone,
        member.planning,
        member.cut_off,
        member.exchange_version,
    )


def _member_from_wire(wire: ttypes.MemberRow) -> Member:
    return Member(
        NodeId(wire.node),
        wire.incarnation,
        wire.revision,
        Address(wire.host, wire.port),
        DataCentre(wire.data_centre),
        wire.ready,
        wire.leaving,
        wire.candidate,
        wire.gone,
        bool(wire.planning),
        wire.cut_off,
        version_from_wire(wire.exchange_version, wire.cut_off),
    )


def _load_to_wire(load: Load) -> ttypes.Load:
    return ttypes.Load(
        [
            ttypes.ServerRow(
                each.instance,
                min(each.in_flight, MAX_COUNT),
                min(each.unread_tokens, MAX_COUNT),
                None if each.unwritten_tokens is None else min(each.unwritten_tokens, MAX_COUNT),
            )
            for each in load.servers
        ],
        [ttypes.DemandRow(each.model, each.groups, each.service or None) for each in load.demand],
    )


def _load_from_wire(wire: ttypes.Load) -> Load:
    return Load(
        tuple(
            ServerInFlight(
                InstanceId(each.instance),
                each.in_flight,
                each.unread_tokens,
                each.unwritten_tokens,
            )
            for each in wire.servers
        ),
        tuple(
            ModelDemand(ModelName(each.model), each.groups, ServiceName(each.service_name or ""))
            for each in wire.demand
        ),
    )


def _status_to_wire(status: PlanStatus) -> ttypes.PlanStatus:
    return ttypes.PlanStatus(
        status.version.term,
        status.version.sequence,
        age_to_ms(status.age_s),
        age_to_ms(status.list_age_s),
        status.planner,
    )


def _status_from_wire(wire: ttypes.PlanStatus) -> PlanStatus:
    return PlanStatus(
        PlanVersion(wire.term, wire.sequence),
        age_from_ms(wire.age_ms),
        age_from_ms(wire.list_age_ms),
        NodeId(wire.planner),
    )


def _config_to_wire(status: ConfigStatus) -> ttypes.ConfigStatus:
    return ttypes.ConfigStatus(
        status.version,
        age_to_ms(status.age_s),
        _offset_to_wire(status.position),
        _era_to_wire(status.position),
    )


def _config_from_wire(wire: ttypes.ConfigStatus) -> ConfigStatus:
    position = _position_from_wire(wire.position, wire.era)
    return ConfigStatus(wire.version, age_from_ms(wire.age_ms), position)


def _offset_to_wire(position: StorePosition | None) -> int | None:
    return None if position is None else position.offset


def _era_to_wire(position: StorePosition | None) -> int | None:
    return None if position is None else position.era


def _position_from_wire(offset: int | None, era: int | None) -> StorePosition | None:
    """Return a position; one of an earlier release names no era.

    Raises
    ------
    ValueError
        If no store can tell the era. Taken over, it would make each answer of the store outdated.
    """
    if offset is None:
        return None
    if era is not None and not 0 <= era <= MAX_STORE_ERA:
        raise ValueError(f"era {era} is out of range")
    return StorePosition(era or 0, offset)


def _delta_to_wire(delta: PlanDelta) -> ttypes.PlanDelta:
    return ttypes.PlanDelta(
        term=delta.version.term,
        sequence=delta.version.sequence,
        base=delta.base,
        groups=[
            ttypes.PlanRow(
                target.group,
                target.epoch,
                target.model,
                target.head,
                target.address.host,
                target.address.port,
                target.data_centre,
                target.cold or None,
                target.service or None,
                target.size or None,
            )
            for target in delta.groups
        ],
        servers=[
            ttypes.PlainRow(
                target.instance,
                target.service,
                target.address.host,
                target.address.port,
                target.data_centre,
                min(target.slots, MAX_COUNT),
                target.cold or None,
            )
            for target in delta.servers
        ],
        removed=list(delta.removed),
    )


def _delta_from_wire(wire: ttypes.PlanDelta) -> PlanDelta:
    return PlanDelta(
        PlanVersion(wire.term, wire.sequence),
        wire.base,
        tuple(_group_target_from_wire(each) for each in wire.groups),
        tuple(_server_target_from_wire(each) for each in wire.servers),
        tuple(wire.removed),
    )


def _group_target_from_wire(wire: ttypes.PlanRow) -> GroupTarget:
    return GroupTarget(
        GroupId(wire.group),
        wire.epoch,
        ModelName(wire.model),
        InstanceId(wire.head),
        Address(wire.host, wire.port),
        DataCentre(wire.data_centre or ""),
        bool(wire.cold),
        ServiceName(wire.service_name or ""),
        wire.size or 0,
    )


def _server_target_from_wire(wire: ttypes.PlainRow) -> PlainServerTarget:
    return PlainServerTarget(
        InstanceId(wire.instance),
        ServiceName(wire.service_name),
        Address(wire.host, wire.port),
        DataCentre(wire.data_centre),
        wire.slots,
        bool(wire.cold),
    )


_READERS = {
    PULL_TAG: (ttypes.Pull, _pull_from_wire),
    ANSWER_TAG: (ttypes.Answer, _answer_from_wire),
    NOTICE_TAG: (ttypes.Notice, _notice_from_wire),
}
