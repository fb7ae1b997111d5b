"""Test bench: several nodes in virtual time, and the rule on repeats of all of them together.

Nodes are killed and started again, and do not see each other for a while. Servers lose
connections or are full in spans of time, so that the nodes want more repeats than they may send.
"""

import random
from bisect import bisect_left, bisect_right

from briarpond.dispatch import BudgetNodes
from briarpond.net import HttpRequest, LossReason

from .silent_servers import NOT_EXECUTED, begin_answer, encode_event
from .world import Gateway, NullExchange, RecordedReply, VirtualClock

HEADS = [f"h{number}" for number in range(30)]
REQUESTS_PER_S = 8.0
# How long a stream lasts, and the time between its events.
STREAM_S = 5.0
EVENT_INTERVAL_S = 0.3
ANSWER_DELAY_S = 0.05
HOUSEKEEPING_S = 1.0


class RepeatingNodes:
    """Nodes with common servers, and their callers.

    Parameters
    ----------
    folder : Path
        Place for settings files.
    names : list of str
        Names of the nodes.
    seed : int
        Seed of the moments at which requests come.

    Attributes
    ----------
    requested_at, repeated_at : list of float
        Times of the requests, and of the arrivals beyond the first of each.
    failures : list of tuple
        Begin, end and kind of spans in which sends fail: `lost` or `full`.
    views : dict
        Names of the nodes that a node sees, where that is not all that run.
    """

    def __init__(self, folder, names, seed):
        self.clock = VirtualClock()
        self.requested_at = []
        self.repeated_at = []
        self.failures = []
        self.views = {}
        self.nodes = {}
        self._folder = folder
        self._rng = random.Random(seed)
        self._request_count = 0
        self._arrived = set()
        self._streams = []
        self._names = names
        for name in names:
            self.start(name)
            self._send_requests(name)
        self.clock.every(HOUSEKEEPING_S, self._update_views)

    @property
    def limits(self):
        """Bounds of the rule."""
        return next(iter(self.nodes.values())).state.settings.bounds

    def start(self, name):
        """Start the process of a node, which sees the others at once unless `views` says else."""
        gateway = Gateway(self._folder, HEADS, self.clock, is_new=True)
        gateway.state.budget_nodes = BudgetNodes(name, self.clock.now(), expects_others=True)
        gateway.state.rng.seed(self._rng.random())
        gateway.client.start = lambda call: self._receive(name, gateway, call)
        gateway.ingress.start()
        self.nodes[name] = gateway
        self._update_view(name)

    def kill(self, name):
        """End the process of a node at once."""
        del self.nodes[name]

    def lose_streams(self, full_s):
        """Lose all connections, while no server has room for a time."""
        until = self.clock.now() + full_s
        for gateway in self.nodes.values():
            for head in HEADS:
                gateway.state.load_tracker.mark_full(head, until)
        streams, self._streams = self._streams, []
        for gateway, call in streams:
            if gateway in self.nodes.values():
                call.on_lost(LossReason.CONNECTION_LOST)

    def excess(self):
        """Return by how much the worst window has more repeats than the rule allows."""
        bounds = self.limits
        window_s = bounds.retry_window_s
        return max(
            (
                self._count(self.repeated_at, begin, window_s)
                - bounds.retry_slack
                - bounds.retry_ratio
                * max(
                    self._count(self.requested_at, begin - back * window_s, window_s)
                    for back in (0.0, 0.5, 1.0)
                )
                for begin in self.repeated_at
            ),
            default=0.0,
        )

    @staticmethod
    def _count(times, begin, length):
        return bisect_right(times, begin + length) - bisect_left(times, begin)

    def _update_views(self):
        for name in self.nodes:
            self._update_view(name)

    def _update_view(self, name):
        nodes = frozenset({name, *self.views.get(name, self.nodes)})
        self.nodes[name].state.update_nodes(nodes, self.clock.now())

    def _send_requests(self, name):
        self.clock.after(self._rng.expovariate(REQUESTS_PER_S), lambda: self._send_requests(name))
        self._request_count += 1
        now = self.clock.now()
        self.requested_at.append(now)
        gateway = self.nodes.get(name)
        if gateway is None:
            return
        headers = (
            ("host", "shop.example"),
            ("authorization", "Bearer key-a"),
            ("x-briarpond-request-id", f"r{self._request_count}"),
            ("x-briarpond-deadline-ms", "8000"),
            ("x-briarpond-model", "big"),
            ("x-briarpond-token-usage", "979,154"),
        )
        request = HttpRequest("POST", "/plan/x", headers, b"body", now)
        gateway.ingress.handle(request, RecordedReply())

    def _receive(self, name, gateway, call):
        if self.nodes.get(name) is not gateway:
            return NullExchange()
        call.on_sent()
        now = self.clock.now()
        request = next(value for key, value in call.headers if key == "x-briarpond-request-id")
        if request in self._arrived:
            self.repeated_at.append(now)
        self._arrived.add(request)
        sent = ServerSend(self, gateway, call)
        kind = next((kind for begin, end, kind in self.failures if begin <= now < end), "sound")
        self.clock.after(ANSWER_DELAY_S, lambda: sent.answer(kind))
        return sent


class ServerSend:
    """A send that a server has received, and what the server does with it."""

    def __init__(self, system, gateway, call):
        self._system = system
        self._gateway = gateway
        self.call = call
        self._cancelled = False
        self._events = 0

    def cancel(self):
        self._cancelled = True

    def answer_head(self, status=200, *headers):
        self.call.on_head(status, tuple(headers))

    def answer(self, kind):
        if self._is_over():
            return
        if kind == "lost":
            self.call.on_lost(LossReason.CONNECTION_LOST)
        elif kind == "full":
            self.answer_head(503, NOT_EXECUTED)
        else:
            begin_answer(self)
            self._system._streams.append((self._gateway, self.call))
            self._write()

    def _write(self):
        if self._is_over() or (self._gateway, self.call) not in self._system._streams:
            return
        self.call.on_body(encode_event(self._events))
        self._events += 1
        if self._events * EVENT_INTERVAL_S < STREAM_S:
            self._system.clock.after(EVENT_INTERVAL_S, self._write)
            return
        self._system._streams.remove((self._gateway, self.call))
        self.call.on_end()

    def _is_over(self):
        return self._cancelled or self._gateway not in self._system.nodes.values()
