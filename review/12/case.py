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
    has_trouble,
    run_case,
)
from review.standins_3.record import Record  # noqa: E402
from review.standins_3.servers import ModelServer  # noqa: E402
from review.standins_3.store import Store  # noqa: E402

NODES = 3
SERVERS = 4
ADDED_SERVERS = 6
SLOTS = 4
START_PAUSE_S = 0.1
AWAY_S = 0.6
DRILL_AT_S = 5.0
WATCHED_S = 8.0
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
        "usual": {"prompt": 100, "answer": 40},
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

    async def _add_servers(self, numbers):
        for number in numbers:
            server = ModelServer(
                self.store, self.record, f"i-{number}", "pool", self.fleet, self.broken_rules
            )
            server.slots = SLOTS
            await server.start()

    async def _run(self, deployment):
        self.store.put("keyed.op", "config", json.dumps(configuration()).encode())
        await self._add_servers(range(SERVERS))
        await asyncio.sleep(0.2)
        started_at = self.record.now()
        for node in deployment.nodes:
            node.start()
            await asyncio.sleep(START_PAUSE_S)
        await deployment.wait_until_ready()
        await asyncio.sleep(max(0.0, started_at + DRILL_AT_S - self.record.now()))
        if not any(server.group_state == "open" for server in self.fleet.values()):
            raise CaseError("no group is open")
        if has_trouble():
            # The copy is from the start of the nodes.
            copy_age_s = self.record.now() - started_at
            await self.store.drill(AWAY_S, copy_age_s, returns_after="planner")
        else:
            await asyncio.sleep(AWAY_S)
        # All machines and the store are calm for longer than `stableWindowMs`.
        await asyncio.sleep(5.0)
        self.record.line(f"{ADDED_SERVERS} empty servers are added")
        await self._add_servers(range(SERVERS, SERVERS + ADDED_SERVERS))
        await asyncio.sleep(WATCHED_S)
        for node in deployment.nodes:
            for line in node.log_lines("event=lease", "event=planner", "event=group"):
                self.record.line(f"{node.name} log: {line}")
        text = f"{len(self.broken_rules)} joins taken while the head of the old group served"
        self.record.line(f"result: {text}")
        for line in (*self.broken_rules, text):
            print(line)
        return EXIT_BROKEN if self.broken_rules else EXIT_HELD


run_case(Case().run)
