"""What is kept of an answer until it can be passed on: a plain body, or part of an event."""

from briarpond.dispatch import ResumableEventSplitter

from ._kept_bytes import KeptBytes

# Limit of answers that are not streams, since they are kept in memory until complete. A send
# with a larger answer counts as failed.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Limit of an event of a stream, which is kept in memory until it is complete.
MAX_EVENT_BYTES = 1024 * 1024


class AnswerBuffer:
    """Keeps the incomplete answer of one send.

    Parameters
    ----------
    kept_bytes : KeptBytes
        Memory that the answers of all requests take up.
    resumable : bool
        Whether a stream may be resumed at another server.
    """

    def __init__(self, kept_bytes: KeptBytes, resumable: bool) -> None:
        self._all = kept_bytes
        self._body = bytearray()
        self._events = ResumableEventSplitter(resumable)
        self._counted = 0

    @property
    def body(self) -> bytes:
        """The body of a plain answer."""
        return bytes(self._body)

    @property
    def last_event_id(self) -> bytes | None:
        """Id of the last complete event of the send; None before the first."""
        return self._events.last_event_id

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are kept."""
        return self._events.has_partial_event

    def add_to_body(self, data: bytes) -> bool:
        """Add a piece of a plain answer; return whether the answer may be kept."""
        self._body += data
        return self._count() and len(self._body) <= MAX_ANSWER_BYTES

    def take_events(self, data: bytes) -> bytes:
        """Add a piece of a stream; return the bytes of the events that are now complete.

        Raises
        ------
        DamagedEventError
            If the stream cannot be resumed after the last of these events.
        """
        return self._events.feed(data)

    def may_keep_event(self) -> bool:
        """Whether there is room for what is kept of an incomplete event."""
        return self._count() and self._events.partial_size <= MAX_EVENT_BYTES

    def clear(self) -> None:
        """Drop what is kept, because the send has ended."""
        self._body.clear()
        self._events.discard_partial_event()
        self._count()

    def _count(self) -> bool:
        before, self._counted = self._counted, len(self._body) + self._events.partial_size
        return self._all.change(before, self._counted)
