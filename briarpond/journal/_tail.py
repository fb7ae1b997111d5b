"""Follower of the log: folds entries in order and reloads the state after a gap.

The module does no I/O. Pages of entries are passed in, no matter whether they
were read from the store's log or relayed by a peer; a page never moves the state
backwards.
"""

from collections import deque
from enum import Enum

import msgspec
from msgspec.structs import replace

from ._codec import decode_entry, last_position, offset_of, position_of
from ._fold import apply_record
from ._models import LogEntry, SnapshotPart
from ._snapshot import SnapshotAssembler
from ._state import FoldedState

# Bounds of the newest entries that a node keeps in memory to relay them to peers; their
# size is counted in characters.
MAX_RELAY_ENTRIES = 4096
MAX_RELAY_BYTES = 2 * 1024 * 1024


class TailStatus(Enum):
    """Relation of the folded state to the log.

    BOOTING : nothing is folded yet, or the state is being reloaded after a gap.
    FOLLOWING : the next entry to fold is still on the log, or has yet to be appended.
    TRUNCATED : entries after the state have expired from the log, and the rest of
        it holds no complete snapshot; nothing can be folded until an operator
        restores a snapshot or a peer sends one.
    """

    BOOTING = "booting"
    FOLLOWING = "following"
    TRUNCATED = "truncated"


class Page(msgspec.Struct, frozen=True):
    """Entries read from the log or relayed by a peer.

    Attributes
    ----------
    oldest : int
        Lowest offset that the source of the page still holds.
    following : int
        Offset after the newest entry of the source, the one it assigns next.
    entries : tuple of LogEntry
        Entries in the order of their offsets, without a gap.
    """

    oldest: int
    following: int
    entries: tuple[LogEntry, ...]


class Tail:
    """Folded state of one node, kept up to date with the log.

    Entries are folded in the order of their offsets. If the log no longer holds
    the next entry, the state is reloaded from a snapshot on the log; the old
    state stays in use meanwhile.

    Attributes
    ----------
    state : FoldedState
        State after the last entry folded.
    status : TailStatus
        Relation of the state to the log.
    highest_seen : int
        Highest offset known to exist on the log, -1 for none.
    malformed_entries : int
        Entries that could not be decoded and were skipped.
    records_since_snapshot : int
        Records folded since the last snapshot part, or since the start.
    """

    def __init__(self) -> None:
        self.state = FoldedState()
        self.status = TailStatus.BOOTING
        self.highest_seen = -1
        self.malformed_entries = 0
        self.records_since_snapshot = 0
        self._relay_buffer: deque[LogEntry] = deque()
        self._relay_bytes = 0
        self._next_offset = 0
        self._scan: _SnapshotScan | None = None

    @property
    def next_offset(self) -> int:
        """Offset from which to read the log next; in a reload, that of the snapshot scan."""
        return self._next_offset if self._scan is None else self._scan.next_offset

    @property
    def folded_offset(self) -> int:
        """Offset of the last entry folded, -1 before any."""
        return self._next_offset - 1

    @property
    def has_state(self) -> bool:
        """Whether the state reflects the log up to some entry; an empty log counts, too."""
        return self.status is TailStatus.FOLLOWING or self.state.position > 0

    def entries_behind(self) -> int:
        """Return the number of entries that are known to exist and are not folded."""
        return max(0, self.highest_seen - self.folded_offset)

    def raise_highest_seen(self, offset: int) -> None:
        """Raise `highest_seen` to `offset`, the offset of an entry known to exist."""
        self.highest_seen = max(self.highest_seen, offset)

    def on_page(self, page: Page) -> None:
        """Fold the entries of `page` that follow the state; start a reload after a gap."""
        self.raise_highest_seen(page.following - 1)
        if self._scan is None and page.oldest > self._next_offset:
            self._scan = _SnapshotScan(page.oldest)
            self.status = TailStatus.BOOTING
        for entry in page.entries:
            if self._scan is None:
                self._fold_next(entry)
            else:
                self._scan_entry(entry)
        self._update_status(page)

    def install_snapshot(self, state: FoldedState) -> bool:
        """Replace the state by the state of a snapshot, unless that is not newer.

        Parameters
        ----------
        state : FoldedState
            State decoded from a snapshot.

        Returns
        -------
        bool
            Whether the state was replaced.
        """
        if state.position <= self.state.position:
            return False
        self.state = state
        self._next_offset = offset_of(state.position) + 1
        self._relay_buffer.clear()
        self._relay_bytes = 0
        self._scan = None
        self.status = TailStatus.FOLLOWING
        return True

    def page_for_peer(self, offset: int, max_bytes: int) -> Page:
        """Return a page of buffered entries for a peer.

        Parameters
        ----------
        offset : int
            Offset of the first entry wanted; the page is empty if that entry is no
            longer buffered or not folded yet.
        max_bytes : int
            Limit of the total length of the entries' texts, counted in characters; a
            longer first entry is returned alone.
        """
        oldest = self._relay_buffer[0].offset if self._relay_buffer else self._next_offset
        selected: list[LogEntry] = []
        size = 0
        if offset >= oldest:
            for index in range(offset - oldest, len(self._relay_buffer)):
                entry = self._relay_buffer[index]
                size += len(entry.value)
                if selected and size > max_bytes:
                    break
                selected.append(entry)
        return Page(oldest, self._next_offset, tuple(selected))

    def _update_status(self, page: Page) -> None:
        """Set the status after a page: following, or truncated if the scan found no snapshot."""
        if self._scan is None:
            if page.oldest <= self._next_offset:
                self.status = TailStatus.FOLLOWING
        elif self._scan.next_offset >= page.following:
            self.status = TailStatus.TRUNCATED

    def _fold_next(self, entry: LogEntry) -> None:
        """Fold an entry if it is the next one; skip entries that are folded already."""
        if entry.offset != self._next_offset:
            return
        self._fold_entry(entry)
        self._buffer_for_relay(entry)

    def _fold_entry(self, entry: LogEntry) -> None:
        decoded = decode_entry(entry.value)
        if decoded.is_error():
            # All nodes decode alike and skip the same entries, so the states stay equal.
            self.malformed_entries += 1
        else:
            for index, record in enumerate(decoded.ok.records):
                self.state = apply_record(self.state, record, position_of(entry.offset, index))
                self.records_since_snapshot += 1
                if isinstance(record, SnapshotPart):
                    self.records_since_snapshot = 0
        self.state = replace(self.state, position=last_position(entry.offset))
        self._next_offset = entry.offset + 1

    def _buffer_for_relay(self, entry: LogEntry) -> None:
        self._relay_buffer.append(entry)
        self._relay_bytes += len(entry.value)
        while len(self._relay_buffer) > MAX_RELAY_ENTRIES or self._relay_bytes > MAX_RELAY_BYTES:
            self._relay_bytes -= len(self._relay_buffer.popleft().value)

    def _scan_entry(self, entry: LogEntry) -> None:
        """Read an entry in a reload; once a snapshot is complete, go on from it."""
        scan = self._scan
        assert scan is not None
        if entry.offset != scan.next_offset:
            return
        snapshot = scan.add(entry)
        if snapshot is None:
            return
        later_entries = scan.entries_after(offset_of(snapshot.position))
        if later_entries is None or not self.install_snapshot(snapshot):
            return
        for later_entry in later_entries:
            self._fold_next(later_entry)


class _SnapshotScan:
    """Search of the log, from its oldest entry on, for a complete snapshot.

    Parameters
    ----------
    oldest : int
        Offset of the oldest entry that the log still holds.
    """

    def __init__(self, oldest: int) -> None:
        self.next_offset = oldest
        self._oldest = oldest
        self._entries: list[LogEntry] = []
        self._assembler = SnapshotAssembler()

    def add(self, entry: LogEntry) -> FoldedState | None:
        """Read the next entry; return a state once all parts of its snapshot were read."""
        self._entries.append(entry)
        self.next_offset = entry.offset + 1
        decoded = decode_entry(entry.value)
        if decoded.is_error():
            return None
        for record in decoded.ok.records:
            if not isinstance(record, SnapshotPart):
                continue
            assembled = self._assembler.add(record)
            if assembled is not None and assembled.is_ok():
                return assembled.ok
        return None

    def entries_after(self, offset: int) -> list[LogEntry] | None:
        """Return the scanned entries after `offset`, None if some expired before the scan."""
        if offset + 1 < self._oldest:
            return None
        return self._entries[offset + 1 - self._oldest :]
