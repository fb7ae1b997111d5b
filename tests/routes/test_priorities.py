"""Which priorities requests can have: only these may reserve slots or reach servers."""

from briarpond.platform import decode_configuration
from briarpond.routes import RouteTable, priorities_in_use

from ..platform_samples import CONFIG, config_bytes


def in_use(**changes):
    return priorities_in_use(decode_configuration(config_bytes(**changes)).ok)


def test_priority_of_a_route_counts_only_if_a_caller_can_have_it():
    """Guards against slots that are reserved for a priority that no request has."""
    assert in_use() == {"pool": (1,), "other": (1,), "desk": (0, 1)}
    accounts = [*CONFIG["tenants"], {"name": "beta", "apiKeys": ["key-b"]}]
    assert in_use(tenants=accounts)["desk"] == (0, 1, 2)


def test_routes_alone_determine_priorities_without_accounts():
    """Guards against a configuration without keys that is taken for one without priorities."""
    assert in_use(tenants=None)["pool"] == (1,)
    assert in_use(tenants=None)["desk"] == (0, 2)


def test_one_priority_for_all_requests_is_no_priority():
    """Guards against headers to servers where all requests are equal."""
    routes = [{**route, "priority": 1} for route in CONFIG["routes"]]
    same = decode_configuration(config_bytes(routes=routes)).ok
    assert not RouteTable(same).has_priorities
    assert RouteTable(decode_configuration(config_bytes()).ok).has_priorities
