"""Reasons why a patch is refused."""

from enum import Enum

import msgspec


class PatchProblemCode(Enum):
    """Kind of refusal."""

    STALE = "configuration.E001"
    INVALID = "configuration.E002"
    NOT_AN_OBJECT = "configuration.E003"
    TOO_LARGE = "configuration.E004"


class PatchProblem(msgspec.Struct, frozen=True):
    """One reason why a patch is refused.

    Attributes
    ----------
    code : PatchProblemCode
        Kind of refusal.
    path : str
        Dotted path in the configuration, empty when the whole patch is meant.
    message : str
        What is wrong and what to change.
    """

    code: PatchProblemCode
    path: str
    message: str

    def __str__(self) -> str:
        """Return the one-line form shown to operators."""
        where = f"{self.path}: " if self.path else ""
        return f"{where}({self.code.value}) {self.message}"
