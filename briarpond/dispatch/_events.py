"""Splits a server-sent event stream into complete events and keeps the id of the last one.

With that id, an interrupted stream is resumed at another backend server.
"""

_EVENT_TERMINATOR = b"\n\n"
_ID_FIELD = b"id:"


class ResumableEventSplitter:
    """Holds back the bytes of an incomplete event until the event is complete.

    Attributes
    ----------
    last_event_id : bytes or None
        Value of the last ``id:`` field in the complete events; None before the first one.
    """

    def __init__(self) -> None:
        self.last_event_id: bytes | None = None
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are held back."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the bytes of the events that are now complete."""
        data = self._buffer + data
        end = data.rfind(_EVENT_TERMINATOR)
        if end < 0:
            self._buffer = data
            return b""
        complete, self._buffer = (
            data[: end + len(_EVENT_TERMINATOR)],
            data[end + len(_EVENT_TERMINATOR) :],
        )
        self._update_last_id(complete)
        return complete

    def discard_partial_event(self) -> None:
        """Discard an incomplete event, because the send that it came from has ended."""
        self._buffer = b""

    def _update_last_id(self, complete: bytes) -> None:
        start = complete.rfind(b"\n" + _ID_FIELD)
        if start < 0 and not complete.startswith(_ID_FIELD):
            return
        line = complete[start + 1 :].split(b"\n", 1)[0]
        self.last_event_id = line[len(_ID_FIELD) :].strip()
