"""Cost of a node's control work, extrapolated to the target deployment size.

Run ``python -m benchmarks.capacity``. Every cost is measured at growing counts in this
process, fitted by a straight line, and printed with its points and the largest residual,
so that a reader can judge the extrapolation. A second table compares the extrapolated
cost per node with its budget.
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
    FoldedState,
    Group,
    GroupSpec,
    KeyClaim,
    LeaseTake,
    LogEntry,
    Member,
    Node,
    NodeStage,
    Page,
    Tail,
    apply_record,
    encode_entry,
    encode_snapshot,
)
from briarpond.journal._fold import Map, replace
from briarpond.peers import (
    PROTOCOL_VERSION,
    Envelope,
    NodeDigest,
    NodeReport,
    PeerDigest,
    Pull,
    answer_pull,
    decode_frame,
    encode_frame,
    merge_group_digests,
)
from briarpond.ports import (
    EngineLoad,
    EngineState,
    ListedInstance,
    ListedState,
    StatusReport,
    status_request,
)
from briarpond.requests import Target, TargetKind
from briarpond.routing import Candidate, PrefillEstimate, Router

# Measurements of each point, of which the least is taken.
REPEATS = 5
SECRET = b"a secret of at least sixteen bytes"
GROUP_SIZE = 8
# Monotonic time of an event that has not happened.
NEVER = float("-inf")

# The target deployment: counts and rates of the whole system.
NODES = 780
REGIONS = 10
DATA_CENTRES = 37
INSTANCES = 12_000
REQUESTS_PER_S = 65_000
TOKENS_PER_S = 20_000_000
CHANGES_PER_DAY = 9_800
# Budgets of one node for the control work: share of a core, memory, network traffic.
CORE_SHARE_BUDGET = 0.029
MEMORY_BUDGET_MB = 64
TRAFFIC_BUDGET_BYTES_PER_S = 7_000

NODES_PER_REGION = NODES // REGIONS
GROUPS_PER_REGION = INSTANCES // REGIONS // GROUP_SIZE
INSTANCES_PER_DATA_CENTRE = INSTANCES // DATA_CENTRES
# Pulls that a node makes per second; it answers as many.
PULLS_PER_S = 8
# Probes of an instance per second by each of the nodes that probe its group.
PROBES_PER_S = 2
PROBERS_PER_GROUP = 2


@dataclass
class LinearFit:
    """The fitted line ``intercept + per_item * count``; `unit` is that of its values."""

    name: str
    unit: str
    intercept: float
    per_item: float

    def value_at(self, count: float) -> float:
        """Return the value of the line at a count."""
        return self.intercept + self.per_item * count


def fit(
    name: str, unit: str, counts: tuple[int, ...], measure: Callable[[int], float]
) -> LinearFit:
    """Measure at every count, print a row of the table and return the fitted line."""
    values = [measure(count) for count in counts]
    per_item, intercept = numpy.polyfit(counts, values, 1)
    residual = max(
        abs(intercept + per_item * count - value) / max(abs(value), 1e-12)
        for count, value in zip(counts, values, strict=True)
    )
    points = " ".join(f"{count}:{value:.4g}" for count, value in zip(counts, values, strict=True))
    print(
        f"| {name} | {unit} | {intercept:.4g} | {per_item:.4g} | {residual:.0%} | {points} |",
        flush=True,
    )
    return LinearFit(name, unit, intercept, per_item)


def call_us(call: Callable[[], object], times: int) -> float:
    """Return the processor time of a call, in microseconds.

    It is the least of `REPEATS` measurements of `times` calls each.
    """
    best = float("inf")
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(times):
            call()
        best = min(best, (time.process_time() - began) / times)
    return best * 1e6


def state_with(groups: int, nodes: int = 0) -> FoldedState:
    """Return a folded state with live nodes and groups of `GROUP_SIZE` members."""
    spec = GroupSpec("briar-7b", "1", (("labels", "1"),))
    groups_by_id, member_of = {}, {}
    for number in range(groups):
        members = tuple(
            Member(f"i-{number}-{rank}", f"inc{number}{rank}", f"10.0.{number % 250}.{rank}:80")
            for rank in range(GROUP_SIZE)
        )
        group = f"briar-pool-{number:016x}"
        groups_by_id[group] = Group(
            group, "briar-pool", "dc-1", f"f-{number}", spec, members, 1024 * (number + 1)
        )
        member_of.update((member.instance, group) for member in members)
    nodes_by_id = {
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
    return FoldedState(
        position=1024 * (groups + 2),
        groups=Map(groups_by_id),
        member_of=Map(member_of),
        changed_at=Map(dict.fromkeys(member_of, 1024)),
        nodes=Map(nodes_by_id),
    )


def pull_frame(groups: int, nodes: int) -> tuple[bytes, dict, Callable[[], bytes]]:
    """Return the frame with a peer's answer to a pull, and what the measurements need with it.

    Returns
    -------
    frame : bytes
        An answer without log entries, with the digests of all groups and nodes.
    generations : dict
        Group id of each generation; a receiver has it from its folded state.
    make : callable
        Makes the frame anew.
    """
    state = state_with(groups, nodes)
    tail = Tail()
    tail.install_snapshot(state)
    views = [
        GroupView(group.id, group.generation, 99.0, NEVER, EngineLoad(9, 3), 99.2)
        for group in state.groups.values()
    ]
    sender = NodeDigest("node-1", "x" * 16, 0, False)
    digests = [PeerDigest(1024 * (n + 1), 300) for n in range(nodes)]
    pull = Pull(tail.next_offset, False, sender, [])
    node_report = NodeReport(sender, views, digests, [], [], 99.0)

    def make() -> bytes:
        answer = answer_pull(pull, tail, node_report, 100.0)
        return encode_frame(
            Envelope(PROTOCOL_VERSION, "c" * 16, "node-1", pull_answer=answer), SECRET
        )

    generations = {group.generation: group.id for group in state.groups.values()}
    return make(), generations, make


def merge_frame(frame: bytes, generations: dict) -> None:
    """Decode an answer and merge its group digests, as the receiving node does."""
    envelope = decode_frame(frame[4:], SECRET).ok
    merge_group_digests(envelope.pull_answer.groups, generations, {}, 99.9, 100.0)


def plan_us(instances: int) -> float:
    """Return the time of a planning round in which all groups are ready, in microseconds."""
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
    listed = []
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
            listed.append(
                ListedInstance(
                    member.instance,
                    "briar-pool",
                    member.address,
                    "dc-1",
                    group.domain,
                    4,
                    ListedState.LIVE,
                )
            )
    policy = PlannerPolicy(2.0, 3.0, 120.0, 0.5)
    planner_input = PlannerInput(
        0,
        "node-1",
        "dc-1",
        state,
        tuple(listed),
        presence,
        policy,
        lambda: "x",
        lambda group: True,
        frozenset({"dc-1"}),
    )
    planner = GroupProposer()
    return call_us(lambda: planner.plan(planner_input, 100.1), 3)


def choice_us(groups: int) -> float:
    """Return the time of one routing choice among ready groups, in microseconds."""
    router = Router(random.Random(1))
    candidates = [
        Candidate(Target(TargetKind.GROUP, f"i-{n}", "10.0.0.1:1", f"g-{n}", 1024), 1, 4, 99.0)
        for n in range(groups)
    ]
    prefill = PrefillEstimate("prefix", 0.4, 0.05)
    return call_us(lambda: router.choose(candidates, prefill, 64, frozenset(), 100.0), 50)


def fold_us(groups: int) -> float:
    """Return the time to fold one lease record into a state, in microseconds."""
    state = state_with(groups)
    record = LeaseTake("lease-1", "plan/dc-1", "node-1", "x", 0)
    return call_us(lambda: apply_record(state, record, state.position + 1), 500)


def fold_claims_us(claims: int) -> float:
    """Return the time to decode and fold a log entry with key claims, in microseconds."""
    records = tuple(
        KeyClaim(f"claim-{n}", f"lark/{n:032x}", "lark", "node-1", "x" * 16, "d" * 32)
        for n in range(claims)
    )
    value = encode_entry(records)

    def fold() -> None:
        Tail().on_page(Page(0, 1, (LogEntry(0, value),)))

    return call_us(fold, 5)


def claim_bytes() -> float:
    """Return the size of a log entry with one key claim, in bytes."""
    claim = KeyClaim(
        "claim-node-1-" + "x" * 16, "lark/" + "x" * 36, "lark", "node-1", "x" * 16, "d" * 32
    )
    return len(encode_entry((claim,)))


def state_kb(groups: int) -> float:
    """Return the memory that a folded state takes, in KB."""
    tracemalloc.start()
    state = state_with(groups)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(state.groups) == groups
    return size / 1024


def snapshot_us(groups: int) -> float:
    """Return the time to encode a snapshot, in microseconds."""
    state = state_with(groups)
    return call_us(lambda: encode_snapshot(state), 2)


def probe_bytes() -> int:
    """Return the bytes of one probe and its HTTP answer, headers included."""
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
    request_head = f"{request.method} {request.target} HTTP/1.1\r\nHost: 10.0.0.1:8000\r\n\r\n"
    answer = msgspec.json.encode(report)
    answer_head = "HTTP/1.1 200 OK\r\nDate: Fri, 04 Dec 2026 00:00:00 GMT\r\n"
    answer_head += "Content-Type: application/json\r\nContent-Length: 300\r\n\r\n"
    return len(request_head) + len(answer_head) + len(answer)


def resident_mb() -> float:
    """Return the resident memory of a fresh process with the daemon's modules, in MB."""
    program = (
        "import briarpond.daemon;"
        "print(next(row for row in open('/proc/self/status') if row.startswith('VmRSS')))"
    )
    finished = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return int(finished.stdout.split()[1]) / 1024


def main() -> None:
    """Print the fitted lines, and the extrapolated cost per node against its budget."""
    print(
        "| cost | unit | intercept | per item | largest residual | points |\n"
        "|---|---|---|---|---|---|"
    )
    few, many = (25, 50, 100, 200, 400), (100, 200, 400, 800, 1600)
    answer_us_by_groups = fit(
        "pull answer, encoded, by groups", "us", few, lambda n: call_us(pull_frame(n, 0)[2], 5)
    )
    answer_us_by_nodes = fit(
        "pull answer, encoded, by nodes", "us", few, lambda n: call_us(pull_frame(0, n)[2], 5)
    )
    merge_us_by_groups = fit("pull answer, merged, by groups", "us", few, _merge_us)
    answer_bytes_by_groups = fit(
        "pull answer, by groups", "bytes", few, lambda n: len(pull_frame(n, 0)[0])
    )
    answer_bytes_by_nodes = fit(
        "pull answer, by nodes", "bytes", few, lambda n: len(pull_frame(0, n)[0])
    )
    plan_us_by_instances = fit("planning round, by instances", "us", (80, 160, 320, 640), plan_us)
    choice_us_by_groups = fit("choice, by ready groups", "us", few, choice_us)
    fold_us_by_groups = fit("fold of a record, by groups", "us", many, fold_us)
    fold_us_by_claims = fit(
        "fold of claims, by claims in an entry", "us", (10, 20, 40, 80), fold_claims_us
    )
    state_kb_by_groups = fit("state, by groups", "KB", many, state_kb)
    snapshot_us_by_groups = fit("snapshot, by groups", "us", many, snapshot_us)
    one_probe_bytes = probe_bytes()
    modules_mb = resident_mb()
    print(
        f"\nprobe and answer: {one_probe_bytes} bytes; "
        f"modules loaded: {modules_mb:.0f} MB resident\n"
    )
    _extrapolate(
        answer_us_by_groups,
        answer_us_by_nodes,
        merge_us_by_groups,
        answer_bytes_by_groups,
        answer_bytes_by_nodes,
        plan_us_by_instances,
        choice_us_by_groups,
        fold_us_by_groups,
        fold_us_by_claims,
        state_kb_by_groups,
        snapshot_us_by_groups,
        one_probe_bytes,
        modules_mb,
    )


def _merge_us(groups: int) -> float:
    """Return the time to decode and merge a pull answer, in microseconds."""
    frame, generations, _ = pull_frame(groups, 0)
    return call_us(lambda: merge_frame(frame, generations), 5)


def _extrapolate(
    answer_us_by_groups,
    answer_us_by_nodes,
    merge_us_by_groups,
    answer_bytes_by_groups,
    answer_bytes_by_nodes,
    plan_us_by_instances,
    choice_us_by_groups,
    fold_us_by_groups,
    fold_us_by_claims,
    state_kb_by_groups,
    snapshot_us_by_groups,
    one_probe_bytes,
    modules_mb,
) -> None:
    """Print the cost per node at the target size, its budget and their ratio."""
    answer_bytes = (
        answer_bytes_by_groups.value_at(GROUPS_PER_REGION)
        + answer_bytes_by_nodes.per_item * NODES_PER_REGION
    )
    # Merging the digests of nodes is taken to cost as much as encoding them.
    answer_us = (
        answer_us_by_groups.value_at(GROUPS_PER_REGION)
        + answer_us_by_nodes.per_item * NODES_PER_REGION
    )
    answer_us += (
        merge_us_by_groups.value_at(GROUPS_PER_REGION)
        + answer_us_by_nodes.per_item * NODES_PER_REGION
    )
    node_probes_per_s = (
        GROUPS_PER_REGION * GROUP_SIZE * PROBERS_PER_GROUP * PROBES_PER_S / NODES_PER_REGION
    )
    node_choices_per_s = REQUESTS_PER_S / NODES
    # Lease records: 0.6 per second for each data centre of the region and for the region.
    appends_per_s = DATA_CENTRES / REGIONS * 0.6 + 0.6 + CHANGES_PER_DAY / 86_400
    rows = (
        (
            "pulls, sent and answered, bytes/s",
            2 * PULLS_PER_S * answer_bytes,
            TRAFFIC_BUDGET_BYTES_PER_S,
        ),
        (
            "probes of groups, bytes/s",
            node_probes_per_s * one_probe_bytes,
            TRAFFIC_BUDGET_BYTES_PER_S,
        ),
        ("pulls, share of a core", PULLS_PER_S * answer_us / 1e6, CORE_SHARE_BUDGET),
        (
            "planning, share of a core, on the lease holder",
            2 * plan_us_by_instances.value_at(INSTANCES_PER_DATA_CENTRE) / 1e6,
            CORE_SHARE_BUDGET,
        ),
        (
            "fold of leases and changes, share of a core",
            appends_per_s * fold_us_by_groups.value_at(INSTANCES // GROUP_SIZE) / 1e6,
            CORE_SHARE_BUDGET,
        ),
        (
            "fold of claims if 1 in 100 requests has a key, share of a core",
            REQUESTS_PER_S / REGIONS / 100 * fold_us_by_claims.per_item / 1e6,
            CORE_SHARE_BUDGET,
        ),
        (
            "snapshot each minute, share of a core, on the lease holder",
            snapshot_us_by_groups.value_at(INSTANCES // GROUP_SIZE) / 60e6,
            CORE_SHARE_BUDGET,
        ),
        (
            "relay of claims if 1 in 100 requests has a key, bytes/s",
            REQUESTS_PER_S / REGIONS / 100 * claim_bytes(),
            TRAFFIC_BUDGET_BYTES_PER_S,
        ),
        (
            "memory: modules and the state of all regions, MB",
            modules_mb + state_kb_by_groups.value_at(INSTANCES // GROUP_SIZE) / 1024,
            MEMORY_BUDGET_MB,
        ),
        (
            "choices (data path), share of a core",
            node_choices_per_s * choice_us_by_groups.value_at(GROUPS_PER_REGION) / 1e6,
            1.0,
        ),
    )
    print(
        "| at the target size, per node | extrapolated | budget | extrapolated / budget |\n"
        "|---|---|---|---|"
    )
    for name, cost, budget in rows:
        print(f"| {name} | {cost:.4g} | {budget:.4g} | {cost / budget:.2f} |")


if __name__ == "__main__":
    main()
