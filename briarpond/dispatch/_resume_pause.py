"""When a stream that has begun may be sent again after servers have turned it away."""

# Pause after the first send that was turned away; it is twice as long after each further one.
FIRST_RESUME_PAUSE_S = 0.1
# Together the pauses of all sends that a begun stream may have take about as long as a request.
MAX_RESUME_PAUSE_S = 3.2


class ResumePause:
    """Spreads the sends that resume one stream over the time that is left.

    Their number is limited, and servers without room turn a stream away within milliseconds.
    """

    def __init__(self) -> None:
        self._next_pause_s = FIRST_RESUME_PAUSE_S
        self._ends_at = 0.0

    def begin(self, remaining_s: float, now: float) -> None:
        """Begin the pause after a send that was turned away or found no connection.

        Parameters
        ----------
        remaining_s : float
            Seconds until the deadline; no more than half of them is spent.
        now : float
            Present time.
        """
        self._ends_at = now + min(self._next_pause_s, remaining_s / 2)
        self._next_pause_s = min(2 * self._next_pause_s, MAX_RESUME_PAUSE_S)

    def is_over(self, now: float) -> bool:
        """Whether the stream may be sent again."""
        return now >= self._ends_at
