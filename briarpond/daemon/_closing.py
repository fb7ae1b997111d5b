"""Connections that close: their callers still read, and what these send is discarded."""

import contextlib
import errno
import fcntl
import socket
import struct
import termios
from enum import Enum

import msgspec

from briarpond.logs import log_warning

# How long a caller that has its whole answer may still send before the connection is closed.
DISCARD_S = 2.0


class CloseReason(Enum):
    """Why a connection is closed at once."""

    ABORTED = "aborted"
    IDLE = "idle"
    STOPPING = "stopping"


class UnreadAnswer(msgspec.Struct, frozen=True):
    """A complete answer of which the caller has not got all bytes.

    Attributes
    ----------
    descriptor : int
        File descriptor of its connection.
    size : int
        Bytes that the caller's machine has not got.
    since : float
        Time of the clock at which the answer was complete, seconds.
    """

    descriptor: int
    size: int
    since: float


def log_answer_cut(answer: UnreadAnswer, reason: CloseReason, now: float) -> None:
    """Log that the rest of an answer is given up."""
    log_warning(
        "answer_cut",
        reason=reason.value,
        connection=answer.descriptor,
        bytes=answer.size,
        age_s=now - answer.since,
    )


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the bytes in the kernel that the caller's machine has not got; 0 if closed."""
    try:
        return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0]
    except (OSError, ValueError):
        return 0


class _ClosingState:
    """State of one closing connection; times in seconds, None before the event."""

    __slots__ = ("began_at", "ended_at")

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.ended_at: float | None = None


class ClosingConnections:
    """The closing connections of one listener.

    Parameters
    ----------
    longest_s : float
        Time for which a caller may take to read its last answer, seconds.
    """

    def __init__(self, longest_s: float) -> None:
        self._longest_s = longest_s
        self._states: dict[socket.socket, _ClosingState] = {}

    def __contains__(self, sock: socket.socket) -> bool:
        """Whether the connection closes."""
        return sock in self._states

    def __len__(self) -> int:
        """Return the number of closing connections."""
        return len(self._states)

    @property
    def sockets(self) -> list[socket.socket]:
        """All closing connections."""
        return list(self._states)

    def began_at(self, sock: socket.socket) -> float:
        """Return the time at which the close began; 0 for another connection."""
        state = self._states.get(sock)
        return state.began_at if state is not None else 0.0

    def add(self, sock: socket.socket, now: float) -> None:
        """Begin to close a connection."""
        self._states.setdefault(sock, _ClosingState(now))

    def end_writing(self, sock: socket.socket, now: float) -> None:
        """Tell the caller that nothing follows; to be called when the buffer is empty."""
        state = self._states[sock]
        if state.ended_at is None:
            state.ended_at = now
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)

    def forget(self, sock: socket.socket) -> None:
        """Drop a connection that is closed."""
        self._states.pop(sock, None)

    def expired(self, now: float) -> list[socket.socket]:
        """Return the connections to close now.

        Their callers have their answers and do not close, or read too slowly.
        """
        return [sock for sock, state in self._states.items() if self._is_expired(sock, state, now)]

    def _is_expired(self, sock: socket.socket, state: _ClosingState, now: float) -> bool:
        if now - state.began_at > self._longest_s:
            return True
        if state.ended_at is None or unacknowledged_bytes(sock):
            return False
        return now - state.ended_at > DISCARD_S


class EndedListeningSocket:
    """Stands for a listening socket that is closed: there is never a connection to accept.

    Parameters
    ----------
    address : tuple
        Host and port of the closed socket, which circuits.web asks for with each request.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        """Return the address of the closed socket."""
        return self._address

    def accept(self) -> tuple[socket.socket, object]:
        """Raise the error of a listening socket without a connection."""
        raise BlockingIOError(errno.EAGAIN, "the listening socket is closed")

    def fileno(self) -> int:
        """Return the descriptor of a closed socket."""
        return -1

    def shutdown(self, how: int) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""
