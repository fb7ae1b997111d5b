"""HTTP/1.1 calls over outgoing connections, framed by h11."""

from collections import defaultdict, deque
from collections.abc import Callable
from enum import Enum

import h11
import msgspec

from briarpond.conf import Address
from briarpond.net import Clock, Connection, Connector, Timer
from briarpond.requests import LossReason

IDLE_PER_ADDRESS = 8
IDLE_S = 10.0
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


class Exchange:
    """One call under way on one connection."""

    def __init__(self, client: "HttpClient", call: HttpCall) -> None:
        self.state = CallState.CONNECTING
        self._client = client
        self._call = call
        self._h11 = h11.Connection(h11.CLIENT)
        self._conn: Connection | None = None

    def begin(self, conn: Connection) -> None:
        """Use `conn`; send at once if it is open."""
        self._conn = conn
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
        headers = [("Host", str(call.address)), *call.headers]
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(call.body))))
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        data = self._h11.send(request) or b""
        if call.body:
            data += self._h11.send(h11.Data(data=call.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self.state = CallState.SENT
        # Told before the first byte goes out: from here on it may have run.
        if call.on_sent is not None:
            call.on_sent()
        self._conn.send(data)

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
        try:
            self._h11.receive_data(b"")
            self._drain_events()
        except h11.RemoteProtocolError:
            pass
        if self.state is not CallState.ENDED:
            self._lose(LossReason.CONNECTION_LOST)

    def _drain_events(self) -> None:
        while self.state is not CallState.ENDED:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            match event:
                case h11.Data():
                    self._call.on_body(bytes(event.data))
                case h11.Response():
                    self.state = CallState.ANSWERING
                    self._call.on_head(event.status_code, _decode_headers(event.headers))
                case h11.EndOfMessage():
                    self._end()
                    return
                case h11.ConnectionClosed():
                    return

    def _end(self) -> None:
        self.state = CallState.ENDED
        assert self._conn is not None
        reusable = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        if reusable and self._h11.trailing_data[0] == b"":
            self._client.keep(self._conn)
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

    def __init__(self, connector: Connector, clock: Clock) -> None:
        self._connector = connector
        self._clock = clock
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

    def keep(self, conn: Connection) -> None:
        """Keep an idle connection, or close it if there are enough."""
        idle = self._idle[conn.address]
        if len(idle) >= IDLE_PER_ADDRESS:
            conn.close()
            return
        conn.user = _Idle(self, conn)
        conn.resume()
        idle.append((self._clock.now(), conn))

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
            since, conn = idle.pop()
            if not conn.closed and self._clock.now() - since < IDLE_S:
                return conn
            conn.close()
        return None


def _decode_headers(headers: h11._headers.Headers) -> Headers:
    return tuple((name.decode("ascii"), value.decode("latin-1")) for name, value in headers)
