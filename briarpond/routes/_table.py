"""Look-up of routes by host and longest path prefix, and of tenants by key."""

import random

import msgspec

from briarpond.ids import ServiceName

from ._models import GatewayConfiguration, Route, Tenant, WeightedService
from ._priorities import priorities_in_use


class Match(msgspec.Struct, frozen=True):
    """Route and tenant of a request.

    Attributes
    ----------
    route : Route
        Route that the host and the path select.
    tenant : Tenant or None
        Tenant that holds the request's key; None without a known key.
    """

    route: Route
    tenant: Tenant | None


class RouteTable:
    """Routes and tenants of one configuration, indexed for look-ups.

    Attributes
    ----------
    config : GatewayConfiguration
        Configuration that the table was built from.
    priorities : dict
        Priorities that requests to each service can have, in ascending order.
    has_priorities : bool
        Whether requests of the configuration can have different priorities.
    """

    def __init__(self, config: GatewayConfiguration) -> None:
        self.config = config
        self.priorities = priorities_in_use(config)
        self.has_priorities = len({each for row in self.priorities.values() for each in row}) > 1
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            self._routes_by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._tenants_by_key = {key: tenant for tenant in config.tenants for key in tenant.keys}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`; None if there is none.

        Only prefixes that end with ``/`` are considered, so that a prefix always covers
        whole path segments.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header, with or without port.
        path : str
            Path of the request, without query.
        """
        routes = self._routes_by_host.get(_without_port(host).lower())
        if routes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def tenant_of_key(self, key: str | None) -> Tenant | None:
        """Return the tenant that holds `key`; None without a key or if no tenant holds it."""
        return None if key is None else self._tenants_by_key.get(key)

    def allows(self, route: Route, key: str | None) -> bool:
        """Whether a request with `key`, None if it has none, may use `route`."""
        return route.public or not self.config.requires_keys or self.tenant_of_key(key) is not None


def choose_service(route: Route, rng: random.Random) -> ServiceName:
    """Return a service of the route, chosen at random by weight."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    return _service_at(services, rng.random())


def _service_at(services: tuple[WeightedService, ...], fraction: float) -> ServiceName:
    """Return the service at a fraction, from 0 up to 1, of the sum of the weights."""
    remaining = fraction * sum(entry.weight for entry in services)
    for entry in services:
        remaining -= entry.weight
        if remaining < 0:
            return entry.service
    return services[-1].service


def _without_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host
