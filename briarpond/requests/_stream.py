"""Splits a server-sent event stream into complete events."""

# Beginning of the event that ends a complete stream.
DONE_EVENT = b"data: [DONE]"
# Size of an incomplete event beyond which the stream is not read any further.
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_TERMINATOR = b"\n\n"


class EventSplitter:
    """Holds back the bytes of an incomplete event until the event is complete.

    Attributes
    ----------
    done_received : bool
        Whether the event that ends the stream has come.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self.done_received = False

    @property
    def oversized(self) -> bool:
        """Whether the incomplete event is larger than `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the events that are now complete, with their terminator."""
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        parts = (self._buffer + data).split(_EVENT_TERMINATOR)
        self._buffer = parts.pop()
        if any(part.startswith(DONE_EVENT) for part in parts):
            self.done_received = True
        return [part + _EVENT_TERMINATOR for part in parts]
