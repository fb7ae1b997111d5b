"""HTTP/1.1 calls over outgoing connections, framed by h11."""

import contextlib
import re
from collections import defaultdict, deque
from collections.abc import Callable
from enum import Enum

import h11
import msgspec

from ._address import Address
from ._clock import Clock, Timer
from ._loss import LossReason
from ._outbound import Connection, Connector

IDLE_PER_ADDRESS = 8
IDLE_S = 10.0
# A request needs this long to reach a server that is about to close.
KEEP_ALIVE_MARGIN_S = 0.5
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")
MAX_CONTROL_BYTES = 16 * 1024 * 1024

Headers = tuple[tuple[str, str], ...]


class CallState(Enum):
    """How far a call has come."""

    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERING = "answering"
    ENDED = "ended"


class HttpCall(msgspec.Struct):
    """A request to send and the functions to call as its answer arrives.

    Attributes
    ----------
    reuse : bool
        Whether an idle connection may be used. A fresh one is needed where a
        failed send must be told from a request that may have run.
    echo : tuple or None
        Header name (lower case) and value that the answer repeats from the request.
        An answer with another value belongs to nobody here and is passed over.
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
    reuse: bool = True
    connect_s: float = 1.0
    echo: tuple[str, str] | None = None


class Exchange:
    """One call under way on one connection."""

    def __init__(self, client: "HttpClient", call: HttpCall) -> None:
        self.state = CallState.CONNECTING
        self._client = client
        self._call = call
        self._h11 = h11.Connection(h11.CLIENT)
        self._conn: Connection | None = None
        self._idle_s = IDLE_S
        self._skipping = False

    @property
    def fresh(self) -> bool:
        """Whether the connection was opened for this call."""
        return self._conn is not None and self._conn.calls == 1

    def begin(self, conn: Connection) -> None:
        """Use `conn`; send at once if it is open."""
        self._conn = conn
        conn.calls += 1
        if conn.established:
            self.on_open()

    def cancel(self) -> None:
        """Close the connection; nothing more is called."""
        self.state = CallState.ENDED
        if self._conn is not None:
            self._conn.close()

    def pause(self) -> None:
        """Stop reading the answer."""
        if self._conn is not None and self.state is not CallState.ENDED:
            self._conn.pause()

    def resume(self) -> None:
        """Read the answer again."""
        if self._conn is not None and self.state is not CallState.ENDED:
            self._conn.resume()

    def on_open(self) -> None:
        """Send the request."""
        assert self._conn is not None
        call = self._call
        data = self._frame()
        self.state = CallState.SENT
        # Told before the first byte goes out: from here on it may have run.
        if call.on_sent is not None:
            call.on_sent()
        self._conn.send(data)

    def _frame(self) -> bytes:
        """Return the bytes of the request; the parser then expects its answer."""
        call = self._call
        headers = list(call.headers)
        if not any(name.lower() == "host" for name, _ in headers):
            headers.insert(0, ("Host", str(call.address)))
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(call.body))))
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        data = self._h11.send(request) or b""
        if call.body:
            data += self._h11.send(h11.Data(data=call.body)) or b""
        return data + (self._h11.send(h11.EndOfMessage()) or b"")

    def on_data(self, data: bytes) -> None:
        """Take bytes of the answer."""
        try:
            self._h11.receive_data(data)
            self._drain_events()
        except h11.RemoteProtocolError:
            self._lose(LossReason.MALFORMED)

    def on_closed(self, established: bool) -> None:
        """Take the end of the connection."""
        if self.state is CallState.ENDED:
            return
        if not established:
            self._lose(LossReason.CONNECT_FAILED)
            return
        if self._conn is None or not self._conn.was_reset:
            # An answer without a length is whole if its connection ended in good order.
            with contextlib.suppress(h11.RemoteProtocolError):
                self._h11.receive_data(b"")
                self._drain_events()
        if self.state is not CallState.ENDED:
            self._lose(LossReason.CONNECTION_LOST)

    def _drain_events(self) -> None:
        while self.state is not CallState.ENDED:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            match event:
                case h11.Data():
                    if not self._skipping:
                        self._call.on_body(bytes(event.data))
                case h11.Response():
                    self._take_head(event)
                case h11.EndOfMessage():
                    if not self._skipping:
                        self._end()
                        return
                    self._expect_next()
                case h11.ConnectionClosed():
                    return

    def _take_head(self, event: h11.Response) -> None:
        headers = _decode_headers(event.headers)
        echo = self._call.echo
        if echo is not None:
            said = next((value for name, value in headers if name == echo[0]), echo[1])
            self._skipping = said != echo[1]
        if self._skipping:
            return
        self._idle_s = _keep_alive(headers)
        self.state = CallState.ANSWERING
        self._call.on_head(event.status_code, headers)

    def _expect_next(self) -> None:
        """Pass over an answer to an earlier request; ours comes behind it."""
        rest = self._h11.trailing_data[0]
        if self._h11.their_state is not h11.DONE:
            self._lose(LossReason.CONNECTION_LOST)
            return
        self._skipping = False
        self._h11 = h11.Connection(h11.CLIENT)
        self._frame()
        if rest:
            self._h11.receive_data(rest)

    def _end(self) -> None:
        self.state = CallState.ENDED
        assert self._conn is not None
        reusable = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if reusable and self._h11.trailing_data[0] == b"" and not self._conn.buffer:
            self._client.keep(self._conn, self._idle_s)
        else:
            self._conn.close()
        self._call.on_end()

    def _lose(self, reason: LossReason) -> None:
        self.state = CallState.ENDED
        if self._conn is not None:
            self._conn.close()
        self._call.on_lost(reason)


class _Idle:
    """Watches an idle connection."""

    def __init__(self, client: "HttpClient", conn: Connection) -> None:
        self._client = client
        self._conn = conn

    def on_open(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        self._client.forget(self._conn)
        self._conn.close()

    def on_closed(self, established: bool) -> None:
        self._client.forget(self._conn)


class HttpClient:
    """Starts calls and keeps idle connections for the next ones."""

    def __init__(
        self, connector: Connector, clock: Clock, idle_most: int = IDLE_PER_ADDRESS
    ) -> None:
        self._connector = connector
        self._clock = clock
        self._idle_most = idle_most
        self._idle: dict[Address, deque[tuple[float, Connection]]] = defaultdict(deque)

    def start(self, call: HttpCall) -> Exchange:
        """Start a call; its functions are called later from the loop."""
        exchange = Exchange(self, call)
        conn = self._take_idle(call.address) if call.reuse else None
        if conn is None:
            conn = self._connector.open(call.address, exchange, call.connect_s)
        conn.user = exchange
        exchange.begin(conn)
        return exchange

    def fetch(
        self,
        address: Address,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout_s: float,
        done: Callable[[int, bytes], None],
        lost: Callable[[LossReason], None],
    ) -> Exchange:
        """Call for a whole small answer within `timeout_s` seconds."""
        collected = bytearray()
        status = 0
        timer: Timer | None = None

        def on_head(code: int, _headers: Headers) -> None:
            nonlocal status
            status = code

        def on_body(data: bytes) -> None:
            collected.extend(data)
            if len(collected) > MAX_CONTROL_BYTES:
                exchange.cancel()
                on_lost(LossReason.MALFORMED)

        def on_end() -> None:
            assert timer is not None
            timer.cancel()
            done(status, bytes(collected))

        def on_lost(reason: LossReason) -> None:
            assert timer is not None
            timer.cancel()
            lost(reason)

        def on_timeout() -> None:
            if exchange.state is not CallState.ENDED:
                exchange.cancel()
                lost(LossReason.TIMEOUT)

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
            connect_s=timeout_s,
        )
        timer = self._clock.after(timeout_s, on_timeout)
        exchange = self.start(call)
        return exchange

    def keep(self, conn: Connection, idle_s: float = IDLE_S) -> None:
        """Keep an idle connection for `idle_s`, or close it if there are enough."""
        idle = self._idle[conn.address]
        if len(idle) >= self._idle_most or idle_s <= 0:
            conn.close()
            return
        conn.user = _Idle(self, conn)
        conn.resume()
        idle.append((self._clock.now() + idle_s, conn))

    def forget(self, conn: Connection) -> None:
        """Drop an idle connection that has ended."""
        idle = self._idle.get(conn.address)
        if idle is None:
            return
        kept = deque(pair for pair in idle if pair[1] is not conn)
        if kept:
            self._idle[conn.address] = kept
        else:
            del self._idle[conn.address]

    def _take_idle(self, address: Address) -> Connection | None:
        idle = self._idle.get(address)
        while idle:
            until, conn = idle.pop()
            if not conn.closed and self._clock.now() < until:
                return conn
            conn.close()
        return None


def _keep_alive(headers: Headers) -> float:
    """Return how long the server keeps an idle connection, less a margin."""
    for name, value in headers:
        if name == "keep-alive":
            match = _KEEP_ALIVE.search(value)
            if match is not None:
                return min(IDLE_S, int(match[1]) - KEEP_ALIVE_MARGIN_S)
    return IDLE_S


def _decode_headers(headers: h11._headers.Headers) -> Headers:
    return tuple((name.decode("ascii"), value.decode("latin-1")) for name, value in headers)
