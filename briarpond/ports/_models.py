"""Messages exchanged with the services of the platform."""

from enum import Enum

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


class InstanceState(Enum):
    """State of an instance in the lagging list."""

    LIVE = "live"
    LEAVING = "leaving"


class FleetInstance(msgspec.Struct, frozen=True):
    """One backend instance as the list shows it."""

    instance: InstanceId
    service: ServiceName
    address: str
    data_centre: DataCentre
    domain: FabricDomain
    accelerators: int
    state: InstanceState
    fencing: bool = True


class FleetList(msgspec.Struct, frozen=True):
    """The lagging list of instances."""

    instances: tuple[FleetInstance, ...]


class EngineState(Enum):
    """What an engine says of itself."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"


class EngineLoad(msgspec.Struct, frozen=True):
    """Load that an engine reports, with a lag.

    Attributes
    ----------
    running : int
        Requests that are being answered.
    queued : int
        Requests that wait for their first token.
    cache_used : float
        Part of the prefix cache in use, 0 to 1.
    """

    running: int = 0
    queued: int = 0
    cache_used: float = 0.0


class StatusReport(msgspec.Struct, frozen=True):
    """Status that one instance gives of itself.

    Attributes
    ----------
    generation : int
        Fencing number of the last order it took, 0 before any.
    in_flight : int
        Requests that it is serving now.
    """

    instance: InstanceId
    incarnation: Incarnation
    state: EngineState
    generation: int = 0
    group: GroupId | None = None
    spec: GroupSpec | None = None
    in_flight: int = 0
    load: EngineLoad = EngineLoad()


class LoadOrder(msgspec.Struct, frozen=True):
    """Order to one member to load its part of a group.

    Attributes
    ----------
    rank : int
        Place of the member in the group; rank 0 takes the requests.
    peers : tuple of str
        Addresses of all members in rank order.
    """

    generation: int
    group: GroupId
    spec: GroupSpec
    rank: int
    peers: tuple[str, ...]


class OrderAnswer(msgspec.Struct, frozen=True):
    """Whether an engine took an order, and the generation it holds."""

    accepted: bool
    generation: int


class AppendAnswer(msgspec.Struct, frozen=True):
    """Offset that the log gave to an entry."""

    offset: int
