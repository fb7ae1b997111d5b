"""JSON codec for log entries, and the numbering of their records.

The log numbers entries by offset; a record is numbered by its *position*, which
is computed from the entry's offset and the record's index in the entry. Positions
rise strictly along the log.
"""

import msgspec
from expression import Error, Ok, Result

from briarpond.ids import Position

from ._exceptions import JournalProblem, JournalProblemCode
from ._models import EntryContent, Record

# Positions reserved for each entry, and so the most records in one. Part of the
# numbering of stored data: it must not change.
RECORDS_PER_ENTRY = 1024

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(EntryContent)


def encode_entry(records: tuple[Record, ...]) -> str:
    """Return the JSON text of an entry that holds `records`.

    Raises
    ------
    ValueError
        If there is no record, or more than one entry can number.
    """
    if not 0 < len(records) <= RECORDS_PER_ENTRY:
        raise ValueError(f"an entry holds 1 to {RECORDS_PER_ENTRY} records, got {len(records)}")
    return _encoder.encode(EntryContent(records)).decode()


def decode_entry(value: str) -> Result[EntryContent, JournalProblem]:
    """Return the content of an entry from its JSON text, or why the text is malformed."""
    try:
        entry = _decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return Error(JournalProblem(JournalProblemCode.MALFORMED, str(exc)))
    if len(entry.records) > RECORDS_PER_ENTRY:
        return Error(
            JournalProblem(
                JournalProblemCode.MALFORMED,
                f"entry holds {len(entry.records)} records, more than {RECORDS_PER_ENTRY}",
            )
        )
    return Ok(entry)


def position_of(offset: int, index: int) -> Position:
    """Return the position of record `index` in the entry at `offset`.

    All positions are above zero, so that zero can stand for "no record".
    """
    return Position((offset + 1) * RECORDS_PER_ENTRY + index)


def last_position(offset: int) -> Position:
    """Return the highest position reserved for the entry at `offset`."""
    return Position((offset + 2) * RECORDS_PER_ENTRY - 1)


def offset_of(position: Position) -> int:
    """Return the offset of the entry to which `position` belongs, -1 for position zero."""
    return position // RECORDS_PER_ENTRY - 1
