"""Initial layout: few models in each domain, all models in each data centre."""

import pytest

from briarpond.fleet import Instance, InstanceState
from briarpond.net import Address
from briarpond.placement import initial_layout
from briarpond.platform import decode_configuration

from ..platform_samples import config_bytes

ENGINE = decode_configuration(config_bytes()).ok.services["pool"].engine


def instances_of(domains: dict[str, int]):
    """Return instances of domains that are named ``DATA_CENTRE-NUMBER``.

    Parameters
    ----------
    domains : dict
        Number of instances in each domain.
    """
    return [
        Instance(
            id=f"i-{domain}-{number}",
            service="pool",
            address=Address("10.0.0.1", 80),
            data_centre=domain.split("-")[0],
            state=InstanceState.READY,
            slots=9,
            domain=domain,
        )
        for domain, count in domains.items()
        for number in range(count)
    ]


def quotas_for(domains: dict[str, int]):
    return initial_layout(ENGINE, instances_of(domains))


def test_each_of_two_domains_of_a_data_centre_gets_one_model():
    quotas = quotas_for({"a-0": 10, "a-1": 10, "b-0": 10, "b-1": 10})
    assert quotas["a-0"] == quotas["b-0"] == {"big": 2}
    assert quotas["a-1"] == quotas["b-1"] == {"small": 4}


def test_third_domain_of_a_data_centre_gets_both_models():
    quotas = quotas_for({"a-0": 18, "a-1": 18, "a-2": 18})
    assert quotas["a-0"] == {"big": 4}
    assert set(quotas["a-1"]) == {"big", "small"}
    assert set(quotas["a-2"]) == {"small"}


@pytest.mark.parametrize("domains", [1, 2, 3, 5])
@pytest.mark.parametrize("size", [4, 5, 9, 10, 18])
def test_all_models_get_groups_and_spares_remain(domains, size):
    quotas = quotas_for({f"{centre}-{n}": size for centre in "abc" for n in range(domains)})
    groups = {"big": 0, "small": 0}
    for domain, quota in quotas.items():
        used = sum(ENGINE.model(model).group_size * count for model, count in quota.items())
        assert used <= size, domain
        for model, count in quota.items():
            groups[model] += count
    total = 3 * domains * size
    assert groups["big"] and groups["small"]
    assert 4 * groups["big"] + 2 * groups["small"] <= 0.9 * total or total <= 15


def test_domain_too_small_for_a_group_has_none():
    assert quotas_for({"a-0": 1}) == {"a-0": {"big": 0, "small": 0}}
