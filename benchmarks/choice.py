"""Simulation of how nodes choose a group for a request, in virtual time.

Run ``python -m benchmarks.choice [--plot FILE]``. Many nodes send requests to groups that batch
continuously; each node counts its own requests exactly and knows the load from the other nodes
with a delay. The load tracker, the estimates, the constants of the choice and the learned lengths
are those of the gateway. Connections cost nothing. Each policy gets the same arrivals.
"""

import heapq
import itertools
import math
import random
import sys
from collections import Counter, deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import astuple, dataclass, field
from statistics import fmean, quantiles

from briarpond.dispatch import (
    AdmissionAction,
    AnswerLengths,
    LengthForecast,
    LoadTracker,
    RequestSize,
    StepPaces,
    decide_admission,
    decode_step_s,
    estimate_in_group,
    expected_first_event_s,
    subset_size,
)
from briarpond.gateway._targets import COMPARED_GROUPS, MIN_SHARE_WITH_ROOM, SLOWDOWN_WEIGHT
from briarpond.ids import ServiceName
from briarpond.routes import EngineSpec, HostedModel, ModelName, ModelSpec

NODES = 84
HOSTED_MODEL = HostedModel(ServiceName("pool"), ModelName("model"))
GROUPS = 18
DATA_CENTRES = 3
ACCOUNTS = 24
SLOTS = 17
TOKENS_PER_EVENT = 5
# Prompt tokens that are read in one step beside the decoding requests.
PREFILL_CHUNK = 512
# A node gets the loads of the others at this interval; they are then this old.
EXCHANGE_S = 0.6
EXCHANGE_AGE_S = 0.2
HELD_CHECK_S = 0.02
DURATION_S = 24.0
WARMUP_S = 6.0
DEADLINE_S = 8.0
SEEDS = (31, 32, 33, 34)
LOADS = (0.5, 0.8, 1.1)
WORKERS = 2
MAX_ANSWER_TOKENS = 600
# Spread of the logarithm of a caller's hint around the answer; the hint is right at the median.
HINT_SPREAD = 0.6
# Step times of the groups relative to the configured ones, of which nodes are not told.
EVEN = (1.0,) * GROUPS
UNEVEN = (1.0,) * 11 + (0.8, 0.8, 1.5, 1.5, 1.5, 2.5, 2.5)

MODEL = ModelSpec("model", 8, 1.0, 1.0, 0.0, 0.0)
ENGINE = EngineSpec(
    SLOTS, 10**6, 0.00607, 0.000482, 0.0, 46_000.0, 1351.0, 115.0, 1.0, 1, 0.0, (MODEL,)
)


@dataclass(frozen=True)
class Kind:
    """One kind of request: prompts and answers have log-normal lengths.

    Attributes
    ----------
    goal_s : float
        Time to the first event within which an answer is goodput.
    """

    name: str
    prompt_mean: float
    prompt_spread: float
    answer_spread: float
    goal_s: float


KINDS = (
    Kind("short", 674.0, 0.9, 0.7, 0.253),
    Kind("medium", 1420.0, 1.1, 0.8, 0.4),
    Kind("long", 1960.0, 1.3, 0.9, 0.6),
)


@dataclass(eq=False)
class Request:
    """One simulated request, and what its node expects of it."""

    kind: Kind
    account: int
    prompt_tokens: int
    answer_tokens: int
    hint: int
    node: "Node"
    arrived_at: float
    forecast: LengthForecast | None = None
    group: int = -1
    unread: int = 0
    written: int = 0
    events: int = 0
    unwritten: float = 0.0
    first_at: float | None = None
    last_at: float = 0.0


@dataclass
class Engine:
    """A group that reads prompts in chunks beside the requests that decode."""

    number: int
    pace: float
    waiting: deque = field(default_factory=deque)
    reading: deque = field(default_factory=deque)
    decoding: list = field(default_factory=list)
    is_stepping: bool = False

    @property
    def running(self) -> int:
        """Requests in a slot."""
        return len(self.reading) + len(self.decoding)

    def step(self) -> tuple[float, Request | None]:
        """Begin a step; return its duration and the request whose prompt it completes."""
        while self.waiting and self.running < SLOTS:
            self.reading.append(self.waiting.popleft())
        tokens, has_read = 0, None
        if self.reading:
            tokens = min(PREFILL_CHUNK, self.reading[0].unread)
            self.reading[0].unread -= tokens
            if self.reading[0].unread == 0:
                has_read = self.reading.popleft()
        step_s = tokens / ENGINE.prefill_tokens_per_s
        if self.decoding:
            step_s += ENGINE.step_fixed_s + ENGINE.step_per_request_s * len(self.decoding)
        return step_s * self.pace, has_read


class Node:
    """What one node knows, and the requests that it holds."""

    def __init__(self, number: int, seed: int) -> None:
        self.rng = random.Random(f"{seed}/{number}")
        self.load_tracker = LoadTracker()
        self.lengths = AnswerLengths()
        self.paces = StepPaces()
        self.held: list[Request] = []
        data_centre = number % DATA_CENTRES
        ranks = {group: self.rng.random() for group in range(GROUPS)}
        self.preferred = sorted(ranks, key=lambda n: (n % DATA_CENTRES != data_centre, ranks[n]))


Policy = Callable[[Node, Request, float], int | None]


def has_room(node: Node, group: int, now: float) -> bool:
    """Whether a node may send another request to a group."""
    tracker = node.load_tracker
    return tracker.total_load(group).in_flight < SLOTS and not tracker.is_full(group, now)


def first_free(node: Node, request: Request, now: float) -> int | None:
    """Return the first group with room, in the same order on all nodes."""
    return next((group for group in range(GROUPS) if has_room(node, group, now)), None)


def least_loaded(node: Node, request: Request, now: float) -> int | None:
    """Return the group with the fewest requests in flight."""
    groups = [group for group in range(GROUPS) if has_room(node, group, now)]
    return min(groups, key=lambda n: node.load_tracker.total_load(n).in_flight, default=None)


def two_choices(node: Node, request: Request, now: float) -> int | None:
    """Return the less loaded one of two random groups."""
    groups = [group for group in range(GROUPS) if has_room(node, group, now)]
    sampled = node.rng.sample(groups, min(2, len(groups)))
    return min(sampled, key=lambda n: node.load_tracker.total_load(n).in_flight, default=None)


def by_first_event(node: Node, request: Request, now: float) -> int | None:
    """Return the best of four preferred groups by the unread tokens and requests in flight."""
    size = RequestSize(request.prompt_tokens, request.hint)

    def expected_s(group: int) -> float:
        load = node.load_tracker.total_load(group)
        return expected_first_event_s(ENGINE, MODEL, size, load.in_flight, load.unread_tokens)

    groups = [group for group in node.preferred if has_room(node, group, now)]
    preferred = groups[: subset_size(GROUPS, NODES)]
    return min(
        node.rng.sample(preferred, min(COMPARED_GROUPS, len(preferred))),
        key=expected_s,
        default=None,
    )


def by_cost(node: Node, request: Request, now: float) -> int | None:
    """Return the best of four preferred groups by first event and slowdown, as the gateway does."""
    groups = [group for group in node.preferred if has_room(node, group, now)]
    if not request.forecast.is_learned or len(groups) < MIN_SHARE_WITH_ROOM * GROUPS:
        return by_first_event(node, request, now)
    size = RequestSize(request.prompt_tokens, round(request.forecast.mean))

    def cost_s(group: int) -> float:
        load = node.load_tracker.present_load(group)
        estimate = estimate_in_group(ENGINE, MODEL, size, load, node.paces.pace(group, now))
        return estimate.first_event_s + SLOWDOWN_WEIGHT * estimate.slowdown_s

    preferred = groups[: subset_size(GROUPS, NODES)]
    return min(node.rng.sample(preferred, min(COMPARED_GROUPS, len(preferred))), key=cost_s)


POLICIES: dict[str, Policy] = {
    "first free": first_free,
    "least loaded": least_loaded,
    "two choices": two_choices,
    "first event": by_first_event,
    "cost": by_cost,
}


class Simulation:
    """One run of one policy.

    Attributes
    ----------
    answered : list of Request
        Requests that were answered after the warm-up.
    arrived : Counter
        Requests of each account after the warm-up.
    refused : int
        Those among them that were refused.
    errors : list of tuple
        Kind, and error of the expected remaining tokens: predicted, and by the mean.
    """

    def __init__(self, policy: Policy, paces: tuple[float, ...], load: float, seed: int) -> None:
        self.now = 0.0
        self.answered: list[Request] = []
        self.arrived: Counter = Counter()
        self.refused = 0
        self.errors: list[tuple[str, float, float]] = []
        self._policy = policy
        self._rng = random.Random(seed)
        self._events: list = []
        self._numbers = itertools.count()
        self._rate = load * sum(capacity() / pace for pace in paces)
        self.engines = [Engine(n, pace) for n, pace in enumerate(paces)]
        self.nodes = [Node(n, seed) for n in range(NODES)]
        self._snapshots: deque = deque()

    def schedule(self, delay_s: float, call: Callable, *args) -> None:
        """Schedule a call."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), call, args))

    def run(self) -> "Simulation":
        """Run all events of `DURATION_S`."""
        for node in self.nodes:
            self.schedule(self._rng.uniform(0, EXCHANGE_S), self._snapshot, node)
        self.schedule(HELD_CHECK_S, self._retry_held)
        self._add_arrival()
        while self._events and self._events[0][0] < DURATION_S:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self

    # Nodes

    def _add_arrival(self) -> None:
        rng = self._rng
        self.schedule(rng.expovariate(self._rate), self._add_arrival)
        kind = rng.choice(KINDS)
        prompt = min(20_000, log_normal(rng, kind.prompt_mean, kind.prompt_spread))
        answer = min(MAX_ANSWER_TOKENS, log_normal(rng, 115.0, kind.answer_spread))
        hint = min(MAX_ANSWER_TOKENS, max(1, round(answer * rng.lognormvariate(0, HINT_SPREAD))))
        account = min(ACCOUNTS, int(rng.paretovariate(0.7))) - 1
        node = rng.choice(self.nodes)
        request = Request(kind, account, prompt, answer, hint, node, self.now)
        request.forecast = node.lengths.predict(
            "s", kind.name, hint, MAX_ANSWER_TOKENS, ENGINE.mean_answer_tokens, self.now
        )
        if self.now >= WARMUP_S:
            self.arrived[account] += 1
        node.held.append(request)
        self._try_send(node, request)

    def _retry_held(self) -> None:
        self.schedule(HELD_CHECK_S, self._retry_held)
        for node in self.nodes:
            for request in list(node.held):
                self._try_send(node, request)

    def _try_send(self, node: Node, request: Request) -> None:
        group = self._policy(node, request, self.now)
        waited_s = self.now - request.arrived_at
        goal_s = request.kind.goal_s
        decision = decide_admission(
            0.0, group is not None, waited_s, goal_s, DEADLINE_S - waited_s, goal_s
        )
        if decision.action is AdmissionAction.HOLD:
            return
        node.held.remove(request)
        if decision.action is AdmissionAction.REFUSE or group is None:
            self.refused += request.arrived_at >= WARMUP_S
            return
        request.group, request.unread = group, request.prompt_tokens
        request.unwritten = request.forecast.mean
        node.load_tracker.record_sent(group, request.prompt_tokens, request.unwritten)
        engine = self.engines[group]
        engine.waiting.append(request)
        if not engine.is_stepping:
            self._begin_step(engine)

    def _snapshot(self, node: Node) -> None:
        """Take the load of all other nodes, which the node gets later."""
        self.schedule(EXCHANGE_S, self._snapshot, node)
        total = LoadTracker()
        for number, other in enumerate(self.nodes):
            if other is not node:
                total.set_peer_load(str(number), other.load_tracker.own_load_rows())
        rows = []
        for group in range(GROUPS):
            load = total.total_load(group)
            rows.append((group, load.in_flight, load.unread_tokens, load.unwritten_tokens))
        self.schedule(EXCHANGE_AGE_S, node.load_tracker.set_peer_load, "relays", rows)

    # Groups

    def _begin_step(self, engine: Engine) -> None:
        step_s, has_read = engine.step()
        engine.is_stepping = step_s > 0
        if engine.is_stepping:
            self.schedule(step_s, self._end_step, engine, has_read)

    def _end_step(self, engine: Engine, has_read: Request | None) -> None:
        ended = []
        for request in engine.decoding:
            request.written += 1
            if request.written >= request.answer_tokens:
                ended.append(request)
            if request.written % TOKENS_PER_EVENT == 0 or request.written == request.answer_tokens:
                self._on_event(engine, request)
        for request in ended:
            engine.decoding.remove(request)
            self._on_end(request)
        if has_read is not None:
            engine.decoding.append(has_read)
        self._begin_step(engine)

    def _on_event(self, engine: Engine, request: Request) -> None:
        tracker = request.node.load_tracker
        request.events += 1
        if request.first_at is None:
            request.first_at = self.now
            tracker.record_first_event(engine.number, request.prompt_tokens)
            if len(engine.waiting) > SLOTS:
                tracker.mark_full(engine.number, self.now + 0.15)
        else:
            running = tracker.total_load(engine.number).in_flight
            step_s = decode_step_s(ENGINE, MODEL, min(running, SLOTS))
            gap_s = self.now - request.last_at
            request.node.paces.record_gap(engine.number, HOSTED_MODEL, gap_s, step_s, self.now)
        request.last_at = self.now
        written = request.events * request.forecast.tokens_per_event
        unwritten = request.forecast.remaining(written)
        tracker.change_unwritten(engine.number, unwritten - request.unwritten)
        request.unwritten = unwritten

    def _on_end(self, request: Request) -> None:
        node = request.node
        node.load_tracker.record_end(request.group, request.unwritten)
        kind = request.kind
        node.lengths.record("s", kind.name, request.hint, request.events, self.now)
        if request.arrived_at >= WARMUP_S:
            self.answered.append(request)
            self._count_errors(request)

    def _count_errors(self, request: Request) -> None:
        """Compare the expected remaining tokens with the true ones, before each tenth event."""
        if not request.forecast.is_learned:
            return
        for written in range(0, request.answer_tokens, 10 * TOKENS_PER_EVENT):
            left = request.answer_tokens - written
            by_mean = max(TOKENS_PER_EVENT, ENGINE.mean_answer_tokens - written)
            predicted = request.forecast.remaining(written)
            row = (request.kind.name, abs(predicted - left), abs(by_mean - left))
            self.errors.append(row)


def capacity() -> float:
    """Return the requests per second that a group of pace 1 serves when it is full."""
    step_s = ENGINE.step_fixed_s + ENGINE.step_per_request_s * SLOTS
    prompt_s = fmean(kind.prompt_mean for kind in KINDS) / ENGINE.prefill_tokens_per_s
    return 1 / (115.0 * step_s / SLOTS + prompt_s)


def log_normal(rng: random.Random, mean: float, spread: float) -> int:
    """Return a whole log-normal number, at least 1."""
    return max(1, round(rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)))


@dataclass(frozen=True)
class Result:
    """Results of a policy, as means over the seeds.

    Attributes
    ----------
    p50, p95, p99 : float
        Percentiles of the time to the first event, in seconds, of the requests answered.
    goodput : float
        Answers per second whose first event came within the goal of their kind.
    worst_account : float
        Least share of such answers among the accounts with at least 20 requests.
    refused_per_s : float
        Requests refused per second.
    """

    p50: float
    p95: float
    p99: float
    goodput: float
    worst_account: float
    refused_per_s: float


def measure_run(simulation: Simulation) -> Result:
    """Return the results of one run."""
    waits = [request.first_at - request.arrived_at for request in simulation.answered]
    percentiles = quantiles(waits, n=100)
    in_time = Counter(
        request.account
        for request in simulation.answered
        if request.first_at - request.arrived_at <= request.kind.goal_s
    )
    worst = min(in_time[name] / n for name, n in simulation.arrived.items() if n >= 20)
    measured_s = DURATION_S - WARMUP_S
    return Result(
        *(percentiles[p - 1] for p in (50, 95, 99)),
        in_time.total() / measured_s,
        worst,
        simulation.refused / measured_s,
    )


def measure(policy: Policy, paces: tuple[float, ...], load: float) -> Result:
    """Simulate a policy with all seeds."""
    runs = [measure_run(Simulation(policy, paces, load, seed).run()) for seed in SEEDS]
    return Result(*(fmean(column) for column in zip(*map(astuple, runs), strict=True)))


def print_table(name: str, results: dict[tuple[str, float], Result]) -> None:
    """Print a table with a row for each load and policy."""
    print(f"\n{name} groups\n")
    print(
        "| load | policy | first event p50 s | p95 s | p99 s | goodput /s | worst account "
        "| refused /s |\n|---|---|---|---|---|---|---|---|"
    )
    for (policy, load), row in results.items():
        print(
            f"| {load:.1f} | {policy} | {row.p50:.3f} | {row.p95:.3f} | {row.p99:.3f} "
            f"| {row.goodput:.1f} | {row.worst_account:.2f} | {row.refused_per_s:.1f} |"
        )


def print_errors() -> None:
    """Print the mean error of the expected remaining tokens, by kind."""
    errors = [row for seed in SEEDS for row in Simulation(by_cost, EVEN, 0.8, seed).run().errors]
    print("\n| kind | error of the prediction | error of the mean |\n|---|---|---|")
    for kind in KINDS:
        rows = [row for row in errors if row[0] == kind.name]
        predicted, by_mean = (fmean(row[column] for row in rows) for column in (1, 2))
        print(f"| {kind.name} | {predicted:.1f} | {by_mean:.1f} |")


def plot(path: str, results: dict[str, dict[tuple[str, float], Result]]) -> None:
    """Draw the p95 of the time to the first event, and goodput, over the load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 2, figsize=(11, 8), sharex=True)
    for column, (name, rows) in enumerate(results.items()):
        for policy in POLICIES:
            points = [rows[policy, load] for load in LOADS]
            axes[0][column].plot(LOADS, [row.p95 for row in points], marker="o", label=policy)
            axes[1][column].plot(LOADS, [row.goodput for row in points], marker="o", label=policy)
        axes[0][column].set_title(f"{name} groups")
        axes[0][column].set_yscale("log")
        axes[1][column].set_xlabel("arrivals / capacity")
    axes[0][0].set_ylabel("first event p95, s")
    axes[1][0].set_ylabel("goodput, answers/s in time")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Print the tables; with `--plot FILE` also draw the plot."""
    columns = [(policy, load) for load in LOADS for policy in POLICIES]
    policies = [POLICIES[policy] for policy, _ in columns]
    loads = [load for _, load in columns]
    results = {}
    with ProcessPoolExecutor(WORKERS) as pool:
        for name, paces in (("Even", EVEN), ("Uneven", UNEVEN)):
            rows = pool.map(measure, policies, [paces] * len(columns), loads)
            results[name] = dict(zip(columns, rows, strict=True))
    for name, rows in results.items():
        print_table(name, rows)
    print_errors()
    if "--plot" in sys.argv:
        plot(sys.argv[sys.argv.index("--plot") + 1], results)


if __name__ == "__main__":
    main()
