"""Evidence about prompt parts that may end the servers that run them, as nodes exchange it."""

import msgspec

from briarpond.ids import InstanceId, PromptPart


class CrashKey(msgspec.Struct, frozen=True):
    """Identity of one end of a server, the same at all nodes that saw it.

    Attributes
    ----------
    server : InstanceId
        Head of the group that ended.
    epoch : int
        Epoch of the group. A server that starts again heads a group with a later one.
    """

    server: InstanceId
    epoch: int


class CrashReport(msgspec.Struct, frozen=True):
    """A server that ended, and the requests that it had hardly begun to answer.

    Attributes
    ----------
    key : CrashKey
        Which end of which server.
    age_s : float
        Seconds since it ended.
    requests : tuple of tuple of PromptPart
        Prompt parts, in order, of each request that may have ended it.
    """

    key: CrashKey
    age_s: float
    requests: tuple[tuple[PromptPart, ...], ...]


class Survival(msgspec.Struct, frozen=True):
    """A whole answer on a prompt part, which shows that the server survived it.

    Attributes
    ----------
    part : PromptPart
        The part.
    age_s : float
        Seconds since the server began to write that answer.
    """

    part: PromptPart
    age_s: float


class QuarantineStatus(msgspec.Struct, frozen=True):
    """A part whose requests are refused.

    Attributes
    ----------
    part : PromptPart
        The part.
    level : int
        How often the shortest time of a quarantine has been doubled; each failed trial adds one.
    age_s : float
        Seconds since the quarantine began, or since the last failed trial.
    """

    part: PromptPart
    level: int
    age_s: float


class Evidence(msgspec.Struct, frozen=True):
    """What one node tells another.

    Attributes
    ----------
    crashes : tuple of CrashReport
        Servers that ended.
    survivals : tuple of Survival
        Answers on parts that are among those of `crashes`, or in quarantine.
    quarantines : tuple of QuarantineStatus
        Parts whose requests are refused.
    """

    crashes: tuple[CrashReport, ...] = ()
    survivals: tuple[Survival, ...] = ()
    quarantines: tuple[QuarantineStatus, ...] = ()
