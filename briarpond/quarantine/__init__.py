"""Quarantine of prompt parts that end the servers that run them.

Known elsewhere as handling of poison messages: crashes are counted by part, and requests with
a part that is to blame are refused until a single trial shows that the part is harmless.
"""

from ._crashes import MAX_REQUESTS_PER_CRASH
from ._entries import LEVEL_IF_NEVER_SURVIVED, quarantine_s, trial_node
from ._models import CrashKey, CrashReport, Evidence, QuarantineStatus, Survival
from ._quarantine import (
    Block,
    Condemnation,
    Quarantine,
    QuarantineCallbacks,
    ReleaseReason,
)
from ._verdict import Case

__all__ = [
    "LEVEL_IF_NEVER_SURVIVED",
    "MAX_REQUESTS_PER_CRASH",
    "Block",
    "Case",
    "Condemnation",
    "CrashKey",
    "CrashReport",
    "Evidence",
    "Quarantine",
    "QuarantineCallbacks",
    "QuarantineStatus",
    "ReleaseReason",
    "Survival",
    "quarantine_s",
    "trial_node",
]
