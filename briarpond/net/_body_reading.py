"""The body of a request while it is read from its caller, and the room that it may take up."""

from ._body_budget import COPIES, SMALL_BODY_BYTES, BodyBudget, BodyHolder
from ._read_allowance import RECEIVE_BYTES

# While others wait for room, a smaller part of the longest possible length counts as no progress.
# In 2 s this is 64 KB/s for the largest bodies, which then are whole within about a minute.
MIN_PROGRESS_SHARE = 1 / 32


class BodyReading:
    """Body of the present request of one connection.

    Parameters
    ----------
    budget : BodyBudget
        Room for all bodies of the process.
    holder : BodyHolder
        The connection.
    now : float
        Present time.

    Attributes
    ----------
    is_chunked : bool
        Whether its length is not announced.
    """

    def __init__(self, budget: BodyBudget, holder: BodyHolder, now: float) -> None:
        self.is_chunked = False
        self._budget = budget
        self._holder = holder
        self._data = bytearray()
        self._max_bytes = 0
        self._announced: int | None = None
        self._waits_since: float | None = None
        self._last_byte_at = self._progress_at = now
        self._size_at_progress = 0

    @property
    def size(self) -> int:
        """Bytes received so far."""
        return len(self._data)

    @property
    def is_waiting(self) -> bool:
        """Whether it is not read because there is no room."""
        return self._waits_since is not None

    def begin(self, max_bytes: int, now: float) -> None:
        """Begin a body of at most `max_bytes`."""
        self.drop()
        self._max_bytes = max_bytes
        self.note_progress(now)

    def announce(self, length: int) -> None:
        """Note the length of the body."""
        self._announced = length

    def add(self, data: bytes, now: float) -> None:
        """Add received bytes."""
        self._data += data
        self._last_byte_at = now

    def take(self) -> bytes:
        """Return the whole body; its room stays taken up until `drop`."""
        data = bytes(self._data)
        self._data = bytearray()
        self._waits_since = None
        self._budget.set_whole(self._holder, COPIES * len(data))
        return data

    def drop(self) -> None:
        """Forget the body, and give its room back."""
        self.is_chunked = False
        self._data = bytearray()
        self._announced = None
        self._waits_since = None
        self._budget.release(self._holder)

    @property
    def _longest(self) -> int:
        """Its announced length; a chunked body has none, whatever its head says beside that."""
        if self.is_chunked or self._announced is None:
            return self._max_bytes
        return self._announced

    def ask_for_room(self, now: float) -> int:
        """Return how many bytes may be read at present; with 0 it waits for room."""
        longest = self._longest
        small = min(longest, SMALL_BODY_BYTES)
        is_large = self.size >= small < longest
        wanted = longest if is_large else small
        if self._budget.request_room(self._holder, COPIES * wanted, is_large):
            self._waits_since = None
            if self.is_chunked:
                return RECEIVE_BYTES if is_large else SMALL_BODY_BYTES
            return max(1, wanted - self.size)
        if self._waits_since is None:
            self._waits_since = now
        return 0

    def note_progress(self, now: float) -> None:
        """Count the time without progress from now on."""
        self._last_byte_at = self._progress_at = now
        self._size_at_progress = self.size

    def waited_s(self, now: float) -> float:
        """Return for how long it has waited for room."""
        return 0.0 if self._waits_since is None else now - self._waits_since

    def idle_s(self, now: float) -> float:
        """Return for how long no byte has arrived."""
        return now - self._last_byte_at

    def slow_s(self, now: float) -> float:
        """Return for how long less than `MIN_PROGRESS_SHARE` of it has arrived."""
        if self.size - self._size_at_progress >= max(1, self._longest * MIN_PROGRESS_SHARE):
            self._progress_at, self._size_at_progress = now, self.size
        return now - self._progress_at
