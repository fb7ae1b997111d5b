"""Messages between nodes as typed models.

`messages.thrift` defines their form on the wire; classes and fields have the same
names there. Ages are in milliseconds, as the sender of the message measures them.
"""

import msgspec

PROTOCOL_VERSION = 1


class GroupDigest(msgspec.Struct, frozen=True):
    """Readiness and load of one group, from probes of the sending node or from its peers.

    Fields that are None take no bytes on the wire.

    Attributes
    ----------
    generation : int
        Generation of the group; it identifies the group.
    present_age_ms : int or None
        Time since all members were last known to be ready, None for never.
    absent_age_ms : int or None
        Time since the newest report that showed the group not ready, None for never.
    running, queued : int or None
        Requests that the head is answering, and that wait at it; None for 0.
    load_age_ms : int or None
        Age of these counts, None if it equals `present_age_ms`.
    """

    generation: int
    present_age_ms: int | None = None
    absent_age_ms: int | None = None
    running: int | None = None
    load_age_ms: int | None = None
    queued: int | None = None


class PeerDigest(msgspec.Struct, frozen=True):
    """Last contact with another node.

    Attributes
    ----------
    position : int
        Position of the record by which the node joined; it identifies the node and
        its incarnation.
    age_ms : int
        Time since the node was last known to be alive.
    leaving : bool or None
        Whether the node drains; None for no.
    """

    position: int
    age_ms: int
    leaving: bool | None = None


class NodeDigest(msgspec.Struct, frozen=True):
    """Identity and liveness of the node that sends a message.

    Attributes
    ----------
    node, incarnation : str
        Sender and its run.
    age_ms : int
        Time since the node was last known to be alive; 0 for the sender itself.
    leaving : bool
        Whether the node drains.
    """

    node: str
    incarnation: str
    age_ms: int
    leaving: bool


class AccountDemand(msgspec.Struct, frozen=True):
    """Demand of one client account at one node.

    Attributes
    ----------
    rate : float
        Requests per second.
    """

    account: str
    rate: float


class LogRow(msgspec.Struct, frozen=True):
    """One entry of the log.

    Attributes
    ----------
    value : str
        JSON text of the entry.
    """

    offset: int
    value: str


class Pull(msgspec.Struct, frozen=True):
    """Request for a peer's log entries and views.

    Attributes
    ----------
    next_offset : int
        Offset of the first log entry that the sender has not folded.
    wants_snapshot : bool
        Whether the sender accepts a snapshot if the peer's entries begin later.
    sender : NodeDigest
        The node that asks.
    demand : list of AccountDemand
        Demand at the node that asks.
    """

    next_offset: int
    wants_snapshot: bool
    sender: NodeDigest
    demand: list[AccountDemand]


class PullAnswer(msgspec.Struct, frozen=True):
    """Answer to a pull.

    Attributes
    ----------
    sender : NodeDigest
        The node that answers.
    oldest : int
        Lowest offset of the entries that it has buffered.
    following : int
        Offset after the last entry that it has folded.
    highest_seen : int
        Highest offset known at it to exist on the log.
    contact_age_ms : int
        Time since it had last read the log to its end, itself or by a relay; -1 for
        never.
    rows : list of LogRow
        Entries from `Pull.next_offset` on.
    groups : list of GroupDigest
        Its views of the groups.
    nodes : list of PeerDigest
        Its last contacts with other nodes.
    demand : list of AccountDemand
        Demand at it.
    snapshot : bytes or None
        Its whole state, if that was wanted and its entries begin too late.
    leaving : list of str or None
        Instances that its copy of the instance list shows as leaving.
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
    """Query for the state of an idempotency key, sent to the node that has claimed it.

    Attributes
    ----------
    incarnation : str
        Run of the node that made the claim; a later run cannot answer.
    """

    key: str
    incarnation: str


class KeyAnswer(msgspec.Struct, frozen=True):
    """State of an idempotency key at the node that has claimed it.

    Attributes
    ----------
    state : str
        Value of `briarpond.requests.KeyState`, or ``gone`` if the node does not hold
        the key any more.
    status : int
        HTTP status of the answer to the request, 0 without one.
    content_type : str
        Content type of the answer.
    body : bytes or None
        Body of the answer, None if it is not kept.
    """

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class Envelope(msgspec.Struct, frozen=True):
    """One request or answer; exactly one of the optional fields is set.

    Attributes
    ----------
    version : int
        `PROTOCOL_VERSION` of the sender; a node refuses every other version.
    call : str
        Random identifier of the request; the answer repeats it, so that a late
        answer cannot be taken for the answer to a newer request.
    sender : str
        Node that sent the envelope.
    """

    version: int
    call: str
    sender: str
    pull: Pull | None = None
    pull_answer: PullAnswer | None = None
    key_query: KeyQuery | None = None
    key_answer: KeyAnswer | None = None
