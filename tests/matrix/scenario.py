"""The scenario that every cell of the matrix runs, and its load."""

import io
import json

from briarpond.ports import FleetInstance, InstanceState
from tests.standins.deployment import first_document

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

ARM_AT_S = 8.0
ROLL_AT_S = 9.0
DRAIN_AT_S = 12.0
RESTART_AT_S = 23.0
FEWER_AT_S = 19.0
MORE_AT_S = 25.0
LOAD_END_S = 32.0
END_S = 48.0
LOAD_EVERY_S = 0.15
GROUP_SIZE = 3
RETENTION_ENTRIES = 120
NODES = (("n1", "hobart-a"), ("n2", "glenorchy-b"), ("n3", "kingston-c"))
KINDS = ("stream", "whole", "order", "keyed", "keyed-twice", "service")


def build(seed: int, fencing: bool) -> World:
    """Return a world with three nodes, twelve engines and two plain servers."""
    world = World(seed, fencing)
    world.endpoints["10.1.0.1:1"] = world.log
    world.log.retention = RETENTION_ENTRIES
    world.list = FakeList(world)
    world.endpoints["10.1.0.2:1"] = world.list
    number = 0
    for data_centre, domains in (("hobart-a", ("f1", "f2")), ("glenorchy-b", ("f3",))):
        for domain in domains:
            for _ in range(4):
                number += 1
                _add(world, f"e{number}", "briar-pool", data_centre, domain, number)
    for server in (1, 2):
        _add(world, f"s{server}", "cutdesk", "hobart-a", "plain", 100 + server)
    for index, (name, data_centre) in enumerate(NODES, 1):
        world.nodes[name] = FakeNode(world, name, data_centre, index)
    return world


def _add(world: World, name: str, service: str, data_centre: str, domain: str, number: int):
    address = f"10.2.0.{number}:1"
    row = FleetInstance(
        name, service, address, data_centre, domain, 4, InstanceState.LIVE, world.fencing
    )
    if service == "cutdesk":
        world.services[name] = world.endpoints[address] = FakeService(world, row)
    else:
        world.engines[name] = world.endpoints[address] = FakeEngine(world, row)
    world.list.visible[name] = row


class Load:
    """Callers that send a steady mix of requests and note what they are told."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.count = 0
        self.open: list[FakeReply] = []
        world.load = self

    def leave(self) -> None:
        """Let every caller with a request in flight leave."""
        for reply in self.open:
            if not reply.ended:
                reply.ended = True
                self.world.note("left", request=reply.request, node=reply.node)
                reply.on_gone()

    def tick(self) -> None:
        """Send one request and schedule the next."""
        world = self.world
        if world.now >= LOAD_END_S:
            return
        world.after(LOAD_EVERY_S, self.tick)
        self.count += 1
        kind = KINDS[self.count % len(KINDS)]
        request = f"{kind}-{self.count}"
        nodes = [node for node in world.nodes.values() if node.up]
        if not nodes:
            return
        picked = world.rng.sample(nodes, min(len(nodes), 2 if kind == "keyed-twice" else 1))
        for node in picked:
            self._send(node, kind, request)

    def _send(self, node: FakeNode, kind: str, request: str) -> None:
        world = self.world
        extra = {"Briarpond_Deadline_Ms": "8000"}
        if kind.startswith("keyed"):
            extra["Idempotency_Key"] = request
        if kind == "order":
            extra["Briarpond_Idempotent"] = "false"
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
        at, epoch = world.now, node.epoch

        def told(reply: FakeReply) -> None:
            world.note(
                "told",
                request=request,
                kind=kind,
                node=node.name,
                asked_at=at,
                status=reply.status,
                outcome=reply.headers.get("Briarpond-Outcome", ""),
                data=reply.data.decode(),
            )

        world.note("asked", request=request, kind=kind, node=node.name, epoch=epoch)
        raw = io.BytesIO(json.dumps(body).encode())
        node.ask(FakeRequest("POST", path, caller_headers(**extra), raw), FakeReply(on_ended=told))


def sample(world: World) -> None:
    """Note what every node holds, twice a second."""
    for node in world.nodes.values():
        if not node.up or node.paused:
            continue
        state = node.assembly.context.tail.state
        world.note(
            "view",
            node=node.name,
            epoch=node.epoch,
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
    world.after(0.5, lambda: sample(world))


def run(seed: int, fencing: bool = True, arm=None) -> World:
    """Run the scenario; `arm(world)` sets up the faults of one cell."""
    world = build(seed, fencing)
    for index, node in enumerate(world.nodes.values()):
        world.at(0.1 * index, node.start)
    document = first_document({"hobart-a": 2, "glenorchy-b": 1}, GROUP_SIZE)
    document["policy"]["engine_timeout_s"] = 3.0
    patches = Patches(world)
    world.at(1.0, lambda: patches.submit("n1", document))
    world.at(5.0, Load(world).tick)
    world.at(0.5, lambda: sample(world))
    if arm is not None:
        world.at(ARM_AT_S, lambda: arm(world))
    deployments = {"deployments": {"briar-pool": {"version": "2"}}}
    world.at(ROLL_AT_S, lambda: patches.submit("n2", deployments))
    world.at(ROLL_AT_S + 1.0, lambda: patches.race())
    world.at(DRAIN_AT_S, lambda: drain(world, "n3"))
    world.at(FEWER_AT_S, lambda: patches.insist("n2", _hobart_groups(1)))
    world.at(MORE_AT_S, lambda: patches.insist("n2", _hobart_groups(2)))
    world.at(RESTART_AT_S, lambda: restart(world, "n3"))
    world.run_until(END_S)
    return world


def _hobart_groups(count: int) -> dict:
    return {"deployments": {"briar-pool": {"groups": {"hobart-a": count}}}}


class Patches:
    """Operators that submit patches, one of them in a race."""

    def __init__(self, world: World) -> None:
        self.world = world

    def submit(self, name: str, patch: dict) -> None:
        """Submit a patch at a node against the version it shows."""
        node = self.world.nodes[name]
        if not node.up:
            return
        version = node.assembly.context.tail.state.config.version

        def done(answer: dict) -> None:
            self.world.note("verdict", node=name, base=version, **answer)

        node.patch(version, patch, done)

    def insist(self, name: str, patch: dict) -> None:
        """Submit a patch again each second until it is accepted."""
        node = self.world.nodes[name]

        def done(answer: dict) -> None:
            self.world.note("verdict", node=name, **answer)
            if answer["verdict"] != "accepted":
                self.world.after(1.0, lambda: self.insist(name, patch))

        node.patch(node.assembly.context.tail.state.config.version, patch, done)

    def race(self) -> None:
        """Submit two patches against one version at two nodes."""
        for name, weight in (("n1", 2.0), ("n2", 3.0)):
            self.submit(name, {"accounts": {"wren": {"weight": weight}}})


def drain(world: World, name: str) -> None:
    """Begin a planned stop."""
    node = world.nodes[name]
    if node.up:
        world.step("drain")
        world.note("drain", node=name, epoch=node.epoch)
        node.guard(node.assembly.begin_drain)()


def restart(world: World, name: str) -> None:
    """Boot a node again if it is down."""
    node = world.nodes[name]
    if not node.up:
        world.step("boot")
        node.start()
