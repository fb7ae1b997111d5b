"""Priorities that requests can have under a configuration."""

from briarpond.ids import ServiceName

from ._models import GatewayConfiguration, Route, Tenant


def request_priority(route: Route, tenant: Tenant | None) -> int:
    """Return the priority of a request; 0 is the most urgent.

    Parameters
    ----------
    route : Route
        Route that the request matched.
    tenant : Tenant or None
        Its client account, whose own priority takes precedence; None without a known key.
    """
    if tenant is not None and tenant.priority is not None:
        return tenant.priority
    return route.priority


def priorities_in_use(config: GatewayConfiguration) -> dict[ServiceName, tuple[int, ...]]:
    """Return the priorities that requests to each service can have, in ascending order.

    Parameters
    ----------
    config : GatewayConfiguration
        The configuration in force.
    """
    in_use: dict[ServiceName, set[int]] = {}
    for route in config.routes:
        callers: list[Tenant | None] = list(config.tenants)
        if route.public or not config.requires_keys:
            callers.append(None)
        priorities = {request_priority(route, caller) for caller in callers}
        for part in route.services:
            in_use.setdefault(part.service, set()).update(priorities)
    return {service: tuple(sorted(priorities)) for service, priorities in in_use.items()}
