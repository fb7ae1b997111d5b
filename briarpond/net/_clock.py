"""One heap of timers on the boot-time clock for the whole process."""

import heapq
import itertools
import time
from collections.abc import Callable

from circuits import BaseComponent, handler


class Timer:
    """Handle by which a scheduled call can be cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Make sure that the call does not happen any more."""
        self.call = None


class Clock(BaseComponent):
    """Runs due calls on the loop and bounds how long the poller waits."""

    channel = "clock"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the time since the machine started, in seconds.

        Unlike the monotonic clock, it counts the time that the machine was
        suspended: what was learned before that is old.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def after(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Schedule `call` in `delay_s` seconds."""
        timer = Timer(call)
        heapq.heappush(self._heap, (self.now() + delay_s, next(self._order), timer))
        return timer

    def every(self, interval_s: float, call: Callable[[], None]) -> None:
        """Run `call` now and then every `interval_s` seconds."""

        def run() -> None:
            self.after(interval_s, run)
            call()

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
            if timer.call is not None:
                timer.call()
