"""Applies records of the store's instance list to this node's view of the backend servers."""

from collections.abc import Sequence

from briarpond.fleet import FleetView, Instance
from briarpond.ids import InstanceId
from briarpond.logs import log_event, log_warning
from briarpond.net import run_guarded
from briarpond.platform import KeyedRecord, decode_instance


class InstanceList:
    """Keeps a `FleetView` up to date; one record that cannot be used leaves the others.

    Parameters
    ----------
    fleet : FleetView
        View of the backend servers that the records are applied to.
    """

    def __init__(self, fleet: FleetView) -> None:
        self._fleet = fleet

    def replace_all(self, records: Sequence[KeyedRecord], now: float) -> None:
        """Take over the newest record of each key as the whole list."""
        instances = [instance for record in records if (instance := _decode(record)) is not None]
        outdated = self._fleet.replace_all(instances, now)
        log_event("instances_read", count=len(instances), outdated=len(outdated))
        for instance in outdated:
            self._log_outdated(instance)

    def apply_changes(self, records: Sequence[KeyedRecord], now: float) -> None:
        """Apply later records in order."""
        for record in records:
            run_guarded("instance", self._apply, record, now)

    def _apply(self, record: KeyedRecord, now: float) -> None:
        instance = InstanceId(record.key)
        if record.value is None:
            self._fleet.remove(instance, now)
            log_event("instance_removed", instance=instance, offset=record.offset)
            return
        decoded = _decode(record)
        if decoded is None:
            return
        previous = self._fleet.get(instance)
        if not self._fleet.put(decoded, now):
            self._log_outdated(decoded, record.offset)
            return
        if previous is None or previous.state is not decoded.state:
            log_event(
                "instance",
                instance=instance,
                state=decoded.state.value,
                domain=decoded.domain,
                offset=record.offset,
            )

    def _log_outdated(self, entry: Instance, offset: int = -1) -> None:
        """Log an entry that was not taken, and what is known of its server instead."""
        known = self._fleet.get(entry.id)
        log_event(
            "instance_outdated",
            instance=entry.id,
            state=entry.state.value,
            born=entry.started_at_ms,
            seq=_number(entry),
            known_state="none" if known is None else known.state.value,
            known_born=-1 if known is None else known.started_at_ms,
            known_seq=_number(known),
            offset=offset,
        )


def _number(entry: Instance | None) -> int:
    return -1 if entry is None or entry.sequence is None else entry.sequence


def _decode(record: KeyedRecord) -> Instance | None:
    """Return the instance that a record names; None if it names none that can be used."""
    if record.value is None:
        return None
    decoded = decode_instance(record.key, record.value)
    if decoded.is_ok():
        return decoded.ok
    log_warning("instance_unreadable", key=record.key[:80], error=decoded.error[:200])
    return None
