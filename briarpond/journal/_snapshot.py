"""Snapshots of the folded state, cut into records that fit the log."""

import hashlib
import zlib

import msgspec
from expression import Error, Ok, Result
from immutables import Map

from briarpond.configuration import Configuration, Document
from briarpond.ids import Position, RecordId

from ._exceptions import JournalProblem, JournalProblemCode
from ._models import Claim, Group, Lease, Node, SnapshotPart, Verdict
from ._state import AuditEntry, State

PART_BYTES = 96 * 1024
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024


class _StoredState(msgspec.Struct, frozen=True):
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


def encode_snapshot(state: State) -> bytes:
    """Return the compressed bytes of a whole state."""
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


def decode_snapshot(data: bytes) -> Result[State, JournalProblem]:
    """Rebuild a state from the bytes of `encode_snapshot`."""
    try:
        inflater = zlib.decompressobj()
        plain = inflater.decompress(data, MAX_SNAPSHOT_BYTES)
        stored = _stored_decoder.decode(plain)
        document = Document.model_validate(msgspec.msgpack.decode(stored.document))
    except (zlib.error, ValueError) as exc:
        return Error(JournalProblem(JournalProblemCode.SNAPSHOT_DAMAGED, str(exc)))
    return Ok(_rebuild(stored, document))


def _rebuild(stored: _StoredState, document: Document) -> State:
    member_of = {
        member.instance: group.id for group in stored.groups.values() for member in group.members
    }
    return State(
        position=Position(stored.position),
        config=Configuration(stored.config_version, document),
        groups=Map(stored.groups),
        member_of=Map(member_of),
        changed_at=Map(stored.changed_at),
        changed_floor=Position(stored.changed_floor),
        nodes=Map(stored.nodes),
        leases=Map(stored.leases),
        claims=Map(stored.claims),
        claim_order=_numbered([key for key, _ in stored.claims], stored.claim_next),
        claim_next=stored.claim_next,
        verdicts=Map(stored.verdicts),
        verdict_order=_numbered([key for key, _ in stored.verdicts], stored.verdict_next),
        verdict_next=stored.verdict_next,
        audit=_numbered(stored.audit, stored.audit_next),
        audit_next=stored.audit_next,
    )


def _numbered(values: list, following: int) -> Map:
    return Map(enumerate(values, following - len(values)))


def split_snapshot(state: State, name: str) -> list[SnapshotPart]:
    """Cut the snapshot of `state` into records, each under the log's entry size."""
    data = encode_snapshot(state)
    digest = hashlib.sha256(data).hexdigest()
    pieces = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    return [
        SnapshotPart(
            RecordId(f"{name}.{index}"),
            name,
            state.position,
            index,
            len(pieces),
            digest,
            piece,
        )
        for index, piece in enumerate(pieces)
    ]


class SnapshotAssembler:
    """Collects snapshot parts until one snapshot is whole."""

    def __init__(self) -> None:
        self._parts: dict[str, dict[int, SnapshotPart]] = {}

    def add(self, part: SnapshotPart) -> Result[State, JournalProblem] | None:
        """Add a part; return the state once its snapshot is whole."""
        parts = self._parts.setdefault(part.snapshot, {})
        parts[part.index] = part
        if len(parts) < part.count:
            return None
        del self._parts[part.snapshot]
        return _join_parts(parts)


def _join_parts(parts: dict[int, SnapshotPart]) -> Result[State, JournalProblem]:
    try:
        data = b"".join(parts[index].data for index in range(len(parts)))
    except KeyError:
        return Error(JournalProblem(JournalProblemCode.SNAPSHOT_DAMAGED, "parts do not fit"))
    if hashlib.sha256(data).hexdigest() != parts[0].digest:
        return Error(JournalProblem(JournalProblemCode.SNAPSHOT_DAMAGED, "digest differs"))
    return decode_snapshot(data)
