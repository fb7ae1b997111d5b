"""Loads as other nodes report them, by source, and their sums."""

from collections.abc import Callable, Iterable, Mapping

from briarpond.ids import DataCentre, InstanceId, NodeId
from briarpond.routes import HostedModel

from ._models import Load, ModelDemand, ServerInFlight
from ._timing import LOAD_LIFETIME_S

_NODE_PREFIX = "node/"
_DATA_CENTRE_PREFIX = "data_centre/"
# Source under which a node that is no relay keeps what its relays report of all others.
_RELAYS = "relays"


class LoadTable:
    """Newest load of each source: a node, a data centre, or a relay for all others.

    Parameters
    ----------
    on_load : callable
        Takes the name of a source and its load, which replaces the previous one of the same
        source; an empty load means that it is outdated.
    """

    def __init__(self, on_load: Callable[[str, Load], None]) -> None:
        self._on_load = on_load
        self._loads: dict[str, tuple[Load, float]] = {}

    def set_node(self, node: NodeId, load: Load, now: float) -> None:
        """Replace the load that a node of the own data centre reports."""
        self._set(f"{_NODE_PREFIX}{node}", load, now)

    def set_data_centre(self, data_centre: DataCentre, load: Load, now: float) -> None:
        """On a relay, replace the sum that a relay of another data centre reports."""
        self._drop(lambda source: source == _RELAYS)
        self._set(f"{_DATA_CENTRE_PREFIX}{data_centre}", load, now)

    def set_all_others(self, load: Load, now: float) -> None:
        """Replace all loads by the sum that a relay reports."""
        self._drop(lambda source: source != _RELAYS)
        self._set(_RELAYS, load, now)

    def drop_outdated(self, gone: Iterable[NodeId], now: float) -> None:
        """Drop the loads of nodes that are gone, and those that were not repeated."""
        lost = {f"{_NODE_PREFIX}{node}" for node in gone}
        self._drop(lambda source: source in lost or now - self._loads[source][1] > LOAD_LIFETIME_S)

    def all(self, now: float) -> list[Load]:
        """Return the loads of all sources."""
        return [load for load, at in self._loads.values() if now - at <= LOAD_LIFETIME_S]

    def of_nodes(self, now: float) -> list[Load]:
        """Return the loads of the nodes of the own data centre."""
        return [
            load
            for source, (load, at) in self._loads.items()
            if now - at <= LOAD_LIFETIME_S and source.startswith(_NODE_PREFIX)
        ]

    def _set(self, source: str, load: Load, now: float) -> None:
        self._loads[source] = (load, now)
        self._on_load(source, load)

    def _drop(self, is_outdated: Callable[[str], bool]) -> None:
        for source in [source for source in self._loads if is_outdated(source)]:
            del self._loads[source]
            self._on_load(source, Load())


def sum_loads(loads: Iterable[Load]) -> Load:
    """Return the sum of loads, by server and by hosted model."""
    servers: dict[InstanceId, ServerInFlight] = {}
    demand: dict[HostedModel, float] = {}
    for load in loads:
        for row in load.servers:
            total = servers.get(row.instance)
            servers[row.instance] = row if total is None else _add_rows(total, row)
        for each in load.demand:
            hosted = HostedModel(each.service, each.model)
            demand[hosted] = demand.get(hosted, 0.0) + each.groups
    return Load(tuple(servers.values()), demand_rows(demand))


def demand_rows(demand: Mapping[HostedModel, float]) -> tuple[ModelDemand, ...]:
    """Return the rows of the demand, in groups, for each model as a service hosts it."""
    return tuple(
        ModelDemand(hosted.model, groups, hosted.service) for hosted, groups in demand.items()
    )


def _add_rows(one: ServerInFlight, other: ServerInFlight) -> ServerInFlight:
    """Return the sum of two loads of a server; unwritten tokens are told only if both do."""
    unwritten = None
    if one.unwritten_tokens is not None and other.unwritten_tokens is not None:
        unwritten = one.unwritten_tokens + other.unwritten_tokens
    return ServerInFlight(
        one.instance,
        one.in_flight + other.in_flight,
        one.unread_tokens + other.unread_tokens,
        unwritten,
    )


def _subtract_row(total: ServerInFlight, part: ServerInFlight) -> ServerInFlight:
    """Return a load of a server without a part of it; no count is negative."""
    unwritten = total.unwritten_tokens
    if unwritten is not None:
        unwritten = max(0, unwritten - (part.unwritten_tokens or 0))
    return ServerInFlight(
        total.instance,
        max(0, total.in_flight - part.in_flight),
        max(0, total.unread_tokens - part.unread_tokens),
        unwritten,
    )


def subtract_load(total: Load, part: Load) -> Load:
    """Return a sum of loads without one that it contains."""
    servers = {row.instance: row for row in part.servers}
    demand = {HostedModel(row.service, row.model): row.groups for row in part.demand}
    rows = []
    for row in total.servers:
        own = servers.get(row.instance)
        if own is not None:
            row = _subtract_row(row, own)
        if row.in_flight:
            rows.append(row)
    remaining = {}
    for each in total.demand:
        hosted = HostedModel(each.service, each.model)
        remaining[hosted] = max(0.0, each.groups - demand.get(hosted, 0.0))
    return Load(tuple(rows), demand_rows(remaining))
