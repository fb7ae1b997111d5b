"""Deterministic fold of log records into the state.

No other module accepts or refuses a record. `apply_record` is a pure function
of its arguments, so all nodes that have read the same prefix of the log hold
the same state.
"""

from collections.abc import Callable

from immutables import Map
from msgspec.structs import replace

from briarpond.configuration import PatchProblemCode, apply_patch, changed_paths
from briarpond.ids import InstanceId, Position
from briarpond.invariants import BrokenInvariantError

from ._models import (
    Claim,
    Group,
    GroupDissolve,
    GroupForm,
    GroupPhase,
    GroupRetire,
    KeyClaim,
    Lease,
    LeaseTake,
    Node,
    NodeJoin,
    NodeLeave,
    NodeRemove,
    NodeStage,
    OperatorAction,
    PatchSubmit,
    Record,
    SnapshotPart,
    Verdict,
    VerdictCode,
)
from ._state import AuditEntry, FoldedState

# Bounds of the collections in the state; the oldest entries are dropped first.
# Once the verdict on a record is dropped, the fold no longer recognises a second
# copy of that record.
MAX_VERDICTS = 4096
MAX_AUDIT_ENTRIES = 2048
MAX_INSTANCE_CHANGES = 65_536

# The state after the record (unchanged if refused), the verdict, and the reason
# for a refusal, empty if accepted.
Decision = tuple[FoldedState, VerdictCode, str]


def apply_record(state: FoldedState, record: Record, position: Position) -> FoldedState:
    """Fold one record into the state.

    A record whose id already has a verdict is a second copy of an earlier
    append and changes nothing but the position; so does a snapshot part.

    Parameters
    ----------
    state : FoldedState
        State after all records before `position`.
    record : Record
        The record at `position` in the log.
    position : int
        Position of the record; must be greater than ``state.position``.

    Returns
    -------
    FoldedState
        State after `record`. If the record is refused, only the position, the
        verdicts and the audit trail differ from `state`.

    Raises
    ------
    BrokenInvariantError
        If `position` is not greater than ``state.position``: records were
        folded out of order, which is a fault of the calling code.
    """
    if position <= state.position:
        raise BrokenInvariantError(
            f"record at position {position} folded into a state at position {state.position}"
        )
    if isinstance(record, SnapshotPart):
        return replace(state, position=position)
    if record.id in state.verdicts:
        return replace(state, position=position)
    decide = _DECIDERS[type(record)]
    new_state, code, detail = decide(state, record, position)
    verdict = Verdict(code, position, new_state.config.version, detail)
    return _record_verdict(replace(new_state, position=position), record, verdict)


def _accepted(state: FoldedState) -> Decision:
    """Return the decision that accepts a record and leads to `state`."""
    return state, VerdictCode.ACCEPTED, ""


def _decide_patch(state: FoldedState, record: PatchSubmit, position: Position) -> Decision:
    """Accept a patch against the version in force if the patched document is valid."""
    result = apply_patch(state.config, record.base_version, record.patch)
    if result.is_ok():
        return _accepted(replace(state, config=result.ok))
    problems = result.error
    stale = problems[0].code is PatchProblemCode.STALE
    code = VerdictCode.STALE if stale else VerdictCode.INVALID
    return state, code, "; ".join(str(problem) for problem in problems)


def _decide_group_form(state: FoldedState, record: GroupForm, position: Position) -> Decision:
    """Accept a group if its members are free, or held by the group that it replaces.

    A member that joined or left a group after ``record.seen`` makes the record
    stale: the planner chose its members from an outdated state.
    """
    if record.group in state.groups:
        return state, VerdictCode.TAKEN, f"group {record.group} exists"
    instances = [member.instance for member in record.members]
    if not instances or len(set(instances)) != len(instances):
        return state, VerdictCode.INVALID, "members must be distinct and at least one"
    if record.replaces is not None and record.replaces not in state.groups:
        return state, VerdictCode.UNKNOWN_TARGET, f"group {record.replaces} is gone"
    for instance in instances:
        holder = state.member_of.get(instance)
        if holder is not None and holder != record.replaces:
            return state, VerdictCode.TAKEN, f"instance {instance} belongs to group {holder}"
        if _changed_at(state, instance) > record.seen:
            return state, VerdictCode.STALE, f"instance {instance} changed since {record.seen}"
    if record.replaces is not None:
        state = _remove_group(state, state.groups[record.replaces], position)
    group = Group(
        record.group,
        record.deployment,
        record.data_centre,
        record.domain,
        record.spec,
        record.members,
        position,
    )
    member_of = state.member_of.update(dict.fromkeys(instances, record.group))
    state = _mark_changed(state, instances, position)
    return _accepted(
        replace(state, groups=state.groups.set(record.group, group), member_of=member_of)
    )


def _decide_group_retire(state: FoldedState, record: GroupRetire, position: Position) -> Decision:
    """Accept the retirement of a group that exists with the generation given."""
    group = state.groups.get(record.group)
    if group is None or group.generation != record.generation:
        return state, VerdictCode.UNKNOWN_TARGET, "no such group and generation"
    if group.phase is GroupPhase.RETIRING:
        return state, VerdictCode.STALE, "already retiring"
    retiring = replace(group, phase=GroupPhase.RETIRING)
    return _accepted(replace(state, groups=state.groups.set(group.id, retiring)))


def _decide_group_dissolve(
    state: FoldedState, record: GroupDissolve, position: Position
) -> Decision:
    """Accept the end of a group that exists with the generation given."""
    group = state.groups.get(record.group)
    if group is None or group.generation != record.generation:
        return state, VerdictCode.UNKNOWN_TARGET, "no such group and generation"
    return _accepted(_remove_group(state, group, position))


def _remove_group(state: FoldedState, group: Group, position: Position) -> FoldedState:
    """Remove a group and release its members at `position`."""
    instances = [member.instance for member in group.members]
    member_of = state.member_of
    for instance in instances:
        member_of = member_of.delete(instance)
    state = replace(state, groups=state.groups.delete(group.id), member_of=member_of)
    return _mark_changed(state, instances, position)


def _changed_at(state: FoldedState, instance: InstanceId) -> Position:
    """Return the latest position at which an instance may have joined or left a group."""
    return state.changed_at.get(instance, state.changed_floor)


def _mark_changed(
    state: FoldedState, instances: list[InstanceId], position: Position
) -> FoldedState:
    """Record that instances joined or left a group at `position`."""
    changed_at = state.changed_at.update(dict.fromkeys(instances, position))
    if len(changed_at) <= MAX_INSTANCE_CHANGES:
        return replace(state, changed_at=changed_at)
    # Drop the older half in one step: the cost of sorting is then spread over the
    # many records until the limit is reached again. The highest dropped position
    # becomes the floor, so that a dropped instance counts as changed there: a
    # record may be refused as stale without need, but is never accepted wrongly.
    floor = sorted(changed_at.values())[len(changed_at) // 2]
    recent = Map({name: at for name, at in changed_at.items() if at > floor})
    return replace(state, changed_at=recent, changed_floor=max(state.changed_floor, floor))


def _decide_lease_take(state: FoldedState, record: LeaseTake, position: Position) -> Decision:
    """Accept a take if the lease has not been taken since the writer read it."""
    current = state.leases.get(record.scope)
    if current is not None and current.position != record.previous:
        return state, VerdictCode.TAKEN, f"lease is held by {current.holder}"
    lease = Lease(record.holder, record.incarnation, position)
    return _accepted(replace(state, leases=state.leases.set(record.scope, lease)))


def _decide_node_join(state: FoldedState, record: NodeJoin, position: Position) -> Decision:
    """Accept every join; the newest incarnation of a node replaces the others."""
    node = Node(
        record.node,
        record.incarnation,
        record.data_centre,
        record.region,
        record.callers,
        record.peers,
        NodeStage.LIVE,
        position,
    )
    return _accepted(replace(state, nodes=state.nodes.set(record.node, node)))


def _decide_node_leave(state: FoldedState, record: NodeLeave, position: Position) -> Decision:
    """Accept the drain of a node only in the incarnation that has joined."""
    node = state.nodes.get(record.node)
    if node is None or node.incarnation != record.incarnation:
        return state, VerdictCode.UNKNOWN_TARGET, "no such node and incarnation"
    leaving = replace(node, stage=NodeStage.LEAVING)
    return _accepted(replace(state, nodes=state.nodes.set(record.node, leaving)))


def _decide_node_remove(state: FoldedState, record: NodeRemove, position: Position) -> Decision:
    """Accept the removal of a node only in the incarnation that has joined."""
    node = state.nodes.get(record.node)
    if node is None or node.incarnation != record.incarnation:
        return state, VerdictCode.UNKNOWN_TARGET, "no such node and incarnation"
    return _accepted(replace(state, nodes=state.nodes.delete(record.node)))


def _decide_key_claim(state: FoldedState, record: KeyClaim, position: Position) -> Decision:
    """Accept the first claim of a key, and drop the oldest claims above the limit."""
    current = state.claims.get(record.key)
    if current is not None:
        return state, VerdictCode.TAKEN, f"key is claimed by node {current.node}"
    claim = Claim(record.account, record.node, record.incarnation, record.digest, position)
    claims = state.claims.set(record.key, claim)
    keys_by_number = state.claim_order.set(state.claim_next, record.key)
    limit = state.config.document.policy.claims_kept
    oldest = state.claim_next + 1 - len(keys_by_number)
    while len(keys_by_number) > limit:
        claims = claims.delete(keys_by_number[oldest])
        keys_by_number = keys_by_number.delete(oldest)
        oldest += 1
    return _accepted(
        replace(state, claims=claims, claim_order=keys_by_number, claim_next=state.claim_next + 1)
    )


def _decide_operator_action(
    state: FoldedState, record: OperatorAction, position: Position
) -> Decision:
    """Accept every action; it only adds an audit entry."""
    return _accepted(state)


_DECIDERS: dict[type, Callable[..., Decision]] = {
    PatchSubmit: _decide_patch,
    GroupForm: _decide_group_form,
    GroupRetire: _decide_group_retire,
    GroupDissolve: _decide_group_dissolve,
    LeaseTake: _decide_lease_take,
    NodeJoin: _decide_node_join,
    NodeLeave: _decide_node_leave,
    NodeRemove: _decide_node_remove,
    KeyClaim: _decide_key_claim,
    OperatorAction: _decide_operator_action,
}


def _record_verdict(state: FoldedState, record: Record, verdict: Verdict) -> FoldedState:
    """Add a verdict and, if the record is audited, its audit entry."""
    verdicts = state.verdicts.set(record.id, verdict)
    ids_by_number = state.verdict_order.set(state.verdict_next, record.id)
    if len(ids_by_number) > MAX_VERDICTS:
        oldest = state.verdict_next - MAX_VERDICTS
        verdicts = verdicts.delete(ids_by_number[oldest])
        ids_by_number = ids_by_number.delete(oldest)
    state = replace(
        state, verdicts=verdicts, verdict_order=ids_by_number, verdict_next=state.verdict_next + 1
    )
    entry = _audit_entry(record, verdict)
    return state if entry is None else _append_audit(state, entry)


def _append_audit(state: FoldedState, entry: AuditEntry) -> FoldedState:
    """Add an audit entry and drop the oldest one above the limit."""
    audit = state.audit.set(state.audit_next, entry)
    if len(audit) > MAX_AUDIT_ENTRIES:
        audit = audit.delete(state.audit_next - MAX_AUDIT_ENTRIES)
    return replace(state, audit=audit, audit_next=state.audit_next + 1)


def _audit_entry(record: Record, verdict: Verdict) -> AuditEntry | None:
    """Return the audit entry of a record, None for record types that are not audited."""
    match record:
        case PatchSubmit():
            fields = (record.at_ms, record.actor, "patch", _patch_target(record))
        case OperatorAction():
            fields = (record.at_ms, record.actor, record.action, record.target)
        case GroupForm():
            fields = (record.at_ms, record.node, "group-form", record.group)
        case GroupRetire():
            fields = (record.at_ms, record.node, "group-retire", record.group)
        case GroupDissolve():
            fields = (
                record.at_ms,
                record.node,
                "group-dissolve",
                f"{record.group} ({record.reason})",
            )
        case NodeJoin():
            fields = (record.at_ms, record.node, "node-join", record.node)
        case NodeLeave():
            fields = (record.at_ms, record.actor, "node-leave", record.node)
        case NodeRemove():
            fields = (record.at_ms, record.by, "node-remove", record.node)
        case _:
            return None
    return AuditEntry(
        verdict.position, *fields, verdict.code.value, verdict.version, verdict.detail
    )


def _patch_target(record: PatchSubmit) -> str:
    """Return the paths that a patch changes, separated by spaces."""
    # The paths without the values: a patch may set values, such as digests of API
    # keys, that do not belong in an audit trail.
    return " ".join(changed_paths(record.patch))
