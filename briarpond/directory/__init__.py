"""Which nodes callers may be sent to, learned from the nodes' heartbeats."""

from ._codec import decode_beat, encode_beat
from ._models import Beat, DemandRow, Plan, PlanRow, ServerRow
from ._nodes import NodeBook

__all__ = [
    "Beat",
    "DemandRow",
    "NodeBook",
    "Plan",
    "PlanRow",
    "ServerRow",
    "decode_beat",
    "encode_beat",
]
