"""Whether a stopping node can still answer a request before it ends."""

from briarpond.requests import Outcome, Refusal, RefusalCode, RequestKind, RequestSpec

from ._node import NodeContext
from ._runner import RequestRunner

# Longest time of a token where none has been measured, seconds.
ASSUMED_TOKEN_S = 0.1
# Answers with fewer tokens say little about the time of one.
MIN_MEASURED_TOKENS = 16

CANNOT_FINISH = Refusal(
    RefusalCode.NODE_STOPPING,
    Outcome.NOT_RUN,
    503,
    "This node is stopping and could not end the request in time.",
    1.0,
)


def longest_answer_s(
    node: NodeContext, request_spec: RequestSpec, pool_name: str, tokens: int
) -> float:
    """Return the time that a request takes at most, as far as known, seconds.

    An answer that is not a stream begins with its end, so that the longest silence of a
    backend server bounds it.

    Parameters
    ----------
    tokens : int
        Tokens that the answer may have; 0 for a plain service.
    """
    measured_s = node.answer_times.longest_s(pool_name, max(1, tokens))
    if request_spec.kind is RequestKind.SERVICE:
        silence_s = request_spec.max_silence_s
        return silence_s if measured_s is None else min(measured_s, silence_s)
    if measured_s is None:
        measured_s = tokens * ASSUMED_TOKEN_S
    longest_s = node.document.policy.first_token_s + measured_s
    if request_spec.kind is RequestKind.MODEL_WHOLE:
        return min(longest_s, request_spec.max_silence_s)
    return longest_s


def record_answer(node: NodeContext, runner: RequestRunner, pool_name: str, now: float) -> None:
    """Record the time of a request that was answered, for later estimates."""
    machine = runner.machine
    if machine.outcome is not Outcome.ANSWERED:
        return
    if machine.spec.kind is RequestKind.SERVICE:
        node.answer_times.record(pool_name, 1, now - runner.started_at)
        return
    began_at = machine.first_byte_at if machine.first_byte_at is not None else runner.started_at
    tokens = runner.tokens_used or machine.events_sent
    if tokens >= MIN_MEASURED_TOKENS:
        node.answer_times.record(pool_name, tokens, now - began_at)
