"""Starts the project's nodes as processes of their own, and sends requests to them."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import traceback
from pathlib import Path

from .wire import READ_ERRORS, parse_headers

ROOT = Path(__file__).resolve().parents[2]
# The command of the deploy file.
COMMAND = ("python3", "-m", "briarpond.gateway")
PORTS_PER_NODE = 5
HOST = "shop.example"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
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
    """The case could not be run."""


def has_trouble():
    """Whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def _hosts(count):
    pid = os.getpid()
    return [f"127.{100 + pid // 250 % 100}.{pid % 250 + 1}.{number + 1}" for number in range(count)]


def _free_ports(hosts, count):
    """Return the first of so many ports in a row that are free on all hosts."""
    for base in range(21_000 + os.getpid() * 13 % 8_000, 31_000, count):
        try:
            with contextlib.ExitStack() as stack:
                for host in hosts:
                    for port in range(base, base + count):
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                            sock.bind((host, port))
            return base
        except OSError:
            continue
    raise CaseError("no free ports")


class Node:
    """One process of the project."""

    def __init__(self, number, host, base_port, store_port, folder, hosts):
        self.name, self.host, self.port = f"n{number}", host, base_port
        self._folder = folder
        self._base_port, self._store_port, self._hosts = base_port, store_port, hosts
        self.process = None
        self.bootstrap = True

    def settings(self):
        """Return its settings, as JSON, which is YAML too."""
        base = self._base_port
        return {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge", "dir", "ctl"],
            "ip": self.host,
            "zone": "z",
            "region": "r",
            "zones": {"z": "r"},
            "listen": {
                "frontend": f"{self.host}:{base}",
                "readiness": f"{self.host}:{base + 1}",
                "directory": f"{self.host}:{base + 2}",
                "control": f"{self.host}:{base + 3}",
            },
            "internalPorts": [base + 4, base + 4],
            "seeds": [f"{host}:{base + 3}" for host in self._hosts[:3]],
            "bootstrap": self.bootstrap,
            "limits": {"cpuShare": 1, "cores": 1, "memoryMb": 300, "maxFds": 4100},
            "contracts": [
                *("base", "drain", "config", "cost", "retry", "recover", "engine"),
                *("stream", "tenants", "platform", "gangs"),
            ],
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {
                "addr": f"127.0.0.1:{self._store_port}",
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 12,
                "keep_s": 300,
                "ttlMinMs": 1000,
            },
        }

    def start(self):
        """Start the process."""
        path = self._folder / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BRIARPOND_SETTINGS": str(path),
        }
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.bootstrap = False

    def signal(self, number):
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log_lines(self, *words):
        """Return the lines of its log that contain one of the words."""
        text = (self._folder / f"{self.name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if any(word in line for word in words)]


class Deployment:
    """The nodes of a case."""

    def __init__(self, count, store_port):
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        hosts = _hosts(count)
        base = _free_ports(hosts, PORTS_PER_NODE)
        self.nodes = [
            Node(number + 1, host, base, store_port, self.folder, hosts)
            for number, host in enumerate(hosts)
        ]

    async def wait_until_ready(self, timeout_s=20.0):
        """Wait until each node answers 200 on its readiness address."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        for node in self.nodes:
            while (await exchange(node.host, node.port + 1, b"GET /readyz", ())).status != 200:
                if asyncio.get_running_loop().time() > deadline:
                    raise CaseError(f"{node.name} isn't ready")
                await asyncio.sleep(0.1)

    def end(self):
        """End all processes."""
        for node in self.nodes:
            node.signal(signal.SIGKILL)
            if node.process is not None:
                node.process.wait(5)
        self._temporary.cleanup()


class Answer:
    """What a client got.

    Attributes
    ----------
    status : int
        Status; 0 if the channel ended without one.
    is_whole : bool
        Whether the answer is complete.
    """

    def __init__(self, status=0, headers=None, body=b"", is_whole=False):
        self.status, self.body, self.is_whole = status, body, is_whole
        self.headers = headers or {}


async def exchange(host, port, start, fields, body=b"", timeout_s=5.0):
    """Send one request on a channel of its own and return the answer."""
    writer = None
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"Host: {HOST}", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in fields]
            writer.write(start + b" HTTP/1.1\r\n" + "\r\n".join(lines).encode())
            writer.write(b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *rest = head.split("\r\n")
            answer.status, answer.headers = int(first.split(" ")[1]), parse_headers(rest)
            await _read_body(reader, answer)
    except (*READ_ERRORS, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_body(reader, answer):
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.is_whole = True
        return
    while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
    answer.is_whole = True


def run_case(main):
    """Run a case within its time and exit with its status."""

    async def limited():
        async with asyncio.timeout(110):
            return await main()

    try:
        status = asyncio.run(limited())
    except Exception:
        traceback.print_exc()
        status = EXIT_NOT_RUN
    sys.exit(status)
