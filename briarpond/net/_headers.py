"""Header names and values: text in the process, bytes on the wire.

HTTP allows bytes outside ASCII in values (``obs-text``, RFC 9110, section 5.5). They are
decoded as Latin-1, which maps each byte to one character, so that they pass unchanged.
"""

from collections.abc import Iterable

# Names and values; names of received headers are in lower case.
Headers = tuple[tuple[str, str], ...]

_MAX_DIGITS = 18


def decode_headers(pairs: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return received headers as text."""
    return tuple((name.decode("ascii"), value.decode("latin-1")) for name, value in pairs)


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes.

    Raises
    ------
    UnicodeEncodeError
        If a name is not ASCII, or a value has a character that is no byte of Latin-1.
    """
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


def find_header(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the first value of the header `name` (in lower case), or None."""
    return next((value for each, value in headers if each == name), None)


def parse_count(text: str | None, largest: int) -> int | None:
    """Return a non-negative decimal number, or None if the text is none.

    Parameters
    ----------
    text : str or None
        Value of a header, or part of one.
    largest : int
        Returned for any larger number.
    """
    if text is None or not (text.isascii() and text.isdigit()):
        return None
    # Long texts are not converted: the interpreter refuses thousands of digits.
    return min(int(text), largest) if len(text) <= _MAX_DIGITS else largest
