"""Simulation of routing and admission policies over modelled engines in virtual time.

Run ``python -m benchmarks.routing [--plot FILE]``. The daemon's `Router` and `FairQueue`
run on nine nodes in front of fifteen groups of four instances in three data centres, with
load reports that lag. The engines batch requests, cache prefixes in limited memory and
slow down as their batch grows. Each policy gets the same arrivals.
"""

import functools
import heapq
import itertools
import random
import sys
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from briarpond.admission import FairQueue, QueuedRequest
from briarpond.requests import Target, TargetKind
from briarpond.routing import (
    Candidate,
    Choice,
    PrefillEstimate,
    Router,
    choose_least_loaded,
    choose_lowest_cost,
    choose_power_of_two,
    choose_random,
)

DATA_CENTRES = 3
GROUPS_PER_DATA_CENTRE = 5
NODES = 9
# Requests that a group runs at a time.
SLOTS = 32
# Interval of the groups' load reports, and the time until nodes have received one.
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.5
# Time of a decode step for a batch of one; it doubles for a full batch.
DECODE_S_PER_TOKEN = 0.02
PREFILL_S_PER_TOKEN = 0.0004
# Tokens of a prompt after the prefix that it shares with others.
SUFFIX_TOKENS = 120
# Prefixes that a group keeps in its cache; the least recently used one is evicted.
CACHED_PREFIXES = 8
# Simulated time of a run; requests that arrive in the warm-up are not counted.
DURATION_S = 60.0
WARMUP_S = 10.0
# Longest time to the first token with which an answer counts as goodput.
FIRST_TOKEN_TARGET_S = 0.91
SEEDS = (1, 2, 3, 4, 5)
# The five accounts with the least traffic.
SMALL_ACCOUNTS = (5, 6, 7, 8, 9)


@dataclass(frozen=True)
class Workload:
    """The traffic of one user of the system.

    Attributes
    ----------
    account_weights : tuple of float
        Share of the arrivals of each client account, in percent.
    prefixes : int
        Prompt prefixes of all accounts together.
    prefix_tokens : int
        Length of a prefix.
    answer_tokens : int
        Mean length of an answer.
    distance_s : float
        Extra latency to a group in another data centre, in seconds.
    """

    name: str
    account_weights: tuple[float, ...]
    prefixes: int
    prefix_tokens: int
    answer_tokens: int
    distance_s: float


DERWENT = Workload("Derwent", (40, 20, 12, 8, 6, 5, 4, 2, 2, 1), 60, 1500, 90, 0.004)
LEHTINEN = Workload("Lehtinen", (30, 25, 15, 10, 6, 5, 4, 2, 2, 1), 40, 2500, 160, 0.005)


@dataclass
class Request:
    """One simulated request.

    Attributes
    ----------
    prefix : int
        Number of the prompt's prefix.
    output_tokens : int
        Length of the answer.
    node : int
        Node at which the request arrives.
    arrived_at, first_token_at : float
        Simulated times.
    cache_hit : bool
        Whether the prefix was in the cache of the group that ran the request.
    """

    account: int
    prefix: int
    output_tokens: int
    node: int
    arrived_at: float
    first_token_at: float | None = None
    cache_hit: bool = False


@dataclass
class Engine:
    """A group that batches continuously and caches prefixes.

    Attributes
    ----------
    slowdown : float
        Factor on the times of prefill and decode.
    running : int
        Requests in a slot.
    waiting : list
        Requests that wait for a slot, each with the router's record of the attempt.
    prefill_free_at : float
        Time at which the engine has finished all prefills given to it so far.
    prefilling : int
        Requests in a slot that have no first token yet.
    reported_queued, reported_running, reported_at : float
        The newest load report that has reached the nodes, and the time it refers to.
    """

    number: int
    slowdown: float = 1.0
    running: int = 0
    waiting: list = field(default_factory=list)
    prefill_free_at: float = 0.0
    cache: OrderedDict = field(default_factory=OrderedDict)
    prefilling: int = 0
    reported_queued: float = 0.0
    reported_running: float = 0.0
    reported_at: float = 0.0

    @property
    def queued(self) -> int:
        """Requests without a first token."""
        return self.prefilling + len(self.waiting)


class Simulation:
    """One run of one policy on one workload.

    Parameters
    ----------
    load : float
        Arrival rate as a share of the capacity without cache hits.
    straggler : bool
        Whether one group is six times slower than the others.
    queueing : bool
        Whether requests wait at their node until the chosen group has room.

    Attributes
    ----------
    first_token_us : HdrHistogram
        Times from arrival to first token, in microseconds.
    arrived, answered, in_time : Counter
        Requests of each account: all, those answered, and those whose first token came
        within `FIRST_TOKEN_TARGET_S`.
    """

    def __init__(
        self, workload: Workload, policy, load: float, seed: int, straggler: bool, queueing: bool
    ):
        self.workload = workload
        self.load = load
        self.queueing = queueing
        self.rng = random.Random(seed)
        self.now = 0.0
        self._events: list = []
        self._event_numbers = itertools.count()
        self.engines = [Engine(n) for n in range(DATA_CENTRES * GROUPS_PER_DATA_CENTRE)]
        if straggler:
            self.engines[3].slowdown = 6.0
        self.routers = [Router(random.Random(seed * 100 + n), policy) for n in range(NODES)]
        self.queues = [FairQueue() for _ in range(NODES)]
        self.first_token_us = HdrHistogram(1, 600_000_000, 3)
        self.answered = Counter()
        self.in_time = Counter()
        self.arrived = Counter()
        self.cache_hits = 0
        self.finished = 0
        self.refused = 0

    def schedule(self, delay_s: float, call, *args) -> None:
        """Schedule a call at `delay_s` after the present simulated time."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._event_numbers), call, args))

    def run(self) -> "Simulation":
        """Run all events of `DURATION_S` and return the simulation."""
        self.schedule(0.0, self.report_loads)
        self.schedule(0.0, self.add_arrival)
        while self._events and self._events[0][0] < DURATION_S:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self

    def capacity(self) -> float:
        """Return the requests per second that all groups can serve without cache hits.

        It is limited by the decode of full batches or by the prefills, one at a time.
        """
        decode_s = self.workload.answer_tokens * DECODE_S_PER_TOKEN * 2
        decoded_per_s = SLOTS / decode_s
        prefilled_per_s = 1 / ((self.workload.prefix_tokens + SUFFIX_TOKENS) * PREFILL_S_PER_TOKEN)
        return len(self.engines) * min(decoded_per_s, prefilled_per_s)

    def add_arrival(self) -> None:
        """Let a request arrive at a random node and schedule the next arrival."""
        self.schedule(self.rng.expovariate(self.capacity() * self.load), self.add_arrival)
        account = self.rng.choices(range(10), self.workload.account_weights)[0]
        # Prefixes are templates of the account; their popularity has a Pareto distribution.
        template = min(int(self.rng.paretovariate(1.1)), self.workload.prefixes // 10) - 1
        prefix = account * 1000 + template
        output_tokens = max(4, int(self.rng.expovariate(1 / self.workload.answer_tokens)))
        node = self.rng.randrange(NODES)
        request = Request(account, prefix, output_tokens, node, self.now)
        if self.now >= WARMUP_S:
            self.arrived[account] += 1
        if not len(self.queues[node]) and self.try_dispatch(request):
            return
        deadline = self.now + FIRST_TOKEN_TARGET_S
        begin = functools.partial(self.try_dispatch, request)
        queued_request = QueuedRequest(str(account), deadline, begin, lambda: None)
        if self.queues[node].push(queued_request, 1.0, output_tokens, self.now) is not None:
            self.refused += 1

    def prefill_estimate(self, request: Request) -> PrefillEstimate:
        """Return the prefix of a request's prompt and the expected time of its prefill."""
        prefix_s = self.workload.prefix_tokens * PREFILL_S_PER_TOKEN
        return PrefillEstimate(str(request.prefix), prefix_s, SUFFIX_TOKENS * PREFILL_S_PER_TOKEN)

    def try_dispatch(self, request: Request) -> bool:
        """Dispatch a request unless it has to wait for room; return whether it was sent."""
        router, estimate = self.routers[request.node], self.prefill_estimate(request)
        choice = router.choose(
            self.candidates(request.node), estimate, SLOTS, frozenset(), self.now
        )
        left_s = request.arrived_at + FIRST_TOKEN_TARGET_S - self.now
        if self.queueing and not router.should_send(choice, estimate, SLOTS, left_s, self.now):
            return False
        dispatched = router.record_sent(choice, estimate, SLOTS, self.now)
        engine = self.engines[int(choice.candidate.target.instance[1:])]
        # The latency to any group is 0.5 ms, to another data centre `distance_s` longer.
        delay_s = choice.candidate.latency_s + 0.0005
        self.schedule(delay_s, self.enqueue_at_engine, engine, request, dispatched)
        return True

    def candidates(self, node: int) -> list[Candidate]:
        """Return all groups with their reported loads and their extra latency from a node."""
        options = []
        for engine in self.engines:
            target = Target(TargetKind.GROUP, f"g{engine.number}", f"g{engine.number}")
            is_remote = engine.number // GROUPS_PER_DATA_CENTRE != node % DATA_CENTRES
            extra_s = self.workload.distance_s if is_remote else 0.0
            options.append(
                Candidate(
                    target,
                    engine.reported_queued,
                    engine.reported_running,
                    engine.reported_at,
                    extra_s,
                )
            )
        return options

    def enqueue_at_engine(self, engine: Engine, request: Request, dispatched) -> None:
        """Start a request that has arrived at its group, or queue it if no slot is free."""
        if engine.running >= SLOTS:
            engine.waiting.append((request, dispatched))
        else:
            self.prefill(engine, request, dispatched)

    def prefill(self, engine: Engine, request: Request, dispatched) -> None:
        """Occupy a slot and compute the prompt; a group does one prefill at a time."""
        engine.running += 1
        engine.prefilling += 1
        request.cache_hit = request.prefix in engine.cache
        prompt_tokens = SUFFIX_TOKENS + (0 if request.cache_hit else self.workload.prefix_tokens)
        engine.cache.pop(request.prefix, None)
        engine.cache[request.prefix] = True
        if len(engine.cache) > CACHED_PREFIXES:
            engine.cache.popitem(last=False)
        start = max(self.now, engine.prefill_free_at)
        engine.prefill_free_at = start + prompt_tokens * PREFILL_S_PER_TOKEN * engine.slowdown
        self.schedule(
            engine.prefill_free_at - self.now, self.start_decode, engine, request, dispatched
        )

    def start_decode(self, engine: Engine, request: Request, dispatched) -> None:
        """Emit the first token; the others take a time that grows with the batch."""
        request.first_token_at = self.now
        engine.prefilling -= 1
        self.routers[request.node].record_first_byte(dispatched, self.now)
        token_s = DECODE_S_PER_TOKEN * (1 + engine.running / SLOTS) * engine.slowdown
        self.schedule(
            request.output_tokens * token_s, self.finish_request, engine, request, dispatched
        )

    def finish_request(self, engine: Engine, request: Request, dispatched) -> None:
        """End a request, count it, and start those that waited for its slot."""
        engine.running -= 1
        if engine.waiting:
            self.prefill(engine, *engine.waiting.pop(0))
        self.routers[request.node].record_end(dispatched, self.now)
        if request.arrived_at >= WARMUP_S:
            waited_s = request.first_token_at - request.arrived_at
            self.first_token_us.record_value(max(1, int(waited_s * 1e6)))
            self.finished += 1
            self.cache_hits += request.cache_hit
            self.answered[request.account] += 1
            self.in_time[request.account] += waited_s <= FIRST_TOKEN_TARGET_S
        self.serve_queue(request.node)

    def serve_queue(self, node: int) -> None:
        """Drop expired requests from a node's queue and dispatch those that have room."""
        queue = self.queues[node]
        self.refused += len(queue.remove_expired(self.now))
        queue.start_queued(self.now, len(queue))

    def report_loads(self) -> None:
        """Serve all queues and send load reports, which reach the nodes after the lag."""
        self.schedule(REPORT_INTERVAL_S, self.report_loads)
        for node in range(NODES):
            self.serve_queue(node)
        for engine in self.engines:
            running = engine.running - engine.prefilling
            self.schedule(REPORT_LAG_S, self.on_report, engine, engine.queued, running, self.now)

    def on_report(self, engine: Engine, queued: int, running: int, measured_at: float) -> None:
        """Store a load report that has reached the nodes."""
        engine.reported_queued, engine.reported_running, engine.reported_at = (
            queued,
            running,
            measured_at,
        )


class RoundRobin:
    """Policy that takes the candidates in turn."""

    def __init__(self) -> None:
        self._next = 0

    def __call__(self, context, state, rng) -> Choice:
        """Return the choice of the next candidate."""
        self._next += 1
        return Choice(context.candidates[self._next % len(context.candidates)])


# A function that returns the policy, and whether requests wait at their node for room
# (otherwise all are sent at once). The daemon uses the last one.
POLICIES = {
    "random": (lambda: choose_random, False),
    "round robin": (RoundRobin, False),
    "least reported": (lambda: choose_least_loaded, False),
    "two choices": (lambda: choose_power_of_two, False),
    "round robin, with queue": (RoundRobin, True),
    "two choices, with queue": (lambda: choose_power_of_two, True),
    "cheapest": (lambda: choose_lowest_cost, False),
    "cheapest, with queue": (lambda: choose_lowest_cost, True),
}


@dataclass
class Result:
    """Results of a policy, as means over the seeds.

    Attributes
    ----------
    p50, p95, p99 : float
        Percentiles of the time to the first token, in seconds.
    goodput : float
        Answers per second whose first token came within `FIRST_TOKEN_TARGET_S`.
    worst_account : float
        Least share of such answers among the accounts with at least 20 requests.
    small_accounts : float
        Share of such answers in the requests of `SMALL_ACCOUNTS`.
    hit_rate : float
        Share of answers whose prefix was in the group's cache.
    refused_per_s : float
        Requests per second that the queue refused or that expired in it.
    """

    p50: float
    p95: float
    p99: float
    goodput: float
    worst_account: float
    small_accounts: float
    hit_rate: float
    refused_per_s: float


def measure(workload: Workload, policy_name: str, load: float, straggler: bool = False) -> Result:
    """Simulate a policy with all seeds."""
    rows = []
    for seed in SEEDS:
        policy, queueing = POLICIES[policy_name]
        simulation = Simulation(workload, policy(), load, seed, straggler, queueing).run()
        p50, p95, p99 = (
            simulation.first_token_us.get_value_at_percentile(p) / 1e6 for p in (50, 95, 99)
        )
        measured_s = DURATION_S - WARMUP_S
        worst_account = min(
            simulation.in_time[a] / simulation.arrived[a]
            for a in range(10)
            if simulation.arrived[a] >= 20
        )
        small_accounts = sum(simulation.in_time[a] for a in SMALL_ACCOUNTS) / sum(
            simulation.arrived[a] for a in SMALL_ACCOUNTS
        )
        goodput = sum(simulation.in_time.values()) / measured_s
        hit_rate = simulation.cache_hits / max(1, simulation.finished)
        rows.append(
            (
                p50,
                p95,
                p99,
                goodput,
                worst_account,
                small_accounts,
                hit_rate,
                simulation.refused / measured_s,
            )
        )
    return Result(*(sum(column) / len(rows) for column in zip(*rows, strict=True)))


def print_table(workload: Workload, load: float, straggler: bool) -> None:
    """Print a table with a row for each policy."""
    suffix = ", one straggler" if straggler else ""
    print(f"\n{workload.name}, load {load:.2f} of the capacity without cache hits{suffix}\n")
    print(
        "| policy | first token p50 s | p95 s | p99 s | goodput /s | worst account "
        "| small accounts | hit rate | refused /s |\n|---|---|---|---|---|---|---|---|---|"
    )
    for name in POLICIES:
        row = measure(workload, name, load, straggler)
        print(
            f"| {name} | {row.p50:.3f} | {row.p95:.3f} | {row.p99:.3f} | {row.goodput:.1f} "
            f"| {row.worst_account:.2f} | {row.small_accounts:.2f} | {row.hit_rate:.2f} "
            f"| {row.refused_per_s:.1f} |",
            flush=True,
        )


def plot(path: str) -> None:
    """Draw the p95 of the time to the first token, and goodput, over the load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    loads = (0.4, 0.8, 1.0, 1.7, 2.4, 3.0, 4.0, 5.0, 7.0)
    figure, axes = pyplot.subplots(2, 2, figsize=(11, 8), sharex=True)
    for column, workload in enumerate((DERWENT, LEHTINEN)):
        for name in POLICIES:
            rows = [measure(workload, name, load) for load in loads]
            axes[0][column].plot(loads, [row.p95 for row in rows], marker="o", label=name)
            axes[1][column].plot(loads, [row.goodput for row in rows], marker="o", label=name)
        axes[0][column].set_title(workload.name)
        axes[0][column].set_yscale("log")
        axes[0][column].axhline(FIRST_TOKEN_TARGET_S, color="grey", linestyle=":")
        axes[1][column].set_xlabel("arrivals / capacity without cache hits")
    axes[0][0].set_ylabel("first token p95, s")
    axes[1][0].set_ylabel("goodput, answers/s within 0.91 s")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Print the tables, or with `--plot FILE` draw the plot."""
    if "--plot" in sys.argv:
        plot(sys.argv[sys.argv.index("--plot") + 1])
        return
    for workload in (DERWENT, LEHTINEN):
        print_table(workload, 0.8, False)
        print_table(workload, 0.8, True)
        print_table(workload, 3.0, False)
        print_table(workload, 5.0, False)


if __name__ == "__main__":
    main()
