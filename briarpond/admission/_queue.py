"""Fair queue of requests that wait for a free place at a backend server.

Start-time fair queueing: each account's requests get tags that grow with their
cost divided by the account's weight, and the lowest tag is served first. A
large account that fills the queue therefore delays itself, not a small one.
"""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable

import msgspec

from briarpond.ids import AccountId

MAX_WAITING = 512
MAX_ACCOUNT_PART = 0.5
RATE_WEIGHT = 0.1
FIRST_RATE = 10.0


class Waiting(msgspec.Struct):
    """A request in the queue.

    Attributes
    ----------
    begin : callable
        Called when its turn comes; returns whether there was room for it.
    expire : callable
        Called when its deadline has passed.
    """

    account: AccountId
    deadline: float
    begin: Callable[[], bool]
    expire: Callable[[], None]
    left: bool = False


class QueueFull(msgspec.Struct, frozen=True):
    """The request was not queued; it may come again after `retry_after_s` seconds."""

    reason: str
    retry_after_s: float


class FairQueue:
    """Bounded weighted fair queue."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Waiting]] = []
        self._order = itertools.count()
        self._virtual = 0.0
        self._last_tag: dict[AccountId, float] = {}
        self._by_account: dict[AccountId, int] = defaultdict(int)
        self._rate = FIRST_RATE
        self._served_at: float | None = None

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(self._by_account.values())

    def expected_wait_s(self) -> float:
        """Return how long a request that joins now is likely to wait."""
        return (len(self) + 1) / self._rate

    def push(self, waiting: Waiting, weight: float, cost: float, now: float) -> QueueFull | None:
        """Queue a request, or say why not.

        A request whose deadline would pass while it waits is refused at once.
        """
        wait_s = self.expected_wait_s()
        if now + wait_s > waiting.deadline:
            return QueueFull("deadline", wait_s)
        if len(self) >= MAX_WAITING:
            return QueueFull("queue", wait_s)
        if self._by_account[waiting.account] >= MAX_WAITING * MAX_ACCOUNT_PART:
            return QueueFull("account's part of the queue", wait_s)
        start = max(self._virtual, self._last_tag.get(waiting.account, 0.0))
        self._last_tag[waiting.account] = start + cost / weight
        self._by_account[waiting.account] += 1
        heapq.heappush(self._heap, (start, next(self._order), waiting))
        return None

    def serve(self, now: float, most: int) -> int:
        """Begin requests in fair order while there is room; return how many."""
        begun = 0
        while begun < most and self._drop_left():
            tag, _, waiting = self._heap[0]
            if not waiting.begin():
                break
            heapq.heappop(self._heap)
            self._virtual = max(self._virtual, tag)
            self._remove(waiting)
            self._note_service(now)
            begun += 1
        return begun

    def _drop_left(self) -> bool:
        """Drop requests that have left; return whether any other waits."""
        while self._heap and self._heap[0][2].left:
            heapq.heappop(self._heap)
        if self._heap:
            return True
        self._last_tag.clear()
        self._virtual = 0.0
        self._served_at = None
        return False

    def leave(self, waiting: Waiting) -> None:
        """Take a request out because its caller has left."""
        if not waiting.left:
            waiting.left = True
            self._remove(waiting)

    def expire(self, now: float) -> list[Waiting]:
        """Take out and return the requests whose deadline has passed."""
        late = [row[2] for row in self._heap if not row[2].left and now >= row[2].deadline]
        for waiting in late:
            self.leave(waiting)
        return late

    def _remove(self, waiting: Waiting) -> None:
        self._by_account[waiting.account] -= 1
        if not self._by_account[waiting.account]:
            del self._by_account[waiting.account]

    def _note_service(self, now: float) -> None:
        if self._served_at is not None and now > self._served_at:
            rate = 1.0 / (now - self._served_at)
            self._rate += RATE_WEIGHT * (min(rate, 10 * self._rate) - self._rate)
        self._served_at = now
