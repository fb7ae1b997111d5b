"""The router of one node: a policy and what it learns from its requests."""

from collections.abc import Sequence
from random import Random

from briarpond.ids import InstanceId

from ._choice import Knowledge, Policy, choose_cheapest
from ._models import Candidate, Hint


class Router:
    """Chooses candidates and learns from what became of the attempts."""

    def __init__(self, rng: Random, policy: Policy = choose_cheapest) -> None:
        self._rng = rng
        self._policy = policy
        self._knowledge = Knowledge()

    def choose(
        self, candidates: Sequence[Candidate], hint: Hint, avoided: frozenset[str], now: float
    ) -> Candidate | None:
        """Return a candidate that is not avoided, None if there is none."""
        open_to = [each for each in candidates if each.target.instance not in avoided]
        if not open_to:
            return None
        return self._policy(open_to, self._knowledge, hint, now, self._rng)

    def estimate(self, candidate: Candidate) -> float:
        """Return the load of a candidate, its report corrected by own dispatches."""
        return self._knowledge.own.estimate(
            candidate.target.instance, candidate.reported, candidate.reported_at
        )

    def begin(self, instance: InstanceId, hint: Hint, now: float) -> None:
        """Learn that an attempt was sent."""
        self._knowledge.own.begin(instance, now)
        if hint.prefix is not None:
            self._knowledge.beliefs.learn(instance, hint.prefix, now)

    def first_byte(self, instance: InstanceId, waited_s: float, now: float) -> None:
        """Learn how long an instance took to its first byte."""
        load = self._knowledge.own.in_flight(instance)
        self._knowledge.speeds.observe(instance, waited_s, load, now)

    def missed(self, instance: InstanceId, hint: Hint) -> None:
        """Learn from an answer that nothing of the prefix was cached."""
        if hint.prefix is not None:
            self._knowledge.beliefs.unlearn(instance, hint.prefix)

    def end(self, instance: InstanceId, now: float) -> None:
        """Learn that an attempt has ended."""
        self._knowledge.own.end(instance, now)
