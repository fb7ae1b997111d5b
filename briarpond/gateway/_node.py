"""One node on the users' platform: connects its parts, schedules them and stops them."""

import time
from collections.abc import Callable, Sequence

from briarpond.directory import (
    Load,
    Member,
    Plan,
    PlanStatus,
    SyncCallbacks,
)
from briarpond.ids import InstanceId, NodeId, PromptPart
from briarpond.logs import log_event, log_warning
from briarpond.net import (
    Address,
    BodyBudget,
    Clock,
    Connector,
    DirectPoller,
    HttpClient,
    HttpReply,
    HttpRequest,
    HttpServer,
    HttpServerLimits,
    TcpListener,
    run_guarded,
)
from briarpond.platform import (
    INSTANCES_TOPIC,
    GatewaySettings,
    KeyedRecord,
    PlatformHeader,
    encode_addresses,
    parse_address_query,
)
from briarpond.quarantine import trial_node
from briarpond.reachability import LossKind
from briarpond.routes import GatewayConfiguration

from ._caller_bodies import body_budget_bytes, record_body_refusal
from ._candidacy import PLANNER_READ_WAIT_S, Candidacy
from ._cold_link import RECENT_NODES_S
from ._config_keeper import ConfigKeeper
from ._connection_log import record_connection_end
from ._handover import PlanningHandover
from ._hop_headers import read_hop
from ._hop_receiver import answer_hop, peer_limits
from ._ingress import Ingress
from ._instance_list import InstanceList
from ._lease import PlannerLease
from ._peers import PeerLink
from ._planner_link import PlannerRunner
from ._pressure import measure_pressure
from ._quarantine_api import QUARANTINE_PATH, answer_quarantine
from ._reach_link import ReachLink
from ._registry import NodeRegistry
from ._shutdown import STOP_CHECK_INTERVAL_S, Shutdown
from ._start_wait import start_wait_s
from ._state import NodeState
from ._stopping import Stop
from ._store_client import StoreClient
from ._topic_feed import READ_WAIT_S, TopicFeed

# Lifetime of a directory answer; the settings may bound it further.
DIRECTORY_TTL_S = 1.0
# Requests still in flight are ended this long before the process is killed.
KILL_MARGIN_S = 0.5
# Pause after a read of the instance list that returned records, on most nodes.
INSTANCES_READ_PAUSE_S = 0.5
# The same on the node that plans or holds the lease.
PLANNER_READ_PAUSE_S = 0.05
# Longest wait of a read of the instance list on a node that is taking over the planning: it
# reads often, to see everything that the previous planner has done.
TAKE_OVER_READ_WAIT_S = 0.05
# How often the number of nodes is counted and state of lost nodes and instances is dropped.
HOUSEKEEPING_INTERVAL_S = 1.0
# How often instances that are still missing after an outage of the store are looked for.
MISSING_CHECK_INTERVAL_S = 0.2
# Share of `bounds.revoke_within_s` up to which the configuration may be old on a ready node. It is
# less than KEYS_MAX_AGE_SHARE, so that callers are sent elsewhere before keys are refused.
READY_MAX_AGE_SHARE = 0.6
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"


class Node:
    """Creates and connects the parts of one node.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the node.
    clock : Clock
        Event loop with timers; the node registers its components there.
    poller : DirectPoller
        Reports which sockets are ready.
    connector : Connector
        Opens and accepts connections.
    on_stopped : callable
        Called once, when the stop is complete.

    Attributes
    ----------
    state : NodeState
        State that the parts share.
    ingress : Ingress
        Takes the requests of callers.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        poller: DirectPoller,
        connector: Connector,
        on_stopped: Callable[[], None],
    ) -> None:
        client = HttpClient(connector, clock)
        self.state = NodeState(settings, clock, client)
        self._settings = settings
        self._clock = clock
        self._on_stopped = on_stopped
        self._started_at = clock.now()
        self._store = StoreClient(
            settings.store.address, client, self._on_store_restored, clock.now
        )
        self._config = ConfigKeeper(
            self.state,
            self._store,
            lambda: self._lease.is_candidate(clock.now()),
            self._may_read_store,
            self._on_config_applied,
            self._on_store_regained,
            self._on_evacuation,
        )
        self._instances = InstanceList(self.state.fleet)
        self._instances_feed = TopicFeed(
            self._store,
            clock,
            INSTANCES_TOPIC,
            self._on_instances_snapshot,
            self._on_instances,
            self._instances_pause_s,
            self._on_store_regained,
            self._needs_instance_list,
            self._instances_wait_s,
        )
        self.state.list_known_until = lambda: self._instances_feed.known_until
        self.state.config_origin = self._config.origin
        peer_address = Address(settings.host, settings.peer_port)
        self._peers = PeerLink(
            clock,
            poller,
            peer_address,
            self._own_member(),
            self._callbacks(),
            self._describe,
            settings.first_start,
        )
        clock += self._peers
        sync = self._peers.sync
        self.state.hops.members = sync.members.live
        self._registry = NodeRegistry(
            self._store,
            clock,
            settings,
            sync.add_contacts,
            lambda: sync.is_connected(clock.now()),
            lambda: self._lease.is_candidate(clock.now()),
        )
        candidacy = Candidacy(self.state, sync, self._store, self._instances_feed)
        self._lease = PlannerLease(
            self._store,
            clock,
            settings.node,
            settings.store.min_lease_ttl_s,
            candidacy.should_apply,
            candidacy.is_prepared,
            lambda: candidacy.is_superseded(self._lease.term),
            candidacy.highest_used_term,
        )
        self._planner = PlannerRunner(
            self.state, self._lease, self._peers, lambda: self._instances_feed.known_until
        )
        self.ingress = Ingress(self.state, self._config.age, self._on_stalled)
        handover = PlanningHandover(
            clock, self.state.reachability, self._lease, self._planner, self._peers
        )
        self._reach = ReachLink(self.state, self.ingress.open_sends, handover.on_reach_changed)
        quarantine_link = self.state.quarantine_link
        quarantine_link.is_trial_node = self._is_trial_node
        quarantine_link.announce = lambda evidence: self._peers.announce(evidence=evidence)
        self._body_budget = BodyBudget(body_budget_bytes(settings))
        self._caller_endpoint = self._make_server(self.ingress.handle)
        self._listeners = [
            TcpListener(
                settings.caller_address, clock, poller, connector, self._caller_endpoint.accept
            )
        ]
        self._peer_endpoint = self._make_server(self._answer_internal)
        auxiliary_endpoints = {
            settings.readiness_address: self._make_server(self._answer_auxiliary),
            peer_address: self._peer_endpoint,
        }
        if settings.directory_address is not None:
            auxiliary_endpoints.setdefault(
                settings.directory_address, self._make_server(self._answer_auxiliary)
            )
        for address, endpoint in auxiliary_endpoints.items():
            self._listeners.append(TcpListener(address, clock, poller, connector, endpoint.accept))
        self._servers = [self._caller_endpoint, *auxiliary_endpoints.values()]
        for listener in self._listeners:
            clock += listener

    @property
    def ready(self) -> bool:
        """Whether callers should connect to this node.

        It has a configuration, is not stopping, and, where keys are checked, its
        configuration was confirmed to be the newest a short time ago.
        """
        config = self.state.config
        if config is None or self.state.leaving:
            return False
        age = self._config.age(self._clock.now())
        max_age_s = self._settings.bounds.revoke_within_s * READY_MAX_AGE_SHARE
        return not config.requires_keys or (age is not None and age < max_age_s)

    def start(self) -> None:
        """Start all parts and the periodic tasks."""
        self._config.start()
        self._instances_feed.start()
        self._registry.start()
        self._peers.start()
        self._lease.start()
        self._planner.start()
        self.ingress.start()
        self._reach.start()
        self._clock.every(MISSING_CHECK_INTERVAL_S, self._expire_missing_instances)
        self._clock.every(HOUSEKEEPING_INTERVAL_S, self._run_housekeeping)

    def reload(self, settings: GatewaySettings) -> None:
        """Use changed settings; changed addresses take effect only at the next start."""
        self._settings = settings
        self.state.settings = settings
        self._body_budget.limit = body_budget_bytes(settings)

    def begin_stop(self, told_at: float) -> None:
        """Leave the directory at once, keep serving for a while, then stop, see `Shutdown`.

        Meanwhile only requests are taken that can be answered before the process is killed.

        Parameters
        ----------
        told_at : float
            Time of the signal, from which the platform counts until it kills the process.
        """
        if self.ingress.stop is not None:
            return
        ends_at = told_at + self._settings.bounds.stop_timeout_s - KILL_MARGIN_S
        stop = self.ingress.stop = Stop(told_at, ends_at)
        self.ingress.others_are_ready = lambda: self._peers.sync.members.others_are_ready(
            self._clock.now()
        )
        self.state.leaving = True
        shutdown = Shutdown(stop, self.ingress, self._servers, self._on_stopped)
        shutdown.begin()
        self._lease.stop()
        self._registry.leave()
        self._peers.announce()
        self._clock.every(STOP_CHECK_INTERVAL_S, lambda: shutdown.step(self._clock.now()))

    def _make_server(self, handle: Callable[[HttpRequest, HttpReply], None]) -> HttpServer:
        """Return a server whose connections are logged if their close gives something up."""
        return HttpServer(
            self._clock,
            handle,
            identify=lambda request: request.header(PlatformHeader.REQUEST_ID),
            on_end=lambda end: record_connection_end(self.state.metrics, end),
            budget=self._body_budget,
            on_body_refused=lambda refusal: record_body_refusal(self.state.metrics, refusal),
        )

    # Configuration

    def _on_config_applied(self, config: GatewayConfiguration) -> None:
        limits = config.limits
        self._caller_endpoint.limits = HttpServerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )
        self._peer_endpoint.limits = peer_limits(self._caller_endpoint.limits)
        self._announce_config()

    def _on_evacuation(self) -> None:
        """Decide anew what the change of the evacuated data centres bears on, here and elsewhere.

        Neither step may keep the set from being put into force or passed on.
        """
        run_guarded("held_requests", self.ingress.retry_held)
        if self._planner.planning:
            run_guarded("planner", self._planner.step)
        run_guarded("announcement", self._announce_config)

    def _announce_config(self) -> None:
        """Tell other nodes of newer records of the operator, if this node passes them on."""
        now = self._clock.now()
        if self._lease.is_candidate(now) or self._peers.sync.members.is_relay(now):
            self._peers.announce()

    def _may_read_store(self, now: float) -> bool:
        """Whether the time is over in which this node waits for what other nodes know."""
        return now - self._started_at >= self._start_wait_s(now)

    # Instances

    def _on_instances_snapshot(self, entries: Sequence[KeyedRecord]) -> None:
        self._instances.replace_all(entries, self._clock.now())
        run_guarded("held_requests", self.ingress.retry_held)

    def _on_instances(self, entries: Sequence[KeyedRecord]) -> None:
        self._instances.apply_changes(entries, self._clock.now())
        # Neither may keep the reader of the list from what it does next.
        if self._planner.planning:
            run_guarded("planner", self._planner.step)
        run_guarded("held_requests", self.ingress.retry_held)

    def _needs_instance_list(self) -> bool:
        """Whether this node follows the instance list itself instead of the planner's targets."""
        now = self._clock.now()
        if self._planner.planning or self._lease.holds(now) or self._lease.is_preparing:
            return True
        if self.state.plan is None and not self._may_read_store(now):
            return False
        return self.state.needs_instance_list(now)

    def _start_wait_s(self, now: float) -> float:
        sync = self._peers.sync
        return start_wait_s(
            sync.members.count_nodes(now),
            sync.is_connected(now),
            self._settings.first_start,
            bool(self._settings.seed_hosts),
        )

    def _instances_pause_s(self) -> float:
        is_planner = self._planner.planning or self._lease.holds(self._clock.now())
        return PLANNER_READ_PAUSE_S if is_planner else INSTANCES_READ_PAUSE_S

    def _instances_wait_s(self) -> float:
        if self._planner.taking_over:
            return TAKE_OVER_READ_WAIT_S
        follows_closely = self._planner.planning or self._lease.is_preparing
        return PLANNER_READ_WAIT_S if follows_closely else READ_WAIT_S

    def _on_store_regained(self, failure_age_s: float) -> None:
        self.state.on_store_regained(failure_age_s, self._clock.now())

    def _on_store_restored(self) -> None:
        """Wait for what servers write again, and write again what this node has written."""
        self.state.on_store_restored(self._clock.now())
        self._registry.on_store_restored()

    # Nodes

    def _own_member(self) -> Member:
        """Return the description of this node at its start."""
        settings = self._settings
        # The start time makes a restarted process a later incarnation.
        incarnation = int(time.time() * 1000)
        return Member(
            settings.node,
            incarnation,
            0,
            settings.caller_address,
            settings.data_centre,
            False,
            False,
        )

    def _describe(self) -> dict[str, bool]:
        """Return the fields of this node's description that change while it runs."""
        return {
            "ready": self.ready,
            "leaving": self.state.leaving,
            "candidate": self._lease.is_candidate(self._clock.now()),
            "planning": self._planner.planning,
            "cut_off": self.state.reachability.is_cut_off(self._clock.now()),
        }

    def _callbacks(self) -> SyncCallbacks:
        return SyncCallbacks(
            own_load=self.state.own_load,
            plan_status=self._plan_status,
            config_status=self._config.status,
            on_plan=self._on_plan_status,
            on_config=self._config.on_status,
            on_config_version=self._config.on_version,
            on_load=self._on_load,
            on_stalled=self._on_stalled_elsewhere,
            on_members=self._on_members,
            evidence=self.state.quarantine.evidence,
            on_evidence=self.state.quarantine.merge,
            on_pause=self.state.quarantine.on_pause,
            on_config_position=self._config.on_position,
        )

    def _plan_status(self, now: float) -> PlanStatus | None:
        state = self.state
        if self._planner.publishes(now):
            version = self._peers.sync.plan_log.version
            return PlanStatus(version, 0.0, self._planner.list_age(now), self._settings.node)
        if state.plan is None or state.planner is None:
            return None
        age_s, list_age_s = state.plan_age(now), state.plan_list_age(now)
        return PlanStatus(state.targets_version, age_s, list_age_s, state.planner)

    def _on_plan_status(self, status: PlanStatus, at: float) -> None:
        """Put the plan of another node into force, or confirm it if it is known here."""
        state = self.state
        if status.planner == self._settings.node:
            return
        plan_log = self._peers.sync.plan_log
        has_rows = plan_log.version == status.version
        is_new = has_rows and state.targets_version != status.version
        targets = plan_log.targets if is_new else None
        plan = Plan(status.version.term, status.version.sequence, True, targets)
        state.planner_heard(at - status.age_s)
        state.planner = status.planner
        state.accept_plan(plan, at - status.age_s, at - status.list_age_s)
        if is_new:
            self.ingress.retry_held()

    def _on_load(self, source: str, load: Load) -> None:
        self.state.set_peer_load(source, load)
        measure_pressure(self.state, self.state.clock.now())

    def _on_members(self, appeared: list[NodeId], gone: list[NodeId]) -> None:
        for node in appeared:
            log_event("node_appeared", node=node)
        for node in gone:
            log_warning("node_gone", node=node)

    def _is_trial_node(self, part: PromptPart, now: float) -> bool:
        """Whether this node is the one that tries a part after its quarantine."""
        members = self._peers.sync.members
        ready = [member.node for member in members.live(now) if member.ready]
        return trial_node(part, [*ready, self._settings.node]) == self._settings.node

    def _on_stalled(self, server: InstanceId) -> None:
        """Tell other nodes of a stalled server; on the planner, also probe its group."""
        if self._planner.planning:
            self._planner.probe_group_of(server)
        self.state.hold_loss(
            server, LossKind.STALL, lambda: self._peers.announce(stalled=(server,))
        )

    def _on_stalled_elsewhere(self, servers: tuple[InstanceId, ...]) -> None:
        now = self._clock.now()
        for server in servers:
            self.state.avoid(server, now)
            self._planner.probe_group_of(server)

    # Directory, readiness and metrics

    def _answer_internal(self, request: HttpRequest, reply: HttpReply) -> None:
        """Answer a request from inside the deployment, of another node or of an operator."""
        hop = read_hop(request)
        if hop is not None:
            answer_hop(self.state, self.ingress, self.ready, request, reply, hop)
        elif request.target.startswith(QUARANTINE_PATH):
            answer_quarantine(self.state.quarantine, request, reply, self._clock.now())
        else:
            self._config.answer_node(request, reply)

    def _answer_auxiliary(self, request: HttpRequest, reply: HttpReply) -> None:
        """Answer a request for readiness, metrics or the addresses of nodes."""
        path = request.target.split("?", 1)[0]
        if path == READY_PATH:
            reply.send_whole(200 if self.ready else 503, (), b"")
            return
        if path == METRICS_PATH:
            body, headers = self.state.metrics.render(request.header("accept"))
            reply.send_whole(200, tuple(headers.items()), body)
            return
        query = parse_address_query(request.target)
        if query is None:
            reply.send_whole(404, (), b"")
            return
        now = self._clock.now()
        addresses = self._peers.sync.members.addresses(query.data_centre, self.state.rng, now)
        if not addresses:
            reply.send_whole(503, (), b"")
            return
        ttl = min(DIRECTORY_TTL_S, self._settings.bounds.directory_ttl_max_s)
        content_type = (("Content-Type", "application/json"),)
        reply.send_whole(200, content_type, encode_addresses(addresses, ttl))

    def _expire_missing_instances(self) -> None:
        self.state.fleet.expire_missing(self._clock.now())

    def _run_housekeeping(self) -> None:
        state = self.state
        now = self._clock.now()
        members = self._peers.sync.members
        state.update_nodes(members.recently_live(0.0, now), now)
        state.cold_link.update_nodes(members.recently_live(RECENT_NODES_S, now), now)
        state.cold_sends(now)
        state.publish_retry_usage(now)
        state.metrics.body_bytes.set({}, self._body_budget.used)
        listed = {listed_instance.id for listed_instance in state.fleet.all_instances()}
        state.load_tracker.prune(listed)
        heads = {target.head for target in state.groups(now)}
        state.group_preferences.prune(heads)
        state.step_paces.prune(heads)
