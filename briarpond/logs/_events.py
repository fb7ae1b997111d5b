"""Log lines: one event, one line of key=value pairs."""

import re

from absl import logging

_PLAIN = re.compile(r"^[A-Za-z0-9_.:/+-]+$")


def log_event(event: str, **fields: object) -> None:
    """Log an event at level INFO."""
    logging.info("%s", format_event(event, fields))


def log_warning(event: str, **fields: object) -> None:
    """Log an event that an operator should look at."""
    logging.warning("%s", format_event(event, fields))


def log_fatal_event(event: str, **fields: object) -> None:
    """Log an event that ends the process."""
    logging.error("%s", format_event(event, fields))


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return ``event=... key=value ...`` with values quoted where needed."""
    pairs = [f"event={event}"]
    pairs += [f"{key}={_quote(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _quote(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if _PLAIN.match(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
