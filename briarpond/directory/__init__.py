"""Heartbeats between nodes, and the directory of nodes that callers may connect to."""

from ._codec import decode_datagram, decode_heartbeat, encode_confirmation, encode_heartbeat
from ._models import (
    ConfigConfirmation,
    GroupTarget,
    Heartbeat,
    ModelDemand,
    PlainServerTarget,
    Plan,
    RoutingTargets,
    ServerInFlight,
)
from ._nodes import HeartbeatTable

__all__ = [
    "ConfigConfirmation",
    "GroupTarget",
    "Heartbeat",
    "HeartbeatTable",
    "ModelDemand",
    "PlainServerTarget",
    "Plan",
    "RoutingTargets",
    "ServerInFlight",
    "decode_datagram",
    "decode_heartbeat",
    "encode_confirmation",
    "encode_heartbeat",
]
