"""Slopes of the control work, and what they come to at the size of letter 1.

Run ``python -m benchmarks.capacity``. Every figure is measured at growing
counts in this process, fitted by a straight line, and printed with its points
and the largest residual, so that a reader can judge the extrapolation.
"""

import random
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import numpy

from briarpond.configuration import Configuration, check_document
from briarpond.groups import GroupProposer, GroupView, PlannerInput, PlannerPolicy, PresenceTable
from briarpond.journal import (
    Group,
    GroupSpec,
    KeyClaim,
    LeaseTake,
    LogEntry,
    Member,
    Node,
    NodeStage,
    Page,
    State,
    Tail,
    apply,
    encode_entry,
    encode_snapshot,
)
from briarpond.journal._fold import Map, replace
from briarpond.peers import (
    PROTOCOL_VERSION,
    Envelope,
    Known,
    NodeDigest,
    PeerDigest,
    Pull,
    answer_pull,
    decode_frame,
    encode_frame,
    merge_groups,
)
from briarpond.ports import (
    EngineLoad,
    EngineState,
    FleetInstance,
    InstanceState,
    StatusReport,
    status_request,
)
from briarpond.requests import Target, TargetKind
from briarpond.routing import Candidate, Hint, Router

REPEAT = 5
SECRET = b"a secret of at least sixteen bytes"
GROUP_SIZE = 8
NEVER = float("-inf")

NODES = 780
REGIONS = 10
DATA_CENTRES = 37
SERVERS = 12_000
REQUESTS_PER_S = 65_000
TOKENS_PER_S = 20_000_000
CHANGES_PER_DAY = 9_800
CORE_PART = 0.029
MEMORY_MB = 64
BYTES_PER_S = 7_000

REGION_NODES = NODES // REGIONS
REGION_GROUPS = SERVERS // REGIONS // GROUP_SIZE
DATA_CENTRE_INSTANCES = SERVERS // DATA_CENTRES
PULLS_PER_S = 8
PROBES_PER_S = 2
PROBERS = 2


@dataclass
class Slope:
    """A fitted line ``base + per * count``."""

    name: str
    unit: str
    base: float
    per: float

    def at(self, count: float) -> float:
        """Return the value at a count."""
        return self.base + self.per * count


def fit(name: str, unit: str, counts: tuple[int, ...], measure: Callable[[int], float]) -> Slope:
    """Measure at every count, print points and residual, return the line."""
    values = [measure(count) for count in counts]
    per, base = numpy.polyfit(counts, values, 1)
    residual = max(
        abs(base + per * count - value) / max(abs(value), 1e-12)
        for count, value in zip(counts, values, strict=True)
    )
    points = " ".join(f"{count}:{value:.4g}" for count, value in zip(counts, values, strict=True))
    print(f"| {name} | {unit} | {base:.4g} | {per:.4g} | {residual:.0%} | {points} |", flush=True)
    return Slope(name, unit, base, per)


def microseconds(call: Callable[[], object], times: int) -> float:
    """Return the least processor time of a call over some repeats."""
    best = float("inf")
    for _ in range(REPEAT):
        began = time.process_time()
        for _ in range(times):
            call()
        best = min(best, (time.process_time() - began) / times)
    return best * 1e6


def state_with(groups: int, nodes: int = 0) -> State:
    """Return a state with groups of eight and nodes."""
    spec = GroupSpec("briar-7b", "1", (("labels", "1"),))
    rows, member_of = {}, {}
    for number in range(groups):
        members = tuple(
            Member(f"i-{number}-{rank}", f"inc{number}{rank}", f"10.0.{number % 250}.{rank}:80")
            for rank in range(GROUP_SIZE)
        )
        group = f"briar-pool-{number:016x}"
        rows[group] = Group(
            group, "briar-pool", "dc-1", f"f-{number}", spec, members, 1024 * (number + 1)
        )
        member_of.update((member.instance, group) for member in members)
    node_rows = {
        f"node-{n}": Node(
            f"node-{n}",
            f"{n:016x}",
            f"dc-{n % 4}",
            "r",
            f"10.1.0.{n}:1",
            f"10.1.0.{n}:2",
            NodeStage.LIVE,
            n + 1,
        )
        for n in range(nodes)
    }
    return State(
        position=1024 * (groups + 2),
        groups=Map(rows),
        member_of=Map(member_of),
        changed_at=Map(dict.fromkeys(member_of, 1024)),
        nodes=Map(node_rows),
    )


def pull_frame(groups: int, nodes: int) -> tuple[bytes, dict, Callable[[], bytes]]:
    """Return a pull answer's frame, the generations and a function that makes the frame."""
    state = state_with(groups, nodes)
    tail = Tail()
    tail.adopt(state)
    views = [
        GroupView(group.id, group.generation, 99.0, NEVER, EngineLoad(9, 3), 99.2)
        for group in state.groups.values()
    ]
    sender = NodeDigest("node-1", "x" * 16, 0, False)
    digests = [PeerDigest(1024 * (n + 1), 300) for n in range(nodes)]
    pull = Pull(tail.next_offset, False, sender, [])
    known = Known(sender, views, digests, [], [], 99.0)

    def make() -> bytes:
        answer = answer_pull(pull, tail, known, 100.0)
        return encode_frame(
            Envelope(PROTOCOL_VERSION, "c" * 16, "node-1", pull_answer=answer), SECRET
        )

    generations = {group.generation: group.id for group in state.groups.values()}
    return make(), generations, make


def take_frame(frame: bytes, generations: dict) -> None:
    """Do what a node does with an answer."""
    envelope = decode_frame(frame[4:], SECRET).ok
    merge_groups(envelope.pull_answer.groups, generations, {}, 99.9, 100.0)


def plan_us(instances: int) -> float:
    """Return the time of one planning round."""
    groups = instances // GROUP_SIZE
    state = state_with(groups)
    document = check_document(
        {
            "deployments": {
                "briar-pool": {
                    "service": "briar-pool",
                    "model": "briar-7b",
                    "version": "1",
                    "adapters": {"labels": "1"},
                    "group_size": GROUP_SIZE,
                    "groups": {"dc-1": groups},
                }
            }
        }
    ).ok
    state = replace(state, config=Configuration(1, document))
    presence = PresenceTable()
    fleet = []
    for group in state.groups.values():
        for member in group.members:
            report = StatusReport(
                member.instance,
                member.incarnation,
                EngineState.READY,
                group.generation,
                group.id,
                group.spec,
            )
            presence.record_report(report, 100.0)
            fleet.append(
                FleetInstance(
                    member.instance,
                    "briar-pool",
                    member.address,
                    "dc-1",
                    group.domain,
                    4,
                    InstanceState.LIVE,
                )
            )
    policy = PlannerPolicy(2.0, 3.0, 120.0, 0.5)
    given = PlannerInput(
        0,
        "node-1",
        "dc-1",
        state,
        tuple(fleet),
        presence,
        policy,
        lambda: "x",
        lambda group: True,
        frozenset({"dc-1"}),
    )
    planner = GroupProposer()
    return microseconds(lambda: planner.plan(given, 100.1), 3)


def choose_us(groups: int) -> float:
    """Return the time of one choice among ready groups."""
    router = Router(random.Random(1))
    candidates = [
        Candidate(Target(TargetKind.GROUP, f"i-{n}", "10.0.0.1:1", f"g-{n}", 1024), 1, 4, 99.0)
        for n in range(groups)
    ]
    hint = Hint("prefix", 0.4, 0.05)
    return microseconds(lambda: router.choose(candidates, hint, 64, frozenset(), 100.0), 50)


def fold_us(groups: int) -> float:
    """Return the time to fold one lease record into a state with groups."""
    state = state_with(groups)
    record = LeaseTake("lease-1", "plan/dc-1", "node-1", "x", 0)
    return microseconds(lambda: apply(state, record, state.position + 1), 500)


def claims_us(claims: int) -> float:
    """Return the time to fold an entry with claims, decoding included, for each claim."""
    records = tuple(
        KeyClaim(f"claim-{n}", f"lark/{n:032x}", "lark", "node-1", "x" * 16, "d" * 32)
        for n in range(claims)
    )
    value = encode_entry(records)

    def fold() -> None:
        Tail().on_page(Page(0, 1, (LogEntry(0, value),)))

    return microseconds(fold, 5)


def claim_bytes() -> float:
    """Return the bytes of one claim on the log."""
    claim = KeyClaim(
        "claim-node-1-" + "x" * 16, "lark/" + "x" * 36, "lark", "node-1", "x" * 16, "d" * 32
    )
    return len(encode_entry((claim,)))


def state_kb(groups: int) -> float:
    """Return the memory of a state, in KB."""
    tracemalloc.start()
    state = state_with(groups)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(state.groups) == groups
    return size / 1024


def snapshot_us(groups: int) -> float:
    """Return the time to make a snapshot."""
    state = state_with(groups)
    return microseconds(lambda: encode_snapshot(state), 2)


def probe_bytes() -> int:
    """Return the bytes of one probe and its answer over HTTP, headers included."""
    import msgspec

    report = StatusReport(
        "instance-0001",
        "f" * 16,
        EngineState.READY,
        10**9,
        "briar-pool-" + "0" * 16,
        GroupSpec("briar-7b", "1", (("labels", "1"),)),
        12,
        EngineLoad(9, 3, 0.5),
    )
    request = status_request()
    head = f"{request.method} {request.target} HTTP/1.1\r\nHost: 10.0.0.1:8000\r\n\r\n"
    answer = msgspec.json.encode(report)
    answer_head = "HTTP/1.1 200 OK\r\nDate: Fri, 04 Dec 2026 00:00:00 GMT\r\n"
    answer_head += "Content-Type: application/json\r\nContent-Length: 300\r\n\r\n"
    return len(head) + len(answer_head) + len(answer)


def resident_mb() -> float:
    """Return the resident memory of a fresh process with the daemon's modules, in MB."""
    program = (
        "import briarpond.daemon;"
        "print(next(row for row in open('/proc/self/status') if row.startswith('VmRSS')))"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return int(done.stdout.split()[1]) / 1024


def main() -> None:
    """Measure, fit, extrapolate and print."""
    print(
        "| slope | unit | base | per item | largest residual | points |\n|---|---|---|---|---|---|"
    )
    few, many = (25, 50, 100, 200, 400), (100, 200, 400, 800, 1600)
    make = fit(
        "pull answer, made, by groups", "us", few, lambda n: microseconds(pull_frame(n, 0)[2], 5)
    )
    made_nodes = fit(
        "pull answer, made, by nodes", "us", few, lambda n: microseconds(pull_frame(0, n)[2], 5)
    )
    take = fit("pull answer, taken, by groups", "us", few, _taken)
    size = fit("pull answer, by groups", "bytes", few, lambda n: len(pull_frame(n, 0)[0]))
    size_nodes = fit("pull answer, by nodes", "bytes", few, lambda n: len(pull_frame(0, n)[0]))
    plan = fit("planning round, by instances", "us", (80, 160, 320, 640), plan_us)
    choose = fit("choice, by ready groups", "us", few, choose_us)
    fold = fit("fold of a record, by groups", "us", many, fold_us)
    claim = fit("fold of claims, by claims in an entry", "us", (10, 20, 40, 80), claims_us)
    memory = fit("state, by groups", "KB", many, state_kb)
    snapshot = fit("snapshot, by groups", "us", many, snapshot_us)
    probe = probe_bytes()
    base_mb = resident_mb()
    print(f"\nprobe and answer: {probe} bytes; modules loaded: {base_mb:.0f} MB resident\n")
    _extrapolate(
        make,
        made_nodes,
        take,
        size,
        size_nodes,
        plan,
        choose,
        fold,
        claim,
        memory,
        snapshot,
        probe,
        base_mb,
    )


def _taken(groups: int) -> float:
    frame, generations, _ = pull_frame(groups, 0)
    return microseconds(lambda: take_frame(frame, generations), 5)


def _extrapolate(
    make,
    made_nodes,
    take,
    size,
    size_nodes,
    plan,
    choose,
    fold,
    claim,
    memory,
    snapshot,
    probe,
    base_mb,
) -> None:
    answer_bytes = size.at(REGION_GROUPS) + size_nodes.per * REGION_NODES
    answer_us = make.at(REGION_GROUPS) + made_nodes.per * REGION_NODES
    answer_us += take.at(REGION_GROUPS) + made_nodes.per * REGION_NODES
    probes_s = REGION_GROUPS * GROUP_SIZE * PROBERS * PROBES_PER_S / REGION_NODES
    choices_s = REQUESTS_PER_S / NODES
    appends_s = DATA_CENTRES / REGIONS * 0.6 + 0.6 + CHANGES_PER_DAY / 86_400
    rows = (
        ("pulls, asked and answered, bytes/s", 2 * PULLS_PER_S * answer_bytes, BYTES_PER_S),
        ("probes of groups, bytes/s", probes_s * probe, BYTES_PER_S),
        ("pulls, part of a core", PULLS_PER_S * answer_us / 1e6, CORE_PART),
        (
            "planning, part of a core, on the lease holder",
            2 * plan.at(DATA_CENTRE_INSTANCES) / 1e6,
            CORE_PART,
        ),
        (
            "fold of leases and changes, part of a core",
            appends_s * fold.at(SERVERS // GROUP_SIZE) / 1e6,
            CORE_PART,
        ),
        (
            "fold of claims if 1 in 100 requests has a key, part of a core",
            REQUESTS_PER_S / REGIONS / 100 * claim.per / 1e6,
            CORE_PART,
        ),
        (
            "snapshot each minute, part of a core, on the lease holder",
            snapshot.at(SERVERS // GROUP_SIZE) / 60e6,
            CORE_PART,
        ),
        (
            "relay of claims if 1 in 100 requests has a key, bytes/s",
            REQUESTS_PER_S / REGIONS / 100 * claim_bytes(),
            BYTES_PER_S,
        ),
        (
            "memory: modules and the state of all regions, MB",
            base_mb + memory.at(SERVERS // GROUP_SIZE) / 1024,
            MEMORY_MB,
        ),
        ("choices (data path), part of a core", choices_s * choose.at(REGION_GROUPS) / 1e6, 1.0),
    )
    print("| at the size of letter 1, a node | today's code | budget | factor |\n|---|---|---|---|")
    for name, value, budget in rows:
        print(f"| {name} | {value:.4g} | {budget:.4g} | {value / budget:.2f} |")


if __name__ == "__main__":
    main()
