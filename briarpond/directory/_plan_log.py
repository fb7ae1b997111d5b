"""The plan of the system with the version at which each of its rows last changed.

Every node can therefore tell another one just what has changed since an older version.
"""

import msgspec

from ._models import (
    GroupTarget,
    PlainServerTarget,
    PlanDelta,
    PlanVersion,
    RoutingTargets,
)

# Sequences for which removed rows are remembered. A node with an older plan gets the whole one.
REMEMBERED_SEQUENCES = 200


class _Row(msgspec.Struct):
    """A group or a plain server of the plan, and the sequence at which it last changed."""

    target: GroupTarget | PlainServerTarget
    sequence: int


class PlanLog:
    """Versioned rows of the newest plan that a node knows.

    Attributes
    ----------
    version : PlanVersion
        Version of the plan.
    targets : RoutingTargets
        The groups and servers of the plan.
    """

    def __init__(self) -> None:
        self.version = PlanVersion()
        self.targets = RoutingTargets()
        self._rows: dict[str, _Row] = {}
        self._removed: dict[str, int] = {}
        self._oldest_base = 0

    def publish(self, term: int, targets: RoutingTargets) -> bool:
        """On the planner, replace the plan; return whether that made a new version."""
        wanted = _rows_by_name(targets)
        if term != self.version.term:
            self._begin_term(term)
        elif wanted == {name: row.target for name, row in self._rows.items()}:
            return False
        sequence = self.version.sequence + 1
        for name in [name for name in self._rows if name not in wanted]:
            self._remove(name, sequence)
        for name, target in wanted.items():
            row = self._rows.get(name)
            if row is None or row.target != target:
                self._put(name, target, sequence)
        self._finish(PlanVersion(term, sequence))
        return True

    def delta_since(self, version: PlanVersion) -> PlanDelta | None:
        """Return what has changed since a version; None if that is not older than the plan."""
        if version >= self.version:
            return None
        base = version.sequence if version.term == self.version.term else None
        if base is not None and base < self._oldest_base:
            base = None
        since = 0 if base is None else base
        changed = [row.target for row in self._rows.values() if row.sequence > since]
        return PlanDelta(
            self.version,
            base,
            tuple(target for target in changed if isinstance(target, GroupTarget)),
            tuple(target for target in changed if isinstance(target, PlainServerTarget)),
            (
                ()
                if base is None
                else tuple(name for name, sequence in self._removed.items() if sequence > since)
            ),
        )

    def apply(self, delta: PlanDelta) -> bool:
        """Apply changes that another node sent; return whether the plan is newer now.

        Changes whose base is newer than this plan are not applied, since some in between
        would be missing.
        """
        if delta.version <= self.version:
            return False
        if delta.base is None:
            self._begin_term(delta.version.term)
            # What was removed before is not known here.
            self._oldest_base = delta.version.sequence
        elif delta.version.term != self.version.term or delta.base > self.version.sequence:
            return False
        sequence = delta.version.sequence
        for name in delta.removed:
            self._remove(name, sequence)
        for target in (*delta.groups, *delta.servers):
            self._put(_name(target), target, sequence)
        self._finish(delta.version)
        return True

    def _begin_term(self, term: int) -> None:
        self._rows.clear()
        self._removed.clear()
        self._oldest_base = 0
        self.version = PlanVersion(term, 0)

    def _put(self, name: str, target: GroupTarget | PlainServerTarget, sequence: int) -> None:
        self._rows[name] = _Row(target, sequence)
        self._removed.pop(name, None)

    def _remove(self, name: str, sequence: int) -> None:
        self._rows.pop(name, None)
        self._removed[name] = sequence

    def _finish(self, version: PlanVersion) -> None:
        self.version = version
        oldest = version.sequence - REMEMBERED_SEQUENCES
        if oldest > self._oldest_base:
            self._oldest_base = oldest
            self._removed = {name: at for name, at in self._removed.items() if at > oldest}
        targets = [row.target for row in self._rows.values()]
        self.targets = RoutingTargets(
            tuple(target for target in targets if isinstance(target, GroupTarget)),
            tuple(target for target in targets if isinstance(target, PlainServerTarget)),
        )


def _name(target: GroupTarget | PlainServerTarget) -> str:
    """Return the key of a row; groups and servers have separate names."""
    if isinstance(target, GroupTarget):
        return f"group/{target.group}"
    return f"server/{target.instance}"


def _rows_by_name(targets: RoutingTargets) -> dict[str, GroupTarget | PlainServerTarget]:
    return {_name(target): target for target in (*targets.groups, *targets.servers)}
