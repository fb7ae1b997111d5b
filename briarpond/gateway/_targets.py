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
QUEUED_MOST = 2
# Requests beyond its places that a plain server is given to queue.
PLAIN_QUEUED_MOST = 6


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
    best: Target | None = None
    for row in state.groups(now):
        if row.model != model or row.head in tried or row.head in state.fleet.left:
            continue
        if state.avoids(row.head, now):
            continue
        load = state.loads.load(row.head, now)
        expected = first_event_s(engine, spec, work, load.in_flight, load.unread_tokens)
        room = load.in_flight < engine.slots + QUEUED_MOST
        room = room and not state.loads.is_full(row.head, now)
        target = Target(row.head, row.address, expected, room)
        if best is None or (target.room, -target.expected_s) > (best.room, -best.expected_s):
            best = target
    return best


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
    for instance in state.fleet.of(service):
        if instance.id in tried or state.avoids(instance.id, now):
            continue
        load = state.loads.load(instance.id, now)
        full = state.loads.is_full(instance.id, now)
        room = not full and load.in_flight < instance.slots + PLAIN_QUEUED_MOST
        far = instance.data_centre != state.settings.data_centre
        busy = max(0.0, load.in_flight - instance.slots / 2)
        rank = (busy + (instance.slots if full else 0), far, rng.random())
        if best is None or rank < best_rank:
            best = Target(instance.id, instance.address, 0.0, room)
            best_rank = rank
    return best
