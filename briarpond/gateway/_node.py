"""One node on the users' platform: its parts, their schedule and the stop."""

import math
from collections.abc import Callable, Sequence

from briarpond.directory import Beat, Echo, ServerRow
from briarpond.ids import InstanceId
from briarpond.logs import log_event, log_warning
from briarpond.net import (
    Address,
    Clock,
    Connector,
    DirectPoller,
    FaceLimits,
    HttpClient,
    HttpFace,
    HttpReply,
    HttpRequest,
    TcpListener,
)
from briarpond.platform import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    INSTANCES_TOPIC,
    Entry,
    GatewaySettings,
    decode_configuration,
    decode_instance,
    encode_addresses,
    parse_address_query,
)
from briarpond.routes import Configuration, RouteTable

from ._ingress import Ingress
from ._lease import CANDIDATES, Lease
from ._peers import PeerLink
from ._planner_link import PlannerLink
from ._registry import NodeRegistry
from ._state import NodeState
from ._store_link import WAIT_S, Feed, StoreLink

DIRECTORY_TTL_S = 1.0
# Callers keep an answer of the directory up to three times its lifetime.
SERVE_ON_S = 3.2
# Before the process is killed, what is still under way is ended.
LAST_WORD_S = 0.5
INSTANCES_PACE_S = 0.5
PLANNER_PACE_S = 0.05
# A node that is about to plan reads the list often, to see all that was done before.
TAKE_OVER_WAIT_S = 0.05
# A record at the end of a wait confirms the time when the read was sent; the next wait
# must end before the plan counts as old.
PLANNER_WAIT_S = 0.5
# A store that did not answer is asked again sooner than this, while it is needed.
STORE_WATCHED_S = 2.0
HOUSEKEEPING_S = 1.0
SETTLE_S = 0.2
STOP_EVERY_S = 0.05
# Callers are sent elsewhere before the node has to refuse their keys.
READY_FRESH_SHARE = 0.6
# A node that was told so lately that its configuration is the newest does not read it.
ECHO_S = 1.5
CONFIRMED_S = 2.4
TELLER_WAIT_S = 1.0
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"


class Node:
    """The parts of one node, put together.

    Parameters
    ----------
    on_stopped : callable
        Called once when the node has nothing left to do.
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
        self._stop_at: float | None = None
        self._echo_at = float("-inf")
        self._newest_config = 0
        self._store = StoreLink(settings.store.address, client)
        self._config_feed = self._make_config_feed()
        self._instances_feed = Feed(
            self._store,
            clock,
            INSTANCES_TOPIC,
            self._on_instances_snapshot,
            self._on_instances,
            self._instances_pace,
            self._on_store_regained,
            self._needs_list,
            self._instances_wait_s,
        )
        self.state.list_known_at = lambda: self._instances_feed.fresh_at
        peer_address = Address(settings.host, settings.peer_port)
        self._peers = PeerLink(
            clock,
            poller,
            peer_address,
            settings.node,
            self._beat,
            self._on_beat,
            self._make_echo,
            self._on_echo,
        )
        clock += self._peers
        self._registry = NodeRegistry(self._store, clock, settings, self._peers.set_nodes)
        self._lease = Lease(
            self._store,
            clock,
            settings.node,
            settings.store.lease_ttl_min_s,
            lambda: self._peers.book.should_apply(CANDIDATES, clock.now()),
        )
        self._planner = PlannerLink(
            self.state, self._lease, self._peers, lambda: self._instances_feed.fresh_at
        )
        self._stalled: dict[InstanceId, float] = {}
        self.ingress = Ingress(self.state, self._config_feed.age, self._on_stalled)
        self._face = HttpFace(clock, self.ingress.handle)
        self._listeners = [
            TcpListener(settings.callers, clock, poller, connector, self._face.accept)
        ]
        side_faces = {settings.readiness: HttpFace(clock, self._answer_side)}
        if settings.directory is not None:
            side_faces.setdefault(settings.directory, HttpFace(clock, self._answer_side))
        for address, face in side_faces.items():
            self._listeners.append(TcpListener(address, clock, poller, connector, face.accept))
        for listener in self._listeners:
            clock += listener

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here: with keys to check, not on old knowledge."""
        config = self.state.config
        if config is None or self.state.leaving:
            return False
        age = self._config_feed.age(self._clock.now())
        fresh_s = self._settings.bounds.revoke_s * READY_FRESH_SHARE
        return not config.asks_keys or (age is not None and age < fresh_s)

    def start(self) -> None:
        """Schedule everything."""
        self._config_feed.start()
        self._instances_feed.start()
        self._registry.start()
        self._peers.start()
        self._lease.start()
        self._planner.start()
        self.ingress.start()
        self._clock.every(SETTLE_S, self._settle)
        self._clock.every(HOUSEKEEPING_S, self._housekeep)

    def reload(self, settings: GatewaySettings) -> None:
        """Take settings that changed; addresses are bound until the next start."""
        self._settings = settings
        self.state.settings = settings

    def begin_stop(self) -> None:
        """Leave the directory at once, serve on for a while, then end."""
        if self._stop_at is not None:
            return
        now = self._clock.now()
        self._stop_at = now
        self.state.leaving = True
        log_event("stop_begins", in_flight=self.ingress.in_flight)
        self._lease.stop()
        self._registry.leave()
        self._peers.send_now()
        self._face.closing = True
        self._clock.every(STOP_EVERY_S, self._drive_stop)

    # Stop

    def _drive_stop(self) -> None:
        assert self._stop_at is not None
        elapsed = self._clock.now() - self._stop_at
        if elapsed < SERVE_ON_S:
            return
        self.ingress.refusing = True
        self._face.close_idle()
        over = elapsed > self._settings.bounds.stop_s - LAST_WORD_S
        if over:
            self.ingress.give_up_all()
        if self.ingress.in_flight == 0 or over:
            self._on_stopped()

    # Configuration

    def _make_config_feed(self) -> Feed:
        return Feed(
            self._store,
            self._clock,
            CONFIG_TOPIC,
            self._on_config,
            self._on_config,
            on_regained=self._on_store_regained,
            wanted=self._needs_config,
            wait_s=self._config_wait_s,
        )

    def _needs_config(self) -> bool:
        """Whether this node reads the configuration itself, and is not told of it in time."""
        now = self._clock.now()
        config = self.state.config
        age = self._config_feed.age(now)
        told = now - self._echo_at <= ECHO_S and age is not None and age < CONFIRMED_S
        newest = config is not None and config.version >= self._newest_config
        return self._lease.is_candidate(now) or not (told and newest)

    def _config_wait_s(self) -> float:
        """Return how long a read waits: those who tell others must know it often."""
        now = self._clock.now()
        if self._lease.is_candidate(now):
            return TELLER_WAIT_S
        return 0.0 if now - self._echo_at <= ECHO_S else WAIT_S

    def _make_echo(self, beat: Beat) -> Echo | None:
        """Tell a node how new its configuration is, if this node knows."""
        now = self._clock.now()
        config = self.state.config
        age = self._config_feed.age(now)
        if config is None or age is None or beat.candidate or not beat.clock_ms:
            return None
        if not self._lease.is_candidate(now):
            return None
        return Echo(beat.clock_ms, config.version, math.ceil(age * 1000))

    def _on_echo(self, echo: Echo) -> None:
        self._newest_config = max(self._newest_config, echo.config_version)
        config = self.state.config
        if config is not None and config.version == echo.config_version:
            self._echo_at = self._clock.now()
            self._config_feed.confirm((echo.clock_ms - echo.age_ms) / 1000)

    def _on_config(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.key == CONFIG_KEY and entry.value is not None:
                self._take_config(entry)

    def _take_config(self, entry: Entry) -> None:
        assert entry.value is not None
        decoded = decode_configuration(entry.value)
        if decoded.is_error():
            log_warning("config_unreadable", offset=entry.offset, error=decoded.error)
            return
        config: Configuration = decoded.ok
        known = self.state.config
        if known is not None and config.version <= known.version:
            return
        self.state.table = RouteTable(config)
        limits = config.limits
        self._face.limits = FaceLimits(
            limits.header_bytes, limits.body_bytes, limits.header_s, limits.idle_s
        )
        self.state.metrics.config_version.set({}, config.version)
        log_event(
            "config_in_force",
            version=config.version,
            routes=len(config.routes),
            tenants=len(config.tenants),
            offset=entry.offset,
        )
        if self._lease.is_candidate(self._clock.now()):
            self._peers.send_now()

    # Instances

    def _on_instances_snapshot(self, entries: Sequence[Entry]) -> None:
        now = self._clock.now()
        instances = []
        for entry in entries:
            if entry.value is None:
                continue
            decoded = decode_instance(entry.key, entry.value)
            if decoded.is_ok():
                instances.append(decoded.ok)
            else:
                log_warning("instance_unreadable", key=entry.key, error=decoded.error)
        self.state.fleet.replace_all(instances, now)
        log_event("instances_read", count=len(instances))
        self.ingress.wake()

    def _on_instances(self, entries: Sequence[Entry]) -> None:
        now = self._clock.now()
        for entry in entries:
            self._take_instance(entry, now)
        if self._planner.planning:
            self._planner.step()
        self.ingress.wake()

    def _take_instance(self, entry: Entry, now: float) -> None:
        fleet = self.state.fleet
        instance = InstanceId(entry.key)
        if entry.value is None:
            fleet.remove(instance, now)
            log_event("instance_removed", instance=instance, offset=entry.offset)
            return
        decoded = decode_instance(entry.key, entry.value)
        if decoded.is_error():
            log_warning("instance_unreadable", key=entry.key, error=decoded.error)
            return
        known = fleet.get(instance)
        fleet.put(decoded.ok, now)
        if known is None or known.state is not decoded.ok.state:
            log_event(
                "instance",
                instance=instance,
                state=decoded.ok.state.value,
                domain=decoded.ok.domain,
                offset=entry.offset,
            )

    def _needs_list(self) -> bool:
        """Whether this node follows the list, instead of being told by the planner."""
        now = self._clock.now()
        return self._planner.planning or self._lease.holds(now) or self.state.needs_list(now)

    def _instances_pace(self) -> float:
        plans = self._planner.planning or self._lease.holds(self._clock.now())
        return PLANNER_PACE_S if plans else INSTANCES_PACE_S

    def _instances_wait_s(self) -> float:
        if self._planner.taking_over:
            return TAKE_OVER_WAIT_S
        return PLANNER_WAIT_S if self._planner.planning else WAIT_S

    def _on_store_regained(self, unwatched_s: float) -> None:
        watched = unwatched_s <= STORE_WATCHED_S
        self.state.fleet.outage_ended(self._clock.now(), watched)

    # Nodes

    def _presence(self) -> Beat:
        """Return what look-ups of addresses need to know of this node."""
        settings = self._settings
        return Beat(
            node=settings.node,
            callers=settings.callers,
            data_centre=settings.data_centre,
            ready=self.ready,
            leaving=self.state.leaving,
        )

    def _beat(self) -> Beat:
        """Return the heartbeat that is about to be sent."""
        state = self.state
        now = self._clock.now()
        plan = self._planner.plan(now)
        self._planner.note_sent(now)
        return Beat(
            node=self._settings.node,
            callers=self._settings.callers,
            data_centre=self._settings.data_centre,
            ready=self.ready,
            leaving=state.leaving,
            servers=tuple(ServerRow(*row) for row in state.loads.own_rows()),
            demand=state.demand(now),
            stalled=tuple(self._stalled),
            plan=plan,
            candidate=self._lease.is_candidate(now),
            clock_ms=int(now * 1000),
            config_version=0 if state.config is None else state.config.version,
        )

    def _on_beat(self, beat: Beat) -> None:
        self._newest_config = max(self._newest_config, beat.config_version)
        self.state.take_beat(beat, self._clock.now())
        for server in beat.stalled:
            self._planner.check(server)
        if beat.plan is not None:
            self.ingress.wake()

    def _on_stalled(self, server: InstanceId) -> None:
        self._stalled[server] = self._clock.now()
        if self._planner.planning:
            self._planner.check(server)
        self._peers.send_now()
        self._stalled.pop(server, None)

    # Directory, readiness and metrics

    def _answer_side(self, request: HttpRequest, reply: HttpReply) -> None:
        path = request.target.split("?", 1)[0]
        if path == READY_PATH:
            reply.whole(200 if self.ready else 503, (), b"")
            return
        if path == METRICS_PATH:
            body, headers = self.state.metrics.render(request.header("accept"))
            reply.whole(200, tuple(headers.items()), body)
            return
        query = parse_address_query(request.target)
        if query is None:
            reply.whole(404, (), b"")
            return
        now = self._clock.now()
        own = self._presence()
        addresses = self._peers.book.addresses(own, query.data_centre, self.state.rng, now)
        if not addresses:
            reply.whole(503, (), b"")
            return
        ttl = min(DIRECTORY_TTL_S, self._settings.bounds.directory_ttl_max_s)
        content = (("Content-Type", "application/json"),)
        reply.whole(200, content, encode_addresses(addresses, ttl))

    def _settle(self) -> None:
        self.state.fleet.settle(self._clock.now())

    def _housekeep(self) -> None:
        state = self.state
        now = self._clock.now()
        state.nodes = self._peers.book.count(now)
        self._peers.book.forget(now)
        state.loads.forget({row.id for row in state.fleet.all()})
