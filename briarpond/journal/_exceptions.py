"""Problems met while reading the log."""

from enum import Enum

import msgspec


class JournalProblemCode(Enum):
    """Kind of problem."""

    MALFORMED = "journal.E001"
    TRUNCATED = "journal.E002"
    SNAPSHOT_DAMAGED = "journal.E003"


class JournalProblem(msgspec.Struct, frozen=True):
    """One problem with a text that an operator can act on."""

    code: JournalProblemCode
    message: str
