"""Splits a server-sent event stream into complete events and keeps the id of the last one.

With that id, an interrupted stream is resumed at another backend server.
"""

import re

_EVENT_TERMINATOR = b"\n\n"
_ID_FIELD = b"id:"
# Ids that can be sent as a header; any other shows that the stream is damaged.
_USABLE_ID = re.compile(rb"[\x21-\x7e]{1,128}")


class DamagedEventError(Exception):
    """The id of an event cannot be used to resume the stream after it."""


def has_fields(events: bytes) -> bool:
    """Whether complete events contain any field; comments and empty lines are none."""
    return any(line and not line.startswith(b":") for line in events.split(b"\n"))


def count_events(events: bytes) -> int:
    """Return how many complete events have a field; comments alone are no event."""
    return sum(has_fields(event) for event in events.split(_EVENT_TERMINATOR))


class ResumableEventSplitter:
    """Holds back the bytes of an incomplete event until the event is complete.

    Parameters
    ----------
    resumable : bool
        Whether the stream may be resumed; otherwise the ids of its events do not matter.

    Attributes
    ----------
    last_event_id : bytes or None
        Value of the last ``id:`` field in the complete events; None before the first one.
    """

    def __init__(self, resumable: bool = True) -> None:
        self._resumable = resumable
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
        """Add received bytes; return the bytes of the events that are now complete.

        Raises
        ------
        DamagedEventError
            If the id of the last complete event cannot be sent as ``Last-Event-Id``. The
            events of these bytes are dropped, and `last_event_id` stays as it was.
        """
        # The terminator may begin with the last byte that was held back.
        search_from = max(0, len(self._buffer) - len(_EVENT_TERMINATOR) + 1)
        self._buffer += data
        end = self._buffer.rfind(_EVENT_TERMINATOR, search_from)
        if end < 0:
            return b""
        complete = bytes(self._buffer[: end + len(_EVENT_TERMINATOR)])
        del self._buffer[: end + len(_EVENT_TERMINATOR)]
        if self._resumable:
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
        event_id = line[len(_ID_FIELD) :].strip()
        if _USABLE_ID.fullmatch(event_id) is None:
            raise DamagedEventError(repr(event_id[:40]))
        self.last_event_id = event_id
