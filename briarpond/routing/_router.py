"""Router of one node: applies a policy to the state that results from its attempts."""

from collections.abc import Sequence
from random import Random

import msgspec

from briarpond.ids import InstanceId

from ._choice import Choice, ChoiceContext, Policy, choose_lowest_cost
from ._knowledge import RoutingState
from ._models import Candidate, PrefillEstimate

# Estimated number of queued requests at a candidate below which it counts as having no queue.
MAX_IDLE_QUEUED = 0.5


class DispatchedAttempt(msgspec.Struct):
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
    prefill: PrefillEstimate
    expected_s: float
    sent_at: float
    answered: bool = False


class Router:
    """Chooses a candidate for each attempt and records the course of the attempts.

    Parameters
    ----------
    rng : Random
        Random generator for the choices; its seed makes them reproducible.
    policy : callable
        Function that chooses among the candidates.
    """

    def __init__(self, rng: Random, policy: Policy = choose_lowest_cost) -> None:
        self._rng = rng
        self._policy = policy
        self._state = RoutingState()

    def choose(
        self,
        candidates: Sequence[Candidate],
        prefill: PrefillEstimate,
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
            Requests that one candidate handles at once; further ones wait there for a slot.
        avoided : frozenset of str
            Instances that are not chosen.
        now : float
            Monotonic time in seconds.
        """
        allowed = [each for each in candidates if each.target.instance not in avoided]
        if not allowed:
            return None
        return self._policy(ChoiceContext(allowed, prefill, slots, now), self._state, self._rng)

    def should_send(
        self, choice: Choice, prefill: PrefillEstimate, slots: int, target_s: float, now: float
    ) -> bool:
        """Whether a request should be sent now rather than wait at this node.

        That is so if a slot is free and either no request is queued there or the first byte
        is expected within `target_s` seconds.
        """
        load = self._state.estimate_load(choice.candidate)
        if load.queued + load.running >= slots:
            return False
        if load.queued < MAX_IDLE_QUEUED:
            return True
        return self.expected_first_byte_s(choice, prefill, slots, now) <= target_s

    def expected_first_byte_s(
        self, choice: Choice, prefill: PrefillEstimate, slots: int, now: float
    ) -> float:
        """Return the expected time to the first byte at a choice, in seconds."""
        return self._state.estimate_first_byte(
            choice.candidate, prefill, choice.is_preferred, slots, now
        ).total_s

    def record_sent(
        self, choice: Choice, prefill: PrefillEstimate, slots: int, now: float
    ) -> DispatchedAttempt:
        """Record that an attempt is sent to a choice."""
        state = self._state
        instance = choice.candidate.target.instance
        estimate = state.estimate_first_byte(
            choice.candidate, prefill, choice.is_preferred, slots, now
        )
        state.record_prefill(choice.candidate, prefill, choice.is_preferred, now)
        state.own_load.record_sent(instance, now)
        if prefill.prefix_digest is not None:
            state.prefix_cache.record_prefix(instance, prefill.prefix_digest, now)
        return DispatchedAttempt(instance, prefill, estimate.base_s, now)

    def record_first_byte(self, attempt: DispatchedAttempt, now: float) -> None:
        """Record the first byte of an attempt's answer; later bytes change nothing."""
        if attempt.answered:
            return
        attempt.answered = True
        measured_s = now - attempt.sent_at
        self._state.own_load.record_first_byte(attempt.instance, now)
        self._state.slowness.record(attempt.instance, measured_s, attempt.expected_s, now)

    def record_cache_miss(self, attempt: DispatchedAttempt) -> None:
        """Record that, by the answer of an attempt, nothing of its prefix was cached."""
        if attempt.prefill.prefix_digest is not None:
            self._state.prefix_cache.remove(attempt.instance, attempt.prefill.prefix_digest)

    def record_end(self, attempt: DispatchedAttempt, now: float) -> None:
        """Record the end of an attempt, with or without an answer."""
        self._state.own_load.record_end(attempt.instance, attempt.answered, now)

    def prune(self, listed: set[InstanceId]) -> None:
        """Drop the state of instances that are not in `listed`, the instance list."""
        self._state.own_load.prune(listed)
        self._state.slowness.prune(listed)
        self._state.prefix_cache.prune(listed)
