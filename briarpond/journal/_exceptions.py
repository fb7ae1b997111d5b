"""Problems found when entries of the log or snapshots are decoded."""

from enum import Enum

import msgspec


class JournalProblemCode(Enum):
    """Kind of problem.

    MALFORMED : the text is not an entry with known records.
    TRUNCATED : the log no longer holds entries that are needed.
    SNAPSHOT_DAMAGED : a snapshot is incomplete or cannot be decoded.
    """

    MALFORMED = "journal.E001"
    TRUNCATED = "journal.E002"
    SNAPSHOT_DAMAGED = "journal.E003"


class JournalProblem(msgspec.Struct, frozen=True):
    """One problem found in an entry or a snapshot.

    Attributes
    ----------
    message : str
        Cause, for the operator's logs.
    """

    code: JournalProblemCode
    message: str
