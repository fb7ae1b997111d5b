"""Whether a caller takes the bytes of its answers."""


class DeliveryWatch:
    """Remembers when a caller last took bytes, and until when some waited for it.

    Parameters
    ----------
    now : float
        Present time.

    Attributes
    ----------
    busy_at : float
        Last time at which bytes waited, or the begin.
    progress_at : float
        Last time at which nothing waited or their number had changed.
    """

    def __init__(self, now: float) -> None:
        self.busy_at = now
        self.progress_at = now
        self._unsent_bytes = 0

    def update(self, unsent_bytes: int, now: float) -> None:
        """Note how many bytes wait at present."""
        if unsent_bytes:
            self.busy_at = now
        if not unsent_bytes or unsent_bytes != self._unsent_bytes:
            self.progress_at = now
        self._unsent_bytes = unsent_bytes

    def stalled_s(self, now: float) -> float:
        """Return for how many seconds bytes have waited of which none was taken."""
        return now - self.progress_at if self._unsent_bytes else 0.0
