"""The operator's configuration of the gateway: routes, services, tenants and limits."""

from ._models import (
    CallerLimits,
    EngineSpec,
    GatewayConfiguration,
    HostedModel,
    ModelName,
    ModelSpec,
    Route,
    RouteKind,
    ServiceSpec,
    Tenant,
    WeightedService,
)
from ._priorities import priorities_in_use, request_priority
from ._table import Match, RouteTable, choose_service

__all__ = [
    "CallerLimits",
    "EngineSpec",
    "GatewayConfiguration",
    "HostedModel",
    "Match",
    "ModelName",
    "ModelSpec",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceSpec",
    "Tenant",
    "WeightedService",
    "choose_service",
    "priorities_in_use",
    "request_priority",
]
