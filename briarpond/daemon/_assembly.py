"""One node apart from its sockets: its parts, their schedule and the shutdown."""

import random
from collections.abc import Callable

from briarpond.conf import Settings
from briarpond.logs import log_event, log_warning
from briarpond.net import Clock, HttpClient
from briarpond.nodes import DrainStage

from ._callers import CallerApi
from ._fleet_link import InstanceLink
from ._log_link import LogLink
from ._membership import Membership
from ._node import NodeContext
from ._operators import OperatorApi
from ._peer_link import CallPeer, PeerLink
from ._stopping import CallerConnections, NoConnections, Stopping

# How often deadlines of requests and the progress of a shutdown are checked.
TICK_S = 0.05
GAUGE_INTERVAL_S = 1.0
# Between the end of all work and the exit: the removal of the node is appended to the
# log, and callers read the last bytes of their answers.
EXIT_DELAY_S = 1.0
CLEANUP_INTERVAL_S = 60.0
# Age after which the last status report of an instance is dropped.
PRESENCE_RETENTION_S = 300.0


class Assembly:
    """Creates and connects the parts of one node.

    Everything outside the process is passed in, so that tests can run whole nodes
    without sockets.

    Parameters
    ----------
    clock : Clock
        Time and scheduled calls.
    client : HttpClient
        Outgoing HTTP calls.
    call_peer : callable
        Sends an envelope to a peer's address; its callback gets the answer or None.
    on_stopped : callable
        Called once when the shutdown is complete.
    rng : Random or None
        Source of all random choices; seeded from a UUID if None.

    Attributes
    ----------
    connections : CallerConnections
        Connections of callers; to be set by the process that has sockets.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        client: HttpClient,
        call_peer: CallPeer,
        on_stopped: Callable[[], None],
        rng: random.Random | None = None,
    ) -> None:
        self.clock = clock
        self.context = NodeContext(settings, clock, client, rng)
        self.membership = Membership(self.context)
        self.log = LogLink(self.context, self._on_folded)
        self.peers = PeerLink(self.context, call_peer, self.log)
        self.log.reads_for_data_centre = self.peers.is_log_reader
        self.instance_link = InstanceLink(self.context, self.peers.probes_group, self._is_planner)
        self.callers = CallerApi(self.context, self.instance_link, self.peers.query_key_owner)
        self.operators = OperatorApi(self.context, self.begin_drain, self._is_superseded)
        self.connections: CallerConnections = NoConnections()
        self._stopping = Stopping(self.context, lambda: self.connections)
        self._on_stopped = on_stopped
        self._config_version = 0
        self._finished = False

    def start(self) -> None:
        """Schedule the work of all parts."""
        self.log.start()
        self.peers.start()
        self.instance_link.start()
        self.membership.start()
        self.clock.every(TICK_S, self._tick)
        self.clock.every(GAUGE_INTERVAL_S, self._update_gauges)
        self.clock.every(CLEANUP_INTERVAL_S, self._drop_replaced_instances)

    def begin_drain(self) -> None:
        """Begin the graceful shutdown; force its end if it has begun already."""
        self.context.drain.begin(self.clock.now())
        log_event("drain", node=self.context.id, forced=self.context.drain.forced)

    def _tick(self) -> None:
        if self._finished:
            return
        context = self.context
        self.callers.tick()
        if self._is_superseded() and not context.drain.leaving:
            log_warning("superseded", node=context.id)
            self.begin_drain()
        if self._stopping.tick(self.clock.now()) is DrainStage.STOPPED:
            self._finish()

    def _finish(self) -> None:
        self._finished = True
        self.callers.stop_all()
        self._stopping.end_input()
        self.membership.remove_self()
        self.clock.after(EXIT_DELAY_S, self._end)

    def _end(self) -> None:
        self._stopping.log_end(self.clock.now())
        self._on_stopped()

    def _on_folded(self) -> None:
        version = self.context.tail.state.config.version
        if version != self._config_version:
            self._config_version = version
            self.context.metrics.config_version.set({}, version)
            log_event("configuration_in_force", version=version)

    def _update_gauges(self) -> None:
        context = self.context
        now = self.clock.now()
        groups = list(context.tail.state.groups.values())
        ready = [group for group in groups if context.group_ready(group, now)]
        context.metrics.groups.set({"ready": "yes"}, len(ready))
        context.metrics.groups.set({"ready": "no"}, len(groups) - len(ready))
        context.metrics.log_entries_behind.set({}, context.tail.entries_behind())
        ready_members = {member.instance for group in ready for member in group.members}
        deployed_services = {
            deployment.service for deployment in context.document.deployments.values()
        }
        # Accelerators of listed instances that should serve a model but are in no ready group.
        stranded = sum(
            row.accelerators
            for row in context.listed_instances.values()
            if row.service in deployed_services and row.instance not in ready_members
        )
        context.metrics.stranded_accelerators.set({}, stranded)

    def _drop_replaced_instances(self) -> None:
        """Drop measurements of instances that are no longer probed or listed."""
        context = self.context
        context.presence.drop_before(self.clock.now() - PRESENCE_RETENTION_S)
        # An empty list means that none has been read yet.
        if context.listed_instances:
            context.router.prune(set(context.listed_instances))

    def _is_planner(self) -> bool:
        return self.membership.holds_lease(self.membership.plan_scope)

    def _is_superseded(self) -> bool:
        return self.membership.superseded
