"""Which nodes callers may be sent to, learned from the nodes' heartbeats."""

from ._codec import decode_beat, encode_beat
from ._models import Beat, DemandRow, PlainRow, Plan, PlanRow, ServerRow, Targets
from ._nodes import NodeBook

__all__ = [
    "Beat",
    "DemandRow",
    "NodeBook",
    "PlainRow",
    "Plan",
    "PlanRow",
    "ServerRow",
    "Targets",
    "decode_beat",
    "encode_beat",
]
