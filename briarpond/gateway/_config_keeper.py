"""The configuration in force on a node: where it comes from, and how old it may be."""

from collections.abc import Callable, Sequence

from briarpond.directory import ConfigRecord, ConfigStatus, StorePosition
from briarpond.logs import log_event, log_warning
from briarpond.net import HttpReply, HttpRequest
from briarpond.platform import CONFIG_KEY, CONFIG_TOPIC, KeyedRecord, decode_configuration
from briarpond.routes import GatewayConfiguration, RouteTable

from ._config_exchange import UNKNOWN_POSITION, ConfigExchange
from ._config_origin import ConfigOrigin
from ._evacuation import set_evacuated
from ._evacuation_orders import RESTORE_GRACE_S, EvacuationOrders
from ._state import NodeState
from ._store_client import StoreClient
from ._topic_feed import READ_WAIT_S, TopicFeed

# A node need not read the configuration if a candidate confirmed it within the last
# CONFIRMATION_LIFETIME_S, and if it was the newest at most CONFIRMED_MAX_AGE_S ago.
CONFIRMATION_LIFETIME_S = 1.5
CONFIRMED_MAX_AGE_S = 2.4
# Longest wait of a read of the configuration on a candidate for the lease, which confirms the
# configuration to the other nodes.
CANDIDATE_READ_WAIT_S = 1.0


class ConfigKeeper:
    """Puts the newest configuration into force, from the store or from other nodes.

    Candidates for the planner's lease follow the store. The others get the configuration and
    its confirmations from nodes that have them, and read the store only if these fail.

    Parameters
    ----------
    state : NodeState
        Holds the configuration in force.
    store : StoreClient
        Client of the store.
    is_candidate : callable
        Returns whether this node applies for the planner's lease.
    may_read_store : callable
        Takes the present time; returns whether a node without a configuration may read it
        from the store instead of waiting for other nodes.
    on_applied : callable
        Takes each configuration that was put into force.
    on_store_regained : callable
        Called at the first answer of the store after one or more failures, with the seconds
        since the last failure.
    on_evacuation : callable
        Called when the set of evacuated data centres has changed.
    """

    def __init__(
        self,
        state: NodeState,
        store: StoreClient,
        is_candidate: Callable[[], bool],
        may_read_store: Callable[[float], bool],
        on_applied: Callable[[GatewayConfiguration], None],
        on_store_regained: Callable[[float], None],
        on_evacuation: Callable[[], None] = lambda: None,
    ) -> None:
        self._state = state
        self._store = store
        self._clock = state.clock
        self._is_candidate = is_candidate
        self._may_read_store = may_read_store
        self._on_applied = on_applied
        self._on_evacuation = on_evacuation
        self._confirmed_at = float("-inf")
        self._newest_version = 0
        # Since when another node is known to have a newer version; None if none is.
        self._outdated_since: float | None = None
        self._position = UNKNOWN_POSITION
        self._newest_position = UNKNOWN_POSITION
        self._evacuations = EvacuationOrders()
        self._feed = TopicFeed(
            store,
            state.clock,
            CONFIG_TOPIC,
            self._on_list,
            self._on_entries,
            on_regained=on_store_regained,
            is_wanted=self._needs_store,
            wait_s=self._store_wait_s,
            reached=lambda: max(self._position, self._newest_position),
        )
        # Newer versions and positions that other nodes have announced, by host, until they are
        # asked for the record.
        self._announced: dict[str, tuple[int, StorePosition]] = {}
        self._exchange = ConfigExchange(
            state.clock,
            state.client,
            state.settings.peer_port,
            self.age,
            self._on_record,
            self._fetch_announced,
        )

    def start(self) -> None:
        """Start to follow the configuration."""
        self._feed.start()

    def age(self, now: float) -> float | None:
        """Return the seconds since the configuration in force was certainly the newest.

        None if that is not known. From the moment at which another node has announced a newer
        version it isn't the newest, whatever a store says that has come back without it.
        """
        age = self._feed.age(now)
        if age is None or self._outdated_since is None:
            return age
        return max(age, now - self._outdated_since)

    def origin(self) -> ConfigOrigin:
        """Return where the records in force come from."""
        return ConfigOrigin(self._position, self._feed.confirmed_by)

    def status(self, now: float) -> ConfigStatus | None:
        """Return version, age and position of the operator's records; None without a version."""
        config = self._state.config
        age = self.age(now)
        if config is None or age is None:
            return None
        position = None if self._position == UNKNOWN_POSITION else self._position
        return ConfigStatus(config.version, age, position)

    def answer_node(self, request: HttpRequest, reply: HttpReply) -> None:
        """Answer another node's request for the record of the configuration."""
        self._exchange.answer(request, reply)

    def on_status(self, status: ConfigStatus, newest_at: float, host: str) -> None:
        """Use what another node knows of the records that are in force here, too.

        A status with another position confirms nothing. If its position is newer, records are
        missing here; if it is older, that node may have read outdated answers of the store. And
        nothing is confirmed while a third node has announced newer records than those here.
        """
        now = self._clock.now()
        config = self._state.config
        if config is None or config.version != status.version:
            return
        if status.position is not None and status.position != self._position:
            return
        if not self._has_newest():
            return
        self._feed.confirm(newest_at, host)
        if now - newest_at < CONFIRMED_MAX_AGE_S:
            self._confirmed_at = now

    def on_version(self, version: int, host: str) -> None:
        """Fetch a configuration that another node has if it is newer than the one here."""
        self._newest_version = max(self._newest_version, version)
        self._note_outdated()
        self._on_announced(version, UNKNOWN_POSITION, host)

    def _note_outdated(self) -> None:
        config = self._state.config
        if config is None or config.version >= self._newest_version:
            self._outdated_since = None
        elif self._outdated_since is None:
            self._outdated_since = self._clock.now()

    def on_position(self, position: StorePosition, host: str) -> None:
        """Fetch the records of another node if they go further than those here."""
        self._store.note_era(position.era)
        self._newest_position = max(self._newest_position, position)
        self._on_announced(0, position, host)

    def _on_announced(self, version: int, position: StorePosition, host: str) -> None:
        if self._is_newer(version, position):
            self._exchange.expect(version, position)
            known_version, known_position = self._announced.get(host, (0, UNKNOWN_POSITION))
            self._announced[host] = (max(version, known_version), max(position, known_position))
            self._fetch_announced()

    def _has_newest(self) -> bool:
        """Whether no other node has announced newer records than those in force here."""
        return not self._is_newer(self._newest_version, self._newest_position)

    def _is_newer(self, version: int, position: StorePosition) -> bool:
        """Whether records are newer than those in force here."""
        config = self._state.config
        return config is None or config.version < version or self._position < position

    def _fetch_announced(self) -> None:
        """Fetch the newest announced records, unless a fetch is under way or none are newer."""
        if self._exchange.is_fetching:
            return
        self._announced = {
            host: newest for host, newest in self._announced.items() if self._is_newer(*newest)
        }
        if self._announced:
            host = max(self._announced, key=lambda each: self._announced[each])
            version, _ = self._announced.pop(host)
            self._exchange.fetch(version, host)

    def _needs_store(self) -> bool:
        """Whether this node must read the configuration from the store itself.

        A candidate for the lease always does. Another node does unless a candidate confirmed a
        short time ago that its configuration is the newest, or a newer one can be expected
        from another node; once its own is too old, it does not wait for other nodes.
        """
        now = self._clock.now()
        if self._is_candidate():
            return True
        config = self._state.config
        if config is None:
            return not self._exchange.may_deliver(now) and self._may_read_store(now)
        age = self.age(now)
        if age is None or age >= CONFIRMED_MAX_AGE_S:
            # Waiting longer for another node would delay changes beyond their bound.
            return True
        if self._exchange.may_deliver(now):
            return False
        confirmed = now - self._confirmed_at <= CONFIRMATION_LIFETIME_S
        return not confirmed or not self._has_newest()

    def _store_wait_s(self) -> float:
        """Return for how many seconds the store may hold back a read of the configuration.

        Candidates wait less than other nodes, because they confirm the configuration to the
        others and must have read it recently. A node whose configuration was confirmed
        recently asks the store to answer at once.
        """
        if self._is_candidate():
            return CANDIDATE_READ_WAIT_S
        is_confirmed = self._clock.now() - self._confirmed_at <= CONFIRMATION_LIFETIME_S
        return 0.0 if is_confirmed else READ_WAIT_S

    def _on_record(self, record: ConfigRecord, newest_at: float, host: str) -> None:
        """Use the records of another node, unless they are older than those here."""
        position = record.position
        is_outdated = position is not None and position < self._position
        if position is not None and position > self._position:
            self._begin_era_of(position)
            self._evacuations.replace(record.evacuated)
            self._advance(position, "node")
        self._apply(KeyedRecord(CONFIG_KEY, record.value, record.offset))
        if not is_outdated:
            # Without a position, records before that of the configuration may be missing here.
            self._feed.adopt(position, newest_at if self._has_newest() else None, host)

    def _on_list(self, entries: Sequence[KeyedRecord]) -> None:
        """Use the newest record of each key, unless the list is older than what is known."""
        end = self._feed.position
        if end < self._position:
            self._log_outdated(end)
            return
        self._begin_era_of(end)
        self._evacuations.replace_by_list(entries)
        self._advance(end, "store")
        self._apply_configurations(entries)

    def _on_entries(self, entries: Sequence[KeyedRecord]) -> None:
        """Use records that follow; those before the position are contained in it."""
        era = self._feed.era
        if StorePosition(era, entries[0].offset) > self._position:
            log_warning("feed_gap", topic=CONFIG_TOPIC, offset=self._position.offset)
            self._feed.read_whole()
            return
        newer = [entry for entry in entries if StorePosition(era, entry.offset) >= self._position]
        if newer:
            self._evacuations.apply(newer)
            self._advance(self._feed.position, "store")
            self._apply_configurations(newer)

    def _begin_era_of(self, position: StorePosition) -> None:
        """Keep the evacuations for a while if the position is the first one in a later era."""
        if position.era > self._position.era:
            self._evacuations.begin_era(self._clock.now())
            self._clock.after(RESTORE_GRACE_S, self._end_kept_evacuations)

    def _end_kept_evacuations(self) -> None:
        self._evacuations.end_kept(self._clock.now())
        self._put_evacuations_into_force("restore")

    def _advance(self, position: StorePosition, source: str) -> None:
        """Move the position on; the evacuations are already those as of it."""
        self._position = position
        self._exchange.set_position(position, self._evacuations.listed)
        self._put_evacuations_into_force(source)

    def _put_evacuations_into_force(self, source: str) -> None:
        if set_evacuated(self._state, self._evacuations.in_force, self._position, source):
            self._on_evacuation()

    def _log_outdated(self, end: StorePosition) -> None:
        log_warning(
            "operator_records_outdated",
            era=end.era,
            end=end.offset,
            known_era=self._position.era,
            position=self._position.offset,
        )

    def _apply_configurations(self, entries: Sequence[KeyedRecord]) -> None:
        for entry in entries:
            if entry.key == CONFIG_KEY and entry.value is not None:
                self._apply(entry)

    def _apply(self, entry: KeyedRecord) -> None:
        """Put a configuration into force unless it is older than the present one."""
        assert entry.value is not None
        decoded = decode_configuration(entry.value)
        if decoded.is_error():
            log_warning("config_unreadable", offset=entry.offset, error=decoded.error)
            return
        config: GatewayConfiguration = decoded.ok
        current = self._state.config
        if current is not None and config.version <= current.version:
            return
        self._state.route_table = RouteTable(config)
        self._state.metrics.config_version.set({}, config.version)
        log_event(
            "config_in_force",
            version=config.version,
            routes=len(config.routes),
            tenants=len(config.tenants),
            offset=entry.offset,
        )
        self._note_outdated()
        self._exchange.set_record(entry.offset, entry.value)
        self._on_applied(config)
