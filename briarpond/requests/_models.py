"""Outcomes, refusals, targets and the fixed properties of a request."""

from enum import Enum

import msgspec

from briarpond.ids import AccountId, GroupId, InstanceId, Position, RequestKey


class Outcome(Enum):
    """How the execution of a request ended, as reported to the caller.

    Attributes
    ----------
    ANSWERED
        The caller got one complete answer.
    NOT_RUN
        No backend server has run the request or will run it.
    UNKNOWN
        The request may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalCode(Enum):
    """Why a request ended without a complete answer.

    Attributes
    ----------
    INVALID_REQUEST
        The request is malformed.
    NO_READY_BACKEND
        No backend server can take the request now.
    GROUP_NOT_CONFIRMED
        Not every member of the chosen group confirmed that the group is ready.
    LOG_UNAVAILABLE
        The request is not idempotent or has an idempotency key, and therefore needs the log,
        which the node could not reach in time.
    KEY_REUSED
        The idempotency key belongs to another request.
    KEY_OWNER_UNREACHABLE
        The node that owns the idempotency key did not give its state.
    KEY_ALREADY_USED
        An earlier request with the idempotency key ended, or has not run yet, and there is
        no answer to repeat.
    BACKEND_LOST
        The backend server was lost before its answer was complete.
    BACKEND_TIMEOUT
        The backend server sent no byte for `RequestSpec.max_silence_s`.
    DEADLINE_EXCEEDED
        The deadline of the request has passed, or would pass while it waits.
    NODE_STOPPING
        The node is about to stop.
    OVERLOADED
        Too many requests wait at the node.
    RATE_LIMITED
        The client account is over one of its limits.
    ANSWER_TOO_LARGE
        The answer of the backend server exceeds the limit of this node.
    CALLER_GONE
        The caller closed its connection.
    """

    INVALID_REQUEST = "invalid_request"
    NO_READY_BACKEND = "no_ready_backend"
    GROUP_NOT_CONFIRMED = "group_not_confirmed"
    LOG_UNAVAILABLE = "idempotency_log_unavailable"
    KEY_REUSED = "idempotency_key_reused"
    KEY_OWNER_UNREACHABLE = "idempotency_key_owner_unreachable"
    KEY_ALREADY_USED = "idempotency_key_already_used"
    BACKEND_LOST = "backend_lost"
    BACKEND_TIMEOUT = "backend_timeout"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NODE_STOPPING = "node_stopping"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    ANSWER_TOO_LARGE = "answer_too_large"
    CALLER_GONE = "caller_gone"


class RequestKind(Enum):
    """Form of the answer that the caller expects.

    Attributes
    ----------
    MODEL_STREAM
        Events of a model's answer as they are generated.
    MODEL_WHOLE
        The complete answer of a model.
    SERVICE
        The complete answer of a plain service.
    """

    MODEL_STREAM = "model-stream"
    MODEL_WHOLE = "model-whole"
    SERVICE = "service"


class TargetKind(Enum):
    """Whether an attempt goes to a group or to a plain server."""

    GROUP = "group"
    SERVER = "server"


class Target(msgspec.Struct, frozen=True):
    """Where an attempt goes.

    Attributes
    ----------
    kind : TargetKind
        Whether it is a group or a plain server.
    instance : InstanceId
        Head of the group, or the plain server.
    address : str
        ``host:port`` of that instance.
    group : GroupId or None
        The group; None for a plain server.
    generation : int
        Fencing token of the group, which is sent with the request; 0 for a plain server.
    """

    kind: TargetKind
    instance: InstanceId
    address: str
    group: GroupId | None = None
    generation: Position = Position(0)


class RequestSpec(msgspec.Struct, frozen=True):
    """Properties of a request that are fixed before its first attempt.

    Attributes
    ----------
    account : AccountId
        Client account of the caller.
    kind : RequestKind
        Form of the answer that the caller expects.
    idempotent : bool
        Whether the request may run more than once; False with an idempotency key, whose
        claim ensures that it runs at most once.
    deadline : float
        Monotonic time in seconds at which the request ends, with or without an answer.
    max_silence_s : float
        Longest time without a byte from the backend server, in seconds; an attempt that
        exceeds it has failed.
    key : RequestKey or None
        Idempotency key, together with its client account; None without one.
    max_attempts : int
        Largest number of attempts, the first one included.
    max_whole_answer_bytes : int
        Largest body of an answer that is not a stream, which is held in memory.
    """

    account: AccountId
    kind: RequestKind
    idempotent: bool
    deadline: float
    max_silence_s: float
    key: RequestKey | None = None
    max_attempts: int = 3
    max_whole_answer_bytes: int = 8 * 1024 * 1024


class ClaimResult(Enum):
    """Result of a claim on an idempotency key.

    Attributes
    ----------
    WON
        Only this node may run the request.
    TAKEN
        An earlier claim for the same request owns the key.
    REUSED
        The key belongs to another request.
    UNAVAILABLE
        The log did not answer in time; this node has run nothing.
    """

    WON = "won"
    TAKEN = "taken"
    REUSED = "reused"
    UNAVAILABLE = "unavailable"


class Refusal(msgspec.Struct, frozen=True):
    """Answer to a request that ended without a complete answer of a backend server.

    Attributes
    ----------
    code : RefusalCode
        Why it ended.
    outcome : Outcome
        Whether it may have run.
    status : int
        HTTP status.
    message : str
        Explanation for the caller.
    retry_after_s : float
        Seconds after which another try is likely to succeed; 0 if that is not known.
    """

    code: RefusalCode
    outcome: Outcome
    status: int
    message: str
    retry_after_s: float = 0.0
