"""Audit lines for operators: who did what, to which version, with what verdict."""

import msgspec

from briarpond.journal import AuditEntry, State

AuditLine = AuditEntry


def audit_lines(state: State, limit: int) -> list[AuditLine]:
    """Return the newest `limit` lines, oldest first."""
    first = max(0, state.audit_next - limit)
    numbers = range(first, state.audit_next)
    return [state.audit[number] for number in numbers if number in state.audit]


class ChangedSince(msgspec.Struct, frozen=True):
    """One accepted patch that a stale patch did not know of."""

    version: int
    actor: str
    paths: str


def changes_since(state: State, version: int) -> list[ChangedSince]:
    """Return the accepted patches after `version`, as far as the trail reaches."""
    return [
        ChangedSince(entry.version, entry.actor, entry.target)
        for _, entry in sorted(state.audit.items())
        if entry.action == "patch" and entry.verdict == "accepted" and entry.version > version
    ]
