"""Randomized soak: real gateways as processes, faults from outside, checks while it runs.

python -m tests.soak.run --seeds 50 --seconds 12 --nodes 4
"""

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

from ..platform_samples import CONFIG
from .proxy import Fault, Proxy
from .standins import Checks, Server, Store

ROOT = Path(__file__).resolve().parents[2]
SETTLE_S = 6.0


class Node:
    """One gateway process with a proxy of its own towards the store."""

    def __init__(self, world, number: int) -> None:
        self.world = world
        self.ip = f"127.0.7.{number}"
        self.name = f"n{number}"
        self.path = world.folder / f"{self.name}.yaml"
        self.proxy = Proxy(world.store_port)
        self.store_port: int | None = None
        self.process: subprocess.Popen | None = None
        self.stopping = False

    async def start(self) -> None:
        first_start = self.store_port is None
        if self.store_port is None:
            self.store_port = await self.proxy.start()
        self.path.write_text(self.settings(self.store_port, first_start))
        log = (self.world.folder / f"{self.name}.log").open("ab")
        env = {**os.environ, "BRIARPOND_SETTINGS": str(self.path), "PYTHONPATH": str(ROOT)}
        command = [sys.executable, "-m", "briarpond.gateway"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.stopping = False

    def settings(self, port: int, first_start: bool) -> str:
        bounds = {"graceS": 8, "drainMs": 2000, "revokeMs": 5000, "stallMs": 1000}
        return json.dumps(
            {
                "nodeName": self.name,
                "bootstrap": first_start,
                "ip": self.ip,
                "zone": "z",
                "listen": {
                    "frontend": f"{self.ip}:{self.world.base}",
                    "readiness": f"{self.ip}:{self.world.base + 1}",
                    "directory": f"{self.ip}:{self.world.base + 2}",
                },
                "internalPorts": [self.world.base + 3, self.world.base + 9],
                "platform": {"addr": f"127.0.0.1:{port}", "parts": 1, "ttlMinMs": 1000},
                "bounds": bounds,
            }
        )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def catches_stop(self) -> bool:
        """Whether the process has a handler for the signal to stop, as the kernel says."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt"))
        return bool(int(caught.split()[1], 16) & 1 << (signal.SIGTERM - 1))

    def signal(self, number: int) -> None:
        if self.running:
            self.process.send_signal(number)


class World:
    """Everything of one seed."""

    def __init__(self, seed: int, folder: Path, nodes: int) -> None:
        self.rng = random.Random(seed)
        # Apart, so that older seeds keep their series of faults.
        self.silences = random.Random(seed + 1_000_000)
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.base = 20_000 + (os.getpid() * 7 + seed * 13) % 9_000
        self.checks = Checks()
        self.store = Store(self.rng)
        self.servers: dict[str, Server] = {}
        self.ready_seen: set = set()
        self.sizes = {"big": 4, "small": 2}
        self.count = nodes
        self.served = 0
        self.asked = 0

    def later(self, delay: float, call) -> None:
        asyncio.get_event_loop().call_later(delay, call)

    async def start(self) -> None:
        listener = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = listener.sockets[0].getsockname()[1]
        for number in range(14):
            await self.add_server("pool", f"d{number // 7}")
        for _ in range(3):
            await self.add_server("desk")
        self.version = 1
        self.configure()
        self.nodes = [Node(self, number + 1) for number in range(self.count)]
        for node in self.nodes:
            await node.start()

    async def add_server(self, service: str, domain: str | None = None) -> None:
        server = Server(self, service, domain)
        self.servers[server.id] = server
        await server.start()

    def configure(self) -> None:
        plan = {**CONFIG["routes"][0], "split": [], "service": "pool", "pathPrefix": "/stream/"}
        once = {**CONFIG["routes"][1], "pathPrefix": "/once/"}
        again = {**CONFIG["routes"][2], "pathPrefix": "/again/", "public": False}
        services = json.loads(json.dumps(CONFIG["services"]))
        services[0]["engine"]["formMs"] = 50.0
        for model in services[0]["engine"]["models"]:
            model["loadS"], model["warmS"] = 0.3, 0.1
        document = {**CONFIG, "version": self.version, "routes": [plan, once, again]}
        document["services"] = services
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.version += self.rng.randint(1, 4)

    async def fault(self) -> None:
        """Do one thing from outside; several overlap."""
        rng = self.rng
        node = rng.choice(self.nodes)
        pause = rng.uniform(0.2, 2.5)
        match rng.randrange(9):
            case 0:
                node.signal(signal.SIGKILL)
                await asyncio.sleep(pause)
                await self.restart(node)
            case 1:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(pause)
                node.signal(signal.SIGCONT)
            case 2:
                await self.stop_gracefully(node)
            case 3:
                node.proxy.fault = rng.choice(list(Fault)[1:])
                await asyncio.sleep(pause * 2)
                node.proxy.fault = Fault.NONE
            case 4:
                node.proxy.reset_all()
            case 5:
                self.store.mode = rng.choice(["silent", "reset", "busy", "lost"])
                await asyncio.sleep(pause)
                self.store.mode = "good"
            case 6:
                await self.replace_server("pool")
            case 7:
                await self.replace_server("desk")
            case 8:
                self.configure()

    async def restart(self, node: Node) -> None:
        if not node.running:
            await node.start()

    async def stop_gracefully(self, node: Node) -> None:
        if node.stopping or not node.running:
            return
        # Until the interpreter runs our first line, the signal ends it as it ends any.
        node.stopping = True
        while node.running and not node.catches_stop():
            await asyncio.sleep(0.01)
        began = time.monotonic()
        process = node.process
        node.signal(signal.SIGTERM)
        while process.poll() is None and time.monotonic() - began < 14:
            await asyncio.sleep(0.1)
        if process.poll() not in (0, -signal.SIGKILL):
            self.checks.note(f"STOP of {node.name} ended with {process.poll()}")
        await self.restart(node)

    async def replace_server(self, service: str) -> None:
        living = [s for s in self.servers.values() if s.alive and s.service == service]
        victim = self.rng.choice(living)
        victim.crash()
        await asyncio.sleep(0.3)
        await self.add_server(service, victim.domain)

    async def silence_server(self) -> None:
        """Cut a server that lives on from all nodes; often the head of a group."""
        rng = self.silences
        living = [s for s in self.servers.values() if s.alive and s.service == "pool"]
        heads = [s for s in living if s.state == "open"]
        server = rng.choice(heads if heads and rng.random() < 0.7 else living)
        server.silent = True
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        server.silent = False

    async def client(self, number: int, end: float) -> None:
        count = 0
        while time.monotonic() < end:
            count += 1
            kind = self.rng.choice(["once", "again", "stream"])
            request_id = f"c{number}.{count}"
            self.checks.sent[request_id] = kind
            node = self.rng.choice(self.nodes)
            self.asked += 1
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.wait_for(self.ask(node, kind, request_id), 5.0)
            await asyncio.sleep(self.rng.uniform(0.01, 0.06))

    async def ask(self, node: Node, kind: str, request_id: str) -> None:
        reader, writer = await asyncio.open_connection(node.ip, self.base)
        try:
            body = request_id.encode()
            lines = [
                f"POST /{kind}/x HTTP/1.1",
                "Host: shop.example",
                "Authorization: Bearer key-a",
                f"Content-Length: {len(body)}",
                f"X-Briarpond-Request-Id: {request_id}",
                "X-Briarpond-Deadline-Ms: 3000",
                "X-Briarpond-Model: " + self.rng.choice(["big", "small"]),
                "X-Briarpond-Token-Usage: 500,50",
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            data = await self.read_body(reader, head)
            self.judge(kind, request_id, head, data)
        finally:
            writer.transport.abort()

    async def read_body(self, reader, head: str) -> bytes:
        if "content-length" in head.lower():
            length = int(head.lower().split("content-length:")[1].split("\r\n")[0])
            return await reader.readexactly(length)
        data = b""
        while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
            data += await reader.readexactly(size)
            await reader.readexactly(2)
        return data

    def judge(self, kind: str, request_id: str, head: str, data: bytes) -> None:
        status = int(head.split(" ")[1])
        if status in (401, 403, 404):
            self.checks.note(f"DENIED {request_id} {status}")
        if status in (408, 421, 429, 503):
            self.checks.told_not_run.add(request_id)
            if kind == "once" and self.checks.runs.get(request_id):
                self.checks.note(f"REFUSED after it ran {request_id}")
        if status != 200:
            return
        self.served += 1
        if kind == "stream":
            events = [f"id: {n}\ndata: {request_id}\n\n" for n in range(1, 11)]
            wanted = "".join(events).encode()
        else:
            wanted = b"done " + request_id.encode()
        if data != wanted:
            self.checks.note(f"MIXED {request_id} {data[:80]!r}")

    def end(self) -> None:
        for node in self.nodes:
            if node.running:
                node.signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()


async def soak(seed: int, folder: Path, nodes: int, seconds: float) -> World:
    """Play one seed."""
    world = World(seed, folder, nodes)
    await world.start()
    try:
        await asyncio.sleep(SETTLE_S)
        end = time.monotonic() + seconds
        clients = [asyncio.create_task(world.client(n, end)) for n in range(12)]
        faults = []
        while time.monotonic() < end:
            faults.append(asyncio.create_task(world.fault()))
            if world.silences.random() < 0.3:
                faults.append(asyncio.create_task(world.silence_server()))
            await asyncio.sleep(world.rng.uniform(0.2, 1.2))
        await asyncio.gather(*clients)
        for task in faults:
            task.cancel()
        if world.served == 0:
            world.checks.note(f"NOTHING of {world.asked} requests was served")
    finally:
        world.end()
    # What is still open ends with the loop; the checks are done.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    return world


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--folder", type=Path, default=ROOT / "build" / "soak")
    args = parser.parse_args()
    failed = 0
    for seed in range(args.first, args.first + args.seeds):
        folder = args.folder / f"seed-{seed}-{os.getpid()}"
        world = asyncio.run(soak(seed, folder, args.nodes, args.seconds))
        failed += bool(world.checks.problems)
        print(f"seed {seed}: {world.served} of {world.asked} served", flush=True)
        for problem in world.checks.problems[:10]:
            print(f"  {problem}; logs in {folder}", flush=True)
    print(f"{args.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
