"""Backend servers that can take the same requests."""

from collections.abc import Callable

import msgspec

from briarpond.routing import Candidate, Hint


class Pool(msgspec.Struct, frozen=True):
    """Where a request can go, and what its prompt tells.

    Attributes
    ----------
    name : str
        Kind and name of the model or service.
    slots : int
        Requests at one server beyond which others wait at the node.
    """

    name: str
    candidates: Callable[[float], list[Candidate]]
    slots: int
    hint: Hint
