"""JSON codec for log entries."""

import msgspec
from expression import Error, Ok, Result

from briarpond.ids import Position

from ._exceptions import JournalProblem, JournalProblemCode
from ._models import Entry, Record

RECORDS_PER_ENTRY = 1024

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Entry)


def encode_entry(records: tuple[Record, ...]) -> str:
    """Return the JSON text of an entry with `records`.

    Raises
    ------
    ValueError
        If there are more records than one entry can number.
    """
    if not 0 < len(records) <= RECORDS_PER_ENTRY:
        raise ValueError("an entry carries 1 to 1024 records")
    return _encoder.encode(Entry(records)).decode()


def decode_entry(value: str) -> Result[Entry, JournalProblem]:
    """Parse the JSON text of an entry."""
    try:
        entry = _decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return Error(JournalProblem(JournalProblemCode.MALFORMED, str(exc)))
    if len(entry.records) > RECORDS_PER_ENTRY:
        return Error(JournalProblem(JournalProblemCode.MALFORMED, "too many records"))
    return Ok(entry)


def position_of(offset: int, index: int) -> Position:
    """Return the position of record `index` in the entry at `offset`.

    Positions start above zero, so that zero can stand for "never".
    """
    return Position((offset + 1) * RECORDS_PER_ENTRY + index)


def last_position(offset: int) -> Position:
    """Return the highest position that the entry at `offset` can hold."""
    return Position((offset + 2) * RECORDS_PER_ENTRY - 1)


def offset_of(position: Position) -> int:
    """Return the offset of the entry that holds `position`, -1 for position zero."""
    return position // RECORDS_PER_ENTRY - 1
