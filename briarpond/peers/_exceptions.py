"""Reasons why a frame from the peers' port is refused."""

from enum import Enum

import msgspec


class PeerProblemCode(Enum):
    """Kind of refusal."""

    TOO_LARGE = "peers.E001"
    MALFORMED = "peers.E002"
    NOT_AUTHENTIC = "peers.E003"
    OTHER_VERSION = "peers.E004"


class PeerProblem(msgspec.Struct, frozen=True):
    """One refused frame."""

    code: PeerProblemCode
    message: str
