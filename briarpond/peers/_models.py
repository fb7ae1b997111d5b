"""Typed messages; `messages.thrift` gives their form on the wire.

Ages are in milliseconds.
"""

import msgspec

PROTOCOL_VERSION = 1


class GroupDigest(msgspec.Struct, frozen=True):
    """What a node knows of the group with a generation.

    Ages are None for never, counts None for 0, and `load_age_ms` is None where
    it equals `present_age_ms`: what is None takes no bytes.
    """

    generation: int
    present_age_ms: int | None = None
    absent_age_ms: int | None = None
    running: int | None = None
    load_age_ms: int | None = None
    queued: int | None = None


class PeerDigest(msgspec.Struct, frozen=True):
    """Last sign of life of the node that joined at a position of the log."""

    position: int
    age_ms: int
    leaving: bool | None = None


class NodeDigest(msgspec.Struct, frozen=True):
    """Last sign of life of a node."""

    node: str
    incarnation: str
    age_ms: int
    leaving: bool


class AccountDemand(msgspec.Struct, frozen=True):
    """Requests per second that a node sees of one client account."""

    account: str
    rate: float


class LogRow(msgspec.Struct, frozen=True):
    """One entry of the log."""

    offset: int
    value: str


class Pull(msgspec.Struct, frozen=True):
    """Asks a peer for what it knows beyond `next_offset`."""

    next_offset: int
    wants_snapshot: bool
    sender: NodeDigest
    demand: list[AccountDemand]


class PullAnswer(msgspec.Struct, frozen=True):
    """What a peer knows.

    Attributes
    ----------
    sender : NodeDigest
        The peer itself.
    highest_seen : int
        Highest offset that the peer knows to exist.
    contact_age_ms : int
        Age of the peer's last contact with the end of the log, -1 for never.
    snapshot : bytes or None
        Whole state, if it was wanted and the entries do not reach back far enough.
    leaving : list of str or None
        Instances that the sender's list shows as leaving.
    """

    sender: NodeDigest
    oldest: int
    following: int
    highest_seen: int
    contact_age_ms: int
    rows: list[LogRow]
    groups: list[GroupDigest]
    nodes: list[PeerDigest]
    demand: list[AccountDemand]
    snapshot: bytes | None = None
    leaving: list[str] | None = None


class KeyQuery(msgspec.Struct, frozen=True):
    """Asks the owner of an idempotency key what became of the request."""

    key: str
    incarnation: str


class KeyAnswer(msgspec.Struct, frozen=True):
    """State of a key as its owner knows it; `state` is a `KeyState` or ``gone``."""

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class Envelope(msgspec.Struct, frozen=True):
    """One call or its answer; exactly one of the bodies is set.

    Attributes
    ----------
    call : str
        Random identifier that the answer repeats, so that an old answer
        cannot be taken for a new one.
    """

    version: int
    call: str
    sender: str
    pull: Pull | None = None
    pull_answer: PullAnswer | None = None
    key_query: KeyQuery | None = None
    key_answer: KeyAnswer | None = None
