"""Outcomes, refusals and the plan of a request."""

from enum import Enum

import msgspec

from briarpond.ids import AccountId, GroupId, InstanceId, Position, RequestKey


class Outcome(Enum):
    """What a caller may conclude about its request.

    ANSWERED : one whole answer was given.
    NOT_RUN : no backend server has run or will run it.
    UNKNOWN : it may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalCode(Enum):
    """Why a request ended without a whole answer."""

    INVALID_REQUEST = "invalid_request"
    NO_TARGET = "no_ready_backend"
    NOT_CONFIRMED = "group_not_confirmed"
    LOG_UNAVAILABLE = "idempotency_log_unavailable"
    KEY_REUSED = "idempotency_key_reused"
    KEY_ELSEWHERE = "idempotency_key_owner_unreachable"
    KEY_ENDED = "idempotency_key_already_used"
    BACKEND_LOST = "backend_lost"
    BACKEND_TIMEOUT = "backend_timeout"
    DEADLINE = "deadline_exceeded"
    DRAINING = "node_stopping"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    ANSWER_TOO_LARGE = "answer_too_large"
    CALLER_GONE = "caller_gone"


class RequestKind(Enum):
    """Shape of the answer that the caller expects."""

    MODEL_STREAM = "model-stream"
    MODEL_WHOLE = "model-whole"
    SERVICE = "service"


class TargetKind(Enum):
    """What an attempt is sent to."""

    GROUP = "group"
    SERVER = "server"


class Target(msgspec.Struct, frozen=True):
    """Where an attempt goes.

    Attributes
    ----------
    address : str
        ``host:port`` of the group's first member, or of the server.
    generation : int
        Fencing number sent with the request; 0 for a plain server.
    """

    kind: TargetKind
    instance: InstanceId
    address: str
    group: GroupId | None = None
    generation: Position = Position(0)


class RequestPlan(msgspec.Struct, frozen=True):
    """What is fixed about a request before its first attempt.

    Attributes
    ----------
    idempotent : bool
        Whether a second run would do no harm.
    key : str or None
        Idempotency key, unique within the account.
    deadline : float
        Monotonic time after which no answer is awaited.
    silence_s : float
        Longest time without a byte from the backend server, seconds.
    max_attempts : int
        Attempts in all, the first one counted.
    """

    account: AccountId
    kind: RequestKind
    idempotent: bool
    deadline: float
    silence_s: float
    key: RequestKey | None = None
    max_attempts: int = 3
    whole_answer_bytes: int = 8 * 1024 * 1024


class ClaimResult(Enum):
    """What became of the claim on an idempotency key.

    WON : this node alone may run the request.
    TAKEN : the key belongs to a submission that came first.
    REUSED : the key stands for another request.
    UNAVAILABLE : the log did not answer in time; nothing was run.
    """

    WON = "won"
    TAKEN = "taken"
    REUSED = "reused"
    UNAVAILABLE = "unavailable"


class Refusal(msgspec.Struct, frozen=True):
    """End of a request without a whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    retry_after_s : float
        When a new try is likely to succeed; 0 if that is not known.
    """

    code: RefusalCode
    outcome: Outcome
    status: int
    message: str
    retry_after_s: float = 0.0
