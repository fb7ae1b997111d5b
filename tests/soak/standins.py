"""The platform for the soak: store, plain servers and engines, in one asyncio loop.

Each checks what it sees: requests that no caller sent, second runs of what may run
once, groups that are not whole, servers that are taken into two groups.
"""

import asyncio
import base64
import itertools
import json
import random
import struct
from urllib.parse import parse_qs, urlsplit

STALL_S = 1.0
MAX_HEAD = 65_536


async def read_message(reader):
    """Read one HTTP/1.1 request; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    method, target, _ = first.split(" ", 2)
    return method, target, headers, body


def answer(status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Checks:
    """What was seen to break a promise."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.sent: dict[str, str] = {}
        self.runs: dict[str, int] = {}
        self.told_not_run: set[str] = set()

    def note(self, text: str) -> None:
        self.problems.append(text)

    def ran(self, request_id: str, body: bytes, once: bool, tenant: str | None) -> None:
        kind = self.sent.get(request_id)
        if kind is None:
            self.note(f"UNASKED {request_id}")
            return
        if body != request_id.encode():
            self.note(f"CHANGED body of {request_id}")
        if tenant != "acme":
            self.note(f"TENANT of {request_id} is {tenant}")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if once and self.runs[request_id] > 1:
            self.note(f"TWICE {request_id}")
        if once and request_id in self.told_not_run:
            self.note(f"REFUSED and ran {request_id}")


class Store:
    """Keyed topics, reads that wait, and a lease group."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.changed = asyncio.Event()
        self.mode = "good"
        self.members: dict[str, float] = {}
        self.owner: str | None = None
        self.term = 0

    def put(self, topic: str, key: str, value: bytes) -> None:
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        while (message := await read_message(reader)) is not None:
            if self.mode == "silent":
                await asyncio.sleep(30)
                break
            if self.mode == "reset":
                writer.transport.abort()
                return
            if self.mode == "busy":
                writer.write(answer(503))
                continue
            method, target, _, body = message
            parts = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            reply = await self.call(parts.path, query, body)
            if self.mode == "lost" and method == "POST" and self.rng.random() < 0.5:
                await asyncio.sleep(30)
                break
            writer.write(reply)
        writer.close()

    async def call(self, path, query, body) -> bytes:
        if path == "/log-join":
            return self.join(json.loads(body))
        if path == "/log-leave":
            self.members.pop(json.loads(body)["member"], None)
            return answer(200, b"{}")
        rows = self.topics.setdefault(query["topic"], [])
        if path == "/log-append":
            size = body[4]
            self.put(query["topic"], body[5 : 5 + size].decode(), body[5 + size :])
            return answer(200, json.dumps({"offset": len(rows) - 1, "end": len(rows)}).encode())
        if path == "/log-newest":
            newest = {key: (value, offset) for offset, (key, value) in enumerate(rows)}
            entries = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in newest.items()
                if value
            ]
            page = {"entries": entries, "hasMore": False, "end": len(rows)}
            return answer(200, json.dumps(page).encode())
        start = int(query["from"])
        end = asyncio.get_event_loop().time() + int(query.get("waitMs", 0)) / 1000
        while len(rows) <= start and (left := end - asyncio.get_event_loop().time()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        data = struct.pack(">QQ", len(rows), 0)
        for key, value in rows[start:]:
            name = key.encode()
            data += struct.pack(">I", 1 + len(name) + len(value))
            data += bytes([len(name)]) + name + value
        return answer(200, data)

    def join(self, call) -> bytes:
        now = asyncio.get_event_loop().time()
        before = sorted(self.members)
        self.members[call["member"]] = now + call["ttlMs"] / 1000
        self.members = {name: until for name, until in self.members.items() if until > now}
        if sorted(self.members) != before:
            self.term += 1
            self.owner = self.rng.choice(sorted(self.members))
        parts = [["planner", 0, 0]] if self.owner == call["member"] else []
        return answer(200, json.dumps({"generation": self.term, "parts": parts}).encode())


class Server:
    """One life of a plain server or an engine."""

    numbers = itertools.count(1)

    def __init__(self, world, service: str, domain: str | None = None) -> None:
        self.world = world
        self.id = f"i-{next(Server.numbers)}"
        self.service = service
        self.domain = domain
        self.group: dict | None = None
        self.state: str | None = None
        self.top_epoch = 0
        self.last_model: str | None = None
        self.alive = True
        self.silent = False
        self.seq = 0
        self.connections: set = set()

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.tell()

    def tell(self) -> None:
        if not self.alive:
            return
        self.seq += 1
        entry = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "z",
            "slots": 9,
            "state": "ready",
            "seq": self.seq,
            "born": 1,
            "staged": [self.last_model] if self.last_model else [],
            "models": [{"name": self.group["model"]}] if self.group else [],
        }
        if self.domain is not None:
            entry["domain"] = self.domain
        if self.group is not None:
            rank = self.group["members"].index(self.id)
            entry["group"] = {
                "name": self.group["group"],
                "epoch": self.group["epoch"],
                "rank": rank,
                "state": self.state,
            }
        self.world.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def crash(self) -> None:
        """End at once; the list notices later."""
        self.alive = False
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.world.later(1.0, lambda: self.world.store.put("keyed.servers", self.id, b""))

    async def reached(self) -> None:
        """Wait while nothing passes between this server and the nodes."""
        while self.silent:
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer) -> None:
        self.connections.add(writer)
        try:
            while (message := await read_message(reader)) is not None and self.alive:
                await self.handle(message, reader, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, message, reader, writer) -> None:
        method, target, headers, body = message
        await self.reached()
        if target == "/report":
            writer.write(answer(200, json.dumps({"pace": 1.0}).encode()))
        elif target == "/order":
            writer.write(answer(self.order(json.loads(body))))
        elif headers.get("x-briarpond-expect-instance") != self.id:
            writer.write(answer(421, X_Briarpond_Not_Executed=1))
        elif self.domain is not None:
            await self.stream(headers, body, writer)
        else:
            await asyncio.sleep(self.world.rng.uniform(0.002, 0.03))
            self.world.checks.ran(
                headers["x-briarpond-request-id"],
                body,
                target.startswith("/once/"),
                headers.get("x-briarpond-tenant"),
            )
            writer.write(self.stamped(headers, b"done " + body))

    def stamped(self, headers, body) -> bytes:
        return answer(
            200,
            body,
            X_Briarpond_Server_Stamp=self.id,
            X_Briarpond_Request_Id=headers["x-briarpond-request-id"],
        )

    async def stream(self, headers, body, writer) -> None:
        if self.state != "open":
            writer.write(answer(503, X_Briarpond_Not_Executed=1))
            return
        self.check_whole()
        request_id = headers["x-briarpond-request-id"]
        self.world.checks.ran(request_id, body, False, headers.get("x-briarpond-tenant"))
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            + f"X-Briarpond-Server-Stamp: {self.id}\r\n".encode()
            + f"X-Briarpond-Request-Id: {request_id}\r\n\r\n".encode()
        )
        for number in range(int(headers.get("last-event-id", 0)) + 1, 11):
            while not self.members_here() and self.state == "open":
                await asyncio.sleep(0.05)
            await self.reached()
            if self.state != "open" or writer.is_closing():
                writer.transport.abort()
                return
            await asyncio.sleep(0.02)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")

    def members(self):
        return [self.world.servers.get(name) for name in self.group["members"]]

    def members_here(self) -> bool:
        """Whether all members live and have not left; else the head stands still."""
        return self.group is not None and all(
            m is not None and m.alive and m.key() == self.key() for m in self.members()
        )

    def key(self) -> tuple | None:
        """Name and epoch of the group this server is in."""
        return None if self.group is None else (self.group["group"], self.group["epoch"])

    def check_whole(self) -> None:
        size = self.world.sizes[self.group["model"]]
        seen = self.world.ready_seen
        whole = len(self.group["members"]) == size and all(
            (self.group["group"], self.group["epoch"], m) in seen for m in self.group["members"]
        )
        if not whole:
            self.world.checks.note(f"PARTIAL {self.group}")

    def order(self, order) -> int:
        mine = self.key() == (order["group"], order["epoch"])
        if order["op"] == "join":
            return self.join(order, mine)
        if not mine:
            return 409
        if order["op"] == "open":
            return self.open()
        if order["op"] == "leave":
            self.end_group()
        elif self.state == "open":
            self.state = "ready"
        self.tell()
        return 200

    def open(self) -> int:
        if self.state == "open":
            return 200
        if self.state != "ready":
            return 409
        self.state = "open"
        self.check_whole()
        self.tell()
        return 202

    def join(self, order, mine) -> int:
        if mine and self.group["members"] == order["members"]:
            return 200 if self.state != "joining" else 202
        if mine or order["epoch"] < self.top_epoch:
            return 412
        if self.group is not None:
            head = self.world.servers.get(self.group["members"][0])
            same = head is not None and head.alive and head.group is not None
            if same and head.group["group"] == self.group["group"] and head.state == "open":
                self.world.checks.note(f"TWO {self.id} joins {order['group']}, {self.group}")
        self.end_group()
        self.group, self.state, self.top_epoch = order, "joining", order["epoch"]
        known = self.last_model == order["model"]
        self.last_model = order["model"]
        self.world.later(0.05 if known else 0.4, lambda: self.joined(order))
        self.tell()
        return 202

    def joined(self, order) -> None:
        if self.group is order and self.state == "joining" and self.alive:
            self.state = "ready"
            self.world.ready_seen.add((order["group"], order["epoch"], self.id))
            self.tell()

    def end_group(self) -> None:
        if self.group is None:
            return
        head = self.world.servers.get(self.group["members"][0])
        key = self.key()
        self.group, self.state = None, None

        def break_head() -> None:
            if head is not None and head.key() == key and head.state == "open":
                head.state = "broken"
                head.tell()

        if head is not self:
            self.world.later(STALL_S, break_head)
