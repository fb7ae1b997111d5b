"""Calls to the platform's store, and what it answers."""

import base64
import struct
from typing import Any
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
INSTANCES_TOPIC = "keyed.servers"
NODES_TOPIC = "keyed.nodes"
PLANNER_TOPIC = "planner"
PLANNER_GROUP = "planner"

READ_BYTES = 1_048_576
_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class StoreCall(msgspec.Struct, frozen=True):
    """One HTTP call to the store."""

    method: str
    target: str
    body: bytes = b""


class Entry(msgspec.Struct, frozen=True):
    """A record of a keyed topic; without a value the key is dropped."""

    key: str
    value: bytes | None
    offset: int


class NewestPage(msgspec.Struct, frozen=True):
    """A page of the newest record of each key."""

    entries: tuple[Entry, ...]
    more_after: str | None
    end: int


class Records(msgspec.Struct, frozen=True):
    """Records read from an offset on; `end` follows the newest of the partition."""

    entries: tuple[Entry, ...]
    next_offset: int
    end: int


class LeaseAnswer(msgspec.Struct, frozen=True):
    """The state of a lease group: its term, and whether this member plans."""

    term: int
    holds: bool
    parts: int


def read_newest(topic: str, after: str | None) -> StoreCall:
    """Ask for the newest record of each key."""
    query = {"topic": topic, "part": "0"}
    if after is not None:
        query["after"] = after
    return StoreCall("GET", "/log-newest?" + urlencode(query))


def read_records(topic: str, offset: int, wait_s: float) -> StoreCall:
    """Ask for records from `offset` on, waiting up to `wait_s` for the first."""
    query = {"topic": topic, "part": 0, "from": offset, "maxSize": READ_BYTES}
    query["waitMs"] = int(wait_s * 1000)
    return StoreCall("GET", "/log-read?" + urlencode(query))


def append_entry(topic: str, key: str, value: bytes | None) -> StoreCall:
    """Append a record of a keyed topic."""
    name = key.encode()
    record = bytes([len(name)]) + name + (value or b"")
    query = urlencode({"topic": topic, "part": 0})
    return StoreCall("POST", "/log-append?" + query, _LENGTH.pack(len(record)) + record)


def join_lease(member: str, ttl_s: float, term: int) -> StoreCall:
    """Join the group whose first partition is the planner's lease, or stay in it."""
    body = {
        "group": PLANNER_GROUP,
        "member": member,
        "topics": [PLANNER_TOPIC],
        "ttlMs": int(ttl_s * 1000),
        "generation": term,
    }
    return StoreCall("POST", "/log-join", msgspec.json.encode(body))


def leave_lease(member: str) -> StoreCall:
    """Give the lease up."""
    body = {"group": PLANNER_GROUP, "member": member}
    return StoreCall("POST", "/log-leave", msgspec.json.encode(body))


class _NewestRow(msgspec.Struct):
    key: str
    value: str | None = None
    offset: int = 0


class _Newest(msgspec.Struct):
    entries: list[_NewestRow]
    end: int
    hasMore: bool = False  # noqa: N815 - a name of the platform


class _Lease(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]] = []


_newest: Any = msgspec.json.Decoder(_Newest)
_lease: Any = msgspec.json.Decoder(_Lease)


def decode_newest(body: bytes) -> Result[NewestPage, str]:
    """Translate a page of newest records."""
    try:
        page = _newest.decode(body)
        entries = tuple(Entry(row.key, _value(row.value), row.offset) for row in page.entries)
    except (msgspec.MsgspecError, ValueError) as exc:
        return Error(str(exc))
    more = page.entries[-1].key if page.hasMore and page.entries else None
    return Ok(NewestPage(entries, more, page.end))


def decode_records(body: bytes, offset: int) -> Result[Records, str]:
    """Translate records that were read from `offset` on."""
    if len(body) < _HEAD.size:
        return Error("short answer")
    end, first = _HEAD.unpack_from(body)
    place = _HEAD.size
    following = max(offset, first)
    entries = []
    while place + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, place)
        start = place + _LENGTH.size
        place = start + length
        if place > len(body):
            return Error("record cut short")
        entries.append(_entry(body[start:place], following))
        following += 1
    return Ok(Records(tuple(entries), following, end))


def decode_lease(body: bytes) -> Result[LeaseAnswer, str]:
    """Translate the answer to joining a lease group."""
    try:
        answer = _lease.decode(body)
    except msgspec.MsgspecError as exc:
        return Error(str(exc))
    holds = any(part == 0 for _, part, _ in answer.parts)
    return Ok(LeaseAnswer(answer.generation, holds, len(answer.parts)))


def _value(text: str | None) -> bytes | None:
    return None if text is None else base64.b64decode(text)


def _entry(record: bytes, offset: int) -> Entry:
    size = record[0] if record else 0
    key = record[1 : 1 + size].decode("utf-8", "replace")
    value = record[1 + size :]
    return Entry(key, value or None, offset)
