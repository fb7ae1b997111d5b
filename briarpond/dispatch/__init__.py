"""Decisions of the gateway about one request: admission, retries and load of backend servers."""

from ._admission import Verdict, VerdictKind, judge
from ._budget import RetryBudget
from ._events import EventSplitter
from ._load import InFlightLoad, LoadBook
from ._pace import PaceBook
from ._recovery import Failure, NextStep, Progress, next_step
from ._speed import Work, first_event_s, place_s

__all__ = [
    "EventSplitter",
    "Failure",
    "InFlightLoad",
    "LoadBook",
    "NextStep",
    "PaceBook",
    "Progress",
    "RetryBudget",
    "Verdict",
    "VerdictKind",
    "Work",
    "first_event_s",
    "judge",
    "next_step",
    "place_s",
]
