"""Log handler with a bounded queue, whose writes do not block."""

import contextlib
import logging as std_logging
import os
from collections import deque

from absl import logging

# Lines that are queued at most; further lines are dropped.
MAX_QUEUED_LINES = 4_000
# Once this many lines were queued within a second, lines below level WARNING are dropped.
MAX_LINES_PER_S = 1_000
# Lines that are joined into one write.
LINES_PER_WRITE = 200


class NonBlockingLogHandler(std_logging.Handler):
    """Queues log lines until the event loop writes them; counts the lines that it drops.

    Lines are dropped if the queue or the limit per second is exceeded, or if the output
    fails.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output; it is made non-blocking.

    Attributes
    ----------
    dropped : int
        Number of lines dropped so far.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._window_start = 0.0
        self._window_lines = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def createLock(self) -> None:  # noqa: N802 - overrides a method of logging.Handler
        """Use no lock, since the process has only one thread."""
        self.lock = None

    def emit(self, record: std_logging.LogRecord) -> None:
        """Queue one record as a line with the time of the record, or drop it."""
        self._start_window_if_due(record.created)
        important = record.levelno >= std_logging.WARNING
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        if self._window_lines >= MAX_LINES_PER_S and not important:
            self.dropped += 1
            return
        self._window_lines += 1
        line = f"ts={record.created:.3f} level={record.levelname.lower()} {record.getMessage()}\n"
        self._lines.append(line.encode())

    def write_pending(self) -> None:
        """Write queued lines until the queue is empty or the output would block."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                count = min(LINES_PER_WRITE, len(self._lines))
                self._unwritten = b"".join(self._lines.popleft() for _ in range(count))
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed. There is no other place to report it, so the lines
                # are dropped.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def write_at_exit(self) -> None:
        """Write queued lines before the process exits; like `write_pending`, without waiting."""
        with contextlib.suppress(OSError):
            self.write_pending()

    def _start_window_if_due(self, now: float) -> None:
        if abs(now - self._window_start) >= 1.0:
            self._window_start = now
            self._window_lines = 0


def install_log_handler(descriptor: int) -> NonBlockingLogHandler:
    """Make a new handler on `descriptor` the only log handler of the process, at level INFO."""
    handler = NonBlockingLogHandler(descriptor)
    root = std_logging.getLogger()
    root.handlers[:] = [handler]
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers[:] = []
    absl_logger.propagate = True
    logging.set_verbosity(logging.INFO)
    return handler
