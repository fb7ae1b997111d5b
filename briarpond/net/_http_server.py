"""HTTP/1.1 connections of callers, framed by h11.

circuits.web reads one request from each read, knows no chunked request bodies and
holds an answer until it is whole; callers of the users' platform need all three.
"""

from collections.abc import Callable
from enum import Enum

import h11
import msgspec

from ._clock import Clock
from ._outbound import Connection

SWEEP_S = 0.25
DEFAULT_HEADER_BYTES = 16_384
# Bytes that a caller has not read yet, beyond which its connection is ended.
MAX_UNREAD_BYTES = 4 * 1024 * 1024

Headers = tuple[tuple[str, str], ...]


class HttpRequest(msgspec.Struct):
    """A request that was read whole; header names are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes
    read_at: float

    def header(self, name: str) -> str | None:
        """Return the first value of a header."""
        return next((value for each, value in self.headers if each == name), None)


class FaceLimits(msgspec.Struct):
    """Bounds on what callers may send; replaced as a whole when they change."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class Phase(Enum):
    """What a connection waits for."""

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"


class HttpReply:
    """The answer to one request.

    Attributes
    ----------
    on_gone : callable or None
        Called once if the caller leaves before the answer has ended.
    started, ended : bool
        Whether the head, or the whole answer, has been sent.
    """

    def __init__(self, conn: "CallerConnection") -> None:
        self.on_gone: Callable[[], None] | None = None
        self.started = False
        self.ended = False
        self._conn = conn

    def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        if self.ended:
            return
        self.started = True
        self._conn.send_head(status, (*headers, ("Content-Length", str(len(body)))))
        if body:
            self._conn.send_data(body)
        self.end()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in pieces."""
        if not self.ended:
            self.started = True
            self._conn.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not self.ended:
            self._conn.send_data(data)

    def end(self) -> None:
        """End the answer."""
        if not self.ended:
            self.ended = True
            self._conn.finish()

    def abort(self) -> None:
        """Close the connection, so that the answer is seen to be cut."""
        if not self.ended:
            self.ended = True
            self._conn.close()

    def gone(self) -> None:
        """Take the caller's disconnect."""
        if not self.ended:
            self.ended = True
            if self.on_gone is not None:
                self.on_gone()


class HttpFace:
    """What all connections of one listener share.

    Parameters
    ----------
    handle : callable
        Takes a request that was read whole, and its reply.

    Attributes
    ----------
    closing : bool
        Whether answers tell callers to connect elsewhere.
    """

    def __init__(
        self,
        clock: Clock,
        handle: Callable[[HttpRequest, HttpReply], None],
        limits: FaceLimits | None = None,
    ) -> None:
        self.clock = clock
        self.handle = handle
        self.limits = limits or FaceLimits()
        self.closing = False
        self.connections: set[CallerConnection] = set()
        clock.every(SWEEP_S, self._sweep)

    def accept(self, conn: Connection) -> None:
        """Take a new connection."""
        caller = CallerConnection(self, conn)
        conn.user = caller
        self.connections.add(caller)

    def close_idle(self) -> None:
        """Close connections on which no request is under way."""
        for caller in list(self.connections):
            if caller.phase is Phase.IDLE:
                caller.close()

    def _sweep(self) -> None:
        now = self.clock.now()
        for caller in list(self.connections):
            caller.check_times(now)


class CallerConnection:
    """One connection of a caller; serves its requests one after the other."""

    def __init__(self, face: HttpFace, conn: Connection) -> None:
        self.phase = Phase.IDLE
        self._face = face
        self._conn = conn
        self._since = face.clock.now()
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=face.limits.header_bytes + 1
        )
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._reply: HttpReply | None = None
        self._in_events = False

    # What the connection is told

    def on_open(self) -> None:
        """Never told: the connection was accepted."""

    def on_data(self, data: bytes) -> None:
        """Take bytes of requests."""
        if self.phase is Phase.IDLE:
            self.phase = Phase.READING
            self._since = self._face.clock.now()
        self._h11.receive_data(data)
        self._drain_events()

    def on_closed(self, _established: bool) -> None:
        """The caller has left."""
        self._face.connections.discard(self)
        if self._reply is not None:
            self._reply.gone()

    # What the reply asks for

    def send_head(self, status: int, headers: Headers) -> None:
        """Send a response head."""
        if self._face.closing and not any(name.lower() == "connection" for name, _ in headers):
            headers = (*headers, ("Connection", "close"))
        response = h11.Response(status_code=status, headers=headers)
        self._send(self._h11.send(response))

    def send_data(self, data: bytes) -> None:
        """Send bytes of the body."""
        self._send(self._h11.send(h11.Data(data=data)))
        if len(self._conn.buffer) > MAX_UNREAD_BYTES:
            self._conn.close()
            self.on_closed(True)

    def finish(self) -> None:
        """End the answer; go on with the next request or close."""
        self._send(self._h11.send(h11.EndOfMessage()))
        self._reply = None
        self._request = None
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self._close_when_sent()
            return
        self._h11.start_next_cycle()
        self.phase = Phase.IDLE
        self._since = self._face.clock.now()
        if self._h11.trailing_data[0]:
            self.phase = Phase.READING
            if not self._in_events:
                self._face.clock.after(0.0, self._drain_events)

    def close(self) -> None:
        """Close the connection at once."""
        self._face.connections.discard(self)
        self._conn.close()

    def check_times(self, now: float) -> None:
        """End a connection that is idle, or whose request comes too slowly."""
        limits = self._face.limits
        if (
            self.phase is Phase.IDLE
            and now - self._since > limits.idle_s
            or (
                self.phase is Phase.READING
                and self._request is None
                and now - self._since > limits.header_s
            )
        ):
            self.close()

    # Parsing

    def _drain_events(self) -> None:
        if self._in_events or self._conn.closed:
            return
        self._in_events = True
        try:
            while self._next_event():
                pass
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint or 400)
        finally:
            self._in_events = False

    def _next_event(self) -> bool:
        if self._conn.closed or self.phase is Phase.ANSWERING:
            return False
        event = self._h11.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        match event:
            case h11.Request():
                return self._take_head(event)
            case h11.Data():
                self._body += event.data
                if len(self._body) > self._face.limits.body_bytes:
                    self._refuse(413)
                    return False
            case h11.EndOfMessage():
                self._take_whole()
            case h11.ConnectionClosed():
                return False
        return True

    def _take_head(self, event: h11.Request) -> bool:
        self.phase = Phase.READING
        self._request = event
        self._body = bytearray()
        size = sum(len(name) + len(value) + 4 for name, value in event.headers)
        if size > self._face.limits.header_bytes:
            self._refuse(431)
            return False
        for name, value in event.headers:
            if name == b"content-length" and int(value) > self._face.limits.body_bytes:
                self._refuse(413)
                return False
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._send(self._h11.send(go_on))
        return True

    def _take_whole(self) -> None:
        event = self._request
        assert event is not None
        self.phase = Phase.ANSWERING
        headers = tuple(
            (name.decode("ascii"), value.decode("latin-1")) for name, value in event.headers
        )
        request = HttpRequest(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            headers,
            bytes(self._body),
            self._face.clock.now(),
        )
        self._body = bytearray()
        self._reply = HttpReply(self)
        self._face.handle(request, self._reply)

    def _refuse(self, status: int) -> None:
        """Answer what cannot be read as a request, and close."""
        self.phase = Phase.ANSWERING
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(
                status_code=status, headers=[("Content-Length", "0"), ("Connection", "close")]
            )
            self._send(self._h11.send(head))
            self._send(self._h11.send(h11.EndOfMessage()))
        self._close_when_sent()

    def _send(self, data: bytes | None) -> None:
        if data:
            self._conn.send(data)

    def _close_when_sent(self) -> None:
        self.phase = Phase.ANSWERING
        self._face.connections.discard(self)
        if self._conn.buffer:
            self._face.clock.after(SWEEP_S, self._close_when_sent)
        else:
            self._conn.close_after_reading()
