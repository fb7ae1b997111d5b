"""The instance list of this node, with entries kept over outages of the store."""

from collections.abc import Iterable

import msgspec

from briarpond.ids import InstanceId, ServiceName

from ._models import Instance, InstanceState
from ._outdated import is_outdated
from ._removed import RemovedServers

# Entries lapse during an outage of the store. Instances that are running register again
# within this time after it, in seconds.
REREGISTRATION_GRACE_S = 2.5
# Time in seconds for which an entry that is missing after an outage still gets new work.
# Its instance may have left for good, and requests must go elsewhere within 2 s of that.
MISSING_ENTRY_USE_S = 1.2


class _Entry(msgspec.Struct):
    """An instance as last listed.

    Attributes
    ----------
    instance : Instance
        The instance.
    listed_at : float
        Time at which this node learnt of the entry.
    start_known_at : float
        Time at which this node first learnt of an entry of this start of the process.
    missing_since : float or None
        Time since which the entry has been missing; None if it is listed.
    removed_by_record : bool
        Whether it is missing because a record of the list has removed it.
    """

    instance: Instance
    listed_at: float
    start_known_at: float
    missing_since: float | None = None
    removed_by_record: bool = False


class FleetView:
    """Applies changes of the instance list and keeps lapsed entries after an outage.

    All times are monotonic, in seconds.

    Parameters
    ----------
    first_start : bool
        Whether the whole system starts for the first time. Otherwise an outage may
        have ended just before the list is first read, and entries may still be missing.

    Attributes
    ----------
    unavailable_since : dict
        Instances that get no new work, because they are draining, were removed or are
        missing, with the time at which this was found.
    version : int
        Incremented at each change.
    """

    def __init__(self, first_start: bool = True) -> None:
        self._first_list_may_be_incomplete = not first_start
        self._entries: dict[InstanceId, _Entry] = {}
        self._removed = RemovedServers()
        self._complete_from = 0.0
        # Whether an entry that is missing after the last outage still gets new work.
        self._missing_entries_usable = True
        self.unavailable_since: dict[InstanceId, float] = {}
        self.version = 0

    def put(self, instance: Instance, now: float) -> bool:
        """Add or replace an entry; return False if it is older than what is known of its server.

        An older entry changes nothing, unless its server has been removed and it stays listed.
        """
        if self._refuses(instance, now):
            return False
        self._take(instance, now)
        return True

    def _refuses(self, instance: Instance, now: float) -> bool:
        """Whether an entry is older than what is known; one of a removed server is kept."""
        entry = self._entries.get(instance.id)
        known = None if entry is None else entry.instance
        if known is None:
            refuses = self._removed.precedes_removal(instance)
        else:
            refuses = is_outdated(instance, known)
        if refuses and (entry is None or entry.missing_since is not None):
            self._removed.hold_back(instance, known, now)
        return refuses

    def _take(self, instance: Instance, now: float) -> None:
        self._removed.forget(instance.id)
        previous = self._entries.get(instance.id)
        start_known_at = now
        if previous is not None and previous.instance.started_at_ms == instance.started_at_ms:
            start_known_at = previous.start_known_at
        self._entries[instance.id] = _Entry(instance, now, start_known_at)
        if instance.state is InstanceState.DRAINING:
            self.unavailable_since.setdefault(instance.id, now)
        else:
            self.unavailable_since.pop(instance.id, None)
        self.version += 1

    def remove(self, instance: InstanceId, now: float) -> None:
        """Remove an entry, or mark it as missing within the grace period of an outage.

        Called for a record of the list that removes the entry.
        """
        self._removed.unlist(instance)
        self._remove(instance, True, now)

    def _remove(self, instance: InstanceId, by_record: bool, now: float) -> None:
        entry = self._entries.get(instance)
        if entry is None:
            return
        entry.removed_by_record |= by_record
        self.version += 1
        if now < self._complete_from:
            entry.missing_since = now
            if not self._missing_entries_usable:
                self.unavailable_since.setdefault(instance, now)
        else:
            self._drop(instance, now)

    def replace_all(self, instances: Iterable[Instance], now: float) -> list[Instance]:
        """Replace the list by one that was read as a whole, at the start or after a gap.

        Returns the entries that are older than the known ones, which stay.
        """
        if self._first_list_may_be_incomplete:
            self._first_list_may_be_incomplete = False
            self.outage_ended(now)
        listed = {instance.id: instance for instance in instances}
        self._removed.unlist_others(set(listed))
        for instance_id in list(self._entries):
            if instance_id not in listed:
                self._remove(instance_id, False, now)
        return [each for each in listed.values() if not self._put_if_changed(each, now)]

    def _put_if_changed(self, instance: Instance, now: float) -> bool:
        """Put an entry unless only its number differs; return False if it is older."""
        entry = self._entries.get(instance.id)
        if entry is None or entry.missing_since is not None:
            return self.put(instance, now)
        if is_outdated(instance, entry.instance):
            return False
        if not _says_the_same(instance, entry.instance):
            return self.put(instance, now)
        entry.instance = instance
        return True

    def outage_ended(self, now: float, monitored: bool = True) -> None:
        """Begin the grace period after an outage, in which instances register again.

        Entries that are removed within it are kept as missing.

        Parameters
        ----------
        monitored : bool
            Whether this node queried the store throughout the outage. If not, the outage
            may have ended long ago and a removed instance may have left long ago, so
            missing entries get no new work.
        """
        self._complete_from = now + REREGISTRATION_GRACE_S
        self._missing_entries_usable = monitored

    def is_complete(self, now: float) -> bool:
        """Whether running instances have had time to register again after an outage."""
        return now >= self._complete_from

    def expire_missing(self, now: float) -> None:
        """Drop entries that are still missing when the grace period has ended.

        Before that, entries that are missing for longer than `MISSING_ENTRY_USE_S` get
        no new work. Entries that were refused as older than the removal of their server are
        taken if they have stayed listed.
        """
        for instance in self._removed.expire(now):
            self._take(instance, now)
        for instance_id, entry in list(self._entries.items()):
            if entry.missing_since is None:
                continue
            if now >= self._complete_from:
                self._drop(instance_id, now)
                self.version += 1
            elif (
                now - entry.missing_since >= MISSING_ENTRY_USE_S
                and instance_id not in self.unavailable_since
            ):
                self.unavailable_since[instance_id] = now
                self.version += 1

    def get(self, instance: InstanceId) -> Instance | None:
        """Return a listed or missing instance; None if there is no such entry."""
        entry = self._entries.get(instance)
        return None if entry is None else entry.instance

    def cold_until(self, instance: InstanceId, cold_start_s: float) -> float:
        """Return the time at which an instance ceases to be cold.

        The age of an entry is not known, so it counts from the time at which this node learnt
        of it. An instance may thus count as cold for too long, but not for too short a time.

        Parameters
        ----------
        instance : InstanceId
            The instance.
        cold_start_s : float
            Seconds for which it is cold after its start; used if its entry does not say for
            how long it stays cold.
        """
        entry = self._entries.get(instance)
        if entry is None:
            return float("-inf")
        if entry.instance.cold_left_s is None:
            return entry.start_known_at + cold_start_s
        return entry.listed_at + entry.instance.cold_left_s

    def all_instances(self) -> list[Instance]:
        """Return all instances, those with missing entries included."""
        return [entry.instance for entry in self._entries.values()]

    def accepting(self, service: ServiceName) -> list[Instance]:
        """Return the instances of a service that are not draining.

        Those with missing entries are included, even where they get no new work.
        """
        return [
            entry.instance
            for entry in self._entries.values()
            if entry.instance.service == service and entry.instance.state is InstanceState.READY
        ]

    def _drop(self, instance: InstanceId, now: float) -> None:
        entry = self._entries.pop(instance)
        self._removed.remember(entry.instance, entry.removed_by_record, now)
        self.unavailable_since.setdefault(instance, now)


def _says_the_same(entry: Instance, known: Instance) -> bool:
    """Whether two entries of a server differ at most in their number."""
    return msgspec.structs.replace(entry, sequence=known.sequence) == known
