"""HTTP/1.1 client on the event loop; h11 encodes and parses the messages.

Idle connections are kept and used again. A call on a used connection can fail because
the server closes it at the same moment; `HttpCall.reuse_idle` sets whether a call takes that risk.
"""

import contextlib
import re
from collections import defaultdict, deque
from collections.abc import Callable
from enum import Enum

import h11
import msgspec

from briarpond.logs import log_warning

from ._address import Address
from ._clock import Clock, Timer
from ._headers import Headers, decode_headers, encode_headers, find_header
from ._loss import LossReason
from ._outbound import Connection, Connector

# Idle connections that are kept for one address, and how long each is kept.
MAX_IDLE_PER_ADDRESS = 8
IDLE_TIMEOUT_S = 10.0
# An idle connection is dropped this long before the server closes it, so that a new
# request still reaches the server in time.
KEEP_ALIVE_MARGIN_S = 0.5
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,9})")
# Largest answer to `HttpClient.fetch`; a larger one fails as malformed.
MAX_FETCH_BYTES = 16 * 1024 * 1024
# Greatest status of HTTP (RFC 9110, 15).
LAST_STATUS = 599


class CallState(Enum):
    """Progress of a call.

    Attributes
    ----------
    CONNECTING
        The connection is not established yet.
    SENT
        The request has been sent, and no head of its answer has arrived.
    ANSWERING
        The head of the answer has arrived.
    ENDED
        The answer is complete, or the call has failed or was cancelled.
    """

    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERING = "answering"
    ENDED = "ended"


class HttpCall(msgspec.Struct):
    """A request, and the functions to call as its answer arrives.

    Attributes
    ----------
    address : Address
        Server to send the request to.
    method, target, headers, body : str, str, Headers, bytes
        The request; ``Host`` and ``Content-Length`` are added. The body is dropped from the call
        once it is encoded.
    on_head : callable
        Called with status and headers of the answer.
    on_body : callable
        Called with each piece of the answer's body.
    on_end : callable
        Called when the answer is complete.
    on_lost : callable
        Called with the reason when the call fails; nothing is called after that.
    on_sent : callable or None
        Called just before the first byte of the request is sent.
    reuse_idle : bool
        Whether an idle connection may be used. A new connection is needed if a
        request may run only once: if its connect fails, the request was certainly
        not sent, whereas after a failed send on an idle connection it may have run.
    connect_timeout_s : float
        Longest duration of the connect, in seconds.
    echoed_header : tuple or None
        Header name (in lower case) and value that the server repeats in its answer.
        An answer with another value belongs to an earlier request on the same
        connection and is discarded. One without the header is accepted only on a new
        connection.
    on_trailers : callable or None
        Called with the trailers of the answer, if it has any, just before `on_end`.
    """

    address: Address
    method: str
    target: str
    headers: Headers
    body: bytes
    on_head: Callable[[int, Headers], None]
    on_body: Callable[[bytes], None]
    on_end: Callable[[], None]
    on_lost: Callable[[LossReason], None]
    on_sent: Callable[[], None] | None = None
    reuse_idle: bool = True
    connect_timeout_s: float = 1.0
    echoed_header: tuple[str, str] | None = None
    on_trailers: Callable[[Headers], None] | None = None


class Exchange:
    """One call in progress and its connection.

    Raises
    ------
    UnicodeEncodeError, h11.LocalProtocolError
        If the request cannot be encoded.
    """

    def __init__(self, client: "HttpClient", call: HttpCall) -> None:
        self.state = CallState.CONNECTING
        self._client = client
        self._call = call
        self._h11 = h11.Connection(h11.CLIENT)
        # Encoded before any connection is used, so that an error here leaves none tied to the call.
        self._request_data = self._encode_request()
        # Call and exchange refer to each other, and cyclic garbage may stay for long.
        call.body = b""
        self._conn: Connection | None = None
        self._idle_timeout_s = IDLE_TIMEOUT_S
        self._discarding = False

    @property
    def fresh(self) -> bool:
        """Whether the connection was opened for this call and not taken from the idle ones."""
        return self._conn is not None and self._conn.call_count == 1

    def attach(self, conn: Connection) -> None:
        """Use `conn`; if it is established, send the request at once."""
        self._conn = conn
        conn.call_count += 1
        if conn.established:
            self.on_open()

    def cancel(self) -> None:
        """Close the connection; no function of the call is called any more."""
        self.state = CallState.ENDED
        if self._conn is not None:
            self._conn.close()

    def pause(self) -> None:
        """Stop reading the answer, so that TCP flow control slows down the server."""
        if self._conn is not None and self.state is not CallState.ENDED:
            self._conn.pause()

    def resume(self) -> None:
        """Continue to read the answer after `pause`."""
        if self._conn is not None and self.state is not CallState.ENDED:
            self._conn.resume()

    def on_open(self) -> None:
        """Send the request on the established connection."""
        assert self._conn is not None
        call = self._call
        self.state = CallState.SENT
        # Called before the first byte is sent: from here on the request may have run.
        if call.on_sent is not None:
            call.on_sent()
        # Not kept any longer: a body may be large, and its request has it for other sends.
        request_data, self._request_data = self._request_data, b""
        self._conn.send(request_data)

    def _encode_request(self) -> bytes:
        """Encode the request; the h11 connection then expects the answer to it."""
        call = self._call
        headers = list(call.headers)
        if not any(name.lower() == "host" for name, _ in headers):
            headers.insert(0, ("Host", str(call.address)))
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(call.body))))
        request = h11.Request(
            method=call.method, target=call.target, headers=encode_headers(headers)
        )
        data = self._h11.send(request) or b""
        if call.body:
            data += self._h11.send(h11.Data(data=call.body)) or b""
        return data + (self._h11.send(h11.EndOfMessage()) or b"")

    def on_data(self, data: bytes) -> None:
        """Parse received bytes of the answer."""
        try:
            self._h11.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError:
            self._fail(LossReason.MALFORMED)

    def on_closed(self, established: bool) -> None:
        """Handle the end of the connection; an incomplete answer fails the call."""
        if self.state is CallState.ENDED:
            return
        if not established:
            self._fail(LossReason.CONNECT_FAILED)
            return
        if self._conn is None or not self._conn.was_reset:
            # An answer without a length is complete if its connection was closed in order.
            with contextlib.suppress(h11.RemoteProtocolError):
                self._h11.receive_data(b"")
                self._process_events()
        if self.state is not CallState.ENDED:
            self._fail(LossReason.CONNECTION_LOST)

    def _process_events(self) -> None:
        while self.state is not CallState.ENDED:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            match event:
                case h11.Data():
                    if not self._discarding:
                        self._call.on_body(bytes(event.data))
                case h11.Response():
                    self._on_response_head(event)
                case h11.EndOfMessage():
                    if not self._discarding:
                        self._complete(decode_headers(event.headers))
                        return
                    self._await_next_response()
                case h11.ConnectionClosed():
                    return

    def _on_response_head(self, event: h11.Response) -> None:
        """Pass the head on, unless `HttpCall.echoed_header` shows an answer to another request."""
        if event.status_code > LAST_STATUS:
            # The parser takes any three digits that are not below 100.
            self._fail(LossReason.MALFORMED)
            return
        headers = decode_headers(event.headers)
        echo = self._call.echoed_header
        if echo is not None:
            echoed = find_header(headers, echo[0])
            if echoed is None and not self.fresh:
                # It may be a late copy of an answer to an earlier call.
                self._fail(LossReason.MALFORMED)
                return
            self._discarding = echoed is not None and echoed != echo[1]
        if self._discarding:
            return
        self._idle_timeout_s = _parse_idle_timeout(headers)
        self.state = CallState.ANSWERING
        self._call.on_head(event.status_code, headers)

    def _await_next_response(self) -> None:
        """Prepare for the next answer after one to an earlier request was discarded.

        h11 allows one answer for each request, so a new h11 connection is set up as
        if the request had just been sent. It gets the bytes that follow the
        discarded answer.
        """
        following_data = self._h11.trailing_data[0]
        if self._h11.their_state is not h11.DONE:
            self._fail(LossReason.CONNECTION_LOST)
            return
        self._discarding = False
        self._h11 = h11.Connection(h11.CLIENT)
        self._encode_request()
        if following_data:
            self._h11.receive_data(following_data)

    def _complete(self, trailers: Headers) -> None:
        """End the call; keep the connection only if nothing is left in either direction."""
        self.state = CallState.ENDED
        assert self._conn is not None
        reusable = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if reusable and self._h11.trailing_data[0] == b"" and not self._conn.send_buffer:
            self._client.keep_idle(self._conn, self._idle_timeout_s)
        else:
            self._conn.close()
        if trailers and self._call.on_trailers is not None:
            self._call.on_trailers(trailers)
        self._call.on_end()

    def _fail(self, reason: LossReason) -> None:
        self.state = CallState.ENDED
        if self._conn is not None:
            self._conn.close()
        self._call.on_lost(reason)


class UnsendableCall:
    """A call whose request cannot be encoded; it is reported as lost from the loop."""

    def __init__(self, call: HttpCall, clock: Clock) -> None:
        self.state = CallState.CONNECTING
        self.fresh = False
        self._on_lost = call.on_lost
        clock.after(0.0, self._report)

    def cancel(self) -> None:
        """Report nothing."""
        self.state = CallState.ENDED

    def pause(self) -> None:
        """Do nothing: there is no answer to read."""

    def resume(self) -> None:
        """Do nothing: there is no answer to read."""

    def _report(self) -> None:
        if self.state is not CallState.ENDED:
            self.state = CallState.ENDED
            self._on_lost(LossReason.INVALID_REQUEST)


class _IdleCallbacks:
    """Drops an idle connection once it ends or receives bytes that answer no request."""

    def __init__(self, client: "HttpClient", conn: Connection) -> None:
        self._client = client
        self._conn = conn

    def on_open(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        self._client.remove_idle(self._conn)
        self._conn.close()

    def on_closed(self, established: bool) -> None:
        self._client.remove_idle(self._conn)


class _ConnectCallbacks:
    """Keeps a connection that was opened without a call, and tells whether it was established."""

    def __init__(
        self, client: "HttpClient", idle_timeout_s: float, on_done: Callable[[bool], None]
    ) -> None:
        self.conn: Connection | None = None
        self._client = client
        self._idle_timeout_s = idle_timeout_s
        self._on_done = on_done

    def on_open(self) -> None:
        if self.conn is not None:
            self._client.keep_idle(self.conn, self._idle_timeout_s)
        self._on_done(True)

    def on_data(self, data: bytes) -> None:
        """Do nothing: the connection has other callbacks once it is established."""

    def on_closed(self, established: bool) -> None:
        self._on_done(False)


class HttpClient:
    """Starts HTTP calls and keeps idle connections for later calls.

    Parameters
    ----------
    connector : Connector
        Opens the connections.
    clock : Clock
        Timers of the process.
    max_idle_per_address : int
        Idle connections that are kept for one address.
    """

    def __init__(
        self, connector: Connector, clock: Clock, max_idle_per_address: int = MAX_IDLE_PER_ADDRESS
    ) -> None:
        self._connector = connector
        self._clock = clock
        self._max_idle_per_address = max_idle_per_address
        self._idle: dict[Address, deque[tuple[float, Connection]]] = defaultdict(deque)

    def start(self, call: HttpCall) -> "Exchange | UnsendableCall":
        """Start a call.

        The functions of `call` are called later from the loop. Only `on_sent` may be
        called before this method returns, when an idle connection is used. A request that
        cannot be encoded is reported to `on_lost`, too.
        """
        try:
            exchange = Exchange(self, call)
        except (UnicodeEncodeError, h11.LocalProtocolError) as exc:
            log_warning("request_invalid", address=call.address, error=repr(exc))
            return UnsendableCall(call, self._clock)
        conn = self._take_idle(call.address) if call.reuse_idle else None
        if conn is None:
            conn = self._connector.open(call.address, exchange, call.connect_timeout_s)
        conn.callbacks = exchange
        exchange.attach(conn)
        return exchange

    def fetch(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout_s: float,
        on_answer: Callable[[int, bytes], None],
        on_failure: Callable[[LossReason], None],
        on_headers: Callable[[Headers], None] = lambda headers: None,
    ) -> Exchange | UnsendableCall:
        """Send a request whose small answer is collected in memory.

        An idle connection may be used.

        Parameters
        ----------
        address : Address
            Server to send the request to.
        method, target, headers, body : str, str, Headers, bytes
            The request.
        timeout_s : float
            Longest time until the answer is complete, in seconds.
        on_answer : callable
            Called with status and body of the complete answer.
        on_failure : callable
            Called with the reason if there is no complete answer in time.
        on_headers : callable
            Called with the headers of the answer, before one of the other two.
        """
        answer_body = bytearray()
        status = 0
        timer: Timer | None = None

        def on_head(code: int, answer_headers: Headers) -> None:
            nonlocal status
            status = code
            on_headers(answer_headers)

        def on_body(data: bytes) -> None:
            answer_body.extend(data)
            if len(answer_body) > MAX_FETCH_BYTES:
                exchange.cancel()
                on_lost(LossReason.MALFORMED)

        def on_end() -> None:
            assert timer is not None
            timer.cancel()
            on_answer(status, bytes(answer_body))

        def on_lost(reason: LossReason) -> None:
            assert timer is not None
            timer.cancel()
            on_failure(reason)

        def on_timeout() -> None:
            if exchange.state is not CallState.ENDED:
                exchange.cancel()
                on_failure(LossReason.TIMEOUT)

        call = HttpCall(
            address,
            method,
            target,
            headers,
            body,
            on_head,
            on_body,
            on_end,
            on_lost,
            connect_timeout_s=timeout_s,
        )
        timer = self._clock.after(timeout_s, on_timeout)
        exchange = self.start(call)
        return exchange

    def connect(
        self,
        address: Address,
        timeout_s: float,
        idle_timeout_s: float,
        on_done: Callable[[bool], None],
    ) -> None:
        """Open a new connection without a call, and keep it for later calls.

        Parameters
        ----------
        address : Address
            Server to connect to.
        timeout_s : float
            Longest duration of the connect, in seconds.
        idle_timeout_s : float
            Seconds for which the connection may be used.
        on_done : callable
            Called from the loop with whether the connection was established.
        """
        callbacks = _ConnectCallbacks(self, idle_timeout_s, on_done)
        callbacks.conn = self._connector.open(address, callbacks, timeout_s)

    def has_idle(self, address: Address) -> bool:
        """Whether a connection to an address is kept that a call can use again."""
        now = self._clock.now()
        return any(expires_at > now for expires_at, _ in self._idle.get(address, ()))

    def keep_idle(self, conn: Connection, idle_timeout_s: float = IDLE_TIMEOUT_S) -> None:
        """Keep an idle connection for later calls, or close it if there are enough.

        Parameters
        ----------
        conn : Connection
            Connection on which no call is in progress.
        idle_timeout_s : float
            Seconds for which it may be used again; at 0 or less it is closed.
        """
        idle = self._idle[conn.address]
        if len(idle) >= self._max_idle_per_address or idle_timeout_s <= 0:
            conn.close()
            return
        conn.callbacks = _IdleCallbacks(self, conn)
        conn.resume()
        idle.append((self._clock.now() + idle_timeout_s, conn))

    def remove_idle(self, conn: Connection) -> None:
        """Remove a connection from the idle ones, without closing it."""
        idle = self._idle.get(conn.address)
        if idle is None:
            return
        kept = deque(pair for pair in idle if pair[1] is not conn)
        if kept:
            self._idle[conn.address] = kept
        else:
            del self._idle[conn.address]

    def _take_idle(self, address: Address) -> Connection | None:
        """Return the idle connection that was used last; close those that have expired."""
        idle = self._idle.get(address)
        while idle:
            expires_at, conn = idle.pop()
            if not conn.closed and self._clock.now() < expires_at:
                return conn
            conn.close()
        return None


def _parse_idle_timeout(headers: Headers) -> float:
    """Return for how many seconds a connection may be kept idle after an answer.

    This is the ``timeout`` of the answer's ``Keep-Alive`` header less
    `KEEP_ALIVE_MARGIN_S`, and at most `IDLE_TIMEOUT_S`.
    """
    for name, value in headers:
        if name == "keep-alive":
            match = _KEEP_ALIVE_TIMEOUT.search(value)
            if match is not None:
                return min(IDLE_TIMEOUT_S, int(match[1]) - KEEP_ALIVE_MARGIN_S)
    return IDLE_TIMEOUT_S
