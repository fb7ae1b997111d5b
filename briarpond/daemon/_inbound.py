"""HTTP listeners on circuits.web, with bounds that it does not set itself."""

import contextlib
import socket
from collections.abc import Callable
from http import HTTPStatus

from circuits import handler
from circuits.net.events import close, read
from circuits.web import BaseServer
from circuits.web.wrappers import Request, Response

from briarpond.conf import Address, LimitSettings
from briarpond.net import Clock

from ._framing import RequestFrame

SWEEP_S = 1.0
READ_BYTES = 64 * 1024
_BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

Headers = tuple[tuple[str, str], ...]


class Reply:
    """Answer to one request; written at once, and bounded by its writer.

    Attributes
    ----------
    on_gone : callable or None
        Called once if the caller leaves before the answer has ended.
    on_drained : callable or None
        Called when all buffered bytes have been written.
    """

    def __init__(self, listener: "Listener", request: Request, response: Response) -> None:
        self.request = request
        self.ended = False
        self.on_gone: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self._listener = listener
        self._response = response
        self._chunked = False

    @property
    def buffered(self) -> int:
        """Bytes that the caller has not read yet."""
        return self._listener.buffered(self.request.sock)

    def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        head = self._head(status, (*headers, ("Content-Length", str(len(body)))))
        with_body = self.request.method != "HEAD"
        self._listener.send(self.request.sock, head + body if with_body else head)
        self._end()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in pieces."""
        self._chunked = self.request.protocol >= (1, 1)
        if self._chunked:
            headers = (*headers, ("Transfer-Encoding", "chunked"))
        else:
            self._response.close = True
        self._listener.send(self.request.sock, self._head(status, headers))

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not self._chunked:
            self._listener.send(self.request.sock, data)
        elif data:
            self._listener.send(self.request.sock, b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """End the body."""
        if self._chunked:
            self._listener.send(self.request.sock, b"0\r\n\r\n")
        self._end()

    def abort(self) -> None:
        """Close the connection, so that the answer is seen to be cut."""
        self.ended = True
        self._listener.drop(self.request.sock)

    def close_after(self) -> None:
        """Close the connection once this answer has ended."""
        self._response.close = True

    def gone(self) -> None:
        """Take the caller's disconnect."""
        if not self.ended:
            self.ended = True
            if self.on_gone is not None:
                self.on_gone()

    def _head(self, status: int, headers: Headers) -> bytes:
        response = self._response
        response.status = HTTPStatus(status) if status in _KNOWN else status
        response.headers.pop("Content-Type", None)
        for name, value in headers:
            response.headers.add_header(name, value)
        if response.close:
            response.headers["Connection"] = "close"
        elif self.request.protocol < (1, 1):
            response.headers["Connection"] = "Keep-Alive"
        return bytes(response) + bytes(response.headers)

    def _end(self) -> None:
        self.ended = True
        self._response.done = True
        self._listener.finish(self.request.sock, self._response.close)


_KNOWN = frozenset(int(status) for status in HTTPStatus)

RequestHandler = Callable[[Request, Reply], None]


class _Passed(read):
    """Bytes of one request, cut and bounded."""

    name = "read"


class _Meter:
    """What one connection is doing.

    `frame` follows the request that is being read; `held` keeps bytes of the
    next one while an answer is under way.
    """

    __slots__ = ("frame", "since", "reply", "held")

    def __init__(self, now: float, frame: RequestFrame) -> None:
        self.frame = frame
        self.since = now
        self.reply: Reply | None = None
        self.held = b""


class Listener(BaseServer):
    """HTTP server that hands each request to a function with a `Reply`."""

    def __init__(
        self,
        address: Address,
        name: str,
        clock: Clock,
        limits: LimitSettings,
        handle: RequestHandler,
    ) -> None:
        super().__init__(
            (address.host, address.port), channel=name, display_banner=False, bufsize=READ_BYTES
        )
        self._clock = clock
        self._limits = limits
        self._handle = handle
        self._meters: dict[socket.socket, _Meter] = {}
        clock.every(SWEEP_S, self._sweep)

    def buffered(self, sock: socket.socket) -> int:
        """Return the bytes that wait to be written to `sock`."""
        waiting = self.server._buffers.get(sock)
        return sum(map(len, waiting)) if waiting else 0

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send directly while nothing waits; it saves four system calls and an event."""
        if sock not in self._meters:
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

    def finish(self, sock: socket.socket, closing: bool) -> None:
        """End the exchange on `sock`; go on with the next request or close."""
        self.http._clients.pop(sock, None)
        meter = self._meters.get(sock)
        if meter is None:
            return
        meter.reply = None
        meter.frame = self._frame()
        meter.since = self._clock.now()
        held, meter.held = meter.held, b""
        if closing:
            self.server.close(sock)
        elif held:
            self.fire(read(sock, held))

    def drop(self, sock: socket.socket) -> None:
        """Close a connection at once."""
        self.server._close(sock)

    @handler("ready", override=True)
    def _on_ready(self, *args, **kwargs) -> None:
        """Do without the banner on standard error."""

    @handler("signal", override=True)
    def _on_signal(self, *args, **kwargs) -> None:
        """Leave signals to the daemon."""

    @handler("connect", override=True)
    def _on_connect(self, sock: socket.socket, *peer) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if len(self._meters) >= self._limits.connections:
            self._refuse(sock, _BUSY)
            return
        self._meters[sock] = _Meter(self._clock.now(), self._frame())

    @handler("disconnect")
    def _on_gone(self, sock: socket.socket) -> None:
        self.http._buffers.pop(sock, None)
        meter = self._meters.pop(sock, None)
        if meter is not None and meter.reply is not None:
            meter.reply.gone()

    @handler("read", priority=1)
    def _on_bytes(self, event, sock: socket.socket, data: bytes) -> None:
        # What the library may parse is passed on below, one request at a time.
        if isinstance(event, _Passed):
            return
        event.stop()
        meter = self._meters.get(sock)
        if meter is None:
            return
        if meter.reply is not None:
            self._hold(sock, meter, data)
            return
        if not meter.frame.begun:
            meter.since = self._clock.now()
        cut = meter.frame.feed(data)
        if cut.problem is not None:
            self._refuse(sock, _error_bytes(cut.problem))
            return
        meter.held = cut.rest
        if cut.passed:
            self.fire(_Passed(sock, cut.passed))

    def _hold(self, sock: socket.socket, meter: _Meter, data: bytes) -> None:
        """Keep bytes of a later request; a caller that sends too many is cut off."""
        meter.held += data
        if len(meter.held) > self._limits.header_bytes + self._limits.request_bytes:
            self.drop(sock)

    def _frame(self) -> RequestFrame:
        return RequestFrame(self._limits.header_bytes, self._limits.request_bytes)

    @handler("request", priority=1)
    def _on_request(self, event, request: Request, response: Response) -> bool:
        meter = self._meters.get(request.sock)
        if meter is None:
            return True
        reply = Reply(self, request, response)
        meter.reply = reply
        self._handle(request, reply)
        return True

    @handler("write", priority=1)
    def _on_write(self, event, sock: socket.socket, data: bytes) -> None:
        # circuits' server would hand a closed socket to the poller, which raises.
        if sock.fileno() < 0:
            event.stop()

    @handler("_write")
    def _on_written(self, sock: socket.socket) -> None:
        meter = self._meters.get(sock)
        if meter is None or meter.reply is None or meter.reply.on_drained is None:
            return
        if not self.server._buffers.get(sock):
            meter.reply.on_drained()

    def _refuse(self, sock: socket.socket, answer: bytes) -> None:
        with contextlib.suppress(OSError):
            sock.send(answer)
        self.fire(close(sock))

    def _sweep(self) -> None:
        now = self._clock.now()
        for sock, meter in list(self._meters.items()):
            if meter.reply is not None:
                continue
            if meter.frame.begun and now - meter.since > self._limits.request_read_s:
                self._refuse(sock, _error_bytes(HTTPStatus.REQUEST_TIMEOUT))
            elif not meter.frame.begun and now - meter.since > self._limits.idle_s:
                self.drop(sock)


def _error_bytes(status: HTTPStatus) -> bytes:
    body = b'{"error": {"message": "%b", "type": "invalid_request_error", "code": "%d"}}' % (
        status.phrase.encode(),
        status.value,
    )
    return (
        b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
        b"Briarpond-Outcome: not-run\r\nConnection: close\r\n\r\n%b"
        % (status.value, status.phrase.encode(), len(body), body)
    )
