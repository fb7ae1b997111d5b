"""Heartbeats between nodes."""

import msgspec

from briarpond.ids import DataCentre, GroupId, InstanceId, NodeId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName


class ServerRow(msgspec.Struct, frozen=True):
    """Requests that a node has in flight at one server."""

    instance: InstanceId
    in_flight: int
    unread_tokens: int


class DemandRow(msgspec.Struct, frozen=True):
    """Groups of a model that a node's requests would fill."""

    model: ModelName
    groups: float


class PlanRow(msgspec.Struct, frozen=True):
    """A group that serves, as the planner says."""

    group: GroupId
    epoch: int
    model: ModelName
    head: InstanceId
    address: Address


class PlainRow(msgspec.Struct, frozen=True):
    """A plain server that takes requests."""

    instance: InstanceId
    service: ServiceName
    address: Address
    data_centre: DataCentre
    slots: int


class Targets(msgspec.Struct, frozen=True):
    """All groups and plain servers that take requests."""

    groups: tuple[PlanRow, ...] = ()
    servers: tuple[PlainRow, ...] = ()


class Plan(msgspec.Struct, frozen=True):
    """Where requests may go; the highest term and sequence is the newest.

    Attributes
    ----------
    fresh : bool
        Whether the sender follows the list of instances without a gap.
    targets : Targets or None
        None where the plan of this sequence was sent before and still holds.
    """

    term: int
    sequence: int
    fresh: bool
    targets: Targets | None


class Beat(msgspec.Struct, frozen=True):
    """Sign of life of a node, with what others need of it.

    Attributes
    ----------
    callers : Address
        Where the node takes callers' requests.
    stalled : tuple of InstanceId
        Heads whose running streams stand still.
    plan : Plan or None
        Set by the node that plans.
    candidate : bool
        Whether the node keeps applying for the planner's lease and reaches the store.
    clock_ms : int
        The sender's clock, which an echo repeats.
    """

    node: NodeId
    callers: Address
    data_centre: DataCentre
    ready: bool
    leaving: bool
    servers: tuple[ServerRow, ...] = ()
    demand: tuple[DemandRow, ...] = ()
    stalled: tuple[InstanceId, ...] = ()
    plan: Plan | None = None
    candidate: bool = False
    clock_ms: int = 0
    config_version: int = 0


class Echo(msgspec.Struct, frozen=True):
    """Tells one node that a configuration was the newest, by that node's own clock.

    Attributes
    ----------
    clock_ms : int
        What the node's heartbeat said of its clock.
    age_ms : int
        How old the sender's knowledge was when it got that heartbeat.
    """

    clock_ms: int
    config_version: int
    age_ms: int
