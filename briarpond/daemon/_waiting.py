"""Requests that wait at the node until a backend server has room for them."""

from briarpond.admission import FairQueue, QueueFull, Waiting
from briarpond.requests import RefusalCode

from ._attempts import Attempts
from ._node import NodeContext
from ._runner import Runner

SERVED_AT_ONCE = 64


class WaitingRoom:
    """One fair queue for each pool."""

    def __init__(self, node: NodeContext) -> None:
        self._node = node
        self._queues: dict[str, FairQueue] = {}

    def admit(
        self, runner: Runner, attempts: Attempts, pool: str, weight: float, cost: float, now: float
    ) -> None:
        """Start a request if there is room, else queue it or refuse it."""
        queue = self._queues.get(pool)
        target_s = self._node.document.policy.first_token_s
        if (queue is None or not len(queue)) and attempts.has_room(target_s, now):
            runner.start()
            return
        queue = self._queues.setdefault(pool, FairQueue())
        plan = runner.machine.plan
        deadline = min(plan.deadline, now + self._node.document.policy.queue_s)

        def begin() -> bool:
            present = self._node.clock.now()
            left_s = max(0.0, deadline - present)
            if not attempts.has_room(min(target_s, left_s), present):
                return False
            runner.start()
            return True

        def expire() -> None:
            self._refuse(runner, QueueFull("deadline", queue.expected_wait_s()))

        full = queue.push(Waiting(plan.account, deadline, begin, expire), weight, cost, now)
        if full is not None:
            self._refuse(runner, full)

    def serve(self, pool: str, now: float) -> None:
        """Start waiting requests of a pool while it has room."""
        queue = self._queues.get(pool)
        if queue is None:
            return
        queue.serve(now, SERVED_AT_ONCE)
        if not len(queue):
            del self._queues[pool]

    def tick(self, now: float) -> None:
        """Serve what has room and end what waited too long."""
        for pool, queue in list(self._queues.items()):
            for waiting in queue.expire(now):
                waiting.expire()
            self.serve(pool, now)

    def _refuse(self, runner: Runner, full: QueueFull) -> None:
        code = RefusalCode.DEADLINE if full.reason == "deadline" else RefusalCode.OVERLOADED
        message = f"All backend servers are busy; the limit is the {full.reason}."
        runner.refuse(code, 503, message, full.retry_after_s)
