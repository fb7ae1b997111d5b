"""Exchange of state between nodes: whom a node asks, what it answers and what it learns.

Each node pulls from the relays of its data centre in turn. The relays pull from each other,
from the relays of the other data centres, and from the planner. So the traffic of a node that
is not a relay does not depend on the number of nodes, and that between data centres depends
only on the number of data centres. What cannot wait goes out as a notice, which relays pass
on to the nodes of their data centre.

Nothing here has a socket or a clock; the functions return the datagrams to send.
"""

import random
from collections.abc import Callable, Iterable

import msgspec

from briarpond.ids import InstanceId, NodeId
from briarpond.routes import ModelName

from ._members import MemberTable, hosts_of
from ._models import (
    Answer,
    ConfigStatus,
    Load,
    Member,
    ModelDemand,
    Notice,
    PlanDelta,
    PlanStatus,
    Pull,
    ServerInFlight,
)
from ._plan_log import PlanLog
from ._timing import (
    ANSWER_TIMEOUT_S,
    HEAR_INTERVAL_S,
    LOAD_LIFETIME_S,
    MISSES_UNTIL_SUSPECT,
    PROBE_AFTER_S,
    RELAY_INTERVAL_S,
    SETTLING_S,
    SUSPECT_DURATION_S,
)

# Most members in one answer; the rest follows with the next.
MAX_MEMBERS_PER_ANSWER = 60
# Most nodes of its data centre that a node asks in turn if none has answered.
MAX_CANDIDATES_ASKED = 16
# An answer to a pull that is older than this is ignored.
MAX_ANSWER_AGE_S = 1.0
# A node that has met no new node for this long has met all that are there.
QUIET_S = 0.5
# After a restart a node waits no longer than this for more nodes to appear: callers are there.
RESTART_SETTLING_S = 1.0
# Interval of the pulls of a node that knows no other one.
SEARCH_INTERVAL_S = 0.25


class Outgoing(msgspec.Struct, frozen=True):
    """A datagram to send.

    Attributes
    ----------
    host : str
        Host of the receiver.
    message : Pull, Answer or Notice
        The content.
    """

    host: str
    message: Pull | Answer | Notice


class SyncCallbacks(msgspec.Struct, frozen=True):
    """What the exchange asks of the rest of the node, and tells it.

    Attributes
    ----------
    own_load : callable
        Takes the present time; returns this node's requests in flight and demand.
    plan_status : callable
        Takes the present time; returns the status of the plan, None without one.
    config_status : callable
        Takes the present time; returns the status of the configuration, None without one.
    on_plan : callable
        Takes the status of the plan as another node stated it, and the time at which it
        was true. Called after new rows of the plan were applied, too.
    on_config : callable
        Takes the status of another node's configuration and the time at which it was true.
    on_config_version : callable
        Takes the version of another node's configuration, and the host of that node.
    on_load : callable
        Takes the name of a source and the load that it reported, which replaces the
        previous one of the same source; an empty load means that it is outdated.
    on_stalled : callable
        Takes the backend servers that another node found stalled.
    on_members : callable
        Takes the names of nodes that have appeared, and of those that are gone.
    """

    own_load: Callable[[float], Load]
    plan_status: Callable[[float], PlanStatus | None]
    config_status: Callable[[float], ConfigStatus | None]
    on_plan: Callable[[PlanStatus, float], None]
    on_config: Callable[[ConfigStatus, float], None]
    on_config_version: Callable[[int, str], None]
    on_load: Callable[[str, Load], None]
    on_stalled: Callable[[tuple[InstanceId, ...]], None]
    on_members: Callable[[list[NodeId], list[NodeId]], None]


class _Cursor(msgspec.Struct):
    table: int = 0
    position: int = 0


class _PendingPull(msgspec.Struct):
    clock_ms: int
    sent_at: float
    load: Load


# Name of the source under which a node that is no relay keeps what its relays report.
RELAY_SOURCE = "relays"


class PeerSync:
    """State of the exchange with the other nodes.

    Parameters
    ----------
    own : Member
        Description of this node.
    callbacks : SyncCallbacks
        Connection to the rest of the node.
    rng : random.Random
        Chooses among relays of other data centres.
    now : float
        Present time.
    is_first_start : bool
        Whether the whole system starts for the first time.

    Attributes
    ----------
    members : MemberTable
        The nodes as this one knows them.
    plan_log : PlanLog
        Rows of the newest known plan.
    """

    def __init__(
        self,
        own: Member,
        callbacks: SyncCallbacks,
        rng: random.Random,
        now: float,
        is_first_start: bool = False,
    ) -> None:
        self.members = MemberTable(own)
        self.plan_log = PlanLog()
        self._callbacks = callbacks
        self._rng = rng
        self._started_at = now
        self._is_first_start = is_first_start
        self._contacts: list[str] = []
        self._cursors: dict[str, _Cursor] = {}
        self._pending: dict[str, _PendingPull] = {}
        self._pulled_at: dict[str, float] = {}
        self._misses: dict[str, int] = {}
        self._loads: dict[str, tuple[Load, float]] = {}
        self._appeared_at = now
        self._last_answer_at = float("-inf")
        self._last_near_answer_at = float("-inf")

    # Whom to ask

    def add_contacts(self, hosts: Iterable[str]) -> None:
        """Add hosts at which other nodes may be found."""
        own_host = self.members.own.caller_address.host
        new = [host for host in hosts if host not in self._contacts and host != own_host]
        self._contacts += new

    def is_connected(self, now: float) -> bool:
        """Whether another node has answered lately."""
        return now - self._last_answer_at <= SETTLING_S

    def is_settled(self, now: float) -> bool:
        """Whether this node has had time to learn of the others, and no more have appeared."""
        longest_s = SETTLING_S if self._is_first_start else RESTART_SETTLING_S
        return now - self._appeared_at >= QUIET_S or now - self._started_at >= longest_s

    def next_pull(self, now: float) -> tuple[Outgoing | None, float]:
        """Return the pull that is due, and the seconds until the next one is.

        The partner that was not asked for longest is the next.
        """
        self._count_misses(now)
        partners, cycle_s = self._partners(now)
        if not partners:
            return None, SEARCH_INTERVAL_S
        host = min(partners, key=lambda host: self._pulled_at.get(host, 0.0))
        return self._pull(host, now), cycle_s / len(partners)

    def _partners(self, now: float) -> tuple[list[str], float]:
        """Return the hosts to pull from, and the time in which all are to be asked once."""
        own = self.members.own
        is_relay = self.members.is_relay(now)
        hosts = hosts_of(self.members.relays(own.data_centre, now))
        hosts += self._further_candidates(now)
        if is_relay:
            hosts += self._remote_relays(now)
            hosts += self._sources(now)
        elif own.candidate:
            hosts += self._planner_host(now)
        if now - self._started_at < SETTLING_S or not self.is_connected(now):
            hosts += self._contact_sample(now)
        hosts = list(dict.fromkeys(host for host in hosts if host != own.caller_address.host))
        return hosts, RELAY_INTERVAL_S if is_relay else HEAR_INTERVAL_S

    def _further_candidates(self, now: float) -> list[str]:
        """Return more nodes of the data centre the longer none of them has answered.

        So a node finds the live ones quickly when many have died at once.
        """
        intervals = (now - self._last_near_answer_at) / HEAR_INTERVAL_S
        if intervals <= 1.0:
            return []
        count = min(MAX_CANDIDATES_ASKED, 2 ** int(min(intervals, 10.0)))
        own = self.members.own
        return hosts_of(self.members.relay_candidates(own.data_centre, count, now))

    def _remote_relays(self, now: float) -> list[str]:
        chosen = []
        for data_centre in sorted(self.members.data_centres()):
            if data_centre == self.members.own.data_centre:
                continue
            hosts = hosts_of(self.members.relays(data_centre, now))
            if not hosts:
                # Nobody vouches for this data centre any more; ask any node of it.
                hosts = self.members.known_hosts(data_centre)
            if hosts:
                chosen.append(self._rng.choice(hosts))
        return chosen

    def _sources(self, now: float) -> list[str]:
        """Return the planner and one candidate, which read the store."""
        candidates = hosts_of(self.members.candidates(now))
        planner = self._planner_host(now)
        others = [host for host in candidates if host not in planner]
        return planner + ([self._rng.choice(others)] if others else [])

    def _planner_host(self, now: float) -> list[str]:
        status = self._callbacks.plan_status(now)
        if status is None or not self.members.is_live(status.planner, now):
            return []
        host = self.members.host(status.planner)
        return [] if host is None else [host]

    def _contact_sample(self, now: float) -> list[str]:
        usable = [host for host in self._contacts if not self.members.is_suspected(host, now)]
        return self._rng.sample(usable, min(3, len(usable)))

    def _count_misses(self, now: float) -> None:
        for host, pending in list(self._pending.items()):
            if now - pending.sent_at > ANSWER_TIMEOUT_S:
                del self._pending[host]
                misses = self._misses[host] = self._misses.get(host, 0) + 1
                # A node that hears none of its partners looks for others at once.
                is_isolated = now - self._last_near_answer_at > HEAR_INTERVAL_S
                if is_isolated or misses >= MISSES_UNTIL_SUSPECT:
                    self.members.suspect(host, now + SUSPECT_DURATION_S)

    def _pull(self, host: str, now: float) -> Outgoing:
        cursor = self._cursors.get(host) or _Cursor()
        config = self._callbacks.config_status(now)
        load = self._callbacks.own_load(now)
        clock_ms = int(now * 1000)
        self._pulled_at[host] = now
        self._pending[host] = _PendingPull(clock_ms, now, load)
        pull = Pull(
            self.members.own,
            clock_ms,
            cursor.table,
            cursor.position,
            self.plan_log.version,
            0 if config is None else config.version,
            load,
        )
        return Outgoing(host, pull)

    # What to answer

    def on_pull(self, pull: Pull, now: float) -> list[Outgoing]:
        """Take over the sender's state and return the answer."""
        sender = pull.sender
        own = self.members.own
        self._hear(sender, now)
        if sender.data_centre == own.data_centre:
            self._set_load(f"node/{sender.node}", pull.load, now)
        if pull.config_version:
            self._callbacks.on_config_version(pull.config_version, sender.caller_address.host)
        cursor = pull.cursor if pull.table == own.incarnation else 0
        members, position, more = self.members.changes_since(cursor, MAX_MEMBERS_PER_ANSWER)
        answer = Answer(
            own,
            pull.clock_ms,
            own.incarnation,
            position,
            more,
            tuple(each for each in members if each.node != sender.node or each.gone),
            self.members.ages(now),
            self._load_for(sender, now),
            self._callbacks.plan_status(now),
            self.plan_log.delta_since(pull.plan),
            self._callbacks.config_status(now),
        )
        return [Outgoing(sender.caller_address.host, answer)]

    def _load_for(self, asker: Member, now: float) -> Load | None:
        if not self.members.is_relay(now):
            return None
        near = asker.data_centre == self.members.own.data_centre
        sources = [
            load
            for name, (load, at) in self._loads.items()
            if now - at <= LOAD_LIFETIME_S and (near or name.startswith("node/"))
        ]
        return sum_loads([self._callbacks.own_load(now), *sources])

    # What to learn

    def on_answer(self, answer: Answer, now: float) -> list[Outgoing]:
        """Take over what another node answered; return a further pull if there is more."""
        host = answer.sender.caller_address.host
        pending = self._pending.get(host)
        if pending is None or pending.clock_ms != answer.clock_ms:
            return []
        del self._pending[host]
        if now - pending.sent_at > MAX_ANSWER_AGE_S:
            return []
        self._misses.pop(host, None)
        self.members.trust(host)
        self._last_answer_at = now
        if answer.sender.data_centre == self.members.own.data_centre:
            self._last_near_answer_at = now
        appeared = self._hear_all((answer.sender, *answer.members), now)
        self._cursors[host] = _Cursor(answer.table, answer.cursor)
        self._learn_ages(answer, pending.sent_at)
        self._learn_load(answer, pending.load, now)
        self._learn_plan(answer.plan, answer.delta, pending.sent_at)
        if answer.config is not None:
            self._callbacks.on_config_version(answer.config.version, host)
            self._callbacks.on_config(answer.config, pending.sent_at - answer.config.age_s)
        self._report(appeared, [], now)
        return [self._pull(host, now)] if answer.more else []

    def _learn_ages(self, answer: Answer, sent_at: float) -> None:
        own = self.members.own
        for data_centre, age_s in answer.ages_s.items():
            # What others say of this data centre they may have from this node.
            if data_centre != own.data_centre or answer.sender.data_centre == data_centre:
                self.members.vouch(data_centre, sent_at - age_s)

    def _learn_load(self, answer: Answer, reported: Load, now: float) -> None:
        if answer.load is None:
            return
        own = self.members.own
        near = answer.sender.data_centre == own.data_centre
        if self.members.is_relay(now):
            self._drop_loads(lambda source: source == RELAY_SOURCE)
            if not near:
                self._set_load(f"data_centre/{answer.sender.data_centre}", answer.load, now)
        elif near:
            self._drop_loads(lambda source: source != RELAY_SOURCE)
            self._set_load(RELAY_SOURCE, subtract_load(answer.load, reported), now)

    def _learn_plan(
        self, status: PlanStatus | None, delta: PlanDelta | None, sent_at: float
    ) -> None:
        if delta is not None:
            self.plan_log.apply(delta)
        if status is not None:
            self._callbacks.on_plan(status, sent_at)

    def _hear(self, sender: Member, now: float) -> None:
        self.members.trust(sender.caller_address.host)
        if self.members.heard(sender, now):
            self._report([sender.node], [], now)

    def _hear_all(self, members: tuple[Member, ...], now: float) -> list[NodeId]:
        sender, *others = members
        appeared = [sender.node] if self.members.heard(sender, now) else []
        return appeared + [each.node for each in others if self.members.merge(each, now)]

    # Notices

    def announce(
        self, now: float, stalled: tuple[InstanceId, ...] = (), delta: PlanDelta | None = None
    ) -> list[Outgoing]:
        """Return notices with this node's state, stalled servers or changes of the plan.

        They go to the relays: those of all data centres for the plan or a configuration,
        otherwise those of the own data centre; stalled servers also go to the planner, and
        what a candidate says of itself to the other candidates.
        """
        notice = self._notice(now, stalled, delta)
        hosts = []
        own = self.members.own
        for data_centre in self.members.data_centres():
            if delta is None and not own.candidate and data_centre != own.data_centre:
                continue
            hosts += hosts_of(self.members.relays(data_centre, now))
        if stalled:
            hosts += self._planner_host(now)
        elif own.candidate and delta is None:
            hosts += hosts_of(self.members.candidates(now))
        outgoing = self._notices_to(hosts, notice)
        if self.members.is_relay(now):
            outgoing += self._relay(notice, hosts, now)
        return outgoing

    def on_notice(self, notice: Notice, now: float) -> list[Outgoing]:
        """Take over a notice; return the notices with which a relay passes it on."""
        self._hear(notice.sender, now)
        if notice.config_version:
            self._callbacks.on_config_version(
                notice.config_version, notice.sender.caller_address.host
            )
        known = self.plan_log.version
        if notice.delta is not None:
            self.plan_log.apply(notice.delta)
        if notice.plan is not None:
            self._callbacks.on_plan(notice.plan, now)
        if notice.stalled:
            self._callbacks.on_stalled(notice.stalled)
        if notice.relayed or not self.members.is_relay(now):
            return []
        if notice.delta is not None and self.plan_log.version == known:
            return []
        sender_host = notice.sender.caller_address.host
        return self._relay(notice, [sender_host], now)

    def _relay(self, notice: Notice, except_hosts: list[str], now: float) -> list[Outgoing]:
        """Return a notice for the nodes of this relay's data centre that are no relays."""
        own = self.members.own
        relays = hosts_of(self.members.relays(own.data_centre, now))
        near = [each for each in self.members.live(now) if each.data_centre == own.data_centre]
        hosts = [host for host in hosts_of(near) if host not in relays and host not in except_hosts]
        relayed = msgspec.structs.replace(notice, sender=own, relayed=True)
        return self._notices_to(hosts, relayed)

    def _notice(
        self, now: float, stalled: tuple[InstanceId, ...], delta: PlanDelta | None
    ) -> Notice:
        config = self._callbacks.config_status(now)
        return Notice(
            self.members.own,
            stalled,
            0 if config is None else config.version,
            None if delta is None else self._callbacks.plan_status(now),
            delta,
        )

    def _notices_to(self, hosts: Iterable[str], notice: Notice) -> list[Outgoing]:
        own_host = self.members.own.caller_address.host
        return [Outgoing(host, notice) for host in dict.fromkeys(hosts) if host != own_host]

    # Upkeep

    def housekeep(self, now: float) -> list[Outgoing]:
        """Mark nodes that are no longer heard and drop what has expired.

        Returns the pulls with which a relay asks nodes that it has not heard for a while.
        """
        gone = self.members.mark_gone(now)
        lost = {f"node/{node}" for node in gone}
        self._drop_loads(
            lambda source: source in lost or now - self._loads[source][1] > LOAD_LIFETIME_S
        )
        self.members.drop_expired(now)
        self._report([], gone, now)
        return [self._pull(host, now) for host in hosts_of(self.members.silent(PROBE_AFTER_S, now))]

    def on_pause(self, now: float) -> None:
        """Forget what depends on time, because this process was not running for a while."""
        self._pending.clear()
        self.members.forget_timing(now)

    def demand(self, now: float) -> tuple[ModelDemand, ...]:
        """Return the demand of all nodes together."""
        loads = [load for load, at in self._loads.values() if now - at <= LOAD_LIFETIME_S]
        return sum_loads([self._callbacks.own_load(now), *loads]).demand

    def _set_load(self, source: str, load: Load, at: float) -> None:
        self._loads[source] = (load, at)
        self._callbacks.on_load(source, load)

    def _drop_loads(self, is_outdated: Callable[[str], bool]) -> None:
        for source in [source for source in self._loads if is_outdated(source)]:
            del self._loads[source]
            self._callbacks.on_load(source, Load())

    def _report(self, appeared: list[NodeId], gone: list[NodeId], now: float) -> None:
        if appeared:
            self._appeared_at = now
        if appeared or gone:
            self._callbacks.on_members(appeared, gone)


def sum_loads(loads: Iterable[Load]) -> Load:
    """Return the sum of loads, by server and by model."""
    servers: dict[InstanceId, list[int]] = {}
    demand: dict[ModelName, float] = {}
    for load in loads:
        for row in load.servers:
            total = servers.setdefault(row.instance, [0, 0])
            total[0] += row.in_flight
            total[1] += row.unread_tokens
        for each in load.demand:
            demand[each.model] = demand.get(each.model, 0.0) + each.groups
    return Load(
        tuple(ServerInFlight(name, *total) for name, total in servers.items()),
        tuple(ModelDemand(model, groups) for model, groups in demand.items()),
    )


def subtract_load(total: Load, part: Load) -> Load:
    """Return a sum of loads without one that it contains."""
    servers = {row.instance: row for row in part.servers}
    demand = {row.model: row.groups for row in part.demand}
    rows = []
    for row in total.servers:
        own = servers.get(row.instance)
        if own is not None:
            in_flight = max(0, row.in_flight - own.in_flight)
            row = ServerInFlight(
                row.instance, in_flight, max(0, row.unread_tokens - own.unread_tokens)
            )
        if row.in_flight:
            rows.append(row)
    return Load(
        tuple(rows),
        tuple(
            ModelDemand(row.model, max(0.0, row.groups - demand.get(row.model, 0.0)))
            for row in total.demand
        ),
    )
