"""Reader of the settings file, a YAML file in the platform's format.

The structs with a leading underscore have the platform's field names and defaults.
"""

import math
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
import yaml
from expression import Error, Ok, Result

from briarpond.ids import DataCentre, NodeId
from briarpond.net import Address

# Name of the part of the rules that asks for load shedding.
OVERLOAD_CONTRACT = "pressure"


class SettingsProblem(msgspec.Struct, frozen=True):
    """Why the settings file cannot be used.

    Attributes
    ----------
    code : str
        Stable code for tools, ``gateway.E001`` to ``gateway.E003``.
    message : str
        What is wrong.
    hint : str
        What the operator can do about it.
    """

    code: str
    message: str
    hint: str

    def __str__(self) -> str:
        """Return code, message and hint as one line for the log."""
        return f"{self.code}: {self.message} {self.hint}"


class StoreSettings(msgspec.Struct, frozen=True):
    """Access to the platform's store.

    Attributes
    ----------
    address : Address
        Address of the store.
    min_lease_ttl_s : float
        Shortest time to live of a lease that the store grants, in seconds.
    """

    address: Address
    min_lease_ttl_s: float


class ColdBound(msgspec.Struct, frozen=True):
    """Bound on the requests that one cold server receives in a second from all nodes.

    Attributes
    ----------
    overage : float
        Factor on the requests a second that the server can handle.
    slack : float
        Requests that are added to this.
    """

    overage: float
    slack: float


class BoundSettings(msgspec.Struct, frozen=True):
    """Limits that the deployment guarantees, which this node has to keep.

    Attributes
    ----------
    stop_timeout_s : float
        Seconds from the signal to stop until the process is killed.
    drain_within_s : float
        Longest time in seconds from the acknowledged departure of a server to the
        last new request that is sent to it.
    revoke_within_s : float
        Longest time in seconds from the withdrawal of an API key until requests
        with this key are no longer run.
    retry_ratio, retry_slack, retry_window_s : float
        Retries that all nodes together may send to a service within a window of
        `retry_window_s` seconds: `retry_ratio` times its requests, plus
        `retry_slack`.
    stall_s : float
        Seconds for which a group waits for a lost member before it breaks.
    weight_load_window_s : float
        Length in seconds of the window in which loads of model weights are counted.
    weight_load_factor : float
        Factor by which the loads in a window may exceed the configured rate.
    directory_ttl_max_s : float
        Longest time to live, in seconds, that callers accept in an answer of the
        directory.
    cold : ColdBound or None
        Bound on requests to a cold server; None if cold servers get no special treatment.
    """

    stop_timeout_s: float
    drain_within_s: float
    revoke_within_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    stall_s: float
    weight_load_window_s: float
    weight_load_factor: float
    directory_ttl_max_s: float
    cold: ColdBound | None = None


class GatewaySettings(msgspec.Struct, frozen=True):
    """Settings of one node of the gateway.

    Attributes
    ----------
    node : NodeId
        Name of this node, unique in the deployment.
    host : str
        IPv4 address at which other nodes and callers reach this node.
    data_centre : DataCentre
        Data centre in which this node runs.
    caller_address, readiness_address, directory_address : Address
        Addresses to listen on: for requests of callers, for the readiness check and
        for look-ups in the directory; without `directory_address` there are no look-ups.
    peer_port : int
        Port for the exchange between nodes (UDP and TCP), the same on all of them.
    store : StoreSettings
        Access to the platform's store.
    bounds : BoundSettings
        Limits that the deployment guarantees.
    sheds_load : bool
        Whether requests are refused by urgency when the groups are nearly full, and servers are
        told the priority of requests.
    first_start : bool
        Whether the whole system starts for the first time. Otherwise an outage of the
        store may have ended just before the instance list is first read, with
        entries still missing.
    seed_hosts : tuple of str
        Hosts of a few other nodes, some of which may be down.
    memory_bytes : int or None
        Memory of the machine that the process may use; None if the settings don't say.
    """

    node: NodeId
    host: str
    data_centre: DataCentre
    caller_address: Address
    readiness_address: Address
    directory_address: Address | None
    peer_port: int
    store: StoreSettings
    bounds: BoundSettings
    first_start: bool = False
    seed_hosts: tuple[str, ...] = ()
    memory_bytes: int | None = None
    sheds_load: bool = False


class _Listen(msgspec.Struct):
    """Addresses to listen on; `frontend` is for requests of callers."""

    frontend: str
    readiness: str
    directory: str = ""


class _Bounds(msgspec.Struct):
    """Limits of the deployment; see `BoundSettings` for their meaning."""

    graceS: float = 8.0  # noqa: N815
    drainMs: float = 2000.0  # noqa: N815
    revokeMs: float = 5000.0  # noqa: N815
    retryRatio: float = 0.2  # noqa: N815
    retrySlack: float = 50.0  # noqa: N815
    retryWindowS: float = 10.0  # noqa: N815
    stallMs: float = 4000.0  # noqa: N815
    # Limit on how many loads of model weights start within a window.
    ceilingWindowS: float = 5.0  # noqa: N815
    ceilingFactor: float = 1.0  # noqa: N815
    # Time to live of directory answers.
    ttl_max_s: float = 5.0
    # Requests to a cold server; if both are absent, there is no such bound.
    coldOverage: float | None = None  # noqa: N815
    coldSlack: float | None = None  # noqa: N815


class _Platform(msgspec.Struct):
    """The platform's store; `ttlMinMs` is the shortest lease that it grants."""

    addr: str
    ttlMinMs: float = 1000.0  # noqa: N815


class _Limits(msgspec.Struct):
    """Limits of the machine."""

    memoryMb: Annotated[float, msgspec.Meta(gt=0)] | None = None  # noqa: N815


class _SettingsFile(msgspec.Struct):
    nodeName: str  # noqa: N815
    ip: str
    zone: str
    listen: _Listen
    # Only the first port is used.
    internalPorts: list[int]  # noqa: N815
    platform: _Platform
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Whether the whole system starts for the first time.
    bootstrap: bool = False
    # Addresses of a few nodes; only their hosts are used.
    seeds: list[str] = msgspec.field(default_factory=list)
    # Names of the parts of the platform's rules that are in force.
    contracts: list[str] = msgspec.field(default_factory=list)


def load_gateway_settings(path: Path) -> Result[GatewaySettings, SettingsProblem]:
    """Read and check the settings file at `path`; unknown fields are ignored.

    Returns
    -------
    Result
        The settings, or the first problem that was found: the file cannot be read
        (``gateway.E001``), is not YAML (``E002``), or has a wrong or missing field
        (``E003``).
    """
    try:
        tree = yaml.load(path.read_text(encoding="utf-8"), Loader=_YAML_LOADER)
    except OSError as exc:
        return Error(SettingsProblem("gateway.E001", f"Cannot read {path}: {exc}.", "Check it."))
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        text = " ".join(str(exc).split())
        return Error(SettingsProblem("gateway.E002", f"Not YAML: {text}.", "Correct the file."))
    try:
        return Ok(_translate(tree))
    except (msgspec.ValidationError, ValueError) as exc:
        hint = "docs/ref/gateway.md lists what is needed."
        return Error(SettingsProblem("gateway.E003", f"Bad settings: {exc}.", hint))


def settings_path(environ: Mapping[str, str]) -> Path | None:
    """Return the path in the environment variable ``BRIARPOND_SETTINGS``, or None."""
    path = environ.get("BRIARPOND_SETTINGS")
    return Path(path) if path else None


# The parser in C, where PyYAML was built with it.
_YAML_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _translate(tree: object) -> GatewaySettings:
    file = msgspec.convert(tree, _SettingsFile)
    if not file.internalPorts:
        raise ValueError("internalPorts is empty")
    bounds = file.bounds
    platform = file.platform
    directory = file.listen.directory
    memory_mb = file.limits.memoryMb
    return GatewaySettings(
        node=NodeId(file.nodeName),
        host=file.ip,
        data_centre=DataCentre(file.zone),
        caller_address=Address.parse(file.listen.frontend),
        readiness_address=Address.parse(file.listen.readiness),
        directory_address=Address.parse(directory) if directory else None,
        peer_port=file.internalPorts[0],
        store=StoreSettings(
            address=Address.parse(platform.addr),
            min_lease_ttl_s=platform.ttlMinMs / 1000,
        ),
        bounds=BoundSettings(
            stop_timeout_s=bounds.graceS,
            drain_within_s=bounds.drainMs / 1000,
            revoke_within_s=bounds.revokeMs / 1000,
            retry_ratio=bounds.retryRatio,
            retry_slack=bounds.retrySlack,
            retry_window_s=bounds.retryWindowS,
            stall_s=bounds.stallMs / 1000,
            weight_load_window_s=bounds.ceilingWindowS,
            weight_load_factor=bounds.ceilingFactor,
            directory_ttl_max_s=bounds.ttl_max_s,
            cold=_to_cold_bound(bounds),
        ),
        first_start=file.bootstrap,
        seed_hosts=tuple(Address.parse(seed).host for seed in file.seeds),
        memory_bytes=None if memory_mb is None else int(memory_mb * 1024 * 1024),
        sheds_load=OVERLOAD_CONTRACT in file.contracts,
    )


def _to_cold_bound(bounds: _Bounds) -> ColdBound | None:
    """Convert the bound on requests to a cold server; a single absent part adds nothing to it."""
    if bounds.coldOverage is None and bounds.coldSlack is None:
        return None
    overage = 1.0 if bounds.coldOverage is None else bounds.coldOverage
    slack = 0.0 if bounds.coldSlack is None else bounds.coldSlack
    if not (0 < overage < math.inf and 0 <= slack < math.inf):
        raise ValueError("bounds.coldOverage must be above 0, and bounds.coldSlack at least 0")
    return ColdBound(overage, slack)
