"""Types of the records on the log and of the objects that the fold builds from them.

Records are immutable. Each carries a unique `id`, under which its writer finds
the verdict and the fold recognises a second copy of the same append.

Fields that several records share:

- `at_ms`: wall-clock time of the writer, milliseconds since the Unix epoch; for
  the audit trail only; no decision of the fold depends on it;
- `incarnation`: identifier of one run of an instance or a node; a restart gives
  a new one;
- `generation`: position of the record that formed the group; it fences the group,
  since a group formed later has a higher one.
"""

from enum import Enum
from typing import Any

import msgspec

from briarpond.ids import (
    AccountId,
    DataCentre,
    DeploymentId,
    FabricDomain,
    GroupId,
    Incarnation,
    InstanceId,
    LeaseScope,
    NodeId,
    OperatorName,
    Position,
    RecordId,
    RequestKey,
)


class GroupSpec(msgspec.Struct, frozen=True):
    """Model that every member of a group loads.

    Attributes
    ----------
    model, version : str
        Name and version of the model.
    adapters : tuple
        Pairs of adapter name and adapter version.
    """

    model: str
    version: str
    adapters: tuple[tuple[str, str], ...] = ()


class Member(msgspec.Struct, frozen=True):
    """One instance in a group, as it was when the group was formed.

    Attributes
    ----------
    incarnation : str
        Run of the instance at that time; an instance that has restarted since
        does not count as present.
    address : str
        ``host:port`` of the instance.
    """

    instance: InstanceId
    incarnation: Incarnation
    address: str


class PatchSubmit(msgspec.Struct, frozen=True, tag="patch"):
    """Changes the configuration by an RFC 7396 merge patch of an operator.

    Attributes
    ----------
    actor : str
        Name of the operator.
    base_version : int
        Configuration version that the patch was written against; the patch is
        stale if another version is in force.
    patch : object
        Merge patch as a JSON tree.
    """

    id: RecordId
    actor: OperatorName
    base_version: int
    patch: Any
    at_ms: int


class GroupForm(msgspec.Struct, frozen=True, tag="form"):
    """Forms a group.

    Attributes
    ----------
    node : str
        Planner that wrote the record.
    domain : str
        Fabric domain of all members.
    members : tuple of Member
        Distinct instances, the head first.
    seen : int
        Position up to which the writer had folded the log. The record is stale
        if a member has joined or left a group after it.
    replaces : str or None
        Existing group that ends with this record and whose members may be taken
        over.
    """

    id: RecordId
    at_ms: int
    node: NodeId
    group: GroupId
    deployment: DeploymentId
    data_centre: DataCentre
    domain: FabricDomain
    spec: GroupSpec
    members: tuple[Member, ...]
    seen: Position
    replaces: GroupId | None = None


class GroupRetire(msgspec.Struct, frozen=True, tag="retire"):
    """Stops new work for a group, so that it can be dissolved once it is idle.

    Attributes
    ----------
    node : str
        Planner that wrote the record.
    generation : int
        Generation of the group that is meant; refused if it differs.
    reason : str
        Why the planner retires the group.
    """

    id: RecordId
    at_ms: int
    node: NodeId
    group: GroupId
    generation: Position
    reason: str


class GroupDissolve(msgspec.Struct, frozen=True, tag="dissolve"):
    """Ends a group and releases its members for other groups.

    Attributes
    ----------
    node : str
        Planner that wrote the record.
    generation : int
        Generation of the group that is meant; refused if it differs.
    reason : str
        Why the planner dissolves the group; shown in the audit trail.
    """

    id: RecordId
    at_ms: int
    node: NodeId
    group: GroupId
    generation: Position
    reason: str


class LeaseTake(msgspec.Struct, frozen=True, tag="lease"):
    """Takes or renews a lease by compare-and-set.

    Attributes
    ----------
    scope : str
        Name of the lease.
    holder, incarnation : str
        Node that takes the lease, and its run.
    previous : int
        Position of the last accepted take that the writer had folded, 0 for none;
        refused if the lease has been taken since.
    """

    id: RecordId
    scope: LeaseScope
    holder: NodeId
    incarnation: Incarnation
    previous: Position


class NodeJoin(msgspec.Struct, frozen=True, tag="join"):
    """Announces a node and its addresses; replaces an earlier incarnation.

    Attributes
    ----------
    region : str
        Region of the node's data centre.
    callers, peers : str
        ``host:port`` at which callers and other nodes reach the node.
    """

    id: RecordId
    at_ms: int
    node: NodeId
    incarnation: Incarnation
    data_centre: DataCentre
    region: str
    callers: str
    peers: str


class NodeLeave(msgspec.Struct, frozen=True, tag="leave"):
    """Announces that a node drains; its address is no longer given to callers.

    Attributes
    ----------
    actor : str
        Name that the audit trail records as the cause; at present the node itself.
    """

    id: RecordId
    at_ms: int
    node: NodeId
    incarnation: Incarnation
    actor: str


class NodeRemove(msgspec.Struct, frozen=True, tag="remove"):
    """Removes a node that has stopped, or with which other nodes have lost contact.

    Attributes
    ----------
    by : str
        Node that wrote the record: the removed node itself or a planner.
    """

    id: RecordId
    at_ms: int
    node: NodeId
    incarnation: Incarnation
    by: NodeId


class KeyClaim(msgspec.Struct, frozen=True, tag="claim"):
    """Claims an idempotency key for one node; the first claim on the log wins.

    Attributes
    ----------
    account : str
        Client account of the request.
    node, incarnation : str
        Node that may run the request, and its run.
    digest : str
        Digest of the request, to detect that a key is reused for another one.
    """

    id: RecordId
    key: RequestKey
    account: AccountId
    node: NodeId
    incarnation: Incarnation
    digest: str


class OperatorAction(msgspec.Struct, frozen=True, tag="action"):
    """Adds an operator's action other than a patch to the audit trail.

    Attributes
    ----------
    actor : str
        Name of the operator.
    action, target : str
        What was done, and to what.
    """

    id: RecordId
    actor: OperatorName
    action: str
    target: str
    at_ms: int


class SnapshotPart(msgspec.Struct, frozen=True, tag="snapshot"):
    """One part of a snapshot, which is larger than a single record may be.

    Attributes
    ----------
    snapshot : str
        Name of the snapshot, the same in all its parts.
    through : int
        Position up to which the snapshot's state is folded.
    index, count : int
        Number of this part from 0, and the number of parts.
    digest : str
        SHA-256 of the joined data of all parts, in hexadecimal.
    data : bytes
        This part of the compressed state.
    """

    id: RecordId
    snapshot: str
    through: Position
    index: int
    count: int
    digest: str
    data: bytes


Record = (
    PatchSubmit
    | GroupForm
    | GroupRetire
    | GroupDissolve
    | LeaseTake
    | NodeJoin
    | NodeLeave
    | NodeRemove
    | KeyClaim
    | OperatorAction
    | SnapshotPart
)


class EntryContent(msgspec.Struct, frozen=True):
    """Content of one log entry: the records of one append."""

    records: tuple[Record, ...]


class LogEntry(msgspec.Struct, frozen=True):
    """An entry as read back from the log.

    Attributes
    ----------
    offset : int
        Offset that the log assigned to the entry.
    value : str
        Content of the entry, an `EntryContent` as JSON text.
    """

    offset: int
    value: str


class VerdictCode(Enum):
    """Decision of the fold about a record.

    ACCEPTED : the record took effect.
    DUPLICATE : kept for stored data; the fold gives it to no record.
    STALE : the writer's view of the state was outdated.
    INVALID : the content of the record is not acceptable.
    TAKEN : what the record asks for already belongs to another owner.
    UNKNOWN_TARGET : the record names an object that does not exist (any more).
    """

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    STALE = "stale"
    INVALID = "invalid"
    TAKEN = "taken"
    UNKNOWN_TARGET = "unknown-target"


class Verdict(msgspec.Struct, frozen=True):
    """Decision about one record, the same on every node.

    Attributes
    ----------
    position : int
        Position of the record.
    version : int
        Configuration version in force after the record.
    detail : str
        Reason for a refusal, empty if accepted.
    """

    code: VerdictCode
    position: Position
    version: int
    detail: str = ""

    @property
    def accepted(self) -> bool:
        """Whether the record took effect."""
        return self.code is VerdictCode.ACCEPTED


class GroupPhase(Enum):
    """Phase of a group.

    FORMED : the group may take new work.
    RETIRING : the group takes no new work and is dissolved once it is idle.
    """

    FORMED = "formed"
    RETIRING = "retiring"


class Group(msgspec.Struct, frozen=True):
    """A group that exists in the folded state.

    Attributes
    ----------
    domain : str
        Fabric domain of all members.
    members : tuple of Member
        The head first.
    generation : int
        Position of the record that formed the group; its fencing token.
    """

    id: GroupId
    deployment: DeploymentId
    data_centre: DataCentre
    domain: FabricDomain
    spec: GroupSpec
    members: tuple[Member, ...]
    generation: Position
    phase: GroupPhase = GroupPhase.FORMED


class NodeStage(Enum):
    """Stage of a node.

    LIVE : the node's address is given to callers.
    LEAVING : the node drains.
    """

    LIVE = "live"
    LEAVING = "leaving"


class Node(msgspec.Struct, frozen=True):
    """A node that has joined.

    Attributes
    ----------
    callers, peers : str
        ``host:port`` at which callers and other nodes reach the node.
    position : int
        Position of the record by which the node joined.
    """

    id: NodeId
    incarnation: Incarnation
    data_centre: DataCentre
    region: str
    callers: str
    peers: str
    stage: NodeStage
    position: Position


class Lease(msgspec.Struct, frozen=True):
    """Holder of a lease.

    Attributes
    ----------
    position : int
        Position of the last accepted take or renewal.
    """

    holder: NodeId
    incarnation: Incarnation
    position: Position


class Claim(msgspec.Struct, frozen=True):
    """Claim of an idempotency key: only this run of the node may run the request.

    Attributes
    ----------
    account : str
        Client account of the request.
    digest : str
        Digest of the request, to detect that a key is reused for another one.
    position : int
        Position of the record that made the claim.
    """

    account: AccountId
    node: NodeId
    incarnation: Incarnation
    digest: str
    position: Position
