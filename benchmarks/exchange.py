"""Convergence and traffic of the exchange between nodes at growing sizes, in virtual time.

python -m benchmarks.exchange

Columns: nodes and data centres; seconds until all nodes know each other after a cold start;
longest time of ten new plans until the last node has them; time until a killed node is dropped
everywhere; longest time until all nodes that are left know each other after more than half were
killed at once; live nodes that were dropped in ten calm seconds; datagrams and bytes that a node
sends in a second, median and largest; bytes between data centres in a second, all nodes together.
Datagrams are lost with a probability of 1 in 100.
"""

import functools
import statistics

from briarpond.directory import PlanVersion
from tests.directory.world import World

SIZES = ((9, 3), (89, 5), (195, 5), (783, 37))
GROUPS = 95
CALM_S = 10.0
LIMIT_S = 15.0


def main() -> None:
    """Print one row for each size."""
    print(
        "| nodes | dcs | start s | plan s | dead s | herd s | dropped | msg/s | KB/s | far KB/s |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for node_count, data_centres in SIZES:
        print_row(node_count, data_centres)


def print_row(node_count: int, data_centres: int) -> None:
    """Measure one size and print its row."""
    world = World(node_count, data_centres)
    started_s = world.run_until(lambda: world.all_know(node_count), LIMIT_S)
    world.run(4.0)
    dropped, traffic = calm(world, node_count)
    cells = [
        node_count,
        data_centres,
        seconds(started_s),
        seconds(plan_time(world, node_count)),
        seconds(drop_time(world)),
        seconds(herd_time(world)),
        dropped,
        *traffic,
    ]
    print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)


def seconds(value: float | None) -> str:
    """Return a duration as text."""
    return f"over {LIMIT_S:.0f}" if value is None else f"{value:.2f}"


def calm(world: World, node_count: int) -> tuple[int, tuple[str, str, str]]:
    """Return how often a live node was missing, and the traffic, in calm seconds."""
    world.reset_counters()
    dropped = 0
    for _ in range(int(CALM_S)):
        world.run(1.0)
        dropped += sum(
            node_count - node.sync.members.count_nodes(world.now) for node in world.nodes
        )
    sent = [node.sent / CALM_S for node in world.nodes]
    size = [node.sent_bytes / CALM_S / 1000 for node in world.nodes]
    far = sum(node.sent_far_bytes for node in world.nodes) / CALM_S / 1000
    return dropped, (
        f"{statistics.median(sent):.0f} / {max(sent):.0f}",
        f"{statistics.median(size):.1f} / {max(size):.1f}",
        f"{far:.0f}",
    )


def plan_time(world: World, node_count: int) -> float | None:
    """Return the longest time that ten changes of the plan take to reach all nodes."""
    longest = 0.0
    for sequence in range(1, 11):
        world.planner.publish([f"i{n}" for n in range(sequence, sequence + GROUPS)])
        reached_all = functools.partial(
            has_reached_all, world, PlanVersion(1, sequence), node_count
        )
        took = world.run_until(reached_all, LIMIT_S)
        if took is None:
            return None
        longest = max(longest, took)
    return longest


def has_reached_all(world: World, version: PlanVersion, node_count: int) -> bool:
    """Whether all nodes have a version of the plan."""
    return len(world.with_plan(version)) == node_count


def drop_time(world: World) -> float | None:
    """Return the time until a killed node is dropped by all others."""
    victim = world.nodes[-2]
    victim.kill()
    return world.run_until(lambda: not world.believers(victim.name), LIMIT_S)


def herd_time(world: World) -> float | None:
    """Return the time until the rest know each other after more than half were killed."""
    others = [node for node in world.running() if node is not world.planner]
    for node in world.rng.sample(others, int(0.55 * len(others))):
        node.kill()
    return world.run_until(lambda: world.all_know(len(world.running())), LIMIT_S)


if __name__ == "__main__":
    main()
