"""Splits a server-sent event stream into complete events and keeps the id of the last one.

With that id, an interrupted stream is resumed at another backend server.
"""

_EVENT_TERMINATOR = b"\n\n"
_ID_FIELD = b"id:"


def has_fields(events: bytes) -> bool:
    """Whether complete events contain any field; comments and empty lines are none."""
    return any(line and not line.startswith(b":") for line in events.split(b"\n"))


class ResumableEventSplitter:
    """Holds back the bytes of an incomplete event until the event is complete.

    Attributes
    ----------
    last_event_id : bytes or None
        Value of the last ``id:`` field in the complete events; None before the first one.
    """

    def __init__(self) -> None:
        self.last_event_id: bytes | None = None
        self._buffer = bytearray()

    @property
    def partial_size(self) -> int:
        """Number of bytes of an incomplete event that are held back."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are held back."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the bytes of the events that are now complete."""
        # The terminator may begin with the last byte that was held back.
        search_from = max(0, len(self._buffer) - len(_EVENT_TERMINATOR) + 1)
        self._buffer += data
        end = self._buffer.rfind(_EVENT_TERMINATOR, search_from)
        if end < 0:
            return b""
        complete = bytes(self._buffer[: end + len(_EVENT_TERMINATOR)])
        del self._buffer[: end + len(_EVENT_TERMINATOR)]
        self._update_last_id(complete)
        return complete

    def discard_partial_event(self) -> None:
        """Discard an incomplete event, because the send that it came from has ended."""
        self._buffer.clear()

    def _update_last_id(self, complete: bytes) -> None:
        start = complete.rfind(b"\n" + _ID_FIELD)
        if start < 0 and not complete.startswith(_ID_FIELD):
            return
        line = complete[start + 1 :].split(b"\n", 1)[0]
        self.last_event_id = line[len(_ID_FIELD) :].strip()
