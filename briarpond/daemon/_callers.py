"""HTTP interface for callers: models, plain services, entry addresses, health."""

import msgspec
from circuits.web.wrappers import Request

from briarpond.ids import AccountId, AttemptId
from briarpond.journal import Node, NodeStage
from briarpond.logs import log_warning
from briarpond.nodes import entry_list
from briarpond.requests import (
    Outcome,
    Refusal,
    RequestKind,
    RequestMachine,
    RequestSpec,
    request_digest,
)
from briarpond.routing import Candidate, PrefillEstimate, estimate_prefill

from ._attempts import AttemptTracker
from ._caller_admission import account_refusal, refusal_before_admission, with_keyed_outcome
from ._caller_messages import Health, ModelList, ModelRequest, ModelRow
from ._fleet_link import InstanceLink
from ._node import NodeContext
from ._pool import Pool
from ._refusals import NODE_HEADER, OUTCOME_HEADER, ErrorBody, ErrorDetail, send_refusal
from ._reply import Reply
from ._request_spec import build_spec, is_idempotent
from ._runner import ForwardedRequest, KeyOwnerLookup, RequestRunner
from ._taking import longest_answer_s, record_answer
from ._waiting import RequestQueues

_MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
_SERVICE_PREFIX = "/services/"


class CallerApi:
    """Answers requests of callers, or runs them at backend servers.

    Parameters
    ----------
    instance_link : InstanceLink
        Confirms groups for non-idempotent requests.
    query_key_owner : callable
        Asks another node what became of the request with an idempotency key.
    """

    def __init__(
        self, node: NodeContext, instance_link: InstanceLink, query_key_owner: KeyOwnerLookup
    ) -> None:
        self._node = node
        self._query_key_owner = query_key_owner
        self._instance_link = instance_link
        self._runners: set[RequestRunner] = set()
        self._queues = RequestQueues(node)

    @property
    def runners(self) -> set[RequestRunner]:
        """Requests in flight."""
        return self._runners

    def tick(self) -> None:
        """Enforce the deadlines of waiting and running requests."""
        self._queues.tick(self._node.clock.now())
        for runner in list(self._runners):
            runner.tick()

    def stop_all(self) -> None:
        """End every request in flight because the node stops."""
        for runner in list(self._runners):
            runner.stop()
            self._log_ended_by_stop(runner)

    def _log_ended_by_stop(self, runner: RequestRunner) -> None:
        machine = runner.machine
        assert machine.outcome is not None
        log_warning(
            "request_cut",
            reason="stopping",
            account=machine.spec.account,
            kind=machine.spec.kind.value,
            outcome=machine.outcome.value,
            attempts=machine.attempts,
            events=machine.events_sent,
            age_s=self._node.clock.now() - runner.started_at,
        )

    def handle(self, request: Request, reply: Reply) -> None:
        """Handle one request; only health and readiness need no account key."""
        path = request.path
        match request.method, path:
            case "GET", "/health":
                self._send_health(reply, 200)
                return
            case "GET", "/ready":
                self._send_health(reply, 200 if self._is_ready() else 503)
                return
        account = self._authenticate(request)
        if account is None:
            self._refuse_unauthenticated(reply)
            return
        if request.method == "GET" and path == "/v1/entries":
            self._send_entries(reply)
        elif request.method == "GET" and path.startswith("/v1/models"):
            self._send_models(path, reply)
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

    def _send_health(self, reply: Reply, status: int) -> None:
        node = self._node
        body = Health(
            node.id,
            node.drain.stage.value,
            node.tail.status.value,
            node.tail.state.config.version,
            node.has_log_contact(node.clock.now()),
        )
        self._send_json(reply, status, body)

    def _is_ready(self) -> bool:
        """Whether new callers should use this node: it has folded state and does not drain."""
        return self._node.tail.has_state and not self._node.drain.leaving

    def _send_entries(self, reply: Reply) -> None:
        """Send the addresses at which callers reach this and other nodes."""
        node = self._node
        now = node.clock.now()
        alive = node.peer_views.alive_peers(now, node.settings.timing.peer_dead_s)

        def takes_callers(other: Node) -> bool:
            if other.id == node.id:
                return not node.drain.leaving
            view = node.peer_views.get(other.id)
            if view is not None and view.incarnation == other.incarnation and view.leaving:
                return False
            return other.id in alive and other.stage is NodeStage.LIVE

        answer = entry_list(
            node.tail.state.nodes.values(),
            takes_callers,
            node.data_centre,
            node.settings.stop.entry_ttl_s,
            node.rng.shuffle,
        )
        headers = (
            ("Content-Type", "application/json"),
            ("Cache-Control", f"max-age={int(answer.keep_s)}"),
            (NODE_HEADER, node.id),
        )
        reply.send_whole(200, headers, msgspec.json.encode(answer))

    def _send_models(self, path: str, reply: Reply) -> None:
        """Send all models and adapters of the configuration, or the one that the path names."""
        names: set[str] = set()
        for deployment in self._node.document.deployments.values():
            names.add(deployment.model)
            names.update(f"{deployment.model}:{adapter}" for adapter in deployment.adapters)
        requested_model = path.removeprefix("/v1/models").strip("/")
        if not requested_model:
            self._send_json(reply, 200, ModelList([ModelRow(name) for name in sorted(names)]))
        elif requested_model in names:
            self._send_json(reply, 200, ModelRow(requested_model))
        else:
            self._refuse_input(
                reply, 404, "model_not_found", f"There is no model {requested_model}."
            )

    def _model_request(self, account: AccountId, request: Request, reply: Reply) -> None:
        body = request.body.read()
        try:
            parsed = msgspec.json.decode(body, type=ModelRequest)
        except (msgspec.MsgspecError, RecursionError) as exc:
            self._refuse_input(reply, 400, "invalid_body", f"The body is not accepted: {exc}.")
            return
        model, _, adapter = parsed.model.partition(":")
        if not self._has_model(model, adapter or None):
            message = f"There is no model {parsed.model}."
            self._refuse_input(reply, 404, "model_not_found", message)
            return
        idempotent = is_idempotent(request, None)
        timeout_s = self._node.document.policy.engine_timeout_s

        def candidates(now: float) -> list[Candidate]:
            return self._node.group_candidates(model, adapter or None, now)

        policy = self._node.document.policy
        prefill = estimate_prefill(parsed.model, parsed.prompt_texts(), policy.prefill_s_per_kb)
        pool = Pool(f"model/{parsed.model}", candidates, policy.engine_slots, prefill)
        kind = RequestKind.MODEL_STREAM if parsed.stream else RequestKind.MODEL_WHOLE
        request_spec = build_spec(self._node, account, request, kind, idempotent, timeout_s)
        self._start_request(
            request, request.path, body, reply, request_spec, pool, parsed.token_limit
        )

    def _service_request(self, account: AccountId, request: Request, reply: Reply) -> None:
        name, _, rest = request.path.removeprefix(_SERVICE_PREFIX).partition("/")
        service = self._node.document.services.get(name)
        if service is None:
            self._refuse_input(reply, 404, "service_not_found", f"There is no service {name}.")
            return
        target = f"/{rest}" + (f"?{request.qs}" if request.qs else "")
        idempotent = is_idempotent(request, service)

        def candidates(now: float) -> list[Candidate]:
            return self._node.server_candidates(name, now)

        pool = Pool(
            f"service/{name}",
            candidates,
            self._node.document.policy.server_slots,
            PrefillEstimate(),
        )
        request_spec = build_spec(
            self._node, account, request, RequestKind.SERVICE, idempotent, service.timeout_s
        )
        self._start_request(request, target, request.body.read(), reply, request_spec, pool, 0)

    def _start_request(
        self,
        request: Request,
        target: str,
        body: bytes,
        reply: Reply,
        request_spec: RequestSpec | Refusal,
        pool: Pool,
        reserved_tokens: int,
    ) -> None:
        """Start the request, queue it, or refuse it.

        Parameters
        ----------
        target : str
            Request target at the backend server.
        request_spec : RequestSpec or Refusal
            A refusal is sent as it is.
        reserved_tokens : int
            Tokens charged to the account until the request ends; unused ones are
            then given back.
        """
        node = self._node
        if isinstance(request_spec, Refusal):
            send_refusal(node, reply, request_spec)
            return
        longest_s = longest_answer_s(node, request_spec, pool.name, reserved_tokens)
        refusal = refusal_before_admission(node, request_spec, longest_s)
        if refusal is not None:
            send_refusal(node, reply, with_keyed_outcome(refusal, request_spec))
            return
        digest = request_digest(request_spec.account, request.method, target, body)
        account = node.document.accounts[request_spec.account]
        denied = account_refusal(node, request_spec.account, account, reserved_tokens)
        if denied is not None:
            send_refusal(node, reply, with_keyed_outcome(denied, request_spec))
            return
        headers = tuple(
            (name, request.headers[name])
            for name in ("Content-Type", "Accept")
            if name in request.headers
        )
        forwarded = ForwardedRequest(
            request.method, target, headers, body, account.priority, digest
        )

        attempts = AttemptTracker(node.router, pool)
        machine = RequestMachine(
            request_spec,
            attempts.choose,
            node.retry_budget,
            lambda: AttemptId(f"{node.id}-{node.new_id()}"),
        )

        def on_done(runner: RequestRunner) -> None:
            self._on_request_done(runner, pool, reserved_tokens)

        runner = RequestRunner(
            node,
            self._instance_link,
            machine,
            forwarded,
            reply,
            attempts,
            self._query_key_owner,
            on_done,
        )
        self._runners.add(runner)
        node.in_flight += 1
        node.metrics.in_flight.set({}, node.in_flight)
        now = node.clock.now()
        self._queues.start_or_queue(
            runner, attempts, pool.name, account.weight, 1.0 + reserved_tokens, longest_s, now
        )

    def _on_request_done(self, runner: RequestRunner, pool: Pool, reserved_tokens: int) -> None:
        """Release what the request held, count it, and start waiting requests of its pool."""
        node = self._node
        request_spec = runner.machine.spec
        now = node.clock.now()
        self._runners.discard(runner)
        node.in_flight -= 1
        node.metrics.in_flight.set({}, node.in_flight)
        record_answer(node, runner, pool.name, now)
        # Without usage data, each stream event counts as one token.
        used = runner.tokens_used if runner.tokens_used is not None else runner.machine.events_sent
        node.account_limiter.release(request_spec.account, max(0, reserved_tokens - used))
        outcome = runner.machine.outcome
        assert outcome is not None
        node.metrics.requests.inc({"kind": request_spec.kind.value, "outcome": outcome.value})
        node.metrics.duration.observe({"kind": request_spec.kind.value}, now - runner.started_at)
        if runner.machine.first_byte_at is not None:
            first_byte_s = runner.machine.first_byte_at - runner.started_at
            node.metrics.first_byte.observe({"kind": request_spec.kind.value}, first_byte_s)
        # On the next turn of the loop, so that this request is finished completely
        # before another one starts.
        node.clock.after(0.0, lambda: self._queues.start_waiting(pool.name, node.clock.now()))

    def _has_model(self, model: str, adapter: str | None) -> bool:
        """Whether the configuration in force has a deployment of the model and adapter."""
        return any(
            deployment.model == model and (adapter is None or adapter in deployment.adapters)
            for deployment in self._node.document.deployments.values()
        )

    def _refuse_unauthenticated(self, reply: Reply) -> None:
        self._refuse_input(reply, 401, "invalid_api_key", "Give the key of a client account.")

    def _refuse_input(self, reply: Reply, status: int, code: str, message: str) -> None:
        detail = ErrorDetail(message, "invalid_request_error", None, code)
        body = ErrorBody(detail, Outcome.NOT_RUN.value, self._node.id)
        headers = (
            ("Content-Type", "application/json"),
            (OUTCOME_HEADER, Outcome.NOT_RUN.value),
            (NODE_HEADER, self._node.id),
        )
        reply.send_whole(status, headers, msgspec.json.encode(body))

    def _send_json(self, reply: Reply, status: int, body: msgspec.Struct) -> None:
        headers = (("Content-Type", "application/json"), (NODE_HEADER, self._node.id))
        reply.send_whole(status, headers, msgspec.json.encode(body))
