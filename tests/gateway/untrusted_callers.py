"""A real node with little memory, and crowds of callers that don't keep to the limits."""

import asyncio
import contextlib
import fcntl
import json
import os
import selectors
import socket
import tempfile
import time
from pathlib import Path

from ..platform_samples import CONFIG
from ..soak.run import Node, Soak
from ..soak.standins import BackendServer

# Memory of the node's machine in its settings, and the bounds that follow from it: the process
# must stay below it, and of the callers that stall no more may stay than have room for a whole
# body in a quarter of it.
MEMORY_MB = 128
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_STALLED_CALLERS = MEMORY_MB * 1024 * 1024 // 4 // MAX_BODY_BYTES
IDLE_TIMEOUT_MS = 2_000
# Descriptors of a node beyond those at rest: connections to the store and to servers.
SPARE_DESCRIPTORS = 8
# A crowd that is still sending is left at it after this time.
CROWD_S = 12.0
# After this time without an answer a caller gives up; bounds a test that would never end.
PATIENCE_S = 15.0
RELEASE_TIMEOUT_S = 60.0
HEAD = (
    b"POST /idempotent/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-a\r\n"
    b"X-Briarpond-Request-Id: %b\r\nX-Briarpond-Deadline-Ms: 20000\r\n"
)


def announced(length: int, sent: int) -> bytes:
    """Return a request that announces `length` bytes of body and has `sent` of them."""
    return HEAD % b"crowd" + b"Content-Length: %d\r\n\r\n" % length + bytes(sent)


def chunked(body_bytes: int, chunk_bytes: int) -> bytes:
    """Return a request with a body in chunks of `chunk_bytes`, without its last chunk."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    head = HEAD % b"crowd" + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + chunk * (body_bytes // chunk_bytes)


@contextlib.contextmanager
def alone():
    """Keep other tests with a crowd, of this run or another one, from running meanwhile."""
    with (Path(tempfile.gettempdir()) / "briarpond-crowd.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


class Crowd:
    """Callers that all send the same bytes, and then keep their connections open.

    Parameters
    ----------
    data : bytes
        What each sends.
    piece_bytes : int
        Most bytes that one sends before it is another one's turn.
    """

    def __init__(self, address: tuple[str, int], size: int, data: bytes, piece_bytes: int) -> None:
        self._data = memoryview(data)
        self._piece_bytes = piece_bytes
        self._sent = {self._connect(address): 0 for _ in range(size)}

    @staticmethod
    def _connect(address: tuple[str, int]) -> socket.socket:
        sock = socket.create_connection(address, timeout=PATIENCE_S)
        sock.setblocking(False)
        return sock

    def send(self) -> None:
        """Send until all is sent or refused, at most for `CROWD_S`."""
        deadline = time.monotonic() + CROWD_S
        with selectors.DefaultSelector() as selector:
            for sock in self._sent:
                selector.register(sock, selectors.EVENT_WRITE)
            while selector.get_map() and time.monotonic() < deadline:
                for key, _ in selector.select(0.5):
                    if not self._send_piece(key.fileobj):
                        selector.unregister(key.fileobj)

    def _send_piece(self, sock: socket.socket) -> bool:
        """Send one piece; return whether there is more to be sent."""
        at = self._sent[sock]
        try:
            self._sent[sock] += sock.send(self._data[at : at + self._piece_bytes])
        except BlockingIOError:
            return True
        except OSError:
            return False
        return self._sent[sock] < len(self._data)

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sent:
            sock.close()


class SmallNode(Node):
    """A node on a machine with little memory."""

    def settings_text(self, platform_port: int, first_start: bool) -> str:
        settings = json.loads(super().settings_text(platform_port, first_start))
        settings["limits"] = {"memoryMb": MEMORY_MB, "maxFds": 4100}
        return json.dumps(settings)


class PlainServer(BackendServer):
    """A server that answers each request with the size of its body."""

    async def handle_request(self, request, reader, writer) -> None:
        _, _, headers, body = request
        writer.write(self.stamped_answer(headers, b"%d bytes" % len(body)))


class CrowdedNode(Soak):
    """One real node in front of one server."""

    async def start(self) -> None:
        """Start store, server and node, and wait until the node answers."""
        listener = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = listener.sockets[0].getsockname()[1]
        server = self.servers["desk"] = PlainServer(self, "desk")
        await server.start()
        self.config_version = 1
        self.publish_config()
        self.node = SmallNode(self, 1)
        # An address of its own: ports of soaks that run at the same time may be the same.
        self.node.ip = f"127.11.{os.getpid() // 256 % 256}.{os.getpid() % 256}"
        self.nodes = [self.node]
        await self.node.start()
        deadline = time.monotonic() + RELEASE_TIMEOUT_S
        while b" 200 " not in await self.ask(b"small"):
            assert time.monotonic() < deadline, "the node does not answer"
            await asyncio.sleep(0.1)
        self.descriptors_at_rest = self.open_descriptors()

    def publish_config(self) -> None:
        """Publish one route to the server, and the limits on callers."""
        route = {**CONFIG["routes"][2], "pathPrefix": "/idempotent/", "public": False}
        route["timeoutMs"] = 20_000
        limits = {
            **CONFIG["limits"],
            "maxBodyBytes": MAX_BODY_BYTES,
            "idleTimeoutMs": IDLE_TIMEOUT_MS,
        }
        document = {**CONFIG, "version": self.config_version, "routes": [route], "limits": limits}
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    @property
    def address(self) -> tuple[str, int]:
        """Where callers connect."""
        return self.node.ip, self.base_port

    async def ask(self, body: bytes) -> bytes:
        """Send one ordinary request; return what was received, nothing if there is no answer.

        A request that is refused with status 503 has not run, and is sent again.
        """
        deadline = time.monotonic() + PATIENCE_S
        received = await asyncio.to_thread(self._ask, body)
        while received.startswith(b"HTTP/1.1 503 ") and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            received = await asyncio.to_thread(self._ask, body)
        return received

    def _ask(self, body: bytes) -> bytes:
        received = b""
        head = HEAD % b"ordinary" + b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(body)
        with (
            contextlib.suppress(OSError),
            socket.create_connection(self.address, timeout=PATIENCE_S) as sock,
        ):
            sock.sendall(head + body)
            while data := sock.recv(65_536):
                received += data
        return received

    def peak_memory_bytes(self) -> int:
        """Return the most memory that the process has had resident."""
        status = Path(f"/proc/{self.node.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    def open_descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.node.process.pid}/fd"))

    def check_memory(self) -> None:
        """Check that the process runs, and has always been within the memory of its machine."""
        assert self.node.running, "the process has ended"
        peak_mb = self.peak_memory_bytes() / (1024 * 1024)
        assert peak_mb < MEMORY_MB, f"{peak_mb:.0f} MB resident"

    async def wait_for_release(self) -> None:
        """Wait until no more descriptors are open than callers may stall at the node."""
        most = self.descriptors_at_rest + MAX_STALLED_CALLERS + SPARE_DESCRIPTORS
        deadline = time.monotonic() + RELEASE_TIMEOUT_S
        while self.open_descriptors() > most:
            self.check_memory()
            assert time.monotonic() < deadline, f"{self.open_descriptors()} descriptors, not {most}"
            await asyncio.sleep(0.1)
