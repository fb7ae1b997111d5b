"""State machine of one request, which uses neither sockets nor clocks.

Each event is a method call with the present monotonic time. It returns the effects that the
runner must carry out, in order. Events of an attempt that is not the current one are ignored,
so that late or reordered bytes never reach a caller.
"""

from collections.abc import Callable
from enum import Enum

from briarpond.ids import AttemptId
from briarpond.net import LossReason, media_type

from ._effects import (
    AskKeyOwner,
    CancelAttempt,
    ClaimKey,
    ConfirmGroup,
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
    RequestSpec,
    Target,
    TargetKind,
)
from ._retries import RetryBudget
from ._stream import EventSplitter

TargetChooser = Callable[[frozenset[str], float], Target | None]

# HTTP statuses of a backend server after which an idempotent request is tried elsewhere.
_RETRYABLE_STATUSES = frozenset({429, 500, 502, 503, 504})
# Retry-After in seconds for refusals without a better estimate.
_DEFAULT_RETRY_AFTER_S = 1.0
# Seconds between two queries to the owner of a key while the request is running there.
_OWNER_POLL_S = 0.2


class Stage(Enum):
    """Stage of a request.

    Attributes
    ----------
    NEW
        Not started.
    CLAIMING
        Waits for the result of the claim on its idempotency key.
    ASKING
        Waits for the owner of its idempotency key to answer.
    CONFIRMING
        Waits for the members of the chosen group to confirm that the group is ready.
    CONNECTING
        An attempt has begun; no byte of it can have reached the backend server.
    SENT
        Bytes of the attempt may have reached the backend server.
    ANSWERING
        The backend server has sent the status and headers of its answer.
    DONE
        The request has its outcome.
    """

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
    spec : RequestSpec
        Fixed properties of the request.
    choose : callable
        ``choose(avoided_instances, now)`` returns a target, or None if there is none.
    budget : RetryBudget
        Retry budget, shared by all requests of the node.
    new_attempt : callable
        Returns a new attempt id.

    Attributes
    ----------
    spec : RequestSpec
        Fixed properties of the request.
    stage : Stage
        Stage of the request.
    outcome : Outcome or None
        Outcome of the request; None until it is done.
    attempts : int
        Attempts begun so far.
    target : Target or None
        Target of the current attempt, or of the last one.
    events_sent : int
        Events of the stream that were sent to the caller.
    last_byte_at : float
        Monotonic time at which the current attempt began or last made progress.
    first_byte_at : float or None
        Monotonic time of the first byte of a stream that was sent to the caller.
    """

    def __init__(
        self,
        spec: RequestSpec,
        choose: TargetChooser,
        budget: RetryBudget,
        new_attempt: Callable[[], AttemptId],
    ) -> None:
        self.spec = spec
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
        # Instances where an attempt has failed. Only an idempotent request goes there again, if
        # there is no other target.
        self._avoided: frozenset[str] = frozenset()
        self._earlier_attempt_may_have_run = False
        self._reply_started = False
        # Status and headers of the backend server's answer.
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._streaming = False
        self._splitter = EventSplitter()
        self._body = bytearray()

    @property
    def done(self) -> bool:
        """Whether the request has its outcome."""
        return self.stage is Stage.DONE

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt of this node may have run at a backend server."""
        return self._earlier_attempt_may_have_run or self.stage in (Stage.SENT, Stage.ANSWERING)

    @property
    def _may_have_run_elsewhere(self) -> bool:
        """Whether another node may have run the request under the same idempotency key."""
        stages_without_claim = (Stage.NEW, Stage.CLAIMING, Stage.ASKING)
        return self.spec.key is not None and self.stage in stages_without_claim

    @property
    def _has_whole_stream(self) -> bool:
        """Whether the caller has been sent all events; only the end of the answer is missing."""
        return self.stage is Stage.ANSWERING and self._streaming and self._splitter.done_received

    def start(self, now: float) -> list[Effect]:
        """Start the request: claim its idempotency key if it has one, else begin an attempt."""
        assert self.stage is Stage.NEW
        self._budget.record_first_attempt()
        if self.spec.key is not None:
            self.stage = Stage.CLAIMING
            return [ClaimKey(self.spec.key)]
        return self._next_attempt(now)

    def on_not_admitted(
        self, code: RefusalCode, status: int, message: str, retry_after_s: float
    ) -> list[Effect]:
        """End a request that was not started.

        It was over a limit, or waited too long for a free slot.
        """
        if self.stage is not Stage.NEW:
            return []
        return self._refuse_not_run(code, status, message, retry_after_s)

    def on_claim_result(self, result: ClaimResult, now: float) -> list[Effect]:
        """Continue with the result of the claim on the idempotency key."""
        if self.stage is not Stage.CLAIMING:
            return []
        assert self.spec.key is not None
        match result:
            case ClaimResult.WON:
                return self._next_attempt(now)
            case ClaimResult.TAKEN:
                self.stage = Stage.ASKING
                return [AskKeyOwner(self.spec.key)]
            case ClaimResult.REUSED:
                message = "This idempotency key stands for another request; this one did not run."
                self._conclude(Outcome.NOT_RUN)
                refusal = Refusal(RefusalCode.KEY_REUSED, Outcome.NOT_RUN, 422, message)
                return [ReplyRefusal(refusal, False)]
        # This node has not run the request, but another one may have run it with the same key.
        message = "The platform's log did not answer in time; ask again with the same key."
        return self._refuse_unknown(RefusalCode.LOG_UNAVAILABLE, 503, message)

    def on_owner_answer(self, entry: KeyEntry | None, now: float) -> list[Effect]:
        """Continue with the entry of the key at the node that owns it.

        Parameters
        ----------
        entry : KeyEntry or None
            State of the first request with the key; None if the owner did not give it.
        now : float
            Monotonic time in seconds.
        """
        if self.stage is not Stage.ASKING:
            return []
        assert self.spec.key is not None
        if entry is None:
            message = "The node that took the first request with this key cannot be asked."
            return self._refuse_unknown(RefusalCode.KEY_OWNER_UNREACHABLE, 409, message)
        match entry.state:
            case KeyState.RUNNING:
                return [AskKeyOwner(self.spec.key, _OWNER_POLL_S)]
            case KeyState.NOT_RUN:
                # The owner may have run it since it answered, so the outcome is unknown here.
                message = "The first request with this key has not run yet; ask again."
                return self._refuse_unknown(RefusalCode.KEY_ALREADY_USED, 503, message)
            case KeyState.ANSWERED if entry.body is not None:
                headers = (("content-type", entry.content_type),)
                head = ReplyHead(entry.status, headers, False, Outcome.ANSWERED)
                return self._end_answered([head, ReplyData(entry.body), ReplyEnd()])
        message = "The first request with this key has ended; its answer is not known."
        return self._refuse_unknown(RefusalCode.KEY_ALREADY_USED, 409, message)

    def on_confirmed(self, attempt: AttemptId, ready: bool, now: float) -> list[Effect]:
        """Send the request if the group is ready, else try another target.

        Parameters
        ----------
        attempt : AttemptId
            Attempt that waits for the confirmation.
        ready : bool
            Whether every member confirmed that the group is ready.
        now : float
            Monotonic time in seconds.
        """
        if attempt != self._attempt or self.stage is not Stage.CONFIRMING:
            return []
        assert self.target is not None
        if ready:
            self.stage = Stage.CONNECTING
            self.last_byte_at = now
            return [Dispatch(attempt, self.target)]
        self._avoid(self.target)
        return self._retry_not_run(now, RefusalCode.GROUP_NOT_CONFIRMED)

    def on_sent(self, attempt: AttemptId, now: float) -> None:
        """Record that bytes of the request may have reached the backend server."""
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
        """Process the status and headers of the backend server's answer.

        Parameters
        ----------
        attempt : AttemptId
            Attempt that is answered.
        status : int
            HTTP status.
        headers : tuple of tuple
            Names and values of the headers that go to the caller.
        not_run : bool
            Whether the answer states that the backend server has not run the request.
        now : float
            Monotonic time in seconds.
        """
        if attempt != self._attempt or self.stage is not Stage.SENT:
            return []
        assert self.target is not None
        self.last_byte_at = now
        if not_run:
            return self._on_not_run(now)
        if self.spec.idempotent and status in _RETRYABLE_STATUSES and self._take_retry(now):
            self._earlier_attempt_may_have_run = True
            self._avoid(self.target)
            return [CancelAttempt(attempt), *self._next_attempt(now)]
        if self._reply_started and not self._continues_stream(status, headers):
            cancel = CancelAttempt(attempt)
            return [cancel, *self.on_lost(attempt, LossReason.MALFORMED, now)]
        self.stage = Stage.ANSWERING
        self._status = status
        self._headers = headers
        self._streaming = self.spec.kind is RequestKind.MODEL_STREAM and status == 200
        return []

    def _continues_stream(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Whether an answer is the rest of the stream that the caller has got in part."""
        return status == 200 and media_type(headers) == media_type(self._headers)

    def on_body(self, attempt: AttemptId, data: bytes, now: float) -> list[Effect]:
        """Process bytes of the body; complete events of a stream are sent to the caller at once."""
        if attempt != self._attempt or self.stage is not Stage.ANSWERING:
            return []
        self.last_byte_at = now
        if self._streaming:
            return self._forward_events(data, now)
        self._body += data
        if len(self._body) > self.spec.max_whole_answer_bytes:
            return self._end_unanswered(
                RefusalCode.ANSWER_TOO_LARGE, 502, "The answer is too large."
            )
        return []

    def on_end(self, attempt: AttemptId, now: float) -> list[Effect]:
        """Process the regular end of the backend server's answer."""
        if attempt != self._attempt or self.stage is not Stage.ANSWERING:
            return []
        if self._streaming:
            if not self._splitter.done_received:
                return self.on_lost(attempt, LossReason.MALFORMED, now)
            return self._end_answered([ReplyEnd()])
        head = ReplyHead(self._status, self._headers, False, Outcome.ANSWERED)
        return self._end_answered([head, ReplyData(bytes(self._body)), ReplyEnd()])

    def on_lost(self, attempt: AttemptId, reason: LossReason, now: float) -> list[Effect]:
        """Retry or refuse after an attempt that ended before its answer was complete."""
        if attempt != self._attempt or self.done:
            return []
        assert self.target is not None
        if self._has_whole_stream:
            return self._end_answered([ReplyEnd()])
        if reason.not_sent and self.stage is Stage.CONNECTING:
            self._avoid(self.target)
            return self._retry_not_run(now, RefusalCode.NO_READY_BACKEND)
        self._earlier_attempt_may_have_run = True
        if self.spec.idempotent and self._take_retry(now):
            self._avoid(self.target)
            return self._next_attempt(now)
        code = RefusalCode.BACKEND_LOST
        if reason is LossReason.TIMEOUT:
            code = RefusalCode.BACKEND_TIMEOUT
        status = 504 if reason is LossReason.TIMEOUT else 502
        return self._end_unanswered(
            code, status, "The backend server was lost before its answer was whole."
        )

    def on_caller_gone(self, now: float) -> list[Effect]:
        """Cancel the request, unless it is not idempotent and may have run or has a key.

        Work that is not idempotent is not interrupted, so that its outcome is known. A
        request with an idempotency key continues even if it was not sent yet, because the
        caller will ask for its answer with the same key.
        """
        if self.done:
            return []
        if not self.spec.idempotent and (self.spec.key is not None or self.may_have_run):
            return []
        effects = self._cancel_attempt()
        unknown = self.may_have_run or self._may_have_run_elsewhere
        self._conclude(Outcome.UNKNOWN if unknown else Outcome.NOT_RUN)
        return effects

    def on_stop(self, now: float) -> list[Effect]:
        """End the request because the node must stop now."""
        if self.done:
            return []
        return self._end_unanswered(RefusalCode.NODE_STOPPING, 503, "This node had to stop.")

    def on_tick(self, now: float) -> list[Effect]:
        """Enforce the deadline and the longest time without a byte from the backend server."""
        if self.done:
            return []
        if now >= self.spec.deadline:
            return self._end_unanswered(
                RefusalCode.DEADLINE_EXCEEDED, 504, "The deadline has passed."
            )
        silent = now - self.last_byte_at >= self.spec.max_silence_s
        if silent and self.stage in (Stage.SENT, Stage.ANSWERING):
            assert self._attempt is not None
            cancel = CancelAttempt(self._attempt)
            return [cancel, *self.on_lost(self._attempt, LossReason.TIMEOUT, now)]
        return []

    def _next_attempt(self, now: float) -> list[Effect]:
        """Begin an attempt; for non-idempotent requests to a group, with a confirmation."""
        target = self._choose(self._avoided, now)
        if target is None and self._avoided and self.spec.idempotent:
            # An idempotent request goes to a server that failed before rather than to none.
            target = self._choose(frozenset(), now)
        if target is None:
            return self._end_without_target()
        self.attempts += 1
        self.target = target
        self._attempt = self._new_attempt()
        self._splitter = EventSplitter()
        self._body.clear()
        if not self.spec.idempotent and target.kind is TargetKind.GROUP:
            self.stage = Stage.CONFIRMING
            return [ConfirmGroup(self._attempt, target)]
        self.stage = Stage.CONNECTING
        self.last_byte_at = now
        return [Dispatch(self._attempt, target, self.events_sent)]

    def _end_without_target(self) -> list[Effect]:
        message = "No backend server that can take this request is ready."
        if self._reply_started:
            return self._refuse_in_stream(RefusalCode.BACKEND_LOST, message)
        if self.may_have_run:
            return self._end_unanswered(RefusalCode.BACKEND_LOST, 502, message)
        return self._refuse_not_run(RefusalCode.NO_READY_BACKEND, 503, message)

    def _forward_events(self, data: bytes, now: float) -> list[Effect]:
        events = self._splitter.feed(data)
        if self._splitter.oversized:
            return self._end_unanswered(RefusalCode.ANSWER_TOO_LARGE, 502, "An event is too large.")
        if not events:
            return []
        effects: list[Effect] = []
        if not self._reply_started:
            self._reply_started = True
            self.first_byte_at = now
            effects.append(ReplyHead(self._status, self._headers, True, Outcome.ANSWERED))
        self.events_sent += len(events)
        effects.append(ReplyData(b"".join(events)))
        return effects

    def _on_not_run(self, now: float) -> list[Effect]:
        """Retry or refuse after the backend server stated that it has not run this attempt."""
        assert self.target is not None and self._attempt is not None
        self._avoid(self.target)
        cancel = CancelAttempt(self._attempt)
        # `may_have_run` would count this attempt if the stage stayed `SENT`.
        self.stage = Stage.CONNECTING
        return [cancel, *self._retry_not_run(now, RefusalCode.NO_READY_BACKEND)]

    def _retry_not_run(self, now: float, code: RefusalCode) -> list[Effect]:
        """Try another target after an attempt that certainly did not run.

        Without another attempt the request is refused with `code`, unless an earlier
        attempt may have run.
        """
        if self._take_retry(now):
            return self._next_attempt(now)
        if self.may_have_run or self._reply_started:
            return self._end_unanswered(
                RefusalCode.BACKEND_LOST, 502, "No other attempt was possible."
            )
        return self._refuse_not_run(code, 503, "No backend server took the request.")

    def _take_retry(self, now: float) -> bool:
        """Count a retry against the budget if one is allowed; return whether it is."""
        if self.attempts >= self.spec.max_attempts or now >= self.spec.deadline:
            return False
        return self._budget.try_acquire()

    def _avoid(self, target: Target) -> None:
        self._avoided |= {target.instance}

    def _end_unanswered(self, code: RefusalCode, status: int, message: str) -> list[Effect]:
        """End the request without a complete answer, as unknown if it may have run."""
        effects = self._cancel_attempt()
        if self._has_whole_stream:
            return self._end_answered([*effects, ReplyEnd()])
        if self._reply_started:
            return effects + self._refuse_in_stream(code, message)
        if not self.may_have_run:
            return effects + self._refuse_not_run(code, status, message)
        return effects + self._refuse_unknown(code, status, message)

    def _refuse_not_run(
        self,
        code: RefusalCode,
        status: int,
        message: str,
        retry_after_s: float = _DEFAULT_RETRY_AFTER_S,
    ) -> list[Effect]:
        """End a request that this node has not run.

        The outcome is still unknown while another node may have run it under the same
        idempotency key.
        """
        assert not self.may_have_run and not self._reply_started
        outcome = Outcome.UNKNOWN if self._may_have_run_elsewhere else Outcome.NOT_RUN
        refusal = Refusal(code, outcome, status, message, retry_after_s)
        self._conclude(outcome)
        return [ReplyRefusal(refusal, False)]

    def _refuse_unknown(self, code: RefusalCode, status: int, message: str) -> list[Effect]:
        self._conclude(Outcome.UNKNOWN)
        wait_s = _DEFAULT_RETRY_AFTER_S if status == 503 else 0.0
        return [ReplyRefusal(Refusal(code, Outcome.UNKNOWN, status, message, wait_s), False)]

    def _refuse_in_stream(self, code: RefusalCode, message: str) -> list[Effect]:
        refusal = Refusal(code, Outcome.UNKNOWN, 502, message)
        self._conclude(Outcome.UNKNOWN)
        return [ReplyRefusal(refusal, True)]

    def _cancel_attempt(self) -> list[Effect]:
        if self.stage in (Stage.CONNECTING, Stage.SENT, Stage.ANSWERING):
            assert self._attempt is not None
            return [CancelAttempt(self._attempt)]
        return []

    def _end_answered(self, effects: list[Effect]) -> list[Effect]:
        self._conclude(Outcome.ANSWERED)
        return effects

    def _conclude(self, outcome: Outcome) -> None:
        # `may_have_run` cannot be derived from the stage once that is `DONE`.
        self._earlier_attempt_may_have_run = self.may_have_run
        self.stage = Stage.DONE
        self.outcome = outcome
        self._attempt = None
