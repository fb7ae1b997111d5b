"""Which models each fabric domain begins with."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

from briarpond.fleet import Instance
from briarpond.ids import DataCentre, FabricDomain
from briarpond.routes import EngineSpec, ModelName, ModelSpec

# Part of a domain that is kept as spares.
SPARE_SHARE = 0.2

Quotas = Mapping[FabricDomain, Mapping[ModelName, int]]


def first_layout(engine: EngineSpec, instances: Iterable[Instance]) -> Quotas:
    """Return how many groups of each model each domain begins with.

    A domain gets as few models as the shares allow, since any spare of a domain
    with one model can take any lost member's place without a load. Each data centre
    gets all models, so that none depends on one of them.
    """
    counts: dict[DataCentre, dict[FabricDomain, int]] = defaultdict(lambda: defaultdict(int))
    for row in instances:
        counts[row.data_centre][row.domain] += 1
    specs = sorted(engine.models, key=lambda spec: (-spec.size, spec.name))
    carried: dict[ModelName, float] = defaultdict(float)
    quotas = {}
    for data_centre in sorted(counts):
        domains = counts[data_centre]
        for index, domain in enumerate(sorted(domains)):
            parts = _parts(specs, index, len(domains))
            quotas[domain] = _quota(specs, parts, domains[domain], carried)
    return quotas


def _parts(specs: list[ModelSpec], index: int, domains: int) -> dict[ModelName, float]:
    """Return the part of one of several domains that each model gets."""
    total = sum(spec.share for spec in specs) or 1.0
    parts = {}
    begin = 0.0
    for spec in specs:
        end = begin + domains * spec.share / total
        parts[spec.name] = max(0.0, min(end, index + 1.0) - max(begin, float(index)))
        begin = end
    return parts


def _quota(
    specs: list[ModelSpec],
    parts: Mapping[ModelName, float],
    count: int,
    carried: dict[ModelName, float],
) -> dict[ModelName, int]:
    """Return the groups of one domain; what rounding loses is carried to the next."""
    left = count
    quota = {}
    for spec in specs:
        if not parts[spec.name]:
            continue
        exact = parts[spec.name] * count * (1 - SPARE_SHARE) / spec.size + carried[spec.name]
        groups = max(0, min(math.floor(exact + 0.5), left // spec.size))
        carried[spec.name] = exact - groups
        left -= groups * spec.size
        quota[spec.name] = groups
    return quota
