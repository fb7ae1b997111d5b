"""One connection of a caller: its requests are parsed and answered one after the other."""

from collections.abc import Callable
from typing import Protocol

import h11

from ._body_budget import BodyBudget
from ._body_reading import BodyReading
from ._clock import Clock
from ._connection_end import BodyRefusal, CloseReason, ConnectionEnd, ConnectionPhase
from ._delivery_watch import DeliveryWatch
from ._headers import Headers, decode_headers, encode_headers
from ._http_reply import HttpReply
from ._http_request import HttpRequest, HttpServerLimits
from ._outbound import Connection
from ._parse_queue import PIECES_AT_ONCE, ParseQueue
from ._read_allowance import RECEIVE_BYTES

# Interval of the check for connections that have timed out.
SWEEP_INTERVAL_S = 0.25
# A connection for which more bytes wait is closed when the next piece is to be sent.
MAX_UNREAD_BYTES = 4 * 1024 * 1024
# Largest peek at the head of a request; most heads are smaller.
HEAD_PEEK_BYTES = 4 * 1024
# Retry-After of a request for whose body there is no room.
NO_ROOM_RETRY_S = 1


class ConnectionServer(Protocol):
    """What a connection uses of its server, see `HttpServer`."""

    clock: Clock
    handle: Callable[[HttpRequest, HttpReply], None]
    limits: HttpServerLimits
    closing: bool
    connections: set["CallerConnection"]
    identify: Callable[[HttpRequest], str | None]
    on_end: Callable[[ConnectionEnd], None]
    on_body_refused: Callable[[BodyRefusal], None]
    budget: BodyBudget
    parse_queue: ParseQueue


class CallerConnection:
    """One connection of a caller; pipelined requests are answered one after the other.

    Bytes behind a request stay in the socket until it is answered, so that a process that ends
    has read no request which it doesn't answer. Where the end of a request isn't known in advance,
    bytes are therefore only peeked at, and taken out of the socket once they are parsed.

    It alone decides when its socket is closed, and stays in `HttpServer.connections` until then.

    Attributes
    ----------
    phase : ConnectionPhase
        What it waits for.
    """

    def __init__(self, server: ConnectionServer, conn: Connection) -> None:
        self.phase = ConnectionPhase.IDLE
        self._server = server
        self._conn = conn
        self._accepted_at = self._phase_started_at = server.clock.now()
        self._delivery = DeliveryWatch(self._accepted_at)
        self._request_id: str | None = None
        self._close_reason: CloseReason | None = None
        self._phase_at_close = ConnectionPhase.IDLE
        self._h11 = self._new_parser()
        self._request: h11.Request | None = None
        self._body = BodyReading(server.budget, self, self._accepted_at)
        # Bytes that the parser has, and the socket still holds.
        self._peeked_bytes = 0
        self._is_queued = False
        self._reply: HttpReply | None = None
        self._processing_events = False
        conn.read_bytes, conn.peeks = HEAD_PEEK_BYTES, True

    # Called by the connector

    def on_open(self) -> None:
        """Not called: the connection was established when it was accepted."""

    def on_data(self, data: bytes) -> None:
        """Parse received bytes of requests; while closing, they are discarded."""
        if self.phase is ConnectionPhase.CLOSING:
            return
        if self.phase is ConnectionPhase.IDLE:
            self._apply_header_limit()
            self.phase = ConnectionPhase.READING
            self._phase_started_at = self._server.clock.now()
        self._peeked_bytes = len(data) if self._conn.peeks else 0
        self._h11.receive_data(data)
        self.parse(PIECES_AT_ONCE)

    def on_closed(self, _established: bool) -> None:
        """Handle the end of the connection: the caller's disconnect, or of a close that began."""
        reason = CloseReason.CALLER_LEFT
        if self._conn.callback_failed:
            reason = CloseReason.ERROR
        elif self._conn.half_closed and self._close_reason is not None:
            reason = self._close_reason
        self._report_end(reason, self._conn.dropped_bytes, 0)

    # Called by the reply

    def send_head(self, status: int, headers: Headers, is_short: bool) -> None:
        """Send the head of the answer.

        Only a short answer of a stopping server says that it is the last one: a request that
        arrives while another one lasts, or waits for its caller, could no longer be answered.
        """
        is_last = is_short and not self.unread_bytes and not self._has_next_request()
        if self._server.closing and is_last:
            headers = (*headers, ("Connection", "close"))
        response = h11.Response(status_code=status, headers=encode_headers(headers))
        self._send(self._h11.send(response))

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body.

        If too much waits already, the connection is closed and the caller counts as
        disconnected. The piece itself doesn't count: the caller has had no time to read it.
        """
        if self.unread_bytes > MAX_UNREAD_BYTES:
            self.give_up(CloseReason.UNREAD_LIMIT)
        else:
            self._send(self._h11.send(h11.Data(data=data)))

    def abort(self) -> None:
        """Close the connection at once, in the middle of an answer."""
        self.give_up(CloseReason.ABORTED)

    def end_response(self, trailers: Headers = ()) -> None:
        """End the answer; continue with the next request, or close the connection."""
        self._send(self._h11.send(h11.EndOfMessage(headers=encode_headers(trailers))))
        self._reply = None
        self._request = None
        self._body.drop()
        self.phase = ConnectionPhase.IDLE
        self._phase_started_at = self._server.clock.now()
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self.begin_close(CloseReason.LAST_ANSWER)
            return
        # Not its next cycle: the parser has seen bytes that are still in the socket.
        self._h11 = self._new_parser()
        self._update_reading()

    # Called by the parse queue and the budget

    def parse(self, max_pieces: int) -> int:
        """Handle at most so many parsed parts of requests; return how many there were."""
        self._is_queued = False
        if self._processing_events or self._conn.closed:
            return 0
        pieces = 0
        self._processing_events = True
        try:
            while pieces < max_pieces and self._process_event():
                pieces += 1
        except h11.RemoteProtocolError as exc:
            self._reject(exc.error_status_hint or 400)
        finally:
            self._processing_events = False
        if pieces == max_pieces and self.phase is ConnectionPhase.READING:
            self._is_queued = True
            self._server.parse_queue.add(self)
        else:
            self._consume_peeked(0)
        self._update_reading()
        return pieces

    def parse_in_turn(self, max_pieces: int) -> int:
        """Do the same from the parse queue; an unexpected error ends only this connection."""
        pieces = 0

        def parse() -> None:
            nonlocal pieces
            pieces = self.parse(max_pieces)

        self._conn.run_callback(parse)
        return pieces

    def on_room(self) -> None:
        """Continue to read a body for which there is room now."""
        self._body.note_progress(self._server.clock.now())
        self._update_reading()

    # Called by the server

    @property
    def unread_bytes(self) -> int:
        """Bytes of answers that the caller has not read, as far as they wait in this process."""
        return len(self._conn.send_buffer)

    @property
    def is_at_rest(self) -> bool:
        """Whether all that has arrived is answered, and the answers have left this process.

        What a closing connection still receives is not read, so it counts for nothing. Its
        answers have to have left the socket, too: once the process has ended, the next bytes
        from the caller would reset the connection.
        """
        if self.unread_bytes:
            return False
        if self.phase is ConnectionPhase.CLOSING:
            return not self._conn.unsent_in_socket()
        return self.phase is ConnectionPhase.IDLE and not self._conn.has_unread_bytes()

    def close_at_rest(self, reason: CloseReason) -> None:
        """Close the connection if it is at rest, or continue a close that has begun.

        Where the caller has all bytes, the socket is closed at once, so that a request which
        crosses the close is not read.
        """
        if self.phase is ConnectionPhase.CLOSING:
            self._continue_close()
        elif self.is_at_rest and self._conn.unacknowledged_in_socket():
            self.begin_close(reason)
        elif self.is_at_rest:
            self.give_up(reason)

    def begin_close(self, reason: CloseReason) -> None:
        """Take no further request, and close the connection once the answers are sent."""
        if self.phase is not ConnectionPhase.CLOSING:
            self._close_reason = reason
            self._phase_at_close = self.phase
            self.phase = ConnectionPhase.CLOSING
            self._body.drop()
            # Bytes left unread at the close would reset the connection, and cost the answer.
            self._update_reading()
        self._continue_close()

    def give_up(self, reason: CloseReason) -> None:
        """Close the connection at once; what is not sent yet is dropped.

        If a request is unanswered, the caller counts as disconnected.
        """
        unsent_bytes, socket_bytes = self.unread_bytes, self._conn.unsent_in_socket()
        self._conn.close()
        self._report_end(reason, unsent_bytes, socket_bytes)

    def end_at_stop(self) -> bool:
        """Close the connection because the process ends; return whether something is given up.

        Only what is not sent is dropped. What the socket holds is still sent: it isn't reset.
        """
        was_at_rest = self.is_at_rest
        if self.unread_bytes or not self._conn.unacknowledged_in_socket():
            self.give_up(CloseReason.STOP)
            return not was_at_rest
        socket_bytes = self._conn.unsent_in_socket()
        self._conn.callbacks = None
        self._conn.resume()
        self._conn.close_after_reading()
        self._report_end(CloseReason.STOP, 0, socket_bytes)
        return not was_at_rest

    def sweep(self, now: float) -> None:
        """Continue a close that has begun, and close the connection if it has timed out."""
        limits = self._server.limits
        self._delivery.update(self._waiting_bytes(), now)
        if self.phase is ConnectionPhase.CLOSING:
            self._continue_close()
        if self._delivery.stalled_s(now) > limits.idle_timeout_s and self._reply is None:
            self.give_up(CloseReason.CALLER_TOO_SLOW)
        elif self._is_slow_with_headers(limits, now):
            self.begin_close(CloseReason.HEADER_TIMEOUT)
        elif self._is_idle_for_too_long(limits, now):
            self.close_at_rest(CloseReason.IDLE)
        elif self._body.waited_s(now) > limits.idle_timeout_s:
            self.refuse_body(503, CloseReason.BODY_NO_ROOM)
        elif self._body.idle_s(now) > limits.idle_timeout_s and self._has_body_to_send():
            self.refuse_body(408, CloseReason.BODY_TIMEOUT)

    def is_body_stalled(self, now: float, timeout_s: float) -> bool:
        """Whether a body has made too little progress for others to wait for its room."""
        return self._body.slow_s(now) > timeout_s and self._has_body_to_send()

    def refuse_body(self, status: int, reason: CloseReason) -> None:
        """Refuse the request whose body is being read, and close; it hasn't run."""
        self._server.on_body_refused(
            BodyRefusal(
                status, reason, self._body.size, self._server.clock.now() - self._phase_started_at
            )
        )
        self._reject(status, reason)

    def _has_body_to_send(self) -> bool:
        """Whether a body is awaited, and only its caller holds it up."""
        if self.phase is not ConnectionPhase.READING or self._request is None:
            return False
        if self._is_queued or self._body.is_waiting:
            return False
        # After a late turn of the loop, bytes of the body may wait in the socket.
        return not self._conn.has_unread_bytes()

    def _has_next_request(self) -> bool:
        """Whether a request has begun to arrive behind the one that is answered now.

        Once an answer says that it is the last one, HTTP allows no answer to that request.
        """
        return self._conn.has_unread_bytes()

    # Close

    def _waiting_bytes(self) -> int:
        """Bytes that the caller has not taken; those in the socket only where they matter."""
        if self.unread_bytes or self.phase is ConnectionPhase.CLOSING:
            return self.unread_bytes + self._conn.unsent_in_socket()
        return 0

    def _is_slow_with_headers(self, limits: HttpServerLimits, now: float) -> bool:
        is_incomplete = self.phase is ConnectionPhase.READING and self._request is None
        return is_incomplete and now - self._phase_started_at > limits.header_timeout_s

    def _is_idle_for_too_long(self, limits: HttpServerLimits, now: float) -> bool:
        idle_since = max(self._phase_started_at, self._delivery.busy_at)
        return self.phase is ConnectionPhase.IDLE and now - idle_since > limits.idle_timeout_s

    def _continue_close(self) -> None:
        if not self.unread_bytes:
            self._conn.close_after_reading()

    def _report_end(self, reason: CloseReason, unsent_bytes: int, socket_bytes: int) -> None:
        """Leave the server and tell it how the connection has ended, once."""
        server = self._server
        if self not in server.connections:
            return
        server.connections.discard(self)
        self._body.drop()
        is_closing = self.phase is ConnectionPhase.CLOSING
        phase = self._phase_at_close if is_closing else self.phase
        server.on_end(
            ConnectionEnd(
                reason,
                phase,
                self._request_id,
                phase is not ConnectionPhase.IDLE,
                unsent_bytes,
                socket_bytes,
                server.clock.now() - self._accepted_at,
            )
        )
        if self._reply is not None:
            self._reply.notify_disconnected()

    # Parsing

    def _new_parser(self) -> h11.Connection:
        self._parser_header_bytes = self._server.limits.max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._parser_header_bytes + 1)

    def _apply_header_limit(self) -> None:
        """Parse the request whose first bytes have arrived by the limit in force now.

        The parser was made when the connection began to wait, which may be long ago.
        """
        if self._parser_header_bytes != self._server.limits.max_header_bytes:
            self._h11 = self._new_parser()

    def _consume_peeked(self, trailing_bytes: int) -> None:
        """Take what is parsed out of the socket, without `trailing_bytes` of later requests."""
        peeked_bytes, self._peeked_bytes = self._peeked_bytes, 0
        self._conn.consume(peeked_bytes - trailing_bytes)

    def _update_reading(self) -> None:
        """Set whether and how the socket is read, by what is awaited of the caller."""
        conn = self._conn
        if conn.closed:
            return
        conn.peeks = False
        match self.phase:
            case ConnectionPhase.ANSWERING:
                conn.read_bytes = 0
                return
            case ConnectionPhase.CLOSING:
                # What is received is discarded.
                conn.read_bytes = RECEIVE_BYTES
            case _ if self._request is None:
                conn.read_bytes, conn.peeks = HEAD_PEEK_BYTES, True
            case _:
                room_bytes = 0 if self._is_queued else self._body.ask_for_room(self._now())
                if room_bytes == 0:
                    conn.pause_until_hangup()
                    return
                conn.read_bytes = min(RECEIVE_BYTES, room_bytes)
                conn.peeks = self._body.is_chunked
        conn.resume()

    def _now(self) -> float:
        return self._server.clock.now()

    def _process_event(self) -> bool:
        """Handle the next parsed part; return whether there may be more."""
        if self._conn.closed or self.phase in (ConnectionPhase.ANSWERING, ConnectionPhase.CLOSING):
            return False
        event = self._h11.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        match event:
            case h11.Request():
                return self._on_request_head(event)
            case h11.Data():
                self._body.add(event.data, self._now())
                if self._body.size > self._server.limits.max_body_bytes:
                    self.refuse_body(413, CloseReason.REJECTED)
                    return False
            case h11.EndOfMessage():
                self._on_request_complete()
            case h11.ConnectionClosed():
                return False
        return True

    def _on_request_head(self, event: h11.Request) -> bool:
        """Check the sizes of a request; return whether it is accepted."""
        self.phase = ConnectionPhase.READING
        self._request = event
        max_body_bytes = self._server.limits.max_body_bytes
        self._body.begin(max_body_bytes, self._now())
        size = sum(len(name) + len(value) + 4 for name, value in event.headers)
        if size > self._server.limits.max_header_bytes:
            self._reject(431)
            return False
        for name, value in event.headers:
            if name == b"content-length":
                if int(value) > max_body_bytes:
                    self.refuse_body(413, CloseReason.REJECTED)
                    return False
                self._body.announce(int(value))
            elif name == b"transfer-encoding":
                self._body.is_chunked = True
        if self._h11.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._send(self._h11.send(continue_response))
        return True

    def _on_request_complete(self) -> None:
        event = self._request
        assert event is not None
        self.phase = ConnectionPhase.ANSWERING
        request = HttpRequest(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            decode_headers(event.headers),
            self._body.take(),
            self._server.clock.now(),
        )
        self._consume_peeked(len(self._h11.trailing_data[0]))
        self._request_id = self._server.identify(request)
        self._reply = HttpReply(self)
        self._server.handle(request, self._reply)

    def _reject(self, status: int, reason: CloseReason = CloseReason.REJECTED) -> None:
        """Answer a request that is not taken with `status`, and close."""
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [("Content-Length", "0"), ("Connection", "close")]
            if status == 503:
                headers.append(("Retry-After", str(NO_ROOM_RETRY_S)))
            head = h11.Response(status_code=status, headers=headers)
            self._send(self._h11.send(head))
            self._send(self._h11.send(h11.EndOfMessage()))
        self.phase = ConnectionPhase.IDLE
        self.begin_close(reason)

    def _send(self, data: bytes | None) -> None:
        if data:
            self._conn.send(data)
