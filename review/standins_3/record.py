"""The record of a run, written to `record.txt` beside the script."""

import time


class Record:
    """Lines with the time since the start of the run.

    Parameters
    ----------
    path : Path
        File that is written.
    """

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def line(self, text):
        """Write a line, unless the run has ended."""
        if self._file.closed:
            return
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()
