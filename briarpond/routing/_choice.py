"""Policies that choose one of several candidates.

A policy is a plain function of the candidates, the routing state of this node and a seeded
random generator. The daemon uses `choose_lowest_cost`; benchmarks compare it with the others.
"""

from collections.abc import Callable, Sequence
from random import Random

import msgspec
import xxhash

from ._knowledge import RoutingState
from ._models import Candidate, PrefillEstimate

# Preferred candidates of each prompt prefix.
PREFERRED_PER_PREFIX = 2
# Random candidates that are compared in addition to those that may have the prefix cached.
RANDOM_CANDIDATES = 3
# Weight of the request's own prefill time, against its expected first-byte time of weight 1.
PREFILL_WEIGHT = 2.0


class ChoiceContext(msgspec.Struct, frozen=True):
    """Input of a policy.

    Attributes
    ----------
    candidates : sequence of Candidate
        Candidates to choose from; at least one.
    prefill : PrefillEstimate
        Prefix of the prompt and the expected time of its prefill.
    slots : int
        Requests that one candidate handles at once; further ones wait there for a slot.
    now : float
        Monotonic time in seconds.
    """

    candidates: Sequence[Candidate]
    prefill: PrefillEstimate
    slots: int
    now: float


class Choice(msgspec.Struct, frozen=True):
    """Result of a policy.

    Attributes
    ----------
    candidate : Candidate
        The chosen candidate.
    is_preferred : bool
        Whether it is a preferred candidate of the prompt's prefix, so that the prefix is
        more likely to be cached there.
    """

    candidate: Candidate
    is_preferred: bool = False


Policy = Callable[[ChoiceContext, RoutingState, Random], Choice]


def choose_random(context: ChoiceContext, state: RoutingState, rng: Random) -> Choice:
    """Return a random candidate."""
    return Choice(rng.choice(context.candidates))


def choose_least_loaded(context: ChoiceContext, state: RoutingState, rng: Random) -> Choice:
    """Return the candidate with the lowest reported load; ties are broken at random."""
    lowest = min(_reported_load(each) for each in context.candidates)
    return Choice(
        rng.choice([each for each in context.candidates if _reported_load(each) == lowest])
    )


def choose_power_of_two(context: ChoiceContext, state: RoutingState, rng: Random) -> Choice:
    """Return the less loaded of two random candidates, by their reported load."""
    candidates = context.candidates
    return Choice(min(rng.sample(candidates, min(2, len(candidates))), key=_reported_load))


def choose_lowest_cost(context: ChoiceContext, state: RoutingState, rng: Random) -> Choice:
    """Return the candidate with the lowest cost among a few.

    The cost is the expected first-byte time plus the weighted prefill time of the request
    itself. The prefill is added because a request that goes to a shorter queue where its
    prefix is not cached delays all requests after it there, and evicts what they have
    cached.

    The function compares the preferred candidates of the prompt's prefix, which all nodes
    compute alike without exchanging messages, the candidates that probably have the prefix
    cached, and some random ones. It does not compare all candidates, because nodes with the
    same load reports would then all choose the same one.
    """
    prefill = context.prefill
    preferred = (
        _preferred(context.candidates, prefill.prefix_digest)
        if prefill.prefix_digest is not None
        else []
    )
    compared = preferred + _with_cached_prefix(context, state)
    compared += rng.sample(context.candidates, min(RANDOM_CANDIDATES, len(context.candidates)))

    def cost_s(each: Candidate) -> float:
        is_preferred = any(each is one for one in preferred)
        estimate = state.estimate_first_byte(
            each, prefill, is_preferred, context.slots, context.now
        )
        return estimate.total_s + PREFILL_WEIGHT * estimate.prefill_s

    best = min(compared, key=cost_s)
    return Choice(best, any(best is one for one in preferred))


def _reported_load(candidate: Candidate) -> float:
    return candidate.queued + candidate.running


def _with_cached_prefix(context: ChoiceContext, state: RoutingState) -> list[Candidate]:
    prefix = context.prefill.prefix_digest
    if prefix is None:
        return []
    return [
        each
        for each in context.candidates
        if state.prefix_cache.is_cached(each.target.instance, prefix, context.now)
    ]


def _preferred(candidates: Sequence[Candidate], prefix: str) -> list[Candidate]:
    """Return the preferred candidates of a prefix by rendezvous hashing."""

    def score(each: Candidate) -> int:
        return xxhash.xxh3_64_intdigest(f"{prefix}|{each.target.instance}".encode())

    return sorted(candidates, key=score)[:PREFERRED_PER_PREFIX]
