"""Poller component that calls the owner of a socket directly.

circuits' own poller fires an event for each readable socket and keeps sockets in
lists; at hundreds of connections both cost more than the work they announce.
"""

import select
import socket
from typing import Protocol

from circuits import BaseComponent, handler

_BROKEN = select.EPOLLHUP | select.EPOLLERR


class SocketOwner(Protocol):
    """What the owner of sockets is told."""

    def readable(self, sock: socket.socket) -> None:
        """Bytes, a connection or the end can be read."""

    def writable(self, sock: socket.socket) -> None:
        """The socket takes bytes, or its connect has ended."""


class _Watched:
    __slots__ = ("owner", "sock", "mask")

    def __init__(self, owner: SocketOwner, sock: socket.socket) -> None:
        self.owner = owner
        self.sock = sock
        self.mask = 0


class DirectPoller(BaseComponent):
    """Waits on all sockets of the process with one epoll object."""

    channel = "poller"

    def __init__(self) -> None:
        super().__init__()
        self._epoll = select.epoll()
        self._watched: dict[int, _Watched] = {}

    def addReader(self, owner: SocketOwner, sock: socket.socket) -> None:  # noqa: N802
        """Call `owner` when `sock` can be read."""
        self._set(owner, sock, add=select.EPOLLIN)

    def addWriter(self, owner: SocketOwner, sock: socket.socket) -> None:  # noqa: N802
        """Call `owner` when `sock` can be written."""
        self._set(owner, sock, add=select.EPOLLOUT)

    def removeReader(self, sock: socket.socket) -> None:  # noqa: N802
        """Stop watching for reads."""
        self._set(None, sock, drop=select.EPOLLIN)

    def removeWriter(self, sock: socket.socket) -> None:  # noqa: N802
        """Stop watching for writes."""
        self._set(None, sock, drop=select.EPOLLOUT)

    def isReading(self, sock: socket.socket) -> bool:  # noqa: N802
        """Whether `sock` is watched for reads."""
        watched = self._watched.get(sock.fileno())
        return watched is not None and bool(watched.mask & select.EPOLLIN)

    def isWriting(self, sock: socket.socket) -> bool:  # noqa: N802
        """Whether `sock` is watched for writes."""
        watched = self._watched.get(sock.fileno())
        return watched is not None and bool(watched.mask & select.EPOLLOUT)

    def discard(self, sock: socket.socket) -> None:
        """Forget `sock`, before it is closed."""
        number = sock.fileno()
        if self._watched.pop(number, None) is not None:
            self._epoll.unregister(number)

    def resume(self) -> None:
        """Do nothing: events are fired from the loop's own thread only."""

    def _set(
        self, owner: SocketOwner | None, sock: socket.socket, add: int = 0, drop: int = 0
    ) -> None:
        number = sock.fileno()
        watched = self._watched.get(number)
        if watched is None:
            if owner is None:
                return
            watched = self._watched[number] = _Watched(owner, sock)
            watched.mask = add
            self._epoll.register(number, add)
            return
        mask = (watched.mask | add) & ~drop
        if mask != watched.mask:
            watched.mask = mask
            self._epoll.modify(number, mask)

    @handler("generate_events", priority=-9)
    def _on_generate_events(self, event) -> None:
        event.stop()
        left = event.time_left
        for number, flags in self._epoll.poll(None if left < 0 else left):
            watched = self._watched.get(number)
            if watched is None:
                continue
            if flags & (select.EPOLLIN | _BROKEN):
                watched.owner.readable(watched.sock)
            if flags & select.EPOLLOUT and self._watched.get(number) is watched:
                watched.owner.writable(watched.sock)
