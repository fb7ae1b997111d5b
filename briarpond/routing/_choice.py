"""Power of two choices over corrected loads."""

from collections.abc import Sequence
from random import Random

from ._models import Candidate
from ._work import OwnWork

REQUEST_COST_S = 0.02


def choose(
    candidates: Sequence[Candidate], own: OwnWork, avoided: frozenset[str], rng: Random
) -> Candidate | None:
    """Return the better of two random candidates, None if there is none.

    Two random ones instead of the best of all: nodes that see the same report
    then do not all run to the same server.
    """
    open_to = [each for each in candidates if each.target.instance not in avoided]
    if not open_to:
        return None
    pair = rng.sample(open_to, min(2, len(open_to)))
    return min(pair, key=lambda each: _cost_s(each, own))


def _cost_s(candidate: Candidate, own: OwnWork) -> float:
    instance = candidate.target.instance
    load = own.estimate(instance, candidate.reported, candidate.reported_at)
    return load * REQUEST_COST_S + candidate.distance_s
