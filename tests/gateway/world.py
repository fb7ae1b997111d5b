"""Test bench: the ingress of one gateway with scripted backend servers and virtual time."""

import heapq
import itertools
from pathlib import Path
from types import SimpleNamespace

from briarpond.directory import GroupTarget, Plan, RoutingTargets
from briarpond.dispatch import BudgetNodes
from briarpond.fleet import InstanceState
from briarpond.gateway._ingress import Ingress
from briarpond.gateway._state import NodeState
from briarpond.net import Address, HttpRequest, LossReason
from briarpond.platform import decode_configuration, decode_instance, load_gateway_settings
from briarpond.routes import RouteTable

from ..platform_samples import CONFIG, SETTINGS, config_bytes, server_bytes

# Longer than the window of the retry budget.
RUNS_FOR_S = 30.0
STAMP_HEADER = ("x-briarpond-server-stamp", "s.1")


class VirtualClock:
    """Stands in for `briarpond.net.Clock`; time passes only in `advance`."""

    def __init__(self) -> None:
        self.time = 100.0
        self._heap: list = []
        self._order = itertools.count()

    def now(self) -> float:
        return self.time

    def after(self, delay, call):
        heapq.heappush(self._heap, (self.time + delay, next(self._order), call))

    def every(self, interval, call):
        def run():
            self.after(interval, run)
            call()

        self.after(0.0, run)

    def advance(self, seconds):
        end = self.time + seconds
        while self._heap and self._heap[0][0] <= end:
            self.time, _, call = heapq.heappop(self._heap)
            call()
        self.time = end


class ReceivedSend:
    """A send that a backend server has received and that the test answers."""

    def __init__(self, call) -> None:
        self.call = call
        self.cancelled = False
        call.on_sent()

    def cancel(self) -> None:
        self.cancelled = True

    def header(self, name):
        return next((value for each, value in self.call.headers if each == name), None)

    def answer_head(self, status=200, *headers):
        self.call.on_head(status, tuple(headers))

    def answer_whole(self, status=200, body=b"ok", *headers):
        self.answer_head(status, *headers)
        self.call.on_body(body)
        self.call.on_end()


class ScriptedClient:
    """Stands in for `HttpClient` and records the sends.

    Connections to addresses in `refusing` fail; to those in `idle` one is kept.
    """

    def __init__(self, clock) -> None:
        self.clock = clock
        self.sent: list[ReceivedSend] = []
        self.refusing: set[Address] = set()
        self.idle: set[Address] = set()

    def start(self, call):
        if call.address in self.refusing:
            self.clock.after(0.0, lambda: call.on_lost(LossReason.CONNECT_FAILED))
            return NullExchange()
        sent = ReceivedSend(call)
        self.sent.append(sent)
        return sent

    def has_idle(self, address):
        return address in self.idle

    def fetch(self, *_call):
        """Accept an order or a probe, which is never answered."""
        return NullExchange()


class NullExchange:
    """Call that is never answered."""

    def cancel(self) -> None:
        pass


class RecordedReply:
    """Stands in for `HttpReply` and records the answer to the caller."""

    def __init__(self) -> None:
        self.status = None
        self.headers = ()
        self.body = b""
        self.ended = False
        self.aborted = False
        self.on_disconnect = None

    def send_whole(self, status, headers, body):
        assert not self.ended
        self.status, self.headers, self.body, self.ended = status, headers, body, True

    def start(self, status, headers):
        self.status, self.headers = status, headers

    def write(self, data):
        self.body += data

    def end(self):
        assert not self.ended
        self.ended = True

    def abort(self):
        self.ended = self.aborted = True

    def header(self, name):
        return next((value for each, value in self.headers if each.lower() == name), None)


def make_instance(name):
    return decode_instance(name, server_bytes()).ok


def held_lease(now):
    """Return a lease of the planner that is held since `now` and never ends."""
    return SimpleNamespace(
        term=7,
        held_since=now,
        ttl_s=1.5,
        follows_forgotten_lease=False,
        refresh_term=lambda: None,
        holds=lambda now: True,
        expired_while_held=lambda now: False,
    )


def known_nodes(own, now):
    """Return the nodes as one knows them that has run alone for longer than a window."""
    started_at = now - RUNS_FOR_S
    nodes = BudgetNodes(own, started_at, expects_others=False)
    nodes.update([own], started_at)
    return nodes


class Gateway:
    """The ingress of a node with three plain servers and one group for each of `heads`.

    All groups serve the model `big`; the plain servers belong to the service `desk`. Its process
    has run for `RUNS_FOR_S` seconds, unless it is new.
    """

    def __init__(
        self,
        tmp_path: Path,
        heads=("h1", "h2", "h3"),
        clock=None,
        settings=SETTINGS,
        is_new: bool = False,
    ) -> None:
        path = tmp_path / "node.yaml"
        path.write_text(settings)
        self.clock = VirtualClock() if clock is None else clock
        self.client = ScriptedClient(self.clock)
        self.state = NodeState(load_gateway_settings(path).ok, self.clock, self.client)
        if not is_new:
            self.state.budget_nodes = known_nodes(self.state.settings.node, self.clock.now())
        stream_route, *other_routes = CONFIG["routes"]
        routes = [{**stream_route, "split": [], "service": "pool"}, *other_routes]
        self.state.route_table = RouteTable(decode_configuration(config_bytes(routes=routes)).ok)
        self.state.rng.seed(1)
        self.config_age_s = 0.1
        self.reported_stalled: list = []
        self.ingress = Ingress(
            self.state, lambda now: self.config_age_s, self.reported_stalled.append
        )
        for n in range(3):
            entry = server_bytes(service="desk", addr=f"10.9.0.{n + 1}:80", slots=6, group=None)
            self.state.fleet.put(decode_instance(f"p{n}", entry).ok, self.clock.now())
        assert all(
            instance.state is InstanceState.READY for instance in self.state.fleet.all_instances()
        )
        self.publish_plan(heads)

    def publish_plan(self, heads, list_is_current: bool = False) -> None:
        """Put a plan with one group for each of `heads` into force."""
        group_targets = tuple(
            GroupTarget(
                f"g-{head}", 1, "big", head, Address("10.8.0.1", 80 + n), service="pool", size=4
            )
            for n, head in enumerate(heads)
        )
        sequence = 1 if self.state.plan is None else self.state.plan.sequence + 1
        plan = Plan(1, sequence, list_is_current, RoutingTargets(group_targets, ()))
        self.state.accept_plan(plan, self.clock.now())

    def send_request(self, target, method="POST", key="key-a", deadline_ms=8000, **headers):
        """Send a request with further `headers`, given with underscores; return its reply."""
        pairs = [
            ("host", "shop.example"),
            ("x-briarpond-request-id", f"r{len(self.client.sent)}"),
            ("x-briarpond-deadline-ms", str(deadline_ms)),
        ]
        if key is not None:
            pairs.append(("authorization", f"Bearer {key}"))
        pairs += [(name.replace("_", "-"), value) for name, value in headers.items()]
        reply = RecordedReply()
        request = HttpRequest(method, target, tuple(pairs), b"body", self.clock.now())
        self.ingress.handle(request, reply)
        return reply

    def send_stream_request(self, **headers):
        """Send a request for a stream of the model `big`; return its reply."""
        model = {"x_briarpond_model": "big", "x_briarpond_token_usage": "979,154"}
        return self.send_request("/plan/x", **model, **headers)
