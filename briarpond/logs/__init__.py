"""Structured log lines, and an output that never blocks the loop."""

from ._events import format_event, log_event, log_fatal_event, log_warning
from ._sink import LineSink, install_sink

__all__ = [
    "LineSink",
    "format_event",
    "install_sink",
    "log_event",
    "log_fatal_event",
    "log_warning",
]
