"""Record types on the log and the aggregates that the fold keeps.

Every record carries a unique `id` under which its writer finds the verdict,
and is immutable.
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
    """What every member of a group loads."""

    model: str
    version: str
    adapters: tuple[tuple[str, str], ...] = ()


class Member(msgspec.Struct, frozen=True):
    """One instance in a group, as it was when the group was formed."""

    instance: InstanceId
    incarnation: Incarnation
    address: str


class PatchSubmit(msgspec.Struct, frozen=True, tag="patch"):
    """An operator's RFC 7396 patch against a configuration version."""

    id: RecordId
    actor: OperatorName
    base_version: int
    patch: Any
    at_ms: int


class GroupForm(msgspec.Struct, frozen=True, tag="form"):
    """Forms a group; `seen` is the position up to which the writer had folded."""

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
    """Stops new work for a group so that it can be dissolved when idle."""

    id: RecordId
    at_ms: int
    node: NodeId
    group: GroupId
    generation: Position
    reason: str


class GroupDissolve(msgspec.Struct, frozen=True, tag="dissolve"):
    """Ends a group and gives its instances back."""

    id: RecordId
    at_ms: int
    node: NodeId
    group: GroupId
    generation: Position
    reason: str


class LeaseTake(msgspec.Struct, frozen=True, tag="lease"):
    """Takes or renews a lease; accepted if the lease has not changed since `previous`."""

    id: RecordId
    scope: LeaseScope
    holder: NodeId
    incarnation: Incarnation
    previous: Position


class NodeJoin(msgspec.Struct, frozen=True, tag="join"):
    """Announces a node and its addresses."""

    id: RecordId
    at_ms: int
    node: NodeId
    incarnation: Incarnation
    data_centre: DataCentre
    region: str
    callers: str
    peers: str


class NodeLeave(msgspec.Struct, frozen=True, tag="leave"):
    """Announces that a node drains; its address is no longer given out."""

    id: RecordId
    at_ms: int
    node: NodeId
    incarnation: Incarnation
    actor: str


class NodeRemove(msgspec.Struct, frozen=True, tag="remove"):
    """Removes a node that has stopped or has been silent for long."""

    id: RecordId
    at_ms: int
    node: NodeId
    incarnation: Incarnation
    by: NodeId


class KeyClaim(msgspec.Struct, frozen=True, tag="claim"):
    """Claims an idempotency key for one node; the first position wins."""

    id: RecordId
    key: RequestKey
    account: AccountId
    node: NodeId
    incarnation: Incarnation
    digest: str


class OperatorAction(msgspec.Struct, frozen=True, tag="action"):
    """Notes an operator's action other than a patch in the audit trail."""

    id: RecordId
    actor: OperatorName
    action: str
    target: str
    at_ms: int


class SnapshotPart(msgspec.Struct, frozen=True, tag="snapshot"):
    """One part of a snapshot of the state through position `through`."""

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


class Entry(msgspec.Struct, frozen=True):
    """What one append carries: one or more records."""

    records: tuple[Record, ...]


class LogEntry(msgspec.Struct, frozen=True):
    """An entry as read back from the log.

    Attributes
    ----------
    offset : int
        Offset that the log gave it.
    value : str
        JSON text of an `Entry`.
    """

    offset: int
    value: str


class VerdictCode(Enum):
    """What the fold decided about a record."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    STALE = "stale"
    INVALID = "invalid"
    TAKEN = "taken"
    UNKNOWN_TARGET = "unknown-target"


class Verdict(msgspec.Struct, frozen=True):
    """The decision about one record, the same on every node.

    Attributes
    ----------
    code : VerdictCode
        The decision.
    position : int
        Where the record stands.
    version : int
        Configuration version after the record.
    detail : str
        Reason, empty when accepted.
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
    """Life of a group in the fold."""

    FORMED = "formed"
    RETIRING = "retiring"


class Group(msgspec.Struct, frozen=True):
    """A group in force; `generation` is its fencing number."""

    id: GroupId
    deployment: DeploymentId
    data_centre: DataCentre
    domain: FabricDomain
    spec: GroupSpec
    members: tuple[Member, ...]
    generation: Position
    phase: GroupPhase = GroupPhase.FORMED


class NodeStage(Enum):
    """Life of a node in the fold."""

    LIVE = "live"
    LEAVING = "leaving"


class Node(msgspec.Struct, frozen=True):
    """A node of the system that has announced itself."""

    id: NodeId
    incarnation: Incarnation
    data_centre: DataCentre
    region: str
    callers: str
    peers: str
    stage: NodeStage
    position: Position


class Lease(msgspec.Struct, frozen=True):
    """Current holder of a lease and the position of its last renewal."""

    holder: NodeId
    incarnation: Incarnation
    position: Position


class Claim(msgspec.Struct, frozen=True):
    """The only node incarnation that may run the request with a key."""

    account: AccountId
    node: NodeId
    incarnation: Incarnation
    digest: str
    position: Position
