"""Readiness of groups, and the view of a group that nodes exchange."""

from enum import Enum

import msgspec

from briarpond.ids import GroupId, InstanceId, Position
from briarpond.ports import EngineLoad


class ReadinessCode(Enum):
    """Whether a group may serve, and the reason if it may not.

    Attributes
    ----------
    READY
        All members have the group's load at its generation.
    RETIRING
        The group is being retired.
    ABSENT
        A member has no recent status report.
    RESTARTED
        A member is running under another incarnation than the group was formed with.
    OTHER_GENERATION
        A member belongs to another group, or to another generation of it.
    OTHER_LOAD
        A member has another model, version or set of adapters.
    LOADING
        A member has not finished loading.
    """

    READY = "ready"
    RETIRING = "retiring"
    ABSENT = "absent"
    RESTARTED = "restarted"
    OTHER_GENERATION = "other-generation"
    OTHER_LOAD = "other-load"
    LOADING = "loading"


class Readiness(msgspec.Struct, frozen=True):
    """Whether a group may serve.

    Attributes
    ----------
    failing_member : InstanceId or None
        First member that prevents it, if a member does.
    """

    code: ReadinessCode
    failing_member: InstanceId | None = None

    @property
    def ready(self) -> bool:
        """Whether the group may serve."""
        return self.code is ReadinessCode.READY


class GroupView(msgspec.Struct, frozen=True):
    """Readiness and load of one group, from own probes or from peers.

    Attributes
    ----------
    present_at : float
        Monotonic time in seconds at which all members were last known to be ready. It
        is a lower bound: they may have been ready later.
    absent_at : float
        Monotonic time in seconds of the latest report that showed the group not ready.
    load : EngineLoad
        Load that the head reported.
    load_at : float
        Monotonic time in seconds of the report that `load` is from.
    """

    group: GroupId
    generation: Position
    present_at: float
    absent_at: float
    load: EngineLoad
    load_at: float

    def usable(self, now: float, ttl_s: float) -> bool:
        """Whether the group counts as ready at `now`.

        Parameters
        ----------
        ttl_s : float
            Age in seconds up to which `present_at` counts.
        """
        return self.present_at > self.absent_at and now - self.present_at <= ttl_s

    def merged(self, other: "GroupView | None") -> "GroupView":
        """Return a view with the latest times and load of two views.

        A view of another generation is ignored.
        """
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
