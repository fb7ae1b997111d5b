"""Applies the effects of one request's state machine to real connections.

`RequestMachine` decides; the runner sends requests to backend servers, writes the
answer to the caller and passes every result back to the machine as an event.
Results that need no input or output are delivered on the next turn of the loop, so
that the machine gets no event while its effects are still being applied.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from briarpond.decoding import decode_json
from briarpond.ids import AttemptId, Incarnation, NodeId, RequestKey
from briarpond.journal import KeyClaim, RecordOutcome
from briarpond.net import Exchange, Headers, HttpCall
from briarpond.ports import (
    ATTEMPT_ID_HEADER,
    GENERATION_HEADER,
    NOT_RUN_HEADER,
    PRIORITY_HEADER,
    RESUME_TOKENS_HEADER,
)
from briarpond.requests import (
    AskKeyOwner,
    CancelAttempt,
    ClaimKey,
    ClaimResult,
    ConfirmGroup,
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

from ._attempts import AttemptTracker
from ._fleet_link import InstanceLink
from ._node import NodeContext, parse_address
from ._refusals import NODE_HEADER, OUTCOME_HEADER, error_body, send_refusal
from ._reply import Reply

# How long a request waits for the log's verdict on its claim of an idempotency key.
CLAIM_TIMEOUT_S = 3.0
# Response headers of a backend server that are passed on to the caller.
_FORWARDED_RESPONSE_HEADERS = frozenset(
    {"content-type", "cache-control", "content-disposition", "location"}
)

# Asks the node that owns an idempotency key; the callback gets None if it cannot answer.
KeyOwnerLookup = Callable[
    [NodeId, Incarnation, RequestKey, Callable[[KeyEntry | None], None]], None
]


class ForwardedRequest(msgspec.Struct):
    """A caller's request in the form in which it is sent to a backend server.

    Attributes
    ----------
    target : str
        Request target at the backend server: path and query string.
    headers : tuple
        Headers of the caller that are passed on.
    priority : int
        Priority of the client account, sent to the backend server as a header.
    digest : str
        Digest of account, method, target and body; shows whether an idempotency
        key is used again for a different request.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    priority: int
    digest: str


class RequestRunner:
    """Runs one request: connects its state machine to the caller and the attempts.

    Parameters
    ----------
    instance_link : InstanceLink
        Confirms groups before a non-idempotent request is sent.
    machine : RequestMachine
        Decides what happens next; the runner only applies its effects.
    request : ForwardedRequest
        What each attempt sends.
    reply : Reply
        Answer to the caller.
    attempt_tracker : AttemptTracker
        Reports the start, first byte and end of each attempt to the router.
    query_key_owner : callable
        Asks another node what became of the request with an idempotency key.
    on_done : callable
        Called once with this runner when the request has its outcome.

    Attributes
    ----------
    started_at : float
        Time of the node's clock at which the request arrived, seconds.
    tokens_used : int or None
        Generated tokens by the usage part of a whole model answer; None if the
        answer does not give it.
    """

    def __init__(
        self,
        node: NodeContext,
        instance_link: InstanceLink,
        machine: RequestMachine,
        request: ForwardedRequest,
        reply: Reply,
        attempt_tracker: AttemptTracker,
        query_key_owner: KeyOwnerLookup,
        on_done: Callable[["RequestRunner"], None],
    ) -> None:
        self.machine = machine
        self.started_at = node.clock.now()
        self.tokens_used: int | None = None
        self._node = node
        self._instance_link = instance_link
        self._request = request
        self._reply = reply
        self._attempt_tracker = attempt_tracker
        self._query_key_owner = query_key_owner
        self._on_done = on_done
        self._owns_key = False
        self._exchange: Exchange | None = None
        self._reading_paused = False
        self._reply_head: ReplyHead | None = None
        self._whole_body = b""
        reply.on_disconnect = self._on_caller_gone
        reply.on_flushed = self._on_flushed

    def start(self) -> None:
        """Start the request, unless it has ended while it waited in the queue."""
        if self.machine.done:
            return
        self.apply_effects(self.machine.start(self._now()))

    def tick(self) -> None:
        """Let the machine enforce the deadline and the longest time without a byte."""
        self.apply_effects(self.machine.on_tick(self._now()))

    def refuse_unstarted(
        self, code: RefusalCode, status: int, message: str, retry_after_s: float
    ) -> None:
        """End a request that was not started, with a refusal.

        Parameters
        ----------
        status : int
            HTTP status of the refusal.
        retry_after_s : float
            Seconds after which the caller may try again.
        """
        self.apply_effects(self.machine.on_not_admitted(code, status, message, retry_after_s))

    def stop(self) -> None:
        """End the request now because the node stops.

        The caller gets the outcome "unknown" if an attempt may have run.
        """
        self.apply_effects(self.machine.on_stop(self._now()))

    def apply_effects(self, effects: list[Effect]) -> None:
        """Apply effects in order; finish if the request has its outcome."""
        for effect in effects:
            match effect:
                case ReplyData(data=data):
                    self._send_body(data)
                case Dispatch():
                    self._dispatch(effect)
                case CancelAttempt():
                    self._end_exchange(cancel=True)
                case ConfirmGroup():
                    self._confirm(effect)
                case ClaimKey():
                    self._submit_claim(effect)
                case AskKeyOwner():
                    self._query_owner(effect)
                case ReplyHead():
                    self._send_head(effect)
                case ReplyEnd():
                    self._send_end()
                case ReplyRefusal():
                    self._send_refusal(effect)
        if self.machine.done and self._on_done is not None:
            self._finish()

    def _now(self) -> float:
        return self._node.clock.now()

    def _submit_claim(self, effect: ClaimKey) -> None:
        node = self._node
        key = effect.key
        result = self._known_claim_result(key)
        if result is not None:
            node.clock.after(0.0, lambda: self._on_claim_result(result))
            return
        record = KeyClaim(
            node.new_record_id("claim"),
            key,
            self.machine.spec.account,
            node.id,
            node.incarnation,
            self._request.digest,
        )
        # Recorded before the claim is settled, so that a second request with the key
        # that reaches this node meanwhile waits for this one.
        self._mark_key_running(key)

        def on_settled(result: RecordOutcome) -> None:
            self._on_claim_result(self._folded_claim_result(key))

        if not node.submit(record, CLAIM_TIMEOUT_S, on_settled):
            node.clock.after(0.0, lambda: self._on_claim_result(ClaimResult.UNAVAILABLE))

    def _known_claim_result(self, key: RequestKey) -> ClaimResult | None:
        """Return the result by the key table and the folded state, None if a claim is needed.

        After a request that certainly did not run, the key is free to run again on
        this node if this incarnation holds the folded claim.
        """
        node = self._node
        entry = node.key_table.get(key)
        claim = node.tail.state.claims.get(key)
        known_digest = (
            entry.digest if entry is not None else claim.digest if claim is not None else None
        )
        if known_digest is None:
            return None
        if known_digest != self._request.digest:
            return ClaimResult.REUSED
        if entry is not None and entry.state is KeyState.NOT_RUN:
            if claim is not None and claim.incarnation == node.incarnation:
                self._mark_key_running(key)
                return ClaimResult.WON
            return None if claim is None else ClaimResult.TAKEN
        return ClaimResult.TAKEN

    def _folded_claim_result(self, key: RequestKey) -> ClaimResult:
        """Return the result of a submitted claim, from the folded state."""
        node = self._node
        claim = node.tail.state.claims.get(key)
        if claim is None:
            return ClaimResult.UNAVAILABLE
        if claim.incarnation == node.incarnation:
            return ClaimResult.WON
        node.key_table.remove(key)
        self._owns_key = False
        same_request = claim.digest == self._request.digest
        return ClaimResult.TAKEN if same_request else ClaimResult.REUSED

    def _mark_key_running(self, key: RequestKey) -> None:
        self._owns_key = True
        self._node.key_table.put(key, KeyEntry(KeyState.RUNNING, self._request.digest))

    def _query_owner(self, effect: AskKeyOwner) -> None:
        """Look up what became of a key's request: in this node's key table, or at its owner."""
        node = self._node

        def on_entry(entry: KeyEntry | None) -> None:
            self.apply_effects(self.machine.on_owner_answer(entry, self._now()))

        def query() -> None:
            if self.machine.done:
                return
            entry = node.key_table.get(effect.key)
            claim = node.tail.state.claims.get(effect.key)
            if entry is not None:
                on_entry(entry)
            elif claim is None or claim.incarnation == node.incarnation:
                on_entry(None)
            else:
                self._query_key_owner(claim.node, claim.incarnation, effect.key, on_entry)

        node.clock.after(effect.delay_s, query)

    def _on_claim_result(self, result: ClaimResult) -> None:
        self.apply_effects(self.machine.on_claim_result(result, self._now()))

    def _confirm(self, effect: ConfirmGroup) -> None:
        def on_result(ready: bool) -> None:
            self.apply_effects(self.machine.on_confirmed(effect.attempt, ready, self._now()))

        self._instance_link.confirm(effect.target, on_result)

    def _dispatch(self, effect: Dispatch) -> None:
        node = self._node
        self._end_exchange(cancel=False)
        address = parse_address(effect.target.address)
        if address is None:
            node.clock.after(0.0, lambda: self._on_lost(effect.attempt, LossReason.CONNECT_FAILED))
            return
        attempt = effect.attempt
        kind = "first" if self.machine.attempts == 1 else "retry"
        node.metrics.attempts.inc({"kind": kind})
        self._attempt_tracker.record_start(effect.target, self._now())
        request = self._request
        call = HttpCall(
            address,
            request.method,
            request.target,
            (*request.headers, *self._attempt_headers(effect)),
            request.body,
            lambda status, headers: self._on_head(attempt, status, headers),
            lambda data: self._on_body(attempt, data),
            lambda: self._on_end(attempt),
            lambda reason: self._on_lost(attempt, reason),
            lambda: self.machine.on_sent(attempt, self._now()),
            reuse_idle=self.machine.spec.idempotent,
            connect_timeout_s=node.settings.timing.connect_s,
        )
        self._exchange = node.client.start(call)

    def _attempt_headers(self, effect: Dispatch) -> Headers:
        headers: Headers = (
            (ATTEMPT_ID_HEADER, effect.attempt),
            (PRIORITY_HEADER, str(self._request.priority)),
        )
        if effect.target.generation:
            headers += ((GENERATION_HEADER, str(effect.target.generation)),)
        if effect.resume_after_events:
            headers += ((RESUME_TOKENS_HEADER, str(effect.resume_after_events)),)
        return headers

    def _on_head(self, attempt: AttemptId, status: int, headers: Headers) -> None:
        not_run = any(name == NOT_RUN_HEADER for name, _ in headers)
        forwarded = tuple(
            (name, value) for name, value in headers if name in _FORWARDED_RESPONSE_HEADERS
        )
        self.apply_effects(self.machine.on_head(attempt, status, forwarded, not_run, self._now()))

    def _on_body(self, attempt: AttemptId, data: bytes) -> None:
        now = self._now()
        # A whole model answer comes after its last token, so the time to its first byte
        # does not show how long the request waited at the backend server.
        if self.machine.spec.kind is not RequestKind.MODEL_WHOLE:
            self._attempt_tracker.record_first_byte(now)
        self.apply_effects(self.machine.on_body(attempt, data, now))

    def _on_end(self, attempt: AttemptId) -> None:
        self._end_exchange(cancel=False)
        self.apply_effects(self.machine.on_end(attempt, self._now()))

    def _on_lost(self, attempt: AttemptId, reason: LossReason) -> None:
        self._end_exchange(cancel=False)
        self.apply_effects(self.machine.on_lost(attempt, reason, self._now()))

    def _on_caller_gone(self) -> None:
        self.apply_effects(self.machine.on_caller_gone(self._now()))

    def _end_exchange(self, cancel: bool) -> None:
        """Drop the exchange of the current attempt; `cancel` also closes its connection."""
        if cancel and self._exchange is not None:
            self._exchange.cancel()
        self._exchange = None
        self._reading_paused = False
        self._attempt_tracker.record_end(self._now())

    def _send_head(self, effect: ReplyHead) -> None:
        """Send the head of a streamed answer; any other head waits for the length of its body."""
        self._reply_head = effect
        if effect.streamed:
            self._reply.start(
                effect.status, (*effect.headers, *self._outcome_headers(effect.outcome))
            )

    def _send_body(self, data: bytes) -> None:
        """Send or keep a part of the body; stop reading while too much of it is buffered."""
        assert self._reply_head is not None
        if not self._reply_head.streamed:
            self._whole_body = data
            return
        self._reply.write(data)
        limit = self._node.settings.limits.write_buffer_bytes
        if not self._reading_paused and self._exchange is not None and self._reply.buffered > limit:
            self._reading_paused = True
            self._exchange.pause()

    def _on_flushed(self) -> None:
        if self._reading_paused and self._exchange is not None:
            self._reading_paused = False
            self._exchange.resume()

    def _send_end(self) -> None:
        head = self._reply_head
        assert head is not None
        if head.streamed:
            self._reply.end()
            return
        headers = (*head.headers, *self._outcome_headers(head.outcome))
        self._record_usage(head)
        self._store_answer(head)
        self._reply.send_whole(head.status, headers, self._whole_body)

    def _record_usage(self, head: ReplyHead) -> None:
        """Read the usage part of a whole model answer.

        It gives the number of generated tokens and shows whether any of the prompt
        was cached at the backend server.
        """
        if self.machine.spec.kind is not RequestKind.MODEL_WHOLE or head.status != 200:
            return
        usage = parse_usage(self._whole_body)
        if usage is None:
            return
        self.tokens_used = usage.completion_tokens
        details = usage.prompt_tokens_details
        if details is not None and details.cached_tokens == 0:
            self._attempt_tracker.record_prefix_miss()

    def _store_answer(self, head: ReplyHead) -> None:
        """Keep the answer of a request with an idempotency key for repeats with the key."""
        key = self.machine.spec.key
        if key is None or not self._owns_key:
            return
        content_type = dict(head.headers).get("content-type", "application/json")
        entry = KeyEntry(
            KeyState.ANSWERED, self._request.digest, head.status, content_type, self._whole_body
        )
        self._node.key_table.put(key, entry)

    def _send_refusal(self, effect: ReplyRefusal) -> None:
        """Send a refusal as the answer, or as the last event of a stream that has begun."""
        refusal = effect.refusal
        self._node.metrics.refusals.inc({"code": refusal.code.value})
        if not effect.in_stream:
            send_refusal(self._node, self._reply, refusal)
            return
        body = msgspec.json.encode(error_body(refusal, self._node.id))
        self._reply.write(b"data: " + body + b"\n\n")
        self._reply.end()

    def _outcome_headers(self, outcome: Outcome) -> Headers:
        return ((OUTCOME_HEADER, outcome.value), (NODE_HEADER, self._node.id))

    def _finish(self) -> None:
        self._end_exchange(cancel=False)
        # Request and exchange refer to each other, and cyclic garbage may stay for long.
        self._request.body = b""
        self._record_key_end()
        notify, self._on_done = self._on_done, None
        notify(self)

    def _record_key_end(self) -> None:
        """Replace the "running" entry of a key whose request ended without a stored answer."""
        key = self.machine.spec.key
        entry = self._node.key_table.get(key) if key is not None and self._owns_key else None
        if key is None or entry is None or entry.state is not KeyState.RUNNING:
            return
        final_state = KeyState.UNKNOWN if self.machine.may_have_run else KeyState.NOT_RUN
        self._node.key_table.put(key, KeyEntry(final_state, self._request.digest))


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


class _UsageBody(msgspec.Struct):
    """The part of a model answer that the node reads."""

    usage: _Usage | None = None


_usage_decoder: Any = msgspec.json.Decoder(_UsageBody)


def parse_usage(body: bytes) -> _Usage | None:
    """Return the usage part of a model answer; None if there is none that can be read."""
    decoded = decode_json(_usage_decoder, body)
    return decoded.ok.usage if decoded.is_ok() else None
