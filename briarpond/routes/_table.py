"""Look-up of routes by host and longest path prefix, and of tenants by key."""

import random

import msgspec

from briarpond.ids import ServiceName

from ._models import Configuration, Route, Tenant, WeightedService


class Match(msgspec.Struct, frozen=True):
    """A route and, where the request carries a known key, its tenant."""

    route: Route
    tenant: Tenant | None


class RouteTable:
    """The routes and keys of one configuration, indexed."""

    def __init__(self, config: Configuration) -> None:
        self.config = config
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self._tenants = {key: tenant for tenant in config.tenants for key in tenant.keys}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`."""
        routes = self._by_host.get(_without_port(host).lower())
        if routes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def tenant(self, key: str | None) -> Tenant | None:
        """Return the tenant that holds `key`."""
        return None if key is None else self._tenants.get(key)

    def admits(self, route: Route, key: str | None) -> bool:
        """Whether a request with `key` may use `route`."""
        return route.public or not self.config.asks_keys or self.tenant(key) is not None


def choose_service(route: Route, rng: random.Random) -> ServiceName:
    """Draw a service of the route by its weight."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    return _draw(services, rng.random())


def _draw(services: tuple[WeightedService, ...], point: float) -> ServiceName:
    left = point * sum(entry.weight for entry in services)
    for entry in services:
        left -= entry.weight
        if left < 0:
            return entry.service
    return services[-1].service


def _without_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host
