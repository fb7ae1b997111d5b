"""Feeds that follow topics of the platform's store."""

from collections.abc import Callable, Sequence
from enum import Enum
from functools import partial

from briarpond.directory import StorePosition
from briarpond.logs import log_event, log_warning
from briarpond.net import Clock, LossReason, run_guarded
from briarpond.platform import (
    KeyedRecord,
    RecordsPage,
    decode_newest,
    decode_records,
    newest_records_request,
    read_records_request,
)

from ._config_origin import STORE_SOURCE
from ._store_client import StoreClient

# Timeout of a call that the store answers at once.
CALL_TIMEOUT_S = 1.0
# Default time for which the store holds back a read until a record arrives (long polling).
READ_WAIT_S = 2.0
# Time that a read may take beyond the wait that it asks the store for.
READ_MARGIN_S = 0.8
# How often a feed that is not wanted checks whether it is wanted again.
IDLE_CHECK_INTERVAL_S = 0.1
# Wait before a failed read is repeated: this long for each failure in a row, at most
# MAX_RETRY_DELAY_S.
RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 1.0


class _FeedState(Enum):
    """Whether a feed reads the newest record of each key, or the records that follow."""

    SNAPSHOT = "snapshot"
    TAIL = "tail"


class TopicFeed:
    """Follows a keyed topic: first the newest record of each key, then each change.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    clock : Clock
        Source of time and timers.
    topic : str
        Name of the topic.
    on_snapshot : callable
        Takes the newest record of each key, after the start and after a gap.
    on_entries : callable
        Takes later records in the order of their offsets.
    pause_s : callable
        Returns how many seconds to wait after an answer with records, before the next read.
    on_regained : callable
        Called at the first answer after one or more failures, with the seconds that have
        passed since the last failure.
    is_wanted : callable
        Whether the topic is to be followed at present. While it is not, nothing is read,
        but a snapshot that was begun is completed.
    wait_s : callable
        Returns how many seconds the store may hold back a read until a record arrives.
    reached : callable
        Returns a position that the topic is known to have reached. An answer from before it is
        outdated and does not confirm that no change is missing.

    Attributes
    ----------
    offset : int
        Offset of the first record that was not passed on; in `on_snapshot` and `on_entries`, of
        the first one after those that are passed on.
    known_until : float or None
        Time up to which all changes of the topic are known; None before the first snapshot.
    confirmed_by : str
        Who told that time: `STORE_SOURCE`, or the source given to `confirm` or `adopt`.
    era : int
        Era of the store that `offset` belongs to; 0 if the store tells none.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        topic: str,
        on_snapshot: Callable[[Sequence[KeyedRecord]], None],
        on_entries: Callable[[Sequence[KeyedRecord]], None],
        pause_s: Callable[[], float] = lambda: 0.0,
        on_regained: Callable[[float], None] = lambda failure_age_s: None,
        is_wanted: Callable[[], bool] = lambda: True,
        wait_s: Callable[[], float] = lambda: READ_WAIT_S,
        reached: Callable[[], StorePosition] = StorePosition,
    ) -> None:
        self.known_until: float | None = None
        self.confirmed_by = ""
        self.era = 0
        self._store = store
        self._clock = clock
        self._topic = topic
        self._on_snapshot = on_snapshot
        self._on_entries = on_entries
        self._pause_s = pause_s
        self._on_regained = on_regained
        self._is_wanted = is_wanted
        self._wait_s = wait_s
        self._reached = reached
        self._requested_wait_s = 0.0
        self._state = _FeedState.SNAPSHOT
        self._snapshot_entries: list[KeyedRecord] = []
        self._next_page_after: str | None = None
        self._snapshot_end: int | None = None
        self._snapshot_began_at = 0.0
        self.offset = 0
        self._requested_at = 0.0
        self._requested_offset = 0
        self._requested_era = 0
        # Key after which the page that was asked for begins; None for the first page.
        self._requested_after: str | None = None
        self._failures = 0
        self._failed_at = float("-inf")
        self._next_delay_s = 0.0

    def start(self) -> None:
        """Start to read the topic."""
        self._send_read()

    def age(self, now: float) -> float | None:
        """Return the seconds in which changes may have been missed; None before a snapshot."""
        return None if self.known_until is None else now - self.known_until

    def confirm(self, at: float, source: str) -> None:
        """Record that no change of the topic up to the time `at` is missing."""
        if self.known_until is not None or self._state is _FeedState.TAIL:
            self._take_over(at, source)

    @property
    def position(self) -> StorePosition:
        """The position that follows what was passed on."""
        return StorePosition(self.era, self.offset)

    def read_whole(self) -> None:
        """Read the newest record of each key anew, because records are missing."""
        self._begin_snapshot()

    def adopt(self, position: StorePosition | None, known_until: float | None, source: str) -> None:
        """Take over a state of the topic that another node has read.

        Parameters
        ----------
        position : StorePosition or None
            Position that follows that state. None if it is not known; the topic is then read on
            from where this feed is.
        known_until : float or None
            Time up to which the other node knew all changes; None if it is known to lack some.
        source : str
            The other node.
        """
        if self._state is _FeedState.SNAPSHOT and self._snapshot_end is not None:
            # The pages that are being read may be newer.
            return
        if position is not None:
            self._state = _FeedState.TAIL
            self._store.note_era(position.era)
            newest = max(self.position, position)
            self.era, self.offset = newest.era, newest.offset
        if known_until is not None:
            self._take_over(known_until, source)

    def _take_over(self, known_until: float, source: str) -> None:
        if self.known_until is None or known_until > self.known_until:
            self.known_until = known_until
            self.confirmed_by = source

    def _send_read(self) -> None:
        """Send the next read; every answer, loss and error leads back to here."""
        if not run_guarded("feed", self._try_read):
            self._clock.after(MAX_RETRY_DELAY_S, self._send_read)

    def _try_read(self) -> None:
        if self._snapshot_end is None and not self._is_wanted():
            self._clock.after(IDLE_CHECK_INTERVAL_S, self._send_read)
            return
        self._requested_at = self._clock.now()
        self._requested_era = self.era
        self._requested_after = self._next_page_after
        if self._state is _FeedState.SNAPSHOT:
            request = newest_records_request(self._topic, self._next_page_after)
            timeout_s, handle = CALL_TIMEOUT_S, self._on_page
        else:
            self._requested_wait_s = self._wait_s() if self._failures == 0 else 0.0
            self._requested_offset = self.offset
            request = read_records_request(self._topic, self.offset, self._requested_wait_s)
            timeout_s, handle = self._requested_wait_s + READ_MARGIN_S, self._on_records
        self._store.call(request, timeout_s, partial(self._on_answer, handle), self._on_lost)

    def _on_answer(self, handle: Callable[[int, bytes], None], status: int, body: bytes) -> None:
        """Handle an answer, and plan the next read whatever comes of it."""
        self._next_delay_s = 0.0
        if self._store.era != self.era:
            self._begin_era(self._store.era)
        if not self._is_usable(handle):
            self._send_read()
            return
        known_until = self.known_until
        if not run_guarded("feed", handle, status, body):
            # Records may be missing from what was applied, so the whole list is read again.
            self.known_until = known_until
            self._begin_snapshot()
            self._note_failure("unexpected error")
        if self._next_delay_s:
            self._clock.after(self._next_delay_s, self._send_read)
        else:
            self._send_read()

    def _begin_era(self, era: int) -> None:
        """Read the whole list anew, since the store has come back from a copy."""
        if self.known_until is not None:
            log_event("feed_restarted", topic=self._topic, era=era, offset=self.offset)
        self.era = era
        self.offset = 0
        self._begin_snapshot()

    def _is_usable(self, handle: Callable[[int, bytes], None]) -> bool:
        """Whether an answer begins a list, or continues what this feed has in its present era."""
        is_first_page = handle == self._on_page and self._requested_after is None
        return is_first_page or self._requested_era == self.era

    def _on_page(self, status: int, body: bytes) -> None:
        page = decode_newest(body) if status == 200 else None
        if page is None or page.is_error():
            self._note_failure(f"status {status}" if page is None else page.error)
            return
        if self._snapshot_end is None:
            # The pages are not a consistent snapshot. Changes made while they are read are
            # covered by reading the records from the end that the first page reported.
            self._snapshot_end = page.ok.end_offset
            self._snapshot_began_at = self._requested_at
        self._snapshot_entries += page.ok.entries
        self._next_page_after = page.ok.next_after
        self._on_success()
        if self._next_page_after is None:
            self._end_snapshot(self._snapshot_end)

    def _begin_snapshot(self) -> None:
        self._state = _FeedState.SNAPSHOT
        self._snapshot_entries = []
        self._snapshot_end = None
        self._next_page_after = None

    def _end_snapshot(self, end_offset: int) -> None:
        entries = self._snapshot_entries
        self._begin_snapshot()
        self.offset = end_offset
        self._state = _FeedState.TAIL
        if self.position >= self._reached():
            self.known_until = self._snapshot_began_at
            self.confirmed_by = STORE_SOURCE
        self._on_snapshot(entries)

    def _on_records(self, status: int, body: bytes) -> None:
        if status == 410:
            log_warning("feed_gap", topic=self._topic, offset=self.offset)
            self._begin_snapshot()
            return
        # `offset` may have moved on since the read was sent; the records are those asked for.
        records = decode_records(body, self._requested_offset) if status == 200 else None
        if records is None or records.is_error():
            self._note_failure(f"status {status}" if records is None else records.error)
            return
        self._apply_records(records.ok)

    def _apply_records(self, page: RecordsPage) -> None:
        now = self._clock.now()
        entries = page.entries
        wait_ended_empty = self._failures == 0 and not entries
        self.offset = max(self.offset, page.next_offset)
        has_more = self.offset < page.end_offset
        # An answer without records means that there were none up to the end of the wait;
        # one with records confirms only the time at which the read was sent.
        confirmed_until = max(
            self._requested_at,
            min(now, self._requested_at + self._requested_wait_s) if wait_ended_empty else 0.0,
        )
        self._on_success()
        if entries:
            self._on_entries(entries)
        if self._state is _FeedState.SNAPSHOT:
            # Answers that contradict each other must not lead to reads without a pause.
            self._next_delay_s = RETRY_DELAY_S
            return
        if has_more:
            # Only the end of the topic shows what is known; the rest is read at once.
            return
        if entries:
            self._next_delay_s = self._pause_s()
        if StorePosition(self.era, page.end_offset) < self._reached():
            self._next_delay_s = max(self._next_delay_s, RETRY_DELAY_S)
        else:
            self.confirm(confirmed_until, STORE_SOURCE)

    def _on_success(self) -> None:
        if self._failures:
            log_event("store_regained", topic=self._topic, failures=self._failures)
            self._failures = 0
            self._on_regained(self._clock.now() - self._failed_at)

    def _on_lost(self, reason: LossReason) -> None:
        self._note_failure(reason.value)
        self._clock.after(self._next_delay_s, self._send_read)

    def _note_failure(self, cause: str) -> None:
        """Count a failed read; the next one waits longer after each failure in a row."""
        self._failures += 1
        self._failed_at = self._clock.now()
        if self._failures == 1:
            log_warning("store_lost", topic=self._topic, reason=cause)
        self._next_delay_s = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * self._failures)
