"""TCP connections of the process: outgoing ones, and incoming ones once accepted.

The client component of circuits polls for the end of a connect in a generator, which
keeps the CPU fully busy while a connect is pending. This component waits for the
socket to become writable instead, and handles all connections on one channel.
"""

import contextlib
import errno
import fcntl
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

from ._address import Address
from ._clock import Clock, Timer
from ._guard import run_guarded
from ._poller import DirectPoller
from ._read_allowance import RECEIVE_BYTES, ReadAllowance

# How long a half-closed connection waits for the other side to close too.
HALF_CLOSE_TIMEOUT_S = 1.0
# An outgoing connection whose data is not acknowledged for this long counts as lost.
UNACKNOWLEDGED_TIMEOUT_MS = 5_000
# ioctls of Linux for the bytes that a TCP socket holds, and for those of them that it has not
# sent yet, from linux/sockios.h.
SIOCOUTQ = 0x5411
SIOCOUTQNSD = 0x894B


class ConnectionCallbacks(Protocol):
    """Methods that a connection calls on its user, see `Connection.callbacks`."""

    def on_open(self) -> None:
        """Handle the end of a successful connect."""

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    def on_closed(self, established: bool) -> None:
        """Handle the end of the connection.

        Parameters
        ----------
        established : bool
            Whether the connection was established before; otherwise the connect
            failed or took too long.
        """


class Connection:
    """One TCP connection.

    Attributes
    ----------
    address : Address
        Address of the other side.
    callbacks : ConnectionCallbacks or None
        Receives the events of the connection; with None they are ignored.
    established, closed : bool
        Whether the connect has succeeded, and whether the socket is closed.
    call_count : int
        Number of HTTP calls that were started on the connection.
    was_reset : bool
        Whether the connection failed (a reset or another socket error) and was not
        closed in order by the other side.
    half_closed : bool
        Whether the sending side was closed by `close_after_reading`.
    callback_failed : bool
        Whether the connection was closed because one of its callbacks raised an exception.
    dropped_bytes : int
        Bytes in `send_buffer` when the connection was closed.
    is_accepted : bool
        Whether the other side has opened the connection.
    read_bytes : int
        Largest read of an accepted connection; with 0 it is paused once bytes arrive.
    peeks : bool
        Whether read bytes stay in the socket until `consume` is called.
    sock : socket
        The non-blocking socket.
    send_buffer : bytearray
        Bytes that the socket has not taken yet.
    connect_timer : Timer or None
        Limits the duration of the connect.
    """

    def __init__(self, connector: "Connector", sock: socket.socket, address: Address) -> None:
        self.address = address
        self.callbacks: ConnectionCallbacks | None = None
        self.established = False
        self.closed = False
        self.call_count = 0
        self.was_reset = False
        self.half_closed = False
        self.callback_failed = False
        self.dropped_bytes = 0
        self.is_accepted = False
        self.read_bytes = RECEIVE_BYTES
        self.peeks = False
        self.sock = sock
        self.send_buffer = bytearray()
        self.connect_timer: Timer | None = None
        self._connector = connector

    def send(self, data: bytes) -> None:
        """Send bytes, buffering what the socket does not take at once."""
        self._connector.send(self, data)

    def close(self) -> None:
        """Close at once, without calling `callbacks`."""
        self._connector.close_connection(self)

    def close_after_reading(self) -> None:
        """Close the sending side, and the socket once the other side has closed too.

        What is still received is discarded. The socket is closed `HALF_CLOSE_TIMEOUT_S`
        after it has sent all bytes at the latest, and `callbacks.on_closed` is called. To
        close it at once while there are unread bytes would reset the connection, and the
        other side could lose the data that was just sent.
        """
        self._connector.half_close(self)

    def has_unread_bytes(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def run_callback(self, callback: Callable[[], None]) -> None:
        """Call a function of the connection's user; if it raises, end only this connection."""
        if not self.closed:
            self._connector.notify(self, callback)

    def consume(self, count: int) -> None:
        """Take `count` bytes out of the socket that were passed on while `peeks` was set."""
        if count > 0 and not self.closed:
            with contextlib.suppress(OSError):
                self.sock.recv_into(bytearray(count), count)

    def unsent_in_socket(self) -> int:
        """Return how many bytes the socket holds that the other side has no room for yet."""
        return self._socket_bytes(SIOCOUTQNSD)

    def unacknowledged_in_socket(self) -> int:
        """Return how many bytes the socket holds that have not reached the other side yet."""
        return self._socket_bytes(SIOCOUTQ)

    def pause(self) -> None:
        """Stop reading, so that TCP flow control slows down the other side."""
        self._connector.set_reading(self, False)

    def pause_until_hangup(self) -> None:
        """Stop reading; the end of the connection is still noticed, and closes it."""
        self._connector.await_hangup(self)

    def resume(self) -> None:
        """Continue to read after `pause`."""
        self._connector.set_reading(self, True)

    def _socket_bytes(self, request: int) -> int:
        if self.closed:
            return 0
        try:
            return struct.unpack("i", fcntl.ioctl(self.sock, request, bytes(4)))[0]
        except OSError:
            return 0


class Connector(BaseComponent):
    """Opens connections, and reads and writes all connections of the process.

    Parameters
    ----------
    clock : Clock
        Timers of the process.
    poller : BasePoller or DirectPoller
        A poller of circuits, which fires ``_read``, ``_write`` and ``_disconnect``
        events, or `DirectPoller`, which calls `on_readable` and `on_writable`.
    """

    channel = "outbound"

    def __init__(self, clock: Clock, poller: BasePoller | DirectPoller) -> None:
        super().__init__()
        self._clock = clock
        self._poller = poller
        self._connections: dict[socket.socket, Connection] = {}
        self._turn = 0
        self._allowance = ReadAllowance()

    def open(
        self, address: Address, callbacks: ConnectionCallbacks, timeout_s: float
    ) -> Connection:
        """Start to connect.

        The outcome is reported later from the loop, never within this call.

        Parameters
        ----------
        address : Address
            Address to connect to.
        callbacks : ConnectionCallbacks
            Receives the events of the connection.
        timeout_s : float
            Longest duration of the connect, in seconds.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        conn = Connection(self, sock, address)
        conn.callbacks = callbacks
        self._connections[sock] = conn
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            self._clock.after(0.0, lambda: self._end_connection(conn))
            return conn
        self._poller.addWriter(self, sock)
        conn.connect_timer = self._clock.after(timeout_s, lambda: self._on_connect_timeout(conn))
        return conn

    def add_accepted(self, sock: socket.socket, address: Address) -> Connection:
        """Add a connection that a listener has accepted from `address`."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = Connection(self, sock, address)
        conn.established = conn.is_accepted = True
        self._connections[sock] = conn
        self._poller.addReader(self, sock)
        return conn

    def send(self, conn: Connection, data: bytes) -> None:
        """Send bytes.

        If nothing is buffered, they are written directly, which saves a turn of the
        loop; the rest is buffered.
        """
        if conn.closed:
            return
        if not conn.send_buffer and conn.established:
            data = self._send_now(conn, data)
        if data and not conn.closed:
            conn.send_buffer += data
            self._watch_writable(conn)

    def close_connection(self, conn: Connection) -> None:
        """Close at once, without calling the callbacks of the connection."""
        if conn.closed:
            return
        conn.closed = True
        conn.callbacks = None
        if conn.connect_timer is not None:
            conn.connect_timer.cancel()
        self._connections.pop(conn.sock, None)
        self._poller.discard(conn.sock)
        conn.sock.close()
        conn.dropped_bytes = len(conn.send_buffer)
        conn.send_buffer.clear()

    def half_close(self, conn: Connection) -> None:
        """Close the sending side and discard what is still received."""
        if conn.closed or conn.half_closed:
            return
        conn.half_closed = True
        with contextlib.suppress(OSError):
            conn.sock.shutdown(socket.SHUT_WR)
        self._clock.after(HALF_CLOSE_TIMEOUT_S, lambda: self._end_half_closed(conn))

    def _end_half_closed(self, conn: Connection) -> None:
        """Close a half-closed connection, unless its socket still has bytes to send."""
        if conn.closed:
            return
        if conn.unsent_in_socket():
            self._clock.after(HALF_CLOSE_TIMEOUT_S, lambda: self._end_half_closed(conn))
        else:
            self._end_connection(conn)

    def set_reading(self, conn: Connection, reading: bool) -> None:
        """Start or stop reading from an established connection."""
        if conn.closed or not conn.established:
            return
        is_reading = self._poller.isReading(conn.sock)
        if reading and not is_reading:
            self._poller.addReader(self, conn.sock)
        elif not reading and is_reading:
            self._poller.removeReader(conn.sock)

    def await_hangup(self, conn: Connection) -> None:
        """Stop reading from an accepted connection until `set_reading`, but notice its end."""
        if not conn.closed and isinstance(self._poller, DirectPoller):
            self._poller.watch_hangup(self, conn.sock)

    def on_hangup(self, sock: socket.socket) -> None:
        """Handle the end of a connection that is not read; what waits in front of it is lost."""
        conn = self._connections.get(sock)
        if conn is not None:
            self._end_connection(conn)

    @handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        self.on_readable(sock)

    @handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        self.on_writable(sock)

    def on_readable(self, sock: socket.socket) -> None:
        """Receive from `sock`, at most `RECEIVE_BYTES`."""
        conn = self._connections.get(sock)
        if conn is None:
            return
        is_discarded = conn.callbacks is None or conn.half_closed
        try:
            if conn.read_bytes == 0 and not is_discarded:
                self._pause_if_sending(conn)
                return
            data = sock.recv(
                RECEIVE_BYTES if not conn.is_accepted else self._read_size(conn, is_discarded),
                socket.MSG_PEEK if conn.peeks and not is_discarded else 0,
            )
        except BlockingIOError:
            return
        except OSError:
            conn.was_reset = True
            self._end_connection(conn)
            return
        if conn.is_accepted:
            self._allowance.record(len(data))
        if not data:
            self._end_connection(conn)
        elif conn.callbacks is not None and not conn.half_closed:
            self.notify(conn, conn.callbacks.on_data, data)

    def _pause_if_sending(self, conn: Connection) -> None:
        """Stop reading if bytes have arrived that are not wanted yet; end a closed connection."""
        if conn.sock.recv(1, socket.MSG_PEEK):
            self.await_hangup(conn)
        else:
            self._end_connection(conn)

    def _read_size(self, conn: Connection, is_discarded: bool) -> int:
        """Return how much is read from an accepted connection, less late in a turn."""
        if isinstance(self._poller, DirectPoller) and self._poller.turn != self._turn:
            self._turn = self._poller.turn
            self._allowance.renew()
        return self._allowance.size(RECEIVE_BYTES if is_discarded else conn.read_bytes)

    def on_writable(self, sock: socket.socket) -> None:
        """Finish the connect of `sock`, or write buffered bytes to it."""
        conn = self._connections.get(sock)
        if conn is None:
            return
        if not conn.established and not self._finish_connect(conn):
            return
        if conn.send_buffer and not conn.closed:
            unsent = self._send_now(conn, bytes(conn.send_buffer))
            conn.send_buffer = bytearray(unsent)
        if not conn.send_buffer and not conn.closed:
            self._poller.removeWriter(sock)

    @handler("_disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        conn = self._connections.get(sock)
        if conn is not None:
            conn.was_reset = True
            self._end_connection(conn)

    def _finish_connect(self, conn: Connection) -> bool:
        """Handle the end of a connect; return whether it succeeded."""
        if conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0:
            self._end_connection(conn)
            return False
        conn.established = True
        if conn.connect_timer is not None:
            conn.connect_timer.cancel()
        self._poller.addReader(self, conn.sock)
        if conn.callbacks is not None:
            self.notify(conn, conn.callbacks.on_open)
        return True

    def _on_connect_timeout(self, conn: Connection) -> None:
        if not conn.established:
            self._end_connection(conn)

    def _send_now(self, conn: Connection, data: bytes) -> bytes:
        """Write to the socket; return the bytes that it did not take."""
        try:
            return data[conn.sock.send(data) :]
        except BlockingIOError:
            return data
        except (BrokenPipeError, ConnectionResetError):
            # What has arrived before is still read; the end of the connection follows it.
            conn.was_reset = True
            return b""
        except OSError:
            # Reported later from the loop: the caller of `send` must not be re-entered.
            conn.was_reset = True
            self._clock.after(0.0, lambda: self._end_connection(conn))
            return b""

    def _watch_writable(self, conn: Connection) -> None:
        if conn.established and not self._poller.isWriting(conn.sock):
            self._poller.addWriter(self, conn.sock)

    def _end_connection(self, conn: Connection) -> None:
        """Close a connection that has ended or failed, and report it."""
        callbacks = conn.callbacks
        established = conn.established
        self.close_connection(conn)
        if callbacks is not None:
            run_guarded("connection", callbacks.on_closed, established)

    def notify(self, conn: Connection, callback: Callable[..., None], *args: object) -> None:
        """Call a function of the connection; if it raises, end only that connection."""
        if not run_guarded("connection", callback, *args):
            conn.was_reset = True
            conn.callback_failed = True
            self._end_connection(conn)


Opener = Callable[[Address, ConnectionCallbacks, float], Connection]
