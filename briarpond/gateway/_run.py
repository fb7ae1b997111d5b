"""One request between its caller and the servers it is sent to."""

from collections.abc import Callable

from briarpond.dispatch import (
    EventSplitter,
    Failure,
    NextStep,
    Progress,
    VerdictKind,
    Work,
    judge,
    next_step,
)
from briarpond.ids import InstanceId, ServiceName
from briarpond.logs import log_event
from briarpond.net import Exchange, Headers, HttpCall, HttpReply, HttpRequest, LossReason
from briarpond.platform import HOP_HEADERS, WireHeader, parse_server_load, parse_token_counts
from briarpond.routes import ModelName, RequestKind, Route, Tenant

from ._state import NodeState
from ._targets import Target, best_group, best_server

CONNECT_S = 0.4
# A server that turned a request away is taken to be full for so long.
FULL_S = 0.15
# A larger answer that is not a stream counts as failed; it is held in memory.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
DEFAULT_DEADLINE_S = 30.0
NOT_RUN_STATUSES = frozenset({421, 429, 503})
_STRIPPED = HOP_HEADERS | {
    "content-length",
    WireHeader.AUTHORIZATION,
    WireHeader.TENANT,
    WireHeader.DEADLINE_MS,
    WireHeader.EXPECT_INSTANCE,
    WireHeader.PRIORITY,
    WireHeader.LAST_EVENT,
}
_STRIPPED_ANSWER = HOP_HEADERS | {"content-length"}


class RequestRun:
    """Sends a request, passes its answer on and recovers from lost sends.

    Attributes
    ----------
    server : InstanceId or None
        Where it is under way at present.
    last_progress : float
        When the present send last showed a sign of life.
    """

    def __init__(
        self,
        state: NodeState,
        request: HttpRequest,
        reply: HttpReply,
        route: Route,
        service: ServiceName,
        tenant: Tenant | None,
        on_done: Callable[["RequestRun"], None],
        on_stalled: Callable[[InstanceId], None],
    ) -> None:
        self.route = route
        self.server: InstanceId | None = None
        self.last_progress = 0.0
        self.began = False
        self.done = False
        self.held = False
        self._state = state
        self._request = request
        self._reply = reply
        self._service = service
        self._tenant = tenant
        self._on_done = on_done
        self._on_stalled = on_stalled
        self._id = request.header(WireHeader.REQUEST_ID)
        self._exchange: Exchange | None = None
        self._tried: list[InstanceId] = []
        self._sends = 0
        self._runs = 0
        self._connects_failed = 0
        self._status = 0
        self._answer = bytearray()
        self._head: Headers = ()
        self._streams = False
        self._head_passed = False
        self._events = EventSplitter()
        self._first_byte_at: float | None = None
        self._read_tokens = 0
        self._reason = ""
        deadline = request.header(WireHeader.DEADLINE_MS)
        allowed = int(deadline) / 1000 if deadline and deadline.isdigit() else DEFAULT_DEADLINE_S
        self._deadline = request.read_at + allowed
        self._ends_at = request.read_at + min(allowed, route.timeout_s)
        self.model = ModelName(request.header(WireHeader.MODEL) or "")
        self.work = _work_of(request)
        reply.on_gone = self._on_gone

    @property
    def rank(self) -> tuple[int, float]:
        """Order among requests that wait: priority, then arrival."""
        tenant = self._tenant
        own = self.route.priority
        priority = tenant.priority if tenant and tenant.priority is not None else own
        return priority, self._request.read_at

    def start(self) -> None:
        """Begin."""
        state = self._state
        now = state.clock.now()
        state.budget(self._service).count_request(now)
        engine = state.engine(self._service)
        if engine is not None:
            state.count_demand(self.model, engine, self.work, now)
        state.clock.after(self._ends_at - now, self._on_time_over)
        self.try_send()

    def try_send(self) -> None:
        """Send to the best server, wait for room, or refuse."""
        if self.done or self._exchange is not None:
            return
        now = self._state.clock.now()
        target = self._choose(now)
        waited = now - self._request.read_at
        goal = self.route.goal_s or self.route.timeout_s
        if self._head_passed:
            self._resume(target, now)
            return
        verdict = judge(
            None if target is None else target.expected_s,
            target is not None and target.room,
            waited,
            goal,
            self._ends_at - now,
            goal,
        )
        self.held = verdict.kind is VerdictKind.HOLD
        if verdict.kind is VerdictKind.SEND and target is not None:
            self._send(target, now)
        elif verdict.kind is VerdictKind.REFUSE:
            self._reason = "no_group" if target is None else "no_room"
            self._end_unserved(verdict.retry_after_s)

    def give_up(self) -> None:
        """End now, at the end of the process."""
        if not self.done:
            self._reason = self._reason or "stopping"
            self._end_unserved(0.0)

    def stalled(self, now: float) -> None:
        """The server stands still: go on elsewhere if that is allowed."""
        if self._exchange is None or self.server is None:
            return
        if not self.route.repeatable and self._sends:
            return
        step = next_step(
            self.route,
            Failure.UNKNOWN,
            self._progress(),
            self._ends_at - now,
            self._may_repeat(now),
        )
        if step is not NextStep.AGAIN or self._choose(now, besides=self.server) is None:
            return
        self._reason = "stalled"
        self._cancel()
        self.try_send()

    # Sending

    def _choose(self, now: float, besides: InstanceId | None = None) -> Target | None:
        state = self._state
        tried = self._tried if besides is None else [*self._tried, besides]
        engine = state.engine(self._service)
        if engine is None:
            return best_server(state, self._service, tried, now, state.rng)
        return best_group(state, engine, self.model, self.work, tried, now)

    def _resume(self, target: Target | None, now: float) -> None:
        if target is not None and target.room:
            self.held = False
            self._send(target, now)
        else:
            self.held = True

    def _send(self, target: Target, now: float) -> None:
        state = self._state
        self.held = False
        self.server = target.instance
        self._tried.append(target.instance)
        self.last_progress = now
        self.began = False
        self._events.restart()
        self._answer.clear()
        self._read_tokens = self.work.prompt
        state.loads.sent(target.instance, self._read_tokens)
        call = HttpCall(
            target.address,
            self._request.method,
            self._request.target,
            self._headers(target.instance, now),
            self._request.body,
            self._got_head,
            self._got_body,
            self._got_end,
            self._lost,
            self._sent,
            reuse=self.route.repeatable,
            connect_s=min(CONNECT_S, max(0.01, self._ends_at - now)),
            echo=None if self._id is None else (WireHeader.REQUEST_ID, self._id),
        )
        self._exchange = state.client.start(call)

    def _headers(self, server: InstanceId, now: float) -> Headers:
        headers = [pair for pair in self._request.headers if pair[0] not in _STRIPPED]
        left_ms = max(1, int((self._ends_at - now) * 1000))
        headers.append((WireHeader.DEADLINE_MS, str(left_ms)))
        headers.append((WireHeader.EXPECT_INSTANCE, server))
        if self._tenant is not None:
            headers.append((WireHeader.TENANT, self._tenant.name))
        last_event = self._last_event()
        if last_event is not None:
            headers.append((WireHeader.LAST_EVENT, last_event))
        return tuple(headers)

    def _last_event(self) -> str | None:
        if self._events.last_id is not None:
            return self._events.last_id.decode("latin-1")
        return self._request.header(WireHeader.LAST_EVENT)

    def _sent(self) -> None:
        self._sends += 1
        self._runs += 1

    # Answers

    def _got_head(self, status: int, headers: Headers) -> None:
        now = self._state.clock.now()
        self.last_progress = now
        self._note_load(headers)
        names = dict(headers)
        not_executed = status == 421 or WireHeader.NOT_EXECUTED in names
        if not_executed and status in NOT_RUN_STATUSES:
            self._turned_away(status, names, now)
            return
        stamped = WireHeader.STAMP in names
        is_stream = self.route.kind is RequestKind.STREAM and status == 200
        if self._head_passed and not (is_stream and stamped):
            self._fail(Failure.UNKNOWN, f"resume_status_{status}")
            return
        if 200 <= status < 300 and (not stamped or "content-encoding" in names):
            self._fail(Failure.UNKNOWN, "no_stamp")
            return
        self._streams = is_stream
        if not self._head_passed:
            self._status = status
            self._head = tuple(pair for pair in headers if pair[0] not in _STRIPPED_ANSWER)

    def _turned_away(self, status: int, names: dict[str, str], now: float) -> None:
        """The server says that it has not run the request."""
        state = self._state
        self._runs -= 1
        assert self.server is not None
        if status == 421:
            state.avoid(self.server, now)
        else:
            state.loads.told_full(self.server, now + FULL_S)
        at_fault = names.get(WireHeader.AT_SERVER)
        if at_fault:
            self._on_stalled(self.server)
        self._fail(Failure.NOT_EXECUTED, f"turned_away_{status}")

    def _got_body(self, data: bytes) -> None:
        now = self._state.clock.now()
        if self._streams and self.began and self.server is not None:
            self._state.paces.note(self.server, self.model, now - self.last_progress, now)
        self.last_progress = now
        if not self._streams:
            self._answer += data
            if len(self._answer) > MAX_ANSWER_BYTES:
                self._fail(Failure.UNKNOWN, "answer_too_large")
            return
        whole = self._events.feed(data)
        if whole:
            self._note_began()
            self._pass_events(whole, now)

    def _pass_events(self, whole: bytes, now: float) -> None:
        if not self._head_passed:
            self._head_passed = True
            self._first_byte_at = now
            self._reply.start(self._status, self._head)
        self._reply.write(whole)

    def _got_end(self) -> None:
        if self.done:
            return
        if self._streams and (self._events.partial or not self._head_passed):
            self._fail(Failure.UNKNOWN, "stream_cut")
            return
        self._exchange = None
        self._release()
        if self._streams:
            self._reply.end()
        else:
            self._first_byte_at = self._state.clock.now()
            self._reply.whole(self._status, self._head, bytes(self._answer))
        self._state.metrics.sends.inc({"end": "answered"})
        self._finish("answered")

    def _lost(self, reason: LossReason) -> None:
        now = self._state.clock.now()
        assert self.server is not None
        if reason is LossReason.CONNECT_FAILED:
            self._state.avoid(self.server, now)
            self._on_stalled(self.server)
            self._connects_failed += 1
            self._fail(Failure.NOT_SENT, reason.value)
        else:
            self._fail(Failure.UNKNOWN, reason.value)

    def _fail(self, failure: Failure, reason: str) -> None:
        """A send has failed: again, or end with the true outcome."""
        now = self._state.clock.now()
        self._reason = reason
        self._state.metrics.sends.inc({"end": reason})
        self._cancel()
        again = next_step(self.route, failure, self._progress(), self._ends_at - now, budget=True)
        free = failure is Failure.NOT_SENT
        if again is NextStep.AGAIN and (free or self._may_repeat(now)):
            self.try_send()
            return
        self._end_unserved(0.0)

    def _may_repeat(self, now: float) -> bool:
        return self._state.budget(self._service).take(self._state.nodes, now)

    def _progress(self) -> Progress:
        return Progress(self._sends, self._runs, self._head_passed, self._connects_failed)

    # Ends

    def _end_unserved(self, retry_after_s: float) -> None:
        """End a request without a whole answer, with the true outcome."""
        if self.done:
            return
        self._cancel()
        if self._head_passed:
            self._reply.abort()
            self._finish("cut")
        elif self._runs == 0:
            headers = (("Retry-After", f"{max(0.0, retry_after_s):.3f}"),)
            self._status = 503
            self._reply.whole(503, headers, b"")
            self._finish("refused")
        else:
            self._status = 502
            self._reply.whole(502, (), b"")
            self._finish("failed")

    def _on_time_over(self) -> None:
        if self.done:
            return
        self._reason = "time_over"
        self._cancel()
        if self._head_passed or self._runs == 0:
            self._end_unserved(0.0)
            return
        self._status = 504
        self._reply.whole(504, (), b"")
        self._finish("timeout")

    def _on_gone(self) -> None:
        if not self.done:
            self._reason = "caller_left"
            self._cancel()
            self._finish("caller_left")

    def _cancel(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.cancel()
        self._release()

    def _release(self) -> None:
        if self.server is not None:
            self._note_began()
            self._state.loads.ended(self.server)
            self.server = None

    def _note_began(self) -> None:
        if not self.began and self.server is not None:
            self.began = True
            self._state.loads.began(self.server, self._read_tokens)

    def _note_load(self, headers: Headers) -> None:
        value = next((value for name, value in headers if name == WireHeader.SERVER_LOAD), None)
        load = parse_server_load(value)
        if load is not None and self.server is not None and load.waiting > load.slots:
            now = self._state.clock.now()
            self._state.loads.told_full(self.server, now + FULL_S)

    def _finish(self, outcome: str) -> None:
        self.done = True
        self.held = False
        now = self._state.clock.now()
        read_at = self._request.read_at
        metrics = self._state.metrics
        metrics.requests.inc({"kind": self.route.kind.value, "status": str(self._status)})
        metrics.duration.observe({"kind": self.route.kind.value}, now - read_at)
        first = self._first_byte_at
        if first is not None:
            metrics.first_byte.observe({"kind": self.route.kind.value}, first - read_at)
        log_event(
            "request",
            id=self._id,
            route=self.route.name,
            outcome=outcome,
            status=self._status,
            reason=self._reason or "-",
            servers="+".join(self._tried) or "-",
            sends=self._sends,
            first_ms=-1 if first is None else int((first - read_at) * 1000),
            ms=int((now - read_at) * 1000),
            config=self._state.config.version if self._state.config else 0,
        )
        self._on_done(self)


def _work_of(request: HttpRequest) -> Work:
    counts = parse_token_counts(request.header(WireHeader.TOKENS))
    prompt, most = counts or (0, 0)
    hint = request.header(WireHeader.LENGTH_HINT)
    answer = min(int(hint), most) if hint and hint.isdigit() and most else most
    return Work(prompt, answer)
