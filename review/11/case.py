"""A drill of the store, after which the nodes ignore that a key was taken away."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins_3.deployment import (  # noqa: E402
    BOUNDS,
    EXIT_BROKEN,
    EXIT_HELD,
    CaseError,
    Deployment,
    exchange,
    has_trouble,
    run_case,
)
from review.standins_3.record import Record  # noqa: E402
from review.standins_3.servers import Server  # noqa: E402
from review.standins_3.store import Store  # noqa: E402

AWAY_S = 1.0
COPY_AGE_S = 3.0
KEPT_KEY, REVOKED_KEY = "key-kept", "key-revoked"
REQUESTS_AFTER_S = 12.0
REQUEST_PAUSE_S = 0.2


def configuration(version, timeout_ms, keys):
    """Return a configuration with one route."""
    route = {
        "name": "r-order",
        "host": "shop.example",
        "pathPrefix": "/order/",
        "type": "non_idempotent",
        "timeoutMs": timeout_ms,
        "goalMs": 145,
        "priority": 2,
        "service": "desk",
        "maxAttempts": 1,
        "public": False,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "desk", "healthPath": "/healthz", "maxConns": 110}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "kept", "apiKeys": [KEPT_KEY]},
            {"name": "other", "apiKeys": keys},
        ],
    }


class Case:
    """One run."""

    def __init__(self):
        self.record = Record(Path(__file__).with_name("record.txt"))
        self.store = Store(self.record)
        self.servers = []
        self.sent = {}

    def put_configuration(self, *arguments):
        """Write a configuration as the operator; return the time of the store's answer."""
        config = configuration(*arguments)
        if not self.store.put("keyed.op", "config", json.dumps(config).encode()):
            raise CaseError("the store did not take a configuration")
        keys = [key for tenant in config["tenants"] for key in tenant["apiKeys"]]
        self.record.line(f"operator: version {config['version']} acknowledged, keys {keys}")
        return self.record.now()

    async def send(self, node, number, key):
        """Send a request with a key and record its answer."""
        request_id = f"q{number}-{node.name}-{key}"
        self.sent[request_id] = self.record.now()
        fields = (
            ("X-Briarpond-Request-Id", request_id),
            ("X-Briarpond-Deadline-Ms", "1000"),
            ("Authorization", f"Bearer {key}"),
        )
        answer = await exchange(node.host, node.port, b"POST /order/x", fields, b"{}")
        self.record.line(f"client: {request_id} answered {answer.status}")
        return answer.status

    async def run(self):
        """Run the case; return the exit status."""
        await self.store.start()
        deployment = Deployment(2, self.store.port)
        try:
            return await self._run(deployment)
        finally:
            deployment.end()
            for server in self.servers:
                server.end()
            self.store.close()
            self.record.close()

    async def _run(self, deployment):
        keys = [REVOKED_KEY]
        self.put_configuration(1, 1000, keys)
        self.servers = [Server(self.store, self.record, f"i-{n}", "desk") for n in (1, 2)]
        for server in self.servers:
            await server.start()
        for node in deployment.nodes:
            node.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(4.0)
        for node in deployment.nodes:
            for key in (KEPT_KEY, REVOKED_KEY):
                if await self.send(node, 0, key) != 200:
                    raise CaseError("a request before the disruption was not served")
        # Two ordinary changes of the configuration, then the drill.
        self.put_configuration(2, 1100, keys)
        await asyncio.sleep(0.5)
        self.put_configuration(3, 1200, keys)
        await asyncio.sleep(1.0)
        if has_trouble():
            await self.store.drill(AWAY_S, COPY_AGE_S)
        else:
            await asyncio.sleep(AWAY_S)
        # All machines and the store are calm for longer than `stableWindowMs`.
        await asyncio.sleep(6.0)
        acknowledged_at = self.put_configuration(4, 1200, [])
        bound_s = BOUNDS["revokeMs"] / 1000
        number = 0
        while self.record.now() < acknowledged_at + REQUESTS_AFTER_S:
            number += 1
            for node in deployment.nodes:
                await self.send(node, number, KEPT_KEY)
                await self.send(node, number, REVOKED_KEY)
            await asyncio.sleep(REQUEST_PAUSE_S)
        late = [
            request_id
            for server in self.servers
            for _, request_id, _ in server.runs
            if request_id.endswith(REVOKED_KEY)
            and self.sent[request_id] > acknowledged_at + bound_s
        ]
        for node in deployment.nodes:
            for line in node.log_lines("config_in_force", "outdated", "feed_gap", "store_"):
                self.record.line(f"{node.name} log: {line}")
        text = f"{len(late)} requests sent over {bound_s} s after the ack ran with the revoked key"
        self.record.line(f"result: {text}")
        print(text)
        return EXIT_BROKEN if late else EXIT_HELD


run_case(Case().run)
