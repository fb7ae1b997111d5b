"""Cutting of a server-sent event stream into whole events."""

DONE_EVENT = b"data: [DONE]"
MAX_EVENT_BYTES = 1024 * 1024
_BOUNDARY = b"\n\n"


class EventSplitter:
    """Collects bytes and hands out whole events only."""

    def __init__(self) -> None:
        self._rest = b""
        self.finished = False

    @property
    def oversized(self) -> bool:
        """Whether an event grew beyond its bound without ending."""
        return len(self._rest) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that `data` completes, each with its blank line."""
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        pieces = (self._rest + data).split(_BOUNDARY)
        self._rest = pieces.pop()
        if any(piece.startswith(DONE_EVENT) for piece in pieces):
            self.finished = True
        return [piece + _BOUNDARY for piece in pieces]
