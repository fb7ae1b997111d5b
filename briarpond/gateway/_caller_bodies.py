"""Room for the bodies of callers' requests, and the record of refused ones."""

from briarpond.logs import log_event
from briarpond.net import BODY_BUDGET_SHARE, DEFAULT_BODY_BUDGET_BYTES, BodyRefusal
from briarpond.platform import GatewaySettings

from ._metrics import GatewayMetrics


def body_budget_bytes(settings: GatewaySettings) -> int:
    """Return how many bytes all bodies of a node may take up together."""
    if settings.memory_bytes is None:
        return DEFAULT_BODY_BUDGET_BYTES
    return int(settings.memory_bytes * BODY_BUDGET_SHARE)


def record_body_refusal(metrics: GatewayMetrics, refusal: BodyRefusal) -> None:
    """Log and count a request that is refused because of its body."""
    metrics.bodies_refused.inc({"status": str(refusal.status)})
    log_event(
        "body_refused",
        status=refusal.status,
        reason=refusal.reason.value,
        body_bytes=refusal.body_bytes,
        age_ms=int(refusal.age_s * 1000),
    )
