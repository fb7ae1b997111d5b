"""The platform's metadata store: logs, keyed topics, long reads and one group of members."""

import asyncio
import base64
import contextlib
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

from .wire import Request, encode_answer, read_request

# Longest time that a read may wait, in seconds.
MAX_WAIT_S = 30.0
# Largest page of the newest records.
PAGE_ENTRIES = 500
PAGE_BYTES = 1_000_000
# How long each read and each call takes at least, in seconds.
ANSWER_S = 0.004


class Topic:
    """One partition: its records with the times of their appends, and the newest of each key."""

    def __init__(self) -> None:
        self.records: list[tuple[float, str, bytes]] = []
        self.first = 0
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset that the next record will get."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Add a record, wake the reads that wait and return its offset."""
        offset = self.end
        self.records.append((time.monotonic(), key, value))
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, keep_s: float) -> None:
        """Delete the records that are older than `keep_s`."""
        limit = time.monotonic() - keep_s
        count = 0
        while count < len(self.records) and self.records[count][0] < limit:
            count += 1
        del self.records[:count]
        self.first += count


class Store:
    """The store; each node reaches it at a port of its own, so that one can be cut off.

    Attributes
    ----------
    keep_s : float
        How long records are kept.
    refused : set of str
        Nodes that the store turns away with 503.
    holder : str or None
        Member that has partition 0 of the group.
    """

    def __init__(self, record, keep_s: float = 20.0) -> None:
        self.record = record
        self.keep_s = keep_s
        self.topics: dict[str, Topic] = {}
        self.refused: set[str] = set()
        self.members: dict[str, float] = {}
        self.generation = 0
        self.holder: str | None = None

    async def listen(self, node: str) -> int:
        """Open a port for a node and return it."""

        async def serve(reader, writer) -> None:
            await self._serve(node, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> float:
        """Append a record of a keyed topic; return the time of the ack."""
        self.topic(topic).append(key, value)
        return time.monotonic()

    def put_config(self, config: dict) -> float:
        """Write a configuration, as the operator does; return the time of the ack."""
        return self.put("keyed.op", "config", json.dumps(config).encode())

    @property
    def holder_node(self) -> str | None:
        """Name of the node that holds partition 0 of the group at present."""
        self._expire_members()
        return None if self.holder is None else self.holder.rsplit(".", 1)[0]

    @property
    def member_nodes(self) -> set[str]:
        """Names of the nodes that are members of the group at present."""
        self._expire_members()
        return {member.rsplit(".", 1)[0] for member in self.members}

    async def _serve(self, node: str, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                if node in self.refused:
                    writer.write(encode_answer(503))
                else:
                    writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Request) -> bytes:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match url.path:
            case "/log-join":
                return self._join(json.loads(request.body))
            case "/log-leave":
                return self._leave(json.loads(request.body))
            case "/log-append":
                return self._append(query["topic"], request.body)
            case "/log-newest":
                return self._newest(query["topic"], query.get("after"))
            case "/log-read":
                return await self._read(query)
        return encode_answer(404)

    def _append(self, name: str, body: bytes) -> bytes:
        if name in ("keyed.op", "keyed.servers"):
            return encode_answer(403)
        topic = self.topic(name)
        offset, position = topic.end, 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            key_size = content[0]
            topic.append(content[1 : 1 + key_size].decode(), content[1 + key_size :])
            position += 4 + length
        return _json_answer({"offset": offset, "end": topic.end})

    def _newest(self, name: str, after: str | None) -> bytes:
        topic = self.topic(name)
        keys = sorted(key for key in topic.newest if after is None or key > after)
        entries, size = [], 0
        for key in keys:
            value, offset = topic.newest[key]
            if len(entries) == PAGE_ENTRIES or size + len(value) > PAGE_BYTES:
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            entries.append({"key": key, "value": text, "offset": offset})
        has_more = len(entries) < len(keys)
        return _json_answer({"entries": entries, "hasMore": has_more, "end": topic.end})

    async def _read(self, query: dict[str, str]) -> bytes:
        topic = self.topic(query["topic"])
        start, max_size = int(query["from"]), int(query.get("maxSize", 1024))
        wait_s = min(MAX_WAIT_S, int(query.get("waitMs", 0)) / 1000)
        deadline = time.monotonic() + wait_s
        while topic.end <= start and (left_s := deadline - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), left_s)
        topic.expire(self.keep_s)
        if start < topic.first:
            return _json_answer({"first": topic.first}, 410)
        data = bytearray(struct.pack(">QQ", topic.end, topic.first))
        for _, key, value in topic.records[start - topic.first :]:
            content = bytes([len(key.encode())]) + key.encode() + value
            if len(data) > 16 and len(data) + 4 + len(content) > max_size:
                break
            data += struct.pack(">I", len(content)) + content
        return encode_answer(200, bytes(data))

    def _join(self, body: dict) -> bytes:
        self._expire_members()
        if body["member"] not in self.members:
            self._change_members({*self.members, body["member"]})
        self.members[body["member"]] = time.monotonic() + body["ttlMs"] / 1000
        parts = [[body["topics"][0], 0, 0]] if self.holder == body["member"] else []
        return _json_answer({"generation": self.generation, "parts": parts})

    def _leave(self, body: dict) -> bytes:
        if body["member"] in self.members:
            self._change_members({*self.members} - {body["member"]})
        return _json_answer({})

    def _expire_members(self) -> None:
        now = time.monotonic()
        alive = {member for member, ends_at in self.members.items() if ends_at > now}
        if alive != set(self.members):
            self._change_members(alive)

    def _change_members(self, names: set[str]) -> None:
        """Deal partition 0 to a member: it stays with its holder while that is one."""
        self.members = {name: self.members.get(name, 0.0) for name in names}
        self.generation += 1
        if self.holder not in names:
            self.holder = min(names, default=None)
        self.record(f"group generation={self.generation} holder={self.holder}")


def _json_answer(value: object, status: int = 200) -> bytes:
    headers = {"Content-Type": "application/json"}
    return encode_answer(status, json.dumps(value).encode(), headers)
