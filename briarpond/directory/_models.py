"""Messages between nodes: heartbeats, with loads, demand and the plan, and their answers.

The wire types of the same content are generated from ``beats.thrift``; there a heartbeat is
called `Beat` and its answer `Echo`.
"""

import msgspec

from briarpond.ids import DataCentre, GroupId, InstanceId, NodeId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName


class ServerInFlight(msgspec.Struct, frozen=True):
    """Requests that the sender has in flight at one backend server.

    Attributes
    ----------
    instance : InstanceId
        The plain server, or the head of the group.
    in_flight : int
        Number of requests sent that have not ended.
    unread_tokens : int
        Prompt tokens of those that have not sent their first event.
    """

    instance: InstanceId
    in_flight: int
    unread_tokens: int


class ModelDemand(msgspec.Struct, frozen=True):
    """Demand for a model from the requests to the sender.

    Attributes
    ----------
    model : ModelName
        Name of the model.
    groups : float
        Number of groups that the requests would fill.
    """

    model: ModelName
    groups: float


class GroupTarget(msgspec.Struct, frozen=True):
    """A group that requests may be sent to.

    Attributes
    ----------
    group : GroupId
        Name of the group.
    epoch : int
        Fencing token of the group.
    model : ModelName
        Model that the group serves.
    head : InstanceId
        Member that takes the requests.
    address : Address
        Address of the head.
    """

    group: GroupId
    epoch: int
    model: ModelName
    head: InstanceId
    address: Address


class PlainServerTarget(msgspec.Struct, frozen=True):
    """A plain server that requests may be sent to.

    Attributes
    ----------
    instance : InstanceId
        The server.
    service : ServiceName
        Service that it belongs to.
    address : Address
        Where it takes requests.
    data_centre : DataCentre
        Where it runs.
    slots : int
        Requests that it runs at once.
    """

    instance: InstanceId
    service: ServiceName
    address: Address
    data_centre: DataCentre
    slots: int


class RoutingTargets(msgspec.Struct, frozen=True):
    """All groups and plain servers that requests may be sent to."""

    groups: tuple[GroupTarget, ...] = ()
    servers: tuple[PlainServerTarget, ...] = ()


class Plan(msgspec.Struct, frozen=True):
    """What the planner publishes: the routing targets under a number.

    Attributes
    ----------
    term : int
        Term of the lease under which the plan was made.
    sequence : int
        Number of the plan within the term; it rises when the targets change. The plan with
        the highest term and, within it, the highest sequence is the newest.
    list_is_current : bool
        Whether the planner's view of the instance list is recent. If not, the other nodes
        read the list themselves. On the wire: `fresh`.
    targets : RoutingTargets or None
        The targets; None if the plan of this term and sequence was sent before and stays in
        force.
    """

    term: int
    sequence: int
    list_is_current: bool
    targets: RoutingTargets | None


class Heartbeat(msgspec.Struct, frozen=True):
    """Heartbeat of a node, with its load, its demand and, from the planner, the plan.

    Attributes
    ----------
    node : NodeId
        Name of the sender.
    caller_address : Address
        Where the sender takes callers' requests. Its host also receives heartbeats.
    data_centre : DataCentre
        Where the sender runs.
    ready : bool
        Whether callers should connect to the sender.
    leaving : bool
        Whether the sender is about to stop.
    servers : tuple of ServerInFlight
        Requests that the sender has in flight, by backend server.
    demand : tuple of ModelDemand
        Demand for models from the requests to the sender.
    stalled : tuple of InstanceId
        Backend servers that the sender newly found stalled, slow or unreachable. The
        receiver avoids them for a while; the planner probes the members of their groups.
    plan : Plan or None
        Set only by the planner.
    candidate : bool
        Whether the sender applies for the planner's lease and reaches the store.
    clock_ms : int
        Time of the sender's own clock, in milliseconds, which the answer repeats; 0 if not
        given, and then there is no answer.
    config_version : int
        Version of the sender's configuration in force; 0 if it has none.
    """

    node: NodeId
    caller_address: Address
    data_centre: DataCentre
    ready: bool
    leaving: bool
    servers: tuple[ServerInFlight, ...] = ()
    demand: tuple[ModelDemand, ...] = ()
    stalled: tuple[InstanceId, ...] = ()
    plan: Plan | None = None
    candidate: bool = False
    clock_ms: int = 0
    config_version: int = 0


class ConfigConfirmation(msgspec.Struct, frozen=True):
    """Answer to a heartbeat: confirms which configuration was the newest, and when.

    The receiver concludes that the configuration was the newest at `clock_ms` - `age_ms` of
    its own clock, so that the clocks of the two nodes need not agree.

    Attributes
    ----------
    clock_ms : int
        Time of the receiver's clock, repeated from its heartbeat.
    config_version : int
        Version of the sender's configuration in force.
    age_ms : int
        Milliseconds from the time at which it was last confirmed to be the newest until that
        heartbeat arrived.
    """

    clock_ms: int
    config_version: int
    age_ms: int
