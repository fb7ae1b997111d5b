"""One send of a request to another node, which passes it to a server of its choice.

To the request it is a send like any other; the other node decides about repeats at servers.
"""

from functools import partial

import msgspec

from briarpond.dispatch import SendFailure
from briarpond.ids import NodeId
from briarpond.net import Headers, HttpCall, LossReason
from briarpond.routes import Route

from ._answer_head import AnswerHead, read_answer_head
from ._hop_choice import NOT_TAKEN_REASON, REASONS_OF_ONE_NODE
from ._hop_headers import Hop, HopEnd, hop_request_headers, is_of_hop, read_end, read_runs
from ._request_context import RequestContext
from ._send import Send, SendCallbacks
from ._send_state import SendPhase
from ._targets import ServerChoice

# Statuses with which a node says that a request has not run, and that its time is over.
NOT_RUN_STATUS = 503
TIME_OVER_STATUS = 504
# Statuses by which a node's HTTP server refuses what it has not handed on: it is malformed, late,
# too large, or there is no room for its body.
HTTP_REFUSAL_STATUSES = frozenset({400, 408, 413, 431, NOT_RUN_STATUS})


def limit_attempts(route: Route, attempts: int) -> Route:
    """Return a route with at most so many attempts: those that another node has left over."""
    return msgspec.structs.replace(route, max_attempts=min(route.max_attempts, attempts))


class HopTerms(msgspec.Struct, frozen=True):
    """What the other node may do with a request.

    Attributes
    ----------
    attempts : int
        Servers at which it may yet run.
    is_counted : bool
        Whether this node has counted it for its own retry budget.
    keeps_attempt : bool
        Whether this node keeps an attempt beside those.
    """

    attempts: int
    is_counted: bool
    keeps_attempt: bool


class HopSend(Send):
    """Passes a request to another node and reads the answer.

    Parameters
    ----------
    context : RequestContext
        The request.
    choice : ServerChoice
        The node; `ServerChoice.helper` is its name.
    callbacks : SendCallbacks
        Told what becomes of the send.
    terms : HopTerms
        What the node may do with the request.
    now : float
        Present time.

    Attributes
    ----------
    end : HopEnd or None
        Why the node has no whole answer, in its own words; None if it has not said so.
    is_time_over : bool
        Whether the node has said that the time for the request is over.
    """

    def __init__(
        self,
        context: RequestContext,
        choice: ServerChoice,
        callbacks: SendCallbacks,
        terms: HopTerms,
        now: float,
    ) -> None:
        super().__init__(context, choice, callbacks, now)
        assert choice.helper is not None
        self.end: HopEnd | None = None
        self.is_time_over = False
        self._node: NodeId = choice.helper
        self._terms = terms

    def _make_call(self, last_event_id: bytes | None, now: float) -> HttpCall:
        return msgspec.structs.replace(
            super()._make_call(last_event_id, now),
            reuse_idle=self._context.route.repeatable,
            echoed_header=None,
            on_trailers=partial(self._callbacks.guard, self._on_trailers),
        )

    def _request_headers(self, last_event_id: bytes | None, now: float) -> Headers:
        return hop_request_headers(self._caller, self._describe(), last_event_id, now)

    def _enter_load(self) -> None:
        """Count the send in the load of its node."""
        self._state.hops.record_begin(self._node)

    def _leave_load(self) -> None:
        self._state.hops.record_end(self._node)

    def record_crash(self, now: float) -> None:
        """Record nothing: the node that has the server does."""

    def record_survival(self, now: float) -> None:
        """Record nothing: the node that has the server does."""

    @property
    def runs_to_come(self) -> int:
        """Servers at which the node may yet run the request, as long as it hasn't ended it."""
        return 0 if self.end is not None else max(0, self._terms.attempts - self.runs)

    @property
    def has_reached_no_server(self) -> bool:
        """Whether the node has refused the request before it tried any server."""
        return self.end is not None and self.end.reason in REASONS_OF_ONE_NODE

    def _describe(self) -> Hop:
        config = self._state.config
        return Hop(
            self._state.settings.node,
            0 if config is None else config.version,
            self._context.service,
            self._terms.attempts,
            self._terms.is_counted,
            self._terms.keeps_attempt,
        )

    # Answers

    def _on_sent(self) -> None:
        self.progress.was_sent = True
        self._callbacks.on_sent(self)

    def _on_head(self, status: int, headers: Headers) -> None:
        if not self.is_open:
            return
        head = read_answer_head(status, headers)
        self.last_progress = self._state.clock.now()
        self.progress.head_received = True
        self.progress.is_framed = head.is_framed
        if not is_of_hop(headers):
            self._on_not_taken(status)
            return
        self.runs = read_runs(headers)
        self.end = read_end(headers)
        if self.end is not None:
            self._on_ended(self.end, head)
            return
        problem = self._callbacks.head_problem(head)
        if problem is None:
            self.head = head
        else:
            self._callbacks.on_failed(self, SendFailure.UNKNOWN, problem)

    def _on_not_taken(self, status: int) -> None:
        """Handle an answer that isn't one to a request of another node."""
        self._state.avoid(self.server, self._state.clock.now())
        self.end = HopEnd(NOT_TAKEN_REASON, 0)
        is_not_run = status in HTTP_REFUSAL_STATUSES
        failure = SendFailure.NOT_EXECUTED if is_not_run else SendFailure.UNKNOWN
        self._callbacks.on_failed(self, failure, f"hop_{NOT_TAKEN_REASON}")

    def _on_ended(self, end: HopEnd, head: AnswerHead) -> None:
        """Handle an answer by which the node states that it has none of a server."""
        self.is_time_over = head.status == TIME_OVER_STATUS
        if self.has_reached_no_server:
            self._state.avoid(self.server, self._state.clock.now())
        is_not_run = head.status == NOT_RUN_STATUS
        failure = SendFailure.NOT_EXECUTED if is_not_run else SendFailure.UNKNOWN
        self._callbacks.on_failed(self, failure, f"hop_{end.reason}")

    def _on_trailers(self, headers: Headers) -> None:
        """Note that the node has broken the stream off; it ends in order only as HTTP."""
        self.end = read_end(headers)
        if self.end is not None:
            self.runs = max(self.runs, self.end.runs)

    def _on_end(self) -> None:
        if not self.is_open or self.end is None:
            super()._on_end()
            return
        reason = f"hop_{self.end.reason}"
        self.log_lost(reason, self._state.clock.now())
        self._callbacks.on_failed(self, SendFailure.UNKNOWN, reason)

    def _on_lost(self, reason: LossReason) -> None:
        if not self.is_open:
            return
        now = self._state.clock.now()
        self.log_lost(reason.value, now)
        if reason is not LossReason.INVALID_REQUEST:
            self._state.avoid(self.server, now)
        failure = SendFailure.NOT_SENT if reason.not_sent else SendFailure.UNKNOWN
        self._callbacks.on_failed(self, failure, reason.value)

    # Progress

    def _record_progress(self, event_count: int, now: float) -> None:
        """Note that events have arrived; the server's load and pace are the other node's."""
        self._cost.add_events(event_count)
        if self.progress.events_began_at is None:
            self.progress.events_began_at = now
        self.last_progress = now

    def _mark_first_event(self) -> None:
        self.first_event_seen = True


def is_connecting_to_server(send: Send) -> bool:
    """Whether no byte of a send to a server has left."""
    return send.progress.phase is SendPhase.CONNECTING and not isinstance(send, HopSend)
