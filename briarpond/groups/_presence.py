"""Reports of instances, each with the time from which it is known to hold."""

import msgspec

from briarpond.ids import InstanceId
from briarpond.ports import StatusReport


class Presence(msgspec.Struct, frozen=True):
    """An instance's last report.

    Attributes
    ----------
    as_of : float
        Monotonic time at which the probe was sent. The report was made later,
        so the age computed from it is never too low.
    """

    report: StatusReport
    as_of: float


class PresenceTable:
    """Last report of each instance that this node probes."""

    def __init__(self) -> None:
        self._rows: dict[InstanceId, Presence] = {}

    def observe(self, report: StatusReport, as_of: float) -> None:
        """Store a report unless a newer probe has answered already."""
        row = self._rows.get(report.instance)
        if row is None or as_of >= row.as_of:
            self._rows[report.instance] = Presence(report, as_of)

    def get(self, instance: InstanceId) -> Presence | None:
        """Return the last report of `instance`."""
        return self._rows.get(instance)

    def fresh(self, instance: InstanceId, now: float, ttl_s: float) -> StatusReport | None:
        """Return the last report if it is no older than `ttl_s` seconds."""
        row = self._rows.get(instance)
        if row is None or now - row.as_of > ttl_s:
            return None
        return row.report

    def forget_before(self, time: float) -> None:
        """Drop reports from before `time`."""
        self._rows = {name: row for name, row in self._rows.items() if row.as_of >= time}
