"""HTTP/1.1 as far as the stand-ins need it: both sides of a channel, on asyncio streams."""

import asyncio
import contextlib
from dataclasses import dataclass, field

LOST = (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError)


@dataclass
class Request:
    """A request as a server reads it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """An answer as a client reads it; `complete` is False if its channel ended too early."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None at the end of the channel."""
    try:
        first, headers = _parse_head(await reader.readuntil(b"\r\n\r\n"))
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except LOST:
        return None
    method, target, _ = first.split(" ", 2)
    return Request(method, target, headers, body)


def encode_answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Encode an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Channel:
    """A client's channel to one address, for one request at a time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    @property
    def is_open(self) -> bool:
        """Whether the channel is open."""
        return self._streams is not None

    async def open(self) -> None:
        """Connect, unless the channel is open."""
        if self._streams is None:
            connecting = asyncio.open_connection(*self.address, limit=1 << 22)
            self._streams = await asyncio.wait_for(connecting, 1.0)

    async def send(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        """Send one request."""
        await self.open()
        assert self._streams is not None
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer = self._streams[1]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()

    async def receive(self, timeout_s: float) -> Answer:
        """Read the answer to the request that was sent; it may be incomplete."""
        answer = Answer()
        with contextlib.suppress(*LOST, TimeoutError):
            await asyncio.wait_for(self._receive(answer), timeout_s)
        if not answer.complete or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _receive(self, answer: Answer) -> None:
        assert self._streams is not None
        reader = self._streams[0]
        first, answer.headers = _parse_head(await reader.readuntil(b"\r\n\r\n"))
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        elif "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        else:
            answer.body = await reader.read()
            self.close()
        answer.complete = True

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Answer:
        """Send a request and read its answer; status 0 if there was none."""
        try:
            await self.send(method, target, headers, body)
        except (*LOST, TimeoutError):
            self.close()
            return Answer()
        return await self.receive(timeout_s)

    def close(self) -> None:
        """Close the channel; the next request opens a new one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
