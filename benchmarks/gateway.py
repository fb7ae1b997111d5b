"""Processor time of the gateway's datagrams, planning and estimates at growing sizes.

python -m benchmarks.gateway
"""

import itertools
import time
from collections.abc import Callable

from briarpond.directory import (
    GroupTarget,
    Load,
    Member,
    Notice,
    PlanLog,
    PlanVersion,
    Pull,
    RoutingTargets,
    ServerInFlight,
    decode_datagram,
    encode_datagram,
)
from briarpond.dispatch import RequestSize, expected_first_event_s
from briarpond.fleet import Instance, InstanceState, Membership, MemberState
from briarpond.net import Address
from briarpond.placement import LoadBudget, Planner
from briarpond.routes import EngineSpec, ModelSpec

# Measurements of each call, of which the least is reported.
REPEATS = 5
BIG = ModelSpec("big", 8, 1.0, 1.0, 16.0, 1.6)
ENGINE = EngineSpec(9, 984_705, 0.0078, 0.00018, 0.00002, 45_900, 979, 154, 5, 7, 0.3, (BIG,))


def best_us(call: Callable[[], object]) -> float:
    """Return the least processor time of a call over `REPEATS` measurements of 50 ms each."""
    best = float("inf")
    for _ in range(REPEATS):
        count = 0
        began = time.process_time()
        while time.process_time() - began < 0.05:
            call()
            count += 1
        best = min(best, (time.process_time() - began) / count)
    return best * 1e6


OWN = Member("edge-1", 1, 1, Address("10.1.0.2", 80), "zone-a", True, False)


def plan_notice(groups: int) -> Notice:
    """Return a notice with a whole plan of `groups`."""
    targets = tuple(
        GroupTarget(
            f"g12-{n}", 12_000_000 + n, "daka510000", f"i-{n:010x}", Address("10.1.0.1", 80), "a"
        )
        for n in range(groups)
    )
    plan_log = PlanLog()
    plan_log.publish(12, RoutingTargets(targets, ()))
    return Notice(OWN, delta=plan_log.delta_since(PlanVersion()))


def pull(servers: int) -> Pull:
    """Return a pull with the load of `servers`."""
    loads = tuple(ServerInFlight(f"i-{n:010x}", 3, 900) for n in range(servers))
    return Pull(OWN, 1, 1, 1, PlanVersion(12, 99), 7, Load(loads))


def instances(count: int) -> list[Instance]:
    """Return instances of open groups of eight, with sixteen instances in each fabric domain."""
    return [
        Instance(
            f"i-{n}",
            "pool",
            Address("10.1.0.1", 80),
            "zone-a",
            InstanceState.READY,
            9,
            1,
            f"d{n // 16}",
            ("big",),
            "big",
            Membership(f"g1-{n // 8}", 1_000_000 + n // 8, n % 8, MemberState.OPEN),
        )
        for n in range(count)
    ]


def planning_us(count: int) -> float:
    """Return the time of one planning round without changes, in microseconds."""
    listed = instances(count)
    planner = Planner(2, ENGINE, LoadBudget(5, 7, 5), 4.0, itertools.count(1))
    planner.update_instances(listed, 100.0)
    demand = {"big": count / 8}

    def plan_round() -> None:
        planner.update_instances(listed, 100.0)
        planner.next_orders(demand, 100.0)

    return best_us(plan_round)


def print_row(operation: str, size: str, us: float, data: bytes = b"") -> None:
    """Print one row of the table; `data` is the encoded message, if there is one."""
    print(f"| {operation} | {size} | {us:.1f} | {len(data) or ''} |")


def measure_datagram(name: str, size: str, message: Notice | Pull) -> None:
    """Print the cost to encode and decode a message."""
    data = encode_datagram(message)
    print_row(f"{name} encoded", size, best_us(lambda: encode_datagram(message)), data)
    print_row(f"{name} decoded", size, best_us(lambda: decode_datagram(data)))


def main() -> None:
    """Print the processor time and the message size of each operation at each size."""
    print("| operation | size | us | bytes |")
    print("|---|---|---|---|")
    for groups in (25, 50, 100, 150):
        measure_datagram("plan", f"{groups} groups", plan_notice(groups))
    for servers in (10, 50, 150):
        measure_datagram("pull", f"{servers} servers", pull(servers))
    for count in (160, 320, 640, 1200):
        print_row("planning round", f"{count} instances", planning_us(count))
    typical = RequestSize(979, 154)
    print_row(
        "estimate",
        "one group",
        best_us(lambda: expected_first_event_s(ENGINE, BIG, typical, 9, 3000)),
    )


if __name__ == "__main__":
    main()
