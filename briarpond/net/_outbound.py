"""Outgoing TCP connections of the process on the circuits poller.

circuits' own client polls for the end of a connect in a generator, which keeps
the loop at full processor while an address hangs. This component waits for
writability instead, and carries all connections on one channel.
"""

import contextlib
import errno
import socket
from collections.abc import Callable
from typing import Protocol

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

from ._address import Address
from ._clock import Clock, Timer
from ._poller import DirectPoller

READ_BYTES = 64 * 1024
LINGER_S = 1.0
# A connection whose bytes nobody acknowledges for so long is lost.
UNACKNOWLEDGED_MS = 5_000


class ConnectionUser(Protocol):
    """What the owner of a connection is told."""

    def on_open(self) -> None:
        """The connection is established."""

    def on_data(self, data: bytes) -> None:
        """Bytes have arrived."""

    def on_closed(self, established: bool) -> None:
        """The connection has ended or could not be established."""


class Connection:
    """One outgoing connection."""

    def __init__(self, owner: "Connector", sock: socket.socket, address: Address) -> None:
        self.address = address
        self.user: ConnectionUser | None = None
        self.established = False
        self.closed = False
        self.calls = 0
        # Whether the other side broke the connection instead of ending it.
        self.was_reset = False
        self.sock = sock
        self.buffer = bytearray()
        self.connect_timer: Timer | None = None
        self._owner = owner

    def send(self, data: bytes) -> None:
        """Send bytes, buffering what the socket does not take at once."""
        self._owner.send(self, data)

    def close(self) -> None:
        """Close at once; the user is not told."""
        self._owner.drop(self)

    def close_after_reading(self) -> None:
        """Send the end; close once the other side has ended too, or soon after.

        Closing with unread bytes would reset the connection and take back what
        was just sent.
        """
        self._owner.half_close(self)

    def pause(self) -> None:
        """Stop reading, so that the other side is held back."""
        self._owner.set_reading(self, False)

    def resume(self) -> None:
        """Read again."""
        self._owner.set_reading(self, True)


class Connector(BaseComponent):
    """Opens and drives all outgoing connections."""

    channel = "outbound"

    def __init__(self, clock: Clock, poller: BasePoller | DirectPoller) -> None:
        super().__init__()
        self._clock = clock
        self._poller = poller
        self._connections: dict[socket.socket, Connection] = {}

    def open(self, address: Address, user: ConnectionUser, timeout_s: float) -> Connection:
        """Begin to connect; the user is told of the end later, never from within."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
        conn = Connection(self, sock, address)
        conn.user = user
        self._connections[sock] = conn
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            self._clock.after(0.0, lambda: self._lose(conn))
            return conn
        self._poller.addWriter(self, sock)
        conn.connect_timer = self._clock.after(timeout_s, lambda: self._on_connect_timeout(conn))
        return conn

    def adopt(self, sock: socket.socket, address: Address) -> Connection:
        """Drive a connection that was accepted."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = Connection(self, sock, address)
        conn.established = True
        self._connections[sock] = conn
        self._poller.addReader(self, sock)
        return conn

    def send(self, conn: Connection, data: bytes) -> None:
        """Send directly while nothing is buffered; it saves a turn of the loop."""
        if conn.closed:
            return
        if not conn.buffer and conn.established:
            data = self._send_now(conn, data)
        if data and not conn.closed:
            conn.buffer += data
            self._want_write(conn)

    def drop(self, conn: Connection) -> None:
        """Close without telling the user."""
        if conn.closed:
            return
        conn.closed = True
        conn.user = None
        if conn.connect_timer is not None:
            conn.connect_timer.cancel()
        self._connections.pop(conn.sock, None)
        self._poller.discard(conn.sock)
        conn.sock.close()
        conn.buffer.clear()

    def half_close(self, conn: Connection) -> None:
        """End our direction and pass over what still comes."""
        if conn.closed:
            return
        conn.user = None
        with contextlib.suppress(OSError):
            conn.sock.shutdown(socket.SHUT_WR)
        self._clock.after(LINGER_S, conn.close)

    def set_reading(self, conn: Connection, reading: bool) -> None:
        """Start or stop reading."""
        if conn.closed or not conn.established:
            return
        is_reading = self._poller.isReading(conn.sock)
        if reading and not is_reading:
            self._poller.addReader(self, conn.sock)
        elif not reading and is_reading:
            self._poller.removeReader(conn.sock)

    @handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        self.readable(sock)

    @handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        self.writable(sock)

    def readable(self, sock: socket.socket) -> None:
        """Read what has arrived on `sock`."""
        conn = self._connections.get(sock)
        if conn is None:
            return
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            conn.was_reset = True
            self._lose(conn)
            return
        if not data:
            self._lose(conn)
        elif conn.user is not None:
            conn.user.on_data(data)

    def writable(self, sock: socket.socket) -> None:
        """Go on writing to `sock`, or learn how its connect has ended."""
        conn = self._connections.get(sock)
        if conn is None:
            return
        if not conn.established and not self._establish(conn):
            return
        if conn.buffer and not conn.closed:
            rest = self._send_now(conn, bytes(conn.buffer))
            conn.buffer = bytearray(rest)
        if not conn.buffer and not conn.closed:
            self._poller.removeWriter(sock)

    @handler("_disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        conn = self._connections.get(sock)
        if conn is not None:
            conn.was_reset = True
            self._lose(conn)

    def _establish(self, conn: Connection) -> bool:
        if conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0:
            self._lose(conn)
            return False
        conn.established = True
        if conn.connect_timer is not None:
            conn.connect_timer.cancel()
        self._poller.addReader(self, conn.sock)
        if conn.user is not None:
            conn.user.on_open()
        return True

    def _on_connect_timeout(self, conn: Connection) -> None:
        if not conn.established:
            self._lose(conn)

    def _send_now(self, conn: Connection, data: bytes) -> bytes:
        try:
            return data[conn.sock.send(data) :]
        except BlockingIOError:
            return data
        except OSError:
            # The loss is told from the loop, never from within a send.
            conn.was_reset = True
            self._clock.after(0.0, lambda: self._lose(conn))
            return b""

    def _want_write(self, conn: Connection) -> None:
        if conn.established and not self._poller.isWriting(conn.sock):
            self._poller.addWriter(self, conn.sock)

    def _lose(self, conn: Connection) -> None:
        user = conn.user
        established = conn.established
        self.drop(conn)
        if user is not None:
            user.on_closed(established)


Opener = Callable[[Address, ConnectionUser, float], Connection]
