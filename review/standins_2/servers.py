"""Backend servers: plain ones, and model servers that form groups."""

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable, Callable

from .record import Record
from .store import Store
from .wire import Message, answer, read_message

# Interval at which a server writes its entry.
HEARTBEAT_S = 1.2
STAMP = "X-Briarpond-Server-Stamp"
REQUEST_ID = "X-Briarpond-Request-Id"
NOT_EXECUTED = "X-Briarpond-Not-Executed"


class Server:
    """A server from its start to its end, with its entry in the store.

    Attributes
    ----------
    id : str
        Id under which it is registered.
    service : str
        Service that it belongs to.
    state : str
        State in its entry: `ready` or `draining`.
    arrivals : list of tuple
        Time, id of the request and headers of each request of a client that it got.
    extra_headers : dict of str
        Headers that it adds to all answers.
    """

    numbers = itertools.count(1)

    def __init__(self, store: Store, record: Record, service: str, zone: str = "z1") -> None:
        self.id = f"i-{service}-{next(self.numbers)}"
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.is_up = False
        self.arrivals: list[tuple[float, str, dict[str, str]]] = []
        self.extra_headers: dict[str, object] = {}
        self._store = store
        self._record = record
        self._sequence = 0
        self._born = 0
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Start a life: listen, register, and write the entry again and again."""
        self._born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        self.register()
        self._beats = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """End this life; all connections are reset."""
        self.is_up = False
        self._server.close()
        if self._beats is not None:
            self._beats.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    def register(self) -> None:
        """Write the entry."""
        self._sequence += 1
        self._store.put("keyed.servers", self.id, json.dumps(self.entry()).encode())

    def unregister(self) -> None:
        """Drop the entry, as the platform does for a server that has left."""
        self._store.put("keyed.servers", self.id, b"")

    def entry(self) -> dict[str, object]:
        """Return the fields of the entry."""
        return {
            "service": self.service,
            "addr": f"127.0.0.1:{self._port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 9,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._sequence,
            "born": self._born,
        }

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None and self.is_up:
                await self._handle(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        if request.headers.get("x-briarpond-expect-instance", self.id) != self.id:
            writer.write(answer(421, {"X-Briarpond-Instance-Id": self.id}))
            return
        request_id = request.headers.get("x-briarpond-request-id", "-")
        self.arrivals.append((time.monotonic(), request_id, request.headers))
        self._record.note("arrives", request_id, self.id, request.first[1])
        await self.run(request, writer)

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a client's request."""
        raise NotImplementedError

    def own_headers(self, request: Message) -> dict[str, object]:
        """Return the headers of an answer of this server."""
        return {
            STAMP: f"{self.id}.{self._sequence}",
            REQUEST_ID: request.headers.get("x-briarpond-request-id", "-"),
            **self.extra_headers,
        }


class PlainServer(Server):
    """A plain server; what it does with a request is a function of the case."""

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        respond: Callable[["PlainServer", Message], Awaitable[bytes]],
    ) -> None:
        super().__init__(store, record, service)
        self._respond = respond

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a client's request."""
        writer.write(await self._respond(self, request))


class Fabric:
    """All model servers, which know of each other, and how long their loads take."""

    def __init__(self, load_s: float, warm_s: float, rejoin_s: float, form_s: float) -> None:
        self.load_s = load_s
        self.warm_s = warm_s
        self.rejoin_s = rejoin_s
        self.form_s = form_s
        self.servers: dict[str, ModelServer] = {}


class ModelServer(Server):
    """A server that joins groups by order; the head of an open group answers with a stream.

    Attributes
    ----------
    crashes_on : callable
        Takes a request; whether the server ends as it begins to write an answer on it.
    fails_on : callable
        Takes a request; whether the server answers it with status 500.
    on_run : callable
        Called with the server and each request that it begins to run.
    on_crash : callable
        Called with the time at which the server ends by a request.
    """

    def __init__(
        self, store: Store, record: Record, service: str, domain: str, fabric: Fabric
    ) -> None:
        super().__init__(store, record, service)
        self.crashes_on: Callable[[Message], bool] = lambda request: False
        self.fails_on: Callable[[Message], bool] = lambda request: False
        self.on_run: Callable[[ModelServer, Message], None] = lambda server, request: None
        self.on_crash: Callable[[float], None] = lambda at: None
        self._domain = domain
        self._fabric = fabric
        self._staged: list[str] = []
        self._forget_life()
        fabric.servers[self.id] = self

    def _forget_life(self) -> None:
        self.group: dict | None = None
        self.group_state = ""
        self._highest_epoch = 0
        self._last_model = ""
        self._orders = 0

    def entry(self) -> dict[str, object]:
        """Return the fields of the entry."""
        return {**super().entry(), **self._report(), "domain": self._domain}

    def _report(self) -> dict[str, object]:
        report: dict[str, object] = {"phase": "both", "staged": self._staged, "born": self._born}
        report["models"] = []
        if self.group is not None:
            if self.group_state != "joining":
                report["models"] = [{"name": self.group["model"], "version": 1, "adapters": []}]
            report["group"] = {
                "name": self.group["group"],
                "epoch": self.group["epoch"],
                "rank": self.group["members"].index(self.id),
                "state": self.group_state,
            }
        return report

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        path = request.first[1]
        if path == "/report":
            report = {**self._report(), "pace": 1.0, "busy": False, "seq": self._orders}
            body = json.dumps(report).encode()
            writer.write(answer(200, {"Content-Type": "application/json"}, body))
        elif path == "/order":
            writer.write(answer(self._take_order(json.loads(request.body))))
        else:
            await super()._handle(request, writer)

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a client's request with a stream, if this is the head of an open group."""
        if self.group is None or self.group["members"][0] != self.id:
            writer.write(answer(421, self.own_headers(request) | {NOT_EXECUTED: 1}))
            return
        if self.group_state != "open" or not self._is_complete():
            writer.write(answer(503, self.own_headers(request) | {NOT_EXECUTED: 1}))
            return
        await asyncio.sleep(0.02)
        request_id = request.headers.get("x-briarpond-request-id", "-")
        if self.fails_on(request):
            self._record.note("fails", request_id, self.id)
            writer.write(answer(500, self.own_headers(request), b"failed"))
            return
        self._record.note("runs", request_id, self.id, self.service)
        self.on_run(self, request)
        if self.crashes_on(request):
            self._record.note("crashes", request_id, self.id)
            self.on_crash(time.monotonic())
            self.crash()
            return
        await self._stream(request, writer)

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += ["Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.own_headers(request).items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(int(request.headers.get("last-event-id", 0)) + 1, 9):
            event = f"id: {number}\ndata: {self.id} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    def _is_complete(self) -> bool:
        assert self.group is not None
        members = [self._fabric.servers[name] for name in self.group["members"]]
        return all(
            each.is_up and each.group is not None and each.group["epoch"] == self.group["epoch"]
            for each in members
        )

    def crash(self, down_s: float = 2.0) -> None:
        """End at once, and start again after some seconds under the same id."""
        self.stop()
        self._forget_life()
        asyncio.get_running_loop().call_later(down_s, self._start_again)

    def _start_again(self) -> None:
        self._restart = asyncio.create_task(self.start())

    # Orders

    def _take_order(self, order: dict) -> int:
        if order["op"] == "join":
            return self._join(order)
        own = self.group
        if own is None or (own["group"], own["epoch"]) != (order["group"], order["epoch"]):
            return 409
        if order["op"] == "open":
            return self._open(own)
        if order["op"] == "leave":
            self.group, self.group_state = None, ""
        elif order["op"] == "close" and self.group_state == "open":
            self.group_state = "ready"
        self._changed()
        return 200

    def _join(self, order: dict) -> int:
        own = self.group
        if own is not None and (own["group"], own["epoch"]) == (order["group"], order["epoch"]):
            if own["members"] != order["members"]:
                return 412
            return 202 if self.group_state == "joining" else 200
        if order["epoch"] < self._highest_epoch:
            return 412
        self._highest_epoch = order["epoch"]
        self.group, self.group_state = order, "joining"
        model = order["model"]
        if self._last_model == model:
            delay_s = self._fabric.rejoin_s
        elif model in self._staged:
            delay_s = self._fabric.warm_s
        else:
            delay_s = self._fabric.load_s + self._fabric.warm_s
        self._last_model, self._staged = model, [model]
        asyncio.get_running_loop().call_later(delay_s, self._joined, order, self._born)
        self._changed()
        return 202

    def _joined(self, order: dict, born: int) -> None:
        if self.group is order and self._born == born and self.group_state == "joining":
            self.group_state = "ready"
            self._changed()

    def _open(self, group: dict) -> int:
        if self.group_state == "open":
            return 200
        if self.group_state != "ready":
            return 409
        asyncio.get_running_loop().call_later(self._fabric.form_s, self._opened, group)
        self._orders += 1
        return 202

    def _opened(self, group: dict) -> None:
        if self.group is group and self.group_state == "ready":
            self.group_state = "open"
            self._changed()

    def _changed(self) -> None:
        self._orders += 1
        self.register()
