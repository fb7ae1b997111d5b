"""Messages between nodes, and what they carry: members, loads, demand and the plan.

The wire types of the same content are generated from ``exchange.thrift``.
"""

import msgspec

from briarpond.ids import DataCentre, GroupId, InstanceId, NodeId, ServiceName
from briarpond.net import Address
from briarpond.quarantine import Evidence
from briarpond.routes import ModelName

from ._version import CURRENT_VERSION

# Largest era of the store: numbers that begin with an era, like epochs of groups, fit into 63 bits.
MAX_STORE_ERA = 800_000


class ServerInFlight(msgspec.Struct, frozen=True):
    """Requests that one node, or all nodes of a data centre, have in flight at a server.

    Attributes
    ----------
    instance : InstanceId
        The plain server, or the head of the group.
    in_flight : int
        Number of requests sent that have not ended.
    unread_tokens : int
        Prompt tokens of those that have not sent their first event.
    unwritten_tokens : int or None
        Tokens that their answers are expected to have yet; None if a node does not tell them.
    """

    instance: InstanceId
    in_flight: int
    unread_tokens: int
    unwritten_tokens: int | None = None


class ModelDemand(msgspec.Struct, frozen=True):
    """Demand for a model at one service.

    Attributes
    ----------
    model : ModelName
        Name of the model.
    groups : float
        Number of groups that the requests would fill.
    service : ServiceName
        Service that the requests go to; empty if a node does not tell it.
    """

    model: ModelName
    groups: float
    service: ServiceName = ServiceName("")


class Load(msgspec.Struct, frozen=True):
    """Requests in flight and demand, of one node or summed over several.

    Attributes
    ----------
    servers : tuple of ServerInFlight
        Requests in flight, by backend server.
    demand : tuple of ModelDemand
        Demand for models.
    """

    servers: tuple[ServerInFlight, ...] = ()
    demand: tuple[ModelDemand, ...] = ()


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
    data_centre : DataCentre
        Where the head runs; empty if unknown.
    cold : bool
        Whether the head is cold and takes few requests.
    service : ServiceName
        Service that the members belong to; empty if the planner does not tell it. Requests for
        another service must not be sent to the group, whatever model it serves.
    size : int
        Number of members; 0 if the planner does not tell it. Nothing is sent to a group of another
        size than the configuration in force gives its model.
    """

    group: GroupId
    epoch: int
    model: ModelName
    head: InstanceId
    address: Address
    data_centre: DataCentre = DataCentre("")
    cold: bool = False
    service: ServiceName = ServiceName("")
    size: int = 0


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
    cold : bool
        Whether it is cold and takes few requests.
    """

    instance: InstanceId
    service: ServiceName
    address: Address
    data_centre: DataCentre
    slots: int
    cold: bool = False


class RoutingTargets(msgspec.Struct, frozen=True):
    """All groups and plain servers that requests may be sent to."""

    groups: tuple[GroupTarget, ...] = ()
    servers: tuple[PlainServerTarget, ...] = ()


class PlanVersion(msgspec.Struct, frozen=True, order=True):
    """Version of a plan: a later term, and within it a higher sequence, is newer.

    Attributes
    ----------
    term : int
        Term of the lease under which the plan was made.
    sequence : int
        Number of the plan within the term; it rises when the targets change.
    """

    term: int = 0
    sequence: int = 0


class Plan(msgspec.Struct, frozen=True):
    """A plan as a node puts it into force, or the confirmation of one.

    Attributes
    ----------
    term : int
        Term of the lease under which the plan was made.
    sequence : int
        Number of the plan within the term.
    list_is_current : bool
        Whether the planner's view of the instance list is recent. If not, the other nodes
        read the list themselves.
    targets : RoutingTargets or None
        The targets; None if this only confirms the plan of this term and sequence.
    """

    term: int
    sequence: int
    list_is_current: bool
    targets: RoutingTargets | None


class PlanDelta(msgspec.Struct, frozen=True):
    """Changes that lead from one version of a plan to a later one of the same term.

    Attributes
    ----------
    version : PlanVersion
        Version that results.
    base : int or None
        Sequence that the changes apply to, or any later one; None if the delta is a whole
        plan.
    groups : tuple of GroupTarget
        Groups that were added or changed.
    servers : tuple of PlainServerTarget
        Plain servers that were added or changed.
    removed : tuple of str
        Names of the groups and plain servers that were removed.
    """

    version: PlanVersion
    base: int | None
    groups: tuple[GroupTarget, ...]
    servers: tuple[PlainServerTarget, ...]
    removed: tuple[str, ...]


class PlanStatus(msgspec.Struct, frozen=True):
    """Which plan the sender has, and how old its knowledge of it is.

    Attributes
    ----------
    version : PlanVersion
        Version of the plan.
    age_s : float
        Seconds since the planner confirmed that this is its plan.
    list_age_s : float
        Seconds since the planner had followed the instance list without a gap.
    planner : NodeId
        Node that made the plan.
    """

    version: PlanVersion
    age_s: float
    list_age_s: float
    planner: NodeId


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """How far a topic of the store is known: a later era, and within it a higher offset, is newer.

    Attributes
    ----------
    era : int
        Era of the store, which rises when it comes back from a copy; 0 if it tells none. Offsets
        of an earlier era are given out again.
    offset : int
        Offset of the first record that is not known.
    """

    era: int = 0
    offset: int = 0


class ConfigStatus(msgspec.Struct, frozen=True):
    """Which configuration the sender has in force.

    Attributes
    ----------
    version : int
        Version of the configuration.
    age_s : float
        Seconds since it was certainly the newest.
    position : StorePosition or None
        Position up to which the sender has applied the operator's records; None if it is not
        known.
    """

    version: int
    age_s: float
    position: StorePosition | None = None


class ConfigRecord(msgspec.Struct, frozen=True):
    """Record of the configuration in the store, as one node passes it to another.

    Attributes
    ----------
    offset : int
        Offset of the record in its topic.
    age_s : float
        Seconds since it was certainly the newest.
    value : bytes
        Value of the record, compressed while it is under way.
    position : StorePosition or None
        Position up to which the operator's records are contained; None if it is not known.
    evacuated : frozenset of DataCentre
        Data centres that are evacuated as of `position`.
    """

    offset: int
    age_s: float
    value: bytes
    position: StorePosition | None = None
    evacuated: frozenset[DataCentre] = frozenset()


class Member(msgspec.Struct, frozen=True):
    """A node of the system, as it describes itself.

    Attributes
    ----------
    node : NodeId
        Name of the node.
    incarnation : int
        Rises with each start of the node's process.
    revision : int
        Rises with each change of the other fields within an incarnation.
    caller_address : Address
        Where the node takes callers' requests. Its host also receives datagrams.
    data_centre : DataCentre
        Where the node runs.
    ready : bool
        Whether callers should connect to the node.
    leaving : bool
        Whether the node is about to stop.
    candidate : bool
        Whether the node applies for the planner's lease and reaches the store.
    gone : bool
        Whether a relay no longer hears the node. Only this field is set by other nodes.
    planning : bool
        Whether the node plans at present.
    cut_off : bool or None
        Whether the node reaches no backend servers at present, while others may reach them. None
        if it doesn't tell, like one of an earlier release, which takes no requests of others.
    exchange_version : int
        Version of the exchange that the node knows, see `ExchangeVersion`.
    """

    node: NodeId
    incarnation: int
    revision: int
    caller_address: Address
    data_centre: DataCentre
    ready: bool
    leaving: bool
    candidate: bool = False
    gone: bool = False
    planning: bool = False
    cut_off: bool | None = False
    exchange_version: int = CURRENT_VERSION


class Pull(msgspec.Struct, frozen=True):
    """Request for everything that has changed at the receiver since `cursor`.

    Attributes
    ----------
    sender : Member
        The node that asks.
    clock_ms : int
        Time of the sender's clock, which the answer repeats.
    table : int
        Incarnation of the receiver to which `cursor` belongs; 0 at the first pull.
    cursor : int
        Position in the receiver's changes up to which the sender knows them.
    plan : PlanVersion
        Version of the plan that the sender has.
    config_version : int
        Version of the sender's configuration in force; 0 if it has none.
    load : Load
        The sender's own requests in flight and demand.
    evidence : Evidence or None
        What the sender knows of prompt parts that end servers; None if nothing is new.
    config_position : StorePosition or None
        Position up to which the sender has applied the operator's records; None if it is not
        known.
    """

    sender: Member
    clock_ms: int
    table: int
    cursor: int
    plan: PlanVersion
    config_version: int
    load: Load
    evidence: Evidence | None = None
    config_position: StorePosition | None = None


class Answer(msgspec.Struct, frozen=True):
    """Answer to a pull.

    Attributes
    ----------
    sender : Member
        The node that answers.
    clock_ms : int
        Repeated from the pull.
    table, cursor : int
        What the next pull of the same node should state.
    more : bool
        Whether there are more changes than fit into the answer.
    members : tuple of Member
        Members that have changed since the cursor of the pull.
    ages_s : dict
        For each data centre, the seconds since one of its relays vouched that all its
        members that are not marked as gone are alive.
    load : Load or None
        Requests in flight and demand: to a node of the same data centre, those of all
        nodes; to another, those of the sender's data centre. None from a node that is not
        a relay.
    plan : PlanStatus or None
        The sender's plan; None if it has none.
    delta : PlanDelta or None
        Changes to the plan if that of the pull is older.
    config : ConfigStatus or None
        The sender's configuration; None if it has none or does not know its age.
    evidence : Evidence or None
        As in a pull.
    """

    sender: Member
    clock_ms: int
    table: int
    cursor: int
    more: bool
    members: tuple[Member, ...]
    ages_s: dict[DataCentre, float]
    load: Load | None
    plan: PlanStatus | None
    delta: PlanDelta | None
    config: ConfigStatus | None
    evidence: Evidence | None = None


class Notice(msgspec.Struct, frozen=True):
    """What other nodes should learn at once, without being asked.

    Attributes
    ----------
    sender : Member
        The node that sends or passes on the notice.
    stalled : tuple of InstanceId
        Backend servers that were newly found stalled, slow or unreachable. The receiver
        avoids them for a while; the planner probes the members of their groups.
    config_version : int
        Version of the sender's configuration in force; 0 if it has none.
    plan : PlanStatus or None
        Status of the plan in `delta`.
    delta : PlanDelta or None
        Changes to the plan.
    relayed : bool
        Whether a relay has passed the notice on; it is not passed on again.
    evidence : Evidence or None
        Prompt parts that the sender has just put in quarantine.
    config_position : StorePosition or None
        As in a pull.
    """

    sender: Member
    stalled: tuple[InstanceId, ...] = ()
    config_version: int = 0
    plan: PlanStatus | None = None
    delta: PlanDelta | None = None
    relayed: bool = False
    evidence: Evidence | None = None
    config_position: StorePosition | None = None
