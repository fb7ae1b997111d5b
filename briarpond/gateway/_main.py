"""The process of a node on the users' platform: event loop, signals and settings file."""

import os
import signal
import sys
from pathlib import Path

from briarpond.logs import (
    EXIT_WRITE_S,
    install_log_handler,
    log_event,
    log_fatal_event,
    log_warning,
    reserved_lines,
)
from briarpond.net import Clock, Connector, DirectPoller, UncaughtExceptionHandler, run_guarded
from briarpond.platform import load_gateway_settings, settings_path

from ._loop_monitor import TICK_INTERVAL_S, LoopMonitor
from ._node import Node
from ._stopping import Stop

# Exit status for missing or invalid settings (EX_CONFIG of sysexits.h).
EXIT_SETTINGS = 78
# How often queued log lines are written.
LOG_WRITE_INTERVAL_S = 0.05
# How often the settings file is checked for a change.
SETTINGS_CHECK_INTERVAL_S = 1.0
# Delay between the end of the node and the end of the loop, in which the last answers and
# messages are sent.
FLUSH_DELAY_S = 0.2
# How long after the end of the stop the process ends itself if the node has not.
STOP_OVERDUE_S = 0.1
# How long an exit that has time until the kill waits for a slow reader of the log.
LONGEST_EXIT_WRITE_S = 2.0
# Requests that a stopping node still has this long before it ends them are named in the log.
IN_HAND_REPORT_S = 0.5


def log_wait_s(stop: Stop | None, now: float) -> float:
    """Return how long an exiting process may wait for a slow reader of its log, in seconds.

    Parameters
    ----------
    stop : Stop or None
        The stop of the node; None if the process ends by itself.
    now : float
        Present time.
    """
    if stop is None:
        return EXIT_WRITE_S
    return min(LONGEST_EXIT_WRITE_S, max(EXIT_WRITE_S, stop.ends_at - now))


class Process:
    """Runs one node: event loop, signal handlers, log output and reload of the settings.

    Parameters
    ----------
    path : Path
        Settings file. It is read again when it changes, and on SIGHUP.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._log_handler = install_log_handler(sys.stdout.fileno())
        self._clock = Clock()
        self._exception_handler = UncaughtExceptionHandler()
        self._mtime = 0
        self._node: Node | None = None
        self._is_ending = False

    def run(self) -> int:
        """Run until the node has stopped; return the exit status."""
        # Before the file is read, so that a change meanwhile is noticed.
        self._mtime = self._read_mtime()
        loaded = load_gateway_settings(self._path)
        if loaded.is_error():
            log_fatal_event("settings_bad", problem=str(loaded.error))
            self._log_handler.write_at_exit()
            return EXIT_SETTINGS
        poller = DirectPoller()
        connector = Connector(self._clock, poller)
        for component in (poller, self._exception_handler, connector):
            self._clock += component
        settings = loaded.ok
        self._node = Node(settings, self._clock, poller, connector, self._on_node_stopped)
        log_event("start", node=settings.node, data_centre=settings.data_centre)
        self._node.start()
        monitor = LoopMonitor(self._node.state.metrics, self._clock.now())
        poller.on_turn = monitor.record_turn
        self._clock.every(TICK_INTERVAL_S, lambda: monitor.on_tick(self._clock.now()))
        self._clock.every(LOG_WRITE_INTERVAL_S, self._write_log)
        self._clock.every(SETTINGS_CHECK_INTERVAL_S, self._check_settings)
        self._clock.after(0.0, self._install_signal_handlers)
        self._clock.run()
        with reserved_lines():
            log_event(
                "stop",
                exit_code=self._exception_handler.exit_code,
                in_flight=self._node.ingress.in_flight,
                lines_dropped=self._log_handler.dropped,
            )
        self._log_handler.write_at_exit(log_wait_s(self._node.ingress.stop, self._clock.now()))
        return self._exception_handler.exit_code

    def _install_signal_handlers(self) -> None:
        # circuits installs its own handlers when the loop starts; this runs after that and
        # replaces them.
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._on_stop_signal())
        signal.signal(signal.SIGHUP, lambda *_: self._clock.after(0.0, self._reload))

    def _on_stop_signal(self) -> None:
        """Begin the stop from the loop, counted from now: the platform counts from the signal."""
        told_at = self._clock.now()
        self._clock.after(0.0, lambda: self._begin_stop(told_at))

    def _begin_stop(self, told_at: float) -> None:
        """Stop the node; its lines are written at once, since it may be killed at any time."""
        assert self._node is not None
        ingress = self._node.ingress
        if ingress.stop is not None:
            return
        self._log_handler.writes_at_once = True
        with reserved_lines():
            run_guarded("stop", self._node.begin_stop, told_at)
        assert ingress.stop is not None
        until_end_s = ingress.stop.ends_at - self._clock.now()
        self._clock.after(until_end_s - IN_HAND_REPORT_S, ingress.log_in_hand)
        self._clock.after(until_end_s + STOP_OVERDUE_S, self._end_overdue_stop)

    def _end_overdue_stop(self) -> None:
        """End requests and process because the node's own stop has failed or is late."""
        assert self._node is not None
        if self._is_ending:
            return
        log_warning("stop_overdue", in_flight=self._node.ingress.in_flight)
        self._node.ingress.end_all()
        self._on_node_stopped()

    def _on_node_stopped(self) -> None:
        if self._is_ending:
            return
        self._is_ending = True
        self._clock.after(FLUSH_DELAY_S, self._clock.stop)

    def _write_log(self) -> None:
        assert self._node is not None
        self._log_handler.write_pending()
        self._node.state.metrics.dropped_lines.set({}, self._log_handler.dropped)

    def _read_mtime(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as exc:
            log_warning("settings_not_seen", error=str(exc))
            return self._mtime

    def _check_settings(self) -> None:
        if self._read_mtime() != self._mtime:
            self._reload()

    def _reload(self) -> None:
        assert self._node is not None
        self._mtime = self._read_mtime()
        loaded = load_gateway_settings(self._path)
        if loaded.is_error():
            log_warning("settings_kept", problem=str(loaded.error))
            return
        self._node.reload(loaded.ok)
        log_event("settings_reloaded")


def main() -> int:
    """Run the node whose settings file the environment names; return the exit status."""
    path = settings_path(os.environ)
    if path is None:
        print("gateway.E000: the environment names no settings file.", file=sys.stderr)
        return EXIT_SETTINGS
    return Process(path).run()
