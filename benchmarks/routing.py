"""Routing and admission policies over modelled engines in virtual time.

Run ``python -m benchmarks.routing [--plot FILE]``. The daemon's `Router` and
`FairQueue` run on nine nodes before fifteen groups of four in three data
centres, with lagging load reports; the engines batch, cache prefixes in limited
memory and slow down with their batch. Each policy gets the same arrivals.
"""

import functools
import heapq
import itertools
import random
import sys
from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from briarpond.admission import FairQueue, Waiting
from briarpond.requests import Target, TargetKind
from briarpond.routing import (
    Candidate,
    Choice,
    Hint,
    Router,
    choose_cheapest,
    choose_least_reported,
    choose_random,
    choose_two,
)

DATA_CENTRES = 3
GROUPS_EACH = 5
NODES = 9
SLOTS = 32
REPORT_EVERY_S = 0.5
REPORT_LAG_S = 0.5
TOKEN_S = 0.02
PREFILL_S_PER_TOKEN = 0.0004
SUFFIX_TOKENS = 120
CACHED_PREFIXES = 8
DURATION_S = 60.0
WARM_S = 10.0
FIRST_TOKEN_TARGET_S = 0.91
SEEDS = (1, 2, 3, 4, 5)
# The five accounts with the least traffic.
SMALL = (5, 6, 7, 8, 9)


@dataclass(frozen=True)
class Workload:
    """One user's traffic; `accounts` gives each account's part of the arrivals."""

    name: str
    accounts: tuple[float, ...]
    prefixes: int
    prefix_tokens: int
    answer_tokens: int
    distance_s: float


DERWENT = Workload("Derwent", (40, 20, 12, 8, 6, 5, 4, 2, 2, 1), 60, 1500, 90, 0.004)
LEHTINEN = Workload("Lehtinen", (30, 25, 15, 10, 6, 5, 4, 2, 2, 1), 40, 2500, 160, 0.005)


@dataclass
class Request:
    """One modelled request."""

    account: int
    prefix: int
    tokens: int
    node: int
    at: float
    first_at: float | None = None
    hit: bool = False


@dataclass
class Engine:
    """A group that batches continuously and caches prefixes."""

    number: int
    slow: float = 1.0
    running: int = 0
    waiting: list = field(default_factory=list)
    prefill_free_at: float = 0.0
    cache: OrderedDict = field(default_factory=OrderedDict)
    pending: int = 0
    queued_seen: float = 0.0
    running_seen: float = 0.0
    seen_at: float = 0.0

    @property
    def queued(self) -> int:
        """Requests without a first token."""
        return self.pending + len(self.waiting)


class Model:
    """One run of one policy on one workload."""

    def __init__(
        self, workload: Workload, policy, load: float, seed: int, straggler: bool, queueing: bool
    ):
        self.workload = workload
        self.load = load
        self.queueing = queueing
        self.rng = random.Random(seed)
        self.now = 0.0
        self._heap: list = []
        self._order = itertools.count()
        self.engines = [Engine(n) for n in range(DATA_CENTRES * GROUPS_EACH)]
        if straggler:
            self.engines[3].slow = 6.0
        self.routers = [Router(random.Random(seed * 100 + n), policy) for n in range(NODES)]
        self.queues = [FairQueue() for _ in range(NODES)]
        self.first = HdrHistogram(1, 600_000_000, 3)
        self.served = Counter()
        self.good = Counter()
        self.asked = Counter()
        self.hits = 0
        self.finished = 0
        self.refused = 0

    def after(self, delay: float, call, *args) -> None:
        """Schedule a call."""
        heapq.heappush(self._heap, (self.now + delay, next(self._order), call, args))

    def run(self) -> "Model":
        """Run the whole time."""
        self.after(0.0, self.report)
        self.after(0.0, self.arrive)
        while self._heap and self._heap[0][0] < DURATION_S:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)
        return self

    def capacity(self) -> float:
        """Return requests a second that all engines could serve without cache hits."""
        decode = self.workload.answer_tokens * TOKEN_S * 2
        batch = SLOTS / decode
        prefill = 1 / ((self.workload.prefix_tokens + SUFFIX_TOKENS) * PREFILL_S_PER_TOKEN)
        return len(self.engines) * min(batch, prefill)

    def arrive(self) -> None:
        """Let one request arrive at a node."""
        self.after(self.rng.expovariate(self.capacity() * self.load), self.arrive)
        account = self.rng.choices(range(10), self.workload.accounts)[0]
        # Prefixes are an account's own templates, some of them far more common.
        template = min(int(self.rng.paretovariate(1.1)), self.workload.prefixes // 10) - 1
        prefix = account * 1000 + template
        tokens = max(4, int(self.rng.expovariate(1 / self.workload.answer_tokens)))
        node = self.rng.randrange(NODES)
        request = Request(account, prefix, tokens, node, self.now)
        if self.now >= WARM_S:
            self.asked[account] += 1
        if not len(self.queues[node]) and self.try_dispatch(request):
            return
        deadline = self.now + FIRST_TOKEN_TARGET_S
        begin = functools.partial(self.try_dispatch, request)
        waiting = Waiting(str(account), deadline, begin, lambda: None)
        if self.queues[node].push(waiting, 1.0, tokens, self.now) is not None:
            self.refused += 1

    def hint(self, request: Request) -> Hint:
        """Return what a node knows of a request."""
        prefix_s = self.workload.prefix_tokens * PREFILL_S_PER_TOKEN
        return Hint(str(request.prefix), prefix_s, SUFFIX_TOKENS * PREFILL_S_PER_TOKEN)

    def try_dispatch(self, request: Request) -> bool:
        """Dispatch if the choice has room."""
        router, hint = self.routers[request.node], self.hint(request)
        choice = router.choose(self.candidates(request.node), hint, SLOTS, frozenset(), self.now)
        left = request.at + FIRST_TOKEN_TARGET_S - self.now
        if self.queueing and not router.has_room(choice, hint, SLOTS, left, self.now):
            return False
        dispatched = router.begin(choice, hint, SLOTS, self.now)
        engine = self.engines[int(choice.candidate.target.instance[1:])]
        delay = choice.candidate.distance_s + 0.0005
        self.after(delay, self.reach, engine, request, dispatched)
        return True

    def candidates(self, node: int) -> list[Candidate]:
        """Return all engines as a node sees them."""
        found = []
        for engine in self.engines:
            target = Target(TargetKind.GROUP, f"g{engine.number}", f"g{engine.number}")
            far = engine.number // GROUPS_EACH != node % DATA_CENTRES
            distance = self.workload.distance_s if far else 0.0
            found.append(
                Candidate(target, engine.queued_seen, engine.running_seen, engine.seen_at, distance)
            )
        return found

    def reach(self, engine: Engine, request: Request, dispatched) -> None:
        """Let a request reach its engine."""
        if engine.running >= SLOTS:
            engine.waiting.append((request, dispatched))
        else:
            self.prefill(engine, request, dispatched)

    def prefill(self, engine: Engine, request: Request, dispatched) -> None:
        """Compute the prompt; one prefill at a time."""
        engine.running += 1
        engine.pending += 1
        request.hit = request.prefix in engine.cache
        tokens = SUFFIX_TOKENS + (0 if request.hit else self.workload.prefix_tokens)
        engine.cache.pop(request.prefix, None)
        engine.cache[request.prefix] = True
        if len(engine.cache) > CACHED_PREFIXES:
            engine.cache.popitem(last=False)
        start = max(self.now, engine.prefill_free_at)
        engine.prefill_free_at = start + tokens * PREFILL_S_PER_TOKEN * engine.slow
        self.after(engine.prefill_free_at - self.now, self.first_token, engine, request, dispatched)

    def first_token(self, engine: Engine, request: Request, dispatched) -> None:
        """Give the first token and decode the rest."""
        request.first_at = self.now
        engine.pending -= 1
        self.routers[request.node].first_byte(dispatched, self.now)
        pace = TOKEN_S * (1 + engine.running / SLOTS) * engine.slow
        self.after(request.tokens * pace, self.finish, engine, request, dispatched)

    def finish(self, engine: Engine, request: Request, dispatched) -> None:
        """End a request; let the next ones begin."""
        engine.running -= 1
        if engine.waiting:
            self.prefill(engine, *engine.waiting.pop(0))
        self.routers[request.node].end(dispatched, self.now)
        if request.at >= WARM_S:
            waited = request.first_at - request.at
            self.first.record_value(max(1, int(waited * 1e6)))
            self.finished += 1
            self.hits += request.hit
            self.served[request.account] += 1
            self.good[request.account] += waited <= FIRST_TOKEN_TARGET_S
        self.serve(request.node)

    def serve(self, node: int) -> None:
        """Dispatch what waits at a node and has room."""
        queue = self.queues[node]
        self.refused += len(queue.expire(self.now))
        queue.serve(self.now, len(queue))

    def report(self) -> None:
        """Publish loads, which nodes see after the lag."""
        self.after(REPORT_EVERY_S, self.report)
        for node in range(NODES):
            self.serve(node)
        for engine in self.engines:
            running = engine.running - engine.pending
            self.after(REPORT_LAG_S, self.publish, engine, engine.queued, running, self.now)

    def publish(self, engine: Engine, queued: int, running: int, at: float) -> None:
        """Let a report arrive."""
        engine.queued_seen, engine.running_seen, engine.seen_at = queued, running, at


class RoundRobin:
    """Takes candidates in turn."""

    def __init__(self) -> None:
        self._next = 0

    def __call__(self, question, knowledge, rng) -> Choice:
        """Return the next candidate."""
        self._next += 1
        return Choice(question.candidates[self._next % len(question.candidates)])


# Policy, and whether requests wait at the node for room (else all go out at once).
POLICIES = {
    "random": (lambda: choose_random, False),
    "round robin": (RoundRobin, False),
    "least reported": (lambda: choose_least_reported, False),
    "two choices": (lambda: choose_two, False),
    "round robin, with queue": (RoundRobin, True),
    "two choices, with queue": (lambda: choose_two, True),
    "ours, without queue": (lambda: choose_cheapest, False),
    "ours": (lambda: choose_cheapest, True),
}


@dataclass
class Result:
    """Means over the seeds."""

    p50: float
    p95: float
    p99: float
    goodput: float
    worst: float
    small: float
    hits: float
    refused: float


def measure(workload: Workload, name: str, load: float, straggler: bool = False) -> Result:
    """Run all seeds of one policy."""
    rows = []
    for seed in SEEDS:
        policy, queueing = POLICIES[name]
        model = Model(workload, policy(), load, seed, straggler, queueing).run()
        p50, p95, p99 = (model.first.get_value_at_percentile(p) / 1e6 for p in (50, 95, 99))
        seconds = DURATION_S - WARM_S
        worst = min(model.good[a] / model.asked[a] for a in range(10) if model.asked[a] >= 20)
        small = sum(model.good[a] for a in SMALL) / sum(model.asked[a] for a in SMALL)
        goodput = sum(model.good.values()) / seconds
        hits = model.hits / max(1, model.finished)
        rows.append((p50, p95, p99, goodput, worst, small, hits, model.refused / seconds))
    return Result(*(sum(column) / len(rows) for column in zip(*rows, strict=True)))


def table(workload: Workload, load: float, straggler: bool) -> None:
    """Print one table."""
    extra = ", one straggler" if straggler else ""
    print(f"\n{workload.name}, load {load:.2f} of the capacity without cache{extra}\n")
    print(
        "| policy | first token p50 s | p95 s | p99 s | goodput /s | worst account "
        "| small accounts | hits | refused /s |\n|---|---|---|---|---|---|---|---|---|"
    )
    for name in POLICIES:
        row = measure(workload, name, load, straggler)
        print(
            f"| {name} | {row.p50:.3f} | {row.p95:.3f} | {row.p99:.3f} | {row.goodput:.1f} "
            f"| {row.worst:.2f} | {row.small:.2f} | {row.hits:.2f} | {row.refused:.1f} |",
            flush=True,
        )


def plot(path: str) -> None:
    """Draw load against p95 first token and goodput for every policy."""
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
    """Print the tables, or draw the plot."""
    if "--plot" in sys.argv:
        plot(sys.argv[sys.argv.index("--plot") + 1])
        return
    for workload in (DERWENT, LEHTINEN):
        table(workload, 0.8, False)
        table(workload, 0.8, True)
        table(workload, 3.0, False)
        table(workload, 5.0, False)


if __name__ == "__main__":
    main()
