"""Choice of the group or plain server for each attempt of a request."""

from ._choice import (
    Choice,
    ChoiceContext,
    Policy,
    choose_cheapest,
    choose_least_reported,
    choose_random,
    choose_two,
)
from ._models import Candidate, Hint
from ._prefix import PrefixCacheTracker, hint_of
from ._router import Dispatched, Router
from ._speed import SlownessTable
from ._work import LoadEstimate, OwnLoadTracker

__all__ = [
    "Candidate",
    "Choice",
    "Dispatched",
    "Hint",
    "LoadEstimate",
    "OwnLoadTracker",
    "Policy",
    "PrefixCacheTracker",
    "ChoiceContext",
    "Router",
    "SlownessTable",
    "choose_least_reported",
    "choose_cheapest",
    "choose_random",
    "choose_two",
    "hint_of",
]
