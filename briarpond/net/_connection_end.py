"""How connections of callers end."""

from enum import Enum

import msgspec


class ConnectionPhase(Enum):
    """State of a connection of a caller.

    Attributes
    ----------
    IDLE
        Between requests.
    READING
        Part of a request has been received.
    ANSWERING
        The request is complete and its answer is not; further requests wait.
    CLOSING
        No further request is taken: what is left of the answers is sent, then the caller has to
        close its side.
    """

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"
    CLOSING = "closing"


class CloseReason(Enum):
    """Why a connection of a caller was closed.

    Attributes
    ----------
    LAST_ANSWER
        The last answer was sent: the caller or this process had asked for ``Connection: close``.
    IDLE
        There was no request for too long.
    HEADER_TIMEOUT
        The headers of a request were incomplete for too long.
    REJECTED
        A request was malformed or too large.
    BODY_TIMEOUT
        The body of a request made no progress for too long, see `BodyRefusal`.
    BODY_NO_ROOM
        The process had no room for the body of a request for too long.
    ABORTED
        An answer that has begun can't be completed.
    UNREAD_LIMIT
        Too many bytes waited for this caller, or for all callers together.
    CALLER_TOO_SLOW
        The caller took none of the bytes that waited for it for too long.
    STOP
        The process stops.
    CALLER_LEFT
        The caller has closed the connection, or it was lost.
    ERROR
        An unexpected error in handling its bytes.
    """

    LAST_ANSWER = "last_answer"
    IDLE = "idle"
    HEADER_TIMEOUT = "header_timeout"
    REJECTED = "rejected"
    BODY_TIMEOUT = "body_timeout"
    BODY_NO_ROOM = "body_no_room"
    ABORTED = "aborted"
    UNREAD_LIMIT = "unread_limit"
    CALLER_TOO_SLOW = "caller_too_slow"
    STOP = "stop"
    CALLER_LEFT = "caller_left"
    ERROR = "error"


class BodyRefusal(msgspec.Struct, frozen=True):
    """A request that is refused because of its body; it is not run.

    Attributes
    ----------
    status : int
        Status of the answer: 408 for a body without progress, 413 for one that is too large, 503
        where there is no room for it.
    reason : CloseReason
        Why the connection is closed.
    body_bytes : int
        Bytes of the body that had been read.
    age_s : float
        Seconds since the request began.
    """

    status: int
    reason: CloseReason
    body_bytes: int
    age_s: float


class ConnectionEnd(msgspec.Struct, frozen=True):
    """The end of a connection of a caller.

    Attributes
    ----------
    reason : CloseReason
        Why it was closed.
    phase : ConnectionPhase
        Its phase when the close was decided.
    request_id : str or None
        Id of the last complete request, as far as known.
    is_unanswered : bool
        Whether a request, or part of one, has no complete answer.
    unsent_bytes : int
        Bytes of answers that were dropped in this process.
    socket_bytes : int
        Bytes of answers that the socket holds and has not sent, as the caller reads slowly.
    age_s : float
        Seconds since the connection was accepted.
    """

    reason: CloseReason
    phase: ConnectionPhase
    request_id: str | None
    is_unanswered: bool
    unsent_bytes: int
    socket_bytes: int
    age_s: float

    @property
    def gives_up(self) -> bool:
        """Whether the caller lacks something that it has not given up itself."""
        if self.unsent_bytes or (self.socket_bytes and self.reason is CloseReason.STOP):
            return True
        return self.is_unanswered and self.reason is not CloseReason.CALLER_LEFT
