"""Effects: the actions that the request machine asks its runner to carry out."""

import msgspec

from briarpond.ids import AttemptId, RequestKey

from ._models import Outcome, Refusal, Target


class ClaimKey(msgspec.Struct, frozen=True):
    """Submit a claim on the idempotency key to the log.

    Attributes
    ----------
    key : RequestKey
        Idempotency key, together with its client account.
    """

    key: RequestKey


class AskKeyOwner(msgspec.Struct, frozen=True):
    """Ask the node that owns the key for the state of the request.

    Attributes
    ----------
    key : RequestKey
        Idempotency key, together with its client account.
    delay_s : float
        Seconds to wait before asking.
    """

    key: RequestKey
    delay_s: float = 0.0


class ConfirmGroup(msgspec.Struct, frozen=True):
    """Ask every member of the target's group now whether the group is ready.

    Attributes
    ----------
    attempt : AttemptId
        Attempt that depends on the answer.
    target : Target
        Group to confirm; its head is the instance.
    """

    attempt: AttemptId
    target: Target


class Dispatch(msgspec.Struct, frozen=True):
    """Send the request to a target.

    Attributes
    ----------
    attempt : AttemptId
        The attempt that begins with this.
    target : Target
        Where the request goes.
    resume_after_events : int
        Events of the stream that the caller has already received; the backend server
        continues after them. 0 for a new answer.
    """

    attempt: AttemptId
    target: Target
    resume_after_events: int = 0


class CancelAttempt(msgspec.Struct, frozen=True):
    """Close the connection of an attempt, so that the backend server stops working on it.

    Attributes
    ----------
    attempt : AttemptId
        The attempt that ends.
    """

    attempt: AttemptId


class ReplyHead(msgspec.Struct, frozen=True):
    """Send status and headers to the caller.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple
        Names and values of the headers.
    streamed : bool
        Whether the body is sent in parts as they arrive, rather than as a whole.
    outcome : Outcome
        Outcome that is reported to the caller in a header.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    streamed: bool
    outcome: Outcome


class ReplyData(msgspec.Struct, frozen=True):
    """Send a part of the body to the caller, or the whole of it.

    Attributes
    ----------
    data : bytes
        Bytes of the body.
    """

    data: bytes


class ReplyEnd(msgspec.Struct, frozen=True):
    """End a complete answer to the caller."""


class ReplyRefusal(msgspec.Struct, frozen=True):
    """End the answer to the caller with an error.

    Attributes
    ----------
    refusal : Refusal
        Error and outcome for the caller.
    in_stream : bool
        Whether the status and headers have been sent already, so that the error has to be
        an event of the stream.
    """

    refusal: Refusal
    in_stream: bool


Effect = (
    ClaimKey
    | AskKeyOwner
    | ConfirmGroup
    | Dispatch
    | CancelAttempt
    | ReplyHead
    | ReplyData
    | ReplyEnd
    | ReplyRefusal
)
