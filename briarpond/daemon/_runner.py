"""Carries out the effects of one request machine on real connections."""

from collections.abc import Callable

import msgspec

from briarpond.ids import AttemptId, Incarnation, NodeId, RequestKey
from briarpond.journal import KeyClaim, Settled
from briarpond.net import Exchange, Headers, HttpCall
from briarpond.ports import (
    GENERATION_HEADER,
    NOT_RUN_HEADER,
    PRIORITY_HEADER,
    REQUEST_HEADER,
    RESUME_HEADER,
)
from briarpond.requests import (
    AskOwner,
    CancelAttempt,
    Claim,
    ClaimResult,
    Confirm,
    Dispatch,
    Effect,
    KeyEntry,
    KeyState,
    LossReason,
    Outcome,
    RefusalCode,
    ReplyData,
    ReplyEnd,
    ReplyHead,
    ReplyRefusal,
    RequestKind,
    RequestMachine,
)

from ._attempts import Attempts
from ._fleet_link import FleetLink
from ._inbound import Reply
from ._node import NodeContext, parse_address
from ._refusals import NODE_HEADER, OUTCOME_HEADER, error_body, refuse

CLAIM_TIMEOUT_S = 3.0
_PASSED_HEADERS = frozenset({"content-type", "cache-control", "content-disposition", "location"})


AskKey = Callable[[NodeId, Incarnation, RequestKey, Callable[[KeyEntry | None], None]], None]


class Submission(msgspec.Struct):
    """What a caller sent, as it goes on to a backend server."""

    method: str
    target: str
    headers: Headers
    body: bytes
    priority: int
    digest: str


class Runner:
    """One request between its caller and the attempts made for it."""

    def __init__(
        self,
        node: NodeContext,
        fleet: FleetLink,
        machine: RequestMachine,
        submission: Submission,
        reply: Reply,
        attempts: Attempts,
        ask_key: AskKey,
        on_done: Callable[["Runner"], None],
    ) -> None:
        self.machine = machine
        self.started_at = node.clock.now()
        self.tokens_used: int | None = None
        self._node = node
        self._fleet = fleet
        self._submission = submission
        self._reply = reply
        self._attempts = attempts
        self._ask_key = ask_key
        self._on_done = on_done
        self._owns_key = False
        self._exchange: Exchange | None = None
        self._paused = False
        self._head: ReplyHead | None = None
        self._kept = b""
        reply.on_gone = self._on_caller_gone
        reply.on_drained = self._on_drained

    def start(self) -> None:
        """Begin, unless the request has ended while it waited."""
        if self.machine.done:
            return
        self.run(self.machine.start(self._now()))

    def tick(self) -> None:
        """Let the machine enforce its times."""
        self.run(self.machine.on_tick(self._now()))

    def refuse(self, code: RefusalCode, status: int, message: str, wait_s: float) -> None:
        """End a request that was never started."""
        self.run(self.machine.on_not_admitted(code, status, message, wait_s))

    def stop(self) -> None:
        """End now with the true outcome."""
        self.run(self.machine.on_stop(self._now()))

    def run(self, effects: list[Effect]) -> None:
        """Carry out effects in order."""
        for effect in effects:
            match effect:
                case ReplyData(data=data):
                    self._on_reply_data(data)
                case Dispatch():
                    self._dispatch(effect)
                case CancelAttempt():
                    self._end_exchange(cancel=True)
                case Confirm():
                    self._confirm(effect)
                case Claim():
                    self._claim(effect)
                case AskOwner():
                    self._ask_owner(effect)
                case ReplyHead():
                    self._on_reply_head(effect)
                case ReplyEnd():
                    self._on_reply_end()
                case ReplyRefusal():
                    self._refuse(effect)
        if self.machine.done and self._on_done is not None:
            self._close()

    def _now(self) -> float:
        return self._node.clock.now()

    def _claim(self, effect: Claim) -> None:
        node = self._node
        key = effect.key
        result = self._claim_known(key)
        if result is not None:
            node.clock.after(0.0, lambda: self._claimed(result))
            return
        record = KeyClaim(
            node.record_id("claim"),
            key,
            self.machine.plan.account,
            node.id,
            node.incarnation,
            self._submission.digest,
        )
        # Until the claim is settled this key is ours to answer for.
        self._own_key(key)

        def settled(result: Settled) -> None:
            self._claimed(self._claim_result(key))

        if not node.submit(record, CLAIM_TIMEOUT_S, settled):
            node.clock.after(0.0, lambda: self._claimed(ClaimResult.UNAVAILABLE))

    def _claim_known(self, key: RequestKey) -> ClaimResult | None:
        """Judge by what is known already; None if a claim must be submitted."""
        node = self._node
        entry = node.ledger.get(key)
        claim = node.tail.state.claims.get(key)
        known = entry.digest if entry is not None else claim.digest if claim is not None else None
        if known is None:
            return None
        if known != self._submission.digest:
            return ClaimResult.REUSED
        if entry is not None and entry.state is KeyState.NOT_RUN:
            if claim is not None and claim.incarnation == node.incarnation:
                self._own_key(key)
                return ClaimResult.WON
            return None if claim is None else ClaimResult.TAKEN
        return ClaimResult.TAKEN

    def _claim_result(self, key: RequestKey) -> ClaimResult:
        node = self._node
        claim = node.tail.state.claims.get(key)
        if claim is None:
            return ClaimResult.UNAVAILABLE
        if claim.incarnation == node.incarnation:
            return ClaimResult.WON
        node.ledger.forget(key)
        self._owns_key = False
        same = claim.digest == self._submission.digest
        return ClaimResult.TAKEN if same else ClaimResult.REUSED

    def _own_key(self, key: RequestKey) -> None:
        self._owns_key = True
        self._node.ledger.put(key, KeyEntry(KeyState.RUNNING, self._submission.digest))

    def _ask_owner(self, effect: AskOwner) -> None:
        node = self._node

        def told(entry: KeyEntry | None) -> None:
            self.run(self.machine.on_owner(entry, self._now()))

        def ask() -> None:
            if self.machine.done:
                return
            entry = node.ledger.get(effect.key)
            claim = node.tail.state.claims.get(effect.key)
            if entry is not None:
                told(entry)
            elif claim is None or claim.incarnation == node.incarnation:
                told(None)
            else:
                self._ask_key(claim.node, claim.incarnation, effect.key, told)

        node.clock.after(effect.delay_s, ask)

    def _claimed(self, result: ClaimResult) -> None:
        self.run(self.machine.on_claim(result, self._now()))

    def _confirm(self, effect: Confirm) -> None:
        def done(ready: bool) -> None:
            self.run(self.machine.on_confirmed(effect.attempt, ready, self._now()))

        self._fleet.confirm(effect.target, done)

    def _dispatch(self, effect: Dispatch) -> None:
        node = self._node
        self._end_exchange(cancel=False)
        address = parse_address(effect.target.address)
        if address is None:
            node.clock.after(0.0, lambda: self._lost(effect.attempt, LossReason.CONNECT_FAILED))
            return
        attempt = effect.attempt
        kind = "first" if self.machine.attempts == 1 else "retry"
        node.metrics.attempts.inc({"kind": kind})
        self._attempts.begin(effect.target, self._now())
        submission = self._submission
        call = HttpCall(
            address,
            submission.method,
            submission.target,
            (*submission.headers, *self._engine_headers(effect)),
            submission.body,
            lambda status, headers: self._got_head(attempt, status, headers),
            lambda data: self._got_body(attempt, data),
            lambda: self._ended(attempt),
            lambda reason: self._lost(attempt, reason),
            lambda: self.machine.on_sent(attempt, self._now()),
            reuse=self.machine.plan.idempotent,
            connect_s=node.settings.timing.connect_s,
        )
        self._exchange = node.client.start(call)

    def _engine_headers(self, effect: Dispatch) -> Headers:
        headers: Headers = (
            (REQUEST_HEADER, effect.attempt),
            (PRIORITY_HEADER, str(self._submission.priority)),
        )
        if effect.target.generation:
            headers += ((GENERATION_HEADER, str(effect.target.generation)),)
        if effect.resume_events:
            headers += ((RESUME_HEADER, str(effect.resume_events)),)
        return headers

    def _got_head(self, attempt: AttemptId, status: int, headers: Headers) -> None:
        not_run = any(name == NOT_RUN_HEADER for name, _ in headers)
        passed = tuple((name, value) for name, value in headers if name in _PASSED_HEADERS)
        self.run(self.machine.on_head(attempt, status, passed, not_run, self._now()))

    def _got_body(self, attempt: AttemptId, data: bytes) -> None:
        now = self._now()
        if self.machine.plan.kind is not RequestKind.MODEL_WHOLE:
            self._attempts.first_byte(now)
        self.run(self.machine.on_body(attempt, data, now))

    def _ended(self, attempt: AttemptId) -> None:
        self._end_exchange(cancel=False)
        self.run(self.machine.on_end(attempt, self._now()))

    def _lost(self, attempt: AttemptId, reason: LossReason) -> None:
        self._end_exchange(cancel=False)
        self.run(self.machine.on_lost(attempt, reason, self._now()))

    def _on_caller_gone(self) -> None:
        self.run(self.machine.on_caller_gone(self._now()))

    def _end_exchange(self, cancel: bool) -> None:
        if cancel and self._exchange is not None:
            self._exchange.cancel()
        self._exchange = None
        self._paused = False
        self._attempts.end(self._now())

    def _on_reply_head(self, effect: ReplyHead) -> None:
        self._head = effect
        if effect.streamed:
            self._reply.start(effect.status, (*effect.headers, *self._outcome(effect.outcome)))

    def _on_reply_data(self, data: bytes) -> None:
        assert self._head is not None
        if not self._head.streamed:
            self._kept = data
            return
        self._reply.write(data)
        limit = self._node.settings.limits.write_buffer_bytes
        if not self._paused and self._exchange is not None and self._reply.buffered > limit:
            self._paused = True
            self._exchange.pause()

    def _on_drained(self) -> None:
        if self._paused and self._exchange is not None:
            self._paused = False
            self._exchange.resume()

    def _on_reply_end(self) -> None:
        head = self._head
        assert head is not None
        if head.streamed:
            self._reply.end()
            return
        headers = (*head.headers, *self._outcome(head.outcome))
        self._learn_usage(head)
        self._remember_answer(head)
        self._reply.whole(head.status, headers, self._kept)

    def _learn_usage(self, head: ReplyHead) -> None:
        """Learn from a whole model answer what it used and whether its prefix was cached."""
        if self.machine.plan.kind is not RequestKind.MODEL_WHOLE or head.status != 200:
            return
        try:
            usage = msgspec.json.decode(self._kept, type=_UsageBody).usage
        except msgspec.MsgspecError:
            return
        if usage is None:
            return
        self.tokens_used = usage.completion_tokens
        details = usage.prompt_tokens_details
        if details is not None and details.cached_tokens == 0:
            self._attempts.missed()

    def _remember_answer(self, head: ReplyHead) -> None:
        key = self.machine.plan.key
        if key is None or not self._owns_key:
            return
        content_type = dict(head.headers).get("content-type", "application/json")
        entry = KeyEntry(
            KeyState.ANSWERED, self._submission.digest, head.status, content_type, self._kept
        )
        self._node.ledger.put(key, entry)

    def _refuse(self, effect: ReplyRefusal) -> None:
        refusal = effect.refusal
        self._node.metrics.refusals.inc({"code": refusal.code.value})
        if not effect.in_stream:
            refuse(self._node, self._reply, refusal)
            return
        body = msgspec.json.encode(error_body(refusal, self._node.id))
        self._reply.write(b"data: " + body + b"\n\n")
        self._reply.end()

    def _outcome(self, outcome: Outcome) -> Headers:
        return ((OUTCOME_HEADER, outcome.value), (NODE_HEADER, self._node.id))

    def _close(self) -> None:
        self._end_exchange(cancel=False)
        self._settle_key()
        done, self._on_done = self._on_done, None
        done(self)

    def _settle_key(self) -> None:
        key = self.machine.plan.key
        entry = self._node.ledger.get(key) if key is not None and self._owns_key else None
        if key is None or entry is None or entry.state is not KeyState.RUNNING:
            return
        ended = KeyState.UNKNOWN if self.machine.may_have_run else KeyState.NOT_RUN
        self._node.ledger.put(key, KeyEntry(ended, self._submission.digest))


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


class _UsageBody(msgspec.Struct):
    usage: _Usage | None = None
