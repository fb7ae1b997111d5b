"""The instances that are listed, through outages of the list."""

from collections.abc import Iterable

import msgspec

from briarpond.ids import InstanceId, ServiceName

from ._models import Instance, InstanceState

# Entries that lapsed during an outage of the store are back this soon after it.
RETURN_GRACE_S = 2.5
# An entry that is missing for so long after an outage gets no new work: its server may
# have left for good, and its callers must have gone elsewhere 2 s after that.
MISSING_USE_S = 1.2


class _Row(msgspec.Struct):
    instance: Instance
    missing_since: float | None = None


class FleetView:
    """Folds changes of the list; keeps lapsed entries for a while after an outage.

    Parameters
    ----------
    first_start : bool
        Whether the whole system starts for the first time. Otherwise an outage may
        have ended just before the list is first read, with entries still missing.

    Attributes
    ----------
    left : dict
        Instances that are draining or were removed, with the time they were seen so.
    """

    def __init__(self, first_start: bool = True) -> None:
        self._may_lack_entries = not first_start
        self._rows: dict[InstanceId, _Row] = {}
        self._trusted_after = 0.0
        # Whether an entry that is missing after the last outage still gets new work.
        self._uses_missing = True
        self.left: dict[InstanceId, float] = {}
        self.version = 0

    def put(self, instance: Instance, now: float) -> None:
        """Take a new or changed entry."""
        self._rows[instance.id] = _Row(instance)
        if instance.state is InstanceState.DRAINING:
            self.left.setdefault(instance.id, now)
        else:
            self.left.pop(instance.id, None)
        self.version += 1

    def remove(self, instance: InstanceId, now: float) -> None:
        """Take the removal of an entry."""
        row = self._rows.get(instance)
        if row is None:
            return
        self.version += 1
        if now < self._trusted_after:
            row.missing_since = now
            if not self._uses_missing:
                self.left.setdefault(instance, now)
        else:
            self._forget(instance, now)

    def replace_all(self, instances: Iterable[Instance], now: float) -> None:
        """Take the whole list, as read at the start or after a gap."""
        if self._may_lack_entries:
            self._may_lack_entries = False
            self.outage_ended(now)
        listed = {instance.id: instance for instance in instances}
        for instance_id in list(self._rows):
            if instance_id not in listed:
                self.remove(instance_id, now)
        for instance in listed.values():
            known = self._rows.get(instance.id)
            if known is None or known.instance != instance or known.missing_since is not None:
                self.put(instance, now)

    def outage_ended(self, now: float, watched: bool = True) -> None:
        """Distrust removals for a moment: living instances write their entries anew.

        Parameters
        ----------
        watched : bool
            Whether the store was asked all the while. If not, its outage may have ended
            long ago, and what was removed may have left long ago: it gets no new work.
        """
        self._trusted_after = now + RETURN_GRACE_S
        self._uses_missing = watched

    def trusted(self, now: float) -> bool:
        """Whether living instances have had time to write their entries after an outage."""
        return now >= self._trusted_after

    def settle(self, now: float) -> None:
        """Drop entries that did not come back after an outage; first, give them no work."""
        for instance_id, row in list(self._rows.items()):
            if row.missing_since is None:
                continue
            if now >= self._trusted_after:
                self._forget(instance_id, now)
                self.version += 1
            elif now - row.missing_since >= MISSING_USE_S and instance_id not in self.left:
                self.left[instance_id] = now
                self.version += 1

    def get(self, instance: InstanceId) -> Instance | None:
        """Return the entry of an instance."""
        row = self._rows.get(instance)
        return None if row is None else row.instance

    def all(self) -> list[Instance]:
        """Return all entries."""
        return [row.instance for row in self._rows.values()]

    def of(self, service: ServiceName) -> list[Instance]:
        """Return the entries of a service that take new work."""
        return [
            row.instance
            for row in self._rows.values()
            if row.instance.service == service and row.instance.state is InstanceState.READY
        ]

    def _forget(self, instance: InstanceId, now: float) -> None:
        del self._rows[instance]
        self.left.setdefault(instance, now)
