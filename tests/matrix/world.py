"""Simulated network, platform, backend servers and callers around real nodes, in virtual time.

The nodes under test are the daemon's real `Assembly` objects; only their clock, HTTP client
and peer calls are replaced by the fakes of this module. Each message that a fake delivers and
each act that it carries out passes `World.reach_step` with a label. Tests register faults
under these labels, so that a fault occurs at a chosen point of the protocol.
"""

import heapq
import io
import itertools
import json
import random
from collections import defaultdict
from dataclasses import dataclass, field

import msgspec
from circuits.web.headers import Headers

from briarpond.conf import Settings
from briarpond.daemon._assembly import Assembly
from briarpond.net import CallState, HttpCall, Timer
from briarpond.peers import decode_frame, encode_frame
from briarpond.ports import (
    EngineLoad,
    EngineState,
    InstanceList,
    ListedInstance,
    ListedState,
    LoadOrder,
    OrderAnswer,
    StatusReport,
)
from briarpond.requests import LossReason
from tests.standins.deployment import CALLER_KEY, PEER_SECRET, sha256

MAX_DELAY_S = 0.008  # longest transit time of a message in one direction

# Names of the log and of the instance list as ends of a network link (see `World.is_reachable`).
LOG_NAME = "log"
LIST_NAME = "list"


@dataclass
class Event:
    """One entry of the history that the checker reads; `time_s` is virtual time."""

    time_s: float
    kind: str
    fields: dict


class World:
    """The virtual clock, the network with everything connected to it, and the history.

    Parameters
    ----------
    seed : int
        Seed of all random choices, message delays among them.
    fencing : bool
        Whether the engines reject orders of an older and requests of another generation.
    """

    def __init__(self, seed: int, fencing: bool = True) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.history: list[Event] = []
        self.faults_by_step: dict[str, list] = defaultdict(list)
        self.step_counts: dict[str, int] = defaultdict(int)
        self.blocked: set[tuple[str, str]] = set()
        self.log = FakeLog(self)
        self.fencing = fencing
        self.engines: dict[str, FakeEngine] = {}
        self.services: dict[str, FakeService] = {}
        self.rows: dict[str, ListedInstance] = {}
        self.nodes: dict[str, FakeNode] = {}
        self.endpoints: dict[str, object] = {}
        self._scheduled: list = []
        self._sequence = itertools.count()

    def call_at(self, time_s: float, callback) -> None:
        """Schedule a callback; callbacks of the same time run in the order of scheduling."""
        heapq.heappush(self._scheduled, (time_s, next(self._sequence), callback))

    def call_later(self, delay_s: float, callback) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now + delay_s, callback)

    def run_until(self, end_s: float) -> None:
        """Run all callbacks due up to `end_s`, in order of time."""
        while self._scheduled and self._scheduled[0][0] <= end_s:
            self.now, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now = end_s

    def record_event(self, kind: str, /, **fields) -> None:
        """Append an event with the present time to the history."""
        self.history.append(Event(self.now, kind, fields))

    def reach_step(self, label: str) -> None:
        """Inject the faults registered for a step, once each; called just before its effect."""
        self.step_counts[label] += 1
        for fault in self.faults_by_step.pop(label, []):
            self.record_event("fault_injected", label=label)
            fault()

    def random_delay_s(self) -> float:
        """Return a random transit time of a message in one direction, in seconds."""
        return self.rng.uniform(0.001, MAX_DELAY_S)

    def is_reachable(self, source: str, target: str) -> bool:
        """Return whether messages from `source` reach `target`.

        Each direction can be blocked by itself; `"*"` in `blocked` stands for every peer.
        """
        return not {(source, target), (source, "*"), ("*", target)} & self.blocked

    def block_links(self, links, duration_s: float) -> None:
        """Block `links`, pairs of source and target, for a time.

        Links that another fault already blocks stay blocked until that fault ends.
        """
        newly_blocked = set(links) - self.blocked
        self.blocked |= newly_blocked

        def unblock() -> None:
            self.blocked -= newly_blocked

        self.call_later(duration_s, unblock)


class NodeClock:
    """Virtual clock of one node, with the interface of `briarpond.net.Clock`.

    Timers that are due while the node is paused run when it resumes; those of a node that
    has crashed or stopped never run.
    """

    def __init__(self, world: World, node) -> None:
        self._world = world
        self._node = node

    def now(self) -> float:
        return self._world.now

    def after(self, delay_s: float, callback) -> Timer:
        timer = Timer(callback)

        def run() -> None:
            if timer.callback is not None:
                timer.callback()

        self._world.call_later(delay_s, self._node.bind_callback(run))
        return timer

    def every(self, interval_s: float, callback) -> None:
        def run() -> None:
            self.after(interval_s, run)
            callback()

        self.after(0.0, run)


class FakeConnection:
    """One HTTP exchange between a node and a fake server.

    The node's side is the interface of the exchange objects in `briarpond.net`: `state`,
    `cancel`, `pause` and `resume`. The other methods are for the fake servers.
    """

    def __init__(self, node: "FakeNode", call: HttpCall, label: str) -> None:
        self.state = CallState.CONNECTING
        self.node = node
        self.call = call
        self.label = label
        self.world = node.world
        self.target = str(call.address)
        self.broken = False

    def cancel(self) -> None:
        self.state = CallState.ENDED

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass

    @property
    def closed_by_node(self) -> bool:
        """Whether the node has closed the connection or its process has ended."""
        return self.state is CallState.ENDED or self.node.is_down(self)

    def connect(self) -> None:
        world = self.world
        owner = world.endpoints.get(self.target)
        name = getattr(owner, "name", self.target)
        reachable = (
            owner is not None
            and owner.up
            and world.is_reachable(self.node.name, name)
            and world.is_reachable(name, self.node.name)
        )
        if not reachable:
            self._schedule_at_node(
                self.call.connect_timeout_s, lambda: self.fail(LossReason.CONNECT_FAILED)
            )
            return
        self._schedule_at_node(2 * world.random_delay_s(), lambda: self._connected(owner, name))

    def _connected(self, owner, name: str) -> None:
        if self.state is CallState.ENDED:
            return
        self.state = CallState.SENT
        if self.call.on_sent is not None:
            self.call.on_sent()
        if not self.world.is_reachable(self.node.name, name):
            return

        def arrive() -> None:
            self.world.reach_step(self.label)
            owner.handle(self)

        self.world.call_later(self.world.random_delay_s(), arrive)

    def answer(self, status: int, body: bytes, headers=(), label: str = "") -> None:
        """Send a whole answer from the server; its end reaches the step `label`."""
        self.head(status, headers)
        self.body(body)
        self.end(label)

    def head(self, status: int, headers=()) -> None:
        self._deliver(lambda: self.call.on_head(status, tuple(headers)), "")

    def body(self, data: bytes, label: str = "") -> None:
        self._deliver(lambda: self.call.on_body(data), label)

    def end(self, label: str = "") -> None:
        def finish() -> None:
            self.state = CallState.ENDED
            self.call.on_end()

        self._deliver(finish, label)

    def close_by_server(self) -> None:
        """Close the connection before the answer is complete."""
        self._deliver(lambda: self.fail(LossReason.CONNECTION_LOST), "")

    def fail(self, reason: LossReason) -> None:
        if self.state is not CallState.ENDED:
            self.state = CallState.ENDED
            self.call.on_lost(reason)

    def _deliver(self, action, label: str) -> None:
        # Deliveries on one connection keep their order. When the network drops one, all later
        # ones are dropped as well: TCP never delivers data behind a gap.
        owner = self.world.endpoints.get(self.target)
        if self.broken or not self.world.is_reachable(
            getattr(owner, "name", self.target), self.node.name
        ):
            self.broken = True
            return
        self._last_delivery_at = max(
            getattr(self, "_last_delivery_at", 0.0), self.world.now + self.world.random_delay_s()
        )

        def arrive() -> None:
            if label:
                self.world.reach_step(label)
            if self.state is not CallState.ENDED:
                action()

        self._schedule_at_node(self._last_delivery_at - self.world.now, arrive)

    def _schedule_at_node(self, delay_s: float, action) -> None:
        self.world.call_later(delay_s, self.node.bind_callback(action))


class FakeClient:
    """HTTP client of one node on the simulated network, with the interface of the real one."""

    def __init__(self, node: "FakeNode") -> None:
        self._node = node

    def start(self, call: HttpCall) -> FakeConnection:
        conn = FakeConnection(self._node, call, _step_label(call))
        conn.connect()
        return conn

    def fetch(self, address, method, target, headers, body, timeout_s, done, lost):
        collected = bytearray()
        status = [0]
        call = HttpCall(
            address,
            method,
            target,
            headers,
            body,
            lambda code, _headers: status.__setitem__(0, code),
            collected.extend,
            lambda: done(status[0], bytes(collected)),
            lost,
            connect_timeout_s=timeout_s,
        )
        conn = self.start(call)

        def timeout() -> None:
            if conn.state is not CallState.ENDED:
                conn.cancel()
                lost(LossReason.TIMEOUT)

        self._node.world.call_later(timeout_s, self._node.bind_callback(timeout))
        return conn


def _step_label(call: HttpCall) -> str:
    """Return the label of the step that is reached when the call arrives at its server.

    An append to the log is labelled by the type of its first record.
    """
    path = call.target.partition("?")[0]
    if path == "/v1/log" and call.method == "POST":
        value = json.loads(json.loads(call.body)["value"])
        return "append:" + value["records"][0]["type"]
    labels = {
        "/v1/log": "log-read",
        "/v1/instances": "instance-list",
        "/v1/engine/status": "status-query",
        "/v1/engine/orders": "load-order",
        "/v1/chat/completions": "dispatch",
    }
    return labels.get(path, "service-call")


class FakeLog:
    """The platform's append-only log.

    Faults are set on its attributes: `up` (no call is answered while it is false), `delay_s`
    (delay before each call takes effect) and `lose_answers` (number of next appends that
    take effect but whose answer is lost). `retention` is the number of entries that it keeps.
    """

    name = LOG_NAME

    def __init__(self, world: World) -> None:
        self.world = world
        self.up = True
        self.delay_s = 0.0
        self.lose_answers = 0
        self.entries: list[str] = []
        self.oldest = 0
        self.retention = 1_000_000

    def handle(self, conn: FakeConnection) -> None:
        self.world.call_later(self.delay_s, lambda: self._handle(conn))

    def _handle(self, conn: FakeConnection) -> None:
        if not self.up:
            return
        if conn.call.method == "POST":
            self.entries.append(json.loads(conn.call.body)["value"])
            surplus = len(self.entries) - self.retention
            if surplus > 0:
                del self.entries[:surplus]
                self.oldest += surplus
            if self.lose_answers > 0:
                self.lose_answers -= 1
                conn.close_by_server()
                return
            label = conn.label.replace("append", "appended")
            offset = self.oldest + len(self.entries) - 1
            conn.answer(200, json.dumps({"offset": offset}).encode(), label=label)
            return
        start = max(self.oldest, int(conn.call.target.partition("from=")[2].partition("&")[0]))
        rows = [
            {"offset": start + index, "value": value}
            for index, value in enumerate(self.entries[start - self.oldest :][:512])
        ]
        following = self.oldest + len(self.entries)
        page = {"oldest": self.oldest, "following": following, "entries": rows}
        conn.answer(200, json.dumps(page).encode(), label="log-page" if rows else "")


class FakeList:
    """The platform's instance list; `visible` holds the rows that it shows now."""

    name = LIST_NAME
    up = True

    def __init__(self, world: World) -> None:
        self.world = world
        self.visible: dict[str, ListedInstance] = {}

    def handle(self, conn: FakeConnection) -> None:
        rows = InstanceList(tuple(self.visible.values()))
        conn.answer(200, msgspec.json.encode(rows))

    def mark_leaving(self, instance: str, lag_s: float) -> None:
        """Mark an instance as leaving; the list shows it after `lag_s`."""

        def update() -> None:
            row = self.visible[instance]
            self.visible[instance] = msgspec.structs.replace(row, state=ListedState.LEAVING)
            self.world.record_event("listed_as_leaving", instance=instance)

        self.world.call_later(lag_s, update)


class FakeEngine:
    """An engine, which can be a member of a group; the member of rank 0 answers requests."""

    def __init__(self, world: World, row: ListedInstance) -> None:
        self.world = world
        self.row = row
        self.name = row.instance
        self.up = True
        self.paused = False
        self.boot_count = 0
        self.token_interval_s = 0.02
        self.paused_requests: list = []
        self.boot()

    def boot(self) -> None:
        """Restart with a new incarnation and no model loaded."""
        self.boot_count += 1
        self.incarnation = f"{self.name}#{self.boot_count}"
        self.order: LoadOrder | None = None
        self.state = EngineState.IDLE
        self.in_flight = 0
        self.paused_requests = []
        self.up, self.paused = True, False

    def pause(self, seconds: float) -> None:
        """Pause for a time, then answer the requests that came meanwhile."""
        self.paused = True

        def resume() -> None:
            self.paused = False
            waiting, self.paused_requests = self.paused_requests, []
            for conn in waiting:
                self.handle(conn)

        self.world.call_later(seconds, resume)

    def handle(self, conn: FakeConnection) -> None:
        if not self.up:
            return
        if self.paused:
            self.paused_requests.append(conn)
            return
        match conn.call.target:
            case "/v1/engine/status":
                conn.answer(200, msgspec.json.encode(self._status()))
            case "/v1/engine/orders":
                self._take_order(conn)
            case _:
                self._generate(conn)

    def _status(self) -> StatusReport:
        order = self.order
        return StatusReport(
            self.name,
            self.incarnation,
            self.state,
            order.generation if order else 0,
            order.group if order else None,
            order.spec if order else None,
            self.in_flight,
            EngineLoad(running=self.in_flight),
        )

    def _take_order(self, conn: FakeConnection) -> None:
        order = msgspec.json.decode(conn.call.body, type=LoadOrder)
        own_generation = self.order.generation if self.order else 0
        if self.world.fencing and order.generation < own_generation:
            answer = OrderAnswer(False, own_generation)
            conn.answer(409, msgspec.json.encode(answer), label="load-order-answer")
            return
        if order != self.order:
            self.order, self.state = order, EngineState.LOADING
            boot_count = self.boot_count

            def loaded() -> None:
                if self.boot_count == boot_count and self.order == order and self.up:
                    self.world.reach_step("model-loaded")
                    self.state = EngineState.READY

            self.world.call_later(0.5, loaded)
        answer = OrderAnswer(True, order.generation)
        conn.answer(200, msgspec.json.encode(answer), label="load-order-answer")

    def group_is_complete(self) -> bool:
        """Return whether all members run, are ready and hold the generation of the group."""
        if self.order is None:
            return False
        peers = [self.world.endpoints.get(address) for address in self.order.peers]
        return all(
            peer is not None
            and peer.up
            and not peer.paused
            and peer.order is not None
            and peer.order.generation == self.order.generation
            and peer.state is EngineState.READY
            for peer in peers
        )

    def group_members(self) -> tuple[str, ...]:
        """Return the names of the members listed in the last order."""
        peers = self.order.peers if self.order is not None else ()
        return tuple(getattr(self.world.endpoints.get(peer), "name", peer) for peer in peers)

    def _generate(self, conn: FakeConnection) -> None:
        headers = dict(conn.call.headers)
        requested_generation = int(headers.get("engine-generation", "0"))
        own_generation = self.order.generation if self.order else 0
        not_a_ready_head = self.state is not EngineState.READY or self.order.rank != 0
        if not_a_ready_head or (self.world.fencing and requested_generation != own_generation):
            conn.answer(503, b"{}", (("engine-not-run", "true"),))
            return
        body = json.loads(conn.call.body)
        request = body["messages"][0]["content"]
        self.world.record_event(
            "request_started",
            request=request,
            instance=self.name,
            requested_generation=requested_generation,
            own_generation=own_generation,
            group_complete=self.group_is_complete(),
            members=self.group_members(),
            node=conn.node.name,
        )
        self.in_flight += 1
        sent_before = int(headers.get("engine-resume-tokens", "0"))
        self._send_token(conn, body, self.boot_count, sent_before, [])

    def _send_token(self, conn, body, boot_count: int, token_index: int, tokens: list) -> None:
        """Send the next token, or close the connection if a member is missing.

        While the engine is paused or down, try again each 0.1 s; stop if the engine has
        restarted or the node has closed the connection.
        """
        if boot_count != self.boot_count or conn.closed_by_node:
            if boot_count == self.boot_count:
                self.in_flight -= 1
            return
        if not self.up or self.paused:
            self.world.call_later(
                0.1, lambda: self._send_token(conn, body, boot_count, token_index, tokens)
            )
            return
        if not self.group_is_complete():
            self.in_flight -= 1
            conn.close_by_server()
            return
        request = body["messages"][0]["content"]
        stream = body.get("stream", False)
        if token_index == 0 or (stream and not tokens):
            conn.head(200, (("content-type", "text/event-stream" if stream else "text/plain"),))
        if token_index < body["max_tokens"]:
            token = f"{request}.{token_index} "
            tokens.append(token)
            if stream:
                conn.body(f"data: {token}\n\n".encode(), label="token")
            self.world.call_later(
                self.token_interval_s,
                lambda: self._send_token(conn, body, boot_count, token_index + 1, tokens),
            )
            return
        conn.body(b"data: [DONE]\n\n" if stream else "".join(tokens).encode())
        conn.end("answer-end")
        self.in_flight -= 1


class FakeService:
    """One plain server; an order that it runs while paused is answered after the pause."""

    def __init__(self, world: World, row: ListedInstance) -> None:
        self.world = world
        self.name = row.instance
        self.up = True
        self.paused = False

    def handle(self, conn: FakeConnection) -> None:
        if not self.up:
            return
        request = json.loads(conn.call.body or b"{}").get("order", "")
        self.world.record_event(
            "request_started",
            request=request,
            instance=self.name,
            group_complete=True,
            node=conn.node.name,
        )

        def finish() -> None:
            if self.up and not self.paused:
                conn.answer(200, f"done {request}".encode(), label="service-answer")
            elif self.up:
                self.world.call_later(0.2, finish)

        self.world.call_later(0.03, finish)


@dataclass
class FakeRequest:
    """A caller's request with the attributes of `circuits.web` that the daemon reads."""

    method: str
    path: str
    headers: Headers
    body: io.BytesIO
    qs: str = ""
    protocol: tuple = (1, 1)


@dataclass
class FakeReply:
    """Answer to a caller, with the interface of the daemon's `Reply`.

    `on_ended` is called with this object once the answer is complete.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    data: bytes = b""
    ended: bool = False
    cut: bool = False
    buffered: int = 0
    on_disconnect: object = None
    on_flushed: object = None
    on_ended: object = None
    request: str = ""
    node: str = ""

    def send_whole(self, status, headers, body) -> None:
        if self.ended:
            return
        self.status, self.headers, self.data = status, dict(headers), body
        self.end()

    def start(self, status, headers) -> None:
        self.status, self.headers = status, dict(headers)

    def write(self, data) -> None:
        self.data += data

    def end(self) -> None:
        if not self.ended:
            self.ended = True
            self.on_ended(self)

    def close_when_done(self) -> None:
        pass


class FakeNode:
    """A node: the daemon's real `Assembly` on a fake clock, HTTP client and peer calls.

    `process_number` numbers the processes that ran under this name. A crash increments it as
    well, so that callbacks of the crashed process no longer run.
    """

    def __init__(self, world: World, name: str, data_centre: str, number: int) -> None:
        self.world = world
        self.name = name
        self.up = False
        self.paused = False
        self.process_number = 0
        self.paused_calls: list = []
        self.settings = Settings.model_validate(
            {
                "node": name,
                "data_centre": data_centre,
                "region": "tas-south",
                "listen": {
                    "callers": f"10.0.0.{number}:7100",
                    "operators": f"10.0.0.{number}:7300",
                    "peers": f"10.0.0.{number}:7200",
                },
                "platform": {"log": "10.1.0.1:1", "instances": "10.1.0.2:1"},
                "peers": {"secret": PEER_SECRET},
                "operators": [{"name": "ada", "key_sha256": sha256("ada")}],
                "stop": {"entry_ttl_s": 1.0, "limit_s": 20.0},
                "timing": {"node_gone_s": 15.0, "snapshot_s": 5.0},
            }
        )
        world.endpoints[f"10.0.0.{number}:7200"] = self

    def start(self) -> None:
        """Start a new process of this node."""
        self.process_number += 1
        self.up, self.paused, self.paused_calls = True, False, []
        process_number = self.process_number
        rng = random.Random(self.world.rng.getrandbits(64))

        def stopped() -> None:
            if self.process_number == process_number:
                self.up = False
                self.world.record_event("node_stopped", node=self.name)

        self.assembly = Assembly(
            self.settings,
            NodeClock(self.world, self),
            FakeClient(self),
            self._call_peer,
            stopped,
            rng,
        )
        self.secret = PEER_SECRET.encode()
        self.assembly.start()

    def crash(self) -> None:
        """End the process at once, without a drain."""
        self.world.record_event("node_crashed", node=self.name, process_number=self.process_number)
        self.up = False
        self.process_number += 1

    def pause(self, seconds: float) -> None:
        """Suspend the process for a time, as SIGSTOP and SIGCONT would."""
        self.paused = True
        process_number = self.process_number
        self.world.record_event("node_paused", node=self.name)

        def resume() -> None:
            if self.process_number == process_number:
                self.paused = False
                waiting, self.paused_calls = self.paused_calls, []
                for callback in waiting:
                    callback()

        self.world.call_later(seconds, resume)

    def bind_callback(self, callback):
        """Return a function that runs `callback` in the present process only.

        It does nothing once the process has ended, and waits while the process is paused.
        """
        process_number = self.process_number

        def run() -> None:
            if self.process_number != process_number or not self.up:
                return
            if self.paused:
                self.paused_calls.append(run)
            else:
                callback()

        return run

    def is_down(self, conn) -> bool:
        return not self.up

    def _call_peer(self, address, envelope, done) -> None:
        """Send an envelope to a peer; `done` gets its answer, or None after 1.5 s.

        Both are encoded and decoded as on the wire.
        """
        world = self.world
        frame = encode_frame(envelope, self.secret)
        label = "peer-pull" if envelope.pull is not None else "key-query"
        completed = [False]

        def complete(answer) -> None:
            if not completed[0]:
                completed[0] = True
                done(answer)

        def arrive() -> None:
            world.reach_step(label)
            peer = world.endpoints.get(str(address))
            if peer is None or not peer.up or not world.is_reachable(self.name, peer.name):
                return

            def reply() -> None:
                decoded = decode_frame(frame[4:], self.secret)
                answer = encode_frame(peer.assembly.peers.answer(decoded.ok), self.secret)
                if world.is_reachable(peer.name, self.name):
                    back = self.bind_callback(
                        lambda: complete(decode_frame(answer[4:], self.secret).ok)
                    )
                    world.call_later(world.random_delay_s(), back)

            peer.bind_callback(reply)()

        world.call_later(world.random_delay_s(), arrive)
        world.call_later(1.5, self.bind_callback(lambda: complete(None)))

    def receive_request(self, request: FakeRequest, reply: FakeReply) -> None:
        """Hand a caller's request to the node."""
        self.bind_callback(lambda: self.assembly.callers.handle(request, reply))()

    def submit_patch(self, base_version: int, patch: dict, done) -> None:
        """Submit a patch as an operator; `done` gets the decoded answer."""
        body = json.dumps({"base_version": base_version, "patch": patch}).encode()
        headers = Headers([("Authorization", "Bearer ada")])
        request = FakeRequest("POST", "/operator/patches", headers, io.BytesIO(body))
        reply = FakeReply(on_ended=lambda reply: done(json.loads(reply.data)))
        self.bind_callback(lambda: self.assembly.operators.handle(request, reply))()


def caller_headers(**extra) -> Headers:
    """Return the headers of a caller's request; underscores in names become hyphens."""
    pairs = [("Authorization", f"Bearer {CALLER_KEY}")]
    pairs += [(name.replace("_", "-"), value) for name, value in extra.items()]
    return Headers(pairs)
