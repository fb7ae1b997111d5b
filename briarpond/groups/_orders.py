"""Load orders that members still need, staggered for the weight store."""

from collections.abc import Iterable

import msgspec

from briarpond.ids import GroupId, InstanceId
from briarpond.journal import Group, GroupPhase
from briarpond.ports import EngineState, LoadOrder

from ._presence import PresenceTable


class DueOrder(msgspec.Struct, frozen=True):
    """An order and the instance it is for."""

    instance: InstanceId
    address: str
    order: LoadOrder


def due_orders(group: Group, table: PresenceTable, now: float, ttl_s: float) -> list[DueOrder]:
    """Return the orders that members of `group` have not taken yet."""
    peers = tuple(member.address for member in group.members)
    orders = []
    for rank, member in enumerate(group.members):
        report = table.fresh(member.instance, now, ttl_s)
        if report is None or report.incarnation != member.incarnation:
            continue
        holds = report.generation == group.generation and report.spec == group.spec
        if holds and report.group == group.id:
            continue
        order = LoadOrder(group.generation, group.id, group.spec, rank, peers)
        orders.append(DueOrder(member.instance, member.address, order))
    return orders


def loading_groups(
    groups: Iterable[Group], table: PresenceTable, now: float, ttl_s: float, max_loading: int
) -> list[Group]:
    """Choose the groups that may load now, oldest generation first.

    At most `max_loading` at a time, and only one for each model and version, so
    that the weight store is not asked twice for the same bytes at once.
    """
    waiting = [
        group
        for group in sorted(groups, key=lambda group: group.generation)
        if group.phase is GroupPhase.FORMED and not _all_loaded(group, table, now, ttl_s)
    ]
    chosen: dict[GroupId, Group] = {}
    models: set[tuple[str, str]] = set()
    for group in waiting:
        model = (group.spec.model, group.spec.version)
        if len(chosen) < max_loading and model not in models:
            chosen[group.id] = group
            models.add(model)
    return list(chosen.values())


def _all_loaded(group: Group, table: PresenceTable, now: float, ttl_s: float) -> bool:
    for member in group.members:
        report = table.fresh(member.instance, now, ttl_s)
        if report is None:
            # A silent member must not hold the loading slot of other groups.
            return True
        if report.generation != group.generation or report.state is not EngineState.READY:
            return False
    return True
