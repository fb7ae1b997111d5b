"""Assembly of one node: loop, listeners, links and the graceful shutdown."""

import signal

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from circuits.web.http import HTTP

from briarpond.conf import Settings
from briarpond.nodes import DrainStage

from ._callers import CallerDesk
from ._clock import Clock
from ._fleet_link import FleetLink
from ._http_client import HttpClient
from ._inbound import Listener
from ._log_link import LogLink
from ._logs import log_event, log_fatal_event, log_warning
from ._membership import Membership
from ._node import NodeContext
from ._operators import OperatorDesk
from ._outbound import Connector
from ._peer_link import PeerLink
from ._peer_net import PeerCaller, PeerServer

TICK_S = 0.05
GAUGES_S = 1.0
LAST_WORD_S = 1.0
EXIT_INVARIANT = 70


class Sentinel(BaseComponent):
    """Stops the process when an exception shows a broken invariant.

    An exception that circuits.web raises while it parses what a caller sent is
    not one: the connection is closed and the process goes on.
    """

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self.exit_code = 0

    @handler("exception", channel="*", priority=10)
    def _on_exception(self, kind, exc, trace, handler=None, fevent=None) -> None:
        owner = getattr(handler, "__self__", None)
        if isinstance(owner, HTTP) and fevent is not None and fevent.name == "read":
            log_warning("malformed_request", error=repr(exc))
            return
        lines = trace if isinstance(trace, list) else [str(trace)]
        log_fatal_event("broken_invariant", error=repr(exc), trace="".join(lines))
        self.exit_code = EXIT_INVARIANT
        self.root.stop(EXIT_INVARIANT)


class App:
    """One node of the system as a process."""

    def __init__(self, settings: Settings) -> None:
        self.clock = Clock()
        self.poller = EPoll()
        self.sentinel = Sentinel()
        self.clock += self.poller
        self.clock += self.sentinel
        connector = Connector(self.clock, self.poller)
        self.clock += connector
        self.node = NodeContext(settings, self.clock, HttpClient(connector, self.clock))
        self.membership = Membership(self.node)
        self.log = LogLink(self.node, self._on_folded)
        secret = settings.peers.secret.encode()
        caller = PeerCaller(connector, self.clock, secret)
        self.peers = PeerLink(self.node, caller.call, self.log)
        self.clock += PeerServer(settings.listen.peers, self.peers.answer, secret)
        self.log.reads_often = self.peers.is_reader
        self.fleet = FleetLink(self.node, self.peers.probes_group, self._plans)
        self.callers = CallerDesk(self.node, self.fleet, self.peers.ask_key)
        self.operators = OperatorDesk(self.node, self.begin_drain, self._superseded)
        self._listeners = self._listen(settings)
        self._config_version = 0
        self._stop_at: float | None = None

    def run(self) -> int:
        """Run until the node has stopped; return the exit code."""
        node = self.node
        log_event(
            "node_start",
            node=node.id,
            incarnation=node.incarnation,
            data_centre=node.data_centre,
            callers=node.settings.listen.callers,
        )
        self.log.start()
        self.peers.start()
        self.fleet.start()
        self.membership.start()
        self.clock.every(TICK_S, self._tick)
        self.clock.every(GAUGES_S, self._gauges)
        self.clock.after(0.0, self._take_signals)
        self.clock.run()
        log_event("node_stop", node=node.id, exit_code=self.sentinel.exit_code)
        return self.sentinel.exit_code

    def begin_drain(self) -> None:
        """Begin the graceful shutdown, or force it when it has begun already."""
        self.node.drain.begin(self.clock.now())
        log_event("drain", node=self.node.id, forced=self.node.drain.forced)

    def _listen(self, settings: Settings) -> list[Listener]:
        listeners = [
            Listener(
                settings.listen.callers,
                "callers",
                self.clock,
                settings.limits,
                self.callers.handle,
            ),
            Listener(
                settings.listen.operators,
                "operators",
                self.clock,
                settings.limits,
                self.operators.handle,
            ),
        ]
        for listener in listeners:
            self.clock += listener
        return listeners

    def _take_signals(self) -> None:
        # circuits installs handlers of its own when the loop starts; these come after.
        signal.signal(signal.SIGTERM, lambda *_: self.clock.after(0.0, self.begin_drain))
        signal.signal(signal.SIGINT, lambda *_: self.clock.after(0.0, self.begin_drain))

    def _tick(self) -> None:
        self.callers.tick()
        if self._superseded() and not self.node.drain.leaving:
            log_warning("superseded", node=self.node.id)
            self.begin_drain()
        now = self.clock.now()
        if self._stop_at is not None:
            if now >= self._stop_at:
                self.clock.stop()
            return
        if self.node.drain.on_tick(now, self.node.in_flight) is DrainStage.STOPPED:
            self._finish(now)

    def _finish(self, now: float) -> None:
        self.callers.stop_all()
        for listener in self._listeners:
            listener.stop_listening()
        self.membership.remove_self()
        self._stop_at = now + LAST_WORD_S

    def _on_folded(self) -> None:
        version = self.node.tail.state.config.version
        if version != self._config_version:
            self._config_version = version
            self.node.metrics.config_version.set({}, version)
            log_event("configuration_in_force", version=version)

    def _gauges(self) -> None:
        node = self.node
        now = self.clock.now()
        groups = list(node.tail.state.groups.values())
        ready = [group for group in groups if node.group_ready(group, now)]
        node.metrics.groups.set({"ready": "yes"}, len(ready))
        node.metrics.groups.set({"ready": "no"}, len(groups) - len(ready))
        node.metrics.log_behind.set({}, node.tail.behind())
        serving = {member.instance for group in ready for member in group.members}
        served = {deployment.service for deployment in node.document.deployments.values()}
        idle = sum(
            row.accelerators
            for row in node.fleet.values()
            if row.service in served and row.instance not in serving
        )
        node.metrics.idle_accelerators.set({}, idle)

    def _plans(self) -> bool:
        return self.membership.holds(self.membership.plan_scope)

    def _superseded(self) -> bool:
        return self.membership.superseded
