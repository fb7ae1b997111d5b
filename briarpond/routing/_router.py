"""The router of one node: a policy and what it learns from its requests."""

from collections.abc import Sequence
from random import Random

import msgspec

from briarpond.ids import InstanceId

from ._choice import Choice, Policy, Question, choose_cheapest
from ._knowledge import Knowledge
from ._models import Candidate, Hint

IDLE_QUEUE = 0.5


class Dispatched(msgspec.Struct):
    """One attempt that the router knows to be under way."""

    instance: InstanceId
    hint: Hint
    expected_s: float
    at: float
    answered: bool = False


class Router:
    """Chooses candidates and learns from what became of the attempts."""

    def __init__(self, rng: Random, policy: Policy = choose_cheapest) -> None:
        self._rng = rng
        self._policy = policy
        self._knowledge = Knowledge()

    def choose(
        self,
        candidates: Sequence[Candidate],
        hint: Hint,
        slots: int,
        avoided: frozenset[str],
        now: float,
    ) -> Choice | None:
        """Return a candidate that is not avoided, None if there is none."""
        open_to = [each for each in candidates if each.target.instance not in avoided]
        if not open_to:
            return None
        return self._policy(Question(open_to, hint, slots, now), self._knowledge, self._rng)

    def has_room(self, choice: Choice, hint: Hint, slots: int, target_s: float, now: float) -> bool:
        """Whether a request would get its first byte in time, or finds nobody before it."""
        load = self._knowledge.load(choice.candidate)
        if load.queued + load.running >= slots:
            return False
        if load.queued < IDLE_QUEUE:
            return True
        return self.expected_s(choice, hint, slots, now) <= target_s

    def expected_s(self, choice: Choice, hint: Hint, slots: int, now: float) -> float:
        """Return the first-byte time to expect of a choice, in seconds."""
        return self._knowledge.expect(choice.candidate, hint, choice.is_home, slots, now).wait_s

    def begin(self, choice: Choice, hint: Hint, slots: int, now: float) -> Dispatched:
        """Learn that an attempt is sent."""
        knowledge = self._knowledge
        instance = choice.candidate.target.instance
        expected = knowledge.expect(choice.candidate, hint, choice.is_home, slots, now)
        knowledge.note_prefill(choice.candidate, hint, choice.is_home, now)
        knowledge.own.begin(instance, now)
        if hint.prefix is not None:
            knowledge.beliefs.learn(instance, hint.prefix, now)
        return Dispatched(instance, hint, expected.plain_s, now)

    def first_byte(self, dispatched: Dispatched, now: float) -> None:
        """Learn when the answer of an attempt began."""
        if dispatched.answered:
            return
        dispatched.answered = True
        waited_s = now - dispatched.at
        self._knowledge.own.first_byte(dispatched.instance, now)
        self._knowledge.speeds.observe(dispatched.instance, waited_s, dispatched.expected_s, now)

    def missed(self, dispatched: Dispatched) -> None:
        """Learn from an answer that nothing of the prefix was cached."""
        if dispatched.hint.prefix is not None:
            self._knowledge.beliefs.unlearn(dispatched.instance, dispatched.hint.prefix)

    def end(self, dispatched: Dispatched, now: float) -> None:
        """Learn that an attempt has ended."""
        self._knowledge.own.end(dispatched.instance, dispatched.answered, now)

    def forget(self, known: set[InstanceId]) -> None:
        """Drop what is remembered of instances that are gone."""
        self._knowledge.own.forget(known)
        self._knowledge.speeds.forget(known)
        self._knowledge.beliefs.forget(known)
