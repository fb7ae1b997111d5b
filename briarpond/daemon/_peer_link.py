"""Link to the peers: pulls, answers to pulls, questions about keys."""

from collections.abc import Callable

from briarpond.conf import Address
from briarpond.ids import Incarnation, InstanceId, NodeId, RequestKey
from briarpond.journal import Group, LogEntry, Node, Page, decode_snapshot
from briarpond.logs import log_event, log_warning
from briarpond.nodes import PeerView
from briarpond.peers import (
    PROTOCOL_VERSION,
    AccountDemand,
    Envelope,
    KeyAnswer,
    KeyQuery,
    Known,
    NodeDigest,
    Pull,
    PullAnswer,
    answer_pull,
    digest_nodes,
    is_reader,
    merge_groups,
    merge_nodes,
    probers,
)
from briarpond.requests import KeyEntry, KeyState

from ._log_link import LogLink
from ._node import CONTACT_NEVER, NodeContext, parse_address

FANOUT = 2
MAX_DEMAND_ACCOUNTS = 64
GONE = "gone"

AnswerDone = Callable[[Envelope | None], None]
PeerCall = Callable[[Address, Envelope, AnswerDone], None]
KeyDone = Callable[[KeyEntry | None], None]


class PeerLink:
    """Pulls from a few peers each round and answers theirs."""

    def __init__(self, node: NodeContext, call: PeerCall, log: LogLink) -> None:
        self.node = node
        self._send = call
        self._log = log
        self._pulling: set[Address] = set()

    def start(self) -> None:
        """Schedule the rounds."""
        self.node.clock.every(self.node.settings.timing.peer_pull_s, self.pull_round)

    def pull_round(self) -> None:
        """Pull from a few random peers."""
        self._forget_removed()
        addresses = [address for address in self._addresses() if address not in self._pulling]
        for address in self.node.rng.sample(addresses, min(FANOUT, len(addresses))):
            self._pull(address)

    def probes_group(self, group: Group) -> bool:
        """Whether this node is one of the group's probers."""
        return self.node.id in probers(group.id, group.data_centre, self._live_nodes())

    def is_reader(self) -> bool:
        """Whether this node reads the log for its data centre."""
        return is_reader(self.node.id, self.node.data_centre, self._live_nodes())

    def ask_key(self, owner: NodeId, incarnation: Incarnation, key: RequestKey, done: KeyDone):
        """Ask the owner of a key; `done` gets None if it cannot tell."""
        row = self.node.tail.state.nodes.get(owner)
        address = parse_address(row.peers) if row is not None else None
        if address is None:
            self.node.clock.after(0.0, lambda: done(None))
            return

        def answered(envelope: Envelope | None) -> None:
            answer = envelope.key_answer if envelope is not None else None
            done(_entry_of(answer))

        self._call(address, answered, key_query=KeyQuery(key, incarnation))

    def _live_nodes(self) -> list[Node]:
        node = self.node
        now = node.clock.now()
        alive = node.peers.alive(now, node.settings.timing.peer_dead_s)
        return [
            row for row in node.tail.state.nodes.values() if row.id in alive or row.id == node.id
        ]

    def _addresses(self) -> list[Address]:
        own = self.node.settings.listen.peers
        found = {parse_address(peer.peers) for peer in self.node.live_peers()}
        found.update(self.node.settings.peers.seeds)
        return sorted(address for address in found if address is not None and address != own)

    def _forget_removed(self) -> None:
        nodes = self.node.tail.state.nodes
        gone = {view.node for view in self.node.peers.all() if view.node not in nodes}
        self.node.peers.forget(gone)
        for node in gone:
            self.node.peer_demand.pop(node, None)
        groups = self.node.tail.state.groups
        for group in [name for name in self.node.relayed if name not in groups]:
            del self.node.relayed[group]

    def _pull(self, address: Address) -> None:
        node = self.node
        asked_at = node.clock.now()
        self._pulling.add(address)

        def answered(envelope: Envelope | None) -> None:
            self._pulling.discard(address)
            if envelope is not None and envelope.pull_answer is not None:
                self._take(envelope.pull_answer, asked_at)

        pull = Pull(
            node.tail.folded_offset + 1,
            not node.tail.usable or node.tail.behind() > 0,
            self._own_digest(),
            self._own_demand(),
        )
        self._call(address, answered, pull=pull)

    def _call(self, address: Address, done: AnswerDone, **body) -> None:
        envelope = Envelope(PROTOCOL_VERSION, self.node.new_id(), self.node.id, **body)
        self._send(address, envelope, done)

    def _take(self, answer: PullAnswer, asked_at: float) -> None:
        node = self.node
        now = node.clock.now()
        node.tail.note_highest(answer.highest_seen)
        if answer.snapshot is not None:
            self._adopt(answer.snapshot)
        self._take_rows(answer, asked_at)
        generations = {group.generation: group.id for group in node.tail.state.groups.values()}
        merge_groups(answer.groups, generations, node.relayed, asked_at, now)
        self._hear_sender(answer.sender, answer.demand, asked_at)
        for view in merge_nodes(answer.nodes, node.tail.state.nodes.values(), asked_at):
            if view.node != node.id:
                node.peers.hear(view)
        node.leaving_known_at = max(node.leaving_known_at, asked_at)
        for instance in answer.leaving or []:
            node.relayed_leaving[InstanceId(instance)] = now

    def _adopt(self, snapshot: bytes) -> None:
        state = decode_snapshot(snapshot)
        if state.is_error():
            log_warning("peer_snapshot", error=state.error.message)
        elif self.node.tail.adopt(state.ok):
            log_event("snapshot_from_peer", position=state.ok.position)
            self._log.folded()

    def _take_rows(self, answer: PullAnswer, asked_at: float) -> None:
        # A peer's rows that start beyond this node's state are no sign of a gap
        # in the log; they are left, and the snapshot or the log closes the gap.
        if answer.oldest > self.node.tail.folded_offset + 1:
            return
        contact_at = CONTACT_NEVER
        if answer.contact_age_ms >= 0:
            contact_at = asked_at - answer.contact_age_ms / 1000.0
        rows = tuple(LogEntry(row.offset, row.value) for row in answer.rows)
        self._log.take_page(Page(answer.oldest, answer.following, rows), contact_at)

    def answer(self, envelope: Envelope) -> Envelope | None:
        """Return the answer to a peer's call, None if it needs none."""
        if envelope.pull is not None:
            body = {"pull_answer": self._answer_pull(envelope.pull)}
        elif envelope.key_query is not None:
            body = {"key_answer": self._answer_key(envelope.key_query)}
        else:
            return None
        return Envelope(PROTOCOL_VERSION, envelope.call, self.node.id, **body)

    def _answer_pull(self, pull: Pull) -> PullAnswer:
        node = self.node
        now = node.clock.now()
        sender = pull.sender
        self._hear_sender(sender, pull.demand, now)
        views = [
            view
            for group in node.tail.state.groups.values()
            if (view := node.group_view(group, now)) is not None
        ]
        known = Known(
            self._own_digest(),
            views,
            digest_nodes(node.peers.all(), node.tail.state.nodes, now),
            self._own_demand(),
            node.listed_leaving(),
            node.contact_at,
        )
        return answer_pull(pull, node.tail, known, now)

    def _answer_key(self, query: KeyQuery) -> KeyAnswer:
        entry = self.node.ledger.get(RequestKey(query.key))
        if query.incarnation != self.node.incarnation or entry is None:
            return KeyAnswer(GONE)
        return KeyAnswer(entry.state.value, entry.status, entry.content_type, entry.body)

    def _own_digest(self) -> NodeDigest:
        node = self.node
        return NodeDigest(node.id, node.incarnation, 0, node.drain.leaving)

    def _own_demand(self) -> list[AccountDemand]:
        demand = sorted(self.node.limiter.demand().items(), key=lambda pair: -pair[1])
        return [AccountDemand(name, rate) for name, rate in demand[:MAX_DEMAND_ACCOUNTS]]

    def _hear_sender(
        self, sender: NodeDigest, demand: list[AccountDemand], heard_at: float
    ) -> None:
        if sender.node == self.node.id:
            return
        node = NodeId(sender.node)
        incarnation = Incarnation(sender.incarnation)
        self.node.peers.hear(PeerView(node, incarnation, heard_at, sender.leaving))
        self.node.peer_demand[node] = {row.account: row.rate for row in demand}


def _entry_of(answer: KeyAnswer | None) -> KeyEntry | None:
    if answer is None or answer.state == GONE:
        return None
    try:
        state = KeyState(answer.state)
    except ValueError:
        return None
    return KeyEntry(state, "", answer.status, answer.content_type, answer.body)
