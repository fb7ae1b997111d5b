"""HTTP/1.1 as the stand-ins write and read it."""

import asyncio
import json
import socket
import struct

READ_ERRORS = (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError)


async def read_request(reader):
    """Read a request: method, target, headers by lower-case name, body; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = parse_headers(lines)
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
    except READ_ERRORS:
        return None
    method, target, _ = first.split(" ", 2)
    return method, target, headers, body


def reset(writer):
    """Close a channel with a reset, and not in order."""
    if not writer.is_closing():
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def parse_headers(lines):
    """Return header values by lower-case name."""
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return {name.strip().lower(): value.strip() for name, value in pairs}


def encode_answer(status, body=b"", headers=()):
    """Encode an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_json(status, value, headers=()):
    """Encode an answer with a JSON body."""
    fields = (("Content-Type", "application/json"), *headers)
    return encode_answer(status, json.dumps(value).encode(), fields)
