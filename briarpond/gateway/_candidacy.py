"""Whether a node applies for the planner's lease, and which terms of it are in use."""

from briarpond.directory import ExchangeVersion, PeerSync
from briarpond.placement import term_of_epoch

from ._lease import MAX_CANDIDATES
from ._state import NodeState
from ._store_client import StoreClient
from ._topic_feed import READ_MARGIN_S, TopicFeed

# Longest wait of a read of the instance list on the planner. A record at the end of a wait confirms
# only the time at which the read was sent, and the next wait must end before the planner's list
# counts as old (`plan_lifetime_s`).
PLANNER_READ_WAIT_S = 0.5


class Candidacy:
    """What this node knows that bears on its application for the planner's lease.

    Parameters
    ----------
    state : NodeState
        Shared state of the node.
    sync : PeerSync
        Exchange with the other nodes.
    store : StoreClient
        Client of the store that grants the lease.
    instances_feed : TopicFeed
        Reads the instance list.
    """

    def __init__(
        self, state: NodeState, sync: PeerSync, store: StoreClient, instances_feed: TopicFeed
    ) -> None:
        self._state = state
        self._sync = sync
        self._store = store
        self._instances_feed = instances_feed

    def should_apply(self) -> bool:
        """Whether this node should become a candidate for the lease."""
        now = self._state.clock.now()
        is_settled = self._sync.is_settled(now)
        return is_settled and self._sync.members.should_apply(MAX_CANDIDATES, now)

    def is_prepared(self) -> bool:
        """Whether this node has followed the instance list long enough to plan at once."""
        now = self._state.clock.now()
        age = self._instances_feed.age(now)
        is_fresh = age is not None and age < PLANNER_READ_WAIT_S + READ_MARGIN_S
        return is_fresh and self._state.fleet.is_complete(now)

    def is_superseded(self, term: int) -> bool:
        """Whether another node has planned under a later term than this one."""
        plan = self._state.plan
        return plan is not None and plan.term > term

    def highest_used_term(self) -> int | None:
        """Return the highest term known to be in use; None if terms must have the store's era.

        After a restoration they must: a term that nobody knows any more may have been used. But
        nodes of releases that know no eras couldn't plan after such a term.
        """
        lowest_version = self._sync.members.lowest_version()
        if self._store.was_restored and lowest_version >= ExchangeVersion.STORE_ERAS:
            return None
        plan = self._state.plan
        instances = self._state.fleet.all_instances()
        epochs = [each.membership.epoch for each in instances if each.membership is not None]
        return max(0 if plan is None else plan.term, term_of_epoch(max(epochs, default=0)))
