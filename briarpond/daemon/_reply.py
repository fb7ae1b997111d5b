"""Answer to one request, written past circuits.web's own response handling."""

from collections.abc import Callable
from http import HTTPStatus
from socket import socket
from typing import Protocol

from circuits.web.wrappers import Request, Response

from briarpond.net import Headers


class AnswerSink(Protocol):
    """The part of the listener that an answer uses."""

    def buffered(self, sock: socket) -> int:
        """Return the bytes that wait to be written to `sock`."""

    def send(self, sock: socket, data: bytes) -> None:
        """Send bytes, or buffer what the socket does not take."""

    def finish(self, sock: socket, close_connection: bool) -> None:
        """End the answer under way on `sock`."""

    def drop(self, sock: socket) -> None:
        """Close a connection at once and discard what is buffered for it."""


class Reply:
    """Answer to one request.

    Data is sent or buffered at once, without a limit. The code that writes limits the
    buffer: it checks `buffered` after each piece, pauses its source and resumes it when
    `on_flushed` is called.

    Parameters
    ----------
    listener : AnswerSink
        Owns the connection of the request.
    response : Response
        Response of circuits.web, which has the standard header fields and whether the
        connection closes after the answer.

    Attributes
    ----------
    ended : bool
        Whether the answer is complete, or can no longer be sent.
    on_disconnect : callable or None
        Called once if the caller leaves before the answer has ended.
    on_flushed : callable or None
        Called when all buffered bytes have been written.
    """

    def __init__(self, listener: AnswerSink, request: Request, response: Response) -> None:
        self.request = request
        self.ended = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_flushed: Callable[[], None] | None = None
        self._listener = listener
        self._response = response
        self._chunked = False

    @property
    def buffered(self) -> int:
        """Bytes of the answer that wait here because the caller reads slowly."""
        return self._listener.buffered(self.request.sock)

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer; the body is left out for a HEAD request."""
        head = self._render_head(status, (*headers, ("Content-Length", str(len(body)))))
        with_body = self.request.method != "HEAD"
        self._listener.send(self.request.sock, head + body if with_body else head)
        self._finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in pieces.

        The body is chunked; a caller with HTTP/1.0 gets it up to the close of the
        connection instead.
        """
        self._chunked = self.request.protocol >= (1, 1)
        if self._chunked:
            headers = (*headers, ("Transfer-Encoding", "chunked"))
        else:
            self._response.close = True
        self._listener.send(self.request.sock, self._render_head(status, headers))

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not self._chunked:
            self._listener.send(self.request.sock, data)
        elif data:
            self._listener.send(self.request.sock, b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """End a body that was sent in pieces."""
        if self._chunked:
            self._listener.send(self.request.sock, b"0\r\n\r\n")
        self._finish()

    def abort(self) -> None:
        """Close the connection, so that the caller sees that the answer is incomplete."""
        self.ended = True
        self._listener.drop(self.request.sock)

    def close_when_done(self) -> None:
        """Close the connection once this answer has ended."""
        self._response.close = True

    def notify_disconnected(self) -> None:
        """Call `on_disconnect` if the caller has disconnected before the end of the answer."""
        if not self.ended:
            self.ended = True
            if self.on_disconnect is not None:
                self.on_disconnect()

    def _render_head(self, status: int, headers: Headers) -> bytes:
        response = self._response
        response.status = HTTPStatus(status) if status in _KNOWN_STATUSES else status
        response.headers.pop("Content-Type", None)
        for name, value in headers:
            response.headers.add_header(name, value)
        if response.close:
            response.headers["Connection"] = "close"
        elif self.request.protocol < (1, 1):
            response.headers["Connection"] = "Keep-Alive"
        return bytes(response) + bytes(response.headers)

    def _finish(self) -> None:
        self.ended = True
        self._response.done = True
        self._listener.finish(self.request.sock, self._response.close)


_KNOWN_STATUSES = frozenset(int(status) for status in HTTPStatus)
