"""A drill of the store, after which another node plans under the same term of the lease."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins_3.deployment import (  # noqa: E402
    EXIT_BROKEN,
    EXIT_HELD,
    CaseError,
    Deployment,
    exchange,
    has_trouble,
    run_case,
)
from review.standins_3.record import Record  # noqa: E402
from review.standins_3.servers import ModelServer  # noqa: E402
from review.standins_3.store import Store  # noqa: E402

NODES = 3
DOMAINS = 2
DOMAIN_SERVERS = 10
ADDED_SERVERS = 5
SLOTS = 2
START_PAUSE_S = 0.1
AWAY_S = 0.6
# From the last join of a node to the first servers, and from the open groups to the drill.
JOINED_S = 0.5
OPEN_S = 0.5
OPEN_GROUPS = 6
# Streams of two seconds: a light load, and a heavier one once the servers are added.
EVENTS = 40
LIGHT_PAUSE_S, HEAVY_PAUSE_S = 0.5, 0.11
HEAVY_AFTER_S = 3.0
HEAVY_S = 9.0
KEY = "key-a"


def configuration():
    """Return a configuration with one route to one model."""
    route = {
        "name": "r-draft",
        "host": "shop.example",
        "pathPrefix": "/draft/",
        "type": "stream",
        "timeoutMs": 8000,
        "goalMs": 400,
        "gapGoalMs": 300,
        "priority": 1,
        "service": "pool",
        "maxAttempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
    }
    engine = {
        "slots": SLOTS,
        "kvCapacity": 100_000,
        "stride": 1,
        "models": [{"name": "m0", "size": 2, "share": 1.0, "pace": 1.0, "loadS": 1, "warmS": 0.3}],
        "step_ms": 50.0,
        "per_seq_ms": 0.0,
        "context_per_k": 0.0,
        "read_per_s": 45900.0,
        "pairs_per_m": 0.433,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "loadsPerS": 5.0,
        "loads_at_once": 7,
        "usual": {"prompt": 100, "answer": EVENTS},
        "keeps": 1,
        "far_x": 2.5,
        "formMs": 300.0,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "pool", "healthPath": "/healthz", "maxConns": 278, "engine": engine}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "t", "apiKeys": [KEY]}],
    }


class Case:
    """One run."""

    def __init__(self):
        self.record = Record(Path(__file__).with_name("record.txt"))
        self.store = Store(self.record)
        self.fleet = {}
        self.broken_rules = []
        self.sends = []
        self.pause_s = LIGHT_PAUSE_S

    async def run(self):
        """Run the case; return the exit status."""
        await self.store.start()
        deployment = Deployment(NODES, self.store.port)
        try:
            return await self._run(deployment)
        finally:
            deployment.end()
            for server in self.fleet.values():
                server.end()
            self.store.close()
            self.record.close()

    async def _add_servers(self, domain, count):
        for _ in range(count):
            name = f"i-{len(self.fleet):02}"
            server = ModelServer(
                self.store, self.record, name, "pool", self.fleet, self.broken_rules
            )
            server.slots, server.domain = SLOTS, domain
            await server.start()

    async def _send(self, node, number):
        request_id = f"q{number}"
        fields = (
            ("X-Briarpond-Request-Id", request_id),
            ("X-Briarpond-Deadline-Ms", "8000"),
            ("X-Briarpond-Model", "m0"),
            ("X-Briarpond-Token-Usage", f"100,{EVENTS}"),
            ("X-Briarpond-Prompt-Prefix", f"{number:08x}:100"),
            ("Authorization", f"Bearer {KEY}"),
        )
        answer = await exchange(node.host, node.port, b"POST /draft/x", fields, b"{}", 9.0)
        self.record.line(f"client: {request_id} answered {answer.status} whole={answer.is_whole}")
        return answer

    async def _load(self, deployment):
        while self.pause_s:
            node = deployment.nodes[len(self.sends) % NODES]
            self.sends.append(asyncio.create_task(self._send(node, len(self.sends))))
            await asyncio.sleep(self.pause_s)

    def _generation(self):
        group = self.store.groups.get("planner")
        return 0 if group is None else group.generation

    def _open_groups(self):
        return sum(server.group_state == "open" for server in self.fleet.values())

    async def _wait_for(self, what, condition):
        limit = self.record.now() + 10.0
        while not condition():
            if self.record.now() > limit:
                raise CaseError(f"waited in vain for {what}")
            await asyncio.sleep(0.02)

    async def _run(self, deployment):
        self.store.put("keyed.op", "config", json.dumps(configuration()).encode())
        # The store keeps a copy of itself from before the nodes start.
        await asyncio.sleep(0.3)
        started_at = self.record.now()
        for node in deployment.nodes:
            node.start()
            await asyncio.sleep(START_PAUSE_S)
        await deployment.wait_until_ready()
        await self._wait_for("the nodes to join", lambda: self._generation() == NODES)
        await asyncio.sleep(JOINED_S)
        for number in range(DOMAINS):
            await self._add_servers(f"d{number}", DOMAIN_SERVERS)
        await self._wait_for("open groups", lambda: self._open_groups() >= OPEN_GROUPS)
        await asyncio.sleep(OPEN_S)
        load = asyncio.create_task(self._load(deployment))
        if has_trouble():
            # The copy is from the start of the nodes.
            copy_age_s = self.record.now() - started_at
            await self.store.drill(AWAY_S, copy_age_s, returns_after="planner")
        else:
            await asyncio.sleep(AWAY_S)
        # All machines and the store are calm for longer than `stableWindowMs`.
        await asyncio.sleep(5.0)
        self.record.line(f"{ADDED_SERVERS} empty servers are added")
        await self._add_servers(f"d{DOMAINS}", ADDED_SERVERS)
        await asyncio.sleep(HEAVY_AFTER_S)
        self.pause_s = HEAVY_PAUSE_S
        await asyncio.sleep(HEAVY_S)
        self.pause_s = 0
        await load
        answers = await asyncio.gather(*self.sends)
        for node in deployment.nodes:
            for line in node.log_lines("event=lease", "event=planner", "event=group"):
                self.record.line(f"{node.name} log: {line}")
        cut = sum(answer.status == 200 and not answer.is_whole for answer in answers)
        text = (
            f"{len(self.broken_rules)} joins taken while the head of the old group served;"
            f" {cut} of {len(answers)} streams cut off midway"
        )
        self.record.line(f"result: {text}")
        for line in (*self.broken_rules, text):
            print(line)
        return EXIT_BROKEN if self.broken_rules else EXIT_HELD


run_case(Case().run)
