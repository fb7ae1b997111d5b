"""Choice of the backend server that a request is sent to."""

import random
from collections.abc import Collection, Container, Sized
from functools import partial

import msgspec

from briarpond.directory import GroupTarget
from briarpond.dispatch import (
    LengthForecast,
    ModelLoad,
    RequestSize,
    estimate_in_group,
    expected_first_event_s,
    model_load,
    subset_size,
)
from briarpond.ids import InstanceId, NodeId, ServiceName
from briarpond.net import Address
from briarpond.routes import EngineSpec, HostedModel, ModelSpec

from ._evacuation import is_evacuated
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
# What a second counts by which running requests are delayed, in seconds of the first event. With
# 0.03 and more, first events were later (benchmarks/choice.py).
SLOWDOWN_WEIGHT = 0.003
# Share of the groups of a model that must have room for a choice by cost. With 0.9, goodput at 1.1
# of capacity was 1 to 3% lower than by the first event alone (benchmarks/choice.py).
MIN_SHARE_WITH_ROOM = 1.0


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
    is_held_back : bool
        Whether it has no room only because it is cold and no request is due yet.
    is_cold_detour : bool
        Whether another server was held back.
    slowdown_s : float
        Expected delay of the requests that run there already, all together; 0 for plain servers
        and while nothing is learned of answers.
    helper : NodeId or None
        Another node that passes the request on to a server of its choice; None if the request is
        sent to a server itself. `instance` and `address` are then those of the node.
    """

    instance: InstanceId
    address: Address
    expected_s: float
    has_room: bool
    epoch: int = 0
    is_held_back: bool = False
    is_cold_detour: bool = False
    slowdown_s: float = 0.0
    helper: NodeId | None = None


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
    hosted: HostedModel,
    request_size: RequestSize,
    tried: Container[InstanceId],
    now: float,
    forecast: LengthForecast | None = None,
) -> ServerChoice | None:
    """Return the group that is expected to send its first event soonest.

    Once lengths of answers are learned, the delay of the requests that run already and the
    measured pace of the groups count, too.

    Parameters
    ----------
    state : NodeState
        Groups in force, loads and avoided servers.
    hosted : HostedModel
        Service that the request goes to, and the model that it names.
    request_size : RequestSize
        Size of the request.
    tried : container of InstanceId
        Heads that the request was sent to before; they are left out.
    now : float
        Present time.
    forecast : LengthForecast or None
        Expected length of the answer; it counts if it is learned.

    Returns
    -------
    ServerChoice or None
        A group with room if there is one, otherwise the best full group; None if no
        group of the service serves the model.
    """
    engine = state.engine(hosted.service)
    spec = None if engine is None else engine.model(hosted.model)
    if engine is None or spec is None:
        return None
    usable_groups = [
        group
        for group in _groups_of_model(state, hosted, spec.group_size, now)
        if group.head not in tried
    ]
    preferred_groups = state.group_preferences.sort(usable_groups)
    free = [each for each in preferred_groups if _has_room(state, engine, each.head, now)]
    cold_sends = state.cold_sends(now)
    only_cold = all(cold_sends.is_cold(each.head) for each in usable_groups)
    with_room = [each for each in free if cold_sends.may_send(each.head, now, only_cold)]
    if forecast is None or not forecast.is_learned or not _is_calm(free, usable_groups):
        rate = partial(_rate_group, state, engine, spec, request_size)
    else:
        rate = partial(_rate_by_cost, state, engine, spec, request_size, forecast)
    if not with_room:
        held_back = {each.head for each in free}
        choices = [
            msgspec.structs.replace(rate(group, False), is_held_back=group.head in held_back)
            for group in preferred_groups
        ]
        return min(choices, key=lambda choice: choice.expected_s, default=None)
    preferred = with_room[: subset_size(len(usable_groups), state.node_count)]
    sampled = state.rng.sample(preferred, min(len(preferred), COMPARED_GROUPS))
    choices = [rate(group, True) for group in sampled]
    best = min(choices, key=lambda choice: _cost(state, choice))
    return _mark_detour(best) if len(with_room) < len(free) else best


def _mark_detour(choice: ServerChoice) -> ServerChoice:
    return msgspec.structs.replace(choice, is_cold_detour=True)


def load_of_model(
    state: NodeState, hosted: HostedModel, engine: EngineSpec, spec: ModelSpec, now: float
) -> ModelLoad:
    """Return the load of all groups together that requests for a hosted model may be sent to."""
    groups = _groups_of_model(state, hosted, spec.group_size, now)
    tracker = state.load_tracker
    return model_load(engine, spec, [tracker.total_load(each.head).in_flight for each in groups])


def _groups_of_model(
    state: NodeState, hosted: HostedModel, size: int, now: float
) -> list[GroupTarget]:
    """Return the groups of a service and a model that requests may be sent to.

    Groups of another size than the configuration in force asks for are left out, whichever
    plan or list tells of them: the planner may know of the configuration later, or not at all.
    """
    return [
        group
        for group in state.groups(now)
        if group.service == hosted.service
        and group.model == hosted.model
        and group.size == size
        and not state.has_left(group.head, now)
        and not state.is_avoided(group.head, now)
        and not is_evacuated(state, group.head, group.data_centre)
    ]


def _cost(state: NodeState, choice: ServerChoice) -> float:
    """Return the time to the first event, with the costs of a connection and to others."""
    is_connected = state.client.has_idle(choice.address)
    cost_s = choice.expected_s + SLOWDOWN_WEIGHT * choice.slowdown_s
    return cost_s + (0.0 if is_connected else CONNECT_COST_S)


def _is_calm(with_room: Sized, usable: Sized) -> bool:
    """Whether enough groups have room for a choice by cost."""
    return len(with_room) >= MIN_SHARE_WITH_ROOM * len(usable)


def _rate_group(
    state: NodeState,
    engine: EngineSpec,
    spec: ModelSpec,
    request_size: RequestSize,
    group: GroupTarget,
    has_room: bool,
) -> ServerChoice:
    """Rate a group by the first event alone, as far as the configured figures tell."""
    load = state.load_tracker.total_load(group.head)
    expected = expected_first_event_s(
        engine, spec, request_size, load.in_flight, load.unread_tokens
    )
    return ServerChoice(group.head, group.address, expected, has_room, group.epoch)


def _rate_by_cost(
    state: NodeState,
    engine: EngineSpec,
    spec: ModelSpec,
    request_size: RequestSize,
    forecast: LengthForecast,
    group: GroupTarget,
    has_room: bool,
) -> ServerChoice:
    """Rate a group by first event and slowdown, from what is learned of answers and groups."""
    load = state.load_tracker.present_load(group.head)
    pace = state.step_paces.pace(group.head, state.clock.now())
    size = RequestSize(request_size.prompt_tokens, round(forecast.mean))
    estimate = estimate_in_group(engine, spec, size, load, pace)
    return ServerChoice(
        group.head,
        group.address,
        estimate.first_event_s,
        has_room,
        group.epoch,
        slowdown_s=estimate.slowdown_s,
    )


def _has_room(state: NodeState, engine: EngineSpec, head: InstanceId, now: float) -> bool:
    tracker = state.load_tracker
    has_slot = tracker.total_load(head).in_flight < engine.slots + MAX_QUEUED_PER_GROUP
    return has_slot and not tracker.is_full(head, now)


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
    best_rank: tuple[bool, float, bool, float] = (False, 0.0, False, 0.0)
    usable = [
        target
        for target in state.servers(now)
        if target.service == service
        and target.instance not in tried
        and not state.has_left(target.instance, now)
        and not state.is_avoided(target.instance, now)
        and not is_evacuated(state, target.instance, target.data_centre)
    ]
    cold_sends = state.cold_sends(now)
    only_cold = all(cold_sends.is_cold(target.instance) for target in usable)
    has_held_back = False
    for target in usable:
        server = target.instance
        load = state.load_tracker.total_load(server)
        full = state.load_tracker.is_full(server, now)
        has_room = not full and load.in_flight < target.slots + MAX_QUEUED_PER_SERVER
        is_remote = target.data_centre != state.settings.data_centre
        excess_load = max(0.0, load.in_flight - target.slots / 2)
        is_due = cold_sends.may_send(server, now, only_cold)
        is_held_back = has_room and not is_due
        has_held_back = has_held_back or is_held_back
        rank = (not is_due, excess_load + (target.slots if full else 0), is_remote, rng.random())
        if best is None or rank < best_rank:
            best = ServerChoice(
                server, target.address, 0.0, has_room and is_due, is_held_back=is_held_back
            )
            best_rank = rank
    is_detour = has_held_back and best is not None and not best.is_held_back
    return _mark_detour(best) if best is not None and is_detour else best
