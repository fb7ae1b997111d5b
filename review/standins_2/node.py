"""Processes of the system, started with the command of the deploy file, and calls to them."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from .record import Record
from .wire import Message, encode, read_body, read_head

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
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
    "retrySlack": 109,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stallMs": 4000,
    "fencing": True,
    "ceilingWindowS": 5,
    "ceilingFactor": 1.1,
    "ttl_max_s": 5,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def trouble() -> bool:
    """Whether the disruption is played; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(ip: str, count: int) -> list[int]:
    """Return consecutive ports below the range of outgoing connections that are free."""
    for _ in range(200):
        first = random.randrange(11_000, 31_000)
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((ip, port))
        except OSError:
            continue
        return list(range(first, first + count))
    raise RuntimeError("no free ports")


class Node:
    """One process of the role `gateway`.

    Parameters
    ----------
    number : int
        Number of the node, which gives its name and its address.
    ports : list of int
        Five ports, the same on all nodes.
    store_port : int
        Port at which the store listens for this node.
    seeds : list of str
        Addresses of other nodes.
    """

    def __init__(
        self, number: int, ports: list[int], store_port: int, seeds: list[str], record: Record
    ) -> None:
        self.name = f"edge-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.ports = ports
        self.process: subprocess.Popen | None = None
        self._store_port = store_port
        self._seeds = seeds
        self._record = record
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._starts = 0

    def start(self) -> None:
        """Start the process as the deploy file says."""
        settings = self._folder / "node.yaml"
        settings.write_text(json.dumps(self._settings(), indent=1))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env = kept | {"BRIARPOND_SETTINGS": str(settings), "PYTHONPATH": "target/deps"}
        output = (self._folder / "log").open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=output, stderr=output
        )
        self._starts += 1
        self._record.note("node", self.name, "started")

    def kill(self) -> None:
        """End the process at once and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def remove_files(self) -> None:
        """Remove the settings file and the log, once the process has ended."""
        shutil.rmtree(self._folder, ignore_errors=True)

    def log_text(self) -> str:
        """Return what the process has logged so far."""
        path = self._folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def _settings(self) -> dict[str, object]:
        frontend, readiness, control, directory, internal, *_ = self.ports
        return {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge", "dir", "ctl"],
            "ip": self.ip,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {
                "frontend": f"{self.ip}:{frontend}",
                "readiness": f"{self.ip}:{readiness}",
                "control": f"{self.ip}:{control}",
                "directory": f"{self.ip}:{directory}",
            },
            "internalPorts": [internal, internal + 3],
            "seeds": self._seeds,
            "bootstrap": self._starts == 0,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "dir",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine"]
            + ["stream", "tenants", "platform", "gangs"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "addr": f"127.0.0.1:{self._store_port}",
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 12,
                "appendMs": 2.0,
                "partMbS": 20.0,
                "readMbS": 80.0,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "keep_s": 300,
                "partMb": 200,
                "ttlMinMs": 1000,
            },
        }

    async def is_ready(self) -> bool:
        """Whether the readiness address answers 200."""
        try:
            got = await call(self.ip, self.ports[1], encode("GET /readyz HTTP/1.1", {"Host": "n"}))
        except (OSError, EOFError, TimeoutError):
            return False
        return got is not None and got.status == 200

    async def wait_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until the node is ready; return whether it is."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def call(ip: str, port: int, data: bytes, timeout_s: float = 2.0) -> Message | None:
    """Send a request on a new connection; return the whole answer, None if there is none."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), timeout_s)
    try:
        writer.write(data)
        return await asyncio.wait_for(_read_answer(reader), timeout_s)
    finally:
        writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> Message | None:
    head = await read_head(reader)
    if head is None:
        return None
    try:
        return Message(*head, await read_body(reader, head[1]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class Client:
    """Sends requests to a node, each on a new connection, and records the answers.

    Attributes
    ----------
    sent_at : dict of float
        Time at which each request was sent, by its id.
    answered_at : dict of float
        Time of each whole answer, by the id of the request.
    answers : dict of Message
        The whole answers, by the id of the request.
    """

    def __init__(self, record: Record, key: str | None = "key-a") -> None:
        self.sent_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.answers: dict[str, Message] = {}
        self._record = record
        self._key = key
        self._count = 0
        # A prefix of its own for each run, so that ids of two runs differ.
        self._prefix = f"{random.randrange(16**8):08x}"

    async def ask(
        self,
        node: Node,
        path: str,
        deadline_ms: int,
        headers: dict[str, object] | None = None,
        method: str = "POST",
        body: bytes = b"x" * 100,
    ) -> tuple[str, int]:
        """Send a request; return its id and the status, 0 if the answer is not whole."""
        self._count += 1
        request_id = f"{self._prefix}{self._count:08x}"
        fields: dict[str, object] = {
            "Host": HOST,
            "X-Briarpond-Request-Id": request_id,
            "X-Briarpond-Deadline-Ms": deadline_ms,
        }
        if self._key is not None:
            fields["Authorization"] = f"Bearer {self._key}"
        data = encode(f"{method} {path} HTTP/1.1", fields | (headers or {}), body)
        self._record.note("sent", request_id, node.name, path)
        self.sent_at[request_id] = time.monotonic()
        try:
            got = await call(node.ip, node.ports[0], data, deadline_ms / 1000 + 0.5)
        except (OSError, TimeoutError):
            got = None
        if got is not None:
            self.answered_at[request_id] = time.monotonic()
            self.answers[request_id] = got
        status = 0 if got is None else got.status
        self._record.note("answered", request_id, status)
        return request_id, status
