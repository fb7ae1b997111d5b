"""Follower of the log: folds entries in order and reloads across gaps.

The tail knows nothing of sockets. Pages of entries come from the log or from a
peer and are treated alike; a page can only move the state forward.
"""

from collections import deque
from enum import Enum

import msgspec
from msgspec.structs import replace

from ._codec import decode_entry, last_position, offset_of, position_of
from ._fold import apply
from ._models import LogEntry, SnapshotPart
from ._snapshot import SnapshotAssembler
from ._state import State

RELAY_ENTRIES = 4096
RELAY_BYTES = 2 * 1024 * 1024


class TailStatus(Enum):
    """How far the tail has come.

    BOOTING : nothing folded yet, or a reload across a gap is under way.
    FOLLOWING : the state is contiguous with the log.
    TRUNCATED : the log starts after the last whole snapshot; nothing can be
        folded until an operator restores a snapshot or a peer sends one.
    """

    BOOTING = "booting"
    FOLLOWING = "following"
    TRUNCATED = "truncated"


class Page(msgspec.Struct, frozen=True):
    """Entries read from the log or relayed by a peer.

    Attributes
    ----------
    oldest : int
        Lowest offset that the source still holds.
    following : int
        Offset that the source will use next.
    entries : tuple
        Contiguous entries in order.
    """

    oldest: int
    following: int
    entries: tuple[LogEntry, ...]


class Tail:
    """Folded state of one node and its place in the log."""

    def __init__(self) -> None:
        self.state = State()
        self.status = TailStatus.BOOTING
        self.highest_seen = -1
        self.malformed = 0
        self.records_since_snapshot = 0
        self._relay: deque[LogEntry] = deque()
        self._relay_bytes = 0
        self._next_offset = 0
        self._scan: _Scan | None = None

    @property
    def next_offset(self) -> int:
        """Offset to read from next, during a reload that of the scan."""
        return self._next_offset if self._scan is None else self._scan.next_offset

    @property
    def folded_offset(self) -> int:
        """Offset of the last entry folded, -1 before any."""
        return self._next_offset - 1

    @property
    def usable(self) -> bool:
        """Whether any state has been folded from the log."""
        return self.status is TailStatus.FOLLOWING or self.state.position > 0

    def behind(self) -> int:
        """Return how many entries are known to exist beyond the state."""
        return max(0, self.highest_seen - self.folded_offset)

    def note_highest(self, offset: int) -> None:
        """Learn from a peer that the entry at `offset` exists."""
        self.highest_seen = max(self.highest_seen, offset)

    def on_page(self, page: Page) -> None:
        """Fold what `page` adds; start a reload if it shows a gap."""
        self.note_highest(page.following - 1)
        if self._scan is None and page.oldest > self._next_offset:
            self._scan = _Scan(page.oldest)
            self.status = TailStatus.BOOTING
        for entry in page.entries:
            if self._scan is None:
                self._follow(entry)
            else:
                self._scan_entry(entry)
        self._conclude(page)

    def adopt(self, state: State) -> bool:
        """Replace the state by a snapshot if that moves it forward.

        Returns
        -------
        bool
            Whether `state` was newer.
        """
        if state.position <= self.state.position:
            return False
        self.state = state
        self._next_offset = offset_of(state.position) + 1
        self._relay.clear()
        self._relay_bytes = 0
        self._scan = None
        self.status = TailStatus.FOLLOWING
        return True

    def relay_from(self, offset: int, max_bytes: int) -> Page:
        """Return entries from `offset` for a peer, at most about `max_bytes`."""
        oldest = self._relay[0].offset if self._relay else self._next_offset
        chosen: list[LogEntry] = []
        size = 0
        if offset >= oldest:
            for index in range(offset - oldest, len(self._relay)):
                entry = self._relay[index]
                size += len(entry.value)
                if chosen and size > max_bytes:
                    break
                chosen.append(entry)
        return Page(oldest, self._next_offset, tuple(chosen))

    def _conclude(self, page: Page) -> None:
        if self._scan is None:
            if page.oldest <= self._next_offset:
                self.status = TailStatus.FOLLOWING
        elif self._scan.next_offset >= page.following:
            self.status = TailStatus.TRUNCATED

    def _follow(self, entry: LogEntry) -> None:
        if entry.offset != self._next_offset:
            return
        self._fold(entry)
        self._keep_for_relay(entry)

    def _fold(self, entry: LogEntry) -> None:
        decoded = decode_entry(entry.value)
        if decoded.is_error():
            # Every node skips it alike, so the states stay equal.
            self.malformed += 1
        else:
            for index, record in enumerate(decoded.ok.records):
                self.state = apply(self.state, record, position_of(entry.offset, index))
                self.records_since_snapshot += 1
                if isinstance(record, SnapshotPart):
                    self.records_since_snapshot = 0
        self.state = replace(self.state, position=last_position(entry.offset))
        self._next_offset = entry.offset + 1

    def _keep_for_relay(self, entry: LogEntry) -> None:
        self._relay.append(entry)
        self._relay_bytes += len(entry.value)
        while len(self._relay) > RELAY_ENTRIES or self._relay_bytes > RELAY_BYTES:
            self._relay_bytes -= len(self._relay.popleft().value)

    def _scan_entry(self, entry: LogEntry) -> None:
        scan = self._scan
        assert scan is not None
        if entry.offset != scan.next_offset:
            return
        snapshot = scan.add(entry)
        if snapshot is None:
            return
        waiting = scan.entries_after(offset_of(snapshot.position))
        if waiting is None or not self.adopt(snapshot):
            return
        for later in waiting:
            self._follow(later)


class _Scan:
    """Search for a whole snapshot from the oldest entry on."""

    def __init__(self, oldest: int) -> None:
        self.next_offset = oldest
        self._oldest = oldest
        self._entries: list[LogEntry] = []
        self._assembler = SnapshotAssembler()

    def add(self, entry: LogEntry) -> State | None:
        self._entries.append(entry)
        self.next_offset = entry.offset + 1
        decoded = decode_entry(entry.value)
        if decoded.is_error():
            return None
        for record in decoded.ok.records:
            if not isinstance(record, SnapshotPart):
                continue
            whole = self._assembler.add(record)
            if whole is not None and whole.is_ok():
                return whole.ok
        return None

    def entries_after(self, offset: int) -> list[LogEntry] | None:
        """Return the entries after `offset`, None if some have expired."""
        if offset + 1 < self._oldest:
            return None
        return self._entries[offset + 1 - self._oldest :]
