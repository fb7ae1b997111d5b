"""Forwarding of one request: its sends to backend servers and its answer to the caller."""

from collections.abc import Callable

from briarpond.dispatch import (
    MIN_REMAINING_S,
    AdmissionAction,
    RecoveryAction,
    ResumePause,
    SendFailure,
    decide_admission,
    decide_recovery,
    may_await_server,
)
from briarpond.ids import InstanceId, PromptPart, ServiceName
from briarpond.net import HttpReply, HttpRequest, run_guarded
from briarpond.quarantine import Block
from briarpond.reachability import LinkState, Verdict
from briarpond.routes import ModelName, Route, Tenant

from ._answer_head import AnswerHead
from ._caller_reply import CallerReply
from ._caller_request import read_caller_request
from ._hop_choice import CUT_OFF_REASON, REFUSED_PAUSE_S, pause_after_refusal_s
from ._hop_headers import Hop, HopEnd
from ._hop_send import HopSend, is_connecting_to_server, limit_attempts
from ._outcome import Ending, Outcome, record_ending
from ._pressure import Pressure, RequestPressure
from ._request_context import RequestContext, best_choice, choose_helper_for
from ._request_sends import SILENT_REASON, RequestSends
from ._send import Send, SendCallbacks
from ._state import NodeState
from ._targets import ServerChoice

# A second send to another server waits this long for checks of this node's own links, in seconds.
MAX_VERDICT_WAIT_S = 0.3


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
    hop : Hop or None
        What the node that has passed the request on tells of it; None if a caller has sent it here.

    Attributes
    ----------
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
        hop: Hop | None = None,
    ) -> None:
        if hop is not None:
            route = limit_attempts(route, hop.attempts)
        self.route = route
        self.done = False
        self.held = False
        self._state = state
        self._reply = CallerReply(reply, route, None if hop is None else self._describe_end)
        self._service = service
        self._on_done = on_done
        self._caller = read_caller_request(request, route.timeout_s)
        self._context = RequestContext(state, route, service, tenant, self._caller, hop=hop)
        callbacks = SendCallbacks(
            self._on_sent,
            self._head_problem,
            self._on_events,
            self._on_end,
            self._on_send_failed,
            on_stalled,
            self._run_confined,
        )
        self._sends = RequestSends(self._context, callbacks)
        self._pressure = RequestPressure(self._context)
        self._resume_pause = ResumePause()
        self._reason = ""
        self._quarantined_part: PromptPart | None = None
        self._is_send_granted = False
        self._paused_until = float("-inf")
        reply.on_disconnect = self._on_caller_gone

    @property
    def sort_key(self) -> tuple[int, float]:
        """Sort key among held requests: priority (0 is the most urgent), then arrival."""
        return self._context.priority, self._caller.http.read_at

    @property
    def open_sends(self) -> tuple[Send, ...]:
        """Sends that are under way, the earliest first."""
        return tuple(self._sends.open)

    @property
    def was_tried(self) -> bool:
        """Whether the request was sent to a server, or a connection was opened for it."""
        return bool(self._sends.tried)

    def silent_s(self, now: float) -> float:
        """Return the seconds since a send under way, or else the request, has made progress."""
        latest = max((send.last_progress for send in self._sends.open), default=None)
        return now - (self._caller.http.read_at if latest is None else latest)

    def start(self) -> None:
        """Count the request, start its timeout and try to send it."""
        state = self._state
        now = state.clock.now()
        self._count_for_retry_budget(now)
        engine = state.engine(self._service)
        if engine is not None and self._context.hop is None:
            state.count_demand(self._context.hosted_model, engine, self._caller.size, now)
        state.clock.after(self._caller.expires_at - now, self._on_timeout)
        self.try_send()

    def _count_for_retry_budget(self, now: float) -> None:
        """Let the request raise the retry budget here, or at the node that it is passed to."""
        hop = self._context.hop
        if hop is not None and hop.is_counted:
            return
        self._sends.is_counted = choose_helper_for(self._context, (), now) is None
        if self._sends.is_counted:
            self._state.retry_budget(self._service).record_request(now)

    def refuse(self, reason: str, retry_after_s: float) -> None:
        """End a request that was not started as not run."""
        self._reason = reason
        self._end_without_answer(retry_after_s)

    @property
    def longest_duration_s(self) -> float:
        """Seconds within which a server answers the request; infinite if not known."""
        return self._context.longest_duration_s

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
        if self.done or self._sends.open:
            return
        now = self._state.clock.now()
        if now < self._paused_until:
            self.held = True
            return
        if self._must_give_back(now):
            self._give_back()
            return
        block = self._context.quarantine_block(now)
        if block is not None:
            self._end_in_quarantine(block)
            return
        choice = best_choice(self._context, self._sends.excluded, now)
        waited_s = now - self._caller.http.read_at
        first_event_goal_s = self.route.first_byte_goal_s or self.route.timeout_s
        if self._reply.has_begun:
            self._continue_stream(choice, now)
            return
        pressure = Pressure()
        if not self.was_tried and (choice is None or choice.helper is None):
            pressure = self._pressure.rate(choice, first_event_goal_s, now)
        if pressure.reason is not None:
            self._refuse_for_load(pressure.reason.value, pressure.retry_after_s)
            return
        decision = decide_admission(
            None if choice is None else choice.expected_s,
            choice is not None and choice.has_room,
            waited_s,
            first_event_goal_s,
            self._caller.expires_at - now,
            first_event_goal_s,
            pressure.hold_fraction,
        )
        self.held = decision.action is AdmissionAction.HOLD
        if decision.action is AdmissionAction.SEND and choice is not None:
            self._send(choice, now)
        elif decision.action is AdmissionAction.REFUSE:
            retry_after_s = pressure.retry_after_s or decision.retry_after_s
            self._refuse_for_load("no_group" if choice is None else "no_room", retry_after_s)

    def _refuse_for_load(self, reason: str, retry_after_s: float) -> None:
        self._reason = reason
        labels = {"reason": reason, "priority": str(self._context.priority)}
        self._state.metrics.overload_refusals.inc(labels)
        self._end_without_answer(retry_after_s)

    def end_if_not_begun(self, part: PromptPart) -> None:
        """End a request with a part that was put in quarantine, unless its answer has begun.

        A server that has not begun to write may be saved by closing the connection.
        """
        if self.done or part not in self._caller.prompt_parts:
            return
        now = self._state.clock.now()
        block = self._context.quarantine_block(now, (part,))
        if block is None:
            return
        not_begun = self._sends.without_event
        if len(not_begun) == len(self._sends.open):
            if not self._reply.has_begun:
                self._end_in_quarantine(block)
            return
        for send in not_begun:
            self._sends.end(send, "quarantined", now)

    def _end_in_quarantine(self, block: Block) -> None:
        self._reason = "quarantined"
        self._quarantined_part = block.part
        self._state.metrics.quarantine_refusals.inc({})
        self._end_without_answer(block.retry_after_s)

    def end_at_shutdown(self) -> None:
        """End the request because the process is about to exit."""
        if not self.done:
            if self._sends.open or not self._reason:
                self._reason = "stopping"
            self._end_without_answer(0.0)

    def hedge(self, now: float) -> None:
        """Send the request to another server too, since those that have it are silent.

        The sends in hand go on: a silent server may be about to answer, and the other one may
        turn the request away. The first whose events go on ends the others.
        """
        self._run_confined(self._hedge, now)

    def _hedge(self, now: float) -> None:
        if self.done or not self._sends.may_hedge_at(now) or self._awaits_verdict(now):
            return
        if self._must_give_back(now) and self.route.repeatable:
            self._give_back_silent(now)
            return
        if not self._context.may_hedge(self._sends.progress(self._reply.has_begun), now):
            return
        self._sends.forget_refusals()
        choice = best_choice(self._context, self._sends.excluded, now)
        if choice is not None and choice.has_room and self._context.take_hedge(now):
            self._sends.log_hedge(choice.instance, now)
            self._send(choice, now)
        else:
            self._sends.delay_hedge(now)

    def _awaits_verdict(self, now: float) -> bool:
        """Whether this node's own links may be why the servers are silent, and are checked now.

        A second send would be lost as well, and use up an attempt.
        """
        reachability = self._state.reachability
        if reachability.state() is not LinkState.IN_DOUBT:
            return False
        silent_since = max(send.last_progress for send in self._sends.open)
        if reachability.verdict(silent_since) is not Verdict.HOLD:
            return False
        return self._sends.hedge_waited_s(now) < MAX_VERDICT_WAIT_S

    def reroute(self, now: float) -> None:
        """Take the request off servers to which no connection is open, if a node can pass it on."""
        self._run_confined(self._reroute, now)

    def _reroute(self, now: float) -> None:
        connecting = [send for send in self._sends.open if is_connecting_to_server(send)]
        if self.done or not connecting:
            return
        helper = choose_helper_for(self._context, self._sends.excluded, now)
        if helper is None and not self._must_give_back(now):
            return
        for send in connecting:
            send.log_lost(CUT_OFF_REASON, now)
            self._on_send_failed(send, SendFailure.NOT_SENT, CUT_OFF_REASON)

    def _must_give_back(self, now: float) -> bool:
        """Whether the request was passed to this node, which is now cut off from servers itself."""
        return self._context.hop is not None and self._state.reachability.is_cut_off(now)

    def _give_back_silent(self, now: float) -> None:
        """Give a silent request back if the node that has passed it on can do better.

        Otherwise it stays here: its channel may live on although new ones are refused.
        """
        hop, state = self._context.hop, self._state
        is_last = hop is None or not hop.keeps_attempt
        if is_last or state.hops.choose((), state.is_avoided, now) is None:
            self._sends.delay_hedge(now)
        else:
            self._give_back()

    def _give_back(self) -> None:
        """End a request of another node, which goes on with what is left of its attempts."""
        self._reason = CUT_OFF_REASON
        self._end_without_answer(0.0)

    # Sends

    def _continue_stream(self, choice: ServerChoice | None, now: float) -> None:
        if not self._resume_pause.is_over(now):
            self.held = True
        elif choice is not None and choice.has_room and self._may_send_again(now):
            self._send(choice, now)
        else:
            self._hold_begun_stream()

    def _may_send_again(self, now: float) -> bool:
        """Whether another send was granted when the last one ended, or is granted now."""
        return self._is_send_granted or self._context.take_retry_budget(now)

    def _send(self, choice: ServerChoice, now: float) -> None:
        self.held = False
        self._is_send_granted = False
        self._sends.start(choice, self._reply.last_event_id, now)

    def _on_sent(self, send: Send) -> None:
        self._sends.record_sent(send)

    # Answers

    def _head_problem(self, head: AnswerHead) -> str | None:
        """Return why an answer with this head is of no use; None if it is of use."""
        if head.is_error and len(self._sends.open) > 1:
            # The server that also has the request may do better.
            return f"status_{head.status}"
        return self._reply.head_problem(head)

    def _on_events(self, send: Send, complete_events: bytes, are_progress: bool) -> None:
        """Pass complete events on to the caller; those of one send end the others."""
        problem = self._later_problem(send)
        if problem is not None:
            self._on_send_failed(send, SendFailure.UNKNOWN, problem)
            return
        if are_progress:
            self._keep_only(send)
        elif send is not self._sends.open[0]:
            return
        self._reply.pass_on(send, complete_events, self._state.clock.now())

    def _on_end(self, send: Send) -> None:
        now = self._state.clock.now()
        problem = self._later_problem(send)
        if problem is None and send.is_stream and self._reply.is_cut_short(send):
            problem = "stream_cut"
            send.log_lost(problem, now)
            send.record_crash(now)
        if problem is not None:
            self._on_send_failed(send, SendFailure.UNKNOWN, problem)
            return
        self._keep_only(send)
        send.record_survival(now)
        body = send.buffer.body
        self._sends.record_answer(send)
        if send.is_stream:
            self._reply.end_stream()
        else:
            assert send.head is not None
            self._reply.send_whole(send.head, body, now)
        self._state.metrics.sends.inc({"end": "answered"})
        # The caller may have left while the answer was written, which ends the request.
        if not self.done:
            self._finish(Outcome.ANSWERED)

    def _later_problem(self, send: Send) -> str | None:
        """Return why an answer is of no use, though its head was when it came; else None.

        The answer to the caller may have begun since, with the head of another send.
        """
        assert send.head is not None
        return self._reply.head_problem(send.head)

    def _keep_only(self, send: Send) -> None:
        """End the other sends, since this one goes on."""
        if self._sends.keep_only(send, self._state.clock.now()):
            self._reason = SILENT_REASON

    def _on_send_failed(self, send: Send, failure: SendFailure, reason: str) -> None:
        """Go on with another send in hand, or repeat the request if permitted, or end it."""
        now = self._state.clock.now()
        self._reason = reason
        self._state.metrics.sends.inc({"end": reason})
        self._sends.record_failure(send, failure)
        is_hop_refused = isinstance(send, HopSend) and failure is SendFailure.NOT_EXECUTED
        if is_hop_refused and self._sends.sent and send.has_reached_no_server:
            self._context.restore_retry_grant(now)
        if self._sends.open:
            return
        if is_hop_refused:
            self._on_hop_refused(send, now)
            return
        if isinstance(send, HopSend) and send.is_time_over:
            self._on_timeout()
            return
        progress = self._sends.progress(self._reply.has_begun)
        remaining_s = self._caller.expires_at - now
        is_suspect = self._context.is_suspect(now)
        if self._reply.has_begun and failure is not SendFailure.UNKNOWN:
            self._resume_pause.begin(remaining_s, now)
        recovery = decide_recovery(
            self.route, failure, progress, remaining_s, has_retry_budget=True, is_suspect=is_suspect
        )
        if recovery is RecoveryAction.RETRY:
            self._repeat(failure is SendFailure.NOT_SENT or self._context.take_retry_budget(now))
        elif may_await_server(failure, progress, remaining_s, is_suspect):
            self._hold_begun_stream()
        else:
            self._end_without_answer(0.0)

    def _on_hop_refused(self, send: HopSend, now: float) -> None:
        """Pass a request that a node has refused as not run to another one, or end it."""
        assert send.end is not None
        remaining_s = self._caller.expires_at - now
        if self._reply.has_begun:
            self._resume_pause.begin(remaining_s, now)
            self._hold_begun_stream()
            return
        pause_s = pause_after_refusal_s(send.end.reason, self._sends.hop_refusals)
        is_too_late = pause_s is None or remaining_s - pause_s < MIN_REMAINING_S
        if is_too_late or not self._may_offer_again(now):
            self._end_without_answer(send.end.retry_after_s)
            return
        if choose_helper_for(self._context, self._sends.excluded, now) is None:
            pause_s = REFUSED_PAUSE_S
        if pause_s:
            self._sends.forget_refusals()
        self._paused_until = now + pause_s
        self.try_send()

    def _may_offer_again(self, now: float) -> bool:
        """Whether the request has reached no server yet, or the retry budget grants a repeat."""
        return not self._sends.sent or self._context.take_retry_budget(now)

    def _repeat(self, is_granted: bool) -> None:
        """Send the request once more if the retry budget grants it; a begun stream waits for it."""
        self._is_send_granted = is_granted
        if is_granted:
            self.try_send()
        elif self._reply.has_begun:
            self._hold_begun_stream()
        else:
            self._end_without_answer(0.0)

    def _hold_begun_stream(self) -> None:
        """Wait for a server with room; one that has turned the stream away may be asked again."""
        self.held = True
        self._sends.forget_refusals()

    # End of the request

    def _run_confined(self, step: Callable[..., None], *args: object) -> None:
        """Run a step of this request; if it raises, end this request and no other."""
        if run_guarded("request", step, *args) or self.done:
            return
        self._reason = "internal_error"
        self._end_without_answer(0.0)

    def _describe_end(self) -> HopEnd:
        """Return what the node that has passed the request on is told of it."""
        return HopEnd(self._reason, self._sends.possible_runs)

    def _end_without_answer(self, retry_after_s: float) -> None:
        """End a request that got no complete answer.

        An answer that has begun is cut off. Otherwise the status is 503 only if the request
        has certainly not run, and 502 if it may have run.
        """
        if self.done:
            return
        self._sends.cancel_all()
        if self._reply.has_begun:
            self._reply.cut()
            self._finish(Outcome.CUT)
        elif self._sends.possible_runs == 0:
            self._reply.refuse(retry_after_s)
            self._finish(Outcome.REFUSED)
        else:
            self._reply.fail(502)
            self._finish(Outcome.FAILED)

    def _on_timeout(self) -> None:
        if self.done:
            return
        self._reason = "time_over"
        self._sends.cancel_all()
        if self._reply.has_begun or self._sends.possible_runs == 0:
            self._end_without_answer(0.0)
            return
        self._reply.fail(504)
        self._finish(Outcome.TIMED_OUT)

    def _on_caller_gone(self) -> None:
        if not self.done:
            self._reason = "caller_left"
            self._sends.cancel_all()
            self._finish(Outcome.CALLER_LEFT)

    def _finish(self, outcome: Outcome) -> None:
        self.done = True
        self.held = False
        self._context.release_retry_budget()
        # Request and sends refer to each other, and cyclic garbage may stay for long.
        self._caller.http.body = b""
        now = self._state.clock.now()
        ending = Ending(outcome, self._reason, self._quarantined_part)
        record_ending(self._context, self._sends, self._reply, ending, now)
        self._on_done(self)
