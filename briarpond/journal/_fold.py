"""The pure fold: the only place that decides what is accepted.

`apply` depends on nothing but its arguments, so nodes that have read the same
prefix of the log hold the same state.
"""

from collections.abc import Callable

from immutables import Map
from msgspec.structs import replace

from briarpond.configuration import PatchProblemCode, apply_patch, changed_paths
from briarpond.ids import InstanceId, Position

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
from ._state import AuditEntry, State

VERDICTS_KEPT = 4096
AUDIT_KEPT = 2048
INSTANCE_CHANGES_KEPT = 65_536

Decision = tuple[State, VerdictCode, str]


def apply(state: State, record: Record, position: Position) -> State:
    """Fold one record into the state.

    Parameters
    ----------
    state : State
        State through all positions before `position`.
    record : Record
        What stands at `position`.
    position : int
        Must be above ``state.position``.

    Returns
    -------
    State
        State through `position`; equal but for its position and verdicts when
        the record is refused.

    Raises
    ------
    AssertionError
        If records are folded out of order, which is a broken invariant.
    """
    assert position > state.position, "records must be folded in order"
    if isinstance(record, SnapshotPart):
        return replace(state, position=position)
    if record.id in state.verdicts:
        return replace(state, position=position)
    decide = _DECIDERS[type(record)]
    decided, code, detail = decide(state, record, position)
    verdict = Verdict(code, position, decided.config.version, detail)
    return _remember(replace(decided, position=position), record, verdict)


def _accepted(state: State) -> Decision:
    return state, VerdictCode.ACCEPTED, ""


def _patch(state: State, record: PatchSubmit, position: Position) -> Decision:
    result = apply_patch(state.config, record.base_version, record.patch)
    if result.is_ok():
        return _accepted(replace(state, config=result.ok))
    problems = result.error
    stale = problems[0].code is PatchProblemCode.STALE
    code = VerdictCode.STALE if stale else VerdictCode.INVALID
    return state, code, "; ".join(str(problem) for problem in problems)


def _form(state: State, record: GroupForm, position: Position) -> Decision:
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
        state = _release(state, state.groups[record.replaces], position)
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


def _retire(state: State, record: GroupRetire, position: Position) -> Decision:
    group = state.groups.get(record.group)
    if group is None or group.generation != record.generation:
        return state, VerdictCode.UNKNOWN_TARGET, "no such group and generation"
    if group.phase is GroupPhase.RETIRING:
        return state, VerdictCode.STALE, "already retiring"
    retiring = replace(group, phase=GroupPhase.RETIRING)
    return _accepted(replace(state, groups=state.groups.set(group.id, retiring)))


def _dissolve(state: State, record: GroupDissolve, position: Position) -> Decision:
    group = state.groups.get(record.group)
    if group is None or group.generation != record.generation:
        return state, VerdictCode.UNKNOWN_TARGET, "no such group and generation"
    return _accepted(_release(state, group, position))


def _release(state: State, group: Group, position: Position) -> State:
    instances = [member.instance for member in group.members]
    member_of = state.member_of
    for instance in instances:
        member_of = member_of.delete(instance)
    state = replace(state, groups=state.groups.delete(group.id), member_of=member_of)
    return _mark_changed(state, instances, position)


def _changed_at(state: State, instance: InstanceId) -> Position:
    return state.changed_at.get(instance, state.changed_floor)


def _mark_changed(state: State, instances: list[InstanceId], position: Position) -> State:
    changed_at = state.changed_at.update(dict.fromkeys(instances, position))
    if len(changed_at) <= INSTANCE_CHANGES_KEPT:
        return replace(state, changed_at=changed_at)
    # Forget the older half at once, so that the cost is spread over many records.
    cut = sorted(changed_at.values())[len(changed_at) // 2]
    kept = Map({name: at for name, at in changed_at.items() if at > cut})
    return replace(state, changed_at=kept, changed_floor=max(state.changed_floor, cut))


def _lease(state: State, record: LeaseTake, position: Position) -> Decision:
    current = state.leases.get(record.scope)
    if current is not None and current.position != record.previous:
        return state, VerdictCode.TAKEN, f"lease is held by {current.holder}"
    lease = Lease(record.holder, record.incarnation, position)
    return _accepted(replace(state, leases=state.leases.set(record.scope, lease)))


def _join(state: State, record: NodeJoin, position: Position) -> Decision:
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


def _leave(state: State, record: NodeLeave, position: Position) -> Decision:
    node = state.nodes.get(record.node)
    if node is None or node.incarnation != record.incarnation:
        return state, VerdictCode.UNKNOWN_TARGET, "no such node and incarnation"
    leaving = replace(node, stage=NodeStage.LEAVING)
    return _accepted(replace(state, nodes=state.nodes.set(record.node, leaving)))


def _remove(state: State, record: NodeRemove, position: Position) -> Decision:
    node = state.nodes.get(record.node)
    if node is None or node.incarnation != record.incarnation:
        return state, VerdictCode.UNKNOWN_TARGET, "no such node and incarnation"
    return _accepted(replace(state, nodes=state.nodes.delete(record.node)))


def _claim(state: State, record: KeyClaim, position: Position) -> Decision:
    current = state.claims.get(record.key)
    if current is not None:
        return state, VerdictCode.TAKEN, f"key is claimed by node {current.node}"
    claim = Claim(record.account, record.node, record.incarnation, record.digest, position)
    claims = state.claims.set(record.key, claim)
    order = state.claim_order.set(state.claim_next, record.key)
    kept = state.config.document.policy.claims_kept
    oldest = state.claim_next + 1 - len(order)
    while len(order) > kept:
        claims = claims.delete(order[oldest])
        order = order.delete(oldest)
        oldest += 1
    return _accepted(
        replace(state, claims=claims, claim_order=order, claim_next=state.claim_next + 1)
    )


def _action(state: State, record: OperatorAction, position: Position) -> Decision:
    return _accepted(state)


_DECIDERS: dict[type, Callable[..., Decision]] = {
    PatchSubmit: _patch,
    GroupForm: _form,
    GroupRetire: _retire,
    GroupDissolve: _dissolve,
    LeaseTake: _lease,
    NodeJoin: _join,
    NodeLeave: _leave,
    NodeRemove: _remove,
    KeyClaim: _claim,
    OperatorAction: _action,
}


def _remember(state: State, record: Record, verdict: Verdict) -> State:
    verdicts = state.verdicts.set(record.id, verdict)
    order = state.verdict_order.set(state.verdict_next, record.id)
    if len(order) > VERDICTS_KEPT:
        oldest = state.verdict_next - VERDICTS_KEPT
        verdicts = verdicts.delete(order[oldest])
        order = order.delete(oldest)
    state = replace(
        state, verdicts=verdicts, verdict_order=order, verdict_next=state.verdict_next + 1
    )
    entry = _audit_entry(record, verdict)
    return state if entry is None else _append_audit(state, entry)


def _append_audit(state: State, entry: AuditEntry) -> State:
    audit = state.audit.set(state.audit_next, entry)
    if len(audit) > AUDIT_KEPT:
        audit = audit.delete(state.audit_next - AUDIT_KEPT)
    return replace(state, audit=audit, audit_next=state.audit_next + 1)


def _audit_entry(record: Record, verdict: Verdict) -> AuditEntry | None:
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
    # Paths only: values may hold what must not be copied around.
    return " ".join(changed_paths(record.patch))
