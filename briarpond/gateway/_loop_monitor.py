"""Watches how long the turns of the event loop take and how late its timers run."""

from briarpond.logs import log_warning

from ._metrics import GatewayMetrics

# Interval of the timer whose lateness is measured.
TICK_INTERVAL_S = 0.1
# A timer that runs later than this is logged: heartbeats and stops rely on the loop.
LATE_S = 0.25
# Shortest interval between two log lines.
LOG_INTERVAL_S = 1.0


class LoopMonitor:
    """Measures the event loop, so that a late node can be told from a slow network.

    Parameters
    ----------
    metrics : GatewayMetrics
        Receives the length of each turn.
    now : float
        Present time, in seconds.
    """

    def __init__(self, metrics: GatewayMetrics, now: float) -> None:
        self._metrics = metrics
        self._last_tick_at = now
        self._last_logged_at = float("-inf")
        self._longest_turn_s = 0.0

    def record_turn(self, busy_s: float) -> None:
        """Record how long the handlers of one turn of the loop ran."""
        self._metrics.loop_turns.observe({}, busy_s)
        self._longest_turn_s = max(self._longest_turn_s, busy_s)

    def on_tick(self, now: float) -> None:
        """Log that the timer runs late; called each `TICK_INTERVAL_S` as far as possible.

        A long turn shows in `longest_turn_ms`; otherwise the process was not scheduled.
        """
        late_s = now - self._last_tick_at - TICK_INTERVAL_S
        self._last_tick_at = now
        if late_s > LATE_S and now - self._last_logged_at >= LOG_INTERVAL_S:
            self._last_logged_at = now
            log_warning(
                "loop_late",
                late_ms=round(late_s * 1000),
                longest_turn_ms=round(self._longest_turn_s * 1000),
            )
        self._longest_turn_s = 0.0
