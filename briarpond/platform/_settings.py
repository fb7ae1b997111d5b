"""The platform's settings file, translated and checked."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import yaml
from expression import Error, Ok, Result

from briarpond.ids import DataCentre, NodeId
from briarpond.net import Address


class SettingsProblem(msgspec.Struct, frozen=True):
    """What is wrong with the settings file."""

    code: str
    message: str
    hint: str

    def __str__(self) -> str:
        """Return one line for the log."""
        return f"{self.code}: {self.message} {self.hint}"


class StoreSettings(msgspec.Struct, frozen=True):
    """Where the store is, and the shortest lease that it grants."""

    address: Address
    lease_ttl_min_s: float


class BoundSettings(msgspec.Struct, frozen=True):
    """Times and counts that the deployment promises its users.

    Attributes
    ----------
    stop_s : float
        From the signal to stop until the process is killed.
    drain_s : float
        From the acknowledged departure of a server to its last new request.
    revoke_s : float
        From a key's withdrawal until no request with it may run.
    retry_ratio, retry_slack, retry_window_s : float
        Repeats that all nodes together may send to a service in a window: a share
        of its requests, and a fixed number.
    stall_s : float
        How long work waits for a lost member before its group breaks.
    loads_window_s, loads_factor : float
        Window and tolerance of the limit on weight loads.
    directory_ttl_max_s : float
        Longest lifetime of a directory answer that callers honour.
    """

    stop_s: float
    drain_s: float
    revoke_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    stall_s: float
    loads_window_s: float
    loads_factor: float
    directory_ttl_max_s: float


class GatewaySettings(msgspec.Struct, frozen=True):
    """Settings of one node on the users' platform.

    Attributes
    ----------
    callers, readiness, directory : Address
        Listeners for requests, for the readiness check and for address look-ups.
    peer_port : int
        UDP port for messages between nodes, the same on all of them.
    first_start : bool
        Whether the whole system starts for the first time.
    """

    node: NodeId
    host: str
    data_centre: DataCentre
    callers: Address
    readiness: Address
    directory: Address | None
    peer_port: int
    store: StoreSettings
    bounds: BoundSettings
    first_start: bool = False


class _Listen(msgspec.Struct):
    frontend: str
    readiness: str
    directory: str = ""


class _Bounds(msgspec.Struct):
    graceS: float = 8.0  # noqa: N815
    drainMs: float = 2000.0  # noqa: N815
    revokeMs: float = 5000.0  # noqa: N815
    retryRatio: float = 0.2  # noqa: N815
    retrySlack: float = 50.0  # noqa: N815
    retryWindowS: float = 10.0  # noqa: N815
    stallMs: float = 4000.0  # noqa: N815
    ceilingWindowS: float = 5.0  # noqa: N815
    ceilingFactor: float = 1.0  # noqa: N815
    ttl_max_s: float = 5.0


class _Platform(msgspec.Struct):
    addr: str
    ttlMinMs: float = 1000.0  # noqa: N815


class _File(msgspec.Struct):
    nodeName: str  # noqa: N815
    ip: str
    zone: str
    listen: _Listen
    internalPorts: list[int]  # noqa: N815
    platform: _Platform
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    bootstrap: bool = False


def load_gateway_settings(path: Path) -> Result[GatewaySettings, SettingsProblem]:
    """Read and check the settings file at `path`; unknown fields are let pass."""
    try:
        tree = yaml.load(path.read_text(encoding="utf-8"), Loader=_LOADER)
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
    """Return the path of the settings file that the environment names."""
    path = environ.get("BRIARPOND_SETTINGS")
    return Path(path) if path else None


_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _translate(tree: object) -> GatewaySettings:
    file = msgspec.convert(tree, _File)
    if not file.internalPorts:
        raise ValueError("internalPorts is empty")
    bounds = file.bounds
    platform = file.platform
    directory = file.listen.directory
    return GatewaySettings(
        node=NodeId(file.nodeName),
        host=file.ip,
        data_centre=DataCentre(file.zone),
        callers=Address.parse(file.listen.frontend),
        readiness=Address.parse(file.listen.readiness),
        directory=Address.parse(directory) if directory else None,
        peer_port=file.internalPorts[0],
        store=StoreSettings(
            address=Address.parse(platform.addr),
            lease_ttl_min_s=platform.ttlMinMs / 1000,
        ),
        bounds=BoundSettings(
            stop_s=bounds.graceS,
            drain_s=bounds.drainMs / 1000,
            revoke_s=bounds.revokeMs / 1000,
            retry_ratio=bounds.retryRatio,
            retry_slack=bounds.retrySlack,
            retry_window_s=bounds.retryWindowS,
            stall_s=bounds.stallMs / 1000,
            loads_window_s=bounds.ceilingWindowS,
            loads_factor=bounds.ceilingFactor,
            directory_ttl_max_s=bounds.ttl_max_s,
        ),
        first_start=file.bootstrap,
    )
