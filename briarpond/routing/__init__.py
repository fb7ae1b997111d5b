"""Choice of the group or server for each attempt."""

from ._choice import choose
from ._models import Candidate
from ._work import OwnWork

__all__ = ["Candidate", "OwnWork", "choose"]
