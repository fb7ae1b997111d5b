"""The faults that the system has to withstand, each a function of the world.

A fault ends by itself after `LONG_FAULT_S` or `SHORT_FAULT_S`, unless the docstring of its
function states otherwise. Faults that make engines unavailable add the time span to `losses`
for the checker.
"""

from .scenario import Operators, restart_node
from .world import LIST_NAME, LOG_NAME, World

# Durations of faults in virtual seconds.
LONG_FAULT_S = 8.0
SHORT_FAULT_S = 3.0


class LossSpans:
    """The times in which instances were lost, for the checker."""

    def __init__(self) -> None:
        self.by_instance: dict[str, list] = {}

    def add(self, instance: str, start: float, end: float) -> None:
        """Record that an instance was lost from `start` to `end`, in virtual seconds."""
        self.by_instance.setdefault(instance, []).append((start, end))


def _member(world: World):
    """Return the engine of rank 1 in a complete group; the first engine if there is none.

    The engines' own state decides, since the view of a node can be outdated.
    """
    for engine in world.engines.values():
        if (
            engine.up
            and engine.order is not None
            and engine.order.rank == 1
            and engine.group_is_complete()
        ):
            return engine
    return next(iter(world.engines.values()))


def _head(world: World):
    """Return the head (rank 0) of a complete group; the first engine if there is none."""
    for engine in world.engines.values():
        if (
            engine.up
            and engine.order is not None
            and engine.order.rank == 0
            and engine.group_is_complete()
        ):
            return engine
    return next(iter(world.engines.values()))


def _crash(world: World, losses: LossSpans, engine, seconds: float = LONG_FAULT_S) -> None:
    """Crash an engine and restart it after `seconds`."""
    engine.up = False
    losses.add(engine.name, world.now, world.now + seconds)
    world.call_later(seconds, engine.boot)


def member_crashes(world, losses):
    _crash(world, losses, _member(world))


def head_crashes(world, losses):
    _crash(world, losses, _head(world))


def member_restarts(world, losses):
    """Crash a member that is back after 0.2 s, with a new incarnation and no model loaded."""
    _crash(world, losses, _member(world), 0.2)


def member_pauses(world, losses):
    engine = _member(world)
    losses.add(engine.name, world.now, world.now + SHORT_FAULT_S)
    engine.pause(SHORT_FAULT_S)


def member_pauses_long(world, losses):
    """Pause a member for twice the usual time, so that it returns with an outdated load order."""
    engine = _member(world)
    losses.add(engine.name, world.now, world.now + 2 * LONG_FAULT_S)
    engine.pause(2 * LONG_FAULT_S)


def head_slows_down(world, losses):
    """Make a head send a token each 0.8 s instead of each 0.02 s."""
    engine = _head(world)
    engine.token_interval_s = 0.8
    world.call_later(LONG_FAULT_S, lambda: setattr(engine, "token_interval_s", 0.02))


def domain_fails(world, losses):
    """Crash all engines in the failure domain of a head."""
    domain = _head(world).row.domain
    for engine in world.engines.values():
        if engine.row.domain == domain:
            _crash(world, losses, engine)


def node_isolated(world, losses):
    """Block all messages from and to one node."""
    world.block_links({("n1", "*"), ("*", "n1")}, LONG_FAULT_S)


def node_cannot_send(world, losses):
    world.block_links({("n1", "*")}, LONG_FAULT_S)


def node_cannot_receive(world, losses):
    world.block_links({("*", "n1")}, LONG_FAULT_S)


def node_cannot_reach_platform(world, losses):
    """Block the log and the instance list for one node; it still reaches peers and engines."""
    world.block_links(
        {("n1", LOG_NAME), (LOG_NAME, "n1"), ("n1", LIST_NAME), (LIST_NAME, "n1")}, LONG_FAULT_S
    )


def nodes_partitioned(world, losses):
    """Block all messages between one node and its peers."""
    world.block_links({("n1", "n2"), ("n2", "n1"), ("n1", "n3"), ("n3", "n1")}, LONG_FAULT_S)


def log_down(world, losses):
    world.log.up = False
    world.call_later(LONG_FAULT_S, lambda: setattr(world.log, "up", True))


def log_slow(world, losses):
    """Delay calls of the log by less than the time-out, `log_timeout_s` of the settings."""
    world.log.delay_s = 1.2
    world.call_later(LONG_FAULT_S, lambda: setattr(world.log, "delay_s", 0.0))


def log_slower_than_timeout(world, losses):
    """Delay calls of the log by more than the time-out: appends take effect unanswered."""
    world.log.delay_s = 2.5
    world.call_later(LONG_FAULT_S, lambda: setattr(world.log, "delay_s", 0.0))


def log_loses_answers(world, losses):
    """Drop the answers of the next four appends, which take effect."""
    world.log.lose_answers += 4


def node_pauses(world, losses):
    """Suspend the process of one node."""
    world.nodes["n1"].pause(LONG_FAULT_S)


def node_pauses_briefly(world, losses):
    world.nodes["n2"].pause(SHORT_FAULT_S)


def node_crashes(world, losses):
    world.nodes["n1"].crash()
    world.call_later(SHORT_FAULT_S, lambda: restart_node(world, "n1"))


def operators_patch_concurrently(world, losses):
    Operators(world).submit_concurrently()


def instance_leaves(world, losses):
    """Mark a head as leaving for good; the instance list shows it after a delay."""
    world.list.mark_leaving(_head(world).name, SHORT_FAULT_S)


def callers_disconnect(world, losses):
    world.caller_load.disconnect_all()


FAULTS = (
    member_crashes,
    head_crashes,
    member_restarts,
    member_pauses,
    member_pauses_long,
    head_slows_down,
    domain_fails,
    node_isolated,
    node_cannot_send,
    node_cannot_receive,
    node_cannot_reach_platform,
    nodes_partitioned,
    log_down,
    log_slow,
    log_slower_than_timeout,
    log_loses_answers,
    node_pauses,
    node_pauses_briefly,
    node_crashes,
    operators_patch_concurrently,
    instance_leaves,
    callers_disconnect,
)
