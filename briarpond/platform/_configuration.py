"""The operator's configuration as the platform stores it, translated."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from briarpond.ids import AccountId, ServiceName
from briarpond.routes import (
    CallerLimits,
    Configuration,
    EngineSpec,
    ModelName,
    ModelSpec,
    RequestKind,
    Route,
    ServiceSpec,
    Tenant,
    WeightedService,
)

_KINDS = {kind.value: kind for kind in RequestKind}
_DEFAULT_TIMEOUT_MS = 30_000.0


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str  # noqa: N815 - names of the platform
    type: str = RequestKind.NON_IDEMPOTENT.value
    service: str = ""
    split: list[_Split] = []
    timeoutMs: float = _DEFAULT_TIMEOUT_MS  # noqa: N815
    goalMs: float = 0.0  # noqa: N815
    gapGoalMs: float = 0.0  # noqa: N815
    maxAttempts: int = 1  # noqa: N815
    priority: int = 0
    public: bool = False
    # The platform calls routes that carry model requests sticky.
    sticky: bool = False
    resumable: bool = False


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []  # noqa: N815
    priority: int | None = None


class _Model(msgspec.Struct):
    name: str
    size: int = 1
    share: float = 1.0
    pace: float = 1.0
    loadS: float = 0.0  # noqa: N815
    warmS: float = 0.0  # noqa: N815


class _Usual(msgspec.Struct):
    prompt: float = 1000.0
    answer: float = 150.0


class _Engine(msgspec.Struct):
    slots: int = 1
    kvCapacity: int = 1_000_000  # noqa: N815
    step_ms: float = 10.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 40_000.0
    usual: _Usual = msgspec.field(default_factory=_Usual)
    loadsPerS: float = 1.0  # noqa: N815
    loads_at_once: int = 1
    formMs: float = 0.0  # noqa: N815
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    healthPath: str = "/"  # noqa: N815
    maxConns: int = 100  # noqa: N815
    engine: _Engine | None = None


class _CallerLimits(msgspec.Struct):
    maxHeaderBytes: int = 16_384  # noqa: N815
    maxBodyBytes: int = 4_194_304  # noqa: N815
    headerTimeoutMs: float = 3_000.0  # noqa: N815
    idleTimeoutMs: float = 15_000.0  # noqa: N815


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _CallerLimits = msgspec.field(default_factory=_CallerLimits)
    tenants: list[_Tenant] | None = None


_decoder: Any = msgspec.json.Decoder(_Document)


def decode_configuration(body: bytes) -> Result[Configuration, str]:
    """Translate the operator's record; the error says what cannot be read."""
    try:
        document = _decoder.decode(body)
    except msgspec.MsgspecError as exc:
        return Error(str(exc))
    limits = document.limits
    return Ok(
        Configuration(
            version=document.version,
            routes=tuple(_route(route) for route in document.routes),
            services={ServiceName(entry.name): _service(entry) for entry in document.services},
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
            asks_keys=document.tenants is not None,
        )
    )


def _route(route: _Route) -> Route:
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
        prefix=route.pathPrefix,
        kind=_KINDS.get(route.type, RequestKind.NON_IDEMPOTENT),
        services=services,
        timeout_s=route.timeoutMs / 1000,
        goal_s=route.goalMs / 1000,
        gap_goal_s=route.gapGoalMs / 1000,
        priority=route.priority,
        max_attempts=max(1, route.maxAttempts),
        public=route.public,
        runs_model=route.sticky,
        resumable=route.resumable,
    )


def _service(service: _Service) -> ServiceSpec:
    engine = service.engine
    spec = None if engine is None else _engine(engine)
    return ServiceSpec(
        ServiceName(service.name), service.healthPath, max(1, service.maxConns), spec
    )


def _engine(engine: _Engine) -> EngineSpec:
    return EngineSpec(
        slots=max(1, engine.slots),
        kv_tokens=engine.kvCapacity,
        step_s=engine.step_ms / 1000,
        per_sequence_s=engine.per_seq_ms / 1000,
        per_context_s=engine.context_per_k / 1000,
        read_tokens_per_s=engine.read_per_s,
        usual_prompt=engine.usual.prompt,
        usual_answer=engine.usual.answer,
        loads_per_s=engine.loadsPerS,
        loads_at_once=engine.loads_at_once,
        form_s=engine.formMs / 1000,
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
