"""State that every node folds from the log.

All maps are persistent (`immutables.Map`): a fold step copies only what it
changes and shares the rest with the state before it.
"""

import msgspec
from immutables import Map

from briarpond.configuration import Configuration
from briarpond.configuration._models import EMPTY_CONFIGURATION
from briarpond.ids import GroupId, InstanceId, LeaseScope, NodeId, Position, RecordId, RequestKey

from ._models import Claim, Group, Lease, Node, Verdict


class AuditEntry(msgspec.Struct, frozen=True):
    """One audited record, accepted or refused.

    Attributes
    ----------
    position : int
        Position of the record.
    at_ms : int
        Wall-clock time of the writer, milliseconds since the Unix epoch.
    actor : str
        Operator or node that caused the record.
    action, target : str
        What was done, and to what; for a patch the changed paths.
    verdict : str
        Value of the record's `VerdictCode`.
    version : int
        Configuration version in force after the record.
    detail : str
        Reason for a refusal, empty if accepted.
    """

    position: Position
    at_ms: int
    actor: str
    action: str
    target: str
    verdict: str
    version: int
    detail: str


class FoldedState(msgspec.Struct, frozen=True):
    """Result of folding the log up to and including `position`.

    Attributes
    ----------
    position : int
        Highest position folded, 0 before any.
    config : Configuration
        Configuration version in force.
    groups : Map
        Existing groups by id.
    member_of : Map
        Instance to the one group that it belongs to.
    changed_at : Map
        Instance to the position at which it last joined or left a group.
    changed_floor : int
        Upper bound of that position for instances missing from `changed_at`.
    nodes : Map
        Nodes that have joined and have not been removed.
    leases : Map
        Scope to the current lease.
    claims : Map
        Idempotency key to its claim.
    claim_order : Map
        Running number to idempotency key, in the order of the claims, so that
        the oldest can be dropped.
    claim_next : int
        Number that the next claim gets.
    verdicts : Map
        Record id to its verdict.
    verdict_order : Map
        Running number to record id, in the order of the verdicts.
    verdict_next : int
        Number that the next verdict gets.
    audit : Map
        Running number to audit entry, in the order of the log.
    audit_next : int
        Number that the next audit entry gets.
    """

    position: Position = Position(0)
    config: Configuration = EMPTY_CONFIGURATION
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
