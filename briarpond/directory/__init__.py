"""Heartbeats between nodes, and the directory of nodes that callers may connect to."""

from ._codec import decode_heartbeat, decode_datagram, encode_heartbeat, encode_confirmation
from ._models import (
    Heartbeat,
    ConfigConfirmation,
    ModelDemand,
    PlainServerTarget,
    Plan,
    GroupTarget,
    ServerInFlight,
    RoutingTargets,
)
from ._nodes import HeartbeatTable

__all__ = [
    "Beat",
    "ConfigConfirmation",
    "HeartbeatTable",
    "ModelDemand",
    "PlainServerTarget",
    "Plan",
    "PlanRow",
    "ServerRow",
    "Targets",
    "decode_beat",
    "decode_datagram",
    "encode_beat",
    "encode_confirmation",
]
