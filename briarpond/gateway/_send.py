"""One send of a request to a backend server: its exchange, its progress and its load."""

from collections.abc import Callable
from functools import partial

import msgspec

from briarpond.dispatch import DamagedEventError, SendFailure, count_events
from briarpond.ids import InstanceId
from briarpond.logs import log_event
from briarpond.net import Exchange, Headers, HttpCall, LossReason
from briarpond.platform import PlatformHeader, parse_server_load
from briarpond.quarantine import CrashKey
from briarpond.reachability import LossKind
from briarpond.routes import RouteKind

from ._answer_buffer import AnswerBuffer
from ._answer_head import AnswerHead, read_answer_head
from ._caller_request import forwarded_headers
from ._request_context import RequestContext
from ._request_cost import SendCost
from ._send_state import SendState
from ._targets import ServerChoice

# Time within which a connection to a server must be established.
CONNECT_TIMEOUT_S = 0.4
# How long a server counts as full after it refused a request or reported a long queue.
FULL_DURATION_S = 0.15
# Parts of a prompt that a line of the log names.
MAX_LOGGED_PARTS = 16


class SendCallbacks(msgspec.Struct, frozen=True):
    """What a send tells its request, and asks it.

    Attributes
    ----------
    on_sent : callable
        The first byte of the request is about to be sent.
    head_problem : callable
        Takes the head of the answer; returns the reason for which it is of no use, or None.
    on_events : callable
        Takes the bytes of complete events, and whether they have fields.
    on_end : callable
        The answer has ended in order.
    on_failed : callable
        Takes the kind of failure and its reason: there will be no complete answer.
    on_unusable : callable
        Takes a server that is unreachable or reports a stalled group.
    guard : callable
        Runs a function with arguments, so that an exception ends this request and no other.
    """

    on_sent: Callable[["Send"], None]
    head_problem: Callable[[AnswerHead], str | None]
    on_events: Callable[["Send", bytes, bool], None]
    on_end: Callable[["Send"], None]
    on_failed: Callable[["Send", SendFailure, str], None]
    on_unusable: Callable[[InstanceId], None]
    guard: Callable[..., None]


class Send:
    """Sends a request to one backend server and reads the answer.

    Parameters
    ----------
    context : RequestContext
        The request.
    choice : ServerChoice
        The server.
    callbacks : SendCallbacks
        Told what becomes of the send.
    now : float
        Present time.

    Attributes
    ----------
    server : InstanceId
        The server.
    number : int
        Sends of the request so far, with this one from its first byte on.
    is_open : bool
        Whether the send is under way. Later bytes of its answer are discarded.
    last_progress : float
        Time at which the send began or last received part of an answer.
    first_event_seen : bool
        Whether the send has received a complete event, or has ended.
    progress : SendState
        How far the send has come.
    head : AnswerHead or None
        Status and headers of the answer, if they are of use; None before.
    buffer : AnswerBuffer
        What is kept of the answer.
    runs : int
        Servers at which the request may have run by this send once a byte of it was sent.
    runs_to_come : int
        Servers that may be added to them without a word to this node.
    """

    runs_to_come: int = 0

    def __init__(
        self,
        context: RequestContext,
        choice: ServerChoice,
        callbacks: SendCallbacks,
        now: float,
    ) -> None:
        self.server = choice.instance
        self.number = 0
        self.is_open = True
        self.last_progress = now
        self.first_event_seen = False
        self.runs = 1
        self.progress = SendState(now, choice.epoch)
        self.head: AnswerHead | None = None
        self.buffer = AnswerBuffer(context.state.kept_bytes, context.route.repeatable)
        self._context = context
        self._state = context.state
        self._caller = context.caller
        self._address = choice.address
        self._callbacks = callbacks
        self._exchange: Exchange | None = None
        # Whether the send is counted among those whose first byte has not left.
        self._is_reserved = False
        self._prompt_tokens = context.caller.size.prompt_tokens
        self._cost = SendCost(context.cost, False)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is passed on event by event."""
        has_events = self.head is not None and self.head.status == 200
        return has_events and self._context.route.kind is RouteKind.STREAM

    def start(self, last_event_id: bytes | None) -> None:
        """Connect to the server and send the request.

        Parameters
        ----------
        last_event_id : bytes or None
            Event after which a stream is resumed; None to pass the caller's own on.
        """
        self._cost = SendCost(self._context.cost, last_event_id is not None)
        self._enter_load()
        call = self._make_call(last_event_id, self.progress.began_at)
        self._exchange = self._state.client.start(call)

    def _make_call(self, last_event_id: bytes | None, now: float) -> HttpCall:
        caller = self._caller
        guard = self._callbacks.guard
        return HttpCall(
            self._address,
            caller.http.method,
            caller.http.target,
            self._request_headers(last_event_id, now),
            caller.http.body,
            partial(guard, self._on_head),
            partial(guard, self._on_body),
            partial(guard, self._on_end),
            partial(guard, self._on_lost),
            self._on_sent,
            # Only an id tells this request's answer from a late one to an earlier request.
            reuse_idle=self._context.route.repeatable and caller.id is not None,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, max(0.01, caller.expires_at - now)),
            echoed_header=(None if caller.id is None else (PlatformHeader.REQUEST_ID, caller.id)),
        )

    def _request_headers(self, last_event_id: bytes | None, now: float) -> Headers:
        return forwarded_headers(
            self._caller,
            self.server,
            self._context.tenant,
            last_event_id,
            now,
            self._context.server_priority,
        )

    def cancel(self) -> None:
        """End the send; its connection is closed, and the rest of its answer is discarded."""
        if self.is_open and self._exchange is not None:
            self._exchange.cancel()
        self.finish()

    def finish(self) -> None:
        """Remove the send from the load of its server, and drop what is kept of the answer."""
        if not self.is_open:
            return
        self._mark_first_event()
        self.is_open = False
        self.buffer.clear()
        self._leave_load()

    def _enter_load(self) -> None:
        """Count the send in the load of its server."""
        self._state.load_tracker.record_sent(self.server, self._prompt_tokens, self._cost.unwritten)
        self._state.cold_link.sends.reserve(self.server)
        self._is_reserved = True

    def _leave_load(self) -> None:
        if self._is_reserved:
            self._is_reserved = False
            self._state.cold_link.sends.release(self.server)
        self._state.load_tracker.record_end(self.server, self._cost.unwritten)

    # Records

    def log_lost(self, reason: str, now: float) -> None:
        """Log that the send got no complete answer, and how far it had come."""
        progress = self.progress
        streaming_s = progress.streaming_s(now)
        self._state.metrics.lost_sends.inc({"phase": progress.phase.value, "reason": reason})
        log_event(
            "send_lost",
            id=self._caller.id,
            server=self.server,
            reason=reason,
            phase=progress.phase.value,
            send=self.number,
            ms=int((now - progress.began_at) * 1000),
            streaming_ms=-1 if streaming_s is None else int(streaming_s * 1000),
            server_in_flight=self._state.load_tracker.own_in_flight(self.server),
            parts="+".join(self._caller.prompt_parts[:MAX_LOGGED_PARTS]) or "-",
            part_count=len(self._caller.prompt_parts),
        )

    def record_crash(self, now: float) -> None:
        """Record that the server may have ended under this request."""
        if not self._context.runs_in_group:
            return
        may_be_why = self.progress.may_have_ended_server(now)
        requests = (self._caller.prompt_parts,) if may_be_why else ()
        key = CrashKey(self.server, self.progress.epoch)
        quarantine = self._state.quarantine
        self._state.hold_loss(
            self.server, LossKind.CRASH, lambda: quarantine.record_crash(key, requests, now)
        )

    def record_survival(self, now: float) -> None:
        """Record that the server has written a whole answer to this request and goes on.

        An error shows nothing: it may come before the server begins to write on the prompt.
        """
        if self.head is None or self.head.is_error or not self._context.runs_in_group:
            return
        progress = self.progress
        began_at = progress.began_at
        if progress.events_began_at is not None:
            began_at = progress.events_began_at
        self._state.quarantine.record_survival(self._caller.prompt_parts, began_at, now)

    # Answers

    def _on_sent(self) -> None:
        self.progress.was_sent = True
        if self._is_reserved:
            self._is_reserved = False
            self._state.cold_link.sends.record_sent(self.server, self._state.clock.now())
        if self._exchange is not None:
            # Not called within `start`, as with a connection that was kept: this one is new.
            now = self._state.clock.now()
            self._state.reachability.note_connected(self.progress.began_at, now)
        self._callbacks.on_sent(self)

    def _on_head(self, status: int, headers: Headers) -> None:
        if not self.is_open:
            return
        now = self._state.clock.now()
        head = read_answer_head(status, headers)
        self.last_progress = now
        self.progress.head_received = True
        self.progress.is_framed = head.is_framed
        self._record_load(head, now)
        if head.is_not_executed:
            self._on_not_executed(head, now)
            return
        problem = self._callbacks.head_problem(head)
        if problem is None:
            self.head = head
        else:
            self._callbacks.on_failed(self, SendFailure.UNKNOWN, problem)

    def _on_not_executed(self, head: AnswerHead, now: float) -> None:
        """Handle an answer by which the server states that it has not run the request."""
        if head.header(PlatformHeader.FAILED_SERVER):
            # Before it is avoided: a server that is avoided already is not reported again.
            self._callbacks.on_unusable(self.server)
        if head.status == 421:
            self._state.avoid(self.server, now)
        else:
            self._state.load_tracker.mark_full(self.server, now + FULL_DURATION_S)
        reason = f"turned_away_{head.status}"
        self._callbacks.on_failed(self, SendFailure.NOT_EXECUTED, reason)

    def _on_body(self, data: bytes) -> None:
        if not self.is_open:
            return
        now = self._state.clock.now()
        if not self.is_stream:
            self.last_progress = now
            if not self.buffer.add_to_body(data):
                self._give_up_on_server("answer_too_large", now)
            return
        try:
            complete_events = self.buffer.take_events(data)
        except DamagedEventError:
            self._give_up_on_server("event_damaged", now)
            return
        if not self.buffer.may_keep_event():
            self._give_up_on_server("event_too_large", now)
            return
        event_count = count_events(complete_events)
        if event_count:
            self._record_progress(event_count, now)
            self._mark_first_event()
        if complete_events:
            self._callbacks.on_events(self, complete_events, event_count > 0)

    def _give_up_on_server(self, reason: str, now: float) -> None:
        """End the send, since the server sends bytes that are no stream of events."""
        self._state.avoid(self.server, now)
        self._callbacks.on_failed(self, SendFailure.UNKNOWN, reason)

    def _on_end(self) -> None:
        if self.is_open:
            self._callbacks.on_end(self)

    def _on_lost(self, reason: LossReason) -> None:
        if not self.is_open:
            return
        now = self._state.clock.now()
        self.log_lost(reason.value, now)
        if reason not in (LossReason.MALFORMED, LossReason.INVALID_REQUEST):
            self._state.reachability.note_failure(self.server, now)
        if reason is LossReason.CONNECT_FAILED:
            self._callbacks.on_unusable(self.server)
        if reason.not_sent:
            self._callbacks.on_failed(self, SendFailure.NOT_SENT, reason.value)
            return
        if reason is LossReason.MALFORMED and not self._context.runs_in_group:
            # Another plain server can do the same; a group would be missed.
            self._state.avoid(self.server, now)
        if reason is not LossReason.MALFORMED:
            # A server that sends bytes that are no answer has not ended.
            self.record_crash(now)
        self._callbacks.on_failed(self, SendFailure.UNKNOWN, reason.value)

    # Progress and load

    def _record_progress(self, event_count: int, now: float) -> None:
        """Note that events have arrived; bytes that complete none are no progress."""
        was_cut_off = self._state.reachability.was_cut_off_since(self.last_progress)
        if self.first_event_seen and not was_cut_off:
            gap_s = now - self.last_progress
            hosted = self._context.hosted_model
            self._state.event_gap_tracker.record_gap(self.server, hosted, gap_s, now)
            self._context.record_step(self.server, gap_s / event_count, now)
        change = self._cost.add_events(event_count)
        self._state.load_tracker.change_unwritten(self.server, change)
        if self.progress.events_began_at is None:
            self.progress.events_began_at = now
        self.last_progress = now

    def _mark_first_event(self) -> None:
        """Remove the request's prompt from the unread tokens of the server, once."""
        if not self.first_event_seen:
            self.first_event_seen = True
            self._state.load_tracker.record_first_event(self.server, self._prompt_tokens)

    def _record_load(self, head: AnswerHead, now: float) -> None:
        """Treat the server as full if it reports more waiting requests than slots."""
        load = parse_server_load(head.header(PlatformHeader.SERVER_LOAD))
        if load is not None and load.waiting > load.slots:
            self._state.load_tracker.mark_full(self.server, now + FULL_DURATION_S)
