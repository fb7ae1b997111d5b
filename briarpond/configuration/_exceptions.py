"""Reasons why a patch is refused."""

from enum import Enum

import msgspec


class PatchProblemCode(Enum):
    """Reason for a refusal.

    STALE : the patch was written against another version than the one in force.
    INVALID : the patched document would be invalid.
    NOT_AN_OBJECT : the patch is no JSON object.
    TOO_LARGE : the patched document would be too large.
    """

    STALE = "configuration.E001"
    INVALID = "configuration.E002"
    NOT_AN_OBJECT = "configuration.E003"
    TOO_LARGE = "configuration.E004"


class PatchProblem(msgspec.Struct, frozen=True):
    """One reason why a patch is refused.

    Attributes
    ----------
    path : str
        Dotted path in the configuration, empty for the patch as a whole.
    message : str
        What is wrong and what to change.
    """

    code: PatchProblemCode
    path: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line for operators."""
        where = f"{self.path}: " if self.path else ""
        return f"{where}({self.code.value}) {self.message}"
