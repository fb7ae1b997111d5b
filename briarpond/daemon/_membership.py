"""The node's own place in the system: join, leases, leaving, removals, snapshots."""

import msgspec

from briarpond.ids import DataCentre, LeaseScope, NodeId, Position
from briarpond.journal import (
    LeaseTake,
    NodeJoin,
    NodeLeave,
    NodeRemove,
    NodeStage,
    Settled,
    TailStatus,
    split_snapshot,
)
from briarpond.logs import log_event, log_warning

from ._node import NodeContext

UPKEEP_S = 0.25
RECORD_TIMEOUT_S = 5.0
SNAPSHOT_SCOPE = LeaseScope("journal")
SNAPSHOT_RECORDS = 500
FIRST_TRY_JITTER_S = 0.5


class _SeenLease(msgspec.Struct):
    position: Position
    seen_at: float


class Membership:
    """Announces the node, keeps its leases and removes peers that are gone."""

    def __init__(self, node: NodeContext) -> None:
        self._node = node
        self._joining = False
        self._joined = False
        self._announcing_leave = False
        self._removing: set[NodeId] = set()
        self._seen: dict[LeaseScope, _SeenLease] = {}
        self._renewed_at: dict[LeaseScope, float] = {}
        self._taking: set[LeaseScope] = set()
        self._peer_joined_at: dict[NodeId, tuple[Position, float]] = {}
        self._snapshot_at = node.clock.now()
        self.superseded = False

    def start(self) -> None:
        """Schedule the upkeep."""
        self._node.clock.every(UPKEEP_S, self.upkeep)

    @property
    def plan_scope(self) -> LeaseScope:
        """Scope of the lease for planning this data centre."""
        return plan_scope(self._node.data_centre)

    def holds(self, scope: LeaseScope) -> bool:
        """Whether this node may act under the lease, by its own clock."""
        lease = self._node.tail.state.leases.get(scope)
        if lease is None or lease.incarnation != self._node.incarnation:
            return False
        renewed_at = self._renewed_at.get(scope)
        if renewed_at is None:
            return False
        ttl_s = self._node.settings.timing.lease_ttl_s
        return self._node.clock.now() - renewed_at < ttl_s and not self._node.drain.leaving

    def upkeep(self) -> None:
        """Do what is due."""
        node = self._node
        if node.tail.status is not TailStatus.FOLLOWING:
            return
        now = node.clock.now()
        if node.drain.leaving:
            self._announce_leave(now)
            return
        self._join()
        if not self._joined:
            return
        for scope in (self.plan_scope, SNAPSHOT_SCOPE):
            self._keep_lease(scope, now)
        if self.holds(self.plan_scope):
            self._remove_gone(now)
        if self.holds(SNAPSHOT_SCOPE):
            self._snapshot(now)

    def _join(self) -> None:
        node = self._node
        own = node.tail.state.nodes.get(node.id)
        if own is not None and own.incarnation == node.incarnation:
            self._joined = True
            return
        if own is not None and self._joined:
            # Another process has taken this node's name: it goes on, this one leaves.
            self.superseded = True
            return
        if self._joining:
            return
        listen = node.settings.listen
        record = NodeJoin(
            node.record_id("join"),
            node.wall_ms(),
            node.id,
            node.incarnation,
            node.data_centre,
            node.settings.region,
            str(listen.callers),
            str(listen.peers),
        )

        def settled(result: Settled) -> None:
            self._joining = False
            verdict = result.verdict.code.value if result.verdict else "no-answer"
            log_event("node_join", node=node.id, incarnation=node.incarnation, verdict=verdict)

        self._joining = node.submit(record, RECORD_TIMEOUT_S, settled)

    def _announce_leave(self, now: float) -> None:
        node = self._node
        own = node.tail.state.nodes.get(node.id)
        if own is None or own.incarnation != node.incarnation:
            return
        if own.stage is NodeStage.LEAVING:
            node.drain.on_known(now)
            return
        if self._announcing_leave:
            return
        record = NodeLeave(
            node.record_id("leave"), node.wall_ms(), node.id, node.incarnation, node.id
        )

        def settled(result: Settled) -> None:
            self._announcing_leave = False

        self._announcing_leave = node.submit(record, RECORD_TIMEOUT_S, settled)

    def remove_self(self) -> None:
        """Submit the removal of this node, which has nothing left to do."""
        node = self._node
        record = NodeRemove(
            node.record_id("remove"), node.wall_ms(), node.id, node.incarnation, node.id
        )
        node.submit(record, RECORD_TIMEOUT_S, lambda result: None)

    def _keep_lease(self, scope: LeaseScope, now: float) -> None:
        node = self._node
        ttl_s = node.settings.timing.lease_ttl_s
        lease = node.tail.state.leases.get(scope)
        if scope in self._taking:
            return
        if lease is not None and lease.incarnation == node.incarnation:
            if now - self._renewed_at.get(scope, float("-inf")) >= ttl_s / 3:
                self._take_lease(scope, lease.position, now)
            return
        if lease is None:
            seen = self._seen.setdefault(scope, _SeenLease(Position(0), self._jittered(now)))
            wait_s = 0.0
        else:
            seen = self._seen.get(scope)
            if seen is None or seen.position != lease.position:
                seen = _SeenLease(lease.position, self._jittered(now))
                self._seen[scope] = seen
            wait_s = ttl_s
        if now - seen.seen_at >= wait_s:
            seen.seen_at = self._jittered(now)
            self._take_lease(scope, lease.position if lease else Position(0), now)

    def _take_lease(self, scope: LeaseScope, previous: Position, now: float) -> None:
        node = self._node
        record = LeaseTake(node.record_id("lease"), scope, node.id, node.incarnation, previous)

        def settled(result: Settled) -> None:
            self._taking.discard(scope)
            if result.verdict is not None and result.verdict.accepted:
                # Counted from the submission, so that the holder errs on the early side.
                self._renewed_at[scope] = now

        if node.submit(record, node.settings.timing.lease_ttl_s, settled):
            self._taking.add(scope)

    def _jittered(self, now: float) -> float:
        return now + self._node.rng.uniform(0.0, FIRST_TRY_JITTER_S)

    def _remove_gone(self, now: float) -> None:
        node = self._node
        gone_s = node.settings.timing.node_gone_s
        for peer in node.live_peers():
            joined = self._peer_joined_at.get(peer.id)
            if joined is None or joined[0] != peer.position:
                self._peer_joined_at[peer.id] = (peer.position, now)
                continue
            view = node.peers.get(peer.id)
            heard = view is not None and view.incarnation == peer.incarnation
            heard_at = view.heard_at if heard and view is not None else joined[1]
            if now - max(heard_at, joined[1]) > gone_s and peer.id not in self._removing:
                self._remove(peer.id, peer.incarnation)

    def _remove(self, peer: NodeId, incarnation) -> None:
        node = self._node
        record = NodeRemove(node.record_id("remove"), node.wall_ms(), peer, incarnation, node.id)

        def settled(result: Settled) -> None:
            self._removing.discard(peer)

        log_warning("node_gone", node=peer, incarnation=incarnation)
        if node.submit(record, RECORD_TIMEOUT_S, settled):
            self._removing.add(peer)

    def _snapshot(self, now: float) -> None:
        tail = self._node.tail
        due = tail.records_since_snapshot >= SNAPSHOT_RECORDS
        interval_s = self._node.settings.timing.snapshot_s
        aged = now - self._snapshot_at >= interval_s and tail.records_since_snapshot > 0
        if not due and not aged or now - self._snapshot_at < RECORD_TIMEOUT_S:
            return
        self._snapshot_at = now
        parts = split_snapshot(tail.state, f"snapshot-{self._node.new_id()}")
        log_event("snapshot", through=tail.folded_offset, parts=len(parts))
        for part in parts:
            self._node.submit(part, RECORD_TIMEOUT_S, lambda result: None)


def plan_scope(data_centre: DataCentre) -> LeaseScope:
    """Return the scope of the planning lease of a data centre."""
    return LeaseScope(f"plan/{data_centre}")
