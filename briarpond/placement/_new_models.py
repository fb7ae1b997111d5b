"""Room for a model that a new configuration adds to a service whose instances are all in use.

Spares are few, and any that becomes free joins a group of a model that it has loaded. A model that
no instance has would never get a group, so one domain is kept for its first one.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

from briarpond.fleet import Instance
from briarpond.ids import FabricDomain
from briarpond.routes import ModelName, ModelSpec

from ._closing import begin_close
from ._models import GroupStage, PlannedGroup
from ._roster import Roster

_ENDING_STAGES = (GroupStage.CLOSING, GroupStage.HEAD_LOST)


def find_new_model(roster: Roster) -> ModelSpec | None:
    """Return a model that no group serves or forms and no instance has; None if there is none."""
    known: set[ModelName] = set(roster.last_model.values())
    for instance in roster.instances.values():
        known.update(instance.staged_models)
    known.update(
        group.model for group in roster.groups.values() if group.stage not in _ENDING_STAGES
    )
    return next((spec for spec in roster.engine.models if spec.name not in known), None)


def make_room(
    roster: Roster,
    spec: ModelSpec,
    free: Mapping[FabricDomain, Sequence[Instance]],
    now: float,
) -> FabricDomain | None:
    """Close as many groups of one domain as the first group of a new model needs instances.

    Their running requests may finish. Each other model keeps a group.

    Returns
    -------
    FabricDomain or None
        The domain whose free instances are kept for the model; None if none has enough members.
    """
    open_groups = _open_groups_by_domain(roster)
    domains = sorted(set(free) | set(open_groups))
    for domain in sorted(domains, key=lambda each: -_available(roster, each, free)):
        missing = spec.group_size - _available(roster, domain, free)
        to_close = _groups_to_close(roster, open_groups.get(domain, []), missing)
        if to_close is not None:
            for group in to_close:
                begin_close(roster, group, False, now)
            return domain
    return None


def _open_groups_by_domain(roster: Roster) -> dict[FabricDomain, list[PlannedGroup]]:
    groups: dict[FabricDomain, list[PlannedGroup]] = {}
    for group in roster.groups.values():
        head = roster.instances.get(group.head)
        if head is not None and group.stage is GroupStage.OPEN and not roster.is_evacuated(group):
            groups.setdefault(head.domain, []).append(group)
    return groups


def _available(
    roster: Roster, domain: FabricDomain, free: Mapping[FabricDomain, Sequence[Instance]]
) -> int:
    """Return the instances of a domain that are free, or will be once their groups have closed."""
    closing = sum(
        len(group.members)
        for group in roster.groups.values()
        if group.stage is GroupStage.CLOSING
        and (head := roster.instances.get(group.head)) is not None
        and head.domain == domain
    )
    return len(free.get(domain, ())) + closing


def _groups_to_close(
    roster: Roster, candidates: Sequence[PlannedGroup], missing: int
) -> list[PlannedGroup] | None:
    """Return groups with so many members, of the models with most groups; None if too few."""
    counts = Counter(
        group.model for group in roster.groups.values() if group.stage is GroupStage.OPEN
    )
    chosen: list[PlannedGroup] = []
    remaining = list(candidates)
    while missing > 0:
        group = max(remaining, key=lambda each: counts[each.model], default=None)
        if group is None or counts[group.model] < 2:
            return None
        remaining.remove(group)
        counts[group.model] -= 1
        missing -= len(group.members)
        chosen.append(group)
    return chosen
