"""Fair queue of requests that wait at the node for a free slot at a backend server.

It implements start-time fair queueing: each request gets a start tag that grows with the cost
of its account's earlier requests, divided by the account's weight, and the request with the
lowest tag is started first. An account that fills the queue therefore delays its own requests
and not those of other accounts.
"""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable

import msgspec

from briarpond.ids import AccountId

# Requests that one queue holds at most.
MAX_QUEUED = 512
# Fraction of the queue that one account may fill.
MAX_ACCOUNT_FRACTION = 0.5
# Weight of the newest interval in the moving average of the service rate.
SMOOTHING_FACTOR = 0.1
# Service rate that a new queue assumes, in requests started per second.
INITIAL_RATE_PER_S = 10.0


class QueuedRequest(msgspec.Struct):
    """A request in the queue.

    Attributes
    ----------
    account : AccountId
        Account of the caller.
    deadline : float
        Monotonic time up to which the request waits.
    try_start : callable
        Called when it is the request's turn; starts it if a slot is free, and returns
        whether it did.
    on_expired : callable
        Called by the owner of the queue when the deadline has passed.
    removed : bool
        Whether the request was taken out before its turn. Its entry stays in the heap
        until it is the first one there.
    """

    account: AccountId
    deadline: float
    try_start: Callable[[], bool]
    on_expired: Callable[[], None]
    removed: bool = False


class QueueFull(msgspec.Struct, frozen=True):
    """The request was not queued.

    Attributes
    ----------
    reason : str
        The limit that it would exceed, in words for the caller.
    retry_after_s : float
        Seconds after which it may be tried again.
    """

    reason: str
    retry_after_s: float


class FairQueue:
    """Weighted fair queue with a limited number of requests."""

    def __init__(self) -> None:
        # Start tag, sequence number (first come, first served for equal tags), request.
        self._heap: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._finish_tags: dict[AccountId, float] = {}
        self._queued_by_account: dict[AccountId, int] = defaultdict(int)
        self._rate_per_s = INITIAL_RATE_PER_S
        self._last_started_at: float | None = None

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return sum(self._queued_by_account.values())

    def expected_wait_s(self) -> float:
        """Return the expected wait of a request that is queued now, in seconds."""
        return (len(self) + 1) / self._rate_per_s

    def push(
        self, request: QueuedRequest, weight: float, cost: float, now: float
    ) -> QueueFull | None:
        """Queue a request; return the reason if it cannot be queued.

        A request whose deadline would pass while it waits is not queued.

        Parameters
        ----------
        request : QueuedRequest
            The request.
        weight : float
            Weight of its account: an account with twice the weight is served at twice
            the rate.
        cost : float
            Expected work of the request, in a unit that all requests of the queue share.
        now : float
            Monotonic time in seconds.
        """
        wait_s = self.expected_wait_s()
        if now + wait_s > request.deadline:
            return QueueFull("deadline", wait_s)
        if len(self) >= MAX_QUEUED:
            return QueueFull("queue", wait_s)
        if self._queued_by_account[request.account] >= MAX_QUEUED * MAX_ACCOUNT_FRACTION:
            return QueueFull("account's part of the queue", wait_s)
        start_tag = max(self._virtual_time, self._finish_tags.get(request.account, 0.0))
        self._finish_tags[request.account] = start_tag + cost / weight
        self._queued_by_account[request.account] += 1
        heapq.heappush(self._heap, (start_tag, next(self._sequence), request))
        return None

    def start_queued(self, now: float, limit: int) -> int:
        """Start up to `limit` requests in fair order while slots are free; return how many."""
        started = 0
        while started < limit and self._discard_removed():
            tag, _, request = self._heap[0]
            if not request.try_start():
                break
            heapq.heappop(self._heap)
            self._virtual_time = max(self._virtual_time, tag)
            self._decrement(request)
            self._update_rate(now)
            started += 1
        return started

    def _discard_removed(self) -> bool:
        """Discard removed requests at the front; return whether any other waits.

        Once the queue is empty, its tags and the time of the last start are reset.
        """
        while self._heap and self._heap[0][2].removed:
            heapq.heappop(self._heap)
        if self._heap:
            return True
        self._finish_tags.clear()
        self._virtual_time = 0.0
        self._last_started_at = None
        return False

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request, for instance because its caller has disconnected."""
        if not request.removed:
            request.removed = True
            self._decrement(request)

    def remove_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            entry[2] for entry in self._heap if not entry[2].removed and now >= entry[2].deadline
        ]
        for request in expired:
            self.remove(request)
        return expired

    def _decrement(self, request: QueuedRequest) -> None:
        self._queued_by_account[request.account] -= 1
        if not self._queued_by_account[request.account]:
            del self._queued_by_account[request.account]

    def _update_rate(self, now: float) -> None:
        """Update the mean service rate; a short interval counts as at most ten times the mean."""
        if self._last_started_at is not None and now > self._last_started_at:
            rate_per_s = 1.0 / (now - self._last_started_at)
            self._rate_per_s += SMOOTHING_FACTOR * (
                min(rate_per_s, 10 * self._rate_per_s) - self._rate_per_s
            )
        self._last_started_at = now
