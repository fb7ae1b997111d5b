"""Records on their way to the log, and what is known of each.

An append whose answer was lost may have taken effect. The record is looked for
in the folded state first and appended again only after a pause; the second copy
folds to nothing, because it carries the same id.
"""

from collections.abc import Callable
from enum import Enum

import msgspec

from briarpond.ids import RecordId

from ._codec import encode_entry
from ._models import Record, Verdict
from ._state import State

MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 256 * 1024
MAX_WAITING = 10_000
LOOK_AGAIN_S = 1.0


class Settled(msgspec.Struct, frozen=True):
    """What became of a submitted record.

    Attributes
    ----------
    record : Record
        What was submitted.
    verdict : Verdict or None
        The fold's decision; None when the deadline came first.
    appended : bool
        False only if the record certainly never reached the log.
    """

    record: Record
    verdict: Verdict | None
    appended: bool


class _Stage(Enum):
    WAITING = "waiting"
    IN_FLIGHT = "in-flight"
    APPENDED = "appended"
    UNSURE = "unsure"


class _Item(msgspec.Struct):
    record: Record
    deadline: float
    done: Callable[[Settled], None]
    stage: _Stage = _Stage.WAITING
    touched: bool = False
    look_again_at: float = 0.0
    size: int = 0


class Outbox:
    """Batches records into appends, one append in flight at a time."""

    def __init__(self) -> None:
        self._items: dict[RecordId, _Item] = {}
        self._in_flight: list[RecordId] = []

    def __len__(self) -> int:
        """Return how many records are not settled."""
        return len(self._items)

    def submit(
        self, record: Record, now: float, timeout_s: float, done: Callable[[Settled], None]
    ) -> bool:
        """Queue a record; `done` is called exactly once with what became of it.

        Returns
        -------
        bool
            False, and `done` is not called, if too many records wait already.
        """
        if len(self._items) >= MAX_WAITING:
            return False
        item = _Item(record, now + timeout_s, done)
        item.size = len(encode_entry((record,)))
        self._items[record.id] = item
        return True

    def next_append(self, now: float) -> str | None:
        """Return the entry to append now, None if one is in flight or none waits."""
        if self._in_flight:
            return None
        batch: list[Record] = []
        size = 0
        for item in self._items.values():
            if not self._due(item, now):
                continue
            size += item.size
            if batch and (len(batch) >= MAX_BATCH_RECORDS or size > MAX_BATCH_BYTES):
                break
            item.stage = _Stage.IN_FLIGHT
            batch.append(item.record)
        self._in_flight = [record.id for record in batch]
        return encode_entry(tuple(batch)) if batch else None

    def on_appended(self) -> None:
        """Learn that the append in flight took effect."""
        self._move(_Stage.APPENDED)

    def on_refused(self, now: float) -> None:
        """Learn that the append in flight certainly had no effect."""
        for record_id in self._in_flight:
            item = self._items.get(record_id)
            if item is not None:
                item.stage = _Stage.WAITING
                item.look_again_at = now + LOOK_AGAIN_S / 4
        self._in_flight = []

    def on_unsure(self, now: float) -> None:
        """Learn that the answer to the append in flight was lost."""
        for record_id in self._in_flight:
            item = self._items.get(record_id)
            if item is not None:
                item.look_again_at = now + LOOK_AGAIN_S
        self._move(_Stage.UNSURE)

    def settle(self, state: State, now: float) -> int:
        """Call back every record that has a verdict or is past its deadline.

        Returns
        -------
        int
            How many records were settled.
        """
        ended = [item for item in self._items.values() if self._ended(item, state, now)]
        for item in ended:
            del self._items[item.record.id]
        for item in ended:
            verdict = state.verdicts.get(item.record.id)
            appended = item.touched or item.stage is _Stage.IN_FLIGHT
            item.done(Settled(item.record, verdict, appended))
        return len(ended)

    def _ended(self, item: _Item, state: State, now: float) -> bool:
        return item.record.id in state.verdicts or now >= item.deadline

    def _due(self, item: _Item, now: float) -> bool:
        if item.stage in (_Stage.WAITING, _Stage.UNSURE):
            return now >= item.look_again_at
        return False

    def _move(self, stage: _Stage) -> None:
        for record_id in self._in_flight:
            item = self._items.get(record_id)
            if item is not None:
                item.stage = stage
                item.touched = True
        self._in_flight = []
