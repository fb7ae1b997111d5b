"""Typed model of the configuration document.

Collections are maps by identifier and not lists, so that an RFC 7396 merge patch can
change a single entry.
"""

from typing import Annotated

import msgspec
from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class _StrictModel(BaseModel):
    """Immutable model that refuses unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class DeploymentConfig(_StrictModel):
    """Groups that serve one version of a model.

    Attributes
    ----------
    service : str
        Service name under which the instance list shows the instances.
    model, version : str
        Name and version of the model that each member loads.
    adapters : dict
        Name to version of the adapters that each member loads.
    group_size : int
        Number of instances in one group.
    groups : dict
        Data centre to the number of groups that planners maintain there.
    """

    service: Name
    model: Name
    version: Name
    adapters: dict[Name, Name] = {}
    group_size: Annotated[int, Field(ge=1, le=64)]
    groups: dict[Name, Annotated[int, Field(ge=0, le=10_000)]]


class ServiceConfig(_StrictModel):
    """One plain service: backend servers that are in no group.

    Attributes
    ----------
    idempotent : dict
        HTTP method to whether a request with it may be sent again after it may have
        run; methods that are not listed follow RFC 9110.
    timeout_s : float
        Longest time without a byte from the backend server, seconds.
    """

    idempotent: dict[Annotated[str, Field(pattern=r"^[A-Z]{1,16}$")], bool] = {}
    timeout_s: Annotated[float, Field(gt=0, le=3600)] = 30.0


class AccountConfig(_StrictModel):
    """One client account and its limits.

    Attributes
    ----------
    key_sha256 : tuple of str
        SHA-256 digests of the account's API keys; the keys themselves are not stored.
    requests_per_s, tokens_per_s : float
        Limits of the sustained rates, over all nodes together.
    concurrency : int
        Limit of the requests in flight, over all nodes together.
    weight : float
        Share of the capacity, relative to the other accounts, while requests wait.
    priority : int
        Priority that is passed to the engines; lower numbers are served first.
    """

    key_sha256: tuple[Sha256, ...] = ()
    requests_per_s: Annotated[float, Field(gt=0)] = 50.0
    tokens_per_s: Annotated[float, Field(gt=0)] = 20_000.0
    concurrency: Annotated[int, Field(ge=1)] = 64
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    priority: Annotated[int, Field(ge=0, le=9)] = 5


class PolicyConfig(_StrictModel):
    """Parameters of planning and of request handling, for all nodes.

    Attributes
    ----------
    downtime_weight : float
        Balance between stranded accelerators and group downtime: 0 favours few
        stranded accelerators, 1 favours little downtime.
    max_loading : int
        Groups of one data centre that may load weights at the same time.
    order_settle_s : float
        Longest time that an order to an engine may be in transit, seconds. A planner
        waits this long before it uses a released instance again or dissolves a
        retiring group.
    load_timeout_s : float
        Time after which a group that does not become ready is dissolved, seconds.
    claims_kept : int
        Number of claims of idempotency keys that are kept; the oldest are dropped.
    engine_timeout_s : float
        Longest time without a byte from an engine, seconds.
    engine_slots, server_slots : int
        Requests in flight at one group or at one plain server; above it further ones
        wait at the node.
    first_token_s : float
        Expected time to the first byte above which a request waits at the node,
        seconds.
    queue_s : float
        Longest time that a request waits at the node, seconds; its deadline may be
        earlier.
    prefill_s_per_kb : float
        Time that an engine takes to process 1,024 characters of prompt, seconds.
    """

    downtime_weight: Annotated[float, Field(ge=0, le=1)] = 0.5
    max_loading: Annotated[int, Field(ge=1, le=1000)] = 2
    order_settle_s: Annotated[float, Field(ge=0, le=600)] = 3.0
    load_timeout_s: Annotated[float, Field(gt=0, le=7200)] = 120.0
    claims_kept: Annotated[int, Field(ge=100, le=1_000_000)] = 20_000
    engine_timeout_s: Annotated[float, Field(gt=0, le=3600)] = 30.0
    engine_slots: Annotated[int, Field(ge=1, le=10_000)] = 64
    server_slots: Annotated[int, Field(ge=1, le=10_000)] = 256
    first_token_s: Annotated[float, Field(gt=0, le=600)] = 0.9
    queue_s: Annotated[float, Field(gt=0, le=600)] = 10.0
    prefill_s_per_kb: Annotated[float, Field(ge=0, le=60)] = 0.05


class Document(_StrictModel):
    """Whole configuration document.

    Attributes
    ----------
    deployments : dict
        Identifier to deployment.
    services : dict
        Service name to plain service.
    accounts : dict
        Identifier to client account.
    policy : PolicyConfig
        Parameters for all nodes.
    """

    deployments: dict[Name, DeploymentConfig] = {}
    services: dict[Name, ServiceConfig] = {}
    accounts: dict[Name, AccountConfig] = {}
    policy: PolicyConfig = PolicyConfig()


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Number of patches accepted so far; 0 is the empty configuration.
    document : Document
        Document of this version.
    """

    version: int
    document: Document


EMPTY_CONFIGURATION = Configuration(0, Document())
