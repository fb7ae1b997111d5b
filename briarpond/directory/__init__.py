"""Exchange of state between nodes, and the directory of nodes for callers."""

from ._codec import (
    UNENCODABLE,
    Datagram,
    decode_config_record,
    decode_datagram,
    encode_config_record,
    encode_datagram,
)
from ._fitting import MAX_DATAGRAM_BYTES, smaller_messages
from ._loads import demand_rows
from ._members import MemberTable
from ._models import (
    MAX_STORE_ERA,
    Answer,
    ConfigRecord,
    ConfigStatus,
    GroupTarget,
    Load,
    Member,
    ModelDemand,
    Notice,
    PlainServerTarget,
    Plan,
    PlanDelta,
    PlanStatus,
    PlanVersion,
    Pull,
    RoutingTargets,
    ServerInFlight,
    StorePosition,
)
from ._plan_log import PlanLog
from ._sync import Outgoing, PeerSync, SyncCallbacks
from ._timing import HOUSEKEEPING_INTERVAL_S, LOAD_LIFETIME_S, PAUSE_S, RELAY_INTERVAL_S
from ._version import CURRENT_VERSION, ExchangeVersion

__all__ = [
    "CURRENT_VERSION",
    "HOUSEKEEPING_INTERVAL_S",
    "LOAD_LIFETIME_S",
    "MAX_DATAGRAM_BYTES",
    "MAX_STORE_ERA",
    "PAUSE_S",
    "RELAY_INTERVAL_S",
    "UNENCODABLE",
    "Answer",
    "ConfigRecord",
    "ConfigStatus",
    "Datagram",
    "ExchangeVersion",
    "GroupTarget",
    "Load",
    "Member",
    "MemberTable",
    "ModelDemand",
    "Notice",
    "Outgoing",
    "PeerSync",
    "PlainServerTarget",
    "Plan",
    "PlanDelta",
    "PlanLog",
    "PlanStatus",
    "PlanVersion",
    "Pull",
    "RoutingTargets",
    "ServerInFlight",
    "StorePosition",
    "SyncCallbacks",
    "decode_config_record",
    "decode_datagram",
    "demand_rows",
    "encode_config_record",
    "encode_datagram",
    "smaller_messages",
]
