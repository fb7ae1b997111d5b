"""Thrift codec of the datagrams between nodes: heartbeats and their confirmations."""

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from briarpond.ids import DataCentre, GroupId, InstanceId, NodeId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName

from ._models import (
    ConfigConfirmation,
    GroupTarget,
    Heartbeat,
    ModelDemand,
    PlainServerTarget,
    Plan,
    RoutingTargets,
    ServerInFlight,
)
from .gen.beats import ttypes

# First byte of a datagram, which identifies its type; the Thrift struct follows.
HEARTBEAT_TAG = b"B"
CONFIRMATION_TAG = b"E"
# Exceptions that malformed data can raise in the generated code or in the translation.
_MALFORMED = (TException, EOFError, TypeError, ValueError, AttributeError)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the datagram of a heartbeat."""
    buffer = TMemoryBuffer()
    wire = ttypes.Beat(
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
        plan=None if heartbeat.plan is None else _plan_to_wire(heartbeat.plan),
        candidate=heartbeat.candidate,
        clock_ms=heartbeat.clock_ms,
        config_version=heartbeat.config_version,
    )
    wire.write(TCompactProtocolAccelerated(buffer))
    return HEARTBEAT_TAG + buffer.getvalue()


def encode_confirmation(confirmation: ConfigConfirmation) -> bytes:
    """Return the datagram of a confirmation (`Echo` on the wire)."""
    buffer = TMemoryBuffer()
    wire = ttypes.Echo(confirmation.clock_ms, confirmation.config_version, confirmation.age_ms)
    wire.write(TCompactProtocolAccelerated(buffer))
    return CONFIRMATION_TAG + buffer.getvalue()


def decode_datagram(data: bytes) -> Result[Heartbeat | ConfigConfirmation, str]:
    """Read a datagram of another node; the error describes what cannot be read."""
    if data[:1] == HEARTBEAT_TAG:
        return decode_heartbeat(data)
    if data[:1] != CONFIRMATION_TAG:
        return Error(f"unknown message tag {data[:1]!r}")
    wire = ttypes.Echo()
    try:
        wire.read(TCompactProtocolAccelerated(TMemoryBuffer(data[1:])))
        wire.validate()
    except _MALFORMED as exc:
        return Error(repr(exc))
    return Ok(ConfigConfirmation(wire.clock_ms, wire.config_version, wire.age_ms))


def decode_heartbeat(data: bytes) -> Result[Heartbeat, str]:
    """Read the datagram of a heartbeat; the error describes what cannot be read."""
    wire = ttypes.Beat()
    try:
        wire.read(TCompactProtocolAccelerated(TMemoryBuffer(data[1:])))
        wire.validate()
        return Ok(_heartbeat_from_wire(wire))
    except _MALFORMED as exc:
        return Error(repr(exc))


def _plan_to_wire(plan: Plan) -> ttypes.Plan:
    wire = ttypes.Plan(plan.term, plan.sequence, fresh=plan.list_is_current)
    if plan.targets is not None:
        wire.groups = [
            ttypes.PlanRow(
                target.group,
                target.epoch,
                target.model,
                target.head,
                target.address.host,
                target.address.port,
            )
            for target in plan.targets.groups
        ]
        wire.servers = [
            ttypes.PlainRow(
                target.instance,
                target.service,
                target.address.host,
                target.address.port,
                target.data_centre,
                target.slots,
            )
            for target in plan.targets.servers
        ]
    return wire


def _heartbeat_from_wire(wire: ttypes.Beat) -> Heartbeat:
    return Heartbeat(
        node=NodeId(wire.node),
        caller_address=Address(wire.host, wire.port),
        data_centre=DataCentre(wire.data_centre),
        ready=wire.ready,
        leaving=wire.leaving,
        servers=tuple(
            ServerInFlight(InstanceId(each.instance), each.in_flight, each.unread_tokens)
            for each in wire.servers
        ),
        demand=tuple(ModelDemand(ModelName(each.model), each.groups) for each in wire.demand),
        stalled=tuple(InstanceId(each) for each in wire.stalled),
        plan=None if wire.plan is None else _plan_from_wire(wire.plan),
        candidate=bool(wire.candidate),
        clock_ms=wire.clock_ms or 0,
        config_version=wire.config_version or 0,
    )


def _plan_from_wire(plan: ttypes.Plan) -> Plan:
    targets = None
    if plan.groups is not None:
        targets = RoutingTargets(
            tuple(_group_target_from_wire(wire) for wire in plan.groups),
            tuple(_server_target_from_wire(wire) for wire in plan.servers or ()),
        )
    return Plan(plan.term, plan.sequence, bool(plan.fresh), targets)


def _group_target_from_wire(wire: ttypes.PlanRow) -> GroupTarget:
    return GroupTarget(
        GroupId(wire.group),
        wire.epoch,
        ModelName(wire.model),
        InstanceId(wire.head),
        Address(wire.host, wire.port),
    )


def _server_target_from_wire(wire: ttypes.PlainRow) -> PlainServerTarget:
    return PlainServerTarget(
        InstanceId(wire.instance),
        ServiceName(wire.service_name),
        Address(wire.host, wire.port),
        DataCentre(wire.data_centre),
        wire.slots,
    )
