"""Snapshots of the folded state, split into records of bounded size.

A node that starts, or that has fallen behind the oldest entry of the log, loads
the newest snapshot instead of folding the log from its beginning.
"""

import hashlib
import zlib

import msgspec
from expression import Error, Ok, Result
from immutables import Map

from briarpond.configuration import Configuration, Document
from briarpond.ids import Position, RecordId

from ._exceptions import JournalProblem, JournalProblemCode
from ._models import Claim, Group, Lease, Node, SnapshotPart, Verdict
from ._state import AuditEntry, FoldedState

# Data bytes in one snapshot part; base64 in the JSON entry makes them a third more.
PART_BYTES = 96 * 1024
# Limit when a snapshot is decompressed, so that damaged or hostile data cannot
# exhaust the memory.
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024


class _StoredState(msgspec.Struct, frozen=True):
    """Stored form of a `FoldedState`: maps with running numbers are stored as lists.

    Fields are stored under their names. `member_of` is left out, because it
    follows from `groups`.
    """

    position: int
    config_version: int
    document: msgspec.Raw
    groups: dict[str, Group]
    changed_at: dict[str, int]
    changed_floor: int
    nodes: dict[str, Node]
    leases: dict[str, Lease]
    claims: list[tuple[str, Claim]]
    verdicts: list[tuple[str, Verdict]]
    audit: list[AuditEntry]
    claim_next: int
    verdict_next: int
    audit_next: int


_stored_decoder = msgspec.msgpack.Decoder(_StoredState)


def encode_snapshot(state: FoldedState) -> bytes:
    """Return a whole state as zlib-compressed MessagePack."""
    stored = _StoredState(
        state.position,
        state.config.version,
        msgspec.Raw(msgspec.msgpack.encode(state.config.document.model_dump(mode="json"))),
        dict(state.groups),
        dict(state.changed_at),
        state.changed_floor,
        dict(state.nodes),
        dict(state.leases),
        [(key, state.claims[key]) for _, key in sorted(state.claim_order.items())],
        [(key, state.verdicts[key]) for _, key in sorted(state.verdict_order.items())],
        [entry for _, entry in sorted(state.audit.items())],
        state.claim_next,
        state.verdict_next,
        state.audit_next,
    )
    return zlib.compress(msgspec.msgpack.encode(stored), 6)


def decode_snapshot(data: bytes) -> Result[FoldedState, JournalProblem]:
    """Return the state that `encode_snapshot` encoded, or why the data is damaged."""
    try:
        decompressor = zlib.decompressobj()
        decompressed = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
        stored = _stored_decoder.decode(decompressed)
        document = Document.model_validate(msgspec.msgpack.decode(stored.document))
    except (zlib.error, ValueError) as exc:
        return Error(JournalProblem(JournalProblemCode.SNAPSHOT_DAMAGED, str(exc)))
    return Ok(_rebuild(stored, document))


def _rebuild(stored: _StoredState, document: Document) -> FoldedState:
    member_of = {
        member.instance: group.id for group in stored.groups.values() for member in group.members
    }
    return FoldedState(
        position=Position(stored.position),
        config=Configuration(stored.config_version, document),
        groups=Map(stored.groups),
        member_of=Map(member_of),
        changed_at=Map(stored.changed_at),
        changed_floor=Position(stored.changed_floor),
        nodes=Map(stored.nodes),
        leases=Map(stored.leases),
        claims=Map(stored.claims),
        claim_order=_number_in_order([key for key, _ in stored.claims], stored.claim_next),
        claim_next=stored.claim_next,
        verdicts=Map(stored.verdicts),
        verdict_order=_number_in_order([key for key, _ in stored.verdicts], stored.verdict_next),
        verdict_next=stored.verdict_next,
        audit=_number_in_order(stored.audit, stored.audit_next),
        audit_next=stored.audit_next,
    )


def _number_in_order(values: list, next_number: int) -> Map:
    """Return a map of running numbers to `values`; the last gets ``next_number - 1``."""
    return Map(enumerate(values, next_number - len(values)))


def split_snapshot(state: FoldedState, name: str) -> list[SnapshotPart]:
    """Return the snapshot of `state` as records of at most `PART_BYTES` data bytes.

    Parameters
    ----------
    state : FoldedState
        State to encode.
    name : str
        Unique name of the snapshot; the records' ids are derived from it.
    """
    data = encode_snapshot(state)
    digest = hashlib.sha256(data).hexdigest()
    chunks = [data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)]
    return [
        SnapshotPart(
            RecordId(f"{name}.{index}"),
            name,
            state.position,
            index,
            len(chunks),
            digest,
            chunk,
        )
        for index, chunk in enumerate(chunks)
    ]


class SnapshotAssembler:
    """Collects the parts of snapshots until all parts of one have been read."""

    def __init__(self) -> None:
        self._parts: dict[str, dict[int, SnapshotPart]] = {}

    def add(self, part: SnapshotPart) -> Result[FoldedState, JournalProblem] | None:
        """Add a part; return the decoded state if it was the last one missing, else None."""
        parts = self._parts.setdefault(part.snapshot, {})
        parts[part.index] = part
        if len(parts) < part.count:
            return None
        del self._parts[part.snapshot]
        return _join_parts(parts)


def _join_parts(parts: dict[int, SnapshotPart]) -> Result[FoldedState, JournalProblem]:
    """Return the state of a snapshot from all its parts, numbered from 0."""
    try:
        data = b"".join(parts[index].data for index in range(len(parts)))
    except KeyError:
        return Error(
            JournalProblem(
                JournalProblemCode.SNAPSHOT_DAMAGED,
                "snapshot parts are not numbered from 0 without gaps",
            )
        )
    if hashlib.sha256(data).hexdigest() != parts[0].digest:
        return Error(
            JournalProblem(
                JournalProblemCode.SNAPSHOT_DAMAGED,
                "SHA-256 of the joined snapshot parts differs from their digest",
            )
        )
    return decode_snapshot(data)
