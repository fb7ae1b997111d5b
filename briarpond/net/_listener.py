"""Incoming TCP connections, driven by the connector like outgoing ones."""

import errno
import socket
from collections.abc import Callable

from circuits import BaseComponent

from ._address import Address
from ._clock import Clock
from ._outbound import Connection, Connector
from ._poller import DirectPoller

BACKLOG = 1024
ACCEPTS_A_TURN = 64
# A listener that ran out of descriptors looks again after this time.
RETRY_S = 0.05


class TcpListener(BaseComponent):
    """Accepts connections and hands each to a function."""

    channel = "listener"

    def __init__(
        self,
        address: Address,
        clock: Clock,
        poller: DirectPoller,
        connector: Connector,
        accept: Callable[[Connection], None],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._poller = poller
        self._connector = connector
        self._accept = accept
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)
        poller.addReader(self, self._sock)

    def readable(self, _sock: socket.socket) -> None:
        """Accept what waits."""
        for _ in range(ACCEPTS_A_TURN):
            try:
                sock, peer = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                if exc.errno in (errno.EMFILE, errno.ENFILE):
                    self._pause()
                    return
                continue
            self._accept(self._connector.adopt(sock, Address(peer[0], peer[1])))

    def writable(self, _sock: socket.socket) -> None:
        """Never asked for."""

    def close(self) -> None:
        """Take no more connections."""
        self._poller.discard(self._sock)
        self._sock.close()

    def _pause(self) -> None:
        self._poller.removeReader(self._sock)
        self._clock.after(RETRY_S, lambda: self._poller.addReader(self, self._sock))
