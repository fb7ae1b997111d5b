"""Messages between nodes, and the rules by which nodes divide work without messages.

Nodes pull from each other what the log does not hold: readiness and load of groups,
liveness of nodes and demand of client accounts. An answer also relays log entries,
so that not every node needs to read the store's log.
"""

from ._choice import choose_probers, is_log_reader
from ._codec import FrameAssembler, decode_frame, encode_frame
from ._digest import NodeReport, answer_pull, digest_peers, merge_group_digests, views_from_digests
from ._exceptions import PeerProblem, PeerProblemCode
from ._models import (
    PROTOCOL_VERSION,
    AccountDemand,
    Envelope,
    GroupDigest,
    KeyAnswer,
    KeyQuery,
    LogRow,
    NodeDigest,
    PeerDigest,
    Pull,
    PullAnswer,
)

__all__ = [
    "PROTOCOL_VERSION",
    "AccountDemand",
    "Envelope",
    "FrameAssembler",
    "GroupDigest",
    "KeyAnswer",
    "KeyQuery",
    "LogRow",
    "NodeDigest",
    "NodeReport",
    "PeerDigest",
    "PeerProblem",
    "PeerProblemCode",
    "Pull",
    "PullAnswer",
    "answer_pull",
    "choose_probers",
    "decode_frame",
    "digest_peers",
    "encode_frame",
    "is_log_reader",
    "merge_group_digests",
    "views_from_digests",
]
