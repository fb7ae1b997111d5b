"""Randomized soak test: gateway processes under load and faults, checked while they run.

Each seed starts gateway nodes as processes of their own. The platform's store and the
backend servers are stand-ins in this process, which injects faults into all of them.

python -m tests.soak.run --seeds 50 --seconds 12 --nodes 4
"""

import asyncio
import contextlib
import gc
import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

from ..platform_samples import CONFIG
from .checks import Checks
from .options import ROOT, command_line, run_seeds
from .proxy import Fault, Proxy
from .standins import BackendServer
from .store import Store
from .wire import encode_request, generation_headers, read_body, status_of

# Time for the nodes to start and to form groups before load and faults begin.
SETTLE_S = 6.0


def loopback_network(pid: int) -> str:
    """Return the first three numbers of loopback addresses that no other process's soak uses."""
    return f"127.{64 + pid // 250 % 64}.{pid % 250 + 1}"


class Node:
    """A gateway process that reaches the store through a proxy of its own."""

    def __init__(self, soak, number: int) -> None:
        self.soak = soak
        self.ip = f"{loopback_network(os.getpid())}.{number}"
        self.name = f"n{number}"
        self.settings_path = soak.folder / f"{self.name}.yaml"
        self.proxy = Proxy(soak.store_port)
        self.proxy_port: int | None = None
        self.process: subprocess.Popen | None = None
        self.stopping = False
        # Folder of the build that the process runs.
        self.build = ROOT

    async def start(self) -> None:
        """Start the process; only the first start of a node may bootstrap."""
        first_start = self.proxy_port is None
        if self.proxy_port is None:
            self.proxy_port = await self.proxy.start()
        self.settings_path.write_text(self.settings_text(self.proxy_port, first_start))
        log = (self.soak.folder / f"{self.name}.log").open("ab")
        env = {
            **os.environ,
            "BRIARPOND_SETTINGS": str(self.settings_path),
            "PYTHONPATH": str(self.build),
        }
        command = [sys.executable, "-m", "briarpond.gateway"]
        self.process = subprocess.Popen(command, cwd=self.build, env=env, stdout=log, stderr=log)
        self.stopping = False

    def settings_text(self, platform_port: int, first_start: bool) -> str:
        """Return the node's settings as JSON, which is also valid YAML."""
        bounds = {"graceS": 8, "drainMs": 2000, "revokeMs": 5000, "stallMs": 1000}
        return json.dumps(
            {
                "nodeName": self.name,
                "bootstrap": first_start,
                "ip": self.ip,
                "zone": "z",
                "listen": {
                    "frontend": f"{self.ip}:{self.soak.base_port}",
                    "readiness": f"{self.ip}:{self.soak.base_port + 1}",
                    "directory": f"{self.ip}:{self.soak.base_port + 2}",
                },
                "internalPorts": [self.soak.base_port + 3, self.soak.base_port + 9],
                "platform": {"addr": f"127.0.0.1:{platform_port}", "parts": 1, "ttlMinMs": 1000},
                "bounds": bounds,
            }
        )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def handles_sigterm(self) -> bool:
        """Whether the process has installed a handler for SIGTERM, read from /proc."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt"))
        return bool(int(caught.split()[1], 16) & 1 << (signal.SIGTERM - 1))

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            self.process.send_signal(number)


class Soak:
    """The nodes, the stand-ins, the load and the faults of one seed.

    Attributes
    ----------
    rng : random.Random
        Source of the faults, of the load and of the stand-ins' random choices.
    partition_rng : random.Random
        Source of the partitions of backend servers. It is separate so that seeds from
        before these partitions were added still replay the same series of faults.
    base_port : int
        First port of each node; depends on the process id, so that soaks that run at
        the same time seldom share ports.
    ready_members : set of (group, epoch, instance)
        Members that have ever been ready in a group's epoch.
    group_sizes : dict
        Instances in a group of each model; equal to the sizes in the configuration.
    requests_served, requests_sent : int
        Requests answered with status 200, and all requests.
    """

    def __init__(self, seed: int, folder: Path, nodes: int) -> None:
        self.rng = random.Random(seed)
        self.partition_rng = random.Random(seed + 1_000_000)
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.base_port = 20_000 + (os.getpid() * 7 + seed * 13) % 9_000
        self.checks = Checks()
        self.store = Store(self.rng)
        self.servers: dict[str, BackendServer] = {}
        self.ready_members: set = set()
        self.group_sizes = {"big": 4, "small": 2}
        self.node_count = nodes
        self.requests_served = 0
        self.requests_sent = 0

    def schedule(self, delay_s: float, callback) -> None:
        """Call `callback` after a delay."""
        asyncio.get_event_loop().call_later(delay_s, callback)

    async def start(self) -> None:
        """Start the store, the backend servers and the nodes."""
        listener = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = listener.sockets[0].getsockname()[1]
        for number in range(14):
            await self.add_server("pool", f"d{number // 7}")
        for _ in range(3):
            await self.add_server("desk")
        self.config_version = 1
        self.publish_config()
        self.nodes = [self.make_node(number + 1) for number in range(self.node_count)]
        for node in self.nodes:
            await node.start()

    def make_node(self, number: int) -> Node:
        """Return a node that has not started."""
        return Node(self, number)

    async def add_server(self, service: str, domain: str | None = None) -> None:
        """Start a backend server: an engine if it has a domain, else a plain server."""
        server = BackendServer(self, service, domain)
        self.servers[server.id] = server
        await server.start()

    def routes(self) -> list[dict]:
        """Return the routes of the next configuration."""
        stream = {**CONFIG["routes"][0], "split": [], "service": "pool", "pathPrefix": "/stream/"}
        non_idempotent = {**CONFIG["routes"][1], "pathPrefix": "/non_idempotent/"}
        idempotent = {**CONFIG["routes"][2], "pathPrefix": "/idempotent/", "public": False}
        return [stream, non_idempotent, idempotent]

    def publish_config(self) -> None:
        """Write a new version of the configuration to the store."""
        services = json.loads(json.dumps(CONFIG["services"]))
        services[0]["engine"]["formMs"] = 50.0
        for model in services[0]["engine"]["models"]:
            model["loadS"], model["warmS"] = 0.3, 0.1
        document = {
            **CONFIG,
            "version": self.config_version,
            "routes": self.routes(),
        }
        document["services"] = services
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.config_version += self.rng.randint(1, 4)

    async def inject_fault(self) -> None:
        """Inject one random fault or change; several may be under way at a time."""
        rng = self.rng
        node = rng.choice(self.nodes)
        pause_s = rng.uniform(0.2, 2.5)
        match rng.randrange(9):
            case 0:
                node.signal(signal.SIGKILL)
                await asyncio.sleep(pause_s)
                await self.restart(node)
            case 1:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(pause_s)
                node.signal(signal.SIGCONT)
            case 2:
                await self.stop_gracefully(node)
            case 3:
                node.proxy.fault = rng.choice(list(Fault)[1:])
                await asyncio.sleep(pause_s * 2)
                node.proxy.fault = Fault.NONE
            case 4:
                node.proxy.reset_all()
            case 5:
                self.store.mode = rng.choice(["silent", "reset", "unavailable", "lose-answers"])
                await asyncio.sleep(pause_s)
                self.store.mode = "normal"
            case 6:
                await self.replace_server("pool")
            case 7:
                await self.replace_server("desk")
            case 8:
                self.publish_config()

    async def restart(self, node: Node) -> None:
        """Start a node again, unless another fault has already done so."""
        if not node.running:
            await node.start()

    async def stop_gracefully(self, node: Node) -> None:
        """Send SIGTERM, check that the node exits with status 0, and start it again.

        A SIGKILL from another fault is allowed in between; a node that is still running
        after 14 s is a violation.
        """
        if node.stopping or not node.running:
            return
        # Until the gateway's first line has run, no handler is installed and SIGTERM
        # kills the process at once.
        node.stopping = True
        while node.running and not node.handles_sigterm():
            await asyncio.sleep(0.01)
        sent_at = time.monotonic()
        process = node.process
        node.signal(signal.SIGTERM)
        while process.poll() is None and time.monotonic() - sent_at < 14:
            await asyncio.sleep(0.1)
        if process.poll() not in (0, -signal.SIGKILL):
            self.checks.report(
                f"node {node.name}: exit status {process.poll()}, not 0, within 14 s of SIGTERM"
            )
        await self.restart(node)

    async def replace_server(self, service: str) -> None:
        """Crash a backend server of a service and start a new one in its place."""
        candidates = [s for s in self.servers.values() if s.alive and s.service == service]
        crashed = self.rng.choice(candidates)
        crashed.crash()
        await asyncio.sleep(0.3)
        await self.add_server(service, crashed.domain)

    async def partition_server(self) -> None:
        """Cut a running engine off from all nodes for a while; 7 in 10 times a head."""
        rng = self.partition_rng
        candidates = [s for s in self.servers.values() if s.alive and s.service == "pool"]
        heads = [s for s in candidates if s.state == "open"]
        server = rng.choice(heads if heads and rng.random() < 0.7 else candidates)
        server.partitioned = True
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        server.partitioned = False

    async def run_caller(self, number: int, end: float) -> None:
        """Send requests to random nodes until `end` (monotonic time)."""
        count = 0
        while time.monotonic() < end:
            count += 1
            route_type = self.rng.choice(["non_idempotent", "idempotent", "stream"])
            request_id = f"c{number}.{count}"
            self.checks.route_types[request_id] = route_type
            node = self.pick_node()
            self.requests_sent += 1
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.wait_for(self.send_request(node, route_type, request_id), 5.0)
            await asyncio.sleep(self.rng.uniform(0.01, 0.06))

    def pick_node(self) -> Node:
        """Return the node that a caller asks next."""
        return self.rng.choice(self.nodes)

    async def send_request(self, node: Node, route_type: str, request_id: str) -> None:
        """Send one request to a node and check the answer."""
        reader, writer = await asyncio.open_connection(node.ip, self.base_port)
        try:
            model = self.rng.choice(["big", "small"])
            headers = generation_headers(model, "500,50")
            writer.write(encode_request(request_id, f"/{route_type}/x", headers=headers))
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            data = await read_body(reader, head)
            self.check_answer(route_type, request_id, head, data)
        finally:
            writer.transport.abort()

    def check_answer(self, route_type: str, request_id: str, head: str, data: bytes) -> None:
        """Check a whole answer.

        All requests are valid, so 401, 403 and 404 are violations. The statuses 408,
        421, 429 and 503 promise that the request did not run and will not run.
        """
        status = status_of(head)
        if status in (401, 403, 404):
            self.checks.report(f"request {request_id}: denied with status {status}")
        if status in (408, 421, 429, 503):
            self.checks.refused.add(request_id)
            if route_type == "non_idempotent" and self.checks.run_counts.get(request_id):
                self.checks.report(f"request {request_id}: refused as not run after it ran")
        if status != 200:
            return
        self.requests_served += 1
        if route_type == "stream":
            events = [f"id: {n}\ndata: {request_id}\n\n" for n in range(1, 11)]
            expected = "".join(events).encode()
        else:
            expected = b"done " + request_id.encode()
        if data != expected:
            self.checks.report(f"request {request_id}: wrong answer body {data[:80]!r}")

    def violations(self) -> list[str]:
        """Return all that the seed has found, for the command line."""
        return self.checks.violations

    def summary(self) -> str:
        """Return what the seed has served, for the command line."""
        return f"{self.requests_served} of {self.requests_sent} requests served"

    def kill_nodes(self) -> None:
        """Kill all nodes, also those that a fault has suspended."""
        for node in self.nodes:
            if node.running:
                node.signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()


async def run_soak(seed: int, folder: Path, nodes: int, seconds: float) -> Soak:
    """Run one seed with load and faults for `seconds`; logs and settings go to `folder`."""
    soak = Soak(seed, folder, nodes)
    await soak.start()
    try:
        await asyncio.sleep(SETTLE_S)
        end = time.monotonic() + seconds
        callers = [asyncio.create_task(soak.run_caller(n, end)) for n in range(12)]
        faults = []
        while time.monotonic() < end:
            faults.append(asyncio.create_task(soak.inject_fault()))
            if soak.partition_rng.random() < 0.3:
                faults.append(asyncio.create_task(soak.partition_server()))
            await asyncio.sleep(soak.rng.uniform(0.2, 1.2))
        await asyncio.gather(*callers)
        for task in faults:
            task.cancel()
        if soak.requests_served == 0:
            soak.checks.report(f"none of {soak.requests_sent} requests was answered with 200")
    finally:
        soak.kill_nodes()
    await end_leftover_tasks()
    return soak


async def end_leftover_tasks() -> None:
    """End all other tasks, and free their streams while the loop can still close them.

    The checks are done by then, so the errors of these tasks are ignored.
    """
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    leftover = asyncio.all_tasks() - {asyncio.current_task()}
    for task in leftover:
        task.cancel()
    if leftover:
        await asyncio.wait(leftover, timeout=2.0)
    for each in gc.get_objects():
        if isinstance(each, asyncio.StreamWriter):
            each.transport.abort()
    await asyncio.sleep(0.1)


def main() -> int:
    """Run a range of seeds; return 1 if any has a violation."""
    options = command_line(__doc__, "soak", 12.0).parse_args()
    return run_seeds(
        options, lambda seed, folder: run_soak(seed, folder, options.nodes, options.seconds)
    )


if __name__ == "__main__":
    sys.exit(main())
