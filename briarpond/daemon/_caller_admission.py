"""Whether this node takes a request of a caller now, and the refusal if it does not."""

import msgspec

from briarpond.admission import Denied
from briarpond.configuration import AccountConfig
from briarpond.ids import AccountId
from briarpond.requests import Outcome, Refusal, RefusalCode, RequestSpec

from ._node import NodeContext
from ._taking import CANNOT_FINISH


def refusal_before_admission(
    node: NodeContext, request_spec: RequestSpec, longest_s: float
) -> Refusal | None:
    """Return the refusal of a request that this node cannot take now, None if it can.

    Without recent contact with the log, the folded groups and claims may be out of
    date, so only idempotent requests are taken.
    """
    if not node.drain.accepts_requests:
        return Refusal(
            RefusalCode.NODE_STOPPING, Outcome.NOT_RUN, 503, "This node is stopping.", 1.0
        )
    if not node.drain.can_finish(request_spec.deadline, longest_s, node.clock.now()):
        return CANNOT_FINISH
    if not request_spec.idempotent and not node.has_log_contact(node.clock.now()):
        message = "This node has lost contact with the platform's log and its peers."
        return Refusal(RefusalCode.LOG_UNAVAILABLE, Outcome.NOT_RUN, 503, message, 2.0)
    return None


def account_refusal(
    node: NodeContext, account: AccountId, config: AccountConfig, reserved_tokens: int
) -> Refusal | None:
    """Return the refusal of a request over its account's limits, None if it is admitted."""
    now = node.clock.now()
    share = node.account_share(account, now)
    decision = node.account_limiter.admit(account, config, share, reserved_tokens, now)
    if not isinstance(decision, Denied):
        return None
    message = f"Client account {account} is over its limit {decision.reason}."
    return Refusal(RefusalCode.RATE_LIMITED, Outcome.NOT_RUN, 429, message, decision.retry_after_s)


def with_keyed_outcome(refusal: Refusal, request_spec: RequestSpec) -> Refusal:
    """Return a refusal whose outcome also holds for a request with an idempotency key.

    The request was refused before its key was looked up. Another node may have run
    the request with the same key, so the outcome is unknown rather than "not run".
    """
    if request_spec.key is None:
        return refusal
    return msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)
