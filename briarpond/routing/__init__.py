"""Choice of the group or server for each attempt."""

from ._choice import Policy, choose_cheapest, choose_least_reported, choose_random, choose_two
from ._models import Candidate, Hint
from ._prefix import PrefixBeliefs, prefix_of
from ._router import Router
from ._speed import SpeedTable
from ._work import OwnWork

__all__ = [
    "Candidate",
    "Hint",
    "OwnWork",
    "Policy",
    "PrefixBeliefs",
    "Router",
    "SpeedTable",
    "choose_cheapest",
    "choose_least_reported",
    "choose_random",
    "choose_two",
    "prefix_of",
]
