"""Whole events of a stream, and the id of the last one."""

_END = b"\n\n"
_ID = b"id:"


class EventSplitter:
    """Cuts a byte stream into whole events.

    Attributes
    ----------
    last_id : bytes or None
        Id of the last whole event.
    """

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self._rest = b""

    @property
    def partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Take bytes; return those of whole events."""
        data = self._rest + data
        end = data.rfind(_END)
        if end < 0:
            self._rest = data
            return b""
        whole, self._rest = data[: end + len(_END)], data[end + len(_END) :]
        self._note_id(whole)
        return whole

    def restart(self) -> None:
        """Drop the beginning of an event whose run has ended."""
        self._rest = b""

    def _note_id(self, whole: bytes) -> None:
        start = whole.rfind(b"\n" + _ID)
        if start < 0 and not whole.startswith(_ID):
            return
        line = whole[start + 1 :].split(b"\n", 1)[0]
        self.last_id = line[len(_ID) :].strip()
