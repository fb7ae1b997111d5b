"""Choice of the group or plain server for each attempt of a request."""

from ._choice import (
    Choice,
    Policy,
    Question,
    choose_cheapest,
    choose_least_reported,
    choose_random,
    choose_two,
)
from ._models import Candidate, Hint
from ._prefix import PrefixBeliefs, hint_of
from ._router import Dispatched, Router
from ._speed import SpeedTable
from ._work import Load, OwnWork

__all__ = [
    "Candidate",
    "Choice",
    "Dispatched",
    "Hint",
    "Load",
    "OwnWork",
    "Policy",
    "PrefixBeliefs",
    "Question",
    "Router",
    "SpeedTable",
    "choose_least_reported",
    "choose_cheapest",
    "choose_random",
    "choose_two",
    "hint_of",
]
