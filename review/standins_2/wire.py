"""HTTP/1.1 as the stand-ins read and write it."""

import asyncio


class Message:
    """A request or an answer.

    Attributes
    ----------
    first : list of str
        The words of the first line.
    headers : dict of str
        Names in lower case, with their last values.
    body : bytes
        The whole body.
    """

    def __init__(self, first: list[str], headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]] | None:
    """Read the first line and the headers; None if the connection ends before."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.split(" ", 2), headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = bytearray()
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return bytes(body)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; None if the connection ends before."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        return Message(*head, await read_body(reader, head[1]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def encode(first: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Encode a message whose body has a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def answer(status: int, headers: dict[str, object] | None = None, body: bytes = b"") -> bytes:
    """Encode an answer whose body has a length."""
    return encode(f"HTTP/1.1 {status} X", headers or {}, body)
