"""The answer to the caller: what of a server's answer is passed on, and own statuses."""

from collections.abc import Callable

from briarpond.net import Headers, HttpReply
from briarpond.routes import Route, RouteKind

from ._answer_head import AnswerHead
from ._hop_headers import HopEnd, end_headers, runs_header
from ._send import Send
from ._send_state import SendPhase


class CallerReply:
    """Passes the answer of one send after another on to the caller.

    Parameters
    ----------
    reply : HttpReply
        Receives the answer.
    route : Route
        Route of the request.
    describe_end : callable or None
        Returns why there is no whole answer, and how often the request may have run, for the node
        that has passed the request on; None if a caller has sent it here.

    Attributes
    ----------
    status : int
        Status of the answer; 0 if there is none yet.
    first_byte_at : float or None
        Time at which a server's answer began; None before.
    last_event_id : bytes or None
        Id of the last event that was passed on; None before the first.
    """

    def __init__(
        self, reply: HttpReply, route: Route, describe_end: Callable[[], HopEnd] | None = None
    ) -> None:
        self.status = 0
        self.first_byte_at: float | None = None
        self.last_event_id: bytes | None = None
        self._reply = reply
        self._route = route
        self._describe_end = describe_end
        # Heads of the answers whose events were passed on first and last.
        self._begun_head: AnswerHead | None = None
        self._present_head: AnswerHead | None = None

    @property
    def has_begun(self) -> bool:
        """Whether status and headers of a stream went to the caller."""
        return self._begun_head is not None

    def head_problem(self, head: AnswerHead) -> str | None:
        """Return why an answer with this head can't be passed on; None if it can."""
        if head is self._present_head:
            return None  # Found sound before; this is asked with each event.
        if self._begun_head is not None and not (
            self._route.kind is RouteKind.STREAM and head.continues(self._begun_head)
        ):
            return f"resume_status_{head.status}"
        return None if head.is_usable else "no_stamp"

    def is_cut_short(self, send: Send) -> bool:
        """Whether a stream that has ended in order is not complete all the same."""
        if send.buffer.has_partial_event or not self.has_begun:
            return True
        # A server that has resumed the stream may have nothing left to send, but then it says so.
        has_events = send.progress.phase is SendPhase.STREAMING
        return not has_events and not send.progress.is_framed

    def pass_on(self, send: Send, complete_events: bytes, now: float) -> None:
        """Send complete events of a stream to the caller."""
        assert send.head is not None
        if self._begun_head is None:
            self._begun_head = send.head
            self._begin(send.head, now)
            self._reply.start(self.status, self._answer_headers(send.head))
        self._present_head = send.head
        self.last_event_id = send.buffer.last_event_id or self.last_event_id
        self._reply.write(complete_events)

    def end_stream(self) -> None:
        """End a stream that is complete."""
        self._reply.end()

    def send_whole(self, head: AnswerHead, body: bytes, now: float) -> None:
        """Send a plain answer of a server."""
        self._begin(head, now)
        self._reply.send_whole(self.status, self._answer_headers(head), body)

    def refuse(self, retry_after_s: float) -> None:
        """Answer that the request has not run."""
        self.status = 503
        headers = (("Retry-After", f"{max(0.0, retry_after_s):.3f}"),)
        self._reply.send_whole(self.status, (*headers, *self._end_headers()), b"")

    def fail(self, status: int) -> None:
        """Answer that the request may have run."""
        self.status = status
        self._reply.send_whole(status, self._end_headers(), b"")

    def cut(self) -> None:
        """Break off a stream, so that it doesn't look complete.

        A node that has passed the request on is told why, by trailers.
        """
        if self._describe_end is None:
            self._reply.abort()
        else:
            self._reply.end(self._end_headers())

    def _end_headers(self) -> Headers:
        """Return what another node is told of a request without a whole answer."""
        if self._describe_end is None:
            return ()
        end = self._describe_end()
        return end_headers(end.reason, end.runs)

    def _answer_headers(self, head: AnswerHead) -> Headers:
        if self._describe_end is None:
            return head.forwarded_headers
        return (*head.forwarded_headers, *runs_header(self._describe_end().runs))

    def _begin(self, head: AnswerHead, now: float) -> None:
        self.status = head.status
        self.first_byte_at = now
