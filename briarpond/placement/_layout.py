"""Initial number of groups of each model in each fabric domain."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

from briarpond.fleet import Instance
from briarpond.ids import DataCentre, FabricDomain
from briarpond.routes import EngineSpec, ModelName, ModelSpec

# Share of the instances of a domain that stay spares.
SPARE_SHARE = 0.2

# Number of groups of each model in each fabric domain.
GroupQuotas = Mapping[FabricDomain, Mapping[ModelName, int]]


def initial_layout(engine: EngineSpec, instances: Iterable[Instance]) -> GroupQuotas:
    """Return how many groups of each model each domain starts with.

    A domain gets as few models as their shares allow: in a domain with one model,
    any spare can replace any lost member without loading weights. Each data centre
    gets all models, so that no model depends on a single data centre.
    """
    instance_counts: dict[DataCentre, dict[FabricDomain, int]] = defaultdict(
        lambda: defaultdict(int)
    )
    for instance in instances:
        instance_counts[instance.data_centre][instance.domain] += 1
    specs = sorted(engine.models, key=lambda spec: (-spec.group_size, spec.name))
    rounding_carry: dict[ModelName, float] = defaultdict(float)
    quotas = {}
    for data_centre in sorted(instance_counts):
        domains = instance_counts[data_centre]
        for index, domain in enumerate(sorted(domains)):
            fractions = _model_fractions(specs, index, len(domains))
            quotas[domain] = _domain_quota(specs, fractions, domains[domain], rounding_carry)
    return quotas


def _model_fractions(
    specs: list[ModelSpec], index: int, domain_count: int
) -> dict[ModelName, float]:
    """Return the fraction of one domain that each model gets.

    The domains of a data centre are laid end to end and divided among the models by
    their shares; the result is the overlap of each model with the domain at `index`.

    Parameters
    ----------
    index : int
        Position of the domain among those of its data centre.
    domain_count : int
        Number of domains of the data centre.
    """
    total = sum(spec.expected_share for spec in specs) or 1.0
    fractions = {}
    begin = 0.0
    for spec in specs:
        end = begin + domain_count * spec.expected_share / total
        fractions[spec.name] = max(0.0, min(end, index + 1.0) - max(begin, float(index)))
        begin = end
    return fractions


def _domain_quota(
    specs: list[ModelSpec],
    fractions: Mapping[ModelName, float],
    instance_count: int,
    rounding_carry: dict[ModelName, float],
) -> dict[ModelName, int]:
    """Return the number of groups of each model in one domain.

    Parameters
    ----------
    fractions : mapping
        Fraction of the domain for each model.
    instance_count : int
        Instances in the domain, spares included.
    rounding_carry : dict
        Fractions of groups that rounding dropped or added in earlier domains; they are
        added here, and the dict is updated for the next domain.
    """
    remaining = instance_count
    quota = {}
    for spec in specs:
        if not fractions[spec.name]:
            continue
        exact = (
            fractions[spec.name] * instance_count * (1 - SPARE_SHARE) / spec.group_size
            + rounding_carry[spec.name]
        )
        group_count = max(0, min(math.floor(exact + 0.5), remaining // spec.group_size))
        rounding_carry[spec.name] = exact - group_count
        remaining -= group_count * spec.group_size
        quota[spec.name] = group_count
    return quota
