"""HTTP interface for operators: configuration, groups, nodes, audit trail, drain, metrics."""

import hashlib
import hmac
from collections.abc import Callable
from typing import Any

import msgspec
from circuits.web.wrappers import Request

from briarpond.audit import AuditLine, accepted_patches_since, audit_lines
from briarpond.ids import OperatorName
from briarpond.journal import GroupPhase, OperatorAction, PatchSubmit, RecordOutcome
from briarpond.logs import log_event
from briarpond.net import parse_count

from ._node import NodeContext
from ._reply import Reply

# How long an operator waits for the log's verdict on a patch.
PATCH_TIMEOUT_S = 8.0
DEFAULT_AUDIT_LINES = 50
MAX_AUDIT_LINES = 2048


class PatchRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /operator/patches``.

    Attributes
    ----------
    base_version : int
        Configuration version that the patch was made for.
    patch : Any
        JSON merge patch by RFC 7396.
    """

    base_version: int
    patch: Any


class ChangeRow(msgspec.Struct):
    """A change made after the base version of a refused patch.

    Attributes
    ----------
    version : int
        Configuration version that the change led to.
    paths : str
        Paths in the document that it changed.
    """

    version: int
    actor: str
    paths: str


class PatchAnswer(msgspec.Struct):
    """Verdict on a patch.

    Attributes
    ----------
    verdict : str
        Value of a `VerdictCode`; without a verdict in time ``unknown``, or
        ``not-submitted`` if the patch certainly did not reach the log.
    version : int
        Configuration version after the patch, or in force if there is no verdict.
    detail : str
        Reason of the verdict, empty if the patch was accepted.
    record : str
        Id of the patch's record on the log.
    changes : list of ChangeRow
        Changes since the base version; empty if the patch was accepted.
    """

    verdict: str
    version: int
    detail: str
    record: str
    changes: list[ChangeRow] = []


class ConfigurationAnswer(msgspec.Struct):
    """The configuration in force on this node."""

    version: int
    document: Any


class MemberRow(msgspec.Struct):
    """One member of a group."""

    instance: str
    address: str
    incarnation: str


class GroupRow(msgspec.Struct):
    """One group as this node sees it.

    Attributes
    ----------
    domain : str
        Fabric domain that holds all members.
    generation : int
        Fencing token of the group.
    phase : str
        Value of a `GroupPhase`.
    ready : bool
        Whether the group is formed and all its members were recently seen ready, by this
        node's probes or its peers' views.
    version : str
        Version of the model.
    """

    group: str
    deployment: str
    data_centre: str
    domain: str
    generation: int
    phase: str
    ready: bool
    model: str
    version: str
    members: list[MemberRow]


class NodeRow(msgspec.Struct):
    """One node as this node sees it.

    Attributes
    ----------
    callers, peers : str
        Addresses for callers and for peers.
    stage : str
        Value of a `NodeStage`.
    heard_s : float or None
        Seconds since the last sign of life; None if there was none.
    """

    node: str
    incarnation: str
    data_centre: str
    callers: str
    peers: str
    stage: str
    heard_s: float | None


class StatusAnswer(msgspec.Struct):
    """State of this node.

    Attributes
    ----------
    stage : str
        Value of a `DrainStage`.
    log : str
        Value of a `TailStatus`.
    folded_offset : int
        Offset of the last log entry folded, -1 before any.
    behind : int
        Log entries known to exist that are not folded yet.
    in_contact : bool
        Whether the folded state is recent enough for non-idempotent requests.
    superseded : bool
        Whether another process has joined under this node's id.
    """

    node: str
    incarnation: str
    stage: str
    log: str
    folded_offset: int
    behind: int
    config_version: int
    in_flight: int
    in_contact: bool
    superseded: bool


class GroupsAnswer(msgspec.Struct):
    """Answer to ``GET /operator/groups``."""

    groups: list[GroupRow]


class NodesAnswer(msgspec.Struct):
    """Answer to ``GET /operator/nodes``."""

    nodes: list[NodeRow]


class AuditAnswer(msgspec.Struct):
    """Answer to ``GET /operator/audit``: lines of the audit trail, oldest first."""

    lines: list[AuditLine]


class Problem(msgspec.Struct):
    """Error in answer to an operator.

    Attributes
    ----------
    error : str
        What is wrong.
    hint : str
        What to do about it.
    """

    error: str
    hint: str


class OperatorApi:
    """Answers requests of operators.

    Parameters
    ----------
    start_drain : callable
        Begins the graceful shutdown of this node; a second call forces its end.
    is_superseded : callable
        Whether another process has joined under this node's id.
    """

    def __init__(
        self, node: NodeContext, start_drain: Callable[[], None], is_superseded: Callable[[], bool]
    ) -> None:
        self._node = node
        self._start_drain = start_drain
        self._is_superseded = is_superseded

    def handle(self, request: Request, reply: Reply) -> None:
        """Handle one request; only metrics need no operator key."""
        if request.method == "GET" and request.path == "/metrics":
            self._send_metrics(request, reply)
            return
        actor = self._authenticate(request)
        if actor is None:
            self._send_problem(reply, 401, "Unknown operator key.", "Give the key with --key-file.")
            return
        match request.method, request.path:
            case "GET", "/operator/configuration":
                self._send_configuration(reply)
            case "POST", "/operator/patches":
                self._submit_patch(actor, request, reply)
            case "GET", "/operator/groups":
                self._send_groups(reply)
            case "GET", "/operator/nodes":
                self._send_nodes(reply)
            case "GET", "/operator/audit":
                self._send_audit(request, reply)
            case "GET", "/operator/status":
                self._send_status(reply)
            case "POST", "/operator/drain":
                self._handle_drain(actor, reply)
            case _:
                self._send_problem(reply, 404, "No such path.", "See docs/ref/http.md.")

    def _authenticate(self, request: Request) -> OperatorName | None:
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        for operator in self._node.settings.operators:
            if hmac.compare_digest(operator.key_sha256, digest):
                return OperatorName(operator.name)
        return None

    def _send_configuration(self, reply: Reply) -> None:
        config = self._node.tail.state.config
        document = config.document.model_dump(mode="json")
        self._send_json(reply, 200, ConfigurationAnswer(config.version, document))

    def _submit_patch(self, actor: OperatorName, request: Request, reply: Reply) -> None:
        node = self._node
        try:
            body = msgspec.json.decode(request.body.read(), type=PatchRequest)
        except (msgspec.MsgspecError, RecursionError) as exc:
            self._send_problem(
                reply, 400, f"The body is not accepted: {exc}.", "See docs/ref/http.md."
            )
            return
        record = PatchSubmit(
            node.new_record_id("patch"), actor, body.base_version, body.patch, node.wall_clock_ms()
        )

        def on_settled(result: RecordOutcome) -> None:
            self._answer_patch(body.base_version, record, result, reply)

        if not node.submit(record, PATCH_TIMEOUT_S, on_settled):
            self._send_problem(reply, 503, "Too many records wait for the log.", "Try again later.")

    def _answer_patch(
        self, base_version: int, record: PatchSubmit, result: RecordOutcome, reply: Reply
    ) -> None:
        if reply.ended:
            return
        node = self._node
        version = node.tail.state.config.version
        verdict = result.verdict
        if verdict is None:
            verdict_text = "unknown" if result.appended else "not-submitted"
            detail = "The platform's log did not answer in time."
            answer = PatchAnswer(verdict_text, version, detail, record.id)
            self._send_json(reply, 503, answer)
            return
        answer = PatchAnswer(verdict.code.value, verdict.version, verdict.detail, record.id)
        if not verdict.accepted:
            answer.changes = [
                ChangeRow(change.version, change.actor, change.paths)
                for change in accepted_patches_since(node.tail.state, base_version)
            ]
        log_event("patch", actor=record.actor, verdict=answer.verdict, version=answer.version)
        self._send_json(reply, 200 if verdict.accepted else 409, answer)

    def _send_groups(self, reply: Reply) -> None:
        node = self._node
        now = node.clock.now()
        rows = [
            GroupRow(
                group.id,
                group.deployment,
                group.data_centre,
                group.domain,
                group.generation,
                group.phase.value,
                group.phase is GroupPhase.FORMED and node.group_ready(group, now),
                group.spec.model,
                group.spec.version,
                [
                    MemberRow(member.instance, member.address, member.incarnation)
                    for member in group.members
                ],
            )
            for group in sorted(node.tail.state.groups.values(), key=lambda group: group.id)
        ]
        self._send_json(reply, 200, GroupsAnswer(rows))

    def _send_nodes(self, reply: Reply) -> None:
        node = self._node
        now = node.clock.now()
        rows = []
        for listed_node in sorted(
            node.tail.state.nodes.values(), key=lambda listed_node: listed_node.id
        ):
            view = node.peer_views.get(listed_node.id)
            heard_s = (
                0.0 if listed_node.id == node.id else now - view.last_alive_at if view else None
            )
            rows.append(
                NodeRow(
                    listed_node.id,
                    listed_node.incarnation,
                    listed_node.data_centre,
                    listed_node.callers,
                    listed_node.peers,
                    listed_node.stage.value,
                    heard_s,
                )
            )
        self._send_json(reply, 200, NodesAnswer(rows))

    def _send_audit(self, request: Request, reply: Reply) -> None:
        limit = parse_count((request.qs or "").removeprefix("limit="), MAX_AUDIT_LINES)
        lines = audit_lines(self._node.tail.state, DEFAULT_AUDIT_LINES if limit is None else limit)
        self._send_json(reply, 200, AuditAnswer(lines))

    def _send_status(self, reply: Reply) -> None:
        node = self._node
        answer = StatusAnswer(
            node.id,
            node.incarnation,
            node.drain.stage.value,
            node.tail.status.value,
            node.tail.folded_offset,
            node.tail.entries_behind(),
            node.tail.state.config.version,
            node.in_flight,
            node.has_log_contact(node.clock.now()),
            self._is_superseded(),
        )
        self._send_json(reply, 200, answer)

    def _handle_drain(self, actor: OperatorName, reply: Reply) -> None:
        node = self._node
        record = OperatorAction(
            node.new_record_id("action"), actor, "drain", node.id, node.wall_clock_ms()
        )
        node.submit(record, PATCH_TIMEOUT_S, lambda result: None)
        if not node.drain.leaving:
            self._start_drain()
        self._send_status(reply)

    def _send_metrics(self, request: Request, reply: Reply) -> None:
        body, headers = self._node.metrics.render(request.headers.get("Accept", ""))
        reply.send_whole(200, tuple(headers.items()), body)

    def _send_problem(self, reply: Reply, status: int, error: str, hint: str) -> None:
        self._send_json(reply, status, Problem(error, hint))

    def _send_json(self, reply: Reply, status: int, body: msgspec.Struct) -> None:
        reply.send_whole(status, (("Content-Type", "application/json"),), msgspec.json.encode(body))
