"""Groups, put together from what their members say."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from briarpond.ids import GroupId, InstanceId
from briarpond.net import Address
from briarpond.routes import ModelName

from ._models import Instance, MemberState


class Group(msgspec.Struct, frozen=True):
    """A group of instances under one name and epoch, members by rank."""

    id: GroupId
    epoch: int
    model: ModelName
    head: InstanceId
    head_address: Address
    state: MemberState
    members: tuple[InstanceId, ...]


def groups_of(instances: Iterable[Instance]) -> list[Group]:
    """Return the groups whose head is known, with the members that are known."""
    members: dict[tuple[GroupId, int], list[Instance]] = defaultdict(list)
    for instance in instances:
        if instance.membership is not None:
            members[instance.membership.group, instance.membership.epoch].append(instance)
    found = []
    for (name, epoch), rows in members.items():
        rows.sort(key=lambda row: row.membership.rank if row.membership else 0)
        head = rows[0]
        if head.membership is None or head.membership.rank != 0 or head.model is None:
            continue
        ids = tuple(row.id for row in rows)
        found.append(
            Group(name, epoch, head.model, head.id, head.address, head.membership.state, ids)
        )
    return found
