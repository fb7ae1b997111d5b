"""Thrift codec of the datagrams between nodes: heartbeats and their confirmations."""

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from briarpond.ids import DataCentre, GroupId, InstanceId, NodeId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName

from ._models import (
    Beat,
    ConfigConfirmation,
    ModelDemand,
    PlainServerTarget,
    Plan,
    PlanRow,
    ServerRow,
    Targets,
)
from .gen.beats import ttypes

# First byte of a datagram, which tells its kind; the Thrift struct follows.
HEARTBEAT_TAG = b"B"
CONFIRMATION_TAG = b"E"
# Exceptions that malformed data can raise in the generated code or in the translation.
_MALFORMED = (TException, EOFError, TypeError, ValueError, AttributeError)


def encode_beat(heartbeat: Beat) -> bytes:
    """Return the datagram of a heartbeat."""
    buffer = TMemoryBuffer()
    row = ttypes.Beat(
        node=heartbeat.node,
        host=heartbeat.caller_address.host,
        port=heartbeat.caller_address.port,
        data_centre=heartbeat.data_centre,
        ready=heartbeat.ready,
        leaving=heartbeat.leaving,
        servers=[
            ttypes.ServerRow(each.instance, each.in_flight, each.unread_tokens)
            for each in heartbeat.servers
        ],
        demand=[ttypes.DemandRow(each.model, each.groups) for each in heartbeat.demand],
        stalled=list(heartbeat.stalled),
        plan=None if heartbeat.plan is None else _encode_plan(heartbeat.plan),
        candidate=heartbeat.candidate,
        clock_ms=heartbeat.clock_ms,
        config_version=heartbeat.config_version,
    )
    row.write(TCompactProtocolAccelerated(buffer))
    return HEARTBEAT_TAG + buffer.getvalue()


def encode_confirmation(confirmation: ConfigConfirmation) -> bytes:
    """Return the datagram of a confirmation (`Echo` on the wire)."""
    buffer = TMemoryBuffer()
    row = ttypes.Echo(confirmation.clock_ms, confirmation.config_version, confirmation.age_ms)
    row.write(TCompactProtocolAccelerated(buffer))
    return CONFIRMATION_TAG + buffer.getvalue()


def decode_datagram(data: bytes) -> Result[Beat | ConfigConfirmation, str]:
    """Read a datagram of another node; the error describes what cannot be read."""
    if data[:1] == HEARTBEAT_TAG:
        return decode_beat(data)
    if data[:1] != CONFIRMATION_TAG:
        return Error(f"unknown message tag {data[:1]!r}")
    row = ttypes.Echo()
    try:
        row.read(TCompactProtocolAccelerated(TMemoryBuffer(data[1:])))
        row.validate()
    except _MALFORMED as exc:
        return Error(repr(exc))
    return Ok(ConfigConfirmation(row.clock_ms, row.config_version, row.age_ms))


def decode_beat(data: bytes) -> Result[Beat, str]:
    """Read the datagram of a heartbeat; the error describes what cannot be read."""
    row = ttypes.Beat()
    try:
        row.read(TCompactProtocolAccelerated(TMemoryBuffer(data[1:])))
        row.validate()
        return Ok(_heartbeat_from_wire(row))
    except _MALFORMED as exc:
        return Error(repr(exc))


def _encode_plan(plan: Plan) -> ttypes.Plan:
    encoded = ttypes.Plan(plan.term, plan.sequence, fresh=plan.list_is_current)
    if plan.targets is not None:
        encoded.groups = [
            ttypes.PlanRow(
                row.group, row.epoch, row.model, row.head, row.address.host, row.address.port
            )
            for row in plan.targets.groups
        ]
        encoded.servers = [
            ttypes.PlainRow(
                row.instance,
                row.service,
                row.address.host,
                row.address.port,
                row.data_centre,
                row.slots,
            )
            for row in plan.targets.servers
        ]
    return encoded


def _heartbeat_from_wire(row: ttypes.Beat) -> Beat:
    return Beat(
        node=NodeId(row.node),
        caller_address=Address(row.host, row.port),
        data_centre=DataCentre(row.data_centre),
        ready=row.ready,
        leaving=row.leaving,
        servers=tuple(
            ServerRow(InstanceId(each.instance), each.in_flight, each.unread_tokens)
            for each in row.servers
        ),
        demand=tuple(ModelDemand(ModelName(each.model), each.groups) for each in row.demand),
        stalled=tuple(InstanceId(each) for each in row.stalled),
        plan=None if row.plan is None else _decode_plan(row.plan),
        candidate=bool(row.candidate),
        clock_ms=row.clock_ms or 0,
        config_version=row.config_version or 0,
    )


def _decode_plan(plan: ttypes.Plan) -> Plan:
    targets = None
    if plan.groups is not None:
        targets = Targets(
            tuple(_decode_group_target(row) for row in plan.groups),
            tuple(_decode_server_target(row) for row in plan.servers or ()),
        )
    return Plan(plan.term, plan.sequence, bool(plan.fresh), targets)


def _decode_group_target(row: ttypes.PlanRow) -> PlanRow:
    return PlanRow(
        GroupId(row.group),
        row.epoch,
        ModelName(row.model),
        InstanceId(row.head),
        Address(row.host, row.port),
    )


def _decode_server_target(row: ttypes.PlainRow) -> PlainServerTarget:
    return PlainServerTarget(
        InstanceId(row.instance),
        ServiceName(row.service_name),
        Address(row.host, row.port),
        DataCentre(row.data_centre),
        row.slots,
    )
