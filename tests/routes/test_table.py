"""Look-up of routes by host and longest path prefix, access by key, and split by weight."""

import random
from collections import Counter

import pytest

from briarpond.platform import decode_configuration
from briarpond.routes import RouteTable, choose_service

from ..platform_samples import config_bytes


@pytest.fixture
def table():
    return RouteTable(decode_configuration(config_bytes()).ok)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("shop.example", "/plan/x", "r-plan"),
        ("SHOP.example:80", "/plan/", "r-plan"),
        ("shop.example", "/order/open/3", "r-open"),
        ("shop.example", "/order/opener", "r-order"),
        ("shop.example", "/plan", None),
        ("shop.example", "/", None),
        ("else.example", "/plan/x", None),
    ],
)
def test_route_with_the_longest_prefix_of_the_host_is_found(table, host, path, name):
    route = table.find(host, path)
    assert (None if route is None else route.name) == name


def test_key_is_required_except_on_public_routes(table):
    order = table.find("shop.example", "/order/1")
    assert table.allows(order, "key-a") and not table.allows(order, "other")
    assert not table.allows(order, None)
    assert table.allows(table.find("shop.example", "/order/open/1"), None)


def test_services_are_chosen_in_proportion_to_their_weights(table):
    rng = random.Random(1)
    drawn = Counter(choose_service(table.config.routes[0], rng) for _ in range(2000))
    assert 0.86 < drawn["pool"] / 2000 < 0.94
