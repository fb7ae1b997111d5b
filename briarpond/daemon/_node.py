"""State of one running node, shared by the parts that do its input and output."""

import random
import time
import uuid
from collections.abc import Callable, Iterable

from msgspec.structs import replace

from briarpond.admission import AccountIndex, AccountLimiter
from briarpond.conf import Address, Settings
from briarpond.configuration import Document
from briarpond.groups import GroupView, PresenceTable, group_readiness
from briarpond.ids import AccountId, DataCentre, GroupId, Incarnation, InstanceId, NodeId, RecordId
from briarpond.journal import Group, GroupPhase, Node, Outbox, Record, RecordOutcome, Tail
from briarpond.metrics import Metrics
from briarpond.net import Clock, HttpClient
from briarpond.nodes import Drain, PeerViews
from briarpond.ports import EngineLoad, ListedInstance, ListedState
from briarpond.requests import AnswerTimes, IdempotencyKeyTable, RetryBudget, Target, TargetKind
from briarpond.routing import Candidate, Router

# Time for the announcement that this node leaves to reach the other nodes. Only then does
# the period begin after which callers drop its address.
LEAVE_PROPAGATION_S = 2.0
# Added to the expected first-byte time of a backend server in another data centre.
OTHER_DATA_CENTRE_LATENCY_S = 0.01
# Time of an event that has not happened.
NEVER = float("-inf")
# How long a peer's report that an instance leaves counts without being repeated.
RELAYED_LEAVING_TTL_S = 10.0
# Age of the last successful query for leaving instances beyond which no new work is sent.
LEAVING_MAX_AGE_S = 3.0


class NodeContext:
    """Shared state of one node: what it has folded, measured and received from peers.

    All times are in seconds of the node's clock.

    Parameters
    ----------
    rng : Random or None
        Source of ids, jitter and random choices; seeded from a UUID if None.

    Attributes
    ----------
    incarnation : Incarnation
        Id of this run of the process; a restart gets a new one.
    tail : Tail
        Folded state and position in the log.
    outbox : Outbox
        Records that wait for the log's verdict.
    presence : PresenceTable
        Status reports of the instances that this node probes itself.
    listed_instances : dict
        Last instance list that was read, by instance.
    relayed_views : dict
        Views of groups that peers probe, by group.
    relayed_leaving_at : dict
        Time, by instance, at which a peer last reported that its instance list shows
        it as leaving.
    leaving_checked_at : float
        Send time of the last successful query for leaving instances, to the instance
        list or to a peer.
    peer_views : PeerViews
        Last sign of life of each peer.
    key_table : IdempotencyKeyTable
        Idempotency keys that this incarnation has claimed, with their answers.
    answer_times : AnswerTimes
        Times of the last answers, by pool.
    peer_demand : dict
        Requests per second of each client account, by peer.
    log_contact_at : float
        Time at which the log, read directly or through a peer, was last known to be
        folded to its end.
    in_flight : int
        Requests of callers that are waiting or running.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        client: HttpClient,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.client = client
        self.id = NodeId(settings.node)
        self.data_centre = DataCentre(settings.data_centre)
        self.rng = rng or random.Random(uuid.uuid4().int)
        self.incarnation = Incarnation(self.new_id())
        self.metrics = Metrics()
        self.tail = Tail()
        self.outbox = Outbox()
        self.presence = PresenceTable()
        self.relayed_views: dict[GroupId, GroupView] = {}
        self.listed_instances: dict[InstanceId, ListedInstance] = {}
        self.relayed_leaving_at: dict[InstanceId, float] = {}
        self.peer_views = PeerViews()
        self.key_table = IdempotencyKeyTable()
        self.answer_times = AnswerTimes()
        self.retry_budget = RetryBudget()
        self.account_limiter = AccountLimiter()
        self.peer_demand: dict[NodeId, dict[str, float]] = {}
        self.router = Router(self.rng)
        self.drain = Drain(LEAVE_PROPAGATION_S, settings.stop.entry_ttl_s, settings.stop.limit_s)
        self.log_contact_at = NEVER
        self.leaving_checked_at = NEVER
        self.in_flight = 0
        self._accounts = AccountIndex(self.document)
        self._accounts_version = 0

    @property
    def document(self) -> Document:
        """The configuration document in force on this node."""
        return self.tail.state.config.document

    @property
    def accounts(self) -> AccountIndex:
        """Index of the client accounts in force."""
        version = self.tail.state.config.version
        if version != self._accounts_version:
            self._accounts = AccountIndex(self.document)
            self._accounts_version = version
        return self._accounts

    def new_id(self) -> str:
        """Return a random id of 64 bits, which no other node or incarnation uses."""
        return f"{self.rng.getrandbits(64):016x}"

    def wall_clock_ms(self) -> int:
        """Return the wall-clock time in milliseconds.

        It is only written to the audit trail; no decision depends on it.
        """
        return int(time.time() * 1000)

    def new_record_id(self, kind: str) -> RecordId:
        """Return a new record id that begins with `kind`."""
        return RecordId(f"{kind}-{self.id}-{self.new_id()}")

    def submit(
        self, record: Record, timeout_s: float, done: Callable[[RecordOutcome], None]
    ) -> bool:
        """Queue a record for the log.

        Parameters
        ----------
        timeout_s : float
            Seconds after which the record is settled without a verdict.
        done : callable
            Called exactly once with what became of the record.

        Returns
        -------
        bool
            False, and `done` is not called, if too many records wait already.
        """
        return self.outbox.submit(record, self.clock.now(), timeout_s, done)

    def has_log_contact(self, now: float) -> bool:
        """Whether the folded state is recent enough for non-idempotent requests."""
        return now - self.log_contact_at <= self.settings.timing.contact_lost_s

    def leaving_state_is_fresh(self, now: float) -> bool:
        """Whether this node's data on leaving instances is recent enough to send work.

        A node that reaches neither the instance list nor a peer must not send work to
        instances that may have left. A node without peers is exempt, as it has no
        second source.
        """
        no_peers = not any(True for _ in self.other_nodes())
        return no_peers or now - self.leaving_checked_at <= LEAVING_MAX_AGE_S

    def group_view(self, group: Group, now: float) -> GroupView | None:
        """Return the newest view of a group, merged from this node's probes and peers' views."""
        probed = self._probed_view(group, now)
        relayed = self.relayed_views.get(group.id)
        if probed is not None:
            return probed.merged(relayed)
        if relayed is not None and relayed.generation == group.generation:
            return relayed
        return None

    def group_ready(self, group: Group, now: float) -> bool:
        """Whether a group is formed and all its members were recently seen ready."""
        if group.phase is not GroupPhase.FORMED:
            return False
        view = self.group_view(group, now)
        return view is not None and view.usable(now, self.settings.timing.presence_ttl_s)

    def _probed_view(self, group: Group, now: float) -> GroupView | None:
        """Return the view of a group from this node's probes, None if no member was probed."""
        presences = [self.presence.get(member.instance) for member in group.members]
        reported = [presence_entry for presence_entry in presences if presence_entry is not None]
        if not reported:
            return None
        ttl_s = self.settings.timing.presence_ttl_s
        head = presences[0] or reported[0]
        readiness = group_readiness(group, self.presence, now, ttl_s)
        oldest = (
            min(presence_entry.probed_at for presence_entry in reported)
            if len(reported) == len(presences)
            else NEVER
        )
        newest = max(presence_entry.probed_at for presence_entry in reported)
        present_at = oldest if readiness.ready else NEVER
        absent_at = NEVER if readiness.ready else newest
        return GroupView(
            group.id, group.generation, present_at, absent_at, head.report.load, head.probed_at
        )

    def group_candidates(self, model: str, adapter: str | None, now: float) -> list[Candidate]:
        """Return the ready groups that have a model and adapter loaded.

        Groups with a leaving member are left out. All groups are left out if this
        node's data on leaving instances is out of date.
        """
        if not self.leaving_state_is_fresh(now):
            return []
        candidates = []
        for group in self.tail.state.groups.values():
            if group.spec.model != model:
                continue
            if adapter is not None and adapter not in dict(group.spec.adapters):
                continue
            if not self.group_ready(group, now) or self._has_leaving_member(group, now):
                continue
            view = self.group_view(group, now)
            assert view is not None
            candidates.append(self._group_candidate(group, view.load, view.load_at))
        return candidates

    def server_candidates(self, service: str, now: float) -> list[Candidate]:
        """Return the servers of a plain service that are listed and not leaving."""
        if not self.leaving_state_is_fresh(now):
            return []
        candidates = []
        for listed in self.listed_instances.values():
            if listed.service != service or self.is_leaving(listed.instance, now):
                continue
            target = Target(TargetKind.SERVER, listed.instance, listed.address)
            candidates.append(
                Candidate(target, 0.0, 0.0, NEVER, self._extra_latency_s(listed.data_centre))
            )
        return candidates

    def listed_leaving_instances(self) -> list[str]:
        """Return the instances that this node's own instance list shows as leaving."""
        return [
            listed.instance
            for listed in self.listed_instances.values()
            if listed.state is ListedState.LEAVING
        ]

    def is_leaving(self, instance: InstanceId, now: float) -> bool:
        """Whether an instance leaves, by this node's instance list or a peer's report."""
        listed = self.listed_instances.get(instance)
        if listed is not None and listed.state is ListedState.LEAVING:
            return True
        return now - self.relayed_leaving_at.get(instance, NEVER) <= RELAYED_LEAVING_TTL_S

    def instances_with_relayed_state(self, now: float) -> tuple[ListedInstance, ...]:
        """Return the instance list, with instances that peers report as leaving marked so."""
        return tuple(
            (
                replace(listed, state=ListedState.LEAVING)
                if self.is_leaving(listed.instance, now)
                else listed
            )
            for listed in self.listed_instances.values()
        )

    def other_nodes(self) -> Iterable[Node]:
        """Return the other nodes in the folded state, whether or not they respond."""
        return [node for node in self.tail.state.nodes.values() if node.id != self.id]

    def account_share(self, account: AccountId, now: float) -> float:
        """Return this node's share of an account's limits, above 0 and up to 1.

        Half of each limit is split evenly, so that every node can serve an account's
        first requests at once; the other half follows the demand that nodes report.
        """
        alive_peers = self.peer_views.alive_peers(now, self.settings.timing.peer_dead_s)
        even_share = 1.0 / (1 + len(alive_peers))
        own_demand = self.account_limiter.demand_of(account)
        peers_demand = sum(self.peer_demand.get(node, {}).get(account, 0.0) for node in alive_peers)
        demand_share = (
            own_demand / (own_demand + peers_demand)
            if own_demand + peers_demand > 0
            else even_share
        )
        return 0.5 * even_share + 0.5 * demand_share

    def _group_candidate(self, group: Group, load: EngineLoad, load_at: float) -> Candidate:
        head = group.members[0]
        target = Target(TargetKind.GROUP, head.instance, head.address, group.id, group.generation)
        return Candidate(
            target, load.queued, load.running, load_at, self._extra_latency_s(group.data_centre)
        )

    def _has_leaving_member(self, group: Group, now: float) -> bool:
        return any(self.is_leaving(member.instance, now) for member in group.members)

    def _extra_latency_s(self, data_centre: DataCentre) -> float:
        """Return the expected extra latency to a data centre, seconds."""
        return 0.0 if data_centre == self.data_centre else OTHER_DATA_CENTRE_LATENCY_S


def parse_address(text: str) -> Address | None:
    """Return the ``host:port`` address in `text`, None if it is malformed."""
    try:
        return Address.parse(text)
    except ValueError:
        return None
