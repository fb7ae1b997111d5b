"""Queues of requests that wait at the node until a backend server has room."""

from briarpond.admission import FairQueue, QueuedRequest, QueueFull
from briarpond.requests import RefusalCode

from ._attempts import AttemptTracker
from ._node import NodeContext
from ._runner import RequestRunner
from ._taking import CANNOT_FINISH

# Bounds how long one call of `start_waiting` occupies the loop.
MAX_STARTS_PER_CALL = 64


class RequestQueues:
    """One fair queue for each pool; an empty queue is dropped."""

    def __init__(self, node: NodeContext) -> None:
        self._node = node
        self._queues: dict[str, FairQueue] = {}

    def start_or_queue(
        self,
        runner: RequestRunner,
        attempts: AttemptTracker,
        pool_name: str,
        weight: float,
        cost: float,
        longest_s: float,
        now: float,
    ) -> None:
        """Start a request if its pool has room, otherwise queue or refuse it.

        Parameters
        ----------
        attempts : AttemptTracker
            Of the same request; shows whether the pool has room.
        weight : float
            Weight of the client account in the fair queue, relative to other accounts.
        cost : float
            Work of the request, 1 plus the tokens that it may generate.
        longest_s : float
            Seconds that the request takes at most once it has started, as far as known.
        now : float
            Time of the node's clock, seconds.
        """
        queue = self._queues.get(pool_name)
        first_byte_target_s = self._node.document.policy.first_token_s
        if (queue is None or not len(queue)) and attempts.has_room(first_byte_target_s, now):
            runner.start()
            return
        queue = self._queues.setdefault(pool_name, FairQueue())
        request_spec = runner.machine.spec
        deadline = min(request_spec.deadline, now + self._node.document.policy.queue_s)

        def try_start() -> bool:
            turn_at = self._node.clock.now()
            if not self._node.drain.can_finish(request_spec.deadline, longest_s, turn_at):
                runner.refuse_unstarted(
                    CANNOT_FINISH.code,
                    CANNOT_FINISH.status,
                    CANNOT_FINISH.message,
                    CANNOT_FINISH.retry_after_s,
                )
                return True
            remaining_s = max(0.0, deadline - turn_at)
            if not attempts.has_room(min(first_byte_target_s, remaining_s), turn_at):
                return False
            runner.start()
            return True

        def expire() -> None:
            self._refuse(runner, QueueFull("deadline", queue.expected_wait_s()))

        queue_full = queue.push(
            QueuedRequest(request_spec.account, deadline, try_start, expire), weight, cost, now
        )
        if queue_full is not None:
            self._refuse(runner, queue_full)

    def start_waiting(self, pool_name: str, now: float) -> None:
        """Start waiting requests of a pool, in fair order, while it has room."""
        queue = self._queues.get(pool_name)
        if queue is None:
            return
        queue.start_queued(now, MAX_STARTS_PER_CALL)
        if not len(queue):
            del self._queues[pool_name]

    def tick(self, now: float) -> None:
        """Refuse requests whose queue time has run out; start those that have room."""
        for pool_name, queue in list(self._queues.items()):
            for waiting in queue.remove_expired(now):
                waiting.on_expired()
            self.start_waiting(pool_name, now)

    def _refuse(self, runner: RequestRunner, queue_full: QueueFull) -> None:
        code = (
            RefusalCode.DEADLINE_EXCEEDED
            if queue_full.reason == "deadline"
            else RefusalCode.OVERLOADED
        )
        message = f"All backend servers are busy; the limit is the {queue_full.reason}."
        runner.refuse_unstarted(code, 503, message, queue_full.retry_after_s)
