"""Room for the bodies of callers' requests, shared by all connections of the process.

A body may grow to a small size without asking. A larger one needs a reservation for its whole
length before it is read further, so that bodies that were begun can also be completed: if each
took room piece by piece, many could fill it together with none of them whole.
"""

from collections.abc import Iterable
from typing import Protocol, TypeVar

Candidate = TypeVar("Candidate")

# Used if the settings don't say how much memory the machine has.
DEFAULT_BODY_BUDGET_BYTES = 64 * 1024 * 1024
# Share of a machine's memory; the rest is for the interpreter, answers and connections.
BODY_BUDGET_SHARE = 0.25
# A body up to this size needs no reservation.
SMALL_BODY_BYTES = 16 * 1024
# Share of the budget for reservations of large bodies, so that small ones find room beside them.
LARGE_SHARE = 0.75
# While others wait for room, a body that has made no progress for this long is refused, see
# `MIN_PROGRESS_SHARE`. Otherwise the interface's own timeout applies, and each byte counts.
BODY_IDLE_TIMEOUT_S = 2.0
# A whole body is held by its request, and once more until the server's socket has taken it.
COPIES = 2


class BodyHolder(Protocol):
    """A connection that holds a body."""

    def on_room(self) -> None:
        """Continue to read: there is room now for what was asked for."""


class BodyBudget:
    """Counts the bytes of bodies that are incomplete or not yet passed on.

    Parameters
    ----------
    limit : int
        Bytes that all bodies may take up together.

    Attributes
    ----------
    limit : int
        As above; it may change at any time.
    used : int
        Bytes that are reserved or held at present.
    """

    def __init__(self, limit: int = DEFAULT_BODY_BUDGET_BYTES) -> None:
        self.limit = limit
        self.used = 0
        self._held: dict[BodyHolder, int] = {}
        self._waiting: dict[BodyHolder, tuple[int, bool]] = {}
        self._large: set[BodyHolder] = set()

    @property
    def wanted(self) -> int:
        """Bytes for which connections wait."""
        return sum(size for size, _ in self._waiting.values())

    def held_by(self, holder: BodyHolder) -> int:
        """Return how many bytes are reserved for a connection or held by it."""
        return self._held.get(holder, 0)

    def request_room(self, holder: BodyHolder, size: int, is_large: bool) -> bool:
        """Reserve room up to `size` bytes in all for a connection.

        Returns
        -------
        bool
            Whether there is room. If not, `holder.on_room` is called once there is.
        """
        if size <= self.held_by(holder):
            return True
        if not self._has_room(holder, size, is_large):
            self._waiting[holder] = (size, is_large)
            return False
        self._grant(holder, size, is_large)
        return True

    def set_whole(self, holder: BodyHolder, size: int) -> None:
        """Note that a body is whole and takes up `size` bytes, which its reservation covers."""
        self._waiting.pop(holder, None)
        self._change(holder, size)
        self._serve_waiting()

    def release(self, holder: BodyHolder) -> None:
        """Note that a connection holds no body any more."""
        self._waiting.pop(holder, None)
        self._large.discard(holder)
        if holder in self._held:
            self._change(holder, 0)
            self._serve_waiting()

    def _has_room(self, holder: BodyHolder, size: int, is_large: bool) -> bool:
        used_by_others = self.used - self.held_by(holder)
        fits = used_by_others + size <= self.limit
        if not is_large:
            return fits
        if not self._large:
            # The only large body is let in whatever the limit, if there is no load: else it never
            # could be.
            return fits or used_by_others <= SMALL_BODY_BYTES * COPIES
        large_bytes = sum(self.held_by(each) for each in self._large if each is not holder)
        return fits and large_bytes + size <= self.limit * LARGE_SHARE

    def _grant(self, holder: BodyHolder, size: int, is_large: bool) -> None:
        self._waiting.pop(holder, None)
        if is_large:
            self._large.add(holder)
        self._change(holder, size)

    def _change(self, holder: BodyHolder, size: int) -> None:
        self.used += size - self._held.pop(holder, 0)
        if size:
            self._held[holder] = size

    def _serve_waiting(self) -> None:
        """Grant room in the order of the requests for it; smaller ones may go before large ones."""
        for holder, (size, is_large) in list(self._waiting.items()):
            if self._has_room(holder, size, is_large):
                self._grant(holder, size, is_large)
                holder.on_room()


def choose_stalled(stalled: Iterable[tuple[Candidate, int]], wanted_bytes: int) -> list[Candidate]:
    """Return the connections to be refused so that others get room, those with the most first.

    Parameters
    ----------
    stalled : iterable of (Candidate, int)
        Connections whose bodies make no progress, and the bytes that they hold.
    wanted_bytes : int
        Bytes for which other connections wait.
    """
    chosen = []
    for holder, held_bytes in sorted(stalled, key=lambda pair: -pair[1]):
        if wanted_bytes <= 0:
            break
        wanted_bytes -= held_bytes
        chosen.append(holder)
    return chosen
