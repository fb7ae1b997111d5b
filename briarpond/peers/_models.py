"""Typed messages; `messages.thrift` gives their form on the wire.

Ages are in milliseconds and -1 stands for never.
"""

import msgspec

PROTOCOL_VERSION = 1


class GroupDigest(msgspec.Struct, frozen=True):
    """What a node knows of the group with a generation."""

    generation: int
    present_age_ms: int
    absent_age_ms: int
    running: int
    load_age_ms: int
    queued: int


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
    highest_seen : int
        Highest offset that the peer knows to exist.
    contact_age_ms : int
        Age of the peer's last contact with the end of the log.
    snapshot : bytes or None
        Whole state, if it was wanted and the entries do not reach back far enough.
    leaving : list of str or None
        Instances that the sender's list shows as leaving.
    """

    oldest: int
    following: int
    highest_seen: int
    contact_age_ms: int
    rows: list[LogRow]
    groups: list[GroupDigest]
    nodes: list[NodeDigest]
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
