"""Forwarding of one request: its sends to backend servers and its answer to the caller."""

from collections.abc import Callable
from functools import partial

from briarpond.dispatch import (
    MIN_REMAINING_S,
    AdmissionAction,
    DamagedEventError,
    RecoveryAction,
    SendFailure,
    SendProgress,
    decide_admission,
    decide_recovery,
    has_fields,
)
from briarpond.ids import InstanceId, PromptPart, ServiceName
from briarpond.logs import log_event
from briarpond.net import (
    Exchange,
    Headers,
    HttpCall,
    HttpReply,
    HttpRequest,
    LossReason,
    media_type,
    run_guarded,
)
from briarpond.platform import (
    HOP_BY_HOP_HEADERS,
    PlatformHeader,
    parse_server_load,
)
from briarpond.quarantine import Block, CrashKey
from briarpond.routes import ModelName, Route, RouteKind, Tenant

from ._answer_buffer import AnswerBuffer
from ._caller_request import forwarded_headers, read_caller_request
from ._send_state import SendPhase, SendState
from ._state import NodeState
from ._stopping import longest_duration_s
from ._targets import ServerChoice, best_group, best_server

# Time within which a connection to a server must be established.
CONNECT_TIMEOUT_S = 0.4
# How long a server counts as full after it refused a request or reported a long queue.
FULL_DURATION_S = 0.15
# Sends of a stream that has begun, those included that servers turned away or that found no
# connection.
MAX_SENDS_OF_BEGUN_STREAM = 8
# Statuses with which a server may state that it has not executed a request.
NOT_EXECUTED_STATUSES = frozenset({421, 429, 503})
# Headers by which an answer states where it ends.
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
# Headers of a server's answer that are not sent to the caller.
_DROPPED_ANSWER_HEADERS = HOP_BY_HOP_HEADERS | {"content-length"}


class ForwardedRequest:
    """Sends a request to a backend server, relays the answer and repeats failed sends.

    Parameters
    ----------
    state : NodeState
        Shared state of the node.
    request : HttpRequest
        The caller's request.
    reply : HttpReply
        Receives the answer.
    route : Route
        Route that the request matched.
    service : ServiceName
        Service of the route whose servers the request is sent to.
    tenant : Tenant or None
        Client account that the key of the request belongs to; None without a known key.
    on_done : callable
        Called once with this object when the request has ended.
    on_stalled : callable
        Called with a server that is unreachable or reports a stalled group.

    Attributes
    ----------
    server : InstanceId or None
        Server of the present send; None while there is none.
    last_progress : float
        Time at which the present send began or last received part of an answer.
    first_event_seen : bool
        Whether the present send has received a complete event, or has ended.
    done : bool
        Whether the request has ended.
    held : bool
        Whether the request waits for a server with room.
    """

    def __init__(
        self,
        state: NodeState,
        request: HttpRequest,
        reply: HttpReply,
        route: Route,
        service: ServiceName,
        tenant: Tenant | None,
        on_done: Callable[["ForwardedRequest"], None],
        on_stalled: Callable[[InstanceId], None],
    ) -> None:
        self.route = route
        self.server: InstanceId | None = None
        self.last_progress = 0.0
        self.first_event_seen = False
        self.done = False
        self.held = False
        self._state = state
        self._reply = reply
        self._service = service
        self._tenant = tenant
        self._on_done = on_done
        self._report_stalled = on_stalled
        self._caller = read_caller_request(request, route.timeout_s)
        self._request_key = self._caller.id or f"unnamed-{id(self)}"
        self._exchange: Exchange | None = None
        self._tried: list[InstanceId] = []
        # Servers that are not chosen, and those that may have run the request.
        self._excluded: list[InstanceId] = []
        self._ran_at: list[InstanceId] = []
        self._is_send_granted = False
        self._sends = 0
        self._possible_runs = 0
        self._failed_connects = 0
        self._status = 0
        self._buffer = AnswerBuffer(state.kept_bytes, route.repeatable)
        self._answer_headers: Headers = ()
        self._is_stream = False
        self._headers_forwarded = False
        self._first_byte_at: float | None = None
        self._prompt_tokens = 0
        self._send_state = SendState(request.read_at)
        self._quarantined_part: PromptPart | None = None
        self._reason = ""
        reply.on_disconnect = self._on_caller_gone

    @property
    def sort_key(self) -> tuple[int, float]:
        """Sort key among held requests: priority (0 is the most urgent), then arrival."""
        tenant = self._tenant
        route_priority = self.route.priority
        priority = tenant.priority if tenant and tenant.priority is not None else route_priority
        return priority, self._caller.http.read_at

    def start(self) -> None:
        """Count the request, start its timeout and try to send it."""
        state = self._state
        now = state.clock.now()
        state.retry_budget(self._service).record_request(now)
        engine = state.engine(self._service)
        if engine is not None:
            state.count_demand(self._caller.model, engine, self._caller.size, now)
        state.clock.after(self._caller.expires_at - now, self._on_timeout)
        self.try_send()

    def refuse(self, reason: str, retry_after_s: float) -> None:
        """End a request that was not started as not run."""
        self._reason = reason
        self._end_without_answer(retry_after_s)

    @property
    def longest_duration_s(self) -> float:
        """Seconds within which a server answers the request; infinite if not known.

        The caller's own estimate of the length counts only if the request may be repeated.
        """
        caller = self._caller
        engine = self._state.engine(self._service)
        answer_tokens = (
            caller.size.answer_tokens if self.route.repeatable else caller.max_answer_tokens
        )
        return longest_duration_s(engine, caller.model, caller.size.prompt_tokens, answer_tokens)

    @property
    def expires_at(self) -> float:
        """Time of the deadline, or of the route's timeout if that is earlier."""
        return self._caller.expires_at

    @property
    def model(self) -> ModelName:
        """Model that the request names; empty if none."""
        return self._caller.model

    def try_send(self) -> None:
        """Send the request to the best server, hold it until one has room, or refuse it."""
        self._run_confined(self._try_send)

    def _try_send(self) -> None:
        if self.done or self._exchange is not None:
            return
        now = self._state.clock.now()
        block = self._state.quarantine.check(self._caller.prompt_parts, self._request_key, now)
        if block is not None:
            self._end_in_quarantine(block)
            return
        choice = self._choose(now)
        waited_s = now - self._caller.http.read_at
        first_event_goal_s = self.route.first_byte_goal_s or self.route.timeout_s
        if self._headers_forwarded:
            self._continue_stream(choice, now)
            return
        decision = decide_admission(
            None if choice is None else choice.expected_s,
            choice is not None and choice.has_room,
            waited_s,
            first_event_goal_s,
            self._caller.expires_at - now,
            first_event_goal_s,
        )
        self.held = decision.action is AdmissionAction.HOLD
        if decision.action is AdmissionAction.SEND and choice is not None:
            self._send(choice, now)
        elif decision.action is AdmissionAction.REFUSE:
            self._reason = "no_group" if choice is None else "no_room"
            self._end_without_answer(decision.retry_after_s)

    def end_if_not_begun(self, part: PromptPart) -> None:
        """End a request with a part that was put in quarantine, unless its answer has begun.

        A server that has not begun to write may be saved by closing the connection.
        """
        now = self._state.clock.now()
        block = self._state.quarantine.check((part,), self._request_key, now)
        if block is None or self.done or part not in self._caller.prompt_parts:
            return
        if self._exchange is None or self._send_state.phase is not SendPhase.STREAMING:
            self._end_in_quarantine(block)

    def _end_in_quarantine(self, block: Block) -> None:
        self._reason = "quarantined"
        self._quarantined_part = block.part
        self._state.metrics.quarantine_refusals.inc({})
        self._end_without_answer(block.retry_after_s)

    def end_at_shutdown(self) -> None:
        """End the request because the process is about to exit."""
        if not self.done:
            self._reason = self._reason or "stopping"
            self._end_without_answer(0.0)

    def move_off_stalled_server(self, now: float) -> None:
        """Cancel the present send, whose server stalled, and send elsewhere if permitted.

        The present send goes on if the request must not run twice, if the retry budget is
        used up, or if there is no other server. A stream that has begun also needs a server
        with room: to wait for one in vain would end it, while its server may only be silent.
        """
        if self._exchange is None or self.server is None:
            return
        if not self.route.repeatable and self._sends:
            return
        choice = self._choose(now, excluded=self.server)
        if choice is None or (self._headers_forwarded and not choice.has_room):
            return
        recovery = decide_recovery(
            self.route,
            SendFailure.UNKNOWN,
            self._progress(),
            self._caller.expires_at - now,
            has_retry_budget=True,
            is_suspect=self._is_suspect(now),
        )
        if recovery is not RecoveryAction.RETRY or not self._take_retry_budget(now):
            return
        self._is_send_granted = True
        self._reason = "stalled"
        self._log_lost_send(self._reason, now)
        self._cancel_send()
        self.try_send()

    # Sends

    def _choose(self, now: float, excluded: InstanceId | None = None) -> ServerChoice | None:
        state = self._state
        tried = self._excluded if excluded is None else [*self._excluded, excluded]
        engine = state.engine(self._service)
        if engine is None:
            return best_server(state, self._service, tried, now, state.rng)
        return best_group(state, engine, self._caller.model, self._caller.size, tried, now)

    def _continue_stream(self, choice: ServerChoice | None, now: float) -> None:
        has_room = choice is not None and choice.has_room
        if choice is not None and has_room and self._may_send_again(now):
            self._send(choice, now)
        else:
            self._hold_begun_stream()

    def _may_send_again(self, now: float) -> bool:
        """Whether another send was granted when the last one ended, or is granted now."""
        return self._is_send_granted or self._take_retry_budget(now)

    def _send(self, choice: ServerChoice, now: float) -> None:
        state = self._state
        self.held = False
        self.server = choice.instance
        self._tried.append(choice.instance)
        self._excluded.append(choice.instance)
        self._is_send_granted = False
        self.last_progress = now
        self.first_event_seen = False
        self._send_state = SendState(now, choice.epoch)
        self._prompt_tokens = self._caller.size.prompt_tokens
        state.load_tracker.record_sent(choice.instance, self._prompt_tokens)
        call = HttpCall(
            choice.address,
            self._caller.http.method,
            self._caller.http.target,
            forwarded_headers(
                self._caller, choice.instance, self._tenant, self._buffer.last_event_id, now
            ),
            self._caller.http.body,
            partial(self._run_confined, self._on_head),
            partial(self._run_confined, self._on_body),
            partial(self._run_confined, self._on_end),
            partial(self._run_confined, self._on_lost),
            self._on_sent,
            # Only an id tells this request's answer from a late one to an earlier request.
            reuse_idle=self.route.repeatable and self._caller.id is not None,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, max(0.01, self._caller.expires_at - now)),
            echoed_header=(
                None if self._caller.id is None else (PlatformHeader.REQUEST_ID, self._caller.id)
            ),
        )
        self._exchange = state.client.start(call)

    def _on_sent(self) -> None:
        self._sends += 1
        self._possible_runs += 1
        if self.server is not None:
            self._ran_at.append(self.server)
        self._send_state.was_sent = True

    # Answers

    def _on_head(self, status: int, headers: Headers) -> None:
        now = self._state.clock.now()
        self.last_progress = now
        self._send_state.head_received = True
        self._record_load(headers)
        headers_by_name = dict(headers)
        self._send_state.is_framed = not _FRAMING_HEADERS.isdisjoint(headers_by_name)
        not_executed = status == 421 or PlatformHeader.NOT_EXECUTED in headers_by_name
        if not_executed and status in NOT_EXECUTED_STATUSES:
            self._on_not_executed(status, headers_by_name, now)
            return
        is_stamped = PlatformHeader.SERVER_STAMP in headers_by_name
        is_stream = self.route.kind is RouteKind.STREAM and status == 200
        if self._headers_forwarded and not (
            is_stream and is_stamped and media_type(headers) == media_type(self._answer_headers)
        ):
            self._on_send_failed(SendFailure.UNKNOWN, f"resume_status_{status}")
            return
        if 200 <= status < 300 and (not is_stamped or "content-encoding" in headers_by_name):
            self._on_send_failed(SendFailure.UNKNOWN, "no_stamp")
            return
        self._is_stream = is_stream
        if not self._headers_forwarded:
            self._status = status
            self._answer_headers = tuple(
                pair for pair in headers if pair[0] not in _DROPPED_ANSWER_HEADERS
            )

    def _on_not_executed(self, status: int, headers_by_name: dict[str, str], now: float) -> None:
        """Handle an answer by which the server states that it has not run the request."""
        state = self._state
        self._possible_runs -= 1
        assert self.server is not None
        self._ran_at.remove(self.server)
        if headers_by_name.get(PlatformHeader.FAILED_SERVER):
            # Before it is avoided: a server that is avoided already is not reported again.
            self._report_stalled(self.server)
        if status == 421:
            state.avoid(self.server, now)
        else:
            state.load_tracker.mark_full(self.server, now + FULL_DURATION_S)
        self._on_send_failed(SendFailure.NOT_EXECUTED, f"turned_away_{status}")

    def _on_body(self, data: bytes) -> None:
        now = self._state.clock.now()
        if not self._is_stream:
            self.last_progress = now
            if not self._buffer.add_to_body(data):
                self._give_up_on_server("answer_too_large", now)
            return
        try:
            complete_events = self._buffer.take_events(data)
        except DamagedEventError:
            self._give_up_on_server("event_damaged", now)
            return
        if not self._buffer.may_keep_event():
            self._give_up_on_server("event_too_large", now)
            return
        if has_fields(complete_events):
            self._record_progress(now)
            self._mark_first_event()
        if complete_events:
            self._forward_events(complete_events, now)

    def _give_up_on_server(self, reason: str, now: float) -> None:
        """End the send, since the server sends bytes that are no stream of events."""
        assert self.server is not None
        self._state.avoid(self.server, now)
        self._on_send_failed(SendFailure.UNKNOWN, reason)

    def _record_progress(self, now: float) -> None:
        """Note that events have arrived; bytes that complete none are no progress."""
        if self.first_event_seen and self.server is not None:
            self._state.event_gap_tracker.record_gap(
                self.server, self._caller.model, now - self.last_progress, now
            )
        if self._send_state.events_began_at is None:
            self._send_state.events_began_at = now
        self.last_progress = now

    def _forward_events(self, complete_events: bytes, now: float) -> None:
        if not self._headers_forwarded:
            self._headers_forwarded = True
            self._first_byte_at = now
            self._reply.start(self._status, self._answer_headers)
        self._reply.write(complete_events)

    def _on_end(self) -> None:
        if self.done:
            return
        if self._is_stream and self._is_cut_short():
            now = self._state.clock.now()
            self._log_lost_send("stream_cut", now)
            self._record_crash(now)
            self._on_send_failed(SendFailure.UNKNOWN, "stream_cut")
            return
        self._exchange = None
        self._record_survival()
        self._release_server()
        if self._is_stream:
            self._reply.end()
        else:
            self._first_byte_at = self._state.clock.now()
            self._reply.send_whole(self._status, self._answer_headers, self._buffer.body)
        self._buffer.clear()
        self._state.metrics.sends.inc({"end": "answered"})
        self._finish("answered")

    def _is_cut_short(self) -> bool:
        """Whether a stream that has ended in order is not complete all the same."""
        if self._buffer.has_partial_event or not self._headers_forwarded:
            return True
        # A server that has resumed the stream may have nothing left to send, but then it says so.
        has_events = self._send_state.phase is SendPhase.STREAMING
        return not has_events and not self._send_state.is_framed

    def _on_lost(self, reason: LossReason) -> None:
        if self.server is None:
            return  # The send was given up before.
        now = self._state.clock.now()
        self._log_lost_send(reason.value, now)
        if reason is LossReason.CONNECT_FAILED:
            self._report_stalled(self.server)
        if reason.not_sent:
            self._failed_connects += 1
            self._on_send_failed(SendFailure.NOT_SENT, reason.value)
        else:
            if reason is LossReason.MALFORMED and self._state.engine(self._service) is None:
                # Another plain server can do the same; a group would be missed.
                self._state.avoid(self.server, now)
            self._record_crash(now)
            self._on_send_failed(SendFailure.UNKNOWN, reason.value)

    def _log_lost_send(self, reason: str, now: float) -> None:
        """Log that the present send got no complete answer, and how far it had come."""
        send = self._send_state
        streaming_s = send.streaming_s(now)
        self._state.metrics.lost_sends.inc({"phase": send.phase.value, "reason": reason})
        log_event(
            "send_lost",
            id=self._caller.id,
            server=self.server,
            reason=reason,
            phase=send.phase.value,
            send=self._sends,
            ms=int((now - send.began_at) * 1000),
            streaming_ms=-1 if streaming_s is None else int(streaming_s * 1000),
            server_in_flight=self._state.load_tracker.own_in_flight(self.server),
            parts="+".join(self._caller.prompt_parts) or "-",
        )

    def _record_crash(self, now: float) -> None:
        """Record that the server of the present send may have ended under this request."""
        assert self.server is not None
        send = self._send_state
        if self._state.engine(self._service) is None:
            return
        requests = (self._caller.prompt_parts,) if send.may_have_ended_server(now) else ()
        self._state.quarantine.record_crash(CrashKey(self.server, send.epoch), requests, now)

    def _record_survival(self) -> None:
        if self._state.engine(self._service) is None:
            return
        send = self._send_state
        began_at = send.began_at if send.events_began_at is None else send.events_began_at
        now = self._state.clock.now()
        self._state.quarantine.record_survival(self._caller.prompt_parts, began_at, now)

    def _is_suspect(self, now: float) -> bool:
        return self._state.quarantine.is_suspect(self._caller.prompt_parts, now)

    def _on_send_failed(self, failure: SendFailure, reason: str) -> None:
        """Repeat the request after a failed send if permitted; otherwise end it."""
        now = self._state.clock.now()
        self._reason = reason
        self._state.metrics.sends.inc({"end": reason})
        self._cancel_send()
        recovery = decide_recovery(
            self.route,
            failure,
            self._progress(),
            self._caller.expires_at - now,
            has_retry_budget=True,
            is_suspect=self._is_suspect(now),
        )
        needs_no_budget = failure is SendFailure.NOT_SENT
        if recovery is RecoveryAction.RETRY and (needs_no_budget or self._take_retry_budget(now)):
            self._is_send_granted = True
            self.try_send()
        elif self._may_wait_for_another_server(failure, now):
            self._hold_begun_stream()
        else:
            self._end_without_answer(0.0)

    def _may_wait_for_another_server(self, failure: SendFailure, now: float) -> bool:
        """Whether a stream that has begun goes on, though the send that was to resume it failed.

        It does if the server has not run it: only a run that failed uses up the route's attempts.
        """
        return (
            self._headers_forwarded
            and failure is not SendFailure.UNKNOWN
            and self._sends + self._failed_connects < MAX_SENDS_OF_BEGUN_STREAM
            and self._caller.expires_at - now > MIN_REMAINING_S
            and not self._is_suspect(now)
        )

    def _hold_begun_stream(self) -> None:
        """Wait for a server with room; one that has turned the stream away may be asked again."""
        self.held = True
        self._excluded = self._ran_at.copy()

    def _take_retry_budget(self, now: float) -> bool:
        """Whether the retry budget has room for another send; it is counted if so."""
        return self._state.retry_budget(self._service).try_acquire(self._state.node_count, now)

    def _progress(self) -> SendProgress:
        return SendProgress(
            self._sends, self._possible_runs, self._headers_forwarded, self._failed_connects
        )

    # End of the request

    def _run_confined(self, step: Callable[..., None], *args: object) -> None:
        """Run a step of this request; if it raises, end this request and no other."""
        if run_guarded("request", step, *args) or self.done:
            return
        self._reason = "internal_error"
        self._end_without_answer(0.0)

    def _end_without_answer(self, retry_after_s: float) -> None:
        """End a request that got no complete answer.

        An answer that has begun is cut off. Otherwise the status is 503 only if the request
        has certainly not run, and 502 if it may have run.
        """
        if self.done:
            return
        self._cancel_send()
        if self._headers_forwarded:
            self._reply.abort()
            self._finish("cut")
        elif self._possible_runs == 0:
            headers = (("Retry-After", f"{max(0.0, retry_after_s):.3f}"),)
            self._status = 503
            self._reply.send_whole(503, headers, b"")
            self._finish("refused")
        else:
            self._status = 502
            self._reply.send_whole(502, (), b"")
            self._finish("failed")

    def _on_timeout(self) -> None:
        if self.done:
            return
        self._reason = "time_over"
        self._cancel_send()
        if self._headers_forwarded or self._possible_runs == 0:
            self._end_without_answer(0.0)
            return
        self._status = 504
        self._reply.send_whole(504, (), b"")
        self._finish("timeout")

    def _on_caller_gone(self) -> None:
        if not self.done:
            self._reason = "caller_left"
            self._cancel_send()
            self._finish("caller_left")

    def _cancel_send(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.cancel()
        self._buffer.clear()
        self._release_server()

    def _release_server(self) -> None:
        """Remove the present send from the load of its server."""
        if self.server is not None:
            self._mark_first_event()
            self._state.load_tracker.record_end(self.server)
            self.server = None

    def _mark_first_event(self) -> None:
        """Remove the request's prompt from the unread tokens of the server, once per send."""
        if not self.first_event_seen and self.server is not None:
            self.first_event_seen = True
            self._state.load_tracker.record_first_event(self.server, self._prompt_tokens)

    def _record_load(self, headers: Headers) -> None:
        """Treat the server as full if it reports more waiting requests than slots."""
        value = next((value for name, value in headers if name == PlatformHeader.SERVER_LOAD), None)
        load = parse_server_load(value)
        if load is not None and self.server is not None and load.waiting > load.slots:
            now = self._state.clock.now()
            self._state.load_tracker.mark_full(self.server, now + FULL_DURATION_S)

    def _finish(self, outcome: str) -> None:
        self.done = True
        self.held = False
        now = self._state.clock.now()
        read_at = self._caller.http.read_at
        metrics = self._state.metrics
        metrics.requests.inc({"kind": self.route.kind.value, "status": str(self._status)})
        metrics.duration.observe({"kind": self.route.kind.value}, now - read_at)
        first_byte_at = self._first_byte_at
        if first_byte_at is not None:
            metrics.first_byte.observe({"kind": self.route.kind.value}, first_byte_at - read_at)
        log_event(
            "request",
            id=self._caller.id,
            route=self.route.name,
            outcome=outcome,
            status=self._status,
            reason=self._reason or "-",
            servers="+".join(self._tried) or "-",
            sends=self._sends,
            first_ms=-1 if first_byte_at is None else int((first_byte_at - read_at) * 1000),
            ms=int((now - read_at) * 1000),
            part=self._quarantined_part or "-",
            config=self._state.config.version if self._state.config else 0,
        )
        self._on_done(self)
