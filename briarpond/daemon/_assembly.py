"""One node without its sockets: the parts, their schedule and the shutdown."""

import random
from collections.abc import Callable

from briarpond.conf import Settings
from briarpond.logs import log_event, log_warning
from briarpond.net import Clock, HttpClient
from briarpond.nodes import DrainStage

from ._callers import CallerDesk
from ._fleet_link import FleetLink
from ._log_link import LogLink
from ._membership import Membership
from ._node import NodeContext
from ._operators import OperatorDesk
from ._peer_link import PeerCall, PeerLink

TICK_S = 0.05
GAUGES_S = 1.0
LAST_WORD_S = 1.0
FORGET_EVERY_S = 60.0
FORGET_AFTER_S = 300.0


class Assembly:
    """The parts of one node, put together.

    Parameters
    ----------
    clock, client : object
        Time and outgoing HTTP calls.
    call_peer : callable
        Sends an envelope to a peer's address.
    on_stopped : callable
        Called once when the node has nothing left to do.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        client: HttpClient,
        call_peer: PeerCall,
        on_stopped: Callable[[], None],
        rng: random.Random | None = None,
    ) -> None:
        self.clock = clock
        self.context = NodeContext(settings, clock, client, rng)
        self.membership = Membership(self.context)
        self.log = LogLink(self.context, self._on_folded)
        self.peers = PeerLink(self.context, call_peer, self.log)
        self.log.reads_often = self.peers.is_reader
        self.fleet = FleetLink(self.context, self.peers.probes_group, self._plans)
        self.callers = CallerDesk(self.context, self.fleet, self.peers.ask_key)
        self.operators = OperatorDesk(self.context, self.begin_drain, self._superseded)
        self._on_stopped = on_stopped
        self._config_version = 0
        self._finished = False

    def start(self) -> None:
        """Schedule everything."""
        self.log.start()
        self.peers.start()
        self.fleet.start()
        self.membership.start()
        self.clock.every(TICK_S, self._tick)
        self.clock.every(GAUGES_S, self._gauges)
        self.clock.every(FORGET_EVERY_S, self._forget)

    def begin_drain(self) -> None:
        """Begin the graceful shutdown, or force it when it has begun already."""
        self.context.drain.begin(self.clock.now())
        log_event("drain", node=self.context.id, forced=self.context.drain.forced)

    def _tick(self) -> None:
        if self._finished:
            return
        context = self.context
        self.callers.tick()
        if self._superseded() and not context.drain.leaving:
            log_warning("superseded", node=context.id)
            self.begin_drain()
        stage = context.drain.on_tick(self.clock.now(), context.in_flight)
        if stage is DrainStage.STOPPED:
            self._finish()

    def _finish(self) -> None:
        self._finished = True
        self.callers.stop_all()
        self.membership.remove_self()
        # The removal goes out, and callers read the last bytes, before the loop ends.
        self.clock.after(LAST_WORD_S, self._on_stopped)

    def _on_folded(self) -> None:
        version = self.context.tail.state.config.version
        if version != self._config_version:
            self._config_version = version
            self.context.metrics.config_version.set({}, version)
            log_event("configuration_in_force", version=version)

    def _gauges(self) -> None:
        context = self.context
        now = self.clock.now()
        groups = list(context.tail.state.groups.values())
        ready = [group for group in groups if context.group_ready(group, now)]
        context.metrics.groups.set({"ready": "yes"}, len(ready))
        context.metrics.groups.set({"ready": "no"}, len(groups) - len(ready))
        context.metrics.log_behind.set({}, context.tail.behind())
        serving = {member.instance for group in ready for member in group.members}
        served = {deployment.service for deployment in context.document.deployments.values()}
        stranded = sum(
            row.accelerators
            for row in context.fleet.values()
            if row.service in served and row.instance not in serving
        )
        context.metrics.stranded_accelerators.set({}, stranded)

    def _forget(self) -> None:
        """Drop what is remembered of instances that were replaced long ago."""
        context = self.context
        context.presence.forget_before(self.clock.now() - FORGET_AFTER_S)
        if context.fleet:
            context.router.forget(set(context.fleet))

    def _plans(self) -> bool:
        return self.membership.holds(self.membership.plan_scope)

    def _superseded(self) -> bool:
        return self.membership.superseded
