"""Which nodes callers may be sent to, learned from the nodes' heartbeats."""

from ._codec import decode_beat, decode_message, encode_beat, encode_echo
from ._models import Beat, DemandRow, Echo, PlainRow, Plan, PlanRow, ServerRow, Targets
from ._nodes import NodeBook

__all__ = [
    "Beat",
    "DemandRow",
    "Echo",
    "NodeBook",
    "PlainRow",
    "Plan",
    "PlanRow",
    "ServerRow",
    "Targets",
    "decode_beat",
    "decode_message",
    "encode_beat",
    "encode_echo",
]
