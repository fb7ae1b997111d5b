"""The operator's configuration of the gateway: routes, services, tenants and limits."""

from ._models import (
    CallerLimits,
    EngineSpec,
    GatewayConfiguration,
    ModelName,
    ModelSpec,
    Route,
    RouteKind,
    ServiceSpec,
    Tenant,
    WeightedService,
)
from ._table import Match, RouteTable, choose_service

__all__ = [
    "CallerLimits",
    "Configuration",
    "EngineSpec",
    "Match",
    "ModelName",
    "ModelSpec",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServiceSpec",
    "Tenant",
    "WeightedService",
    "choose_service",
]
