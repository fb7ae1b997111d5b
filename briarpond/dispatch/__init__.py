"""Decisions of the gateway about one request: admission, retries and load of backend servers."""

from ._admission import AdmissionAction, AdmissionDecision, decide_admission
from ._budget import SharedRetryBudget
from ._events import DamagedEventError, ResumableEventSplitter, has_fields
from ._load import InFlightLoad, LoadTracker
from ._pace import EventGapTracker
from ._recovery import MIN_REMAINING_S, RecoveryAction, SendFailure, SendProgress, decide_recovery
from ._speed import RequestSize, expected_first_event_s, slot_occupancy_s
from ._subset import GroupPreferences, subset_size

__all__ = [
    "MIN_REMAINING_S",
    "AdmissionAction",
    "AdmissionDecision",
    "DamagedEventError",
    "EventGapTracker",
    "GroupPreferences",
    "InFlightLoad",
    "LoadTracker",
    "RecoveryAction",
    "RequestSize",
    "ResumableEventSplitter",
    "SendFailure",
    "SendProgress",
    "SharedRetryBudget",
    "decide_admission",
    "decide_recovery",
    "expected_first_event_s",
    "has_fields",
    "slot_occupancy_s",
    "subset_size",
]
