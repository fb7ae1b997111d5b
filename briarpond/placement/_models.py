"""Orders to instances, and the state that the planner keeps for each group."""

from enum import Enum

import msgspec

from briarpond.ids import GroupId, InstanceId
from briarpond.net import Address
from briarpond.routes import ModelName


class OrderKind(Enum):
    """Operation that an order asks an instance to carry out.

    Attributes
    ----------
    JOIN
        Become a member of a group and load its model.
    OPEN
        Start serving requests; sent to the head only.
    CLOSE_WAIT
        Stop taking requests and let the running ones finish; sent to the head only.
    CLOSE_CUT
        Stop taking requests and abort the running ones; sent to the head only.
    LEAVE
        End the membership.
    """

    JOIN = "join"
    OPEN = "open"
    CLOSE_WAIT = "close_wait"
    CLOSE_CUT = "close_cut"
    LEAVE = "leave"


class Order(msgspec.Struct, frozen=True):
    """One order to one instance, for a group under its epoch.

    Attributes
    ----------
    instance : InstanceId
        Instance that is to carry out the order.
    address : Address
        Where the order is sent.
    epoch : int
        Fencing token of the group; instances reject orders of an outdated epoch.
    members : tuple of InstanceId
        All members of the group by rank, head first; empty for an order to leave a
        group that this planner does not keep.
    """

    kind: OrderKind
    instance: InstanceId
    address: Address
    group: GroupId
    epoch: int
    model: ModelName
    members: tuple[InstanceId, ...]


class GroupStage(Enum):
    """Stage of a group in the planner's life cycle.

    The values are written to the log.

    Attributes
    ----------
    STAGING
        Loads a model onto a spare. The group has this one member and is never opened:
        joining makes the instance load the model, so that its next join of a group of
        that model is short.
    JOINING
        The members are asked to join and load the model.
    OPENING
        All members are ready; the head is asked to open.
    OPEN
        The head serves requests, or is about to (see `PlannedGroup.serves_from`).
    CLOSING
        The head is asked to stop serving.
    HEAD_LOST
        The head cannot be reached or is no longer listed; the other members are asked
        to leave.
    """

    STAGING = "preparing"
    JOINING = "joining"
    OPENING = "opening"
    OPEN = "open"
    CLOSING = "closing"
    HEAD_LOST = "head_lost"


# First letter of the names of groups that only stage a model, and of those that serve. A later
# planner tells by it that no planner has ordered a group to open.
STAGING_PREFIX = "s"
SERVING_PREFIX = "g"


def is_staging_name(group: GroupId) -> bool:
    """Whether a group was formed only to stage a model, by the name that a planner gave it."""
    return group.startswith(STAGING_PREFIX)


class PlannedGroup(msgspec.Struct):
    """A group that the planner forms, keeps or dissolves.

    All times are monotonic, in seconds.

    Attributes
    ----------
    epoch : int
        Fencing token of the group, unique to it.
    members : tuple of InstanceId
        Members by rank; the first one is the head.
    stage_entered_at : float
        When the group entered its stage.
    ready_members : set of InstanceId
        Members that were seen ready under this name and epoch.
    left_members : set of InstanceId
        Members that confirmed that they left while the head was lost. They may join
        other groups. A member is removed from the set when the list shows it in this
        group again, which happens if an order to join is carried out late.
    serves_from : float
        Time from which an open group takes requests.
    last_order_at : dict
        When each member was last sent the order of this stage.
    join_overdue_at : dict
        Time from which a member's accepted join is overdue, and the order is sent again.
    abort_requests : bool
        Whether closing aborts running requests instead of letting them finish.
    close_answered : bool
        Whether the head has answered that it closed, and must leave the group all the same.
    opens_unanswered : int
        Orders to open without an answer, which may still be carried out.
    may_open_late : bool
        Whether an earlier planner may have ordered the head to open. Once the group is closed,
        the head must leave it, so that this order finds it in no group.
    opening_until : float
        Time until which an accepted order to open may still take effect.
    head_listed_serving : bool
        Whether the list has shown the head open or closing. Only then does an entry that shows
        it ready tell that it has closed; before, the entry may be from before it opened.
    join_deadline : float
        Time after which joining counts as failed and the group is abandoned.
    expected_join_s : float
        Time that the slowest member is expected to take to join.
    """

    id: GroupId
    epoch: int
    model: ModelName
    members: tuple[InstanceId, ...]
    stage: GroupStage
    stage_entered_at: float
    ready_members: set[InstanceId] = msgspec.field(default_factory=set)
    left_members: set[InstanceId] = msgspec.field(default_factory=set)
    serves_from: float = 0.0
    last_order_at: dict[InstanceId, float] = msgspec.field(default_factory=dict)
    join_overdue_at: dict[InstanceId, float] = msgspec.field(default_factory=dict)
    abort_requests: bool = True
    close_answered: bool = False
    opens_unanswered: int = 0
    may_open_late: bool = False
    opening_until: float = 0.0
    head_listed_serving: bool = False
    join_deadline: float = 0.0
    expected_join_s: float = 0.0

    @property
    def head(self) -> InstanceId:
        """Return the member that takes requests."""
        return self.members[0]

    def enter_stage(self, stage: GroupStage, now: float) -> None:
        """Change the stage; orders of the new stage are sent without delay."""
        self.stage = stage
        self.stage_entered_at = now
        self.last_order_at.clear()
