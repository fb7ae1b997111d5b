"""Reasons why a frame that claims to come from another node is refused."""

from enum import Enum

import msgspec


class PeerProblemCode(Enum):
    """Reason for the refusal.

    TOO_LARGE : the frame exceeds the size limit.
    MALFORMED : the frame or its envelope cannot be decoded.
    NOT_AUTHENTIC : the HMAC does not match; sender and receiver may have different
        secrets.
    OTHER_VERSION : the envelope has another protocol version.
    """

    TOO_LARGE = "peers.E001"
    MALFORMED = "peers.E002"
    NOT_AUTHENTIC = "peers.E003"
    OTHER_VERSION = "peers.E004"


class PeerProblem(msgspec.Struct, frozen=True):
    """Refusal of one frame.

    Attributes
    ----------
    message : str
        Cause in words; for `OTHER_VERSION`, the version that was received.
    """

    code: PeerProblemCode
    message: str
