"""Pool of the backend servers that can take a request."""

from collections.abc import Callable

import msgspec

from briarpond.routing import Candidate, PrefillEstimate


class Pool(msgspec.Struct, frozen=True):
    """Backend servers for one model or service, with the prefill estimate of one request.

    Attributes
    ----------
    name : str
        ``model/NAME`` or ``service/NAME``; requests of the same pool share a queue.
    candidates : callable
        Takes the present time; returns the groups or servers that are usable then.
    slots : int
        Requests that one backend server takes at once; further ones wait at the node.
    prefill : PrefillEstimate
        Prefix and expected prefill time of the prompt; empty for a plain service.
    """

    name: str
    candidates: Callable[[float], list[Candidate]]
    slots: int
    prefill: PrefillEstimate
