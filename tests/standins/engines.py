"""Model engines that emit tokens at a fixed interval and carry out load orders, fenced or not.

The head of a group answers requests only while all members are up. Each request that an
engine starts is kept in a history, returned by ``GET /history`` of the control port.
``POST /control`` there takes ``{"instance": name, "do": "kill" | "pause" | "resume" |
"restart" | "slow", "pace_s": float}``; the name is that of an instance or of a failure
domain, and ``pace_s`` is the new interval between tokens for ``slow``.
"""

import hashlib
import uuid
from collections import OrderedDict, deque

import msgspec

from briarpond.ports import (
    ATTEMPT_ID_HEADER,
    GENERATION_HEADER,
    NOT_RUN_HEADER,
    RESUME_TOKENS_HEADER,
    EngineLoad,
    EngineState,
    ListedInstance,
    LoadOrder,
    OrderAnswer,
    StatusReport,
)

from .web import decode_json_body, send_json

CACHED_PREFIX_LIMIT = 16  # prefixes in the cache of one engine
CACHED_PREFILL_FRACTION = 0.1  # part of `prefill_s` that a cached prefix still takes


class EngineSettings(msgspec.Struct):
    """Times of an engine in seconds.

    Attributes
    ----------
    token_interval_s : float
        Time from one token to the next.
    model_load_s : float
        Time from an order until the model is loaded.
    prefill_s : float
        Time from a request to its first token.
    load_report_delay_s : float
        Age of the load that status answers report.
    """

    token_interval_s: float = 0.01
    model_load_s: float = 0.3
    prefill_s: float = 0.01
    load_report_delay_s: float = 0.5


class Run(msgspec.Struct):
    """One request that an engine started; returned as JSON by ``GET /history``.

    `at` is the time of the stand-in's clock at the start, in seconds; `request` is the id of
    the attempt; `all_present` is whether all members of the group were up at the start.
    """

    at: float
    request: str
    instance: str
    generation: int
    all_present: bool
    prompt: str
    ended: bool = False


class EngineFleet:
    """All engines of the process by address, and the requests that they started."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.by_address: dict[str, Engine] = {}
        self.history: list[Run] = []

    def control(self, request, reply) -> None:
        """Handle one request to the control port."""
        if request.path == "/history":
            send_json(reply, self.history)
            return
        change = decode_json_body(request)
        for engine in self.by_address.values():
            if change["instance"] in (engine.row.instance, engine.row.domain):
                engine.apply_fault(change)
        send_json(reply, {})


class Engine:
    """One engine: it loads a model when ordered and, as head of a group, answers requests."""

    def __init__(
        self, clock, fleet: EngineFleet, row: ListedInstance, settings: EngineSettings
    ) -> None:
        self.clock = clock
        self.fleet = fleet
        self.row = row
        self.settings = settings
        self.token_interval_s = settings.token_interval_s
        self.up = True
        self.unanswered_requests: list = []
        self._load_history: deque[tuple[float, EngineLoad]] = deque([(0.0, EngineLoad())])
        self._boot()
        fleet.by_address[row.address] = self

    def _boot(self) -> None:
        """Start with a new incarnation and no model; `boot_marker` identifies this start."""
        self.incarnation = uuid.uuid4().hex[:8]
        self.order: LoadOrder | None = None
        self.state = EngineState.IDLE
        self.in_flight = 0
        self.queued = 0
        self.prefix_cache: OrderedDict[bytes, bool] = OrderedDict()
        self.boot_marker = object()

    def look_up_prefix(self, body) -> bool:
        """Return whether the prefix of a prompt was cached, and cache it.

        The prefix is all messages but the last, or the only message.
        """
        messages = body.get("messages") or [body.get("prompt")]
        prefix = msgspec.json.encode(messages[:-1] or messages)
        hit = self.prefix_cache.pop(prefix, False)
        self.prefix_cache[prefix] = True
        if len(self.prefix_cache) > CACHED_PREFIX_LIMIT:
            self.prefix_cache.popitem(last=False)
        return hit

    def apply_fault(self, change) -> None:
        """Apply a change received at ``/control``."""
        match change["do"]:
            case "kill":
                self.up = False
                self._boot()
                self.unanswered_requests = []
            case "pause":
                self.up = False
            case "resume":
                self.up = True
                waiting, self.unanswered_requests = self.unanswered_requests, []
                for request, reply in waiting:
                    self.handle(request, reply)
            case "restart":
                self._boot()
                self.up = True
            case "slow":
                self.token_interval_s = change["pace_s"]

    def handle(self, request, reply) -> None:
        """Handle one request; while the engine is killed or paused, leave it unanswered."""
        if not self.up:
            self.unanswered_requests.append((request, reply))
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
            self._reported_load(),
        )

    def _reported_load(self) -> EngineLoad:
        """Return the load as it was `load_report_delay_s` ago."""
        reported_until = self.clock.now() - self.settings.load_report_delay_s
        while len(self._load_history) > 1 and self._load_history[1][0] <= reported_until:
            self._load_history.popleft()
        return self._load_history[0][1]

    def change_load(self, in_flight_change: int, queued_change: int) -> None:
        """Change the numbers of requests in flight and, of these, before their first token."""
        self.in_flight += in_flight_change
        self.queued += queued_change
        load = EngineLoad(self.in_flight - self.queued, self.queued)
        self._load_history.append((self.clock.now(), load))

    def _take_order(self, request, reply) -> None:
        order = msgspec.json.decode(request.body.read(), type=LoadOrder)
        own_generation = self.order.generation if self.order else 0
        if self.row.fencing and order.generation < own_generation:
            send_json(reply, OrderAnswer(False, own_generation), 409)
            return
        if self.order != order:
            self.order = order
            self.state = EngineState.LOADING
            boot_marker = self.boot_marker
            self.clock.after(self.settings.model_load_s, lambda: self._loaded(order, boot_marker))
        send_json(reply, OrderAnswer(True, order.generation))

    def _loaded(self, order: LoadOrder, boot_marker) -> None:
        if boot_marker is self.boot_marker and self.order == order:
            self.state = EngineState.READY

    def group_is_complete(self) -> bool:
        """Return whether all members are up and hold the generation of the group."""
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
        requested_generation = int(headers.get(GENERATION_HEADER, "0"))
        own_generation = self.order.generation if self.order else 0
        not_a_ready_head = self.state is not EngineState.READY or self.order.rank != 0
        if not_a_ready_head or (self.row.fencing and requested_generation != own_generation):
            send_json(
                reply,
                {"error": "not the ready head of this group generation"},
                503,
                ((NOT_RUN_HEADER, "true"),),
            )
            return
        body = decode_json_body(request)
        prompt = msgspec.json.encode(body.get("messages", body.get("prompt"))).decode()
        run = Run(
            self.clock.now(),
            headers.get(ATTEMPT_ID_HEADER, ""),
            self.row.instance,
            own_generation,
            self.group_is_complete(),
            prompt,
        )
        self.fleet.history.append(run)
        RunningAnswer(self, run, body, reply, int(headers.get(RESUME_TOKENS_HEADER, "0"))).start(
            request.path.endswith("/chat/completions")
        )


class RunningAnswer:
    """The answer to one request, from its start to its last token.

    `sent_before` is the number of tokens that the caller already has from an interrupted
    answer to the same request; they are left out.
    """

    def __init__(self, engine: Engine, run: Run, body, reply, sent_before: int) -> None:
        self.engine = engine
        self.run = run
        self.reply = reply
        self.next_token = sent_before
        self.is_stream = bool(body.get("stream"))
        self.token_count = int(body.get("max_tokens") or body.get("max_completion_tokens") or 16)
        self.model = body["model"]
        self.seed = hashlib.sha256(run.prompt.encode()).hexdigest()[:8]
        self.boot_marker = engine.boot_marker
        self.prefix_cached = engine.look_up_prefix(body)
        self.tokens: list[str] = []
        self.is_chat = True

    def start(self, is_chat: bool) -> None:
        """Start the prefill, after which the first token follows."""
        self.is_chat = is_chat
        self.engine.change_load(1, 1)
        prefill_s = self.engine.settings.prefill_s
        if self.prefix_cached:
            prefill_s *= CACHED_PREFILL_FRACTION
        self.engine.clock.after(prefill_s, self._prefilled)

    def _prefilled(self) -> None:
        if self.engine.boot_marker is self.boot_marker:
            self.engine.change_load(0, -1)
        self._send_next_token()

    def _send_next_token(self) -> None:
        engine = self.engine
        if self.reply.ended:
            self._finish()
            return
        if engine.boot_marker is not self.boot_marker or not engine.group_is_complete():
            if engine.boot_marker is not self.boot_marker or engine.up:
                self.reply.abort()
                self._finish()
            else:
                engine.clock.after(0.05, self._send_next_token)
            return
        if self.next_token >= self.token_count:
            self._complete()
            return
        token = f"{self.seed}-{self.next_token} "
        self.next_token += 1
        if self.is_stream:
            self._send_event(self._choice(token, None))
        else:
            self.tokens.append(token)
        engine.clock.after(engine.token_interval_s, self._send_next_token)

    def _complete(self) -> None:
        self.run.ended = True
        if self.is_stream:
            self._send_event(self._choice("", "stop"))
            self.reply.write(b"data: [DONE]\n\n")
            self.reply.end()
        else:
            text = "".join(self.tokens)
            choice = {"index": 0, "finish_reason": "stop"}
            if self.is_chat:
                choice["message"] = {"role": "assistant", "content": text}
            else:
                choice["text"] = text
            prompt_tokens = len(self.run.prompt) // 4
            usage = {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": self.token_count,
                "total_tokens": prompt_tokens + self.token_count,
                "prompt_tokens_details": {"cached_tokens": prompt_tokens * self.prefix_cached},
            }
            kind = "chat.completion" if self.is_chat else "text_completion"
            send_json(self.reply, self._answer_object(kind, choice) | {"usage": usage})
        self._finish()

    def _choice(self, token: str, finish_reason) -> dict:
        choice = {"index": 0, "finish_reason": finish_reason}
        if self.is_chat:
            choice["delta"] = {"role": "assistant", "content": token}
        else:
            choice["text"] = token
        return choice

    def _send_event(self, choice: dict) -> None:
        if not getattr(self, "_head_sent", False):
            self._head_sent = True
            self.reply.start(200, (("Content-Type", "text/event-stream"),))
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        data = msgspec.json.encode(self._answer_object(kind, choice))
        self.reply.write(b"data: " + data + b"\n\n")

    def _answer_object(self, kind: str, choice: dict) -> dict:
        return {
            "id": f"cmpl-{self.seed}",
            "object": kind,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        }

    def _finish(self) -> None:
        if self.engine.boot_marker is self.boot_marker:
            self.engine.change_load(-1, 0)
