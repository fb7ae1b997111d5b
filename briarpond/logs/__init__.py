"""Structured log lines, written without blocking the event loop."""

from ._events import format_event, log_event, log_fatal_event, log_warning, reserved_lines
from ._sink import EXIT_WRITE_S, NonBlockingLogHandler, install_log_handler

__all__ = [
    "EXIT_WRITE_S",
    "NonBlockingLogHandler",
    "format_event",
    "install_log_handler",
    "log_event",
    "log_fatal_event",
    "log_warning",
    "reserved_lines",
]
