"""Latest status reports of instances, with bounds on their age."""

import msgspec

from briarpond.ids import InstanceId
from briarpond.ports import StatusReport


class Presence(msgspec.Struct, frozen=True):
    """Latest status report of an instance.

    Attributes
    ----------
    probed_at : float
        Monotonic time in seconds at which the probe was sent. The instance wrote the
        report later, so the age computed from this time is never too low.
    """

    report: StatusReport
    probed_at: float


class PresenceTable:
    """Latest status report of each instance that this node probes."""

    def __init__(self) -> None:
        self._presences: dict[InstanceId, Presence] = {}

    def record_report(self, report: StatusReport, probed_at: float) -> None:
        """Store a report unless a newer probe has already been answered.

        Parameters
        ----------
        probed_at : float
            Monotonic time in seconds at which the probe was sent.
        """
        presence = self._presences.get(report.instance)
        if presence is None or probed_at >= presence.probed_at:
            self._presences[report.instance] = Presence(report, probed_at)

    def get(self, instance: InstanceId) -> Presence | None:
        """Return the latest report of an instance with its time, if there is one."""
        return self._presences.get(instance)

    def recent_report(self, instance: InstanceId, now: float, ttl_s: float) -> StatusReport | None:
        """Return the latest report if it is no older than `ttl_s` seconds."""
        presence = self._presences.get(instance)
        if presence is None or now - presence.probed_at > ttl_s:
            return None
        return presence.report

    def drop_before(self, oldest: float) -> None:
        """Drop reports whose probe was sent before `oldest`, a monotonic time."""
        self._presences = {
            name: presence
            for name, presence in self._presences.items()
            if presence.probed_at >= oldest
        }
