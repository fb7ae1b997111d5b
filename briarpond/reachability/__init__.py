"""Whether this node reaches backend servers, told apart from the loss of single servers.

Known elsewhere as self-checking failure detection: an observer that loses a server first checks
whether it reaches others, before it declares anything lost.
"""

from ._models import CHECK_TIMEOUT_S, Check, CheckTarget, LinkState, LossKind, Verdict
from ._reachability import Reachability
from ._sample import choose_targets
from ._silence import SendProgress, Silence, find_silence

__all__ = [
    "CHECK_TIMEOUT_S",
    "Check",
    "CheckTarget",
    "LinkState",
    "LossKind",
    "Reachability",
    "SendProgress",
    "Silence",
    "Verdict",
    "choose_targets",
    "find_silence",
]
