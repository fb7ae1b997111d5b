"""Poller that calls the owner of a ready socket directly.

The pollers of circuits fire an event for each ready socket and keep the sockets in
lists. With hundreds of connections both take more time than handling the data.
"""

import select
import socket
import time
from collections.abc import Callable
from typing import Protocol

from circuits import BaseComponent, handler

_HANGUP_OR_ERROR = select.EPOLLHUP | select.EPOLLERR


class SocketOwner(Protocol):
    """Methods that the poller calls on the owner of a socket."""

    def on_readable(self, sock: socket.socket) -> None:
        """Handle a readable socket.

        There are bytes to read or a connection to accept, or the connection has
        ended or failed.
        """

    def on_writable(self, sock: socket.socket) -> None:
        """Handle a writable socket: there is buffer space, or its connect has ended."""


class HangupOwner(SocketOwner, Protocol):
    """Owner of sockets that are watched for their end only."""

    def on_hangup(self, sock: socket.socket) -> None:
        """Handle the end of a connection whose bytes are not read at present."""


class _WatchedSocket:
    """A registered socket with its owner and the epoll events it is watched for."""

    __slots__ = ("owner", "sock", "mask")

    def __init__(self, owner: SocketOwner, sock: socket.socket) -> None:
        self.owner = owner
        self.sock = sock
        self.mask = 0


class DirectPoller(BaseComponent):
    """Waits for all sockets of the process with one epoll object.

    Attributes
    ----------
    on_turn : callable or None
        Called at the end of each turn of the loop with the seconds for which its handlers ran.
    turn : int
        Number of the present turn of the loop.

    Notes
    -----
    The methods in camel case have the names of circuits' pollers, so that `Connector`
    works with either.
    """

    channel = "poller"

    def __init__(self) -> None:
        super().__init__()
        self.on_turn: Callable[[float], None] | None = None
        self.turn = 0
        self._woke_at = time.monotonic()
        self._epoll = select.epoll()
        self._watched: dict[int, _WatchedSocket] = {}

    def addReader(self, owner: SocketOwner, sock: socket.socket) -> None:  # noqa: N802
        """Watch `sock` for reads; `owner.on_readable` is called."""
        self._update_mask(owner, sock, add=select.EPOLLIN, drop=select.EPOLLRDHUP)

    def addWriter(self, owner: SocketOwner, sock: socket.socket) -> None:  # noqa: N802
        """Watch `sock` for writes; `owner.on_writable` is called."""
        self._update_mask(owner, sock, add=select.EPOLLOUT)

    def removeReader(self, sock: socket.socket) -> None:  # noqa: N802
        """Stop watching `sock` for reads."""
        self._update_mask(None, sock, drop=select.EPOLLIN)

    def removeWriter(self, sock: socket.socket) -> None:  # noqa: N802
        """Stop watching `sock` for writes."""
        self._update_mask(None, sock, drop=select.EPOLLOUT)

    def watch_hangup(self, owner: HangupOwner, sock: socket.socket) -> None:
        """Watch `sock` for the end of its connection instead of reads.

        `owner.on_hangup` is called even while received bytes wait in front of that end.
        """
        self._update_mask(owner, sock, add=select.EPOLLRDHUP, drop=select.EPOLLIN)

    def isReading(self, sock: socket.socket) -> bool:  # noqa: N802
        """Whether `sock` is watched for reads."""
        watched = self._watched.get(sock.fileno())
        return watched is not None and bool(watched.mask & select.EPOLLIN)

    def isWriting(self, sock: socket.socket) -> bool:  # noqa: N802
        """Whether `sock` is watched for writes."""
        watched = self._watched.get(sock.fileno())
        return watched is not None and bool(watched.mask & select.EPOLLOUT)

    def discard(self, sock: socket.socket) -> None:
        """Unregister `sock`.

        To be called before `sock` is closed: its descriptor may be reused at once.
        """
        descriptor = sock.fileno()
        if self._watched.pop(descriptor, None) is not None:
            self._epoll.unregister(descriptor)

    def resume(self) -> None:
        """Do nothing.

        circuits calls this method to wake a waiting poller when an event is fired by
        another thread. Here events are fired on the loop's own thread only.
        """

    def _update_mask(
        self, owner: SocketOwner | None, sock: socket.socket, add: int = 0, drop: int = 0
    ) -> None:
        descriptor = sock.fileno()
        watched = self._watched.get(descriptor)
        if watched is None:
            if owner is None:
                return
            watched = self._watched[descriptor] = _WatchedSocket(owner, sock)
            watched.mask = add
            self._epoll.register(descriptor, add)
            return
        mask = (watched.mask | add) & ~drop
        if mask != watched.mask:
            watched.mask = mask
            self._epoll.modify(descriptor, mask)

    @handler("generate_events", priority=-9)
    def _on_generate_events(self, event) -> None:
        event.stop()
        if self.on_turn is not None:
            self.on_turn(time.monotonic() - self._woke_at)
        timeout_s = event.time_left
        ready = self._epoll.poll(None if timeout_s < 0 else timeout_s)
        self._woke_at = time.monotonic()
        self.turn += 1
        for descriptor, ready_events in ready:
            watched = self._watched.get(descriptor)
            if watched is None:
                continue
            if watched.mask & select.EPOLLRDHUP:
                if ready_events & (select.EPOLLRDHUP | _HANGUP_OR_ERROR):
                    watched.owner.on_hangup(watched.sock)
            elif ready_events & (select.EPOLLIN | _HANGUP_OR_ERROR):
                watched.owner.on_readable(watched.sock)
            # The socket may have been closed, or its descriptor reused, in `on_readable`.
            if ready_events & select.EPOLLOUT and self._watched.get(descriptor) is watched:
                watched.owner.on_writable(watched.sock)
