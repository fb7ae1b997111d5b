"""Log lines on standard output, bounded and without ever blocking."""

import contextlib
import logging as std_logging
import os
from collections import deque

from absl import logging

MAX_LINES_HELD = 4_000
MAX_LINES_PER_S = 1_000
WRITE_LINES = 200


class LineSink(std_logging.Handler):
    """Keeps lines until the loop writes them; drops and counts what is too much.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._window_began = 0.0
        self._window_lines = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def createLock(self) -> None:  # noqa: N802 - the name is the library's
        """Do without a lock: the process has one thread."""
        self.lock = None

    def emit(self, record: std_logging.LogRecord) -> None:
        """Take one line; its time is the record's own."""
        self._roll_window(record.created)
        important = record.levelno >= std_logging.WARNING
        if len(self._lines) >= MAX_LINES_HELD:
            self.dropped += 1
            return
        if self._window_lines >= MAX_LINES_PER_S and not important:
            self.dropped += 1
            return
        self._window_lines += 1
        line = f"ts={record.created:.3f} level={record.levelname.lower()} {record.getMessage()}\n"
        self._lines.append(line.encode())

    def write_some(self) -> None:
        """Write what the output takes now."""
        while self._rest or self._lines:
            if not self._rest:
                count = min(WRITE_LINES, len(self._lines))
                self._rest = b"".join(self._lines.popleft() for _ in range(count))
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more; there is no other place to say so.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def write_rest(self) -> None:
        """Write at the end of the process, still without waiting."""
        with contextlib.suppress(OSError):
            self.write_some()

    def _roll_window(self, now: float) -> None:
        if abs(now - self._window_began) >= 1.0:
            self._window_began = now
            self._window_lines = 0


def install_sink(descriptor: int) -> LineSink:
    """Send the process's log lines to `descriptor` through a new sink."""
    sink = LineSink(descriptor)
    root = std_logging.getLogger()
    root.handlers[:] = [sink]
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers[:] = []
    absl_logger.propagate = True
    logging.set_verbosity(logging.INFO)
    return sink
