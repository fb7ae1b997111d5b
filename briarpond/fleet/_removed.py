"""Servers that were removed from the instance list, so that older entries don't return them."""

import msgspec

from briarpond.ids import InstanceId

from ._models import Instance, InstanceState
from ._outdated import has_same_number, is_outdated

# How long a removed server is remembered, in seconds. The store may come back from a copy that is
# some seconds old, and may be away for a moment before.
REMEMBERED_S = 60.0
# Number of servers that are remembered; the one that was removed first is forgotten first.
MAX_REMEMBERED = 2000
# Time in seconds after which a refused entry that is still listed is taken. The list drops a
# server that is silent for three heartbeat intervals, so that it must be running by then.
HELD_BACK_S = 10.0


class _Removed(msgspec.Struct):
    """A removed server.

    Attributes
    ----------
    last_known : Instance
        The latest entry of it that was known.
    by_record : bool
        Whether a record removed it. Otherwise it was missing in a list that was read as a whole,
        and its entry may be written again as it was.
    removed_at : float
        Time at which it was removed.
    """

    last_known: Instance
    by_record: bool
    removed_at: float


class _HeldBack(msgspec.Struct):
    """An entry that was refused and is listed since the time `since`."""

    instance: Instance
    since: float
    was_draining: bool


class RemovedServers:
    """Remembers removed servers for a time, and entries of them that were refused.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._removed: dict[InstanceId, _Removed] = {}
        self._held_back: dict[InstanceId, _HeldBack] = {}

    def remember(self, last_known: Instance, by_record: bool, now: float) -> None:
        """Record that a server was removed; `by_record` as in a record of the list."""
        self._removed.pop(last_known.id, None)
        self._removed[last_known.id] = _Removed(last_known, by_record, now)
        if len(self._removed) > MAX_REMEMBERED:
            del self._removed[next(iter(self._removed))]

    def precedes_removal(self, entry: Instance) -> bool:
        """Whether an entry was written before its server was removed."""
        removed = self._removed.get(entry.id)
        if removed is None:
            return False
        if is_outdated(entry, removed.last_known):
            return True
        return removed.by_record and has_same_number(entry, removed.last_known)

    def hold_back(self, entry: Instance, last_known: Instance | None, now: float) -> None:
        """Keep a refused entry, which the list shows from now on.

        Parameters
        ----------
        last_known : Instance or None
            Latest entry of the server; None for a removed server, which is remembered.
        """
        known = last_known or self._removed[entry.id].last_known
        held = self._held_back.get(entry.id)
        since = now if held is None else held.since
        was_draining = known.state is InstanceState.DRAINING
        self._held_back[entry.id] = _HeldBack(entry, since, was_draining)

    def unlist(self, instance: InstanceId) -> None:
        """Record that the list does not show a server any more."""
        self._held_back.pop(instance, None)

    def unlist_others(self, listed: set[InstanceId]) -> None:
        """Record that the list shows these servers and no others."""
        for instance in self._held_back.keys() - listed:
            del self._held_back[instance]

    def forget(self, instance: InstanceId) -> None:
        """Record that an entry of a server was taken."""
        self._removed.pop(instance, None)
        self._held_back.pop(instance, None)

    def expire(self, now: float) -> list[Instance]:
        """Forget what is too old; return the refused entries to take now.

        A server that was draining does not return in this way.
        """
        for instance, removed in list(self._removed.items()):
            if now - removed.removed_at < REMEMBERED_S:
                break
            del self._removed[instance]
        due = [each for each in self._held_back.values() if now - each.since >= HELD_BACK_S]
        for held in due:
            del self._held_back[held.instance.id]
        return [held.instance for held in due if not held.was_draining]
