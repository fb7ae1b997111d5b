"""Queries on the audit trail.

The trail is part of the folded state and bounded; older entries are dropped.
"""

import msgspec

from briarpond.journal import AuditEntry, FoldedState

# Form of an entry in the answers to operators; at present the stored one.
AuditLine = AuditEntry


def audit_lines(state: FoldedState, limit: int) -> list[AuditLine]:
    """Return the newest entries of the trail, at most `limit`, oldest first."""
    first = max(0, state.audit_next - limit)
    numbers = range(first, state.audit_next)
    return [state.audit[number] for number in numbers if number in state.audit]


class AcceptedPatch(msgspec.Struct, frozen=True):
    """One accepted patch of the configuration.

    Attributes
    ----------
    version : int
        Version that the patch made.
    actor : str
        Operator who submitted it.
    paths : str
        Dotted paths that it changed, separated by spaces.
    """

    version: int
    actor: str
    paths: str


def accepted_patches_since(state: FoldedState, version: int) -> list[AcceptedPatch]:
    """Return the accepted patches after a version, oldest first.

    They show the writer of a stale patch what has changed since `version`. Patches
    that have been dropped from the trail are missing.
    """
    return [
        AcceptedPatch(entry.version, entry.actor, entry.target)
        for _, entry in sorted(state.audit.items())
        if entry.action == "patch" and entry.verdict == "accepted" and entry.version > version
    ]
