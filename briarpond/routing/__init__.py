"""Choice of the group or plain server for each attempt of a request."""

from ._choice import (
    Choice,
    ChoiceContext,
    Policy,
    choose_least_loaded,
    choose_lowest_cost,
    choose_power_of_two,
    choose_random,
)
from ._models import Candidate, PrefillEstimate
from ._prefix import PrefixCacheTracker, estimate_prefill
from ._router import DispatchedAttempt, Router
from ._speed import SlownessTable
from ._work import LoadEstimate, OwnLoadTracker

__all__ = [
    "Candidate",
    "Choice",
    "ChoiceContext",
    "DispatchedAttempt",
    "LoadEstimate",
    "OwnLoadTracker",
    "Policy",
    "PrefillEstimate",
    "PrefixCacheTracker",
    "Router",
    "SlownessTable",
    "choose_least_loaded",
    "choose_lowest_cost",
    "choose_power_of_two",
    "choose_random",
    "estimate_prefill",
]
