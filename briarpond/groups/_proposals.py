"""Log records that a planner submits."""

from collections import Counter

from briarpond.configuration import DeploymentConfig
from briarpond.ids import DeploymentId, FabricDomain, GroupId, RecordId
from briarpond.journal import Group, GroupDissolve, GroupForm, GroupRetire, Member

from ._inputs import GroupProblem, PlannerInput, PlannerPolicy, Proposal, required_spec
from ._pool import FreePool


def form_missing_groups(
    inputs: PlannerInput, capacity: list[Group], surge: Counter, free: FreePool
) -> list[Proposal]:
    """Return records that form the groups still missing, as far as instances are free.

    Parameters
    ----------
    capacity : list of Group
        Groups that count towards the configured number.
    surge : Counter
        Groups to form beyond the configured number, by deployment.
    """
    existing = Counter(group.deployment for group in capacity)
    proposals: list[Proposal] = []
    for deployment_id, deployment in sorted(inputs.state.config.document.deployments.items()):
        wanted = deployment.groups.get(inputs.data_centre, 0) + surge[DeploymentId(deployment_id)]
        missing_count = wanted - existing[DeploymentId(deployment_id)]
        for _ in range(missing_count):
            domain = _choose_domain(free.free_counts(deployment.service), deployment, inputs.policy)
            if domain is None:
                break
            members = free.take(deployment.service, domain, deployment.group_size)
            proposals.append(
                _form_record(inputs, DeploymentId(deployment_id), deployment, domain, members)
            )
    return proposals


def _choose_domain(
    free: dict[FabricDomain, int], deployment: DeploymentConfig, policy: PlannerPolicy
) -> FabricDomain | None:
    """Return the domain for a new group; None if no domain has enough free instances.

    Where downtime weighs more, the domain with most free instances is chosen, which
    leaves spares beside the group. Where stranded accelerators weigh more, the one with
    fewest is chosen, which leaves the fewest instances that cannot form a group.
    """
    domains_with_room = {
        domain: count for domain, count in free.items() if count >= deployment.group_size
    }
    if not domains_with_room:
        return None
    if policy.downtime_weight >= 0.5:
        return min(domains_with_room, key=lambda domain: (-domains_with_room[domain], domain))
    return min(domains_with_room, key=lambda domain: (domains_with_room[domain], domain))


def _form_record(
    inputs: PlannerInput,
    deployment_id: DeploymentId,
    deployment: DeploymentConfig,
    domain: FabricDomain,
    members: list[Member],
) -> GroupForm:
    """Return the record that forms a new group."""
    suffix = inputs.new_id()
    return GroupForm(
        RecordId(f"form-{suffix}"),
        inputs.wall_ms,
        inputs.node,
        GroupId(f"{deployment_id}-{suffix}"),
        deployment_id,
        inputs.data_centre,
        domain,
        required_spec(deployment),
        tuple(members),
        inputs.state.position,
    )


def repair(inputs: PlannerInput, group: Group, free: FreePool, now: float) -> GroupForm | None:
    """Return a record that replaces a group's lost and leaving members.

    The replacements are free instances of the same domain; None if there are too few.
    """
    deployment = inputs.state.config.document.deployments.get(group.deployment)
    if deployment is None:
        return None
    ttl_s = inputs.policy.presence_ttl_s
    members: list[Member] = []
    for member in group.members:
        report = inputs.presence.recent_report(member.instance, now, ttl_s)
        if report is not None and member.instance not in inputs.leaving_instances:
            members.append(Member(member.instance, report.incarnation, member.address))
    missing = deployment.group_size - len(members)
    if missing < 0 or free.free_counts(deployment.service).get(group.domain, 0) < missing:
        return None
    members += free.take(deployment.service, group.domain, missing)
    suffix = inputs.new_id()
    return GroupForm(
        RecordId(f"form-{suffix}"),
        inputs.wall_ms,
        inputs.node,
        GroupId(f"{group.deployment}-{suffix}"),
        group.deployment,
        group.data_centre,
        group.domain,
        required_spec(deployment),
        tuple(members),
        inputs.state.position,
        group.id,
    )


def retire(inputs: PlannerInput, group: Group, problem: GroupProblem) -> GroupRetire:
    """Return the record that stops new work for a group."""
    record_id = RecordId(f"retire-{inputs.new_id()}")
    return GroupRetire(
        record_id, inputs.wall_ms, inputs.node, group.id, group.generation, problem.value
    )


def dissolve(inputs: PlannerInput, group: Group, problem: GroupProblem) -> GroupDissolve:
    """Return the record that ends a group."""
    reason = "retired" if problem is GroupProblem.NONE else problem.value
    record_id = RecordId(f"dissolve-{inputs.new_id()}")
    return GroupDissolve(record_id, inputs.wall_ms, inputs.node, group.id, group.generation, reason)
