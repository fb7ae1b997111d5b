"""Parts in quarantine, how long each stays there, and the trial that may end it."""

import hashlib
from collections.abc import Iterable

import msgspec

from briarpond.ids import NodeId, PromptPart

from ._models import QuarantineStatus

# Time from the last crash to the next trial at level 0; each level doubles it.
SHORTEST_QUARANTINE_S = 3.75
LONGEST_QUARANTINE_S = 600.0
# Levels at which a quarantine begins: low for a part that used to be harmless, since it may have
# been blamed in error and many requests may share it.
LEVEL_IF_NEVER_SURVIVED = 3
LEVEL_IF_SURVIVED_BEFORE = 0
# A higher level makes no difference.
MAX_LEVEL = 16
# A trial that has neither failed nor succeeded after this time may be followed by another.
TRIAL_TIMEOUT_S = 15.0
# A part that nobody asks for is forgotten this long after its quarantine.
FORGET_AFTER_S = 600.0
# Retry-After while only a trial is possible.
TRIAL_RETRY_S = 1.0


def quarantine_s(level: int) -> float:
    """Return the seconds from the last crash to the next trial."""
    return min(LONGEST_QUARANTINE_S, SHORTEST_QUARANTINE_S * 2 ** min(level, MAX_LEVEL))


class Entry(msgspec.Struct, eq=False):
    """A part in quarantine.

    Attributes
    ----------
    part : PromptPart
        The part.
    since : float
        Time of the last crash that is blamed on it.
    level : int
        How often the shortest time has been doubled; each failed trial adds one.
    trial_holder : str
        Id of the request that is tried at this node; empty if there is none.
    trial_until : float
        Time until which no other request is tried.
    """

    part: PromptPart
    since: float
    level: int = LEVEL_IF_NEVER_SURVIVED
    trial_holder: str = ""
    trial_until: float = float("-inf")

    @property
    def until(self) -> float:
        """Time from which a single request with the part may be tried."""
        return self.since + quarantine_s(self.level)

    def is_forgotten(self, now: float) -> bool:
        """Whether the part has been out of use for so long that the entry can be dropped."""
        return now > self.until + FORGET_AFTER_S

    def allows(self, holder: str, now: float) -> bool:
        """Whether a request is the one that is tried at present."""
        return self.until <= now < self.trial_until and self.trial_holder == holder

    def can_be_tried(self, now: float) -> bool:
        """Whether a request may be tried, if this node is the one to do it."""
        return now >= self.until and now >= self.trial_until

    def begin_trial(self, holder: str, now: float) -> None:
        """Let one request through."""
        self.trial_holder = holder
        self.trial_until = now + TRIAL_TIMEOUT_S

    def extend(self, at: float) -> None:
        """Begin anew with a longer quarantine, because the trial ended a server."""
        self.since = at
        self.level += 1
        self.trial_until = float("-inf")

    def retry_after_s(self, now: float) -> float:
        """Return the seconds after which a refused caller may have a chance."""
        return max(TRIAL_RETRY_S, self.until - now)

    def status(self, now: float) -> QuarantineStatus:
        """Return what other nodes are told."""
        return QuarantineStatus(self.part, self.level, max(0.0, now - self.since))


def trial_node(part: PromptPart, nodes: Iterable[NodeId]) -> NodeId:
    """Return the node that tries a part, the same at all nodes with the same view.

    It is chosen by rendezvous hashing, so that different parts are tried at different nodes.
    """
    return max(nodes, key=lambda node: hashlib.blake2b(f"{part}/{node}".encode()).digest())
