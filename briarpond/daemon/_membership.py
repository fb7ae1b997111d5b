"""Records that this node submits: join, leases, leave, removal of silent peers, snapshots."""

import msgspec

from briarpond.ids import DataCentre, LeaseScope, NodeId, Position
from briarpond.journal import (
    LeaseTake,
    NodeJoin,
    NodeLeave,
    NodeRemove,
    NodeStage,
    RecordOutcome,
    TailStatus,
    split_snapshot,
)
from briarpond.logs import log_event, log_warning

from ._node import NodeContext

ROUND_INTERVAL_S = 0.25
# Wait for the log's verdict on a record; also the shortest time between two snapshots.
RECORD_TIMEOUT_S = 5.0
# Lease under which one node of the system writes snapshots.
SNAPSHOT_SCOPE = LeaseScope("journal")
# Records folded since the last snapshot after which a new one is due.
SNAPSHOT_AFTER_RECORDS = 500
# Most random delay before a node tries to take a free lease, so that not all try at once.
LEASE_JITTER_S = 0.5


class _ObservedLease(msgspec.Struct):
    """Renewal of a lease that another node holds, as this node saw it.

    Attributes
    ----------
    position : Position
        Log position of the renewal; 0 for a lease that nobody has taken.
    observed_at : float
        Time of this node's clock at which it was first seen, plus jitter, seconds.
    """

    position: Position
    observed_at: float


class Membership:
    """Announces the node, renews its leases and removes peers that stay silent.

    Attributes
    ----------
    superseded : bool
        Whether another process has joined under this node's id, so that this one must
        stop.
    """

    def __init__(self, node: NodeContext) -> None:
        self._node = node
        self._join_pending = False
        self._joined = False
        self._leave_pending = False
        self._pending_removals: set[NodeId] = set()
        self._observed_leases: dict[LeaseScope, _ObservedLease] = {}
        # Submission time of this node's last accepted renewal of each lease.
        self._renewed_at: dict[LeaseScope, float] = {}
        self._pending_leases: set[LeaseScope] = set()
        # Position of each peer's join, and the time at which it was first seen here.
        self._peer_first_seen: dict[NodeId, tuple[Position, float]] = {}
        self._last_snapshot_at = node.clock.now()
        self.superseded = False

    def start(self) -> None:
        """Schedule the rounds."""
        self._node.clock.every(ROUND_INTERVAL_S, self.run_round)

    @property
    def plan_scope(self) -> LeaseScope:
        """Scope of the planner's lease of this node's data centre."""
        return plan_scope(self._node.data_centre)

    def holds_lease(self, scope: LeaseScope) -> bool:
        """Whether this node may act under the lease, by its own clock.

        The folded state alone is not enough: if the log cannot be reached, the state
        still names this node after others have taken the lease. A leaving node does
        not act under a lease.
        """
        lease = self._node.tail.state.leases.get(scope)
        if lease is None or lease.incarnation != self._node.incarnation:
            return False
        renewed_at = self._renewed_at.get(scope)
        if renewed_at is None:
            return False
        ttl_s = self._node.settings.timing.lease_ttl_s
        return self._node.clock.now() - renewed_at < ttl_s and not self._node.drain.leaving

    def run_round(self) -> None:
        """Submit the records that are due; does nothing while the log is not followed."""
        node = self._node
        if node.tail.status is not TailStatus.FOLLOWING:
            return
        now = node.clock.now()
        if node.drain.leaving:
            self._announce_leave(now)
            return
        self._ensure_joined()
        if not self._joined:
            return
        for scope in (self.plan_scope, SNAPSHOT_SCOPE):
            self._take_lease_if_due(scope, now)
        if self.holds_lease(self.plan_scope):
            self._remove_silent_peers(now)
        if self.holds_lease(SNAPSHOT_SCOPE):
            self._write_snapshot_if_due(now)

    def _ensure_joined(self) -> None:
        """Submit the join of this incarnation, until the folded state shows it."""
        node = self._node
        own = node.tail.state.nodes.get(node.id)
        if own is not None and own.incarnation == node.incarnation:
            self._joined = True
            return
        if own is not None and self._joined:
            # Another process joined under this node's id; that process continues, this one stops.
            self.superseded = True
            return
        if self._join_pending:
            return
        listen = node.settings.listen
        record = NodeJoin(
            node.new_record_id("join"),
            node.wall_clock_ms(),
            node.id,
            node.incarnation,
            node.data_centre,
            node.settings.region,
            str(listen.callers),
            str(listen.peers),
        )

        def on_settled(result: RecordOutcome) -> None:
            self._join_pending = False
            verdict = result.verdict.code.value if result.verdict else "no-answer"
            log_event("node_join", node=node.id, incarnation=node.incarnation, verdict=verdict)

        self._join_pending = node.submit(record, RECORD_TIMEOUT_S, on_settled)

    def _announce_leave(self, now: float) -> None:
        """Submit the announcement that this node leaves, until the folded state shows it."""
        node = self._node
        own = node.tail.state.nodes.get(node.id)
        if own is None or own.incarnation != node.incarnation:
            return
        if own.stage is NodeStage.LEAVING:
            node.drain.on_announced(now)
            return
        if self._leave_pending:
            return
        record = NodeLeave(
            node.new_record_id("leave"), node.wall_clock_ms(), node.id, node.incarnation, node.id
        )

        def on_settled(result: RecordOutcome) -> None:
            self._leave_pending = False

        self._leave_pending = node.submit(record, RECORD_TIMEOUT_S, on_settled)

    def remove_self(self) -> None:
        """Submit the removal of this node once it has stopped all work."""
        node = self._node
        record = NodeRemove(
            node.new_record_id("remove"), node.wall_clock_ms(), node.id, node.incarnation, node.id
        )
        node.submit(record, RECORD_TIMEOUT_S, lambda result: None)

    def _take_lease_if_due(self, scope: LeaseScope, now: float) -> None:
        """Renew a lease that this node holds, or take one that is free or has expired.

        A holder renews after a third of the lease's lifetime. Another node takes the
        lease once it has seen no renewal for a whole lifetime by its own clock, so no
        agreement of clocks is needed.
        """
        node = self._node
        ttl_s = node.settings.timing.lease_ttl_s
        lease = node.tail.state.leases.get(scope)
        if scope in self._pending_leases:
            return
        if lease is not None and lease.incarnation == node.incarnation:
            if now - self._renewed_at.get(scope, float("-inf")) >= ttl_s / 3:
                self._submit_lease(scope, lease.position, now)
            return
        if lease is None:
            observed = self._observed_leases.setdefault(
                scope, _ObservedLease(Position(0), self._with_jitter(now))
            )
            wait_s = 0.0
        else:
            observed = self._observed_leases.get(scope)
            if observed is None or observed.position != lease.position:
                observed = _ObservedLease(lease.position, self._with_jitter(now))
                self._observed_leases[scope] = observed
            wait_s = ttl_s
        if now - observed.observed_at >= wait_s:
            observed.observed_at = self._with_jitter(now)
            self._submit_lease(scope, lease.position if lease else Position(0), now)

    def _submit_lease(self, scope: LeaseScope, previous: Position, now: float) -> None:
        node = self._node
        record = LeaseTake(node.new_record_id("lease"), scope, node.id, node.incarnation, previous)

        def on_settled(result: RecordOutcome) -> None:
            self._pending_leases.discard(scope)
            if result.verdict is not None and result.verdict.accepted:
                # Counted from the submission, so that the holder stops acting before
                # another node can take the lease.
                self._renewed_at[scope] = now

        if node.submit(record, node.settings.timing.lease_ttl_s, on_settled):
            self._pending_leases.add(scope)

    def _with_jitter(self, now: float) -> float:
        return now + self._node.rng.uniform(0.0, LEASE_JITTER_S)

    def _remove_silent_peers(self, now: float) -> None:
        """Submit the removal of peers not heard from for `node_gone_s`.

        The time counts from when this node first saw the peer's join, at the earliest,
        so that a new peer is not removed before its first message can arrive.
        """
        node = self._node
        max_silence_s = node.settings.timing.node_gone_s
        for peer in node.other_nodes():
            first_seen = self._peer_first_seen.get(peer.id)
            if first_seen is None or first_seen[0] != peer.position:
                self._peer_first_seen[peer.id] = (peer.position, now)
                continue
            view = node.peer_views.get(peer.id)
            same_incarnation = view is not None and view.incarnation == peer.incarnation
            heard_at = (
                view.last_alive_at if same_incarnation and view is not None else first_seen[1]
            )
            if (
                now - max(heard_at, first_seen[1]) > max_silence_s
                and peer.id not in self._pending_removals
            ):
                self._submit_removal(peer.id, peer.incarnation)

    def _submit_removal(self, peer: NodeId, incarnation) -> None:
        node = self._node
        record = NodeRemove(
            node.new_record_id("remove"), node.wall_clock_ms(), peer, incarnation, node.id
        )

        def on_settled(result: RecordOutcome) -> None:
            self._pending_removals.discard(peer)

        log_warning("node_gone", node=peer, incarnation=incarnation)
        if node.submit(record, RECORD_TIMEOUT_S, on_settled):
            self._pending_removals.add(peer)

    def _write_snapshot_if_due(self, now: float) -> None:
        """Write a snapshot after enough records, or after the interval if there are any."""
        tail = self._node.tail
        enough_records = tail.records_since_snapshot >= SNAPSHOT_AFTER_RECORDS
        interval_s = self._node.settings.timing.snapshot_s
        interval_over = (
            now - self._last_snapshot_at >= interval_s and tail.records_since_snapshot > 0
        )
        if (
            not enough_records
            and not interval_over
            or now - self._last_snapshot_at < RECORD_TIMEOUT_S
        ):
            return
        self._last_snapshot_at = now
        parts = split_snapshot(tail.state, f"snapshot-{self._node.new_id()}")
        log_event("snapshot", through=tail.folded_offset, parts=len(parts))
        for part in parts:
            self._node.submit(part, RECORD_TIMEOUT_S, lambda result: None)


def plan_scope(data_centre: DataCentre) -> LeaseScope:
    """Return the scope of the planner's lease of a data centre."""
    return LeaseScope(f"plan/{data_centre}")
