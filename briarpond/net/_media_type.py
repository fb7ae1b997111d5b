"""Media types of HTTP messages."""

from collections.abc import Iterable

from ._headers import find_header


def media_type(headers: Iterable[tuple[str, str]]) -> str:
    """Return the media type of a message in lower case, without parameters.

    Parameters
    ----------
    headers : iterable of tuple
        Names, in lower case, and values.

    Returns
    -------
    str
        Empty if the message states none.
    """
    content_type = find_header(headers, "content-type") or ""
    return content_type.split(";", 1)[0].strip().lower()
