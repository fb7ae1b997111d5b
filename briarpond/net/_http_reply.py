"""The answer to one request of a caller."""

from collections.abc import Callable
from typing import Protocol

from ._headers import Headers

# A larger body may wait for its caller, which may send its next request meanwhile.
MAX_SHORT_BODY_BYTES = 512 * 1024


class ReplyConnection(Protocol):
    """Methods that a reply calls on its connection."""

    def send_head(self, status: int, headers: Headers, is_short: bool) -> None:
        """Send the head of the answer; `is_short` if the rest follows at once and is small."""

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""

    def end_response(self, trailers: Headers = ()) -> None:
        """End the answer; trailers are sent only if it has no length."""

    def abort(self) -> None:
        """Close the connection at once, in the middle of the answer."""


class HttpReply:
    """The answer to one request.

    It is sent either by `send_whole`, or by `start`, `write` and `end`.

    Attributes
    ----------
    on_disconnect : callable or None
        Called once if the caller disconnects before the answer has ended.
    started, ended : bool
        Whether the head has been sent, and whether the answer has ended: it was sent
        completely or was aborted, or the caller has disconnected.
    """

    def __init__(self, conn: ReplyConnection) -> None:
        self.on_disconnect: Callable[[], None] | None = None
        self.started = False
        self.ended = False
        self._conn = conn

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer; ``Content-Length`` is added."""
        if self.ended:
            return
        self.started = True
        is_short = len(body) <= MAX_SHORT_BODY_BYTES
        self._conn.send_head(status, (*headers, ("Content-Length", str(len(body)))), is_short)
        if body:
            self._conn.send_data(body)
        self.end()

    def start(self, status: int, headers: Headers) -> None:
        """Send status and headers of an answer whose body follows by `write`."""
        if not self.ended:
            self.started = True
            self._conn.send_head(status, headers, False)

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not self.ended:
            self._conn.send_data(data)

    def end(self, trailers: Headers = ()) -> None:
        """End the answer after its last piece; it may have trailers unless sent whole."""
        if not self.ended:
            self.ended = True
            self._conn.end_response(trailers)

    def abort(self) -> None:
        """Close the connection, so that the caller sees that the answer is truncated."""
        if not self.ended:
            self.ended = True
            self._conn.abort()

    def notify_disconnected(self) -> None:
        """End the answer, and call `on_disconnect`, because the caller has disconnected."""
        if not self.ended:
            self.ended = True
            if self.on_disconnect is not None:
                self.on_disconnect()
