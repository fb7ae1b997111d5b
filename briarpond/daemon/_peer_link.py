"""Exchange with peers: pulls, answers to pulls, queries for idempotency keys.

In a pull a node asks a peer for what it has not seen: log entries, group views, signs
of life, demand of client accounts and leaving instances.
"""

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
    NodeDigest,
    NodeReport,
    Pull,
    PullAnswer,
    answer_pull,
    choose_probers,
    digest_peers,
    is_log_reader,
    merge_group_digests,
    views_from_digests,
)
from briarpond.requests import KeyEntry, KeyState

from ._log_link import LogLink
from ._node import NEVER, NodeContext, parse_address

# Random peers that are pulled from in each round.
PULLS_PER_ROUND = 2
# Client accounts whose demand is sent with a message; those with the highest demand.
MAX_DEMAND_ACCOUNTS = 64
# State in the answer to a key query if the queried incarnation does not have the key.
KEY_STATE_GONE = "gone"

# Called with the answer of a peer, None if there is none.
OnAnswer = Callable[[Envelope | None], None]
# Sends an envelope to an address.
CallPeer = Callable[[Address, Envelope, OnAnswer], None]
# Called with the entry of the key's owner, None if the owner cannot give it.
OnKeyEntry = Callable[[KeyEntry | None], None]


class PeerLink:
    """Pulls from a few random peers each round and answers their calls.

    Parameters
    ----------
    call_peer : callable
        Sends an envelope to an address; its callback gets the answer or None.
    log : LogLink
        Folds the log entries and snapshots that peers send.
    """

    def __init__(self, node: NodeContext, call_peer: CallPeer, log: LogLink) -> None:
        self._node = node
        self._call_peer = call_peer
        self._log = log
        self._pending_pulls: set[Address] = set()

    def start(self) -> None:
        """Schedule the pull rounds."""
        self._node.clock.every(self._node.settings.timing.peer_pull_s, self.pull_round)

    def pull_round(self) -> None:
        """Pull from a few random peers, leaving out those that have not answered yet."""
        self._drop_removed()
        addresses = [
            address for address in self._peer_addresses() if address not in self._pending_pulls
        ]
        for address in self._node.rng.sample(addresses, min(PULLS_PER_ROUND, len(addresses))):
            self._pull(address)

    def probes_group(self, group: Group) -> bool:
        """Whether this node is one of the nodes that probe the group."""
        return self._node.id in choose_probers(group.id, group.data_centre, self._live_nodes())

    def is_log_reader(self) -> bool:
        """Whether this node reads the log on behalf of its data centre."""
        return is_log_reader(self._node.id, self._node.data_centre, self._live_nodes())

    def query_key_owner(
        self, owner: NodeId, incarnation: Incarnation, key: RequestKey, on_entry: OnKeyEntry
    ):
        """Ask the node that claimed a key what became of its request.

        Parameters
        ----------
        incarnation : Incarnation
            Incarnation that claimed the key; a restarted node no longer has the key's entry.
        on_entry : callable
            Called with None if the owner is unknown, does not answer or has lost the key.
        """
        owner_node = self._node.tail.state.nodes.get(owner)
        address = parse_address(owner_node.peers) if owner_node is not None else None
        if address is None:
            self._node.clock.after(0.0, lambda: on_entry(None))
            return

        def on_answer(envelope: Envelope | None) -> None:
            answer = envelope.key_answer if envelope is not None else None
            on_entry(_decode_key_answer(answer))

        self._call(address, on_answer, key_query=KeyQuery(key, incarnation))

    def _live_nodes(self) -> list[Node]:
        """Return this node and the peers with a recent sign of life."""
        node = self._node
        now = node.clock.now()
        alive = node.peer_views.alive_peers(now, node.settings.timing.peer_dead_s)
        return [
            listed_node
            for listed_node in node.tail.state.nodes.values()
            if listed_node.id in alive or listed_node.id == node.id
        ]

    def _peer_addresses(self) -> list[Address]:
        """Return the addresses of all peers: from the folded state and the settings."""
        own_address = self._node.settings.listen.peers
        candidates = {parse_address(peer.peers) for peer in self._node.other_nodes()}
        candidates.update(self._node.settings.peers.seeds)
        return sorted(
            address for address in candidates if address is not None and address != own_address
        )

    def _drop_removed(self) -> None:
        """Drop the stored views of nodes and groups that are no longer in the folded state."""
        nodes = self._node.tail.state.nodes
        removed = {
            view.node for view in self._node.peer_views.all_views() if view.node not in nodes
        }
        self._node.peer_views.remove(removed)
        for node in removed:
            self._node.peer_demand.pop(node, None)
        groups = self._node.tail.state.groups
        for group in [name for name in self._node.relayed_views if name not in groups]:
            del self._node.relayed_views[group]

    def _pull(self, address: Address) -> None:
        node = self._node
        sent_at = node.clock.now()
        self._pending_pulls.add(address)

        def on_answer(envelope: Envelope | None) -> None:
            self._pending_pulls.discard(address)
            if envelope is not None and envelope.pull_answer is not None:
                self._merge_answer(envelope.pull_answer, sent_at)

        pull = Pull(
            node.tail.folded_offset + 1,
            not node.tail.has_state or node.tail.entries_behind() > 0,
            self._own_digest(),
            self._own_demand(),
        )
        self._call(address, on_answer, pull=pull)

    def _call(self, address: Address, on_envelope: OnAnswer, **body) -> None:
        envelope = Envelope(PROTOCOL_VERSION, self._node.new_id(), self._node.id, **body)
        self._call_peer(address, envelope, on_envelope)

    def _merge_answer(self, answer: PullAnswer, sent_at: float) -> None:
        """Merge a peer's answer into the state of this node.

        Parameters
        ----------
        sent_at : float
            Time at which the pull was sent, seconds of the node's clock. Ages in the
            answer are counted back from it, so that no sign of life seems newer than it is.
        """
        node = self._node
        now = node.clock.now()
        node.tail.raise_highest_seen(answer.highest_seen)
        if answer.snapshot is not None:
            self._adopt_snapshot(answer.snapshot)
        self._fold_rows(answer, sent_at)
        generations = {group.generation: group.id for group in node.tail.state.groups.values()}
        merge_group_digests(answer.groups, generations, node.relayed_views, sent_at, now)
        self._record_sender(answer.sender, answer.demand, sent_at)
        for view in views_from_digests(answer.nodes, node.tail.state.nodes.values(), sent_at):
            if view.node != node.id:
                node.peer_views.merge(view)
        node.leaving_checked_at = max(node.leaving_checked_at, sent_at)
        for instance in answer.leaving or []:
            node.relayed_leaving_at[InstanceId(instance)] = now

    def _adopt_snapshot(self, snapshot: bytes) -> None:
        state = decode_snapshot(snapshot)
        if state.is_error():
            log_warning("peer_snapshot", error=state.error.message)
        elif self._node.tail.install_snapshot(state.ok):
            log_event("snapshot_from_peer", position=state.ok.position)
            self._log.after_fold()

    def _fold_rows(self, answer: PullAnswer, sent_at: float) -> None:
        # Rows of a peer that begin after this node's state do not prove a gap in the
        # log, as the peer keeps only recent entries. They are ignored; the missing
        # entries come from a snapshot or from the log itself.
        if answer.oldest > self._node.tail.folded_offset + 1:
            return
        log_contact_at = NEVER
        if answer.contact_age_ms >= 0:
            log_contact_at = sent_at - answer.contact_age_ms / 1000.0
        rows = tuple(LogEntry(row.offset, row.value) for row in answer.rows)
        self._log.fold_page(Page(answer.oldest, answer.following, rows), log_contact_at)

    def answer(self, envelope: Envelope) -> Envelope | None:
        """Return the answer to a peer's call, None if it needs none."""
        if envelope.pull is not None:
            body = {"pull_answer": self._answer_pull(envelope.pull)}
        elif envelope.key_query is not None:
            body = {"key_answer": self._answer_key(envelope.key_query)}
        else:
            return None
        return Envelope(PROTOCOL_VERSION, envelope.call, self._node.id, **body)

    def _answer_pull(self, pull: Pull) -> PullAnswer:
        node = self._node
        now = node.clock.now()
        sender = pull.sender
        self._record_sender(sender, pull.demand, now)
        views = [
            view
            for group in node.tail.state.groups.values()
            if (view := node.group_view(group, now)) is not None
        ]
        report = NodeReport(
            self._own_digest(),
            views,
            digest_peers(node.peer_views.all_views(), node.tail.state.nodes, now),
            self._own_demand(),
            node.listed_leaving_instances(),
            node.log_contact_at,
        )
        return answer_pull(pull, node.tail, report, now)

    def _answer_key(self, query: KeyQuery) -> KeyAnswer:
        entry = self._node.key_table.get(RequestKey(query.key))
        if query.incarnation != self._node.incarnation or entry is None:
            return KeyAnswer(KEY_STATE_GONE)
        return KeyAnswer(entry.state.value, entry.status, entry.content_type, entry.body)

    def _own_digest(self) -> NodeDigest:
        node = self._node
        return NodeDigest(node.id, node.incarnation, 0, node.drain.leaving)

    def _own_demand(self) -> list[AccountDemand]:
        """Return the requests per second of the accounts with the highest demand here."""
        demand = sorted(
            self._node.account_limiter.demand_by_account().items(), key=lambda pair: -pair[1]
        )
        return [AccountDemand(name, rate) for name, rate in demand[:MAX_DEMAND_ACCOUNTS]]

    def _record_sender(
        self, sender: NodeDigest, demand: list[AccountDemand], heard_at: float
    ) -> None:
        """Store the sign of life and the demand of the peer that sent a message."""
        if sender.node == self._node.id:
            return
        node = NodeId(sender.node)
        incarnation = Incarnation(sender.incarnation)
        self._node.peer_views.merge(PeerView(node, incarnation, heard_at, sender.leaving))
        self._node.peer_demand[node] = {
            account_demand.account: account_demand.rate for account_demand in demand
        }


def _decode_key_answer(answer: KeyAnswer | None) -> KeyEntry | None:
    """Return the entry in a peer's answer, None if it has none that can be read."""
    if answer is None or answer.state == KEY_STATE_GONE:
        return None
    try:
        state = KeyState(answer.state)
    except ValueError:
        return None
    return KeyEntry(state, "", answer.status, answer.content_type, answer.body)
