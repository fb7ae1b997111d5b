"""Groups, assembled from the memberships that instances report."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from briarpond.ids import GroupId, InstanceId, ServiceName
from briarpond.net import Address
from briarpond.routes import ModelName

from ._models import Instance, MemberState


class ListedGroup(msgspec.Struct, frozen=True):
    """A group of instances under one name and epoch.

    Attributes
    ----------
    epoch : int
        Fencing token of the group.
    service : ServiceName
        Service that the members belong to.
    model : ModelName
        Model that the head has loaded.
    head_address : Address
        Where the head takes requests.
    state : MemberState
        State of the head, which is that of the group.
    members : tuple of InstanceId
        Listed members by rank, head first. Members that are not listed are missing.
    size : int
        Number of members as far as they are listed; 0 if one in between is missing, since then it
        is not known.
    """

    id: GroupId
    epoch: int
    service: ServiceName
    model: ModelName
    head: InstanceId
    head_address: Address
    state: MemberState
    members: tuple[InstanceId, ...]
    size: int


def assemble_groups(instances: Iterable[Instance]) -> list[ListedGroup]:
    """Return the groups whose head is among the instances.

    A group is left out if its head is missing or has no model loaded; other members
    may be missing. An instance that has gone over to another service is no member.
    """
    members: dict[tuple[ServiceName, GroupId, int], list[Instance]] = defaultdict(list)
    for instance in instances:
        membership = instance.membership
        if membership is not None:
            members[instance.service, membership.group, membership.epoch].append(instance)
    groups = []
    for (service, name, epoch), listed_members in members.items():
        listed_members.sort(key=lambda member: member.membership.rank if member.membership else 0)
        head = listed_members[0]
        if head.membership is None or head.membership.rank != 0 or head.model is None:
            continue
        ids = tuple(member.id for member in listed_members)
        groups.append(
            ListedGroup(
                name,
                epoch,
                service,
                head.model,
                head.id,
                head.address,
                head.membership.state,
                ids,
                _known_size(listed_members),
            )
        )
    return groups


def _known_size(listed_members: list[Instance]) -> int:
    """Return the number of members by rank; 0 if a rank is missing or stands twice."""
    ranks = [member.membership.rank for member in listed_members if member.membership]
    return len(ranks) if ranks == list(range(len(ranks))) else 0
