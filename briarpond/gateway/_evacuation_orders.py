"""The operator's orders to evacuate data centres, as of a position in the operator's records."""

from collections.abc import Iterable

from briarpond.ids import DataCentre
from briarpond.platform import KeyedRecord, evacuated_data_centre

# Time for which orders outlast a restoration of the store that has lost them. The operator writes
# them again within some seconds; an order that was cancelled meanwhile ends at the latest then.
RESTORE_GRACE_S = 10.0


class EvacuationOrders:
    """Orders that the store lists, and those that a restored store does not list yet.

    Attributes
    ----------
    listed : frozenset of DataCentre
        Data centres that are evacuated as of the position; only these are told to other nodes.
    """

    def __init__(self) -> None:
        self.listed: frozenset[DataCentre] = frozenset()
        self._kept: frozenset[DataCentre] = frozenset()
        self._kept_until = float("-inf")

    @property
    def in_force(self) -> frozenset[DataCentre]:
        """Data centres whose servers get no requests."""
        return self.listed | self._kept

    def begin_era(self, now: float) -> None:
        """Keep what is in force for a while: the store may have lost it and get it again."""
        self._kept = self.in_force
        self._kept_until = now + RESTORE_GRACE_S

    def replace(self, listed: frozenset[DataCentre]) -> None:
        """Take over the whole set as of a position."""
        self.listed = listed

    def replace_by_list(self, entries: Iterable[KeyedRecord]) -> None:
        """Take over the newest record of each key.

        A key without a value does not end an order that is kept: the list of a restored store is
        from before what it has lost.
        """
        places = [evacuated_data_centre(entry.key) for entry in entries if entry.value is not None]
        self.listed = frozenset(place for place in places if place is not None)

    def apply(self, entries: Iterable[KeyedRecord]) -> None:
        """Take over further records in the order of their offsets; other keys are ignored."""
        listed = set(self.listed)
        for entry in entries:
            data_centre = evacuated_data_centre(entry.key)
            if data_centre is None:
                continue
            if entry.value is not None:
                listed.add(data_centre)
                continue
            listed.discard(data_centre)
            self._kept -= {data_centre}
        self.listed = frozenset(listed)

    def end_kept(self, now: float) -> None:
        """Let go of what the store does not list although it had time to get it again."""
        if now >= self._kept_until:
            self._kept = frozenset()
