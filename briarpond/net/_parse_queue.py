"""Shares the parsing of received bytes between connections, in turns of the event loop.

A read of 64 KiB may have more than ten thousand chunks of one byte. Parsed at once they would
keep the loop from all other connections.
"""

from collections import deque
from typing import Protocol

from ._clock import Clock

# Parts of requests that a connection may have parsed before it is another one's turn; an ordinary
# request has fewer.
PIECES_AT_ONCE = 32
# Parts that are parsed in one turn of the loop for all connections that have more than that.
PIECES_PER_TURN = 256


class Parser(Protocol):
    """A connection with bytes that are not parsed yet."""

    def parse_in_turn(self, max_pieces: int) -> int:
        """Parse at most so many pieces; return how many there were."""


class ParseQueue:
    """Lets connections parse in turn, each a few pieces at a time.

    Parameters
    ----------
    clock : Clock
        Timers of the process.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._parsers: deque[Parser] = deque()
        self._is_scheduled = False

    def add(self, parser: Parser) -> None:
        """Let `parser` parse in one of the next turns; it adds itself again if there is more."""
        self._parsers.append(parser)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled and self._parsers:
            self._is_scheduled = True
            self._clock.after(0.0, self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        pieces_left = PIECES_PER_TURN
        try:
            while self._parsers and pieces_left > 0:
                parser = self._parsers.popleft()
                pieces_left -= max(1, parser.parse_in_turn(min(PIECES_AT_ONCE, pieces_left)))
        finally:
            self._schedule()
