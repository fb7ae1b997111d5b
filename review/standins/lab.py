"""One case: the store, the servers, the nodes as processes, callers, and what was recorded."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from .servers import Server
from .store import Store
from .wire import Answer, Channel

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("hobart-a", "glenorchy-b", "kingston-c")
HOST = "shop.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
# A case is ended after this time, in seconds.
LONGEST_S = 115
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "backMs": 250,
    "outerMs": 5000,
    "revokeStrict": True,
    "revokeMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 107,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stallMs": 4000,
    "fencing": True,
    "ceilingWindowS": 5,
    "ceilingFactor": 1.1,
    "ttl_max_s": 5,
}


class CaseError(Exception):
    """The case could not run: a precondition was not reached."""


class Node:
    """One gateway process."""

    def __init__(self, lab: "Lab", number: int) -> None:
        self.lab = lab
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"edge-{self.zone}-{number + 1}"
        self.ip = f"127.0.7.{number + 1}"
        self.settings_path = lab.folder / f"{self.name}.yaml"
        self.process: subprocess.Popen | None = None
        self.store_port = 0

    @property
    def caller_address(self) -> tuple[str, int]:
        """Where callers connect."""
        return self.ip, self.lab.base_port

    def write_settings(self, bootstrap: bool) -> None:
        """Write the settings file; JSON is YAML too."""
        port = self.lab.base_port
        seeds = [f"{node.ip}:{port + 3}" for node in self.lab.nodes[:3]]
        settings = {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge", "dir", "ctl"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "tas-south",
            "zones": dict.fromkeys(ZONES, "tas-south"),
            "listen": {
                "frontend": f"{self.ip}:{port}",
                "readiness": f"{self.ip}:{port + 1}",
                "directory": f"{self.ip}:{port + 2}",
                "control": f"{self.ip}:{port + 3}",
            },
            "internalPorts": [port + 4, port + 9],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "countsAsLoss": False,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "dataDir": None,
            "bounds": BOUNDS,
            "platform": {
                "addr": f"127.0.0.1:{self.store_port}",
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 12,
                "keep_s": self.lab.store.keep_s,
                "ttlMinMs": 1000,
            },
        }
        self.settings_path.write_text(json.dumps(settings))

    def start(self, bootstrap: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings(bootstrap)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {
            "BRIARPOND_SETTINGS": str(self.settings_path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.lab.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "briarpond.gateway"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.lab.record(f"node {self.name} started")

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.running:
            self.process.send_signal(number)
            self.lab.record(f"node {self.name} got {number.name}")

    async def ready(self) -> bool:
        """Ask the readiness address once."""
        channel = Channel((self.ip, self.lab.base_port + 1))
        answer = await channel.call("GET", "/readyz", {"Host": "x"}, timeout_s=1.0)
        channel.close()
        return answer.status == 200

    async def lookup(self) -> list[str]:
        """Ask the directory of this node where to connect."""
        channel = Channel((self.ip, self.lab.base_port + 2))
        target = f"/lookup?name={HOST}&region=tas-south&zone={self.zone}"
        answer = await channel.call("GET", target, {"Host": "x"}, timeout_s=1.0)
        channel.close()
        return json.loads(answer.body)["addresses"] if answer.status == 200 else []

    def log_lines(self, *words: str) -> list[str]:
        """Return the lines of the process's log that hold all of `words`."""
        text = (self.lab.folder / f"{self.name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if all(word in line for word in words)]


class Lab:
    """Everything of one case; `record` notes what happens, with seconds since the start."""

    def __init__(self, case: Path, node_count: int, keep_s: float = 20.0) -> None:
        self.case = case
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.rng = random.Random(1)
        self.started_at = time.monotonic()
        self.lines: list[str] = []
        self.folder = Path(tempfile.mkdtemp(prefix="briarpond-review-"))
        self.store = Store(self.record, keep_s)
        self.servers: dict[str, Server] = {}
        self.nodes: list[Node] = []
        self.base_port = _free_ports([f"127.0.7.{number + 1}" for number in range(node_count)])
        self.nodes = [Node(self, number) for number in range(node_count)]
        self.runs: list[tuple[float, str, str, str]] = []
        self.ready_members: set[tuple[str, int, str]] = set()
        self.sent: dict[str, float] = {}
        # From which event on the next stream is spoiled; None for none.
        self.spoil_next_from: int | None = None
        # Part of a prompt that ends each server that begins an answer on it; empty for none.
        self.deadly_part = ""
        self.crashes: list[float] = []
        # Joins that servers took while the head of their group was in use.
        self.double_joins: list[str] = []
        self.watch_ready = None
        self._request_numbers = iter(range(1, 10_000_000))

    def record(self, text: str) -> None:
        """Note a line."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    # What the servers see

    def on_run(self, server: Server, request, request_id: str) -> None:
        """Note that a server begins to run a request."""
        self.runs.append((time.monotonic(), server.id, request_id, request.target))
        self.record(f"run {request_id} at {server.id} {request.target}")

    def on_crash(self, server: Server) -> None:
        """Note that a server has crashed."""
        self.crashes.append(time.monotonic())
        self.record(f"crash of {server.id}")

    def on_join(self, server: Server, order: dict) -> None:
        """Note that a server takes a join, and whether its present group is in use."""
        self.record(f"join {server.id} {order['group']} {order['members']}")
        if server.group is None:
            return
        head = self.servers[server.group["members"][0]]
        in_use = head.group == server.group and head.group_state in ("open", "closing")
        if in_use and head.address:
            name, state = server.group["group"], head.group_state
            self.double_joins.append(f"{server.id} takes {order['group']}, {name} is {state}")
            self.record(self.double_joins[-1])

    def on_ready(self, server: Server, order: dict) -> None:
        """Note that a member is ready."""
        self.record(f"ready {server.id} {order['group']}")
        if self.watch_ready is not None:
            self.watch_ready(server, order)
        self.ready_members.add((order["group"], order["epoch"], server.id))

    # Set-up

    async def add_server(self, service: str, zone: str, domain: str | None = None) -> Server:
        """Start a server."""
        server = Server(self, service, zone, domain)
        self.servers[server.id] = server
        await server.start()
        return server

    async def start_nodes(self) -> None:
        """Start all nodes and wait until they are ready."""
        for node in self.nodes:
            node.store_port = await self.store.listen(node.name)
        for node in self.nodes:
            node.start(bootstrap=True)
        await self.wait_for(self._all_ready, 20.0, "all nodes ready")

    async def _all_ready(self) -> bool:
        return all([await node.ready() for node in self.nodes])

    async def wait_for(self, check, timeout_s: float, what: str) -> None:
        """Wait until `check` holds; end the case with 2 if it does not in time."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await check():
                self.record(f"reached: {what}")
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"not reached within {timeout_s} s: {what}")

    # Callers

    def headers(self, **more: str) -> dict[str, str]:
        """Return the headers of a new client attempt."""
        headers = {
            "Host": HOST,
            "X-Briarpond-Request-Id": f"q{next(self._request_numbers):06d}",
            "X-Briarpond-Deadline-Ms": "1000",
            "Authorization": f"Bearer {KEY}",
        }
        return headers | {name.replace("_", "-"): value for name, value in more.items()}

    async def call(
        self,
        channel: Channel,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 3.0,
    ) -> tuple[str, Answer]:
        """Send one client attempt on a channel; return its id and the answer."""
        headers = headers or self.headers()
        request_id = headers["X-Briarpond-Request-Id"]
        self.sent[request_id] = time.monotonic()
        self.record(f"sent {request_id} {method} {path} to {channel.address[0]}")
        answer = await channel.call(method, path, headers, body, timeout_s)
        self.record(f"answered {request_id} status={answer.status} complete={answer.complete}")
        return request_id, answer

    # End

    def stop(self) -> None:
        """End all processes that this case started."""
        for node in self.nodes:
            if node.running:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()

    def write_record(self, verdict: str) -> None:
        """Write what was recorded into the folder of the case."""
        text = "\n".join([f"TROUBLE={int(self.trouble)}: {verdict}", *self.lines])
        (self.case / "record.txt").write_text(text + "\n")


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def route(name: str, kind: str, service: str, **more) -> dict:
    """Return a route under the path of its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "service": service,
        "timeoutMs": 1000,
        "goalMs": 145,
        "priority": 2,
        "maxAttempts": 1,
        "public": False,
    } | more


def plain_service(name: str) -> dict:
    """Return a service of plain servers."""
    return {"name": name, "healthPath": "/healthz", "maxConns": 110}


def model_service(name: str, size: int = 2) -> dict:
    """Return a service whose servers form groups of `size`."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 278,
        "engine": {
            "slots": 9,
            "kvCapacity": 984705,
            "models": [
                {"name": "m1", "size": size, "share": 1.0, "pace": 0.6, "loadS": 12.0, "warmS": 1.1}
            ],
            "step_ms": 7.8,
            "read_per_s": 45900.0,
            "loadsPerS": 5.0,
            "loads_at_once": 7,
            "usual": {"prompt": 979, "answer": 154},
            "formMs": 300.0,
        },
    }


def run_case(lab: Lab, play) -> None:
    """Play a case, write its record, end its processes and exit.

    `play` returns a message if the rule was broken, and None if it held.
    """
    signal.signal(signal.SIGALRM, lambda *_: _give_up(lab))
    signal.alarm(LONGEST_S)
    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(play(lab))
        status = HELD if broken is None else BROKEN
        verdict = "held" if broken is None else f"broken: {broken}"
    except (CaseError, TimeoutError, OSError) as exc:
        status, verdict = NOT_RUN, f"not run: {exc!r}"
    finally:
        lab.stop()
    lab.write_record(verdict)
    print(verdict, flush=True)
    with contextlib.suppress(OSError):
        for path in lab.folder.iterdir():
            if os.environ.get("KEEP_LOGS") != "1":
                path.unlink()
        lab.folder.rmdir()
    # Without the interpreter's clean-up, which complains of channels that are still open.
    os._exit(status)


def _give_up(lab: Lab) -> None:
    """End a case that takes too long."""
    lab.stop()
    lab.write_record("not run: took too long")
    os._exit(NOT_RUN)


def _free_ports(hosts: list[str]) -> int:
    """Return the first of ten ports that are free at all hosts."""
    for base in range(21_000 + os.getpid() * 10 % 8_000, 32_000, 10):
        if all(_is_free(host, base + number) for host in hosts for number in range(10)):
            return base
    raise CaseError("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
