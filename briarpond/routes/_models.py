"""One version of the operator's configuration, in types."""

from enum import Enum
from typing import NewType

import msgspec

from briarpond.ids import AccountId, ServiceName

ModelName = NewType("ModelName", str)


class RequestKind(Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services that share a route's requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How requests of one host and path prefix are handled.

    Attributes
    ----------
    timeout_s, goal_s : float
        Longest time to the final answer; time to the (first byte of the) answer
        within which it has its full value.
    gap_goal_s : float
        Longest pause between events of a stream that is still on time.
    priority : int
        Rank; 0 is the most urgent.
    max_attempts : int
        Backend servers to which one request may be sent.
    runs_model : bool
        Whether requests name a model and run in a group of instances.
    resumable : bool
        Whether a stream may go on at another server after its last event.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    goal_s: float
    gap_goal_s: float
    priority: int
    max_attempts: int
    public: bool
    runs_model: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.resumable
        )


class Tenant(msgspec.Struct, frozen=True):
    """A client account with its keys; `priority` goes before the route's."""

    name: AccountId
    keys: tuple[str, ...]
    priority: int | None = None


class ModelSpec(msgspec.Struct, frozen=True):
    """A model that groups of `size` instances host together.

    Attributes
    ----------
    pace : float
        Factor on all times of a group.
    share : float
        Expected share of the instances' work at the start.
    load_s, warm_s : float
        Time to load the weights onto a host; time to join from the host's copy.
    """

    name: ModelName
    size: int
    pace: float
    share: float
    load_s: float
    warm_s: float


class EngineSpec(msgspec.Struct, frozen=True):
    """Speed and size of the engines of a service.

    Attributes
    ----------
    slots : int
        Requests that a group runs at once.
    kv_tokens : int
        Tokens that fit into a group's memory.
    step_s, per_sequence_s, per_context_s : float
        Time of a token step: fixed, for each running request, and for each
        1,000 tokens of its context.
    read_tokens_per_s : float
        Prompt tokens read in a second.
    usual_prompt, usual_answer : float
        Mean tokens of a prompt and of an answer.
    loads_per_s, loads_at_once : float, int
        Weight loads that may start in a second; loads that run at full speed.
    form_s : float
        From the order to open a group until it serves.
    """

    slots: int
    kv_tokens: int
    step_s: float
    per_sequence_s: float
    per_context_s: float
    read_tokens_per_s: float
    usual_prompt: float
    usual_answer: float
    loads_per_s: float
    loads_at_once: int
    form_s: float
    models: tuple[ModelSpec, ...]

    def model(self, name: ModelName) -> ModelSpec | None:
        """Return the model called `name`."""
        return next((model for model in self.models if model.name == name), None)


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service; `engine` is set where its instances form groups."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceSpec]
    limits: CallerLimits
    tenants: tuple[Tenant, ...]
    asks_keys: bool
