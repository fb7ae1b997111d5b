"""Messages to and from the platform services."""

from enum import Enum
from typing import Annotated

import msgspec

from briarpond.ids import (
    DataCentre,
    FabricDomain,
    GroupId,
    Incarnation,
    InstanceId,
    ServiceName,
)
from briarpond.journal import GroupSpec

# A count of requests, and a fencing token, that the messages between nodes can carry.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
_Generation = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class ListedState(Enum):
    """State of an instance in the instance list.

    Attributes
    ----------
    LIVE
        The instance takes requests.
    LEAVING
        The instance drains: no new work may be given to it.
    """

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """Entry of the instance list.

    Attributes
    ----------
    instance : InstanceId
        Id of the instance; a restarted instance may keep it.
    service : ServiceName
        Service that the instance belongs to.
    address : str
        Address of the instance, ``host:port``.
    data_centre : DataCentre
        Data centre of the instance.
    domain : FabricDomain
        Fabric domain; the members of a group are in the same one.
    accelerators : int
        Number of accelerators of the instance.
    state : ListedState
        Whether the instance takes new work.
    fencing : bool
        Whether the engine refuses orders and requests of another generation.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    data_centre: DataCentre
    domain: FabricDomain
    accelerators: int
    state: ListedState
    fencing: bool = True


class InstanceList(msgspec.Struct, frozen=True):
    """The instance list; it lags behind the instances' actual state."""

    instances: tuple[ListedInstance, ...]


class EngineState(Enum):
    """State of an engine.

    Attributes
    ----------
    IDLE
        No order has been accepted since the start.
    LOADING
        The engine loads its part of the model of the last accepted order.
    READY
        That part is loaded.
    """

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"


class EngineLoad(msgspec.Struct, frozen=True):
    """Load that an engine reports; it lags behind the actual load.

    Attributes
    ----------
    running : int
        Requests for which tokens are being generated.
    queued : int
        Requests that wait for their first token.
    cache_used : float
        Part of the prefix cache that is in use, 0 to 1.
    """

    running: _Count = 0
    queued: _Count = 0
    cache_used: float = 0.0


class StatusReport(msgspec.Struct, frozen=True):
    """Status of an instance, as it answers to a probe.

    Attributes
    ----------
    instance : InstanceId
        Id of the instance.
    incarnation : Incarnation
        Identifies this run of the process; it changes with each restart.
    state : EngineState
        State of the engine.
    generation : int
        Fencing token of the last accepted order; 0 if there was none.
    group, spec : GroupId, GroupSpec or None
        Group and load of the last accepted order.
    in_flight : int
        Requests in progress, running and queued.
    load : EngineLoad
        Load, with a lag.
    """

    instance: InstanceId
    incarnation: Incarnation
    state: EngineState
    generation: _Generation = 0
    group: GroupId | None = None
    spec: GroupSpec | None = None
    in_flight: _Count = 0
    load: EngineLoad = EngineLoad()


class LoadOrder(msgspec.Struct, frozen=True):
    """Order to a member of a group to load its part of the model.

    Attributes
    ----------
    generation : int
        Fencing token of the group; an engine refuses an order with a lower one than
        it has accepted.
    group : GroupId
        Id of the group.
    spec : GroupSpec
        Model, version and adapters to load.
    rank : int
        Index of the member in the group; rank 0 is the head, which takes the requests.
    peers : tuple of str
        Addresses of all members in rank order.
    """

    generation: int
    group: GroupId
    spec: GroupSpec
    rank: int
    peers: tuple[str, ...]


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answer of an engine to an order.

    Attributes
    ----------
    accepted : bool
        Whether the engine carries the order out.
    generation : int
        Fencing token of the last accepted order.
    """

    accepted: bool
    generation: int


class AppendAnswer(msgspec.Struct, frozen=True):
    """Answer of the log to an append; `offset` is that of the new entry."""

    offset: int
