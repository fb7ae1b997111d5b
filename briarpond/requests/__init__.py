"""Requests of callers at the daemon: attempts, outcomes and idempotency keys."""

from briarpond.net import LossReason

from ._answer_times import AnswerTimes
from ._effects import (
    AskKeyOwner,
    CancelAttempt,
    ClaimKey,
    ConfirmGroup,
    Dispatch,
    Effect,
    ReplyData,
    ReplyEnd,
    ReplyHead,
    ReplyRefusal,
)
from ._keys import IdempotencyKeyTable, KeyEntry, KeyState, request_digest
from ._machine import RequestMachine
from ._models import (
    ClaimResult,
    Outcome,
    Refusal,
    RefusalCode,
    RequestKind,
    RequestSpec,
    Target,
    TargetKind,
)
from ._retries import RetryBudget
from ._stream import EventSplitter

__all__ = [
    "AnswerTimes",
    "AskKeyOwner",
    "CancelAttempt",
    "ClaimKey",
    "ClaimResult",
    "ConfirmGroup",
    "Dispatch",
    "Effect",
    "EventSplitter",
    "IdempotencyKeyTable",
    "KeyEntry",
    "KeyState",
    "LossReason",
    "Outcome",
    "Refusal",
    "RefusalCode",
    "ReplyData",
    "ReplyEnd",
    "ReplyHead",
    "ReplyRefusal",
    "RequestKind",
    "RequestMachine",
    "RequestSpec",
    "RetryBudget",
    "Target",
    "TargetKind",
    "request_digest",
]
