"""The scenario that every cell of the matrix runs: a rolling change under load.

Callers send requests from 5 s to `LOAD_END_S`. Meanwhile operators deploy another model
version and change the number of groups, and one node is drained and restarted. The rest of
the time up to `END_S` is for the recovery from faults.
"""

import io
import json

from briarpond.ports import ListedInstance, ListedState
from tests.standins.deployment import initial_configuration

from .world import (
    FakeEngine,
    FakeList,
    FakeNode,
    FakeReply,
    FakeRequest,
    FakeService,
    World,
    caller_headers,
)

# Points in virtual time, in seconds. Faults are registered once the first groups serve
# requests.
FAULTS_ARMED_AT_S = 8.0
NEW_MODEL_VERSION_AT_S = 9.0
DRAIN_AT_S = 12.0
RESTART_AT_S = 23.0
ONE_GROUP_FEWER_AT_S = 19.0
ONE_GROUP_MORE_AT_S = 25.0
LOAD_END_S = 32.0
END_S = 48.0
REQUEST_INTERVAL_S = 0.15
GROUP_SIZE = 3
# Small enough that the log drops old entries within a run: nodes must publish snapshots.
LOG_RETENTION_ENTRIES = 120
NODES = (("n1", "hobart-a"), ("n2", "glenorchy-b"), ("n3", "kingston-c"))
# Callers send these kinds in turn; the id of a request begins with its kind.
#   stream       a streamed model answer
#   whole        a model answer in one piece
#   order        as "whole", but declared non-idempotent by the caller
#   keyed        as "whole", with an idempotency key
#   keyed-twice  one keyed request sent to two nodes at the same time
#   service      a non-idempotent call of a plain service
REQUEST_KINDS = ("stream", "whole", "order", "keyed", "keyed-twice", "service")


def build_world(seed: int, fencing: bool) -> World:
    """Return a world with three nodes, twelve engines and two plain servers."""
    world = World(seed, fencing)
    world.endpoints["10.1.0.1:1"] = world.log
    world.log.retention = LOG_RETENTION_ENTRIES
    world.list = FakeList(world)
    world.endpoints["10.1.0.2:1"] = world.list
    number = 0
    for data_centre, domains in (("hobart-a", ("f1", "f2")), ("glenorchy-b", ("f3",))):
        for domain in domains:
            for _ in range(4):
                number += 1
                _add_instance(world, f"e{number}", "briar-pool", data_centre, domain, number)
    for server in (1, 2):
        _add_instance(world, f"s{server}", "cutdesk", "hobart-a", "plain", 100 + server)
    for index, (name, data_centre) in enumerate(NODES, 1):
        world.nodes[name] = FakeNode(world, name, data_centre, index)
    return world


def _add_instance(
    world: World, name: str, service: str, data_centre: str, domain: str, number: int
):
    address = f"10.2.0.{number}:1"
    row = ListedInstance(
        name, service, address, data_centre, domain, 4, ListedState.LIVE, world.fencing
    )
    if service == "cutdesk":
        world.services[name] = world.endpoints[address] = FakeService(world, row)
    else:
        world.engines[name] = world.endpoints[address] = FakeEngine(world, row)
    world.list.visible[name] = row


class CallerLoad:
    """Callers that send requests of all kinds at a fixed rate and record the answers."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.count = 0
        self.open_replies: list[FakeReply] = []
        world.caller_load = self

    def disconnect_all(self) -> None:
        """Disconnect every caller whose request is in flight."""
        for reply in self.open_replies:
            if not reply.ended:
                reply.ended = True
                self.world.record_event(
                    "caller_disconnected", request=reply.request, node=reply.node
                )
                reply.on_disconnect()

    def send_next(self) -> None:
        """Send one request and schedule the next; a keyed-twice request goes to two nodes."""
        world = self.world
        if world.now >= LOAD_END_S:
            return
        world.call_later(REQUEST_INTERVAL_S, self.send_next)
        self.count += 1
        kind = REQUEST_KINDS[self.count % len(REQUEST_KINDS)]
        request = f"{kind}-{self.count}"
        nodes = [node for node in world.nodes.values() if node.up]
        if not nodes:
            return
        chosen = world.rng.sample(nodes, min(len(nodes), 2 if kind == "keyed-twice" else 1))
        for node in chosen:
            self._send(node, kind, request)

    def _send(self, node: FakeNode, kind: str, request: str) -> None:
        world = self.world
        request_headers = {"Briarpond_Deadline_Ms": "8000"}
        if kind.startswith("keyed"):
            request_headers["Idempotency_Key"] = request
        if kind == "order":
            request_headers["Briarpond_Idempotent"] = "false"
        if kind == "service":
            path, body = "/services/cutdesk/orders", {"order": request}
        else:
            path = "/v1/chat/completions"
            body = {
                "model": "briar-7b",
                "max_tokens": 12,
                "messages": [{"role": "user", "content": request}],
                "stream": kind == "stream",
            }
        sent_at, process_number = world.now, node.process_number

        def on_answer(reply: FakeReply) -> None:
            world.record_event(
                "request_answered",
                request=request,
                kind=kind,
                node=node.name,
                request_sent_at=sent_at,
                status=reply.status,
                outcome=reply.headers.get("Briarpond-Outcome", ""),
                answer_body=reply.data.decode(),
            )

        world.record_event(
            "request_sent",
            request=request,
            kind=kind,
            node=node.name,
            process_number=process_number,
        )
        raw = io.BytesIO(json.dumps(body).encode())
        node.receive_request(
            FakeRequest("POST", path, caller_headers(**request_headers), raw),
            FakeReply(on_ended=on_answer),
        )


def record_node_states(world: World) -> None:
    """Record the folded state of every running node, now and each half second."""
    for node in world.nodes.values():
        if not node.up or node.paused:
            continue
        state = node.assembly.context.tail.state
        world.record_event(
            "node_state",
            node=node.name,
            process_number=node.process_number,
            version=state.config.version,
            document=state.config.document.model_dump_json(),
            groups={
                group.id: tuple(member.instance for member in group.members)
                for group in state.groups.values()
            },
            ready=tuple(
                group.id
                for group in state.groups.values()
                if node.assembly.context.group_ready(group, world.now)
            ),
        )
    world.call_later(0.5, lambda: record_node_states(world))


def run_scenario(seed: int, fencing: bool = True, register_faults=None) -> World:
    """Run the scenario; `register_faults(world)` is called once the groups serve requests."""
    world = build_world(seed, fencing)
    for index, node in enumerate(world.nodes.values()):
        world.call_at(0.1 * index, node.start)
    document = initial_configuration({"hobart-a": 2, "glenorchy-b": 1}, GROUP_SIZE)
    document["policy"]["engine_timeout_s"] = 3.0
    operators = Operators(world)
    world.call_at(1.0, lambda: operators.submit("n1", document))
    world.call_at(5.0, CallerLoad(world).send_next)
    world.call_at(0.5, lambda: record_node_states(world))
    if register_faults is not None:
        world.call_at(FAULTS_ARMED_AT_S, lambda: register_faults(world))
    new_version = {"deployments": {"briar-pool": {"version": "2"}}}
    world.call_at(NEW_MODEL_VERSION_AT_S, lambda: operators.submit("n2", new_version))
    world.call_at(NEW_MODEL_VERSION_AT_S + 1.0, lambda: operators.submit_concurrently())
    world.call_at(DRAIN_AT_S, lambda: drain_node(world, "n3"))
    world.call_at(
        ONE_GROUP_FEWER_AT_S, lambda: operators.submit_until_accepted("n2", _hobart_groups(1))
    )
    world.call_at(
        ONE_GROUP_MORE_AT_S, lambda: operators.submit_until_accepted("n2", _hobart_groups(2))
    )
    world.call_at(RESTART_AT_S, lambda: restart_node(world, "n3"))
    world.run_until(END_S)
    return world


def _hobart_groups(count: int) -> dict:
    return {"deployments": {"briar-pool": {"groups": {"hobart-a": count}}}}


class Operators:
    """Operators that submit patches and record the verdicts."""

    def __init__(self, world: World) -> None:
        self.world = world

    def submit(self, node_name: str, patch: dict) -> None:
        """Submit a patch based on the version in force at a node, if that node runs."""
        node = self.world.nodes[node_name]
        if not node.up:
            return
        version = node.assembly.context.tail.state.config.version

        def done(answer: dict) -> None:
            self.world.record_event("patch_verdict", node=node_name, based_on=version, **answer)

        node.submit_patch(version, patch, done)

    def submit_until_accepted(self, node_name: str, patch: dict) -> None:
        """Submit a patch at a node, and again 1 s after each verdict other than "accepted"."""
        node = self.world.nodes[node_name]

        def done(answer: dict) -> None:
            self.world.record_event("patch_verdict", node=node_name, **answer)
            if answer["verdict"] != "accepted":
                self.world.call_later(1.0, lambda: self.submit_until_accepted(node_name, patch))

        node.submit_patch(node.assembly.context.tail.state.config.version, patch, done)

    def submit_concurrently(self) -> None:
        """Submit two conflicting patches at two nodes at the same time."""
        for node_name, weight in (("n1", 2.0), ("n2", 3.0)):
            self.submit(node_name, {"accounts": {"wren": {"weight": weight}}})


def drain_node(world: World, node_name: str) -> None:
    """Begin the drain of a node before its planned stop."""
    node = world.nodes[node_name]
    if node.up:
        world.reach_step("node-drain")
        world.record_event("drain_started", node=node_name, process_number=node.process_number)
        node.bind_callback(node.assembly.begin_drain)()


def restart_node(world: World, node_name: str) -> None:
    """Start a node again if it is down."""
    node = world.nodes[node_name]
    if not node.up:
        world.reach_step("node-boot")
        node.start()
