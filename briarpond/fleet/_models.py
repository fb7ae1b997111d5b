"""An instance and its membership in a group, as the instance registers them."""

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
    """State of an instance as a member of its group; the head's state is the group's.

    Attributes
    ----------
    JOINING
        Loading the model.
    READY
        The model is loaded; the group does not serve.
    OPEN
        Head only: the group takes requests.
    CLOSING
        Head only: running requests finish, new ones are refused.
    BROKEN
        Head only: a member is gone for longer than the stall time.
    """

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Membership(msgspec.Struct, frozen=True):
    """The group that an instance belongs to.

    Attributes
    ----------
    epoch : int
        Fencing token of the group.
    rank : int
        Position among the members; 0 is the head.
    """

    group: GroupId
    epoch: int
    rank: int
    state: MemberState


class Instance(msgspec.Struct, frozen=True):
    """An instance of a service, as the platform's store lists it.

    Attributes
    ----------
    address : Address
        Where it takes requests and orders.
    slots : int
        Requests that it runs at once.
    started_at_ms : int
        Start time in Unix milliseconds. A restart may keep the id but changes this.
    domain : FabricDomain
        Fabric domain; the members of a group are in one domain.
    staged_models : tuple of ModelName
        Models whose weights are stored on the host, so that they load quickly.
    model : ModelName or None
        Model that is loaded.
    membership : Membership or None
        Group that the instance belongs to; None if it is in no group.
    cold_left_s : float or None
        Seconds for which it stays cold after its entry was written; None if not known.
    sequence : int or None
        Number of the entry, which rises with each that the instance writes and starts anew with
        each start; None if not known.
    """

    id: InstanceId
    service: ServiceName
    address: Address
    data_centre: DataCentre
    state: InstanceState
    slots: int
    started_at_ms: int = 0
    domain: FabricDomain = FabricDomain("")
    staged_models: tuple[ModelName, ...] = ()
    model: ModelName | None = None
    membership: Membership | None = None
    cold_left_s: float | None = None
    sequence: int | None = None
