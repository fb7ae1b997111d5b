"""Listener for incoming TCP connections."""

import errno
import socket
from collections.abc import Callable

from circuits import BaseComponent

from ._address import Address
from ._clock import Clock
from ._outbound import Connection, Connector
from ._poller import DirectPoller

# Connections that the kernel queues until they are accepted.
BACKLOG = 1024
# Limit per turn of the loop, so that other sockets are served in between.
MAX_ACCEPTS_PER_EVENT = 64
# Pause in accepting when the process or the machine is out of file descriptors.
ACCEPT_RETRY_S = 0.05


class TcpListener(BaseComponent):
    """Accepts connections on one address.

    Accepted connections are read and written by the connector, like outgoing ones.

    Parameters
    ----------
    address : Address
        Address to bind; the listener accepts from the start.
    clock, poller, connector : Clock, DirectPoller, Connector
        The components of the process.
    on_connection : callable
        Called with each accepted connection; has to set its `callbacks`.
    """

    channel = "listener"

    def __init__(
        self,
        address: Address,
        clock: Clock,
        poller: DirectPoller,
        connector: Connector,
        on_connection: Callable[[Connection], None],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._poller = poller
        self._connector = connector
        self._on_connection = on_connection
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)
        poller.addReader(self, self._sock)

    def on_readable(self, _sock: socket.socket) -> None:
        """Accept pending connections."""
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            try:
                sock, peer = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                if exc.errno in (errno.EMFILE, errno.ENFILE):
                    self._pause_accepting()
                    return
                continue
            self._on_connection(self._connector.add_accepted(sock, Address(peer[0], peer[1])))

    def on_writable(self, _sock: socket.socket) -> None:
        """Not used: the socket is never watched for writes."""

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        self._poller.discard(self._sock)
        self._sock.close()

    def _pause_accepting(self) -> None:
        """Stop accepting for a while, because there is no free file descriptor."""
        self._poller.removeReader(self._sock)
        self._clock.after(ACCEPT_RETRY_S, lambda: self._poller.addReader(self, self._sock))
