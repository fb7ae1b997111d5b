"""What the logs and metrics tell of the retry budget."""

from briarpond.dispatch import BudgetShare, RetryUsage
from briarpond.ids import InstanceId, ServiceName
from briarpond.logs import log_event

from ._metrics import GatewayMetrics

# Shortest time between two lines about refusals for one service. Silent requests ask again and
# again, and many do so at once.
REFUSAL_LOG_INTERVAL_S = 1.0


class RetryRecords:
    """Counts what the retry budgets grant and refuse, and logs it.

    Parameters
    ----------
    metrics : GatewayMetrics
        Metrics of the node.
    """

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
        self._refused: dict[ServiceName, int] = {}
        self._logged_at: dict[ServiceName, float] = {}

    def record_granted(self, service: ServiceName) -> None:
        """Count a repeat that was granted."""
        self._metrics.retries_granted.inc({"service": service})

    def record_refused(
        self, service: ServiceName, usage: RetryUsage, share: BudgetShare, now: float
    ) -> None:
        """Count a refusal, and log it unless another one was logged just before.

        Parameters
        ----------
        service : ServiceName
            Service whose budget it is.
        usage : RetryUsage
            What is used of the budget.
        share : BudgetShare
            Part of the fixed number that the node may use.
        now : float
            Present time.
        """
        reason = _refusal_reason(share)
        self._metrics.retries_refused.inc({"service": service, "reason": reason})
        self._refused[service] = self._refused.get(service, 0) + 1
        if now - self._logged_at.get(service, float("-inf")) < REFUSAL_LOG_INTERVAL_S:
            return
        self._logged_at[service] = now
        log_event(
            "retry_refused",
            service=service,
            reason=reason,
            refusals=self._refused.pop(service),
            counted=usage.retries,
            unsent=usage.unsent,
            allowed=usage.allowed,
            requests=usage.requests,
            nodes=share.nodes,
            fraction=share.fraction,
        )

    def record_sent(
        self,
        service: ServiceName,
        request_id: str | None,
        server: InstanceId,
        held_s: float | None,
        usage: RetryUsage,
    ) -> None:
        """Log a repeat whose first byte is about to leave.

        Parameters
        ----------
        service : ServiceName
            Service that it goes to.
        request_id : str or None
            Id of the request.
        server : InstanceId
            Server that it goes to.
        held_s : float or None
            Seconds since the budget has granted it; None if it has not.
        usage : RetryUsage
            What is used of the budget.
        """
        log_event(
            "send_repeated",
            id=request_id,
            service=service,
            server=server,
            held_ms=-1 if held_s is None else int(held_s * 1000),
            counted=usage.retries,
            allowed=usage.allowed,
        )

    def update_gauges(self, service: ServiceName, usage: RetryUsage, share: BudgetShare) -> None:
        """Publish what is used of the budget of a service."""
        self._metrics.retries_counted.set({"service": service}, usage.retries)
        self._metrics.retries_allowed.set({"service": service}, usage.allowed)
        self._metrics.retry_nodes.set({}, share.nodes)
        self._metrics.retry_share.set({}, share.of_whole)


def _refusal_reason(share: BudgetShare) -> str:
    """Return why a budget without room has none: its whole part is used, or not all may be."""
    if share.fraction == 0:
        return "nodes_unknown"
    return "spent" if share.fraction == 1 else "new_process"
