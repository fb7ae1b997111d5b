"""Leaves the planning to a node that reaches backend servers while this one does not."""

from briarpond.logs import log_event
from briarpond.net import Clock
from briarpond.reachability import Reachability

from ._lease import PlannerLease
from ._peers import PeerLink
from ._planner_link import PlannerRunner

# A node that is cut off from the servers waits this long before it leaves the planning to others,
# in seconds: it may learn meanwhile that they are cut off, too.
HANDOVER_DELAY_S = 0.4
# How often it looks for a node that reaches servers after that.
HANDOVER_CHECK_INTERVAL_S = 0.1


class PlanningHandover:
    """Withdraws this node from the planner's lease group while it is cut off.

    The holder of the lease stays until another node that reaches servers is a candidate, that is,
    reaches the store, too: otherwise nobody could do better, and the plan remains valid only as
    long as somebody confirms it.

    Parameters
    ----------
    clock : Clock
        Source of time and timers.
    reachability : Reachability
        Whether this node reaches backend servers.
    lease : PlannerLease
        The planner's lease.
    planner : PlannerRunner
        Stops planning once the lease is given up.
    peers : PeerLink
        Tells other nodes of the change, and knows which of them reach servers.
    """

    def __init__(
        self,
        clock: Clock,
        reachability: Reachability,
        lease: PlannerLease,
        planner: PlannerRunner,
        peers: PeerLink,
    ) -> None:
        self._clock = clock
        self._reachability = reachability
        self._lease = lease
        self._planner = planner
        self._peers = peers
        self._is_waiting = False

    def on_reach_changed(self) -> None:
        """Tell other nodes that this one is cut off from the backend servers, or is back."""
        self._peers.announce()
        if not self._is_waiting:
            self._is_waiting = True
            self._clock.after(HANDOVER_DELAY_S, self._withdraw_if_useful)

    def _withdraw_if_useful(self) -> None:
        now = self._clock.now()
        self._is_waiting = self._reachability.is_cut_off(now)
        if not self._is_waiting:
            return
        self._clock.after(HANDOVER_CHECK_INTERVAL_S, self._withdraw_if_useful)
        if self._should_withdraw(now):
            log_event("planning_handed_over", planning=self._planner.planning)
            self._lease.withdraw()
            self._planner.step()
            self._peers.announce()

    def _should_withdraw(self, now: float) -> bool:
        """Whether the planning goes on without this node as a candidate."""
        if not self._lease.is_candidate(now):
            return False
        members = self._peers.sync.members
        if self._lease.holds(now):
            return members.other_may_plan(now)
        return members.others_reach_servers(now) and bool(members.candidates(now))
