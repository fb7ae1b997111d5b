"""Idempotency keys that this node owns, and the state of the request of each."""

from collections import OrderedDict
from enum import Enum

import msgspec
import xxhash

from briarpond.ids import AccountId, RequestKey

# Keys kept at most.
MAX_ENTRIES = 20_000
# Bytes of answers kept at most, over all keys.
MAX_BODY_BYTES = 32 * 1024 * 1024


class KeyState(Enum):
    """State of the request of an idempotency key.

    Attributes
    ----------
    RUNNING
        The request has not ended.
    ANSWERED
        The request has a complete answer.
    NOT_RUN
        The request ended and no backend server has run it.
    UNKNOWN
        The request ended without a complete answer and may have run.
    """

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class KeyEntry(msgspec.Struct, frozen=True):
    """What is kept of an idempotency key.

    Attributes
    ----------
    state : KeyState
        State of the request.
    digest : str
        Digest of the request, by which a reuse of the key for another one is detected.
    status : int
        HTTP status of the answer; 0 without an answer.
    content_type : str
        Content type of the answer.
    body : bytes or None
        Body of the answer; None without an answer or if it is no longer kept.
    """

    state: KeyState
    digest: str
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


def request_digest(account: AccountId, method: str, target: str, body: bytes) -> str:
    """Return the digest of a request.

    A second request with the same idempotency key and another digest is a reuse of the key.

    Parameters
    ----------
    account : AccountId
        Account of the caller.
    method : str
        HTTP method.
    target : str
        Path and query.
    body : bytes
        Body of the request.
    """
    hasher = xxhash.xxh3_128()
    for part in (account.encode(), method.encode(), target.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.hexdigest()


class IdempotencyKeyTable:
    """Idempotency keys that this incarnation of the node has claimed.

    Entries are kept in memory and evicted oldest first. The claim in the folded log outlives
    them, so that a request with an evicted key is answered as unknown and never run again.
    """

    def __init__(self) -> None:
        self._entries: OrderedDict[RequestKey, KeyEntry] = OrderedDict()
        self._body_bytes = 0

    def get(self, key: RequestKey) -> KeyEntry | None:
        """Return the entry of `key`, or None if there is none."""
        return self._entries.get(key)

    def put(self, key: RequestKey, entry: KeyEntry) -> None:
        """Set the entry of `key` and make it the newest one."""
        previous = self._entries.pop(key, None)
        self._body_bytes += _body_size(entry) - (_body_size(previous) if previous else 0)
        self._entries[key] = entry
        self._evict()

    def remove(self, key: RequestKey) -> None:
        """Drop a key for which another node's claim came first."""
        entry = self._entries.pop(key, None)
        self._body_bytes -= _body_size(entry) if entry is not None else 0

    def _evict(self) -> None:
        """Evict entries over the maximum number, then bodies over the maximum size."""
        while len(self._entries) > MAX_ENTRIES:
            oldest = next(iter(self._entries))
            self._body_bytes -= _body_size(self._entries.pop(oldest))
        if self._body_bytes <= MAX_BODY_BYTES:
            return
        for key, entry in list(self._entries.items()):
            if self._body_bytes <= MAX_BODY_BYTES:
                return
            if entry.body is not None:
                self._body_bytes -= len(entry.body)
                self._entries[key] = msgspec.structs.replace(entry, body=None)


def _body_size(entry: KeyEntry) -> int:
    return len(entry.body) if entry.body is not None else 0
