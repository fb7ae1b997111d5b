"""Requests to the platform's store and decoders of its answers.

The store has topics. A topic is an append-only log of records, split into partitions
of which this system uses partition 0 only. A keyed topic can also be read as the
newest record of each key. Lease groups distribute the partitions of a topic among
their members; the member that gets partition 0 of `PLANNER_LEASE_TOPIC` holds the
planner's lease.
"""

import base64
import struct
from typing import Any
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from briarpond.decoding import decode_json
from briarpond.ids import DataCentre

# Topics: the operator's configuration, the instance list and the registered nodes.
CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
# Prefix of the keys whose records evacuate a data centre; its name follows.
EVACUATION_KEY_PREFIX = "evacuate/"
INSTANCES_TOPIC = "keyed.servers"
NODES_TOPIC = "keyed.nodes"
# Lease group, and topic whose first partition stands for the planner's lease.
PLANNER_LEASE_TOPIC = "planner"
PLANNER_LEASE_GROUP = "planner"

# Largest answer to a read of a topic.
MAX_READ_BYTES = 1_048_576
# Header of an answer to a read: end of the partition, offset of the first record.
_READ_HEADER = struct.Struct(">QQ")
# Length before each record, in an append and in an answer to a read.
_RECORD_LENGTH = struct.Struct(">I")


class StoreRequest(msgspec.Struct, frozen=True):
    """An HTTP request to the store."""

    method: str
    target: str
    body: bytes = b""


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a keyed topic.

    Attributes
    ----------
    key : str
        Key that the record belongs to.
    value : bytes or None
        New value of the key; None removes the key.
    offset : int
        Position of the record in the partition.
    """

    key: str
    value: bytes | None
    offset: int


class NewestPage(msgspec.Struct, frozen=True):
    """A page of the list that has the newest record of each key.

    Attributes
    ----------
    entries : tuple of KeyedRecord
        Records of this page, one for each key.
    next_after : str or None
        Key after which the next page begins; None if this is the last page.
    end_offset : int
        Offset that the next record of the partition will get.
    """

    entries: tuple[KeyedRecord, ...]
    next_after: str | None
    end_offset: int


class RecordsPage(msgspec.Struct, frozen=True):
    """Consecutive records of a partition.

    Attributes
    ----------
    entries : tuple of KeyedRecord
        The records; empty if there were none within the time of the request.
    next_offset : int
        Offset from which to read on.
    end_offset : int
        Offset that the next record of the partition will get.
    """

    entries: tuple[KeyedRecord, ...]
    next_offset: int
    end_offset: int


class LeaseAnswer(msgspec.Struct, frozen=True):
    """State of the lease group after this member has joined or renewed.

    Attributes
    ----------
    generation : int
        Number that the store raises at each change of the group's members.
    holds_lease : bool
        Whether this member holds the planner's lease.
    partition_count : int
        Number of partitions that are assigned to this member.
    """

    generation: int
    holds_lease: bool
    partition_count: int


def newest_records_request(topic: str, after: str | None) -> StoreRequest:
    """Build the request for a page of the newest record of each key.

    Parameters
    ----------
    topic : str
        Keyed topic to read.
    after : str or None
        Last key of the page before; None for the first page.
    """
    query = {"topic": topic, "part": "0"}
    if after is not None:
        query["after"] = after
    return StoreRequest("GET", "/log-newest?" + urlencode(query))


def read_records_request(topic: str, offset: int, wait_s: float) -> StoreRequest:
    """Build the request for records from `offset` on.

    Parameters
    ----------
    topic : str
        Topic to read.
    offset : int
        Offset of the first record wanted.
    wait_s : float
        Longest time, in seconds, that the store waits if there is no record yet.
    """
    query = {"topic": topic, "part": 0, "from": offset, "maxSize": MAX_READ_BYTES}
    query["waitMs"] = int(wait_s * 1000)
    return StoreRequest("GET", "/log-read?" + urlencode(query))


def append_record_request(topic: str, key: str, value: bytes | None) -> StoreRequest:
    """Build the request to append a record to a keyed topic.

    A record is the length of its key in one byte, the key and the value. With `value`
    None the record removes the key.
    """
    key_bytes = key.encode()
    record = bytes([len(key_bytes)]) + key_bytes + (value or b"")
    query = urlencode({"topic": topic, "part": 0})
    return StoreRequest("POST", "/log-append?" + query, _RECORD_LENGTH.pack(len(record)) + record)


def evacuated_data_centre(key: str) -> DataCentre | None:
    """Return the data centre that a record of the operator evacuates; None for other keys.

    A record with a value evacuates it, and one without a value cancels the evacuation.
    """
    name = key.removeprefix(EVACUATION_KEY_PREFIX)
    return DataCentre(name) if name and name != key else None


def join_lease_request(member: str, ttl_s: float, generation: int) -> StoreRequest:
    """Build the request to join the planner's lease group or to renew the membership.

    Parameters
    ----------
    member : str
        Name of this node as a member of the group.
    ttl_s : float
        Seconds after which the store removes the member unless it renews.
    generation : int
        Last generation that this member has seen; 0 without one.
    """
    body = {
        "group": PLANNER_LEASE_GROUP,
        "member": member,
        "topics": [PLANNER_LEASE_TOPIC],
        "ttlMs": int(ttl_s * 1000),
        "generation": generation,
    }
    return StoreRequest("POST", "/log-join", msgspec.json.encode(body))


def leave_lease_request(member: str) -> StoreRequest:
    """Build the request to leave the planner's lease group."""
    body = {"group": PLANNER_LEASE_GROUP, "member": member}
    return StoreRequest("POST", "/log-leave", msgspec.json.encode(body))


class _NewestRecord(msgspec.Struct):
    """Newest record of a key; its value is in base64."""

    key: str
    value: str | None = None
    offset: int = 0


class _NewestAnswer(msgspec.Struct):
    # Records are decoded one by one, so that one that can't be read leaves the others.
    entries: list[msgspec.Raw]
    end: int
    hasMore: bool = False  # noqa: N815 - field name of the platform


class _LeaseGroupAnswer(msgspec.Struct):
    generation: int
    # Partitions assigned to this member; the second item is the partition's number.
    parts: list[tuple[str, int, int]] = []


_newest_decoder: Any = msgspec.json.Decoder(_NewestAnswer)
_record_decoder: Any = msgspec.json.Decoder(_NewestRecord)
_lease_decoder: Any = msgspec.json.Decoder(_LeaseGroupAnswer)


def decode_newest(body: bytes) -> Result[NewestPage, str]:
    """Decode a page of the newest record of each key; records that can't be read are left out."""
    decoded = decode_json(_newest_decoder, body)
    if decoded.is_error():
        return decoded
    page: _NewestAnswer = decoded.ok
    records = [decode_json(_record_decoder, row) for row in page.entries]
    entries = tuple(_to_keyed_record(record.ok) for record in records if record.is_ok())
    if page.hasMore and page.entries and not entries:
        return Error("no record of the page can be read, so the next page is not known")
    next_after = entries[-1].key if page.hasMore and entries else None
    return Ok(NewestPage(entries, next_after, page.end))


def decode_records(body: bytes, offset: int) -> Result[RecordsPage, str]:
    """Decode the answer to a read.

    Parameters
    ----------
    body : bytes
        Header and records in the binary format of the store.
    offset : int
        Offset that was asked for. If the store holds only newer records, the offset
        in the header is the later one and is used.

    Returns
    -------
    Result
        The records, or a message that the answer is truncated.
    """
    if len(body) < _READ_HEADER.size:
        return Error("answer to a read is shorter than its header")
    end, first_offset = _READ_HEADER.unpack_from(body)
    position = _READ_HEADER.size
    record_offset = max(offset, first_offset)
    entries = []
    while position + _RECORD_LENGTH.size <= len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        start = position + _RECORD_LENGTH.size
        position = start + length
        if position > len(body):
            return Error("last record in the answer to a read is truncated")
        entries.append(_decode_keyed_record(body[start:position], record_offset))
        record_offset += 1
    return Ok(RecordsPage(tuple(entries), record_offset, end))


def decode_lease(body: bytes) -> Result[LeaseAnswer, str]:
    """Decode the answer to joining the planner's lease group or to renewing."""
    decoded = decode_json(_lease_decoder, body)
    if decoded.is_error():
        return decoded
    answer: _LeaseGroupAnswer = decoded.ok
    holds = any(part == 0 for _, part, _ in answer.parts)
    return Ok(LeaseAnswer(answer.generation, holds, len(answer.parts)))


def _to_keyed_record(record: _NewestRecord) -> KeyedRecord:
    """Convert a record; a value that is no base64 is empty, which no decoder accepts."""
    try:
        value = None if record.value is None else base64.b64decode(record.value)
    except ValueError:
        value = b""
    return KeyedRecord(record.key, value, record.offset)


def _decode_keyed_record(record: bytes, offset: int) -> KeyedRecord:
    key_length = record[0] if record else 0
    key = record[1 : 1 + key_length].decode("utf-8", "replace")
    value = record[1 + key_length :]
    return KeyedRecord(key, value or None, offset)
