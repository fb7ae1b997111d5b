"""Model engines: streamed tokens at a set pace, orders with or without fencing.

An engine of a group serves only while all members of the group are up; each run
is kept in a history that an invariant checker can read at ``GET /history`` of
the control port. ``POST /control`` there takes ``{"instance": name, "do":
"kill" | "pause" | "resume" | "restart" | "slow", "pace_s": float}``.
"""

import hashlib
import uuid
from collections import OrderedDict, deque

import msgspec

from briarpond.ports import (
    GENERATION_HEADER,
    NOT_RUN_HEADER,
    REQUEST_HEADER,
    RESUME_HEADER,
    EngineLoad,
    EngineState,
    FleetInstance,
    LoadOrder,
    OrderAnswer,
    StatusReport,
)

from .web import body_json, send_json

CACHED_PREFIXES = 16
CACHED_PREFILL_PART = 0.1


class EngineSettings(msgspec.Struct):
    """Times of an engine in seconds."""

    pace_s: float = 0.01
    load_s: float = 0.3
    prefill_s: float = 0.01
    load_lag_s: float = 0.5


class Run(msgspec.Struct):
    """One request that an engine began to run."""

    at: float
    request: str
    instance: str
    generation: int
    all_present: bool
    prompt: str
    ended: bool = False


class EngineFleet:
    """All engines of the process, by address, and the history of runs."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.by_address: dict[str, Engine] = {}
        self.history: list[Run] = []

    def control(self, request, reply) -> None:
        """Handle one request to the control port."""
        if request.path == "/history":
            send_json(reply, self.history)
            return
        change = body_json(request)
        for engine in self.by_address.values():
            if change["instance"] in (engine.row.instance, engine.row.domain):
                engine.change(change)
        send_json(reply, {})


class Engine:
    """One engine."""

    def __init__(
        self, clock, fleet: EngineFleet, row: FleetInstance, settings: EngineSettings
    ) -> None:
        self.clock = clock
        self.fleet = fleet
        self.row = row
        self.settings = settings
        self.pace_s = settings.pace_s
        self.up = True
        self.held: list = []
        self._loads: deque[tuple[float, EngineLoad]] = deque([(0.0, EngineLoad())])
        self._boot()
        fleet.by_address[row.address] = self

    def _boot(self) -> None:
        self.incarnation = uuid.uuid4().hex[:8]
        self.order: LoadOrder | None = None
        self.state = EngineState.IDLE
        self.in_flight = 0
        self.queued = 0
        self.cache: OrderedDict[bytes, bool] = OrderedDict()
        self.boot = object()

    def cached(self, body) -> bool:
        """Whether the shared part of a prompt is cached; it is from now on."""
        messages = body.get("messages") or [body.get("prompt")]
        shared = msgspec.json.encode(messages[:-1] or messages)
        hit = self.cache.pop(shared, False)
        self.cache[shared] = True
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return hit

    def change(self, change) -> None:
        """Carry out a fault."""
        match change["do"]:
            case "kill":
                self.up = False
                self._boot()
                self.held = []
            case "pause":
                self.up = False
            case "resume":
                self.up = True
                held, self.held = self.held, []
                for request, reply in held:
                    self.handle(request, reply)
            case "restart":
                self._boot()
                self.up = True
            case "slow":
                self.pace_s = change["pace_s"]

    def handle(self, request, reply) -> None:
        """Handle one request; an engine that is down keeps silent."""
        if not self.up:
            self.held.append((request, reply))
            return
        match request.path:
            case "/v1/engine/status":
                send_json(reply, self._status())
            case "/v1/engine/orders":
                self._take_order(request, reply)
            case _:
                self._generate(request, reply)

    def _status(self) -> StatusReport:
        order = self.order
        return StatusReport(
            self.row.instance,
            self.incarnation,
            self.state,
            order.generation if order else 0,
            order.group if order else None,
            order.spec if order else None,
            self.in_flight,
            self._lagging_load(),
        )

    def _lagging_load(self) -> EngineLoad:
        visible = self.clock.now() - self.settings.load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= visible:
            self._loads.popleft()
        return self._loads[0][1]

    def count(self, in_flight: int, queued: int) -> None:
        """Count a request in or out, or one that gives its first token."""
        self.in_flight += in_flight
        self.queued += queued
        load = EngineLoad(self.in_flight - self.queued, self.queued)
        self._loads.append((self.clock.now(), load))

    def _take_order(self, request, reply) -> None:
        order = msgspec.json.decode(request.body.read(), type=LoadOrder)
        held = self.order.generation if self.order else 0
        if self.row.fencing and order.generation < held:
            send_json(reply, OrderAnswer(False, held), 409)
            return
        if self.order != order:
            self.order = order
            self.state = EngineState.LOADING
            boot = self.boot
            self.clock.after(self.settings.load_s, lambda: self._loaded(order, boot))
        send_json(reply, OrderAnswer(True, order.generation))

    def _loaded(self, order: LoadOrder, boot) -> None:
        if boot is self.boot and self.order == order:
            self.state = EngineState.READY

    def _all_present(self) -> bool:
        if self.order is None:
            return False
        peers = [self.fleet.by_address.get(address) for address in self.order.peers]
        return all(
            peer is not None
            and peer.up
            and peer.order is not None
            and peer.order.generation == self.order.generation
            for peer in peers
        )

    def _generate(self, request, reply) -> None:
        headers = request.headers
        asked = int(headers.get(GENERATION_HEADER, "0"))
        held = self.order.generation if self.order else 0
        wrong = self.state is not EngineState.READY or self.order.rank != 0
        if wrong or (self.row.fencing and asked != held):
            send_json(reply, {"error": "not mine"}, 503, ((NOT_RUN_HEADER, "true"),))
            return
        body = body_json(request)
        prompt = msgspec.json.encode(body.get("messages", body.get("prompt"))).decode()
        run = Run(
            self.clock.now(),
            headers.get(REQUEST_HEADER, ""),
            self.row.instance,
            held,
            self._all_present(),
            prompt,
        )
        self.fleet.history.append(run)
        Generation(self, run, body, reply, int(headers.get(RESUME_HEADER, "0"))).start(
            request.path.endswith("/chat/completions")
        )


class Generation:
    """One answer under way."""

    def __init__(self, engine: Engine, run: Run, body, reply, skip: int) -> None:
        self.engine = engine
        self.run = run
        self.reply = reply
        self.index = skip
        self.stream = bool(body.get("stream"))
        self.count = int(body.get("max_tokens") or body.get("max_completion_tokens") or 16)
        self.model = body["model"]
        self.seed = hashlib.sha256(run.prompt.encode()).hexdigest()[:8]
        self.boot = engine.boot
        self.cached = engine.cached(body)
        self.words: list[str] = []
        self.chat = True

    def start(self, chat: bool) -> None:
        """Begin after the prefill."""
        self.chat = chat
        self.engine.count(1, 1)
        prefill_s = self.engine.settings.prefill_s
        if self.cached:
            prefill_s *= CACHED_PREFILL_PART
        self.engine.clock.after(prefill_s, self._prefilled)

    def _prefilled(self) -> None:
        if self.engine.boot is self.boot:
            self.engine.count(0, -1)
        self._step()

    def _step(self) -> None:
        engine = self.engine
        if self.reply.ended:
            self._finish()
            return
        if engine.boot is not self.boot or not engine._all_present():
            if engine.boot is not self.boot or engine.up:
                self.reply.abort()
                self._finish()
            else:
                engine.clock.after(0.05, self._step)
            return
        if self.index >= self.count:
            self._complete()
            return
        word = f"{self.seed}-{self.index} "
        self.index += 1
        if self.stream:
            self._event(self._choice(word, None))
        else:
            self.words.append(word)
        engine.clock.after(engine.pace_s, self._step)

    def _complete(self) -> None:
        self.run.ended = True
        if self.stream:
            self._event(self._choice("", "stop"))
            self.reply.write(b"data: [DONE]\n\n")
            self.reply.end()
        else:
            text = "".join(self.words)
            choice = {"index": 0, "finish_reason": "stop"}
            if self.chat:
                choice["message"] = {"role": "assistant", "content": text}
            else:
                choice["text"] = text
            prompt_tokens = len(self.run.prompt) // 4
            usage = {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": self.count,
                "total_tokens": prompt_tokens + self.count,
                "prompt_tokens_details": {"cached_tokens": prompt_tokens * self.cached},
            }
            kind = "chat.completion" if self.chat else "text_completion"
            send_json(self.reply, self._body(kind, choice) | {"usage": usage})
        self._finish()

    def _choice(self, word: str, finish) -> dict:
        choice = {"index": 0, "finish_reason": finish}
        if self.chat:
            choice["delta"] = {"role": "assistant", "content": word}
        else:
            choice["text"] = word
        return choice

    def _event(self, choice: dict) -> None:
        if not getattr(self, "_head_out", False):
            self._head_out = True
            self.reply.start(200, (("Content-Type", "text/event-stream"),))
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        data = msgspec.json.encode(self._body(kind, choice))
        self.reply.write(b"data: " + data + b"\n\n")

    def _body(self, kind: str, choice: dict) -> dict:
        return {
            "id": f"cmpl-{self.seed}",
            "object": kind,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        }

    def _finish(self) -> None:
        if self.engine.boot is self.boot:
            self.engine.count(-1, 0)
