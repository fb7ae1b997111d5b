"""Idempotency keys that this node owns, and what became of each request."""

from collections import OrderedDict
from enum import Enum

import msgspec
import xxhash

from briarpond.ids import AccountId, RequestKey

KEPT_ENTRIES = 20_000
KEPT_BYTES = 32 * 1024 * 1024


class KeyState(Enum):
    """What this node knows of the request with a key."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class KeyEntry(msgspec.Struct, frozen=True):
    """One key; `body` is None when the answer is no longer kept."""

    state: KeyState
    digest: str
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


def key_digest(account: AccountId, method: str, target: str, body: bytes) -> str:
    """Return a digest by which a reuse of a key for another request is noticed."""
    hasher = xxhash.xxh3_128()
    for part in (account.encode(), method.encode(), target.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()


class KeyLedger:
    """Memory of the keys claimed by this incarnation of the node.

    Entries are dropped oldest first; the claim in the folded state outlives
    them, so a dropped key is answered as unknown and never run again.
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[RequestKey, KeyEntry] = OrderedDict()
        self._bytes = 0

    def get(self, key: RequestKey) -> KeyEntry | None:
        """Return what is known of `key`."""
        return self._entries.get(key)

    def put(self, key: RequestKey, entry: KeyEntry) -> None:
        """Store the newest knowledge of `key`."""
        previous = self._entries.pop(key, None)
        self._bytes += _size(entry) - (_size(previous) if previous else 0)
        self._entries[key] = entry
        self._shrink()

    def forget(self, key: RequestKey) -> None:
        """Drop a key that turned out to belong to another node."""
        entry = self._entries.pop(key, None)
        self._bytes -= _size(entry) if entry is not None else 0

    def _shrink(self) -> None:
        while len(self._entries) > KEPT_ENTRIES:
            oldest = next(iter(self._entries))
            self._bytes -= _size(self._entries.pop(oldest))
        if self._bytes <= KEPT_BYTES:
            return
        for key, entry in list(self._entries.items()):
            if self._bytes <= KEPT_BYTES:
                return
            if entry.body is not None:
                self._bytes -= len(entry.body)
                self._entries[key] = msgspec.structs.replace(entry, body=None)


def _size(entry: KeyEntry) -> int:
    return len(entry.body) if entry.body is not None else 0
