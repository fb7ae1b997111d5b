"""Decisions of the gateway about one request: admission, retries and load of backend servers."""

from ._admission import AdmissionAction, AdmissionDecision, decide_admission
from ._budget import SharedRetryBudget
from ._cold import ColdLimit, ColdSends
from ._events import DamagedEventError, ResumableEventSplitter, has_fields
from ._load import InFlightLoad, LoadTracker
from ._pace import EventGapTracker
from ._recovery import (
    MAX_SENDS_OF_BEGUN_STREAM,
    MIN_REMAINING_S,
    RecoveryAction,
    SendFailure,
    SendProgress,
    decide_recovery,
    may_await_server,
    may_hedge,
)
from ._resume_pause import ResumePause
from ._speed import RequestSize, expected_first_event_s, slot_occupancy_s
from ._subset import GroupPreferences, subset_size

__all__ = [
    "MAX_SENDS_OF_BEGUN_STREAM",
    "MIN_REMAINING_S",
    "AdmissionAction",
    "AdmissionDecision",
    "ColdLimit",
    "ColdSends",
    "DamagedEventError",
    "EventGapTracker",
    "GroupPreferences",
    "InFlightLoad",
    "LoadTracker",
    "RecoveryAction",
    "RequestSize",
    "ResumableEventSplitter",
    "ResumePause",
    "SendFailure",
    "SendProgress",
    "SharedRetryBudget",
    "decide_admission",
    "decide_recovery",
    "expected_first_event_s",
    "has_fields",
    "may_await_server",
    "may_hedge",
    "slot_occupancy_s",
    "subset_size",
]
