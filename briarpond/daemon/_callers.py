"""Paths for callers: models, plain services, entry addresses, health."""

import re
from typing import Any

import msgspec
from circuits.web.wrappers import Request

from briarpond.admission import Denied
from briarpond.configuration import AccountConfig, ServiceConfig
from briarpond.ids import AccountId, AttemptId, RequestKey
from briarpond.journal import Node, NodeStage
from briarpond.nodes import entry_list
from briarpond.requests import (
    Outcome,
    Refusal,
    RefusalCode,
    RequestKind,
    RequestMachine,
    RequestPlan,
    key_digest,
)
from briarpond.routing import Candidate, Hint, hint_of

from ._attempts import Attempts
from ._fleet_link import FleetLink
from ._inbound import Reply
from ._node import NodeContext
from ._pool import Pool
from ._refusals import NODE_HEADER, OUTCOME_HEADER, ErrorBody, ErrorDetail, refuse
from ._runner import AskKey, Runner, Submission
from ._waiting import WaitingRoom

DEADLINE_HEADER = "Briarpond-Deadline-Ms"
IDEMPOTENT_HEADER = "Briarpond-Idempotent"
KEY_HEADER = "Idempotency-Key"
MAX_DEADLINE_S = 600.0
DEFAULT_MAX_TOKENS = 512
_KEY_PATTERN = re.compile(r"^[\x21-\x7e]{1,255}$")
_MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
_SERVICE_PREFIX = "/services/"


class _Message(msgspec.Struct):
    content: Any = None


class ModelRequest(msgspec.Struct):
    """The fields of a model request that decide how it is handled."""

    model: str
    messages: list[_Message] = []
    prompt: Any = None
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def token_bound(self) -> int:
        """Tokens that the request may generate at most."""
        bound = self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        return max(1, bound)

    def texts(self) -> list[str]:
        """Return the texts of the prompt, a text for each message."""
        contents = [message.content for message in self.messages] or [self.prompt]
        return [text if isinstance(text, str) else repr(text) for text in contents]


class ModelRow(msgspec.Struct):
    """One model in the list of models."""

    id: str
    created: int = 0
    object: str = "model"
    owned_by: str = "briarpond"


class ModelList(msgspec.Struct):
    """Answer to ``GET /v1/models``."""

    data: list[ModelRow]
    object: str = "list"


class Health(msgspec.Struct):
    """Answer to ``GET /health`` and ``GET /ready``."""

    node: str
    stage: str
    log: str
    config_version: int
    in_contact: bool


class CallerDesk:
    """Takes requests of callers and answers or runs them."""

    def __init__(self, node: NodeContext, fleet: FleetLink, ask_key: AskKey) -> None:
        self._node = node
        self._ask_key = ask_key
        self._fleet = fleet
        self._runners: set[Runner] = set()
        self._waiting = WaitingRoom(node)

    @property
    def runners(self) -> set[Runner]:
        """Requests in flight."""
        return self._runners

    def tick(self) -> None:
        """Let every request in flight enforce its times."""
        self._waiting.tick(self._node.clock.now())
        for runner in list(self._runners):
            runner.tick()

    def stop_all(self) -> None:
        """End every request in flight with its true outcome."""
        for runner in list(self._runners):
            runner.stop()

    def handle(self, request: Request, reply: Reply) -> None:
        """Handle one request."""
        path = request.path
        match request.method, path:
            case "GET", "/health":
                self._health(reply, 200)
                return
            case "GET", "/ready":
                self._health(reply, 200 if self._ready() else 503)
                return
        account = self._authenticate(request)
        if account is None:
            self._refuse_auth(reply)
            return
        if request.method == "GET" and path == "/v1/entries":
            self._entries(reply)
        elif request.method == "GET" and path.startswith("/v1/models"):
            self._models(path, reply)
        elif request.method == "POST" and path in _MODEL_PATHS:
            self._model_request(account, request, reply)
        elif path.startswith(_SERVICE_PREFIX):
            self._service_request(account, request, reply)
        else:
            self._refuse_input(reply, 404, "not_found", f"There is no {request.method} {path}.")

    def _authenticate(self, request: Request) -> AccountId | None:
        header = request.headers.get("Authorization", "")
        scheme, _, key = header.partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        return self._node.accounts.find(key.strip())

    def _health(self, reply: Reply, status: int) -> None:
        node = self._node
        body = Health(
            node.id,
            node.drain.stage.value,
            node.tail.status.value,
            node.tail.state.config.version,
            node.in_contact(node.clock.now()),
        )
        self._json(reply, status, body)

    def _ready(self) -> bool:
        return self._node.tail.usable and not self._node.drain.leaving

    def _entries(self, reply: Reply) -> None:
        node = self._node
        now = node.clock.now()
        alive = node.peers.alive(now, node.settings.timing.peer_dead_s)

        def usable(other: Node) -> bool:
            if other.id == node.id:
                return not node.drain.leaving
            view = node.peers.get(other.id)
            if view is not None and view.incarnation == other.incarnation and view.leaving:
                return False
            return other.id in alive and other.stage is NodeStage.LIVE

        answer = entry_list(
            node.tail.state.nodes.values(),
            usable,
            node.data_centre,
            node.settings.stop.entry_ttl_s,
            node.rng.shuffle,
        )
        headers = (
            ("Content-Type", "application/json"),
            ("Cache-Control", f"max-age={int(answer.keep_s)}"),
            (NODE_HEADER, node.id),
        )
        reply.whole(200, headers, msgspec.json.encode(answer))

    def _models(self, path: str, reply: Reply) -> None:
        names: set[str] = set()
        for deployment in self._node.document.deployments.values():
            names.add(deployment.model)
            names.update(f"{deployment.model}:{adapter}" for adapter in deployment.adapters)
        wanted = path.removeprefix("/v1/models").strip("/")
        if not wanted:
            self._json(reply, 200, ModelList([ModelRow(name) for name in sorted(names)]))
        elif wanted in names:
            self._json(reply, 200, ModelRow(wanted))
        else:
            self._refuse_input(reply, 404, "model_not_found", f"There is no model {wanted}.")

    def _model_request(self, account: AccountId, request: Request, reply: Reply) -> None:
        body = request.body.read()
        try:
            parsed = msgspec.json.decode(body, type=ModelRequest)
        except (msgspec.MsgspecError, RecursionError) as exc:
            self._refuse_input(reply, 400, "invalid_body", f"The body is not accepted: {exc}.")
            return
        model, _, adapter = parsed.model.partition(":")
        if not self._serves(model, adapter or None):
            message = f"There is no model {parsed.model}."
            self._refuse_input(reply, 404, "model_not_found", message)
            return
        idempotent = self._marked_idempotent(request, None)
        timeout_s = self._node.document.policy.engine_timeout_s

        def candidates(now: float) -> list[Candidate]:
            return self._node.group_candidates(model, adapter or None, now)

        policy = self._node.document.policy
        hint = hint_of(parsed.model, parsed.texts(), policy.prefill_s_per_kb)
        pool = Pool(f"model/{parsed.model}", candidates, policy.engine_slots, hint)
        kind = RequestKind.MODEL_STREAM if parsed.stream else RequestKind.MODEL_WHOLE
        plan = self._plan(account, request, kind, idempotent, timeout_s)
        self._submit(request, request.path, body, reply, plan, pool, parsed.token_bound)

    def _service_request(self, account: AccountId, request: Request, reply: Reply) -> None:
        name, _, rest = request.path.removeprefix(_SERVICE_PREFIX).partition("/")
        service = self._node.document.services.get(name)
        if service is None:
            self._refuse_input(reply, 404, "service_not_found", f"There is no service {name}.")
            return
        target = f"/{rest}" + (f"?{request.qs}" if request.qs else "")
        idempotent = self._marked_idempotent(request, service)

        def candidates(now: float) -> list[Candidate]:
            return self._node.server_candidates(name, now)

        pool = Pool(f"service/{name}", candidates, self._node.document.policy.server_slots, Hint())
        plan = self._plan(account, request, RequestKind.SERVICE, idempotent, service.timeout_s)
        self._submit(request, target, request.body.read(), reply, plan, pool, 0)

    def _plan(
        self,
        account: AccountId,
        request: Request,
        kind: RequestKind,
        idempotent: bool,
        silence_s: float,
    ) -> RequestPlan | Refusal:
        key = request.headers.get(KEY_HEADER)
        if key is not None and not _KEY_PATTERN.match(key):
            return _bad_input("Idempotency-Key must be 1 to 255 visible ASCII characters.")
        wanted = request.headers.get(DEADLINE_HEADER, "")
        if wanted and not (wanted.isascii() and wanted.isdigit()):
            return _bad_input(f"{DEADLINE_HEADER} must be a whole number of milliseconds.")
        limit_s = min(MAX_DEADLINE_S, int(wanted) / 1000.0) if wanted else MAX_DEADLINE_S
        return RequestPlan(
            account,
            kind,
            idempotent and key is None,
            self._node.clock.now() + limit_s,
            silence_s,
            RequestKey(f"{account}/{key}") if key is not None else None,
            whole_answer_bytes=self._node.settings.limits.whole_answer_bytes,
        )

    def _submit(
        self,
        request: Request,
        target: str,
        body: bytes,
        reply: Reply,
        plan: RequestPlan | Refusal,
        pool: Pool,
        tokens: int,
    ) -> None:
        node = self._node
        if isinstance(plan, Refusal):
            refuse(node, reply, plan)
            return
        refusal = self._refusal_at_door(plan)
        if refusal is not None:
            refuse(node, reply, _for_key(refusal, plan))
            return
        digest = key_digest(plan.account, request.method, target, body)
        account = node.document.accounts[plan.account]
        denied = self._admit(plan.account, account, tokens)
        if denied is not None:
            refuse(node, reply, _for_key(denied, plan))
            return
        headers = tuple(
            (name, request.headers[name])
            for name in ("Content-Type", "Accept")
            if name in request.headers
        )
        submission = Submission(request.method, target, headers, body, account.priority, digest)

        attempts = Attempts(node.router, pool)
        machine = RequestMachine(
            plan, attempts.choose, node.budget, lambda: AttemptId(f"{node.id}-{node.new_id()}")
        )

        def done(runner: Runner) -> None:
            self._done(runner, pool, tokens)

        runner = Runner(
            node, self._fleet, machine, submission, reply, attempts, self._ask_key, done
        )
        self._runners.add(runner)
        node.in_flight += 1
        node.metrics.in_flight.set({}, node.in_flight)
        now = node.clock.now()
        self._waiting.admit(runner, attempts, pool.name, account.weight, 1.0 + tokens, now)

    def _done(self, runner: Runner, pool: Pool, tokens: int) -> None:
        node = self._node
        plan = runner.machine.plan
        now = node.clock.now()
        self._runners.discard(runner)
        node.in_flight -= 1
        node.metrics.in_flight.set({}, node.in_flight)
        used = runner.tokens_used if runner.tokens_used is not None else runner.machine.events_sent
        node.limiter.finish(plan.account, max(0, tokens - used))
        outcome = runner.machine.outcome
        assert outcome is not None
        node.metrics.requests.inc({"kind": plan.kind.value, "outcome": outcome.value})
        node.metrics.duration.observe({"kind": plan.kind.value}, now - runner.started_at)
        if runner.machine.first_byte_at is not None:
            waited = runner.machine.first_byte_at - runner.started_at
            node.metrics.first_byte.observe({"kind": plan.kind.value}, waited)
        # Not from within the end of another request: that one must finish first.
        node.clock.after(0.0, lambda: self._waiting.serve(pool.name, node.clock.now()))

    def _refusal_at_door(self, plan: RequestPlan) -> Refusal | None:
        node = self._node
        if not node.drain.accepts:
            return Refusal(
                RefusalCode.DRAINING, Outcome.NOT_RUN, 503, "This node is stopping.", 1.0
            )
        if not plan.idempotent and not node.in_contact(node.clock.now()):
            message = "This node has lost contact with the platform's log and its peers."
            return Refusal(RefusalCode.LOG_UNAVAILABLE, Outcome.NOT_RUN, 503, message, 2.0)
        return None

    def _admit(self, account: AccountId, config: AccountConfig, tokens: int) -> Refusal | None:
        node = self._node
        now = node.clock.now()
        share = node.account_share(account, now)
        answer = node.limiter.admit(account, config, share, tokens, now)
        if not isinstance(answer, Denied):
            return None
        message = f"Client account {account} is over its limit {answer.reason}."
        return Refusal(
            RefusalCode.RATE_LIMITED, Outcome.NOT_RUN, 429, message, answer.retry_after_s
        )

    def _serves(self, model: str, adapter: str | None) -> bool:
        return any(
            deployment.model == model and (adapter is None or adapter in deployment.adapters)
            for deployment in self._node.document.deployments.values()
        )

    def _marked_idempotent(self, request: Request, service: ServiceConfig | None) -> bool:
        """Whether a repeat is harmless: a mark of either side that it is not wins."""
        marked = request.headers.get(IDEMPOTENT_HEADER, "").lower()
        if marked == "false":
            return False
        if service is None:
            return True
        configured = service.idempotent.get(request.method)
        if configured is not None:
            return configured
        return request.method in _SAFE_METHODS or marked == "true"

    def _refuse_auth(self, reply: Reply) -> None:
        self._refuse_input(reply, 401, "invalid_api_key", "Give the key of a client account.")

    def _refuse_input(self, reply: Reply, status: int, code: str, message: str) -> None:
        detail = ErrorDetail(message, "invalid_request_error", None, code)
        body = ErrorBody(detail, Outcome.NOT_RUN.value, self._node.id)
        headers = (
            ("Content-Type", "application/json"),
            (OUTCOME_HEADER, Outcome.NOT_RUN.value),
            (NODE_HEADER, self._node.id),
        )
        reply.whole(status, headers, msgspec.json.encode(body))

    def _json(self, reply: Reply, status: int, body: msgspec.Struct) -> None:
        headers = (("Content-Type", "application/json"), (NODE_HEADER, self._node.id))
        reply.whole(status, headers, msgspec.json.encode(body))


def _for_key(refusal: Refusal, plan: RequestPlan) -> Refusal:
    """Return what can truly be said of a request with a key that was refused unseen.

    Another node may have run the request with the same key.
    """
    if plan.key is None:
        return refusal
    return msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)


def _bad_input(message: str) -> Refusal:
    return Refusal(RefusalCode.INVALID_REQUEST, Outcome.NOT_RUN, 400, message)
