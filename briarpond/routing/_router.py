"""The router of one node: a policy, and the state that it learns from its attempts."""

from collections.abc import Sequence
from random import Random

import msgspec

from briarpond.ids import InstanceId

from ._choice import Choice, Policy, Question, choose_cheapest
from ._knowledge import Knowledge
from ._models import Candidate, Hint

# With fewer requests queued at a candidate than this, a request does not wait for others there.
MAX_IDLE_QUEUED = 0.5


class Dispatched(msgspec.Struct):
    """An attempt that was sent and has not ended.

    Attributes
    ----------
    instance : InstanceId
        Plain server, or head of the group, to which the attempt went.
    prefill : PrefillEstimate
        Prefix of the prompt and the expected time of its prefill.
    expected_s : float
        Expected seconds to the first byte, without the measured slowness of the instance.
    sent_at : float
        Monotonic time at which the attempt was sent.
    answered : bool
        Whether the first byte of the answer has come.
    """

    instance: InstanceId
    hint: Hint
    expected_s: float
    at: float
    answered: bool = False


class Router:
    """Chooses a candidate for each attempt and learns from how the attempts go.

    Parameters
    ----------
    rng : Random
        Random generator for the choices; its seed makes them reproducible.
    policy : callable
        Function that chooses among the candidates.
    """

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
        """Return one of the candidates; None if there is none.

        Parameters
        ----------
        candidates : sequence of Candidate
            Groups or plain servers that can take the attempt.
        prefill : PrefillEstimate
            Prefix of the prompt and the expected time of its prefill.
        slots : int
            Requests at one candidate beyond which others wait there.
        avoided : frozenset of str
            Instances that are not chosen.
        now : float
            Monotonic time in seconds.
        """
        allowed = [each for each in candidates if each.target.instance not in avoided]
        if not allowed:
            return None
        return self._policy(Question(allowed, hint, slots, now), self._knowledge, self._rng)

    def has_room(self, choice: Choice, hint: Hint, slots: int, target_s: float, now: float) -> bool:
        """Whether a request should be sent now rather than wait at this node.

        That is so if a slot is free and the request either waits for no other one there or
        gets its first byte within `target_s` seconds.
        """
        load = self._knowledge.load(choice.candidate)
        if load.queued + load.running >= slots:
            return False
        if load.queued < MAX_IDLE_QUEUED:
            return True
        return self.expected_s(choice, hint, slots, now) <= target_s

    def expected_s(self, choice: Choice, hint: Hint, slots: int, now: float) -> float:
        """Return the expected time to the first byte at a choice, in seconds."""
        return self._knowledge.expect(choice.candidate, hint, choice.is_home, slots, now).wait_s

    def begin(self, choice: Choice, hint: Hint, slots: int, now: float) -> Dispatched:
        """Record that an attempt is sent to a choice."""
        knowledge = self._knowledge
        instance = choice.candidate.target.instance
        estimate = knowledge.expect(choice.candidate, hint, choice.is_home, slots, now)
        knowledge.note_prefill(choice.candidate, hint, choice.is_home, now)
        knowledge.own.begin(instance, now)
        if hint.prefix is not None:
            knowledge.beliefs.learn(instance, hint.prefix, now)
        return Dispatched(instance, hint, estimate.plain_s, now)

    def first_byte(self, attempt: Dispatched, now: float) -> None:
        """Record the first byte of an attempt's answer; later bytes change nothing."""
        if attempt.answered:
            return
        attempt.answered = True
        measured_s = now - attempt.at
        self._knowledge.own.first_byte(attempt.instance, now)
        self._knowledge.speeds.observe(attempt.instance, measured_s, attempt.expected_s, now)

    def missed(self, attempt: Dispatched) -> None:
        """Record that, by the answer of an attempt, nothing of its prefix was cached."""
        if attempt.hint.prefix is not None:
            self._knowledge.beliefs.unlearn(attempt.instance, attempt.hint.prefix)

    def end(self, attempt: Dispatched, now: float) -> None:
        """Record the end of an attempt, with or without an answer."""
        self._knowledge.own.end(attempt.instance, attempt.answered, now)

    def forget(self, known: set[InstanceId]) -> None:
        """Drop the state of instances that are not in `known`."""
        self._knowledge.own.forget(known)
        self._knowledge.speeds.forget(known)
        self._knowledge.beliefs.forget(known)
