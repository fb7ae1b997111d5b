"""Policies that choose one of several candidates.

Every policy is a plain function of candidates, what this node knows and a
seeded generator; the daemon uses `choose_cheapest`, benchmarks compare it with
the others.
"""

from collections.abc import Callable, Sequence
from random import Random

import xxhash

from ._models import Candidate, Hint
from ._prefix import PrefixBeliefs
from ._speed import SpeedTable
from ._work import OwnWork

HOMES = 2
RANDOM_PICKS = 2
CACHED_IF_SENT = 0.9
CACHED_IF_HOME = 0.6


class Knowledge:
    """What one node knows when it chooses."""

    def __init__(self) -> None:
        self.own = OwnWork()
        self.speeds = SpeedTable()
        self.beliefs = PrefixBeliefs()


Policy = Callable[[Sequence[Candidate], Knowledge, Hint, float, Random], Candidate]


def choose_random(candidates, knowledge, hint, now, rng) -> Candidate:
    """Return any candidate."""
    return rng.choice(candidates)


def choose_least_reported(candidates, knowledge, hint, now, rng) -> Candidate:
    """Return the candidate with the least reported load."""
    lowest = min(each.reported for each in candidates)
    return rng.choice([each for each in candidates if each.reported == lowest])


def choose_two(candidates, knowledge, hint, now, rng) -> Candidate:
    """Return the less loaded, by report, of two random candidates."""
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda each: each.reported)


def choose_cheapest(candidates, knowledge, hint, now, rng) -> Candidate:
    """Return the cheapest of a few candidates.

    Looked at are the homes of the prompt's prefix, which all nodes compute
    alike without a message, the instances believed to hold it, and some random
    ones. A few instead of all: nodes that see the same report then do not all
    run to the same instance.
    """
    few = _few(candidates, knowledge, hint, now, rng)
    homes = few[:HOMES] if hint.prefix is not None else []
    return min(few, key=lambda each: _cost_s(each, each in homes, knowledge, hint, now))


def _few(candidates, knowledge, hint: Hint, now: float, rng: Random) -> list[Candidate]:
    few: list[Candidate] = []
    if hint.prefix is not None:
        few += _homes(candidates, hint.prefix)
        few += [
            each
            for each in candidates
            if knowledge.beliefs.holds(each.target.instance, hint.prefix, now)
        ]
    return few + rng.sample(candidates, min(RANDOM_PICKS, len(candidates)))


def _homes(candidates: Sequence[Candidate], prefix: str) -> list[Candidate]:
    def score(each: Candidate) -> int:
        return xxhash.xxh3_64_intdigest(f"{prefix}|{each.target.instance}".encode())

    return sorted(candidates, key=score)[:HOMES]


def _cost_s(
    candidate: Candidate, is_home: bool, knowledge: Knowledge, hint: Hint, now: float
) -> float:
    instance = candidate.target.instance
    load = knowledge.own.estimate(instance, candidate.reported, candidate.reported_at)
    cost_s = (1.0 + load) * knowledge.speeds.request_s(instance, now) + candidate.distance_s
    if hint.prefix is None:
        return cost_s
    cached = CACHED_IF_HOME if is_home else 0.0
    if knowledge.beliefs.holds(instance, hint.prefix, now):
        cached = CACHED_IF_SENT
    return cost_s + (1.0 - cached) * hint.prefix_s
