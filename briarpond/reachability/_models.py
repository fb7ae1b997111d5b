"""What the checks of a node's links consist of, and what they lead to."""

from enum import Enum

import msgspec

from briarpond.ids import DataCentre, InstanceId
from briarpond.net import Address

# A check that is not answered for this long has failed, in seconds.
CHECK_TIMEOUT_S = 0.25


class LinkState(Enum):
    """What a node knows of its links to the backend servers.

    Attributes
    ----------
    REACHING
        Nothing speaks against them.
    IN_DOUBT
        A server failed, and checks of others are under way.
    CUT_OFF
        All checked servers failed.
    """

    REACHING = "reaching"
    IN_DOUBT = "in_doubt"
    CUT_OFF = "cut_off"


class LossKind(Enum):
    """What a node does about a loss, and holds until it knows that its links are sound.

    Attributes
    ----------
    CRASH
        Evidence against the prompts that a server was reading when it ended.
    INSTANCE
        The planner closes the group of a member that does not answer.
    STALL
        Other nodes are told to avoid a server.
    """

    CRASH = "crash"
    INSTANCE = "instance"
    STALL = "stall"


class Verdict(Enum):
    """What is to become of the report of a loss that this node has seen.

    Attributes
    ----------
    HOLD
        It is not known yet whether this node's links were the cause.
    BELIEVE
        This node has reached another server since.
    DROP
        This node was cut off.
    """

    HOLD = "hold"
    BELIEVE = "believe"
    DROP = "drop"


class CheckTarget(msgspec.Struct, frozen=True):
    """A backend server that may be checked.

    Attributes
    ----------
    server : InstanceId
        The server.
    address : Address
        Where it takes connections.
    data_centre : DataCentre
        Where it runs; empty if unknown.
    """

    server: InstanceId
    address: Address
    data_centre: DataCentre = DataCentre("")


class Check(msgspec.Struct, frozen=True):
    """One check: a new connection to a server, which is answered if it is established.

    Attributes
    ----------
    target : CheckTarget
        The server.
    began_at : float
        Time at which the check began.
    """

    target: CheckTarget
    began_at: float
