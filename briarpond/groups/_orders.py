"""Load orders that members still need, limited to what the weight store can serve."""

from collections.abc import Iterable

import msgspec

from briarpond.ids import GroupId, InstanceId
from briarpond.journal import Group, GroupPhase
from briarpond.ports import EngineState, LoadOrder

from ._presence import PresenceTable


class PendingOrder(msgspec.Struct, frozen=True):
    """A load order to send, with the instance and address to send it to."""

    instance: InstanceId
    address: str
    order: LoadOrder


def pending_orders(
    group: Group, table: PresenceTable, now: float, ttl_s: float
) -> list[PendingOrder]:
    """Return the load orders that members of a group have not yet accepted.

    Members that are absent or have restarted get none.

    Parameters
    ----------
    ttl_s : float
        Age in seconds up to which a status report counts.
    """
    peers = tuple(member.address for member in group.members)
    orders = []
    for rank, member in enumerate(group.members):
        report = table.recent_report(member.instance, now, ttl_s)
        if report is None or report.incarnation != member.incarnation:
            continue
        has_load = report.generation == group.generation and report.spec == group.spec
        if has_load and report.group == group.id:
            continue
        order = LoadOrder(group.generation, group.id, group.spec, rank, peers)
        orders.append(PendingOrder(member.instance, member.address, order))
    return orders


def groups_to_load(
    groups: Iterable[Group], table: PresenceTable, now: float, ttl_s: float, max_loading: int
) -> list[Group]:
    """Return the groups that may load now, oldest generation first.

    Only one group for each model and version loads at a time, so that the weight store
    does not serve the same weights twice at once.

    Parameters
    ----------
    ttl_s : float
        Age in seconds up to which a status report counts.
    max_loading : int
        Largest number of groups that load at the same time.
    """
    to_load = [
        group
        for group in sorted(groups, key=lambda group: group.generation)
        if group.phase is GroupPhase.FORMED and not _all_loaded(group, table, now, ttl_s)
    ]
    chosen: dict[GroupId, Group] = {}
    loading_models: set[tuple[str, str]] = set()
    for group in to_load:
        model = (group.spec.model, group.spec.version)
        if len(chosen) < max_loading and model not in loading_models:
            chosen[group.id] = group
            loading_models.add(model)
    return list(chosen.values())


def _all_loaded(group: Group, table: PresenceTable, now: float, ttl_s: float) -> bool:
    """Whether no member of a group still has to load.

    A group with an absent member counts as loaded, so that it does not take the place
    of other groups that could load.
    """
    for member in group.members:
        report = table.recent_report(member.instance, now, ttl_s)
        if report is None:
            return True
        if report.generation != group.generation or report.state is not EngineState.READY:
            return False
    return True
