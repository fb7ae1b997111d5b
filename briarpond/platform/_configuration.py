"""Decoder of the operator's configuration, a JSON record in the platform's store.

The structs below have the platform's field names, including its spelling, and the
platform's default values. Unknown fields are ignored. Names that end in ``Ms`` or
``_ms`` hold milliseconds, those that end in ``S`` seconds.
"""

from typing import Any

import msgspec
from expression import Ok, Result

from briarpond.decoding import decode_json
from briarpond.ids import AccountId, ServiceName
from briarpond.routes import (
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

_REQUEST_KINDS = {kind.value: kind for kind in RouteKind}
_DEFAULT_TIMEOUT_MS = 30_000.0
# Largest numbers that are used of a cold server's rate and of its time after the start.
_MAX_COLD_PER_S = 1e6
_MAX_COLD_START_S = 3600.0


class _SplitPart(msgspec.Struct):
    """One of several services between which a route's requests are split by weight."""

    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    """Rule for the requests of one host and path prefix.

    `type` is a value of ``RouteKind``. `service` is used only if `split` has no
    part with a positive weight.
    """

    name: str
    host: str
    pathPrefix: str  # noqa: N815 - field names of the platform
    type: str = RouteKind.NON_IDEMPOTENT.value
    service: str = ""
    split: list[_SplitPart] = []
    timeoutMs: float = _DEFAULT_TIMEOUT_MS  # noqa: N815
    # Latency targets: time to the answer (of a stream: to its first byte), and the
    # pause between the events of a stream.
    goalMs: float = 0.0  # noqa: N815
    gapGoalMs: float = 0.0  # noqa: N815
    maxAttempts: int = 1  # noqa: N815
    priority: int = 0
    # Whether requests are accepted without an API key.
    public: bool = False
    # Whether the requests are for a model, which runs on a group of instances.
    # "sticky" does not mean session affinity here.
    sticky: bool = False
    resumable: bool = False


class _Tenant(msgspec.Struct):
    """A client account; its priority, if set, replaces that of the route."""

    name: str
    apiKeys: list[str] = []  # noqa: N815
    priority: int | None = None


class _Model(msgspec.Struct):
    """A model that the instances of a service can host."""

    name: str
    # Number of instances in a group.
    size: int = 1
    # Expected part of the service's load at the start, relative to the other models.
    share: float = 1.0
    # Factor on all times of a group; above 1 the model is slower.
    pace: float = 1.0
    # Time to load the weights onto a host, and to join a group once they are there.
    loadS: float = 0.0  # noqa: N815
    warmS: float = 0.0  # noqa: N815


class _MeanTokens(msgspec.Struct):
    """Mean number of tokens of a prompt and of an answer."""

    prompt: float = 1000.0
    answer: float = 150.0


class _Engine(msgspec.Struct):
    """Capacity and speed of the inference engine of a service."""

    # Requests that a group runs at once.
    slots: int = 1
    # Tokens that fit into the key-value cache of a group.
    kvCapacity: int = 1_000_000  # noqa: N815
    # Time of one decoding step: fixed part, for each running sequence, and for
    # each 1,000 tokens of its context (milliseconds too, though not in the name).
    step_ms: float = 10.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    # Prompt tokens that are processed in a second.
    read_per_s: float = 40_000.0
    usual: _MeanTokens = msgspec.field(default_factory=_MeanTokens)
    # Loads of model weights: how many may start in a second, and how many run at
    # full speed at once.
    loadsPerS: float = 1.0  # noqa: N815
    loads_at_once: int = 1
    # Time from the order to open a group until it serves.
    formMs: float = 0.0  # noqa: N815
    models: list[_Model] = []


class _Service(msgspec.Struct):
    """A service; one without an engine consists of plain servers."""

    name: str
    healthPath: str = "/"  # noqa: N815
    maxConns: int = 100  # noqa: N815
    # Requests a second that a cold server can handle; 0 means no limit.
    coldPerS: float = 0.0  # noqa: N815
    # How long a server is cold after its start.
    coldStartS: float = 0.0  # noqa: N815
    engine: _Engine | None = None


class _CallerLimits(msgspec.Struct):
    """Limits on requests of callers: sizes, and times on an incoming connection."""

    maxHeaderBytes: int = 16_384  # noqa: N815
    maxBodyBytes: int = 4_194_304  # noqa: N815
    headerTimeoutMs: float = 3_000.0  # noqa: N815
    idleTimeoutMs: float = 15_000.0  # noqa: N815


class _Document(msgspec.Struct):
    """The whole record; API keys are checked only if `tenants` is present."""

    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _CallerLimits = msgspec.field(default_factory=_CallerLimits)
    tenants: list[_Tenant] | None = None


_decoder: Any = msgspec.json.Decoder(_Document)


def decode_configuration(body: bytes) -> Result[GatewayConfiguration, str]:
    """Decode one version of the operator's configuration.

    Parameters
    ----------
    body : bytes
        Value of the configuration's record in the store, as JSON.

    Returns
    -------
    Result
        The configuration, or the decoder's message: which field is missing or has
        a wrong type.
    """
    decoded = decode_json(_decoder, body)
    if decoded.is_error():
        return decoded
    document: _Document = decoded.ok
    limits = document.limits
    return Ok(
        GatewayConfiguration(
            version=document.version,
            routes=tuple(_to_route(route) for route in document.routes),
            services={ServiceName(entry.name): _to_service(entry) for entry in document.services},
            limits=CallerLimits(
                limits.maxHeaderBytes,
                limits.maxBodyBytes,
                limits.headerTimeoutMs / 1000,
                limits.idleTimeoutMs / 1000,
            ),
            tenants=tuple(
                Tenant(AccountId(entry.name), tuple(entry.apiKeys), entry.priority)
                for entry in document.tenants or ()
            ),
            requires_keys=document.tenants is not None,
        )
    )


def _to_route(route: _Route) -> Route:
    """Convert a route; an unknown `type` is treated as not idempotent."""
    services = tuple(
        WeightedService(ServiceName(part.service), part.weight)
        for part in route.split
        if part.weight > 0
    )
    if not services:
        services = (WeightedService(ServiceName(route.service), 1.0),)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.pathPrefix,
        kind=_REQUEST_KINDS.get(route.type, RouteKind.NON_IDEMPOTENT),
        services=services,
        timeout_s=route.timeoutMs / 1000,
        first_byte_goal_s=route.goalMs / 1000,
        event_gap_goal_s=route.gapGoalMs / 1000,
        priority=route.priority,
        max_attempts=max(1, route.maxAttempts),
        public=route.public,
        runs_model=route.sticky,
        resumable=route.resumable,
    )


def _to_service(service: _Service) -> ServiceSpec:
    engine = service.engine
    spec = None if engine is None else _to_engine(engine)
    return ServiceSpec(
        ServiceName(service.name),
        service.healthPath,
        max(1, service.maxConns),
        spec,
        min(max(0.0, service.coldPerS), _MAX_COLD_PER_S),
        min(max(0.0, service.coldStartS), _MAX_COLD_START_S),
    )


def _to_engine(engine: _Engine) -> EngineSpec:
    """Convert an engine's figures to seconds."""
    return EngineSpec(
        slots=max(1, engine.slots),
        kv_cache_tokens=engine.kvCapacity,
        step_fixed_s=engine.step_ms / 1000,
        step_per_request_s=engine.per_seq_ms / 1000,
        step_per_1k_context_s=engine.context_per_k / 1000,
        prefill_tokens_per_s=engine.read_per_s,
        mean_prompt_tokens=engine.usual.prompt,
        mean_answer_tokens=engine.usual.answer,
        load_starts_per_s=engine.loadsPerS,
        max_concurrent_loads=engine.loads_at_once,
        group_opening_s=engine.formMs / 1000,
        models=tuple(
            ModelSpec(
                ModelName(model.name),
                model.size,
                model.pace,
                model.share,
                model.loadS,
                model.warmS,
            )
            for model in engine.models
        ),
    )
