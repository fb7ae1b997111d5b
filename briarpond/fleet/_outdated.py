"""Which entries of a server are older than another one of the same server.

A server numbers what it writes, anew with each start. After a restoration of the store, or in an
answer from an outdated view of it, the list shows entries that were written before known ones.
"""

from ._models import Instance


def is_outdated(entry: Instance, known: Instance) -> bool:
    """Whether an entry was written before a known one of the same server.

    An entry without a start is never outdated, and one without a number only by its start: another
    writer may leave them out.
    """
    if not entry.started_at_ms or not known.started_at_ms:
        return False
    if entry.started_at_ms != known.started_at_ms:
        return entry.started_at_ms < known.started_at_ms
    if entry.sequence is None or known.sequence is None:
        return False
    return entry.sequence < known.sequence
