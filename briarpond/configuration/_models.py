"""Typed model of the configuration document.

Maps are keyed by identifier so that an RFC 7396 merge patch can name one entry.
"""

from typing import Annotated

import msgspec
from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class DeploymentConfig(_Strict):
    """Groups that together serve one model.

    Attributes
    ----------
    service : str
        Service name under which the instance list shows the instances.
    model, version : str
        What each member loads.
    adapters : dict
        Adapter name to adapter version.
    group_size : int
        Instances that form one group.
    groups : dict
        Data centre to the number of groups wanted there.
    """

    service: Name
    model: Name
    version: Name
    adapters: dict[Name, Name] = {}
    group_size: Annotated[int, Field(ge=1, le=64)]
    groups: dict[Name, Annotated[int, Field(ge=0, le=10_000)]]


class ServiceConfig(_Strict):
    """One plain service.

    Attributes
    ----------
    idempotent : dict
        HTTP method to whether a call with it may be repeated; methods not
        named follow RFC 9110.
    timeout_s : float
        Longest time for one whole answer.
    """

    idempotent: dict[Annotated[str, Field(pattern=r"^[A-Z]{1,16}$")], bool] = {}
    timeout_s: Annotated[float, Field(gt=0, le=3600)] = 30.0


class AccountConfig(_Strict):
    """One client account; its keys are kept only as SHA-256 digests.

    Attributes
    ----------
    requests_per_s, tokens_per_s : float
        Sustained rates over the whole deployment.
    concurrency : int
        Requests in flight over the whole deployment.
    weight : float
        Share when capacity is short.
    priority : int
        Passed to the engines; a lower number is served first.
    """

    key_sha256: tuple[Sha256, ...] = ()
    requests_per_s: Annotated[float, Field(gt=0)] = 50.0
    tokens_per_s: Annotated[float, Field(gt=0)] = 20_000.0
    concurrency: Annotated[int, Field(ge=1)] = 64
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    priority: Annotated[int, Field(ge=0, le=9)] = 5


class PolicyConfig(_Strict):
    """How the planner and the requests weigh one outcome against another.

    Attributes
    ----------
    downtime_weight : float
        0 favours few stranded accelerators, 1 favours little group downtime.
    max_loading : int
        Groups of one data centre that load weights at the same time.
    order_settle_s : float
        Longest time that an order may still be under way to an engine.
    load_timeout_s : float
        Time after which a group that is not ready is dissolved.
    claims_kept : int
        Idempotency keys remembered, newest first.
    engine_timeout_s : float
        Longest time without a byte from an engine.
    engine_slots, server_slots : int
        Requests at one group or plain server beyond which others wait here.
    first_token_s : float
        First-byte time beyond which a request waits at the node, seconds.
    queue_s : float
        Longest wait at the node of a request without a deadline, seconds.
    prefill_s_per_kb : float
        Time that an engine takes to compute 1,024 bytes of prompt, seconds.
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


class Document(_Strict):
    """The whole configuration document."""

    deployments: dict[Name, DeploymentConfig] = {}
    services: dict[Name, ServiceConfig] = {}
    accounts: dict[Name, AccountConfig] = {}
    policy: PolicyConfig = PolicyConfig()


class Configuration(msgspec.Struct, frozen=True):
    """An accepted document with its number.

    Attributes
    ----------
    version : int
        Rises by one with each accepted patch; 0 is the empty configuration.
    document : Document
        What is in force.
    """

    version: int
    document: Document


EMPTY = Configuration(0, Document())
