"""Fakes at the interfaces of a node, in virtual time: network, log, list, engines, callers.

The nodes under test are the real assemblies of the daemon without sockets. All
that they see of the world passes `Network.send`, where labelled steps can
trigger faults.
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
    FleetInstance,
    FleetList,
    InstanceState,
    LoadOrder,
    OrderAnswer,
    StatusReport,
)
from briarpond.requests import LossReason
from tests.standins.deployment import CALLER_KEY, PEER_SECRET, sha256

MAX_DELAY_S = 0.008
LOG = "log"
LIST = "list"


@dataclass
class Event:
    """One line of the history that the checker reads."""

    at: float
    kind: str
    fields: dict


class World:
    """Virtual time, the network and everything on it."""

    def __init__(self, seed: int, fencing: bool = True) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.history: list[Event] = []
        self.triggers: dict[str, list] = defaultdict(list)
        self.seen_steps: dict[str, int] = defaultdict(int)
        self.blocked: set[tuple[str, str]] = set()
        self.log = FakeLog(self)
        self.fencing = fencing
        self.engines: dict[str, FakeEngine] = {}
        self.services: dict[str, FakeService] = {}
        self.rows: dict[str, FleetInstance] = {}
        self.nodes: dict[str, FakeNode] = {}
        self.endpoints: dict[str, object] = {}
        self._heap: list = []
        self._order = itertools.count()

    def at(self, time: float, call) -> None:
        """Schedule a call."""
        heapq.heappush(self._heap, (time, next(self._order), call))

    def after(self, delay: float, call) -> None:
        """Schedule a call after a delay."""
        self.at(self.now + delay, call)

    def run_until(self, end: float) -> None:
        """Run everything due up to `end`."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = end

    def note(self, kind: str, /, **fields) -> None:
        """Add a line to the history."""
        self.history.append(Event(self.now, kind, fields))

    def step(self, label: str) -> None:
        """Pass a labelled step; an armed fault strikes just before its effect."""
        self.seen_steps[label] += 1
        for fault in self.triggers.pop(label, []):
            self.note("fault", label=label)
            fault()

    def delay(self) -> float:
        """Return one way's time."""
        return self.rng.uniform(0.001, MAX_DELAY_S)

    def open(self, source: str, target: str) -> bool:
        """Whether messages pass from `source` to `target`."""
        return not {(source, target), (source, "*"), ("*", target)} & self.blocked

    def block(self, pairs, heal_after: float) -> None:
        """Cut directed pairs for a while."""
        cut = set(pairs) - self.blocked
        self.blocked |= cut

        def heal() -> None:
            self.blocked -= cut

        self.after(heal_after, heal)


class NodeClock:
    """Clock of one process; nothing runs while it is paused or after it has died."""

    def __init__(self, world: World, process) -> None:
        self._world = world
        self._process = process

    def now(self) -> float:
        return self._world.now

    def after(self, delay_s: float, call) -> Timer:
        timer = Timer(call)

        def run() -> None:
            if timer.call is not None:
                timer.call()

        self._world.after(delay_s, self._process.guard(run))
        return timer

    def every(self, interval_s: float, call) -> None:
        def run() -> None:
            self.after(interval_s, run)
            call()

        self.after(0.0, run)


class FakeConnection:
    """One HTTP exchange as both sides see it."""

    def __init__(self, node: "FakeNode", call: HttpCall, label: str) -> None:
        self.state = CallState.CONNECTING
        self.node = node
        self.call = call
        self.label = label
        self.world = node.world
        self.target = str(call.address)
        self.dead = False

    def cancel(self) -> None:
        self.state = CallState.ENDED

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass

    @property
    def gone(self) -> bool:
        """Whether the other side would notice that nobody listens."""
        return self.state is CallState.ENDED or self.node.process_dead(self)

    def begin(self) -> None:
        world = self.world
        owner = world.endpoints.get(self.target)
        name = getattr(owner, "name", self.target)
        reachable = (
            owner is not None
            and owner.up
            and world.open(self.node.name, name)
            and world.open(name, self.node.name)
        )
        if not reachable:
            self._to_caller(self.call.connect_s, lambda: self.lose(LossReason.CONNECT_FAILED))
            return
        self._to_caller(2 * world.delay(), lambda: self._connected(owner, name))

    def _connected(self, owner, name: str) -> None:
        if self.state is CallState.ENDED:
            return
        self.state = CallState.SENT
        if self.call.on_sent is not None:
            self.call.on_sent()
        if not self.world.open(self.node.name, name):
            return

        def arrive() -> None:
            self.world.step(self.label)
            owner.handle(self)

        self.world.after(self.world.delay(), arrive)

    def answer(self, status: int, body: bytes, headers=(), label: str = "") -> None:
        """Give a whole answer from the other side."""
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

    def break_off(self) -> None:
        """Close from the other side."""
        self._deliver(lambda: self.lose(LossReason.CONNECTION_LOST), "")

    def lose(self, reason: LossReason) -> None:
        if self.state is not CallState.ENDED:
            self.state = CallState.ENDED
            self.call.on_lost(reason)

    def _deliver(self, act, label: str) -> None:
        # One connection keeps its order; what a cut swallows ends the connection.
        owner = self.world.endpoints.get(self.target)
        if self.dead or not self.world.open(getattr(owner, "name", self.target), self.node.name):
            self.dead = True
            return
        self._at = max(getattr(self, "_at", 0.0), self.world.now + self.world.delay())

        def arrive() -> None:
            if label:
                self.world.step(label)
            if self.state is not CallState.ENDED:
                act()

        self._to_caller(self._at - self.world.now, arrive)

    def _to_caller(self, delay: float, act) -> None:
        self.world.after(delay, self.node.guard(act))


class FakeClient:
    """Stands in for the HTTP client of one node."""

    def __init__(self, node: "FakeNode") -> None:
        self._node = node

    def start(self, call: HttpCall) -> FakeConnection:
        conn = FakeConnection(self._node, call, _label(call))
        conn.begin()
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
            connect_s=timeout_s,
        )
        conn = self.start(call)

        def timeout() -> None:
            if conn.state is not CallState.ENDED:
                conn.cancel()
                lost(LossReason.TIMEOUT)

        self._node.world.after(timeout_s, self._node.guard(timeout))
        return conn


def _label(call: HttpCall) -> str:
    path = call.target.partition("?")[0]
    if path == "/v1/log" and call.method == "POST":
        value = json.loads(json.loads(call.body)["value"])
        return "append:" + value["records"][0]["type"]
    names = {
        "/v1/log": "read",
        "/v1/instances": "list",
        "/v1/engine/status": "status",
        "/v1/engine/orders": "order",
        "/v1/chat/completions": "dispatch",
    }
    return names.get(path, "call")


class FakeLog:
    """The platform's log with its faults."""

    name = LOG

    def __init__(self, world: World) -> None:
        self.world = world
        self.up = True
        self.slow_s = 0.0
        self.lose_answers = 0
        self.entries: list[str] = []
        self.oldest = 0
        self.retention = 1_000_000

    def handle(self, conn: FakeConnection) -> None:
        self.world.after(self.slow_s, lambda: self._handle(conn))

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
                conn.break_off()
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
        conn.answer(200, json.dumps(page).encode(), label="page" if rows else "")


class FakeList:
    """The list of instances; `visible` lags behind `World.rows`."""

    name = LIST
    up = True

    def __init__(self, world: World) -> None:
        self.world = world
        self.visible: dict[str, FleetInstance] = {}

    def handle(self, conn: FakeConnection) -> None:
        rows = FleetList(tuple(self.visible.values()))
        conn.answer(200, msgspec.json.encode(rows))

    def mark_leaving(self, instance: str, lag_s: float) -> None:
        """An instance leaves now; the list shows it later."""

        def show() -> None:
            row = self.visible[instance]
            self.visible[instance] = msgspec.structs.replace(row, state=InstanceState.LEAVING)
            self.world.note("list_shows_leaving", instance=instance)

        self.world.after(lag_s, show)


class FakeEngine:
    """One member of a group; rank 0 answers requests."""

    def __init__(self, world: World, row: FleetInstance) -> None:
        self.world = world
        self.row = row
        self.name = row.instance
        self.up = True
        self.frozen = False
        self.boots = 0
        self.pace_s = 0.02
        self.held: list = []
        self.boot()

    def boot(self) -> None:
        """Start afresh with a new incarnation."""
        self.boots += 1
        self.incarnation = f"{self.name}#{self.boots}"
        self.order: LoadOrder | None = None
        self.state = EngineState.IDLE
        self.in_flight = 0
        self.held = []
        self.up, self.frozen = True, False

    def freeze(self, seconds: float) -> None:
        """Pause and come back as if nothing had happened."""
        self.frozen = True

        def thaw() -> None:
            self.frozen = False
            held, self.held = self.held, []
            for conn in held:
                self.handle(conn)

        self.world.after(seconds, thaw)

    def handle(self, conn: FakeConnection) -> None:
        if not self.up:
            return
        if self.frozen:
            self.held.append(conn)
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
        held = self.order.generation if self.order else 0
        if self.world.fencing and order.generation < held:
            answer = OrderAnswer(False, held)
            conn.answer(409, msgspec.json.encode(answer), label="ordered")
            return
        if order != self.order:
            self.order, self.state = order, EngineState.LOADING
            boots = self.boots

            def loaded() -> None:
                if self.boots == boots and self.order == order and self.up:
                    self.world.step("loaded")
                    self.state = EngineState.READY

            self.world.after(0.5, loaded)
        answer = OrderAnswer(True, order.generation)
        conn.answer(200, msgspec.json.encode(answer), label="ordered")

    def whole(self) -> bool:
        """Whether all members of the group are up and hold its generation."""
        if self.order is None:
            return False
        peers = [self.world.endpoints.get(address) for address in self.order.peers]
        return all(
            peer is not None
            and peer.up
            and not peer.frozen
            and peer.order is not None
            and peer.order.generation == self.order.generation
            and peer.state is EngineState.READY
            for peer in peers
        )

    def members(self) -> tuple[str, ...]:
        """Return the names of the members that its order names."""
        peers = self.order.peers if self.order is not None else ()
        return tuple(getattr(self.world.endpoints.get(peer), "name", peer) for peer in peers)

    def _generate(self, conn: FakeConnection) -> None:
        headers = dict(conn.call.headers)
        asked = int(headers.get("engine-generation", "0"))
        held = self.order.generation if self.order else 0
        not_mine = self.state is not EngineState.READY or self.order.rank != 0
        if not_mine or (self.world.fencing and asked != held):
            conn.answer(503, b"{}", (("engine-not-run", "true"),))
            return
        body = json.loads(conn.call.body)
        request = body["messages"][0]["content"]
        self.world.note(
            "run",
            request=request,
            instance=self.name,
            asked=asked,
            held=held,
            whole=self.whole(),
            members=self.members(),
            node=conn.node.name,
        )
        self.in_flight += 1
        skip = int(headers.get("engine-resume-tokens", "0"))
        self._token(conn, body, self.boots, skip, [])

    def _token(self, conn, body, boots: int, index: int, words: list) -> None:
        if boots != self.boots or conn.gone:
            if boots == self.boots:
                self.in_flight -= 1
            return
        if not self.up or self.frozen:
            self.world.after(0.1, lambda: self._token(conn, body, boots, index, words))
            return
        if not self.whole():
            self.in_flight -= 1
            conn.break_off()
            return
        request = body["messages"][0]["content"]
        stream = body.get("stream", False)
        if index == 0 or (stream and not words):
            conn.head(200, (("content-type", "text/event-stream" if stream else "text/plain"),))
        if index < body["max_tokens"]:
            word = f"{request}.{index} "
            words.append(word)
            if stream:
                conn.body(f"data: {word}\n\n".encode(), label="token")
            self.world.after(self.pace_s, lambda: self._token(conn, body, boots, index + 1, words))
            return
        conn.body(b"data: [DONE]\n\n" if stream else "".join(words).encode())
        conn.end("end")
        self.in_flight -= 1


class FakeService:
    """One server of the plain service."""

    def __init__(self, world: World, row: FleetInstance) -> None:
        self.world = world
        self.name = row.instance
        self.up = True
        self.frozen = False

    def handle(self, conn: FakeConnection) -> None:
        if not self.up:
            return
        request = json.loads(conn.call.body or b"{}").get("order", "")
        self.world.note("run", request=request, instance=self.name, whole=True, node=conn.node.name)

        def finish() -> None:
            if self.up and not self.frozen:
                conn.answer(200, f"done {request}".encode(), label="called")
            elif self.up:
                self.world.after(0.2, finish)

        self.world.after(0.03, finish)


@dataclass
class FakeRequest:
    """A caller's request as circuits.web would hand it over."""

    method: str
    path: str
    headers: Headers
    body: io.BytesIO
    qs: str = ""
    protocol: tuple = (1, 1)


@dataclass
class FakeReply:
    """What a caller gets."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    data: bytes = b""
    ended: bool = False
    cut: bool = False
    buffered: int = 0
    on_gone: object = None
    on_drained: object = None
    on_ended: object = None
    request: str = ""
    node: str = ""

    def whole(self, status, headers, body) -> None:
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

    def close_after(self) -> None:
        pass


class FakeNode:
    """A process of the system: a real assembly on fake interfaces."""

    def __init__(self, world: World, name: str, data_centre: str, number: int) -> None:
        self.world = world
        self.name = name
        self.up = False
        self.paused = False
        self.epoch = 0
        self.held: list = []
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
        """Boot a new incarnation."""
        self.epoch += 1
        self.up, self.paused, self.held = True, False, []
        epoch = self.epoch
        rng = random.Random(self.world.rng.getrandbits(64))

        def stopped() -> None:
            if self.epoch == epoch:
                self.up = False
                self.world.note("node_stopped", node=self.name)

        self.assembly = Assembly(
            self.settings, NodeClock(self.world, self), FakeClient(self), self._call, stopped, rng
        )
        self.secret = PEER_SECRET.encode()
        self.assembly.start()

    def crash(self) -> None:
        """Die at once."""
        self.world.note("node_crashed", node=self.name, epoch=self.epoch)
        self.up = False
        self.epoch += 1

    def pause(self, seconds: float) -> None:
        """Stop running for a while, as a stopped process does."""
        self.paused = True
        epoch = self.epoch
        self.world.note("node_paused", node=self.name)

        def resume() -> None:
            if self.epoch == epoch:
                self.paused = False
                held, self.held = self.held, []
                for call in held:
                    call()

        self.world.after(seconds, resume)

    def guard(self, call):
        """Return `call` bound to this incarnation and held while it is paused."""
        epoch = self.epoch

        def run() -> None:
            if self.epoch != epoch or not self.up:
                return
            if self.paused:
                self.held.append(run)
            else:
                call()

        return run

    def process_dead(self, conn) -> bool:
        return not self.up

    def _call(self, address, envelope, done) -> None:
        """Carry an envelope to a peer and its answer back, through the codec."""
        world = self.world
        frame = encode_frame(envelope, self.secret)
        label = "pull" if envelope.pull is not None else "key-query"
        settled = [False]

        def settle(answer) -> None:
            if not settled[0]:
                settled[0] = True
                done(answer)

        def arrive() -> None:
            world.step(label)
            peer = world.endpoints.get(str(address))
            if peer is None or not peer.up or not world.open(self.name, peer.name):
                return

            def reply() -> None:
                decoded = decode_frame(frame[4:], self.secret)
                answer = encode_frame(peer.assembly.peers.answer(decoded.ok), self.secret)
                if world.open(peer.name, self.name):
                    back = self.guard(lambda: settle(decode_frame(answer[4:], self.secret).ok))
                    world.after(world.delay(), back)

            peer.guard(reply)()

        world.after(world.delay(), arrive)
        world.after(1.5, self.guard(lambda: settle(None)))

    def ask(self, request: FakeRequest, reply: FakeReply) -> None:
        """Take a caller's request."""
        self.guard(lambda: self.assembly.callers.handle(request, reply))()

    def patch(self, base_version: int, patch: dict, done) -> None:
        """Submit an operator's patch."""
        body = json.dumps({"base_version": base_version, "patch": patch}).encode()
        headers = Headers([("Authorization", "Bearer ada")])
        request = FakeRequest("POST", "/operator/patches", headers, io.BytesIO(body))
        reply = FakeReply(on_ended=lambda reply: done(json.loads(reply.data)))
        self.guard(lambda: self.assembly.operators.handle(request, reply))()


def caller_headers(**extra) -> Headers:
    """Return the headers of a caller."""
    pairs = [("Authorization", f"Bearer {CALLER_KEY}")]
    pairs += [(name.replace("_", "-"), value) for name, value in extra.items()]
    return Headers(pairs)
