"""One version of the operator's configuration as typed values."""

from enum import Enum
from typing import NewType

import msgspec

from briarpond.ids import AccountId, ServiceName

ModelName = NewType("ModelName", str)


class RouteKind(Enum):
    """Kind of a route, which determines whether its requests may be repeated.

    Attributes
    ----------
    IDEMPOTENT
        A request may run more than once.
    NON_IDEMPOTENT
        A request that may have run is not sent again.
    STREAM
        The answer is a stream of events; a request may run again if the route is
        resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services among which a route splits its requests.

    Attributes
    ----------
    service : ServiceName
        Name of the service.
    weight : float
        Part of the requests, relative to the sum of the route's weights.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How the requests of one host and path prefix are handled.

    Attributes
    ----------
    name : str
        Name of the route in logs.
    host : str
        Host name, without port; case does not matter.
    path_prefix : str
        Beginning of the path; it ends with ``/``.
    kind : RouteKind
        Whether requests may be repeated, and whether the answer is a stream.
    services : tuple of WeightedService
        Services among which the requests are split.
    timeout_s : float
        Longest time to the end of the answer, in seconds.
    first_byte_goal_s : float
        Time to the first byte of the answer within which the answer has its full value,
        in seconds; 0 if the route has no such goal.
    event_gap_goal_s : float
        Longest gap between two events of a stream that is still on time, in seconds.
    priority : int
        Rank among requests that wait; 0 is the most urgent. A tenant's own priority
        takes precedence.
    max_attempts : int
        Backend servers at which one request may run.
    public : bool
        Whether requests need no key.
    runs_model : bool
        Whether requests name a model and run in a group of instances.
    resumable : bool
        Whether a stream may continue at another server after its last event.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    first_byte_goal_s: float
    event_gap_goal_s: float
    priority: int
    max_attempts: int
    public: bool
    runs_model: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class Tenant(msgspec.Struct, frozen=True):
    """A client account.

    Attributes
    ----------
    name : AccountId
        Name of the client account.
    keys : tuple of str
        Keys with which callers of the account identify themselves.
    priority : int or None
        Rank of its requests among those that wait; None for the priority of the route.
    """

    name: AccountId
    keys: tuple[str, ...]
    priority: int | None = None


class ModelSpec(msgspec.Struct, frozen=True):
    """A model and the groups that host it.

    Attributes
    ----------
    name : ModelName
        Name by which requests ask for the model.
    group_size : int
        Instances of a group.
    time_factor : float
        Factor on the engine's step and prefill times.
    expected_share : float
        Expected share of the instances' work, relative to the sum over all models; used
        while the demand is not known.
    load_s : float
        Seconds to load the weights onto a host.
    warm_join_s : float
        Seconds to join a group if the host already has the weights.
    """

    name: ModelName
    group_size: int
    time_factor: float
    expected_share: float
    load_s: float
    warm_join_s: float


class EngineSpec(msgspec.Struct, frozen=True):
    """Speed and size of the engines of a service whose instances form groups.

    A decode step takes a fixed time and, for each running request, a time of its own and
    a time that grows with its context. All times apply to a model with time factor 1.

    Attributes
    ----------
    slots : int
        Requests that a group runs at once.
    kv_cache_tokens : int
        Tokens that fit into the key-value cache of a group.
    step_fixed_s : float
        Fixed seconds of a decode step.
    step_per_request_s : float
        Seconds of a decode step for each running request.
    step_per_1k_context_s : float
        Seconds of a decode step for each running request and 1,000 tokens of its context.
    prefill_tokens_per_s : float
        Prompt tokens processed in a second.
    mean_prompt_tokens : float
        Mean number of tokens of a prompt.
    mean_answer_tokens : float
        Mean number of tokens of an answer.
    load_starts_per_s : float
        Weight loads that may start in a second.
    max_concurrent_loads : int
        Weight loads that run at full speed at the same time.
    group_opening_s : float
        Seconds from the order to open a group until it serves.
    models : tuple of ModelSpec
        Models that the service hosts.
    """

    slots: int
    kv_cache_tokens: int
    step_fixed_s: float
    step_per_request_s: float
    step_per_1k_context_s: float
    prefill_tokens_per_s: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    load_starts_per_s: float
    max_concurrent_loads: int
    group_opening_s: float
    models: tuple[ModelSpec, ...]

    def model(self, name: ModelName) -> ModelSpec | None:
        """Return the model called `name`, or None if the service does not host it."""
        return next((model for model in self.models if model.name == name), None)


class HostedModel(msgspec.Struct, frozen=True):
    """A model as one service hosts it: several services may host models of the same name.

    Attributes
    ----------
    service : ServiceName
        The service.
    model : ModelName
        Name of the model.
    """

    service: ServiceName
    model: ModelName


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service.

    Attributes
    ----------
    name : ServiceName
        Name by which routes and instances refer to it.
    health_path : str
        Path of the health check at its backend servers.
    max_connections : int
        Limit on connections to the service, as the operator configured it.
    engine : EngineSpec or None
        Figures of the engine if the instances form groups; None for a plain service.
    cold_per_s : float
        Requests a second that a cold server can handle; 0 means no limit.
    cold_start_s : float
        Seconds for which a server is cold after its start, if its entry does not say so itself.
    """

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on what a caller may send and on how long it may take.

    Attributes
    ----------
    max_header_bytes : int
        Largest header section of a request.
    max_body_bytes : int
        Largest body of a request.
    header_timeout_s : float
        Longest time until the headers of a request are complete, in seconds.
    idle_timeout_s : float
        Seconds without a request after which a connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class GatewayConfiguration(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Number of the version; it grows with each change.
    routes : tuple of Route
        Routes of all hosts.
    services : dict
        Services by name.
    limits : CallerLimits
        Limits on the requests of callers.
    tenants : tuple of Tenant
        Client accounts.
    requires_keys : bool
        Whether requests need the key of a client account, except on public routes.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: CallerLimits
    tenants: tuple[Tenant, ...]
    requires_keys: bool
