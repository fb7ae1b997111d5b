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
from briarpond.quarantine import Evidence

from ._loads import LoadTable, subtract_load, sum_loads
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
    StorePosition,
)
from ._partners import Partners, PendingPull
from ._plan_log import PlanLog
from ._timing import PROBE_AFTER_S, SETTLING_S
from ._version import ExchangeVersion

# Most members in one answer; the rest follows with the next.
MAX_MEMBERS_PER_ANSWER = 60
# A node that has met no new node for this long has met all that are there.
QUIET_S = 0.5
# After a restart a node waits no longer than this for more nodes to appear: callers are there.
RESTART_SETTLING_S = 1.0


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
        Takes the status of another node's configuration, the time at which it was true, and the
        host of that node.
    on_config_version : callable
        Takes the version of another node's configuration, and the host of that node.
    on_config_position : callable
        Takes the position up to which another node has applied the operator's records, and the
        host of that node. Called after `on_config_version`, before `on_config`.
    on_load : callable
        Takes the name of a source and the load that it reported, which replaces the
        previous one of the same source; an empty load means that it is outdated.
    on_stalled : callable
        Takes the backend servers that another node found stalled.
    on_members : callable
        Takes the names of nodes that have appeared, and of those that are gone.
    evidence : callable
        Takes the present time; returns what other nodes should be told of prompt parts that
        end servers, None if nothing.
    on_evidence : callable
        Takes what another node knows of such parts, and the present time.
    on_pause : callable
        Takes the present time; called when this process was not running for a while.
    """

    own_load: Callable[[float], Load]
    plan_status: Callable[[float], PlanStatus | None]
    config_status: Callable[[float], ConfigStatus | None]
    on_plan: Callable[[PlanStatus, float], None]
    on_config: Callable[[ConfigStatus, float, str], None]
    on_config_version: Callable[[int, str], None]
    on_load: Callable[[str, Load], None]
    on_stalled: Callable[[tuple[InstanceId, ...]], None]
    on_members: Callable[[list[NodeId], list[NodeId]], None]
    evidence: Callable[[float], Evidence | None] = lambda now: None
    on_evidence: Callable[[Evidence, float], None] = lambda evidence, now: None
    on_pause: Callable[[float], None] = lambda now: None
    on_config_position: Callable[[StorePosition, str], None] = lambda position, host: None


class _Cursor(msgspec.Struct):
    table: int = 0
    position: int = 0


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
        self._started_at = now
        self._is_first_start = is_first_start
        self._partners = Partners(self.members, rng, now)
        self._loads = LoadTable(callbacks.on_load)
        self._cursors: dict[str, _Cursor] = {}
        self._appeared_at = now

    # Whom to ask

    def add_contacts(self, hosts: Iterable[str]) -> None:
        """Add hosts at which other nodes may be found."""
        self._partners.add_contacts(hosts)

    def is_connected(self, now: float) -> bool:
        """Whether another node has answered lately."""
        return self._partners.is_connected(now)

    def is_settled(self, now: float) -> bool:
        """Whether this node has had time to learn of the others, and no more have appeared."""
        longest_s = SETTLING_S if self._is_first_start else RESTART_SETTLING_S
        return now - self._appeared_at >= QUIET_S or now - self._started_at >= longest_s

    def next_pull(self, now: float) -> tuple[Outgoing | None, float]:
        """Return the pull that is due, and the seconds until the next one is.

        The partner that was not asked for longest is the next.
        """
        self._partners.count_misses(now)
        host, wait_s = self._partners.next(self._planner_host(now), now)
        return (None if host is None else self._pull(host, now)), wait_s

    def _planner_host(self, now: float) -> str | None:
        status = self._callbacks.plan_status(now)
        if status is None or not self.members.is_live(status.planner, now):
            return None
        return self.members.host(status.planner)

    def _pull(self, host: str, now: float) -> Outgoing:
        cursor = self._cursors.get(host) or _Cursor()
        config = self._callbacks.config_status(now)
        load = self._callbacks.own_load(now)
        clock_ms = int(now * 1000)
        self._partners.asked(host, PendingPull(clock_ms, now, load))
        pull = Pull(
            self.members.own,
            clock_ms,
            cursor.table,
            cursor.position,
            self.plan_log.version,
            0 if config is None else config.version,
            load,
            self._callbacks.evidence(now),
            None if config is None else config.position,
        )
        return Outgoing(host, pull)

    # What to answer

    def on_pull(self, pull: Pull, now: float) -> list[Outgoing]:
        """Take over the sender's state and return the answer."""
        sender = pull.sender
        own = self.members.own
        self._hear(sender, now)
        self._learn_evidence(pull.evidence, now)
        if sender.data_centre == own.data_centre:
            self._loads.set_node(sender.node, pull.load, now)
        self._learn_config(pull.config_version, pull.config_position, sender.caller_address.host)
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
            self._config_status_for(pull, now),
            self._callbacks.evidence(now),
        )
        return [Outgoing(sender.caller_address.host, answer)]

    def _config_status_for(self, pull: Pull, now: float) -> ConfigStatus | None:
        """Return the status of the configuration, as the asker can use it.

        A node without eras that is beyond our position may have been there before the store came
        back from a copy. It would take nothing that has a lower position for a confirmation.
        """
        status = self._callbacks.config_status(now)
        if status is None or status.position is None or pull.config_position is None:
            return status
        knows_eras = pull.sender.exchange_version >= ExchangeVersion.STORE_ERAS
        if knows_eras or pull.config_position.offset <= status.position.offset:
            return status
        return msgspec.structs.replace(status, position=None)

    def _load_for(self, asker: Member, now: float) -> Load | None:
        if not self.members.is_relay(now):
            return None
        near = asker.data_centre == self.members.own.data_centre
        others = self._loads.all(now) if near else self._loads.of_nodes(now)
        return sum_loads([self._callbacks.own_load(now), *others])

    # What to learn

    def on_answer(self, answer: Answer, now: float) -> list[Outgoing]:
        """Take over what another node answered; return a further pull if there is more."""
        host = answer.sender.caller_address.host
        pending = self._partners.answered(answer, now)
        if pending is None:
            return []
        appeared = self._hear_all((answer.sender, *answer.members), now)
        self._cursors[host] = _Cursor(answer.table, answer.cursor)
        self._learn_evidence(answer.evidence, now)
        self._learn_ages(answer, pending.sent_at)
        self._learn_load(answer, pending.load, now)
        self._learn_plan(answer.plan, answer.delta, pending.sent_at)
        if answer.config is not None:
            self._learn_config(answer.config.version, answer.config.position, host)
            newest_at = pending.sent_at - answer.config.age_s
            self._callbacks.on_config(answer.config, newest_at, host)
        self._report(appeared, [], now)
        return [self._pull(host, now)] if answer.more else []

    def _learn_evidence(self, evidence: Evidence | None, now: float) -> None:
        if evidence is not None:
            self._callbacks.on_evidence(evidence, now)

    def _learn_config(self, version: int, position: StorePosition | None, host: str) -> None:
        if version:
            self._callbacks.on_config_version(version, host)
        if position is not None:
            self._callbacks.on_config_position(position, host)

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
            if not near:
                self._loads.set_data_centre(answer.sender.data_centre, answer.load, now)
        elif near:
            self._loads.set_all_others(subtract_load(answer.load, reported), now)

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
        self,
        now: float,
        stalled: tuple[InstanceId, ...] = (),
        delta: PlanDelta | None = None,
        evidence: Evidence | None = None,
    ) -> list[Outgoing]:
        """Return notices with this node's state, stalled servers or changes of the plan.

        They go to the relays: those of all data centres for the plan, a configuration or
        evidence, otherwise those of the own data centre; stalled servers also go to the
        planner, and what a candidate says of itself to the other candidates.
        """
        notice = self._notice(now, stalled, delta, evidence)
        is_for_all = delta is not None or evidence is not None
        hosts = []
        own = self.members.own
        for data_centre in self.members.data_centres():
            if not is_for_all and not own.candidate and data_centre != own.data_centre:
                continue
            hosts += hosts_of(self.members.relays(data_centre, now))
        planner_host = self._planner_host(now)
        if stalled and planner_host is not None:
            hosts.append(planner_host)
        elif own.candidate and delta is None:
            hosts += hosts_of(self.members.candidates(now))
        outgoing = self._notices_to(hosts, notice)
        if self.members.is_relay(now):
            outgoing += self._relay(notice, hosts, now)
        return outgoing

    def on_notice(self, notice: Notice, now: float) -> list[Outgoing]:
        """Take over a notice; return the notices with which a relay passes it on."""
        self._hear(notice.sender, now)
        self._learn_config(
            notice.config_version, notice.config_position, notice.sender.caller_address.host
        )
        known = self.plan_log.version
        if notice.delta is not None:
            self.plan_log.apply(notice.delta)
        if notice.plan is not None:
            self._callbacks.on_plan(notice.plan, now)
        self._learn_evidence(notice.evidence, now)
        if notice.stalled:
            self._callbacks.on_stalled(notice.stalled)
        if notice.relayed or not self.members.is_relay(now):
            return []
        if notice.delta is None and notice.evidence is None and not notice.stalled:
            # A relay announces a new configuration itself, once it has it to pass on.
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
        config = self._callbacks.config_status(now)
        relayed = msgspec.structs.replace(
            notice,
            sender=own,
            config_version=0 if config is None else config.version,
            relayed=True,
            config_position=None if config is None else config.position,
        )
        return self._notices_to(hosts, relayed)

    def _notice(
        self,
        now: float,
        stalled: tuple[InstanceId, ...],
        delta: PlanDelta | None,
        evidence: Evidence | None,
    ) -> Notice:
        config = self._callbacks.config_status(now)
        return Notice(
            self.members.own,
            stalled,
            0 if config is None else config.version,
            None if delta is None else self._callbacks.plan_status(now),
            delta,
            evidence=evidence,
            config_position=None if config is None else config.position,
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
        self._loads.drop_outdated(gone, now)
        self.members.drop_expired(now)
        self._report([], gone, now)
        return [self._pull(host, now) for host in hosts_of(self.members.silent(PROBE_AFTER_S, now))]

    def on_pause(self, now: float) -> None:
        """Forget what depends on time, because this process was not running for a while."""
        self._partners.forget_pending()
        self.members.forget_timing(now)
        self._callbacks.on_pause(now)

    def demand(self, now: float) -> tuple[ModelDemand, ...]:
        """Return the demand of all nodes together."""
        return sum_loads([self._callbacks.own_load(now), *self._loads.all(now)]).demand

    def _report(self, appeared: list[NodeId], gone: list[NodeId], now: float) -> None:
        if appeared:
            self._appeared_at = now
        if appeared or gone:
            self._callbacks.on_members(appeared, gone)
