"""Entry point of a node on the users' platform."""

import os
import signal
import sys
from pathlib import Path

from briarpond.logs import install_sink, log_event, log_fatal_event, log_warning
from briarpond.net import Clock, Connector, DirectPoller, Sentinel
from briarpond.platform import load_gateway_settings, settings_path

from ._node import Node

EXIT_SETTINGS = 78
WRITE_LOG_S = 0.05
WATCH_SETTINGS_S = 1.0
# The last answers and messages leave the process before it ends.
LAST_BYTES_S = 0.2


class Process:
    """The loop, the signals and the settings file around a node."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._sink = install_sink(sys.stdout.fileno())
        self._clock = Clock()
        self._sentinel = Sentinel()
        self._mtime = 0
        self._node: Node | None = None

    def run(self) -> int:
        """Run until the node has stopped; return the exit code."""
        loaded = load_gateway_settings(self._path)
        if loaded.is_error():
            log_fatal_event("settings_bad", problem=str(loaded.error))
            self._sink.write_rest()
            return EXIT_SETTINGS
        self._mtime = self._modified()
        poller = DirectPoller()
        connector = Connector(self._clock, poller)
        for component in (poller, self._sentinel, connector):
            self._clock += component
        settings = loaded.ok
        self._node = Node(settings, self._clock, poller, connector, self._stopped)
        log_event("start", node=settings.node, data_centre=settings.data_centre)
        self._node.start()
        self._clock.every(WRITE_LOG_S, self._write_log)
        self._clock.every(WATCH_SETTINGS_S, self._watch_settings)
        self._clock.after(0.0, self._take_signals)
        self._clock.run()
        log_event("stop", exit_code=self._sentinel.exit_code, lines_dropped=self._sink.dropped)
        self._sink.write_rest()
        return self._sentinel.exit_code

    def _take_signals(self) -> None:
        assert self._node is not None
        node = self._node
        # circuits installs handlers of its own when the loop starts; these come after.
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._clock.after(0.0, node.begin_stop))
        signal.signal(signal.SIGHUP, lambda *_: self._clock.after(0.0, self._reload))

    def _stopped(self) -> None:
        self._clock.after(LAST_BYTES_S, self._clock.stop)

    def _write_log(self) -> None:
        assert self._node is not None
        self._sink.write_some()
        self._node.state.metrics.dropped_lines.set({}, self._sink.dropped)

    def _modified(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as exc:
            log_warning("settings_not_seen", error=str(exc))
            return self._mtime

    def _watch_settings(self) -> None:
        if self._modified() != self._mtime:
            self._reload()

    def _reload(self) -> None:
        assert self._node is not None
        self._mtime = self._modified()
        loaded = load_gateway_settings(self._path)
        if loaded.is_error():
            log_warning("settings_kept", problem=str(loaded.error))
            return
        self._node.reload(loaded.ok)
        log_event("settings_reloaded")


def main() -> int:
    """Run the node whose settings the environment names; return the exit code."""
    path = settings_path(os.environ)
    if path is None:
        print("gateway.E000: no settings file is named in the environment.", file=sys.stderr)
        return EXIT_SETTINGS
    return Process(path).run()
