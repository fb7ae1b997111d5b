"""States and views of groups."""

from enum import Enum

import msgspec

from briarpond.ids import GroupId, InstanceId, Position
from briarpond.ports import EngineLoad


class ReadinessCode(Enum):
    """Why a group may or may not serve."""

    READY = "ready"
    RETIRING = "retiring"
    ABSENT = "absent"
    RESTARTED = "restarted"
    OTHER_GENERATION = "other-generation"
    OTHER_LOAD = "other-load"
    LOADING = "loading"


class Readiness(msgspec.Struct, frozen=True):
    """Whether a group may serve, and the member that prevents it."""

    code: ReadinessCode
    blamed: InstanceId | None = None

    @property
    def ready(self) -> bool:
        """Whether every member is present and right."""
        return self.code is ReadinessCode.READY


class GroupView(msgspec.Struct, frozen=True):
    """What a node knows of one group, by its own probes or from peers.

    Attributes
    ----------
    present_at : float
        Monotonic time at which all members are known to have been present and
        right; never later than the truth.
    absent_at : float
        Monotonic time of the newest report that says otherwise.
    load_at : float
        Monotonic time to which `load` refers.
    """

    group: GroupId
    generation: Position
    present_at: float
    absent_at: float
    load: EngineLoad
    load_at: float

    def usable(self, now: float, ttl_s: float) -> bool:
        """Whether the group counts as ready at `now`."""
        return self.present_at > self.absent_at and now - self.present_at <= ttl_s

    def merged(self, other: "GroupView | None") -> "GroupView":
        """Return the newest of two views; a view of another generation counts for nothing."""
        if other is None or other.generation != self.generation:
            return self
        newest = max(self, other, key=lambda view: view.load_at)
        return GroupView(
            self.group,
            self.generation,
            max(self.present_at, other.present_at),
            max(self.absent_at, other.absent_at),
            newest.load,
            newest.load_at,
        )
