"""Load generator: many nodes that decide with outdated loads, and groups that run the requests.

A group runs as many requests as it has slots; those beyond wait there, the most urgent first.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, replace

from briarpond.dispatch import (
    PRESSURE_HOLD_FRACTION,
    AdmissionAction,
    AdmittedShare,
    LoadTracker,
    RequestSize,
    decide_admission,
    decide_pressure,
    expected_first_event_s,
    model_load,
    prefill_s,
    slot_occupancy_s,
    spread_retry_after_s,
)

NODES, GROUPS, ACCOUNTS = 84, 20, 24
# A node hears the loads of the others at this interval, when they are this old already.
REPORT_INTERVAL_S, REPORT_LAG_S = 0.6, 0.2
HELD_CHECK_S, DEADLINE_S, IMPATIENT_RETRY_S = 0.01, 8.0, 0.05
GOALS_S = {0: 0.253, 1: 0.4, 2: 0.91}
PRIORITIES = tuple(GOALS_S)


@dataclass(eq=False)
class Try:
    """One try of a request; later ones have the key and the start of the first."""

    priority: int
    account: int
    size: RequestSize
    key: int
    began_at: float
    at: float
    impatient: bool
    number: int = 1
    first_event_s: float | None = None
    refused_s: float | None = None
    retry_after_s: float = 0.0

    @property
    def is_served(self):
        return self.first_event_s is not None

    @property
    def is_in_time(self):
        return self.is_served and self.first_event_s <= GOALS_S[self.priority]


class Node:
    """What one node knows."""

    def __init__(self):
        self.tracker, self.admitted = LoadTracker(), AdmittedShare()


class Group:
    """Requests that run and wait at one group."""

    def __init__(self):
        self.running, self.waiting, self.read_until = 0, [], 0.0


class Load:
    """Runs callers, nodes and groups of one model in virtual time.

    `rate` returns the requests that begin in a second, as a multiple of the groups' capacity, at
    a time. Of the callers a part, `impatient`, repeats refused requests at once and often; the
    others come back once, after the Retry-After. Nodes without `priorities` decide as today.
    """

    def __init__(self, engine, spec, rate, priorities=PRIORITIES, impatient=0.0, seed=1):
        self.engine, self.spec, self.priorities = engine, spec, priorities
        self.tries: list[Try] = []
        # Of their own, so that runs that decide differently have the same callers.
        self._arrivals, self.rng = random.Random(seed), random.Random(seed)
        self.now = 0.0
        self._rate, self._impatient = rate, impatient
        self._sizes = engine.mean_prompt_tokens, engine.mean_answer_tokens
        mean_slot_s = slot_occupancy_s(engine, spec, RequestSize(*map(int, self._sizes)))
        self._capacity_per_s = GROUPS * engine.slots / mean_slot_s
        self._nodes = [Node() for _ in range(NODES)]
        self._groups = [Group() for _ in range(GROUPS)]
        self._events: list = []
        self._order = itertools.count()

    def run(self, duration_s):
        """Return all tries of the requests that begin within a time."""
        for n, node in enumerate(self._nodes):
            self._after(n * REPORT_INTERVAL_S / NODES, self._report, node)
        self._begin_next(duration_s)
        while self._events and self.now < duration_s + DEADLINE_S:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self.tries

    def _after(self, delay_s, call, *args):
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), call, args))

    # Callers

    def _begin_next(self, until):
        rng, now = self._arrivals, self.now
        # Sizes spread by 0.8 around their mean; the largest account has half of the requests.
        size = RequestSize(*(int(mean * rng.lognormvariate(-0.32, 0.8)) for mean in self._sizes))
        account = min(int(rng.paretovariate(1.0)), ACCOUNTS) - 1
        impatient = rng.random() < self._impatient
        key = rng.getrandbits(32)
        self._try(Try(rng.choice(PRIORITIES), account, size, key, now, now, impatient))
        pause_s = rng.expovariate(self._rate(now) * self._capacity_per_s)
        if now + pause_s < until:
            self._after(pause_s, self._begin_next, until)

    def _try(self, request):
        self.tries.append(request)
        node = self.rng.choice(self._nodes)
        node.admitted.record_request(request.key, request.priority)
        self._decide(node, request)

    def _refuse(self, request, retry_after_s):
        request.refused_s, request.retry_after_s = self.now - request.at, retry_after_s
        wait_s = IMPATIENT_RETRY_S if request.impatient else retry_after_s
        remaining_s = request.began_at + DEADLINE_S - self.now
        if wait_s <= remaining_s / 3 and (request.impatient or request.number == 1):
            at, number = self.now + wait_s, request.number + 1
            again = replace(request, at=at, number=number, refused_s=None, retry_after_s=0.0)
            self._after(wait_s, self._try, again)

    # Nodes

    def _report(self, node):
        rows: dict[int, list[int]] = {}
        for other in self._nodes:
            for head, count, tokens, _ in (
                other.tracker.own_load_rows() if other is not node else ()
            ):
                total = rows.setdefault(head, [head, 0, 0])
                total[1] += count
                total[2] += tokens
        self._after(REPORT_LAG_S, self._on_report, node, list(rows.values()))
        self._after(REPORT_INTERVAL_S, self._report, node)

    def _on_report(self, node, rows):
        node.tracker.set_peer_load("relays", rows)
        node.admitted.measure(self._load_at(node), self.now)

    def _load_at(self, node):
        counts = [node.tracker.total_load(head).in_flight for head in range(GROUPS)]
        return model_load(self.engine, self.spec, counts)

    def _choose(self, node, size):
        """Return the best of four groups with room, the expected time there, and if it has room."""
        loads = [node.tracker.total_load(head) for head in range(GROUPS)]
        free = [head for head in range(GROUPS) if loads[head].in_flight < self.engine.slots]

        def expected_s(head):
            load = loads[head]
            counts = load.in_flight, load.unread_tokens
            return expected_first_event_s(self.engine, self.spec, size, *counts)

        compared = self.rng.sample(free, min(4, len(free))) or range(GROUPS)
        best = min(compared, key=expected_s)
        return best, expected_s(best), bool(free)

    def _decide(self, node, request):
        now, goal_s = self.now, GOALS_S[request.priority]
        remaining_s = request.began_at + DEADLINE_S - now
        best, expected_s, has_room = self._choose(node, request.size)
        load, share, hold = self._load_at(node), node.admitted.share, {}
        if self.priorities and load.is_under_pressure:
            hold = {"hold_fraction": PRESSURE_HOLD_FRACTION} if share < 1 else {}
            position = node.admitted.position(request.key, request.priority, self.priorities, now)
            queue_s = expected_s - prefill_s(self.engine, self.spec, request.size.prompt_tokens)
            if node.admitted.came_back_early(request.key, now):
                position = 1.0
            if decide_pressure(load, share, position, queue_s, goal_s) is not None:
                spread = spread_retry_after_s(load, share, goal_s, remaining_s, self.rng)
                node.admitted.record_refusal(request.key, now, spread)
                self._refuse(request, spread)
                return
        waited_s = now - request.at
        decision = decide_admission(
            expected_s, has_room, waited_s, goal_s, remaining_s, goal_s, **hold
        )
        if decision.action is AdmissionAction.SEND:
            node.tracker.record_sent(best, request.size.prompt_tokens)
            priority = request.priority if self.priorities else 0
            waiting = (priority, next(self._order), node, request)
            heapq.heappush(self._groups[best].waiting, waiting)
            self._start_next(best)
        elif decision.action is AdmissionAction.HOLD:
            self._after(HELD_CHECK_S, self._decide, node, request)
        else:
            self._refuse(request, decision.retry_after_s)

    # Groups

    def _start_next(self, head):
        group, now = self._groups[head], self.now
        while group.waiting and group.running < self.engine.slots:
            _, _, node, request = heapq.heappop(group.waiting)
            group.running += 1
            read_s = prefill_s(self.engine, self.spec, request.size.prompt_tokens)
            group.read_until = max(now, group.read_until) + read_s
            nothing = RequestSize(0, 0)
            step_s = expected_first_event_s(self.engine, self.spec, nothing, group.running - 1, 0)
            event_s = group.read_until - now + step_s
            slot_s = slot_occupancy_s(self.engine, self.spec, request.size)
            self._after(event_s, self._on_first_event, node, head, request)
            self._after(max(slot_s, event_s), self._on_end, node, head)

    def _on_first_event(self, node, head, request):
        request.first_event_s = self.now - request.at
        node.tracker.record_first_event(head, request.size.prompt_tokens)

    def _on_end(self, node, head):
        self._groups[head].running -= 1
        node.tracker.record_end(head)
        self._start_next(head)
