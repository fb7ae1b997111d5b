"""Typed model of the settings of one process."""

from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from briarpond.net import Address

AddressField = Annotated[Address, BeforeValidator(Address.parse)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Seconds = Annotated[float, Field(gt=0, le=86400)]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(_Strict):
    """Addresses that this process binds, and that others reach it by."""

    callers: AddressField
    operators: AddressField
    peers: AddressField


class PlatformSettings(_Strict):
    """Addresses of the services of the platform."""

    log: AddressField
    instances: AddressField
    token: str = ""


class OperatorSettings(_Strict):
    """One operator and the SHA-256 of the key that the operator presents."""

    name: Name
    key_sha256: Sha256


class PeerSettings(_Strict):
    """How nodes of the deployment find and trust each other."""

    secret: Annotated[str, Field(min_length=16)]
    seeds: tuple[AddressField, ...] = ()


class LimitSettings(_Strict):
    """Bounds on what one caller can make this process hold."""

    connections: Annotated[int, Field(ge=1, le=100_000)] = 2_000
    header_bytes: Annotated[int, Field(ge=1024)] = 16 * 1024
    request_bytes: Annotated[int, Field(ge=1024)] = 4 * 1024 * 1024
    request_read_s: Seconds = 20.0
    idle_s: Seconds = 120.0
    write_buffer_bytes: Annotated[int, Field(ge=1024)] = 256 * 1024
    whole_answer_bytes: Annotated[int, Field(ge=1024)] = 8 * 1024 * 1024


class TimingSettings(_Strict):
    """Intervals and timeouts of this process, in seconds."""

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


class StopSettings(_Strict):
    """How a graceful shutdown proceeds, in seconds."""

    entry_ttl_s: Seconds = 5.0
    limit_s: Seconds = 120.0


class Settings(_Strict):
    """All settings of one process."""

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
