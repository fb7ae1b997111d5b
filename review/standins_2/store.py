"""The platform's store: keyed topics, reads that wait for records, and the lease group."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from .wire import answer, read_message


class Store:
    """Records of all topics in one partition each, and one group for the planner's lease.

    Attributes
    ----------
    turned_away : set of str
        Names of the nodes whose calls get no answer; the others and the operator are served.
    """

    def __init__(self) -> None:
        self.turned_away: set[str] = set()
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._appended = asyncio.Event()
        self._members: dict[str, float] = {}
        self._seen: dict[str, int] = {}
        self._holder: str | None = None
        self._generation = 0
        self._servers: list[asyncio.Server] = []

    async def listen(self, node: str) -> int:
        """Listen for the calls of one node; return the port."""

        async def serve(reader, writer) -> None:
            try:
                await self._serve(node, reader, writer)
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; an empty value drops the key."""
        self._topics.setdefault(topic, []).append((key, value))
        self._appended.set()
        self._appended = asyncio.Event()

    async def _serve(self, node, reader, writer) -> None:
        while (request := await read_message(reader)) is not None:
            if node in self.turned_away:
                # A connection on which an answer is lost returns nothing further.
                while await reader.read(65_536):
                    pass
                return
            _, target, _ = request.first
            url = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            encoded = await self._handle(url.path, query, request.body)
            if node in self.turned_away:
                await reader.read()
                return
            writer.write(encoded)
            await writer.drain()

    async def _handle(self, path: str, query: dict[str, str], body: bytes) -> bytes:
        if path == "/log-join":
            return self._join(json.loads(body))
        if path == "/log-leave":
            self._members.pop(json.loads(body)["member"], None)
            self._deal()
            return answer(200, {}, b"{}")
        records = self._topics.setdefault(query["topic"], [])
        if path == "/log-append":
            offset = len(records)
            while body:
                (size,) = struct.unpack_from(">I", body)
                record, body = body[4 : 4 + size], body[4 + size :]
                key_end = 1 + record[0]
                self.put(query["topic"], record[1:key_end].decode(), record[key_end:])
            return _json({"offset": offset, "end": len(records)})
        if path == "/log-newest":
            newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
            entries = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in newest.items()
                if value
            ]
            return _json({"entries": entries, "hasMore": False, "end": len(records)})
        return await self._read(records, int(query["from"]), int(query.get("waitMs", 0)) / 1000)

    async def _read(self, records: list, start: int, wait_s: float) -> bytes:
        deadline = asyncio.get_running_loop().time() + wait_s
        while len(records) <= start:
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._appended.wait(), left_s)
            except TimeoutError:
                break
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            name = key.encode()
            data += struct.pack(">I", 1 + len(name) + len(value)) + bytes([len(name)])
            data += name + value
        return answer(200, {"Content-Type": "application/octet-stream"}, data)

    def _join(self, request: dict) -> bytes:
        now = asyncio.get_running_loop().time()
        expired = [name for name, ends_at in self._members.items() if ends_at <= now]
        for name in expired:
            del self._members[name]
        member = request["member"]
        is_new = member not in self._members
        self._members[member] = now + request["ttlMs"] / 1000
        if is_new or expired:
            self._deal()
        parts = [["planner", 0, 0]] if self._holder == member else []
        return _json({"generation": self._generation, "ttlMs": request["ttlMs"], "parts": parts})

    def _deal(self) -> None:
        """Give the only partition to a member; one that holds it keeps it."""
        self._generation += 1
        if self._holder not in self._members:
            self._holder = min(self._members, default=None)


def _json(value: object) -> bytes:
    return answer(200, {"Content-Type": "application/json"}, json.dumps(value).encode())
