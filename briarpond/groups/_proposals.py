"""Records that a planner submits."""

from collections import Counter

from briarpond.configuration import DeploymentConfig
from briarpond.ids import DeploymentId, FabricDomain, GroupId, RecordId
from briarpond.journal import Group, GroupDissolve, GroupForm, GroupRetire, Member

from ._inputs import PlannerInput, PlannerPolicy, Proposal, Trouble, spec_of
from ._pool import FreePool


def fill(given: PlannerInput, kept: list[Group], surge: Counter, free: FreePool) -> list[Proposal]:
    """Form what is short, as far as fabric domains have room."""
    have = Counter(group.deployment for group in kept)
    proposals: list[Proposal] = []
    for deployment_id, deployment in sorted(given.state.config.document.deployments.items()):
        wanted = deployment.groups.get(given.data_centre, 0) + surge[DeploymentId(deployment_id)]
        short = wanted - have[DeploymentId(deployment_id)]
        for _ in range(short):
            domain = _choose_domain(free.domains(deployment.service), deployment, given.policy)
            if domain is None:
                break
            members = free.take(deployment.service, domain, deployment.group_size)
            proposals.append(_form(given, DeploymentId(deployment_id), deployment, domain, members))
    return proposals


def _choose_domain(
    free: dict[FabricDomain, int], deployment: DeploymentConfig, policy: PlannerPolicy
) -> FabricDomain | None:
    """Choose a domain with room.

    Where downtime weighs more, the emptiest domain leaves spares beside the
    group; where stranded accelerators weigh more, the fullest one leaves the
    fewest instances that cannot form a group.
    """
    room = {domain: count for domain, count in free.items() if count >= deployment.group_size}
    if not room:
        return None
    if policy.downtime_weight >= 0.5:
        return min(room, key=lambda domain: (-room[domain], domain))
    return min(room, key=lambda domain: (room[domain], domain))


def _form(
    given: PlannerInput,
    deployment_id: DeploymentId,
    deployment: DeploymentConfig,
    domain: FabricDomain,
    members: list[Member],
) -> GroupForm:
    suffix = given.new_id()
    return GroupForm(
        RecordId(f"form-{suffix}"),
        given.at_ms,
        given.node,
        GroupId(f"{deployment_id}-{suffix}"),
        deployment_id,
        given.data_centre,
        domain,
        spec_of(deployment),
        tuple(members),
        given.state.position,
    )


def repair(given: PlannerInput, group: Group, free: FreePool, now: float) -> GroupForm | None:
    """Replace lost and leaving members by free instances of the same domain."""
    deployment = given.state.config.document.deployments.get(group.deployment)
    if deployment is None:
        return None
    ttl_s = given.policy.presence_ttl_s
    members: list[Member] = []
    for member in group.members:
        report = given.presence.fresh(member.instance, now, ttl_s)
        if report is not None and member.instance not in given.leaving:
            members.append(Member(member.instance, report.incarnation, member.address))
    missing = deployment.group_size - len(members)
    if missing < 0 or free.domains(deployment.service).get(group.domain, 0) < missing:
        return None
    members += free.take(deployment.service, group.domain, missing)
    suffix = given.new_id()
    return GroupForm(
        RecordId(f"form-{suffix}"),
        given.at_ms,
        given.node,
        GroupId(f"{group.deployment}-{suffix}"),
        group.deployment,
        group.data_centre,
        group.domain,
        spec_of(deployment),
        tuple(members),
        given.state.position,
        group.id,
    )


def retire(given: PlannerInput, group: Group, trouble: Trouble) -> GroupRetire:
    """Return the record that stops new work for a group."""
    record_id = RecordId(f"retire-{given.new_id()}")
    return GroupRetire(
        record_id, given.at_ms, given.node, group.id, group.generation, trouble.value
    )


def dissolve(given: PlannerInput, group: Group, trouble: Trouble) -> GroupDissolve:
    """Return the record that ends a group."""
    reason = "retired" if trouble is Trouble.NONE else trouble.value
    record_id = RecordId(f"dissolve-{given.new_id()}")
    return GroupDissolve(record_id, given.at_ms, given.node, group.id, group.generation, reason)
