"""Log line and metric of accepted connections whose close gives something up."""

from briarpond.logs import log_event
from briarpond.net import ConnectionEnd

from ._metrics import GatewayMetrics


def record_connection_end(metrics: GatewayMetrics, end: ConnectionEnd) -> None:
    """Record the end of a connection if its caller lacks something that it has not given up."""
    if not end.gives_up:
        return
    metrics.connections_given_up.inc({"reason": end.reason.value})
    log_event(
        "connection_closed",
        reason=end.reason.value,
        id=end.request_id or "-",
        unsent_bytes=end.unsent_bytes,
        socket_bytes=end.socket_bytes,
        phase=end.phase.value,
        age_ms=int(end.age_s * 1000),
    )
