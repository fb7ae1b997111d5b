"""Requests of callers at the daemon: attempts, outcomes and idempotency keys."""

from briarpond.net import LossReason

from ._effects import (
    AskOwner,
    CancelAttempt,
    Claim,
    Confirm,
    Dispatch,
    Effect,
    ReplyData,
    ReplyEnd,
    ReplyHead,
    ReplyRefusal,
)
from ._keys import KeyEntry, KeyLedger, KeyState, key_digest
from ._machine import RequestMachine
from ._models import (
    ClaimResult,
    Outcome,
    Refusal,
    RefusalCode,
    RequestKind,
    RequestPlan,
    Target,
    TargetKind,
)
from ._retries import RetryBudget
from ._stream import EventSplitter

__all__ = [
    "AskOwner",
    "CancelAttempt",
    "Claim",
    "ClaimResult",
    "Confirm",
    "Dispatch",
    "Effect",
    "EventSplitter",
    "KeyEntry",
    "KeyLedger",
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
    "RequestPlan",
    "RetryBudget",
    "Target",
    "TargetKind",
    "key_digest",
]
