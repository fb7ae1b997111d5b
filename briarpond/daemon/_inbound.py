"""HTTP listeners on circuits.web, with the limits that the library does not set itself.

`Listener` cuts the byte stream of each connection into requests, limits their size
and the time to send them, and lets circuits.web parse one request at a time. Answers
are written by `Reply`, past the library's own response handling.
"""

import select
import socket
from collections.abc import Callable
from http import HTTPStatus
from io import BytesIO

from circuits import handler
from circuits.net.events import read
from circuits.web import BaseServer
from circuits.web.wrappers import Request, Response

from briarpond.conf import Address, LimitSettings
from briarpond.logs import log_warning
from briarpond.net import (
    BODY_IDLE_TIMEOUT_S,
    RECEIVE_BYTES,
    BodyBudget,
    BodyReading,
    Clock,
    ReadAllowance,
    choose_stalled,
    run_guarded,
)
from briarpond.requests import Outcome

from ._closing import (
    CloseReason,
    ClosingConnections,
    EndedListeningSocket,
    UnreadAnswer,
    log_answer_cut,
    unacknowledged_bytes,
)
from ._framing import RequestFrame
from ._reply import Reply

# How often connections are checked for an expired read or idle time.
EXPIRY_CHECK_INTERVAL_S = 1.0
# How often connections that are not read are checked for callers that have left, and bodies for
# progress: a body that waits for room has to get it well within `limits.request_read_s`.
INPUT_CHECK_INTERVAL_S = 0.25
# Largest peek at the head of a request; most heads are smaller.
HEAD_PEEK_BYTES = 4 * 1024
# Connections above the limit that are told so; further ones are closed at once.
MAX_ANSWERED_EXCESS = 256
# Sent to a connection above the limit, before it has sent a request.
_TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

RequestHandler = Callable[[Request, Reply], None]


class _FramedRead(read):
    """Read event with the head or the whole body of one request, checked against the limits.

    circuits.web gets it like any read event; `Listener` recognises the class.
    """

    name = "read"


class _ConnectionState:
    """State of one connection: idle, reading a request, or answering it.

    Attributes
    ----------
    frame : RequestFrame
        Framing of the request that is being read.
    phase_started_at : float
        Time of the clock at which the connection became idle or the request began,
        seconds.
    body : BodyReading
        Body of that request, until it is answered.
    is_whole : bool
        Whether the request has arrived whole.
    reply : Reply or None
        Answer under way; None while no request is being answered.
    on_room : callable
        Called when there is room to read on.
    """

    __slots__ = ("frame", "phase_started_at", "body", "is_whole", "reply", "on_room")

    def __init__(
        self, now: float, frame: RequestFrame, budget: BodyBudget, on_room: Callable[[], None]
    ) -> None:
        self.frame = frame
        self.phase_started_at = now
        self.body = BodyReading(budget, self, now)
        self.is_whole = False
        self.reply: Reply | None = None
        self.on_room = on_room

    def begin_request(self, now: float, frame: RequestFrame) -> None:
        """Await the next request."""
        self.frame = frame
        self.phase_started_at = now
        self.body.drop()
        self.is_whole = False
        self.reply = None


class Listener(BaseServer):
    """HTTP server that passes each request and its `Reply` to a function.

    Parameters
    ----------
    name : str
        Channel of circuits, unique in the process.
    limits : LimitSettings
        Limits on connections, on the size of a request and on the time to send it.
    handle : callable
        Called with each complete request; it reads the body at once, and answers now or later.
    budget : BodyBudget or None
        Room for bodies, shared with other listeners of the process; None for one of its own.
    """

    def __init__(
        self,
        address: Address,
        name: str,
        clock: Clock,
        limits: LimitSettings,
        handle: RequestHandler,
        budget: BodyBudget | None = None,
    ) -> None:
        super().__init__(
            (address.host, address.port), channel=name, display_banner=False, bufsize=RECEIVE_BYTES
        )
        self._clock = clock
        self._limits = limits
        self._handle = handle
        self._connections: dict[socket.socket, _ConnectionState] = {}
        self._closing = ClosingConnections(limits.idle_s)
        self._budget = budget or BodyBudget(limits.body_bytes)
        self._allowance = ReadAllowance()
        self._paused: set[socket.socket] = set()
        # The library reads as much as has arrived; here no more than the present request is.
        self._read_and_discard = self.server._read
        self.server._read = self._receive
        clock.every(EXPIRY_CHECK_INTERVAL_S, self._close_expired)
        clock.every(INPUT_CHECK_INTERVAL_S, self._check_input)

    def buffered(self, sock: socket.socket) -> int:
        """Return the bytes that wait to be written to `sock`."""
        chunks = self.server._buffers.get(sock)
        return sum(map(len, chunks)) if chunks else 0

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes, or buffer what the socket does not take.

        While nothing is buffered, the bytes go to the socket directly; this saves four
        system calls and an event compared with the library's write event.
        """
        if sock not in self._connections and sock not in self._closing:
            return
        if not self.server._buffers.get(sock):
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError:
                # The poller reports the broken connection on its next turn.
                return
        if data:
            self.server.write(sock, data)

    def finish(self, sock: socket.socket, close_connection: bool) -> None:
        """End the answer under way on `sock`.

        Parameters
        ----------
        close_connection : bool
            Whether to close the connection once its buffer is written; otherwise the
            next request is read.
        """
        self.http._clients.pop(sock, None)
        connection = self._connections.get(sock)
        if connection is None:
            return
        connection.begin_request(self._clock.now(), self._new_frame())
        if close_connection:
            self._begin_close(sock)
        else:
            self._resume(sock)

    def drop(self, sock: socket.socket, reason: CloseReason = CloseReason.ABORTED) -> None:
        """Close a connection at once and discard what is buffered for it."""
        unread = self._unread_answer(sock)
        if unread.size:
            log_answer_cut(unread, reason, self._clock.now())
        self.server._close(sock)

    def unread_answers(self) -> list[UnreadAnswer]:
        """Return the answers that are complete and not yet at their callers."""
        complete = [
            sock for sock, connection in self._connections.items() if connection.reply is None
        ]
        answers = map(self._unread_answer, (*complete, *self._closing.sockets))
        return [answer for answer in answers if answer.size]

    def stop_accepting(self) -> None:
        """Take the connections that the kernel has made already, and no other."""
        listening = self.server._sock
        while True:
            try:
                sock, _ = listening.accept()
            except OSError:
                break
            self.server._on_accept_done(sock)
        self.server._poller.discard(listening)
        # An accept that the poller has asked for already still runs.
        self.server._sock = EndedListeningSocket(listening.getsockname())
        listening.close()

    def refuse_arriving(self) -> None:
        """Refuse the requests that have arrived in part, since the node ends."""
        for sock, connection in list(self._connections.items()):
            if connection.reply is None and connection.frame.started:
                # Another node may have run the request with the same key.
                outcome = Outcome.UNKNOWN if connection.frame.has_key else Outcome.NOT_RUN
                answer = _error_response(HTTPStatus.SERVICE_UNAVAILABLE, outcome)
                self._answer_and_close(sock, answer)

    def _unread_answer(self, sock: socket.socket) -> UnreadAnswer:
        connection = self._connections.get(sock)
        since = self._closing.began_at(sock) if connection is None else connection.phase_started_at
        size = self.buffered(sock) + unacknowledged_bytes(sock)
        return UnreadAnswer(sock.fileno(), size, since)

    @handler("ready", override=True)
    def _on_ready(self, *args, **kwargs) -> None:
        """Override the library's handler, which writes a banner to standard error."""

    @handler("signal", override=True)
    def _on_signal(self, *args, **kwargs) -> None:
        """Override the library's handler, which ends the process after 3 seconds."""

    @handler("connect", override=True)
    def _on_connect(self, sock: socket.socket, *peer) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        excess = len(self._connections) + len(self._closing) - self._limits.connections
        if excess >= MAX_ANSWERED_EXCESS:
            self.drop(sock)
            return
        if excess >= 0:
            self._answer_and_close(sock, _TOO_MANY_CONNECTIONS)
            return
        self._connections[sock] = _ConnectionState(
            self._clock.now(), self._new_frame(), self._budget, lambda: self._on_room(sock)
        )

    @handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        self.http._buffers.pop(sock, None)
        self._closing.forget(sock)
        self._paused.discard(sock)
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        connection.body.drop()
        if connection.reply is not None:
            connection.reply.notify_disconnected()

    @handler("read", priority=1)
    def _on_read(self, event, sock: socket.socket, data: bytes) -> None:
        # circuits.web takes the bytes of one read as one request. Others than those that were cut
        # to a request here come from a closing connection, and are discarded.
        if sock in self._closing or not isinstance(event, _FramedRead):
            event.stop()

    @handler("generate_events", priority=1)
    def _on_turn(self, event) -> None:
        self._allowance.renew()

    def _receive(self, sock: socket.socket) -> None:
        """Read what belongs to the present request; what is behind it stays in the socket."""
        connection = self._connections.get(sock)
        if connection is None:
            self._read_and_discard(sock)
            return
        try:
            if connection.is_whole:
                self._pause_if_sending(sock)
            elif connection.frame.body_length is None:
                self._receive_head(sock, connection)
            else:
                self._receive_body(sock, connection)
        except BlockingIOError:
            return
        except OSError:
            self.server._close(sock)

    def _receive_head(self, sock: socket.socket, connection: _ConnectionState) -> None:
        data = sock.recv(self._allowance.size(HEAD_PEEK_BYTES), socket.MSG_PEEK)
        if not data:
            self.server.close(sock)
            return
        now = self._clock.now()
        frame = connection.frame
        if not frame.started:
            connection.phase_started_at = now
        result = frame.feed_head(data)
        self._allowance.record(len(sock.recv(result.taken)) if result.taken else 0)
        if result.error_status is not None:
            self._answer_and_close(sock, _error_response(result.error_status))
        elif result.head:
            self.fire(_FramedRead(sock, result.head))
            connection.is_whole = frame.body_length == 0
            connection.body.begin(self._limits.request_bytes, now)
            connection.body.announce(frame.body_length)

    def _receive_body(self, sock: socket.socket, connection: _ConnectionState) -> None:
        now = self._clock.now()
        body = connection.body
        wanted_bytes = body.ask_for_room(now)
        if not wanted_bytes:
            self._pause(sock)
            return
        data = sock.recv(self._allowance.size(wanted_bytes))
        if not data:
            self.server.close(sock)
            return
        self._allowance.record(len(data))
        body.add(data, now)
        if body.size == connection.frame.body_length:
            connection.is_whole = True
            self.fire(_FramedRead(sock, body.take()))

    def _pause_if_sending(self, sock: socket.socket) -> None:
        """Stop reading if bytes have arrived that are not wanted yet; end a closed connection."""
        if sock.recv(1, socket.MSG_PEEK):
            self._pause(sock)
        else:
            self.server.close(sock)

    def _pause(self, sock: socket.socket) -> None:
        self._paused.add(sock)
        self.server._poller.removeReader(sock)

    def _resume(self, sock: socket.socket) -> None:
        if sock in self._paused:
            self._paused.discard(sock)
            self.server._poller.addReader(self.server, sock)

    def _on_room(self, sock: socket.socket) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            connection.body.note_progress(self._clock.now())
            self._resume(sock)

    def _close_left(self) -> None:
        """Close the connections that are not read and whose callers have closed them.

        The poller of circuits does not watch a connection that is not read, nor can it tell a
        close behind unread bytes.
        """
        by_descriptor = {sock.fileno(): sock for sock in self._paused if sock.fileno() >= 0}
        if not by_descriptor:
            return
        poll = select.poll()
        for descriptor in by_descriptor:
            poll.register(descriptor, select.POLLRDHUP)
        for descriptor, _ in poll.poll(0):
            self.server.close(by_descriptor[descriptor])

    def _new_frame(self) -> RequestFrame:
        return RequestFrame(self._limits.header_bytes, self._limits.request_bytes)

    @handler("request", priority=1)
    def _on_request(self, event, request: Request, response: Response) -> bool:
        connection = self._connections.get(request.sock)
        if connection is None:
            return True
        reply = Reply(self, request, response)
        connection.reply = reply
        if not run_guarded("request", self._handle, request, reply):
            self.drop(request.sock)
        # The handler has read it. The library's request and response refer to each other, and
        # cyclic garbage may stay for long.
        request.body = BytesIO()
        return True

    @handler("write", priority=1)
    def _on_write(self, event, sock: socket.socket, data: bytes) -> None:
        # The library's server would register a closed socket with the poller, which raises.
        if sock.fileno() < 0:
            event.stop()

    @handler("_write")
    def _on_written(self, sock: socket.socket) -> None:
        if sock in self._closing and not self.server._buffers.get(sock):
            self._closing.end_writing(sock, self._clock.now())
            return
        connection = self._connections.get(sock)
        if connection is None or connection.reply is None or connection.reply.on_flushed is None:
            return
        if not self.server._buffers.get(sock):
            connection.reply.on_flushed()

    def _answer_and_close(self, sock: socket.socket, answer: bytes) -> None:
        self._closing.add(sock, self._clock.now())
        self.send(sock, answer)
        self._begin_close(sock)

    def _begin_close(self, sock: socket.socket) -> None:
        """Close a connection once its caller has its answer; what it sends is discarded.

        A socket that is closed with unread input resets the connection, and the caller
        loses what it has not read yet.
        """
        connection = self._connections.pop(sock, None)
        if connection is not None:
            connection.body.drop()
        self._resume(sock)
        self.http._clients.pop(sock, None)
        self.http._buffers.pop(sock, None)
        self._closing.add(sock, self._clock.now())
        if not self.server._buffers.get(sock):
            self._closing.end_writing(sock, self._clock.now())

    def _close_expired(self) -> None:
        """Refuse requests that arrive too slowly; close connections idle for too long."""
        now = self._clock.now()
        for sock in self._closing.expired(now):
            self.drop(sock, CloseReason.IDLE)
        for sock, connection in list(self._connections.items()):
            if connection.reply is not None:
                continue
            if (
                connection.frame.started
                and now - connection.phase_started_at > self._limits.request_read_s
            ):
                self._refuse_slow(sock, connection, now)
            elif (
                not connection.frame.started
                and now - connection.phase_started_at > self._limits.idle_s
            ):
                self.drop(sock, CloseReason.IDLE)

    def _check_input(self) -> None:
        self._close_left()
        self._limit_bodies(self._clock.now())

    def _limit_bodies(self, now: float) -> None:
        """Refuse bodies that make no progress while others wait for room, the largest first."""
        stalled = [
            (sock, self._budget.held_by(connection))
            for sock, connection in self._connections.items()
            if self._is_stalled(sock, connection, now)
        ]
        for sock in choose_stalled(stalled, self._budget.wanted):
            self._refuse_slow(sock, self._connections[sock], now)

    @staticmethod
    def _is_stalled(sock: socket.socket, connection: _ConnectionState, now: float) -> bool:
        """Whether a body has made no progress for too long, and only its caller holds it up."""
        if connection.is_whole or not connection.frame.body_length or connection.body.is_waiting:
            return False
        if connection.body.slow_s(now) <= BODY_IDLE_TIMEOUT_S:
            return False
        try:
            return not sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False

    def _refuse_slow(self, sock: socket.socket, connection: _ConnectionState, now: float) -> None:
        """Refuse a request that is not whole in time, or for whose body there is no room."""
        status = HTTPStatus.REQUEST_TIMEOUT
        if connection.body.is_waiting:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        if connection.frame.body_length and not connection.is_whole:
            log_warning(
                "body_refused",
                status=status.value,
                body_bytes=connection.body.size,
                age_s=now - connection.phase_started_at,
            )
        self._answer_and_close(sock, _error_response(status))


def _error_response(status: HTTPStatus, outcome: Outcome = Outcome.NOT_RUN) -> bytes:
    """Return the bytes of a refusal sent before the library has parsed the request."""
    body = b'{"error": {"message": "%b", "type": "invalid_request_error", "code": "%d"}}' % (
        status.phrase.encode(),
        status.value,
    )
    return (
        b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
        b"Briarpond-Outcome: %b\r\nConnection: close\r\n\r\n%b"
        % (status.value, status.phrase.encode(), len(body), outcome.value.encode(), body)
    )
