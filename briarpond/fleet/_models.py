"""One instance as it describes itself."""

from enum import Enum

import msgspec

from briarpond.ids import DataCentre, FabricDomain, GroupId, InstanceId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName


class InstanceState(Enum):
    """Whether an instance takes new work."""

    READY = "ready"
    DRAINING = "draining"


class MemberState(Enum):
    """How far an instance is as a member of its group; the head's state is the group's."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Membership(msgspec.Struct, frozen=True):
    """The group that an instance belongs to; rank 0 is the head."""

    group: GroupId
    epoch: int
    rank: int
    state: MemberState


class Instance(msgspec.Struct, frozen=True):
    """An instance of a service.

    Attributes
    ----------
    born_ms : int
        Start of this life, in Unix milliseconds; a restart may keep the id.
    staged : tuple of ModelName
        Models whose weights lie on the host.
    model : ModelName or None
        Model that is loaded.
    """

    id: InstanceId
    service: ServiceName
    address: Address
    data_centre: DataCentre
    state: InstanceState
    slots: int
    born_ms: int = 0
    domain: FabricDomain = FabricDomain("")
    staged: tuple[ModelName, ...] = ()
    model: ModelName | None = None
    membership: Membership | None = None
