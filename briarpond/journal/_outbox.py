"""Records that wait to be appended to the log, or whose verdict is not known yet.

An append whose answer was lost may have taken effect. Its records are therefore
appended again only if no verdict on them appears in the folded state for some
time. A second copy is harmless: it carries the same id, so the fold ignores it.
"""

from collections.abc import Callable
from enum import Enum

import msgspec

from briarpond.ids import RecordId

from ._codec import encode_entry
from ._models import Record, Verdict
from ._state import FoldedState

# Limits of one append; a single record may exceed the limit in bytes.
MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 256 * 1024
# Records without a verdict that a node keeps; more are not accepted.
MAX_PENDING_RECORDS = 10_000
# Seconds after an append of unknown outcome until its records are appended again.
# After an append that certainly had no effect, the delay is a quarter of this.
RETRY_DELAY_S = 1.0


class RecordOutcome(msgspec.Struct, frozen=True):
    """Outcome of a submitted record.

    Attributes
    ----------
    record : Record
        Record that was submitted.
    verdict : Verdict or None
        Decision of the fold; None if the deadline passed first.
    appended : bool
        Whether the record may be on the log; False only if it certainly is not.
    """

    record: Record
    verdict: Verdict | None
    appended: bool


class _Stage(Enum):
    """Progress of a pending record.

    WAITING : to be appended once `retry_at` has passed.
    IN_FLIGHT : part of the append that is under way.
    APPENDED : on the log; the fold has not reached it yet.
    OUTCOME_UNKNOWN : the answer to its append was lost; appended again once
        `retry_at` has passed.
    """

    WAITING = "waiting"
    IN_FLIGHT = "in-flight"
    APPENDED = "appended"
    OUTCOME_UNKNOWN = "unsure"


class _PendingRecord(msgspec.Struct):
    """A record without a verdict.

    Attributes
    ----------
    deadline : float
        Monotonic time after which the submitter no longer waits.
    on_settled : callable
        Receives the outcome.
    maybe_appended : bool
        Whether an append with the record took effect or had an unknown outcome.
    retry_at : float
        Monotonic time before which the record is not appended (again).
    size : int
        Length of the record as an entry of its own, in characters of JSON.
    """

    record: Record
    deadline: float
    on_settled: Callable[[RecordOutcome], None]
    stage: _Stage = _Stage.WAITING
    maybe_appended: bool = False
    retry_at: float = 0.0
    size: int = 0


class Outbox:
    """Batches records into appends, one append in flight at a time.

    The owner sends what `next_append` returns, reports the result by one of
    `on_appended`, `on_refused` and `on_unknown_outcome`, and calls `settle` after
    each change of the state and at intervals. All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._pending: dict[RecordId, _PendingRecord] = {}
        self._in_flight: list[RecordId] = []

    def __len__(self) -> int:
        """Return the number of records that have no outcome yet."""
        return len(self._pending)

    def submit(
        self,
        record: Record,
        now: float,
        timeout_s: float,
        on_settled: Callable[[RecordOutcome], None],
    ) -> bool:
        """Queue a record to be appended.

        Parameters
        ----------
        record : Record
            Record with an id that was never used before.
        now : float
            Current time.
        timeout_s : float
            Longest time to wait for the verdict.
        on_settled : callable
            Called exactly once with the outcome, from `settle`.

        Returns
        -------
        bool
            False, and `on_settled` is never called, if `MAX_PENDING_RECORDS` are
            pending already.
        """
        if len(self._pending) >= MAX_PENDING_RECORDS:
            return False
        pending = _PendingRecord(record, now + timeout_s, on_settled)
        pending.size = len(encode_entry((record,)))
        self._pending[record.id] = pending
        return True

    def next_append(self, now: float) -> str | None:
        """Return the JSON text of the entry to append now.

        None if an append is in flight already, or no record is due. The records
        of the entry count as in flight until the result is reported.
        """
        if self._in_flight:
            return None
        batch: list[Record] = []
        size = 0
        for pending in self._pending.values():
            if not self._is_due(pending, now):
                continue
            size += pending.size
            if batch and (len(batch) >= MAX_BATCH_RECORDS or size > MAX_BATCH_BYTES):
                break
            pending.stage = _Stage.IN_FLIGHT
            batch.append(pending.record)
        self._in_flight = [record.id for record in batch]
        return encode_entry(tuple(batch)) if batch else None

    def on_appended(self) -> None:
        """Handle the confirmation that the append in flight took effect."""
        self._set_stage(_Stage.APPENDED)

    def on_refused(self, now: float) -> None:
        """Handle a refusal: the append in flight certainly had no effect."""
        for record_id in self._in_flight:
            pending = self._pending.get(record_id)
            if pending is not None:
                pending.stage = _Stage.WAITING
                pending.retry_at = now + RETRY_DELAY_S / 4
        self._in_flight = []

    def on_unknown_outcome(self, now: float) -> None:
        """Handle an unknown outcome: the append in flight may have taken effect."""
        for record_id in self._in_flight:
            pending = self._pending.get(record_id)
            if pending is not None:
                pending.retry_at = now + RETRY_DELAY_S
        self._set_stage(_Stage.OUTCOME_UNKNOWN)

    def settle(self, state: FoldedState, now: float) -> int:
        """Report the outcome of every record that has a verdict or is past its deadline.

        Parameters
        ----------
        state : FoldedState
            Newest folded state.
        now : float
            Current time.

        Returns
        -------
        int
            Number of records whose outcome was reported.
        """
        settled = [
            pending for pending in self._pending.values() if self._is_settled(pending, state, now)
        ]
        for pending in settled:
            del self._pending[pending.record.id]
        for pending in settled:
            verdict = state.verdicts.get(pending.record.id)
            appended = pending.maybe_appended or pending.stage is _Stage.IN_FLIGHT
            pending.on_settled(RecordOutcome(pending.record, verdict, appended))
        return len(settled)

    def _is_settled(self, pending: _PendingRecord, state: FoldedState, now: float) -> bool:
        return pending.record.id in state.verdicts or now >= pending.deadline

    def _is_due(self, pending: _PendingRecord, now: float) -> bool:
        if pending.stage in (_Stage.WAITING, _Stage.OUTCOME_UNKNOWN):
            return now >= pending.retry_at
        return False

    def _set_stage(self, stage: _Stage) -> None:
        """Move the records in flight to a stage in which they may be on the log."""
        for record_id in self._in_flight:
            pending = self._pending.get(record_id)
            if pending is not None:
                pending.stage = stage
                pending.maybe_appended = True
        self._in_flight = []
