"""Decoding of JSON that another party wrote, with errors as values."""

import re
from typing import Any

import msgspec
from expression import Error, Ok, Result

# What msgspec raises for bytes that are no message of the wanted type: besides its own errors,
# those of deep nesting and of numbers that no type takes.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)

# Ids that can be sent as the value of a header.
_VISIBLE_ASCII = re.compile(r"[\x21-\x7e]{1,255}")


def decode_json(decoder: Any, body: bytes | msgspec.Raw) -> Result[Any, str]:
    """Decode a message; the error describes what cannot be read.

    Parameters
    ----------
    decoder : msgspec.json.Decoder
        Decoder of the wanted type.
    body : bytes
        The message as received.
    """
    try:
        return Ok(decoder.decode(body))
    except DECODE_ERRORS as exc:
        return Error(str(exc))


def is_visible_ascii(text: str) -> bool:
    """Whether a text is 1 to 255 visible ASCII characters, so that a header can carry it."""
    return _VISIBLE_ASCII.fullmatch(text) is not None
