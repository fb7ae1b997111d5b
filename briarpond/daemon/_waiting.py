"""Requests that wait because every backend server that could take them is full."""

from collections.abc import Callable

import msgspec

from briarpond.admission import FairQueue, QueueFull, Waiting
from briarpond.requests import RefusalCode
from briarpond.routing import Candidate, Hint

from ._node import NodeContext
from ._runner import Runner

SERVED_AT_ONCE = 64


class Pool(msgspec.Struct, frozen=True):
    """Backend servers that can take the same requests.

    Attributes
    ----------
    name : str
        Kind and name of the model or service.
    slots : int
        Requests at one of them beyond which others wait here.
    """

    name: str
    candidates: Callable[[float], list[Candidate]]
    slots: int
    hint: Hint


class WaitingRoom:
    """One fair queue for each pool."""

    def __init__(self, node: NodeContext) -> None:
        self._node = node
        self._queues: dict[str, FairQueue] = {}
        self._pools: dict[str, Pool] = {}

    def admit(self, runner: Runner, pool: Pool, weight: float, cost: float, now: float) -> None:
        """Start a request if there is room, else queue it or refuse it."""
        queue = self._queues.get(pool.name)
        if (queue is None or not len(queue)) and self._has_room(pool, now):
            runner.start()
            return
        queue = self._queues.setdefault(pool.name, FairQueue())
        self._pools[pool.name] = pool
        plan = runner.machine.plan

        def expire() -> None:
            runner.tick()

        waiting = Waiting(plan.account, plan.deadline, runner.start, expire)
        full = queue.push(waiting, weight, cost, now)
        if full is not None:
            self._refuse(runner, full)

    def serve(self, pool: Pool, now: float) -> None:
        """Start waiting requests of a pool while it has room."""
        queue = self._queues.get(pool.name)
        if queue is None:
            return
        for _ in range(SERVED_AT_ONCE):
            if not len(queue) or not self._has_room(pool, now):
                break
            waiting = queue.pop(now)
            if waiting is not None:
                waiting.begin()
        if not len(queue):
            del self._queues[pool.name]
            del self._pools[pool.name]

    def tick(self, now: float) -> None:
        """Serve what has room and end what waited too long."""
        for pool in list(self._pools.values()):
            for waiting in self._queues[pool.name].expire(now):
                waiting.expire()
            self.serve(pool, now)

    def _has_room(self, pool: Pool, now: float) -> bool:
        """Whether a request would not have to wait; without any server it need not either."""
        candidates = pool.candidates(now)
        if not candidates:
            return True
        return any(self._node.router.estimate(each) < pool.slots for each in candidates)

    def _refuse(self, runner: Runner, full: QueueFull) -> None:
        code = RefusalCode.DEADLINE if full.reason == "deadline" else RefusalCode.OVERLOADED
        message = f"All backend servers are busy; the limit is the {full.reason}."
        runner.refuse(code, 503, message, full.retry_after_s)
