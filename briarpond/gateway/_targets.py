"""Choice of the backend server that a request is sent to."""

import random
from collections.abc import Collection, Container

import msgspec

from briarpond.directory import GroupTarget
from briarpond.dispatch import (
    ModelLoad,
    RequestSize,
    expected_first_event_s,
    model_load,
    subset_size,
)
from briarpond.ids import InstanceId, ServiceName
from briarpond.net import Address
from briarpond.routes import EngineSpec, ModelName, ModelSpec

from ._state import NodeState

# Requests that a group may be sent beyond its slots.
MAX_QUEUED_PER_GROUP = 0
# Requests that a plain server may be sent beyond its slots.
MAX_QUEUED_PER_SERVER = 6

# A request goes to the best of this many groups.
COMPARED_GROUPS = 4
# What a new connection is taken to cost, as a delay of the first event. It makes a node keep to
# groups that it is connected to while others are hardly faster.
CONNECT_COST_S = 0.02


class ServerChoice(msgspec.Struct, frozen=True):
    """A backend server that a request may be sent to.

    Attributes
    ----------
    instance : InstanceId
        The plain server, or the head of the group.
    address : Address
        Where to connect.
    expected_s : float
        Expected time to the first event of the answer; 0 for plain servers.
    has_room : bool
        Whether the server may be sent another request now.
    epoch : int
        Epoch of the group; 0 for plain servers.
    """

    instance: InstanceId
    address: Address
    expected_s: float
    has_room: bool
    epoch: int = 0


class AllBut(Container[InstanceId]):
    """All servers but some.

    Parameters
    ----------
    servers : collection of InstanceId
        The servers that are not contained.
    """

    def __init__(self, servers: Collection[InstanceId]) -> None:
        self._servers = servers

    def __contains__(self, server: object) -> bool:
        return server not in self._servers


def best_group(
    state: NodeState,
    engine: EngineSpec,
    model: ModelName,
    request_size: RequestSize,
    tried: Container[InstanceId],
    now: float,
) -> ServerChoice | None:
    """Return the group that is expected to send its first event soonest.

    Parameters
    ----------
    state : NodeState
        Groups in force, loads and avoided servers.
    engine : EngineSpec
        Speed and size of the service's groups.
    model : ModelName
        Model that the request names.
    request_size : RequestSize
        Size of the request.
    tried : container of InstanceId
        Heads that the request was sent to before; they are left out.
    now : float
        Present time.

    Returns
    -------
    ServerChoice or None
        A group with room if there is one, otherwise the best full group; None if no
        group serves the model.
    """
    spec = engine.model(model)
    if spec is None:
        return None
    usable_groups = [
        group for group in _groups_of_model(state, model, now) if group.head not in tried
    ]
    choices = [
        _rate_group(state, engine, spec, request_size, group, now)
        for group in state.group_preferences.sort(usable_groups)
    ]
    with_room = [choice for choice in choices if choice.has_room]
    if not with_room:
        return min(choices, key=lambda choice: choice.expected_s, default=None)
    preferred = with_room[: subset_size(len(usable_groups), state.node_count)]
    sampled = state.rng.sample(preferred, min(len(preferred), COMPARED_GROUPS))
    return min(sampled, key=lambda choice: _cost(state, choice))


def load_of_model(state: NodeState, engine: EngineSpec, spec: ModelSpec, now: float) -> ModelLoad:
    """Return the load of all groups together that requests for a model may be sent to."""
    groups = _groups_of_model(state, spec.name, now)
    tracker = state.load_tracker
    return model_load(engine, spec, [tracker.total_load(each.head).in_flight for each in groups])


def _groups_of_model(state: NodeState, model: ModelName, now: float) -> list[GroupTarget]:
    """Return the groups of a model that requests may be sent to."""
    return [
        group
        for group in state.groups(now)
        if group.model == model
        and not state.has_left(group.head, now)
        and not state.is_avoided(group.head, now)
    ]


def _cost(state: NodeState, choice: ServerChoice) -> float:
    """Return the expected time to the first event, with the cost of a new connection."""
    is_connected = state.client.has_idle(choice.address)
    return choice.expected_s + (0.0 if is_connected else CONNECT_COST_S)


def _rate_group(
    state: NodeState,
    engine: EngineSpec,
    spec: ModelSpec,
    request_size: RequestSize,
    group: GroupTarget,
    now: float,
) -> ServerChoice:
    load = state.load_tracker.total_load(group.head)
    expected = expected_first_event_s(
        engine, spec, request_size, load.in_flight, load.unread_tokens
    )
    has_room = load.in_flight < engine.slots + MAX_QUEUED_PER_GROUP
    has_room = has_room and not state.load_tracker.is_full(group.head, now)
    return ServerChoice(group.head, group.address, expected, has_room, group.epoch)


def best_server(
    state: NodeState,
    service: ServiceName,
    tried: Container[InstanceId],
    now: float,
    rng: random.Random,
) -> ServerChoice | None:
    """Return the least loaded plain server, at equal load one in this node's data centre.

    Parameters
    ----------
    state : NodeState
        Plain servers in force, loads and avoided servers.
    service : ServiceName
        Service that the request goes to.
    tried : container of InstanceId
        Servers that the request was sent to before; they are left out.
    now : float
        Present time.
    rng : random.Random
        Decides between servers that are otherwise equal.

    Returns
    -------
    ServerChoice or None
        The best server, which may have no room; None if no server is left.
    """
    best: ServerChoice | None = None
    best_rank: tuple[float, bool, float] = (0.0, False, 0.0)
    for target in state.servers(now):
        server = target.instance
        if target.service != service or server in tried or state.has_left(server, now):
            continue
        if state.is_avoided(server, now):
            continue
        load = state.load_tracker.total_load(server)
        full = state.load_tracker.is_full(server, now)
        has_room = not full and load.in_flight < target.slots + MAX_QUEUED_PER_SERVER
        is_remote = target.data_centre != state.settings.data_centre
        excess_load = max(0.0, load.in_flight - target.slots / 2)
        rank = (excess_load + (target.slots if full else 0), is_remote, rng.random())
        if best is None or rank < best_rank:
            best = ServerChoice(server, target.address, 0.0, has_room)
            best_rank = rank
    return best
