"""Calls to the platform's store, and the feeds that follow its topics."""

from collections.abc import Callable, Sequence
from enum import Enum

from briarpond.logs import log_event, log_warning
from briarpond.net import Address, Clock, HttpClient, LossReason
from briarpond.platform import Entry, StoreCall, decode_newest, decode_records
from briarpond.platform import read_newest as newest_call
from briarpond.platform import read_records as records_call

CALL_TIMEOUT_S = 1.0
WAIT_S = 2.0
# A waiting read is answered this much later than asked at the most.
READ_MARGIN_S = 0.8
# A feed that nobody needs is looked at again after this time.
LOOK_AGAIN_S = 0.1
RETRY_S = 0.25
RETRY_MOST_S = 1.0

Done = Callable[[int, bytes], None]
Lost = Callable[[LossReason], None]


class StoreLink:
    """One client of the store for the whole process."""

    def __init__(self, address: Address, client: HttpClient) -> None:
        self._address = address
        self._client = client
        self.calls = 0

    def call(self, call: StoreCall, timeout_s: float, done: Done, lost: Lost) -> None:
        """Send a call; exactly one of `done` and `lost` follows."""
        self.calls += 1
        headers = (("Content-Type", "application/octet-stream"),) if call.body else ()
        self._client.fetch(
            self._address, call.method, call.target, headers, call.body, timeout_s, done, lost
        )


class _State(Enum):
    SNAPSHOT = "snapshot"
    TAIL = "tail"


class Feed:
    """Follows a keyed topic: its newest records first, then each change.

    Parameters
    ----------
    on_snapshot : callable
        Takes the newest record of each key, after a start or a gap.
    on_entries : callable
        Takes records in the order of their offsets.
    pace_s : callable
        Returns how long to wait after an answer with records.
    wanted : callable
        Whether the topic is followed at present.
    on_regained : callable
        Called at the first answer after a failure, with the seconds since the last one.
    wait_s : callable
        Returns how long a read waits for the next record.

    Attributes
    ----------
    fresh_at : float or None
        Up to when the topic is known without a gap.
    """

    def __init__(
        self,
        store: StoreLink,
        clock: Clock,
        topic: str,
        on_snapshot: Callable[[Sequence[Entry]], None],
        on_entries: Callable[[Sequence[Entry]], None],
        pace_s: Callable[[], float] = lambda: 0.0,
        on_regained: Callable[[float], None] = lambda unwatched_s: None,
        wanted: Callable[[], bool] = lambda: True,
        wait_s: Callable[[], float] = lambda: WAIT_S,
    ) -> None:
        self.fresh_at: float | None = None
        self._store = store
        self._clock = clock
        self._topic = topic
        self._on_snapshot = on_snapshot
        self._on_entries = on_entries
        self._pace_s = pace_s
        self._on_regained = on_regained
        self._wanted = wanted
        self._wait_s = wait_s
        self._waits_s = 0.0
        self._state = _State.SNAPSHOT
        self._page: list[Entry] = []
        self._after: str | None = None
        self._snapshot_end: int | None = None
        self._offset = 0
        self._asked_at = 0.0
        self._failures = 0
        self._failed_at = float("-inf")

    def start(self) -> None:
        """Begin to follow."""
        self._ask()

    def age(self, now: float) -> float | None:
        """Return for how long changes may have gone unseen."""
        return None if self.fresh_at is None else now - self.fresh_at

    def confirm(self, at: float) -> None:
        """What is known was still the newest at `at`, another node says."""
        if self.fresh_at is not None:
            self.fresh_at = max(self.fresh_at, at)

    def _ask(self) -> None:
        if self._state is _State.TAIL and not self._wanted():
            self._clock.after(LOOK_AGAIN_S, self._ask)
            return
        self._asked_at = self._clock.now()
        if self._state is _State.SNAPSHOT:
            call = newest_call(self._topic, self._after)
            self._store.call(call, CALL_TIMEOUT_S, self._got_page, self._lost)
        else:
            wait_s = self._wait_s() if self._failures == 0 else 0.0
            self._waits_s = wait_s
            call = records_call(self._topic, self._offset, wait_s)
            self._store.call(call, wait_s + READ_MARGIN_S, self._got_records, self._lost)

    def _got_page(self, status: int, body: bytes) -> None:
        page = decode_newest(body) if status == 200 else None
        if page is None or page.is_error():
            self._failed(f"status {status}" if page is None else page.error)
            return
        if self._snapshot_end is None:
            # Pages are no snapshot: what changes meanwhile is read again from here.
            self._snapshot_end = page.ok.end
        self._page += page.ok.entries
        self._after = page.ok.more_after
        self._succeeded()
        if self._after is None:
            self._end_snapshot()
        self._ask()

    def _end_snapshot(self) -> None:
        assert self._snapshot_end is not None
        entries, self._page = self._page, []
        self._offset, self._snapshot_end = self._snapshot_end, None
        self._state = _State.TAIL
        self.fresh_at = self._asked_at
        self._on_snapshot(entries)

    def _got_records(self, status: int, body: bytes) -> None:
        if status == 410:
            log_warning("feed_gap", topic=self._topic, offset=self._offset)
            self._state = _State.SNAPSHOT
            self._clock.after(0.0, self._ask)
            return
        records = decode_records(body, self._offset) if status == 200 else None
        if records is None or records.is_error():
            self._failed(f"status {status}" if records is None else records.error)
            return
        self._take(records.ok.entries, records.ok.next_offset)

    def _take(self, entries: Sequence[Entry], next_offset: int) -> None:
        now = self._clock.now()
        waited = self._failures == 0 and not entries
        self._offset = max(self._offset, next_offset)
        # An answer without records says that there were none when the wait ended.
        fresh_at = max(self._asked_at, min(now, self._asked_at + self._waits_s) if waited else 0.0)
        self._succeeded()
        if entries:
            self._on_entries(entries)
        self.confirm(fresh_at)
        self._clock.after(self._pace_s() if entries else 0.0, self._ask)

    def _succeeded(self) -> None:
        if self._failures:
            log_event("store_regained", topic=self._topic, failures=self._failures)
            self._failures = 0
            self._on_regained(self._clock.now() - self._failed_at)

    def _lost(self, reason: LossReason) -> None:
        self._failed(reason.value)

    def _failed(self, why: str) -> None:
        self._failures += 1
        self._failed_at = self._clock.now()
        if self._failures == 1:
            log_warning("store_lost", topic=self._topic, reason=why)
        delay = min(RETRY_MOST_S, RETRY_S * self._failures)
        self._clock.after(delay, self._ask)
