"""What the request machine asks the shell to do."""

import msgspec

from briarpond.ids import AttemptId, RequestKey

from ._models import Outcome, Refusal, Target


class Claim(msgspec.Struct, frozen=True):
    """Submit a claim for the idempotency key to the log."""

    key: RequestKey


class AskOwner(msgspec.Struct, frozen=True):
    """Ask the owner of the key what became of the request, after `delay_s` seconds."""

    key: RequestKey
    delay_s: float = 0.0


class Confirm(msgspec.Struct, frozen=True):
    """Ask every member of the target's group for its status now."""

    attempt: AttemptId
    target: Target


class Dispatch(msgspec.Struct, frozen=True):
    """Send the request to a target.

    Attributes
    ----------
    resume_events : int
        Stream events that the caller already holds.
    """

    attempt: AttemptId
    target: Target
    resume_events: int = 0


class CancelAttempt(msgspec.Struct, frozen=True):
    """Close the connection of an attempt, which cancels its work."""

    attempt: AttemptId


class ReplyHead(msgspec.Struct, frozen=True):
    """Send status and headers; `streamed` if the body follows in pieces."""

    status: int
    headers: tuple[tuple[str, str], ...]
    streamed: bool
    outcome: Outcome


class ReplyData(msgspec.Struct, frozen=True):
    """Send body bytes."""

    data: bytes


class ReplyEnd(msgspec.Struct, frozen=True):
    """End the answer; it is whole."""


class ReplyRefusal(msgspec.Struct, frozen=True):
    """End without a whole answer.

    Attributes
    ----------
    in_stream : bool
        Whether the head is out already, so that the refusal must be an error
        event in the stream.
    """

    refusal: Refusal
    in_stream: bool


Effect = (
    Claim
    | AskOwner
    | Confirm
    | Dispatch
    | CancelAttempt
    | ReplyHead
    | ReplyData
    | ReplyEnd
    | ReplyRefusal
)
