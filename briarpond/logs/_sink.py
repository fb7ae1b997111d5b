"""Log handler with a bounded queue, whose writes do not block."""

import logging as std_logging
import os
import select
import time
from collections import deque
from collections.abc import Callable

import msgspec
from absl import logging

from ._events import format_event, is_reserving

# Lines that are queued at most; further lines are dropped.
MAX_QUEUED_LINES = 4_000
# Places of the queue that only warnings, errors and reserved lines may take.
RESERVED_LINES = 1_000
# Lines below level WARNING that are queued at most within a second; reserved lines, which have
# the same bound, are counted apart.
MAX_LINES_PER_S = 1_000
# Lines that are joined into one write.
LINES_PER_WRITE = 200
# Shortest time between two reports of dropped lines.
DROP_REPORT_INTERVAL_S = 1.0
# How long an exiting process waits for a reader that is slow. The node's last answers are sent by
# then, and the process must end before it is killed.
EXIT_WRITE_S = 0.1


class _Line(msgspec.Struct, frozen=True, gc=False):
    """A queued line.

    Attributes
    ----------
    text : bytes
        The line with its line feed.
    is_reserved : bool
        Whether ordinary lines may not displace it.
    """

    text: bytes
    is_reserved: bool


class NonBlockingLogHandler(std_logging.Handler):
    """Queues log lines until the event loop writes them; counts the lines that it drops.

    Lines are dropped if the queue or the limit per second is exceeded, or if the output
    fails. A line reports how many, once there is room for it.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output; it is made non-blocking.
    wall_time : callable
        Returns the wall-clock time in seconds.

    Attributes
    ----------
    dropped : int
        Number of lines dropped so far.
    writes_at_once : bool
        Whether each line is written when it is logged, as far as the output takes it, so that
        a process that is killed leaves what it has logged.
    """

    def __init__(self, descriptor: int, wall_time: Callable[[], float] = time.time) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._wall_time = wall_time
        self._lines: deque[_Line] = deque()
        self._unwritten = b""
        self._window_start = 0.0
        self._window_lines = 0
        self._window_reserved_lines = 0
        self._reported_dropped = 0
        self._reported_at = float("-inf")
        self._output_failed = False
        self.dropped = 0
        self.writes_at_once = False
        os.set_blocking(descriptor, False)

    def createLock(self) -> None:  # noqa: N802 - overrides a method of logging.Handler
        """Use no lock, since the process has only one thread."""
        self.lock = None

    def emit(self, record: std_logging.LogRecord) -> None:
        """Queue one record as a line with the time of the record, or drop it."""
        self._start_window_if_due(record.created)
        is_warning = record.levelno >= std_logging.WARNING
        is_reserved = is_reserving()
        if not self._has_room(is_warning, is_reserved):
            self.dropped += 1
            return
        text = f"ts={record.created:.3f} level={record.levelname.lower()} {record.getMessage()}\n"
        self._lines.append(_Line(text.encode(), is_warning or is_reserved))
        if self.writes_at_once:
            self.write_pending()

    def write_pending(self) -> None:
        """Write queued lines until the queue is empty or the output would block."""
        self._report_dropped_if_due()
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._take_batch()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                self._drop_all()
                return
            self._output_failed = False
            self._unwritten = self._unwritten[written:]

    def write_at_exit(self, wait_s: float = EXIT_WRITE_S) -> None:
        """Write queued lines before the process exits, the reserved ones first.

        Parameters
        ----------
        wait_s : float
            Longest wait in seconds for a reader that is slow.
        """
        deadline = time.monotonic() + wait_s
        self._lines = deque(sorted(self._lines, key=lambda line: not line.is_reserved))
        self._reported_at = float("-inf")
        self.write_pending()
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        while self._unwritten or self._lines:
            left_s = deadline - time.monotonic()
            if left_s <= 0.0 or not poll.poll(left_s * 1000):
                return
            self.write_pending()

    def _has_room(self, is_warning: bool, is_reserved: bool) -> bool:
        """Whether the bounds allow another line; a line below level WARNING is counted."""
        if is_warning:
            return len(self._lines) < MAX_QUEUED_LINES
        if is_reserved:
            self._window_reserved_lines += 1
            within_rate = self._window_reserved_lines <= MAX_LINES_PER_S
            return within_rate and len(self._lines) < MAX_QUEUED_LINES
        self._window_lines += 1
        within_rate = self._window_lines <= MAX_LINES_PER_S
        return within_rate and len(self._lines) < MAX_QUEUED_LINES - RESERVED_LINES

    def _take_batch(self) -> bytes:
        count = min(LINES_PER_WRITE, len(self._lines))
        return b"".join(self._lines.popleft().text for _ in range(count))

    def _drop_all(self) -> None:
        """Drop what is queued: the output is closed, and there is no other place to report it."""
        self.dropped += len(self._lines) + self._unwritten.count(b"\n")
        self._lines.clear()
        self._unwritten = b""
        self._output_failed = True

    def _report_dropped_if_due(self) -> None:
        """Queue a line that says how many lines were dropped since the last such line."""
        now = self._wall_time()
        if (
            self.dropped == self._reported_dropped
            or self._output_failed
            or abs(now - self._reported_at) < DROP_REPORT_INTERVAL_S
            or len(self._lines) >= MAX_QUEUED_LINES
        ):
            return
        count = self.dropped - self._reported_dropped
        event = format_event("log_lines_dropped", {"lines": count, "in_all": self.dropped})
        self._lines.append(_Line(f"ts={now:.3f} level=warning {event}\n".encode(), True))
        self._reported_dropped = self.dropped
        self._reported_at = now

    def _start_window_if_due(self, now: float) -> None:
        if abs(now - self._window_start) >= 1.0:
            self._window_start = now
            self._window_lines = 0
            self._window_reserved_lines = 0


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
