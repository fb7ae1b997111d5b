"""Orders to instances, and groups as the planner knows them."""

from enum import Enum

import msgspec

from briarpond.ids import GroupId, InstanceId
from briarpond.net import Address
from briarpond.routes import ModelName


class OrderKind(Enum):
    """What an instance is told to do."""

    JOIN = "join"
    OPEN = "open"
    CLOSE_WAIT = "close_wait"
    CLOSE_CUT = "close_cut"
    LEAVE = "leave"


class Order(msgspec.Struct, frozen=True):
    """One order to one instance, for a group under its epoch."""

    kind: OrderKind
    instance: InstanceId
    address: Address
    group: GroupId
    epoch: int
    model: ModelName
    members: tuple[InstanceId, ...]


class Stage(Enum):
    """How far the planner has come with a group.

    PREPARING groups have one member and are never opened: joining makes an
    instance load a model, so that its next join of that model is short.
    """

    PREPARING = "preparing"
    JOINING = "joining"
    OPENING = "opening"
    OPEN = "open"
    CLOSING = "closing"
    HEAD_LOST = "head_lost"


class PlannedGroup(msgspec.Struct):
    """A group that the planner forms, keeps or dissolves.

    Attributes
    ----------
    ready : set
        Members that were seen ready under this name and epoch.
    since : float
        When the group entered its stage.
    left : set
        Members that confirmed to have left while the head was lost; kept until the
        list shows one of them back, which a late order to join can bring about.
    opens_at : float
        From when an opened group serves.
    last_order : dict
        When each member was last sent the order of this stage.
    due : dict
        From when a member's accepted join counts as overdue.
    cut : bool
        Whether closing ends running requests, because a member is lost.
    may_open_late : bool
        Whether an order to open got no answer, and may still be carried out.
    late_at : float
        From when joining counts as failed.
    join_s : float
        How long the slowest member should take to join.
    """

    id: GroupId
    epoch: int
    model: ModelName
    members: tuple[InstanceId, ...]
    stage: Stage
    since: float
    ready: set[InstanceId] = msgspec.field(default_factory=set)
    left: set[InstanceId] = msgspec.field(default_factory=set)
    opens_at: float = 0.0
    last_order: dict[InstanceId, float] = msgspec.field(default_factory=dict)
    due: dict[InstanceId, float] = msgspec.field(default_factory=dict)
    cut: bool = True
    may_open_late: bool = False
    late_at: float = 0.0
    join_s: float = 0.0

    @property
    def head(self) -> InstanceId:
        """The member that takes requests."""
        return self.members[0]

    def enter(self, stage: Stage, now: float) -> None:
        """Go on to another stage."""
        self.stage = stage
        self.since = now
        self.last_order.clear()
