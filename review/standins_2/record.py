"""Record of what was sent, answered and run, as lines with the time since the start."""

import time
from pathlib import Path


class Record:
    """Writes one line for each thing that happens.

    Parameters
    ----------
    path : Path
        File that is written anew.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def note(self, what: str, *words: object) -> None:
        """Write a line."""
        text = " ".join(str(word) for word in words)
        self._file.write(f"{self.now():9.3f} {what:<14} {text}\n")
        self._file.flush()
