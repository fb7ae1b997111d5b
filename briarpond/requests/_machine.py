"""State machine of one request, free of sockets and clocks.

Events come in as method calls with the present time; each returns the effects
that the shell must carry out in order. Events of an attempt that is not the
current one are dropped, so late or reordered bytes never reach a caller.
"""

from collections.abc import Callable
from enum import Enum

from briarpond.ids import AttemptId
from briarpond.net import LossReason

from ._effects import (
    AskOwner,
    CancelAttempt,
    Claim,
    Confirm,
    Dispatch,
    Effect,
    ReplyData,
    ReplyEnd,
    ReplyHead,
    ReplyRefusal,
)
from ._keys import KeyEntry, KeyState
from ._models import (
    ClaimResult,
    Outcome,
    Refusal,
    RefusalCode,
    RequestKind,
    RequestPlan,
    Target,
    TargetKind,
)
from ._retries import RetryBudget
from ._stream import EventSplitter

Chooser = Callable[[frozenset[str], float], Target | None]

_RETRYABLE_STATUSES = frozenset({429, 500, 502, 503, 504})
_RETRY_SOON_S = 1.0
_ASK_AGAIN_S = 0.2


class Stage(Enum):
    """Where a request stands."""

    NEW = "new"
    CLAIMING = "claiming"
    ASKING = "asking"
    CONFIRMING = "confirming"
    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERING = "answering"
    DONE = "done"


class RequestMachine:
    """Drives one request to exactly one outcome.

    Parameters
    ----------
    plan : RequestPlan
        What is fixed about the request.
    choose : callable
        ``choose(avoided_instances, now)`` returns a target or None.
    budget : RetryBudget
        Shared by all requests of the node.
    new_attempt : callable
        Returns a fresh attempt id.
    """

    def __init__(
        self,
        plan: RequestPlan,
        choose: Chooser,
        budget: RetryBudget,
        new_attempt: Callable[[], AttemptId],
    ) -> None:
        self.plan = plan
        self.stage = Stage.NEW
        self.outcome: Outcome | None = None
        self.attempts = 0
        self.target: Target | None = None
        self.events_sent = 0
        self.last_byte_at = 0.0
        self.first_byte_at: float | None = None
        self._choose = choose
        self._budget = budget
        self._new_attempt = new_attempt
        self._attempt: AttemptId | None = None
        self._avoided: frozenset[str] = frozenset()
        self._earlier_may_have_run = False
        self._head_out = False
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._streaming = False
        self._splitter = EventSplitter()
        self._whole = bytearray()

    @property
    def done(self) -> bool:
        """Whether the request has its outcome."""
        return self.stage is Stage.DONE

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run at a backend server."""
        return self._earlier_may_have_run or self.stage in (Stage.SENT, Stage.ANSWERING)

    @property
    def _key_unsettled(self) -> bool:
        unsettled = (Stage.NEW, Stage.CLAIMING, Stage.ASKING)
        return self.plan.key is not None and self.stage in unsettled

    def start(self, now: float) -> list[Effect]:
        """Begin: claim the key first if there is one."""
        assert self.stage is Stage.NEW
        self._budget.on_first_attempt()
        if self.plan.key is not None:
            self.stage = Stage.CLAIMING
            return [Claim(self.plan.key)]
        return self._next_attempt(now)

    def on_not_admitted(
        self, code: RefusalCode, status: int, message: str, retry_after_s: float
    ) -> list[Effect]:
        """End a request that was never started."""
        if self.stage is not Stage.NEW:
            return []
        return self._refuse(code, status, message, retry_after_s)

    def on_claim(self, result: ClaimResult, now: float) -> list[Effect]:
        """Go on once the claim on the key is settled."""
        if self.stage is not Stage.CLAIMING:
            return []
        assert self.plan.key is not None
        match result:
            case ClaimResult.WON:
                return self._next_attempt(now)
            case ClaimResult.TAKEN:
                self.stage = Stage.ASKING
                return [AskOwner(self.plan.key)]
            case ClaimResult.REUSED:
                message = "This idempotency key stands for another request; this one did not run."
                self._close(Outcome.NOT_RUN)
                refusal = Refusal(RefusalCode.KEY_REUSED, Outcome.NOT_RUN, 422, message)
                return [ReplyRefusal(refusal, False)]
        # This node has not run it, but the same key may have run by another one.
        message = "The platform's log did not answer in time; ask again with the same key."
        return self._refuse_unknown(RefusalCode.LOG_UNAVAILABLE, 503, message)

    def on_owner(self, entry: KeyEntry | None, now: float) -> list[Effect]:
        """Repeat what the owner of the key says; None if it cannot be asked."""
        if self.stage is not Stage.ASKING:
            return []
        assert self.plan.key is not None
        if entry is None:
            message = "The node that took the first request with this key cannot be asked."
            return self._refuse_unknown(RefusalCode.KEY_ELSEWHERE, 409, message)
        match entry.state:
            case KeyState.RUNNING:
                return [AskOwner(self.plan.key, _ASK_AGAIN_S)]
            case KeyState.NOT_RUN:
                # It may be run there before this word arrives, so it is not passed on as true.
                message = "The first request with this key has not run yet; ask again."
                return self._refuse_unknown(RefusalCode.KEY_ENDED, 503, message)
            case KeyState.ANSWERED if entry.body is not None:
                headers = (("content-type", entry.content_type),)
                head = ReplyHead(entry.status, headers, False, Outcome.ANSWERED)
                return self._finish([head, ReplyData(entry.body), ReplyEnd()])
        message = "The first request with this key has ended; its answer is not known."
        return self._refuse_unknown(RefusalCode.KEY_ENDED, 409, message)

    def on_confirmed(self, attempt: AttemptId, ready: bool, now: float) -> list[Effect]:
        """Dispatch if every member answered rightly, else look elsewhere."""
        if attempt != self._attempt or self.stage is not Stage.CONFIRMING:
            return []
        assert self.target is not None
        if ready:
            self.stage = Stage.CONNECTING
            self.last_byte_at = now
            return [Dispatch(attempt, self.target)]
        self._avoid(self.target)
        return self._retry_unsent(now, RefusalCode.NOT_CONFIRMED)

    def on_sent(self, attempt: AttemptId, now: float) -> None:
        """Note that bytes of the request may have reached the backend server."""
        if attempt == self._attempt and self.stage is Stage.CONNECTING:
            self.stage = Stage.SENT
            self.last_byte_at = now

    def on_head(
        self,
        attempt: AttemptId,
        status: int,
        headers: tuple[tuple[str, str], ...],
        not_run: bool,
        now: float,
    ) -> list[Effect]:
        """Take the status and headers of the backend server's answer."""
        if attempt != self._attempt or self.stage is not Stage.SENT:
            return []
        assert self.target is not None
        self.last_byte_at = now
        if not_run:
            return self._not_run_by_backend(now)
        if self.plan.idempotent and status in _RETRYABLE_STATUSES and self._can_retry(now):
            self._earlier_may_have_run = True
            self._avoid(self.target)
            return [CancelAttempt(attempt), *self._next_attempt(now)]
        self.stage = Stage.ANSWERING
        self._status = status
        self._headers = headers
        self._streaming = self.plan.kind is RequestKind.MODEL_STREAM and status == 200
        return []

    def on_body(self, attempt: AttemptId, data: bytes, now: float) -> list[Effect]:
        """Take body bytes; whole stream events go on to the caller at once."""
        if attempt != self._attempt or self.stage is not Stage.ANSWERING:
            return []
        self.last_byte_at = now
        if self._streaming:
            return self._stream_events(data, now)
        self._whole += data
        if len(self._whole) > self.plan.whole_answer_bytes:
            return self._give_up(RefusalCode.ANSWER_TOO_LARGE, 502, "The answer is too large.")
        return []

    def on_end(self, attempt: AttemptId, now: float) -> list[Effect]:
        """Take the proper end of the backend server's answer."""
        if attempt != self._attempt or self.stage is not Stage.ANSWERING:
            return []
        if self._streaming:
            if not self._splitter.finished:
                return self.on_lost(attempt, LossReason.MALFORMED, now)
            return self._finish([ReplyEnd()])
        if self._head_out:
            return self._refuse_in_stream(RefusalCode.BACKEND_LOST, "The stream could not go on.")
        head = ReplyHead(self._status, self._headers, False, Outcome.ANSWERED)
        return self._finish([head, ReplyData(bytes(self._whole)), ReplyEnd()])

    def on_lost(self, attempt: AttemptId, reason: LossReason, now: float) -> list[Effect]:
        """Decide after an attempt ended before its answer was whole."""
        if attempt != self._attempt or self.done:
            return []
        assert self.target is not None
        if reason is LossReason.CONNECT_FAILED and self.stage is Stage.CONNECTING:
            self._avoid(self.target)
            return self._retry_unsent(now, RefusalCode.NO_TARGET)
        self._earlier_may_have_run = True
        if self.plan.idempotent and self._can_retry(now):
            self._avoid(self.target)
            return self._next_attempt(now)
        code = RefusalCode.BACKEND_LOST
        if reason is LossReason.TIMEOUT:
            code = RefusalCode.BACKEND_TIMEOUT
        status = 504 if reason is LossReason.TIMEOUT else 502
        return self._give_up(
            code, status, "The backend server was lost before its answer was whole."
        )

    def on_caller_gone(self, now: float) -> list[Effect]:
        """Cancel idempotent work; let the rest end, so that its outcome is known.

        A keyed request goes on even before it was sent: the caller will ask for
        its answer again with the same key.
        """
        if self.done:
            return []
        if not self.plan.idempotent and (self.plan.key is not None or self.may_have_run):
            return []
        effects = self._cancel_current()
        unsure = self.may_have_run or self._key_unsettled
        self._close(Outcome.UNKNOWN if unsure else Outcome.NOT_RUN)
        return effects

    def on_stop(self, now: float) -> list[Effect]:
        """End with the true outcome because the node must stop now."""
        if self.done:
            return []
        return self._give_up(RefusalCode.DRAINING, 503, "This node had to stop.")

    def on_tick(self, now: float) -> list[Effect]:
        """Enforce the deadline and the bound on silence."""
        if self.done:
            return []
        if now >= self.plan.deadline:
            return self._give_up(RefusalCode.DEADLINE, 504, "The deadline has passed.")
        silent = now - self.last_byte_at >= self.plan.silence_s
        if silent and self.stage in (Stage.SENT, Stage.ANSWERING):
            assert self._attempt is not None
            cancel = CancelAttempt(self._attempt)
            return [cancel, *self.on_lost(self._attempt, LossReason.TIMEOUT, now)]
        return []

    def _next_attempt(self, now: float) -> list[Effect]:
        target = self._choose(self._avoided, now)
        if target is None and self._avoided and self.plan.idempotent:
            # Better the same server again than none.
            target = self._choose(frozenset(), now)
        if target is None:
            return self._no_target()
        self.attempts += 1
        self.target = target
        self._attempt = self._new_attempt()
        self._splitter = EventSplitter()
        self._whole.clear()
        if not self.plan.idempotent and target.kind is TargetKind.GROUP:
            self.stage = Stage.CONFIRMING
            return [Confirm(self._attempt, target)]
        self.stage = Stage.CONNECTING
        self.last_byte_at = now
        return [Dispatch(self._attempt, target, self.events_sent)]

    def _no_target(self) -> list[Effect]:
        message = "No backend server that can take this request is ready."
        if self._head_out:
            return self._refuse_in_stream(RefusalCode.BACKEND_LOST, message)
        if self.may_have_run:
            return self._give_up(RefusalCode.BACKEND_LOST, 502, message)
        return self._refuse(RefusalCode.NO_TARGET, 503, message)

    def _stream_events(self, data: bytes, now: float) -> list[Effect]:
        events = self._splitter.feed(data)
        if self._splitter.oversized:
            return self._give_up(RefusalCode.ANSWER_TOO_LARGE, 502, "An event is too large.")
        if not events:
            return []
        effects: list[Effect] = []
        if not self._head_out:
            self._head_out = True
            self.first_byte_at = now
            effects.append(ReplyHead(self._status, self._headers, True, Outcome.ANSWERED))
        self.events_sent += len(events)
        effects.append(ReplyData(b"".join(events)))
        return effects

    def _not_run_by_backend(self, now: float) -> list[Effect]:
        """The backend server itself says that nothing of this attempt ran."""
        assert self.target is not None and self._attempt is not None
        self._avoid(self.target)
        cancel = CancelAttempt(self._attempt)
        self.stage = Stage.CONNECTING
        return [cancel, *self._retry_unsent(now, RefusalCode.NO_TARGET)]

    def _retry_unsent(self, now: float, code: RefusalCode) -> list[Effect]:
        """Try elsewhere after an attempt that certainly did not run."""
        if self._can_retry(now):
            return self._next_attempt(now)
        if self.may_have_run or self._head_out:
            return self._give_up(RefusalCode.BACKEND_LOST, 502, "No other attempt was possible.")
        return self._refuse(code, 503, "No backend server took the request.")

    def _can_retry(self, now: float) -> bool:
        if self.attempts >= self.plan.max_attempts or now >= self.plan.deadline:
            return False
        return self._budget.take()

    def _avoid(self, target: Target) -> None:
        self._avoided |= {target.instance}

    def _give_up(self, code: RefusalCode, status: int, message: str) -> list[Effect]:
        effects = self._cancel_current()
        if self._head_out:
            return effects + self._refuse_in_stream(code, message)
        if not self.may_have_run:
            return effects + self._refuse(code, status, message)
        return effects + self._refuse_unknown(code, status, message)

    def _refuse(
        self, code: RefusalCode, status: int, message: str, retry_after_s: float = _RETRY_SOON_S
    ) -> list[Effect]:
        """End without a run; while its key is unsettled, another node may have run it."""
        assert not self.may_have_run and not self._head_out
        outcome = Outcome.UNKNOWN if self._key_unsettled else Outcome.NOT_RUN
        refusal = Refusal(code, outcome, status, message, retry_after_s)
        self._close(outcome)
        return [ReplyRefusal(refusal, False)]

    def _refuse_unknown(self, code: RefusalCode, status: int, message: str) -> list[Effect]:
        self._close(Outcome.UNKNOWN)
        wait_s = _RETRY_SOON_S if status == 503 else 0.0
        return [ReplyRefusal(Refusal(code, Outcome.UNKNOWN, status, message, wait_s), False)]

    def _refuse_in_stream(self, code: RefusalCode, message: str) -> list[Effect]:
        refusal = Refusal(code, Outcome.UNKNOWN, 502, message)
        self._close(Outcome.UNKNOWN)
        return [ReplyRefusal(refusal, True)]

    def _cancel_current(self) -> list[Effect]:
        if self.stage in (Stage.CONNECTING, Stage.SENT, Stage.ANSWERING):
            assert self._attempt is not None
            return [CancelAttempt(self._attempt)]
        return []

    def _finish(self, effects: list[Effect]) -> list[Effect]:
        self._close(Outcome.ANSWERED)
        return effects

    def _close(self, outcome: Outcome) -> None:
        self._earlier_may_have_run = self.may_have_run
        self.stage = Stage.DONE
        self.outcome = outcome
        self._attempt = None
