"""Which entries of a server are older than another one of the same server.

A server numbers what it writes, anew with each start. After a restoration of the store, or in an
answer from an outdated view of it, the list shows entries that were written before known ones.
"""

from ._models import Instance, InstanceState


def is_outdated(entry: Instance, known: Instance) -> bool:
    """Whether an entry was written before a known one of the same server.

    An entry without a start is never outdated, since another writer may leave it out. One without
    a number is outdated by its start, or if it says that a draining server is ready: a server does
    not return from draining within one start unless a later entry says so.
    """
    if not entry.started_at_ms or not known.started_at_ms:
        return False
    if entry.started_at_ms != known.started_at_ms:
        return entry.started_at_ms < known.started_at_ms
    if known.sequence is None:
        return entry.sequence is None and _ends_draining(entry, known)
    if entry.sequence is None or entry.sequence == known.sequence:
        return _ends_draining(entry, known)
    return entry.sequence < known.sequence


def has_same_number(entry: Instance, known: Instance) -> bool:
    """Whether two entries are known to be the same one, of the same start and number."""
    if not entry.started_at_ms or entry.sequence is None:
        return False
    number = (known.started_at_ms, known.sequence)
    return (entry.started_at_ms, entry.sequence) == number


def _ends_draining(entry: Instance, known: Instance) -> bool:
    return known.state is InstanceState.DRAINING and entry.state is InstanceState.READY
