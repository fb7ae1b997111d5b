"""Typed model of the settings of one process."""

from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from briarpond.net import Address

AddressField = Annotated[Address, BeforeValidator(Address.parse)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Seconds = Annotated[float, Field(gt=0, le=86400)]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class _StrictModel(BaseModel):
    """Immutable model that refuses unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(_StrictModel):
    """Addresses that the node binds; others reach it at the same ones.

    Attributes
    ----------
    callers : Address
        HTTP interface for callers.
    operators : Address
        HTTP interface for operators.
    peers : Address
        Messages of other nodes.
    """

    callers: AddressField
    operators: AddressField
    peers: AddressField


class PlatformSettings(_StrictModel):
    """How the services of the platform are reached.

    Attributes
    ----------
    log : Address
        Store with the log.
    instances : Address
        Instance list.
    token : str
        Bearer token for the log; empty for requests without one.
    """

    log: AddressField
    instances: AddressField
    token: str = ""


class OperatorSettings(_StrictModel):
    """One operator.

    Attributes
    ----------
    name : str
        Name in the audit trail.
    key_sha256 : str
        SHA-256 of the operator's key, in hexadecimal.
    """

    name: Name
    key_sha256: Sha256


class PeerSettings(_StrictModel):
    """How the nodes of a deployment find and authenticate each other.

    Attributes
    ----------
    secret : str
        Key of the HMAC over every message; the same at all nodes.
    seeds : tuple of Address
        Addresses at which some nodes take messages of other nodes, used in addition to
        those of the nodes that have joined.
    """

    secret: Annotated[str, Field(min_length=16)]
    seeds: tuple[AddressField, ...] = ()


class LimitSettings(_StrictModel):
    """Limits of the resources that callers and operators can take up at the node.

    Attributes
    ----------
    connections : int
        Open connections at one listener; further ones are refused.
    header_bytes, request_bytes : int
        Largest header section, and largest request body.
    body_bytes : int
        Room for all request bodies of the node together, from the first byte to the end of the
        answer; each counts twice.
    request_read_s : float
        Longest time in which a request must have arrived whole, seconds.
    idle_s : float
        Time after which a connection without a request is closed, seconds.
    write_buffer_bytes : int
        Bytes buffered for one caller above which the backend server's answer is not
        read any further until they are written.
    whole_answer_bytes : int
        Largest answer of a backend server that is not a stream.
    """

    connections: Annotated[int, Field(ge=1, le=100_000)] = 2_000
    header_bytes: Annotated[int, Field(ge=1024)] = 16 * 1024
    request_bytes: Annotated[int, Field(ge=1024)] = 4 * 1024 * 1024
    body_bytes: Annotated[int, Field(ge=1024)] = 64 * 1024 * 1024
    request_read_s: Seconds = 20.0
    idle_s: Seconds = 120.0
    write_buffer_bytes: Annotated[int, Field(ge=1024)] = 256 * 1024
    whole_answer_bytes: Annotated[int, Field(ge=1024)] = 8 * 1024 * 1024


class TimingSettings(_StrictModel):
    """Intervals and timeouts of the node, in seconds.

    Attributes
    ----------
    log_poll_s : float
        Interval at which the log is read, if this node is the one to read it.
    log_timeout_s : float
        Timeout of a request to the log or for the instance list.
    list_poll_s : float
        Interval at which the instance list is read.
    probe_s : float
        Interval at which instances are probed.
    probe_timeout_s : float
        Timeout of a probe or of an order to an instance.
    presence_ttl_s : float
        Time for which the report of an instance counts; a group without newer reports
        is not ready.
    peer_pull_s : float
        Interval at which the node pulls from peers.
    peer_dead_s : float
        Silence of a peer after which it counts as dead and gets no share of the work.
    node_gone_s : float
        Silence of a node after which a planner removes it.
    contact_lost_s : float
        Age of the folded state above which the node refuses requests that are not
        idempotent.
    plan_s : float
        Interval of the planning rounds.
    lease_ttl_s : float
        Time after which a lease that is not renewed may be taken by another node.
    snapshot_s : float
        Longest interval between snapshots of the state while records are folded.
    connect_s : float
        Timeout of a connection to a backend server.
    """

    log_poll_s: Seconds = 0.2
    log_timeout_s: Seconds = 2.0
    list_poll_s: Seconds = 1.0
    probe_s: Seconds = 0.5
    probe_timeout_s: Seconds = 1.0
    presence_ttl_s: Seconds = 2.0
    peer_pull_s: Seconds = 0.25
    peer_dead_s: Seconds = 3.0
    node_gone_s: Seconds = 30.0
    contact_lost_s: Seconds = 10.0
    plan_s: Seconds = 0.5
    lease_ttl_s: Seconds = 5.0
    snapshot_s: Seconds = 60.0
    connect_s: Seconds = 1.0


class StopSettings(_StrictModel):
    """Graceful shutdown; times in seconds.

    Attributes
    ----------
    entry_ttl_s : float
        Time for which callers may keep the addresses of nodes that they were given;
        the node keeps serving for this time after its address is no longer given out.
    limit_s : float
        Longest time of the shutdown; requests still running then are interrupted.
    """

    entry_ttl_s: Seconds = 5.0
    limit_s: Seconds = 120.0


class Settings(_StrictModel):
    """All settings of one node.

    Attributes
    ----------
    node : str
        Name of the node, unique in the deployment.
    data_centre, region : str
        Where the node runs.
    """

    node: Name
    data_centre: Name
    region: Name
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    operators: tuple[OperatorSettings, ...] = ()
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    stop: StopSettings = StopSettings()
