"""Timers of the event loop, on the clock that counts from the boot of the machine."""

import heapq
import itertools
import time
from collections.abc import Callable

from circuits import BaseComponent, handler

from ._guard import run_guarded


class Timer:
    """Scheduled call that can be cancelled.

    Attributes
    ----------
    callback : callable or None
        Function to call when the timer expires; None once it is cancelled.
    """

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevent the call; without effect once it has happened."""
        self.callback = None


class Clock(BaseComponent):
    """Runs expired timers on the loop.

    All timers of the process are in one heap. Before the poller waits for sockets, the
    clock limits that wait to the time until the next timer.
    """

    channel = "clock"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def now(self) -> float:
        """Return the time since the boot of the machine, in seconds.

        Unlike the monotonic clock, it includes the time for which the machine was
        suspended, so that state received before a suspension counts as old.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def after(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once, `delay_s` seconds from now.

        With a delay of 0 it is called from the loop as soon as possible, but never
        within `after`.
        """
        timer = Timer(callback)
        heapq.heappush(self._heap, (self.now() + delay_s, next(self._sequence), timer))
        return timer

    def every(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` on the next turn of the loop and then every `interval_s` seconds.

        The next call is scheduled before `callback` runs, so an exception in it does
        not end the series.
        """

        def run() -> None:
            self.after(interval_s, run)
            callback()

        self.after(0.0, run)

    @handler("generate_events", priority=1)
    def _on_generate_events(self, event) -> None:
        self._run_due()
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - self.now()))

    def _run_due(self) -> None:
        now = self.now()
        while self._heap and self._heap[0][0] <= now:
            timer = heapq.heappop(self._heap)[2]
            if timer.callback is not None:
                run_guarded("timer", timer.callback)
