"""Policies that choose one of several candidates.

Every policy is a plain function of candidates, what this node knows and a
seeded generator; the daemon uses `choose_cheapest`, benchmarks compare it with
the others.
"""

from collections.abc import Callable, Sequence
from random import Random

import msgspec
import xxhash

from ._knowledge import Knowledge
from ._models import Candidate, Hint

HOMES = 2
RANDOM_PICKS = 3
OCCUPANCY_WEIGHT = 2.0


class Question(msgspec.Struct, frozen=True):
    """What is asked of a policy.

    Attributes
    ----------
    slots : int
        Requests at one instance beyond which others wait there.
    """

    candidates: Sequence[Candidate]
    hint: Hint
    slots: int
    now: float


class Choice(msgspec.Struct, frozen=True):
    """What a policy chose; `is_home` if it is a home of the prompt's prefix."""

    candidate: Candidate
    is_home: bool = False


Policy = Callable[[Question, Knowledge, Random], Choice]


def choose_random(question: Question, knowledge: Knowledge, rng: Random) -> Choice:
    """Return any candidate."""
    return Choice(rng.choice(question.candidates))


def choose_least_reported(question: Question, knowledge: Knowledge, rng: Random) -> Choice:
    """Return the candidate with the least reported load."""
    lowest = min(_reported(each) for each in question.candidates)
    return Choice(rng.choice([each for each in question.candidates if _reported(each) == lowest]))


def choose_two(question: Question, knowledge: Knowledge, rng: Random) -> Choice:
    """Return the less loaded, by report, of two random candidates."""
    candidates = question.candidates
    return Choice(min(rng.sample(candidates, min(2, len(candidates))), key=_reported))


def choose_cheapest(question: Question, knowledge: Knowledge, rng: Random) -> Choice:
    """Return the candidate with the lowest cost of a few.

    The cost is the expected first-byte time and, weighted, the request's own
    prefill: a request that leaves the cache of its prefix for a shorter queue
    takes the engine's time from all who come after, and pushes out what they
    have cached.

    Looked at are the homes of the prompt's prefix, which all nodes compute
    alike without a message, the instances believed to hold it, and some random
    ones. A few instead of all: nodes that see the same report then do not all
    run to the same instance.
    """
    hint = question.hint
    homes = _homes(question.candidates, hint.prefix) if hint.prefix is not None else []
    few = homes + _holders(question, knowledge)
    few += rng.sample(question.candidates, min(RANDOM_PICKS, len(question.candidates)))

    def cost_s(each: Candidate) -> float:
        is_home = any(each is home for home in homes)
        expected = knowledge.expect(each, hint, is_home, question.slots, question.now)
        return expected.wait_s + OCCUPANCY_WEIGHT * expected.prefill_s

    best = min(few, key=cost_s)
    return Choice(best, any(best is home for home in homes))


def _reported(candidate: Candidate) -> float:
    return candidate.queued + candidate.running


def _holders(question: Question, knowledge: Knowledge) -> list[Candidate]:
    prefix = question.hint.prefix
    if prefix is None:
        return []
    return [
        each
        for each in question.candidates
        if knowledge.beliefs.holds(each.target.instance, prefix, question.now)
    ]


def _homes(candidates: Sequence[Candidate], prefix: str) -> list[Candidate]:
    def score(each: Candidate) -> int:
        return xxhash.xxh3_64_intdigest(f"{prefix}|{each.target.instance}".encode())

    return sorted(candidates, key=score)[:HOMES]
