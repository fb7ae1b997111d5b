"""Decisions of the gateway about one request: admission, retries and load of backend servers."""

from ._admission import (
    HOLD_GOAL_FRACTION,
    AdmissionAction,
    AdmissionDecision,
    decide_admission,
)
from ._budget import RetryUsage, SharedRetryBudget
from ._budget_nodes import (
    KNOWN_AFTER_S,
    SHARE_HOLD_S,
    START_FRACTION,
    BudgetNodes,
    BudgetShare,
)
from ._cold import ColdLimit, ColdSends
from ._cost import AnswerLengths, LengthForecast
from ._events import DamagedEventError, ResumableEventSplitter, count_events, has_fields
from ._load import InFlightLoad, LoadRow, LoadTracker
from ._pace import EventGapTracker, StepPaces
from ._pressure import (
    PRESSURE_HOLD_FRACTION,
    AdmittedShare,
    ModelLoad,
    PressureReason,
    content_key,
    content_rank,
    decide_pressure,
    model_load,
    spread_retry_after_s,
)
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
from ._speed import (
    GroupEstimate,
    RequestSize,
    decode_step_s,
    estimate_in_group,
    expected_first_event_s,
    prefill_s,
    slot_occupancy_s,
)
from ._subset import GroupPreferences, subset_size

__all__ = [
    "HOLD_GOAL_FRACTION",
    "KNOWN_AFTER_S",
    "MAX_SENDS_OF_BEGUN_STREAM",
    "MIN_REMAINING_S",
    "PRESSURE_HOLD_FRACTION",
    "AdmissionAction",
    "AdmissionDecision",
    "AdmittedShare",
    "AnswerLengths",
    "BudgetNodes",
    "BudgetShare",
    "ColdLimit",
    "ColdSends",
    "DamagedEventError",
    "EventGapTracker",
    "GroupEstimate",
    "GroupPreferences",
    "InFlightLoad",
    "LengthForecast",
    "LoadRow",
    "LoadTracker",
    "ModelLoad",
    "PressureReason",
    "RecoveryAction",
    "RequestSize",
    "ResumableEventSplitter",
    "ResumePause",
    "SendFailure",
    "SendProgress",
    "RetryUsage",
    "SHARE_HOLD_S",
    "START_FRACTION",
    "SharedRetryBudget",
    "StepPaces",
    "count_events",
    "content_key",
    "content_rank",
    "decide_admission",
    "decide_pressure",
    "decide_recovery",
    "decode_step_s",
    "estimate_in_group",
    "expected_first_event_s",
    "has_fields",
    "may_await_server",
    "may_hedge",
    "model_load",
    "prefill_s",
    "slot_occupancy_s",
    "spread_retry_after_s",
    "subset_size",
]
