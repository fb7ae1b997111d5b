"""The faults of the brief, each as a function on the world."""

from .scenario import Patches, restart
from .world import LIST, LOG, World

HEAL_S = 8.0
SHORT_S = 3.0


class Losses:
    """Spans of time in which instances were lost, for the checker."""

    def __init__(self) -> None:
        self.spans: dict[str, list] = {}

    def add(self, instance: str, start: float, end: float) -> None:
        """Note that an instance was lost from `start` to `end`."""
        self.spans.setdefault(instance, []).append((start, end))


def _member(world: World):
    """Return a member other than the first of a ready group, as engines know it."""
    for engine in world.engines.values():
        if engine.up and engine.order is not None and engine.order.rank == 1 and engine.whole():
            return engine
    return next(iter(world.engines.values()))


def _head(world: World):
    for engine in world.engines.values():
        if engine.up and engine.order is not None and engine.order.rank == 0 and engine.whole():
            return engine
    return next(iter(world.engines.values()))


def _kill(world: World, losses: Losses, engine, seconds: float = HEAL_S) -> None:
    engine.up = False
    losses.add(engine.name, world.now, world.now + seconds)
    world.after(seconds, engine.boot)


def member_dies(world, losses):
    _kill(world, losses, _member(world))


def head_dies(world, losses):
    _kill(world, losses, _head(world))


def member_restarts(world, losses):
    _kill(world, losses, _member(world), 0.2)


def member_pauses(world, losses):
    engine = _member(world)
    losses.add(engine.name, world.now, world.now + SHORT_S)
    engine.freeze(SHORT_S)


def member_returns_late(world, losses):
    engine = _member(world)
    losses.add(engine.name, world.now, world.now + 2 * HEAL_S)
    engine.freeze(2 * HEAL_S)


def head_straggles(world, losses):
    engine = _head(world)
    engine.pace_s = 0.8
    world.after(HEAL_S, lambda: setattr(engine, "pace_s", 0.02))


def domain_goes_dark(world, losses):
    domain = _head(world).row.domain
    for engine in world.engines.values():
        if engine.row.domain == domain:
            _kill(world, losses, engine)


def node_cut_off(world, losses):
    world.block({("n1", "*"), ("*", "n1")}, HEAL_S)


def node_cannot_send(world, losses):
    world.block({("n1", "*")}, HEAL_S)


def node_cannot_hear(world, losses):
    world.block({("*", "n1")}, HEAL_S)


def node_cut_from_platform(world, losses):
    world.block({("n1", LOG), (LOG, "n1"), ("n1", LIST), (LIST, "n1")}, HEAL_S)


def nodes_cut_apart(world, losses):
    world.block({("n1", "n2"), ("n2", "n1"), ("n1", "n3"), ("n3", "n1")}, HEAL_S)


def log_down(world, losses):
    world.log.up = False
    world.after(HEAL_S, lambda: setattr(world.log, "up", True))


def log_slow(world, losses):
    world.log.slow_s = 1.2
    world.after(HEAL_S, lambda: setattr(world.log, "slow_s", 0.0))


def log_too_slow(world, losses):
    world.log.slow_s = 2.5
    world.after(HEAL_S, lambda: setattr(world.log, "slow_s", 0.0))


def log_loses_answers(world, losses):
    world.log.lose_answers += 4


def node_pauses(world, losses):
    world.nodes["n1"].pause(HEAL_S)


def node_pauses_briefly(world, losses):
    world.nodes["n2"].pause(SHORT_S)


def node_crashes(world, losses):
    world.nodes["n1"].crash()
    world.after(SHORT_S, lambda: restart(world, "n1"))


def operators_race(world, losses):
    Patches(world).race()


def instance_leaves(world, losses):
    world.list.mark_leaving(_head(world).name, SHORT_S)


def callers_leave(world, losses):
    world.load.leave()


FAULTS = (
    member_dies,
    head_dies,
    member_restarts,
    member_pauses,
    member_returns_late,
    head_straggles,
    domain_goes_dark,
    node_cut_off,
    node_cannot_send,
    node_cannot_hear,
    node_cut_from_platform,
    nodes_cut_apart,
    log_down,
    log_slow,
    log_too_slow,
    log_loses_answers,
    node_pauses,
    node_pauses_briefly,
    node_crashes,
    operators_race,
    instance_leaves,
    callers_leave,
)
