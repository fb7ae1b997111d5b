"""Choice of the server that a request is sent to."""

import random
from collections.abc import Collection

import msgspec

from briarpond.dispatch import Work, first_event_s
from briarpond.ids import InstanceId, ServiceName
from briarpond.net import Address
from briarpond.routes import EngineSpec, ModelName

from ._state import NodeState

# Requests beyond its places that a group is given to queue.
QUEUED_MOST = 0
# Requests beyond its places that a plain server is given to queue.
PLAIN_QUEUED_MOST = 6


MANY_NODES = 20
FEW_CHOICES = 2
MORE_CHOICES = 4


class Target(msgspec.Struct, frozen=True):
    """A server, the expected time to its first event and whether it takes more."""

    instance: InstanceId
    address: Address
    expected_s: float
    room: bool


def best_group(
    state: NodeState,
    engine: EngineSpec,
    model: ModelName,
    work: Work,
    tried: Collection[InstanceId],
    now: float,
) -> Target | None:
    """Return the group that should show its first event soonest."""
    spec = engine.model(model)
    if spec is None:
        return None
    rows = [
        row
        for row in state.groups(now)
        if row.model == model
        and row.head not in tried
        and not state.has_left(row.head, now)
        and not state.avoids(row.head, now)
    ]
    with_room: list[Target] = []
    without: list[Target] = []
    for row in rows:
        load = state.loads.load(row.head, now)
        expected = first_event_s(engine, spec, work, load.in_flight, load.unread_tokens)
        room = load.in_flight < engine.slots + QUEUED_MOST
        room = room and not state.loads.is_full(row.head, now)
        target = Target(row.head, row.address, expected, room)
        (with_room if room else without).append(target)
    if not with_room:
        return min(without, key=lambda target: target.expected_s, default=None)
    # All nodes know the same loads, a little late: the very best would get all they send.
    drawn = state.rng.sample(with_room, min(len(with_room), choices_of(state.nodes)))
    return min(drawn, key=lambda target: target.expected_s)


def choices_of(nodes: int) -> int:
    """Return how many groups are compared for a request, by how many nodes choose."""
    return FEW_CHOICES if nodes > MANY_NODES else MORE_CHOICES


def best_server(
    state: NodeState,
    service: ServiceName,
    tried: Collection[InstanceId],
    now: float,
    rng: random.Random,
) -> Target | None:
    """Return the least loaded plain server, one near by where they are equal."""
    best: Target | None = None
    best_rank: tuple[float, bool, float] = (0.0, False, 0.0)
    for instance in state.servers(now):
        server = instance.instance
        if instance.service != service or server in tried or state.has_left(server, now):
            continue
        if state.avoids(server, now):
            continue
        load = state.loads.load(server, now)
        full = state.loads.is_full(server, now)
        room = not full and load.in_flight < instance.slots + PLAIN_QUEUED_MOST
        far = instance.data_centre != state.settings.data_centre
        busy = max(0.0, load.in_flight - instance.slots / 2)
        rank = (busy + (instance.slots if full else 0), far, rng.random())
        if best is None or rank < best_rank:
            best = Target(server, instance.address, 0.0, room)
            best_rank = rank
    return best
