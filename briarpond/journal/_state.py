"""The state that every node folds from the log.

All maps are persistent (immutables.Map), so that one fold step shares what it
does not change with the state before it.
"""

import msgspec
from immutables import Map

from briarpond.configuration import Configuration
from briarpond.configuration._models import EMPTY
from briarpond.ids import GroupId, InstanceId, LeaseScope, NodeId, Position, RecordId, RequestKey

from ._models import Claim, Group, Lease, Node, Verdict


class AuditEntry(msgspec.Struct, frozen=True):
    """One change in the audit trail.

    Attributes
    ----------
    at_ms : int
        Wall-clock time that the writer gave, milliseconds since the epoch.
    """

    position: Position
    at_ms: int
    actor: str
    action: str
    target: str
    verdict: str
    version: int
    detail: str


class State(msgspec.Struct, frozen=True):
    """Everything that has been agreed up to and including `position`.

    Attributes
    ----------
    position : int
        Position of the last record folded, 0 before any.
    member_of : Map
        Instance to the one group that holds it.
    changed_at : Map
        Instance to the position at which it last joined or left a group.
    changed_floor : int
        No instance missing from `changed_at` changed after this position.
    claims : Map
        Idempotency key to its claim; `claim_order` numbers them oldest first.
    verdicts : Map
        Record id to its verdict; `verdict_order` numbers them oldest first.
    audit : Map
        Number to audit entry, oldest first.
    """

    position: Position = Position(0)
    config: Configuration = EMPTY
    groups: Map[GroupId, Group] = Map()
    member_of: Map[InstanceId, GroupId] = Map()
    changed_at: Map[InstanceId, Position] = Map()
    changed_floor: Position = Position(0)
    nodes: Map[NodeId, Node] = Map()
    leases: Map[LeaseScope, Lease] = Map()
    claims: Map[RequestKey, Claim] = Map()
    claim_order: Map[int, RequestKey] = Map()
    claim_next: int = 0
    verdicts: Map[RecordId, Verdict] = Map()
    verdict_order: Map[int, RecordId] = Map()
    verdict_next: int = 0
    audit: Map[int, AuditEntry] = Map()
    audit_next: int = 0
