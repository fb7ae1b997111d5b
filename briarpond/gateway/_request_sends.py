"""The sends of one request: those under way, and what became of the others."""

from collections.abc import Container

from briarpond.dispatch import SendFailure, SendProgress
from briarpond.ids import InstanceId
from briarpond.logs import log_event

from ._hop_send import HopSend, HopTerms
from ._request_context import RequestContext
from ._send import Send, SendCallbacks
from ._send_state import SendPhase
from ._targets import AllBut, ServerChoice

# Why a send was ended whose server was silent while another one went on.
SILENT_REASON = "stalled"
# Pause after an attempt at a second send that found no server or no retry budget. Each attempt
# compares servers, and many requests are silent at once when few servers have room.
HEDGE_RETRY_INTERVAL_S = 0.2


class RequestSends:
    """Starts and ends the sends of one request, and counts them.

    Parameters
    ----------
    context : RequestContext
        The request.
    callbacks : SendCallbacks
        Told what becomes of each send.

    Attributes
    ----------
    open : list of Send
        Sends that are under way, the earliest first.
    tried : list of InstanceId
        Servers of all sends, in order.
    sent : int
        Sends in which a byte of the request may have reached a server.
    possible_runs : int
        Sends among them after which the request may have run.
    failed_connects : int
        Sends for which no connection could be opened.
    hop_refusals : int
        Nodes that have refused to pass the request on. They do not count as sends.
    is_counted : bool
        Whether a node has counted the request for its retry budget.
    """

    def __init__(self, context: RequestContext, callbacks: SendCallbacks) -> None:
        self.open: list[Send] = []
        self.tried: list[InstanceId] = []
        self.sent = 0
        self.possible_runs = 0
        self.failed_connects = 0
        self.hop_refusals = 0
        self.is_counted = True
        self._excluded: list[InstanceId] = []
        self._ran_at: list[InstanceId] = []
        self._unneeded: list[InstanceId] = []
        self._next_hedge_at = 0.0
        self._hedge_wanted_at: float | None = None
        self._context = context
        self._callbacks = callbacks

    @property
    def excluded(self) -> Container[InstanceId]:
        """Servers that are not chosen for the next send.

        Once the attempts are used up, only a server that may have run the request is left.
        """
        if self._granted_runs >= self._context.route.max_attempts:
            return AllBut(self._unneeded)
        return self._excluded

    @property
    def _granted_runs(self) -> int:
        """Possible runs, and those that nodes may yet add which have the request now."""
        return self.possible_runs + sum(send.runs_to_come for send in self.open)

    @property
    def all_sent(self) -> bool:
        """Whether there are sends under way, and all of them count as possible runs."""
        return bool(self.open) and all(send.progress.was_sent for send in self.open)

    @property
    def without_event(self) -> tuple[Send, ...]:
        """Sends under way from which no event has arrived yet."""
        return tuple(send for send in self.open if send.progress.phase is not SendPhase.STREAMING)

    def may_hedge_at(self, now: float) -> bool:
        """Whether all sends are with servers, and no attempt at another has just failed."""
        return self.all_sent and now >= self._next_hedge_at

    def hedge_waited_s(self, now: float) -> float:
        """Return for how long a second send to another server has been wanted."""
        if self._hedge_wanted_at is None:
            self._hedge_wanted_at = now
        return now - self._hedge_wanted_at

    def delay_hedge(self, now: float) -> None:
        """Put the next attempt at a second send off, since this one started none."""
        self._next_hedge_at = now + HEDGE_RETRY_INTERVAL_S

    def progress(self, answer_started: bool) -> SendProgress:
        """Return the counts that decide about another send."""
        return SendProgress(
            self.sent,
            self._granted_runs,
            answer_started,
            self.failed_connects,
            len(self._unneeded),
        )

    def start(self, choice: ServerChoice, last_event_id: bytes | None, now: float) -> None:
        """Send the request to a server.

        Parameters
        ----------
        choice : ServerChoice
            The server.
        last_event_id : bytes or None
            Event after which a stream is resumed.
        now : float
            Present time.
        """
        if choice.is_cold_detour:
            self._context.state.metrics.cold_detours.inc({})
        self._hedge_wanted_at = None
        self.tried.append(choice.instance)
        self._excluded.append(choice.instance)
        if choice.instance in self._unneeded:
            self._unneeded.remove(choice.instance)
        send = self._make_send(choice, now)
        send.number = self.sent
        self.open.append(send)
        send.start(last_event_id)

    def _make_send(self, choice: ServerChoice, now: float) -> Send:
        if choice.helper is None:
            return Send(self._context, choice, self._callbacks, now)
        attempts_left = self._context.route.max_attempts - self._granted_runs
        # One is kept, in case that the node falls silent or is lost.
        terms = HopTerms(max(1, attempts_left - 1), self.is_counted, attempts_left > 1)
        self.is_counted = True
        return HopSend(self._context, choice, self._callbacks, terms, now)

    def log_hedge(self, server: InstanceId, now: float) -> None:
        """Log that another server is asked too, since those that have the request are silent."""
        log_event(
            "send_hedged",
            id=self._context.caller.id,
            server=server,
            silent="+".join(send.server for send in self.open),
            silent_ms=int((now - max(send.last_progress for send in self.open)) * 1000),
        )

    def record_sent(self, send: Send) -> None:
        """Count a send whose first byte is about to leave."""
        if self.sent:
            self._context.record_repeat(send.server, self._context.state.clock.now())
        self.sent += 1
        self.possible_runs += 1
        self._ran_at.append(send.server)
        send.number = self.sent

    def record_failure(self, send: Send, failure: SendFailure) -> None:
        """End a send that got no complete answer."""
        if failure is SendFailure.NOT_EXECUTED:
            self.possible_runs -= 1
            self._ran_at.remove(send.server)
            if isinstance(send, HopSend):
                self.sent -= 1
                self.hop_refusals += 1
        elif failure is SendFailure.NOT_SENT:
            self.failed_connects += 1
        else:
            self.possible_runs += send.runs + send.runs_to_come - 1
        if failure is not SendFailure.UNKNOWN and send.server in self._ran_at:
            # It is the earlier run of this server that counts, which was not needed.
            self._unneeded.append(send.server)
        self.cancel(send)

    def record_answer(self, send: Send) -> None:
        """End a send whose answer is complete, and learn its length."""
        self.open.remove(send)
        self._context.learn_cost(self._context.state.clock.now())
        send.finish()

    def keep_only(self, send: Send, now: float) -> bool:
        """End the other sends, since this one goes on.

        Returns
        -------
        bool
            Whether there were earlier ones, which have been silent.
        """
        if len(self.open) == 1:
            return False
        position = self.open.index(send)
        silent, later = self.open[:position], self.open[position + 1 :]
        for each in silent:
            self.end(each, SILENT_REASON, now)
        for each in later:
            self.end(each, "not_needed", now)
            if each.progress.was_sent:
                self._unneeded.append(each.server)
                self._excluded = [name for name in self._excluded if name != each.server]
        return bool(silent)

    def end(self, send: Send, reason: str, now: float) -> None:
        """End one of several sends that are under way, and say why."""
        send.log_lost(reason, now)
        self.possible_runs += send.runs + send.runs_to_come - 1
        self._context.state.metrics.sends.inc({"end": reason})
        self.cancel(send)

    def cancel(self, send: Send) -> None:
        """End a send that is under way."""
        self.open.remove(send)
        send.cancel()

    def cancel_all(self) -> None:
        """End all sends that are under way."""
        for send in tuple(self.open):
            self.cancel(send)

    def forget_refusals(self) -> None:
        """Let servers be chosen again that have not run the request."""
        ran_at = [server for server in self._ran_at if server not in self._unneeded]
        self._excluded = [*ran_at, *(send.server for send in self.open)]
