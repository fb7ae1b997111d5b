"""Thrift codec of heartbeats."""

from expression import Error, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from briarpond.ids import DataCentre, GroupId, InstanceId, NodeId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName

from ._models import Beat, DemandRow, Echo, PlainRow, Plan, PlanRow, ServerRow, Targets
from .gen.beats import ttypes

BEAT_TAG = b"B"
ECHO_TAG = b"E"
_MALFORMED = (TException, EOFError, TypeError, ValueError, AttributeError)


def encode_beat(beat: Beat) -> bytes:
    """Return the bytes of a heartbeat."""
    buffer = TMemoryBuffer()
    row = ttypes.Beat(
        node=beat.node,
        host=beat.callers.host,
        port=beat.callers.port,
        data_centre=beat.data_centre,
        ready=beat.ready,
        leaving=beat.leaving,
        servers=[
            ttypes.ServerRow(each.instance, each.in_flight, each.unread_tokens)
            for each in beat.servers
        ],
        demand=[ttypes.DemandRow(each.model, each.groups) for each in beat.demand],
        stalled=list(beat.stalled),
        plan=None if beat.plan is None else _encode_plan(beat.plan),
        candidate=beat.candidate,
        clock_ms=beat.clock_ms,
        config_version=beat.config_version,
    )
    row.write(TCompactProtocolAccelerated(buffer))
    return BEAT_TAG + buffer.getvalue()


def encode_echo(echo: Echo) -> bytes:
    """Return the bytes of an echo."""
    buffer = TMemoryBuffer()
    row = ttypes.Echo(echo.clock_ms, echo.config_version, echo.age_ms)
    row.write(TCompactProtocolAccelerated(buffer))
    return ECHO_TAG + buffer.getvalue()


def decode_message(data: bytes) -> Result[Beat | Echo, str]:
    """Read a datagram of another node; the error says what cannot be read."""
    if data[:1] == BEAT_TAG:
        return decode_beat(data)
    if data[:1] != ECHO_TAG:
        return Error("unknown kind of message")
    row = ttypes.Echo()
    try:
        row.read(TCompactProtocolAccelerated(TMemoryBuffer(data[1:])))
        row.validate()
    except _MALFORMED as exc:
        return Error(repr(exc))
    return Ok(Echo(row.clock_ms, row.config_version, row.age_ms))


def decode_beat(data: bytes) -> Result[Beat, str]:
    """Read a heartbeat; the error says what cannot be read."""
    row = ttypes.Beat()
    try:
        row.read(TCompactProtocolAccelerated(TMemoryBuffer(data[1:])))
        row.validate()
        return Ok(_decode(row))
    except _MALFORMED as exc:
        return Error(repr(exc))


def _encode_plan(plan: Plan) -> ttypes.Plan:
    encoded = ttypes.Plan(plan.term, plan.sequence, fresh=plan.fresh)
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


def _decode(row: ttypes.Beat) -> Beat:
    return Beat(
        node=NodeId(row.node),
        callers=Address(row.host, row.port),
        data_centre=DataCentre(row.data_centre),
        ready=row.ready,
        leaving=row.leaving,
        servers=tuple(
            ServerRow(InstanceId(each.instance), each.in_flight, each.unread_tokens)
            for each in row.servers
        ),
        demand=tuple(DemandRow(ModelName(each.model), each.groups) for each in row.demand),
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
            tuple(_decode_group(row) for row in plan.groups),
            tuple(_decode_server(row) for row in plan.servers or ()),
        )
    return Plan(plan.term, plan.sequence, bool(plan.fresh), targets)


def _decode_group(row: ttypes.PlanRow) -> PlanRow:
    return PlanRow(
        GroupId(row.group),
        row.epoch,
        ModelName(row.model),
        InstanceId(row.head),
        Address(row.host, row.port),
    )


def _decode_server(row: ttypes.PlainRow) -> PlainRow:
    return PlainRow(
        InstanceId(row.instance),
        ServiceName(row.service_name),
        Address(row.host, row.port),
        DataCentre(row.data_centre),
        row.slots,
    )
