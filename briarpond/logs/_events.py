"""Log events, each formatted as one line of ``key=value`` pairs."""

import contextlib
import re
from collections.abc import Iterator

from absl import logging

# Values that are written without quotes.
_UNQUOTED = re.compile(r"^[A-Za-z0-9_.:/+-]+$")


_reserving = False


@contextlib.contextmanager
def reserved_lines() -> Iterator[None]:
    """Let the lines logged in a ``with`` block take the places reserved in the log's queue.

    They are the lines that are needed most if the process ends soon.
    """
    global _reserving
    before, _reserving = _reserving, True
    try:
        yield
    finally:
        _reserving = before


def is_reserving() -> bool:
    """Whether the lines that are logged now may take reserved places."""
    return _reserving


def log_event(event: str, **fields: object) -> None:
    """Log a normal event, at level INFO.

    Parameters
    ----------
    event : str
        Name of the event.
    **fields : object
        Keys and values of the event; the keys are part of the log format.
    """
    logging.info("%s", format_event(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Log an event that may need an operator's attention, at level WARNING."""
    logging.warning("%s", format_event(event, fields))


def log_fatal_event(event: str, **fields: object) -> None:
    """Log an event that ends the process, at level ERROR."""
    logging.error("%s", format_event(event, fields))


def format_event(event: str, fields: dict[str, object]) -> str:
    r"""Return the line ``event=NAME key=value ...``.

    Floats are written with six significant digits. A value with a character other than
    letters, digits and ``_.:/+-`` is put in double quotes, with ``\``, ``"`` and line feeds
    escaped.
    """
    pairs = [f"event={event}"]
    pairs += [f"{key}={_quote(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _quote(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if _UNQUOTED.match(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
