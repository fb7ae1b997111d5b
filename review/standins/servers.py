"""Servers: plain ones, and model servers that form groups."""

import asyncio
import contextlib
import itertools
import json
import time

from .wire import LOST, Request, encode_answer, read_request

HEARTBEAT_S = 1.2
# A join takes this long if the model was that of the last group, otherwise `LOAD_S`.
REJOIN_S = 0.2
LOAD_S = 0.4
FORM_S = 0.3
STALL_S = 4.0
# How long a server is down that has crashed.
BACK_S = 3.0

# Piece of an answer that never ends: chunks of one byte.
ENDLESS_PIECE = b"1\r\n.\r\n" * 10_000

_numbers = itertools.count(1)


class Server:
    """One lifetime of a server.

    Attributes
    ----------
    state : str
        What it says of itself: `ready` or `draining`.
    work_s : float
        Time that a request takes; for a stream, the pause between two events.
    events : int
        Events of a stream.
    endless_share : float
        Share of its answers whose body, in chunks of one byte, never ends.
    idle_timeout_s : int or None
        Seconds after which an idle channel is closed, stated in ``Keep-Alive``; None for never.
    """

    def __init__(self, lab, service: str, zone: str, domain: str | None = None) -> None:
        self.lab = lab
        self.id = f"i-{next(_numbers):04d}"
        self.service = service
        self.zone = zone
        self.domain = domain
        self.state = "ready"
        self.work_s = 0.02
        self.events = 10
        self.endless_share = 0.0
        self.idle_timeout_s: int | None = None
        self.group: dict | None = None
        self.group_state = ""
        self.last_model = ""
        self.highest_epoch = -1
        self.order_count = 0
        self.is_cut = False
        self.running = 0
        self.address = ""
        self._seq = 0
        self._listed = False
        self._born_ms = int(time.time() * 1000)
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._busy_writers: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task | None = None
        self._restarting: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and register."""
        await self._listen("127.0.0.1", 0)

    def publish(self) -> float:
        """Write the entry; return the time of the store's ack."""
        self._seq += 1
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 9,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self._born_ms,
        }
        if self.domain is not None:
            models = [{"name": self.last_model, "version": 1, "adapters": []}]
            entry |= {
                "phase": "both",
                "domain": self.domain,
                "models": models if self.last_model else [],
                "staged": [self.last_model] if self.last_model else [],
            }
        if self.group is not None:
            entry["group"] = {
                "name": self.group["group"],
                "epoch": self.group["epoch"],
                "rank": self.group["members"].index(self.id),
                "state": self.group_state,
            }
        if self.is_cut:
            return time.monotonic()
        return self.lab.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def cut_from_store(self) -> None:
        """Cut the server from the store, which drops its entry after three heartbeats."""
        self.is_cut = True
        self.lab.record(f"server {self.id} cut from the store")

        def drop_entry() -> None:
            if self.is_cut:
                self.lab.store.put("keyed.servers", self.id, b"")

        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, drop_entry)

    async def _beat(self) -> None:
        while self._listed:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self) -> float:
        """Report `draining` and go on serving; return the time of the store's ack."""
        self.state = "draining"
        acked_at = self.publish()
        self.lab.record(f"server {self.id} draining, acknowledged")
        return acked_at

    def unlist(self) -> None:
        """Remove the entry."""
        self._listed = False
        self.lab.store.put("keyed.servers", self.id, b"")

    def crash(self) -> None:
        """End at once, and start again under the same id and address after `BACK_S`."""
        if not self._listed:
            return
        self.lab.on_crash(self)
        self.stop()
        self.group, self.group_state = None, ""
        self.highest_epoch, self.order_count = -1, 0
        asyncio.get_running_loop().call_later(BACK_S, self._restart)

    def _restart(self) -> None:
        self._born_ms = int(time.time() * 1000)
        host, port = self.address.split(":")
        self._restarting = asyncio.create_task(self._listen(host, int(port)))

    async def _listen(self, host: str, port: int) -> None:
        self._listener = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{self._listener.sockets[0].getsockname()[1]}"
        self._listed = True
        self._heartbeat = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """End: reset all channels and listen no more."""
        self._listed = False
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await self._next_request(reader)) is not None:
                await self._handle(request, writer)
                await writer.drain()
        except LOST:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _next_request(self, reader) -> Request | None:
        """Read the next request; None if the channel has ended or was idle for too long."""
        try:
            return await asyncio.wait_for(read_request(reader), self.idle_timeout_s)
        except TimeoutError:
            return None

    async def _handle(self, request: Request, writer) -> None:
        if request.target == "/report":
            writer.write(encode_answer(200, json.dumps(self._report()).encode()))
            return
        if request.target == "/order":
            writer.write(encode_answer(self.carry_out(json.loads(request.body))))
            return
        request_id = request.headers.get("x-briarpond-request-id", "")
        echo = {"X-Briarpond-Request-Id": request_id}
        if request.headers.get("x-briarpond-expect-instance", self.id) != self.id:
            writer.write(encode_answer(421, b"", echo | {"X-Briarpond-Instance-Id": self.id}))
            return
        if self.domain is not None and self.group_state != "open":
            writer.write(encode_answer(503, b"", echo | {"X-Briarpond-Not-Executed": "1"}))
            return
        self.lab.on_run(self, request, request_id)
        self.running += 1
        self._busy_writers.add(writer)
        try:
            await self._run(request, request_id, writer)
        finally:
            self._end_run(writer)

    async def _run(self, request: Request, request_id: str, writer) -> None:
        headers = {
            "X-Briarpond-Request-Id": request_id,
            "X-Briarpond-Server-Stamp": f"stamp.{self.id}.{request_id}",
            "X-Briarpond-Server-Load": f"{self.running},0,9",
        }
        if self.idle_timeout_s is not None:
            headers["Keep-Alive"] = f"timeout={self.idle_timeout_s}"
        parts = request.headers.get("x-briarpond-prompt-prefix", "")
        if self.lab.deadly_part and f"{self.lab.deadly_part}:" in parts:
            await asyncio.sleep(self.work_s)
            self.crash()
            return
        if self.lab.rng.random() < self.endless_share:
            await self._send_without_end(headers, writer)
            return
        if "/stream/" not in request.target:
            await asyncio.sleep(self.work_s)
            writer.write(encode_answer(200, b"done " + request.body, headers))
            return
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        spoil_from, self.lab.spoil_next_from = self.lab.spoil_next_from, None
        for number in range(int(request.headers.get("last-event-id", 0)) + 1, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            data = b"%x\r\n%b\r\n" % (len(event), event)
            if spoil_from is not None and number >= spoil_from:
                # Wrong bytes: the digit of the id, and then the length of the next event.
                is_first = number == spoil_from
                data = data.replace(b"id: %d" % number, b"id: \xb3") if is_first else b"\xb3" + data
                self.lab.record(f"{self.id} spoils event {number} of {request_id}")
            writer.write(data)
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def _send_without_end(self, headers: dict[str, str], writer) -> None:
        """Send bytes that are no answer until the caller closes, for 30 s at most."""
        self.lab.record(f"{self.id} answers {headers['X-Briarpond-Request-Id']} without end")
        head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        end = time.monotonic() + 30.0
        while time.monotonic() < end and not writer.is_closing():
            writer.write(ENDLESS_PIECE)
            await writer.drain()

    # Groups

    def _report(self) -> dict:
        return {
            "phase": "both",
            "models": [{"name": self.last_model, "version": 1, "adapters": []}],
            "busy": self.group_state == "joining",
            "seq": self.order_count,
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 900_000,
            "handles": 0,
            "pace": 1.0,
        }

    def carry_out(self, order: dict) -> int:
        """Carry out an order; return the status of its answer."""
        key = (order["group"], order["epoch"])
        own = None if self.group is None else (self.group["group"], self.group["epoch"])
        if order["op"] == "join":
            return self._join(order, key == own)
        if key != own:
            return 409
        self.order_count += 1
        match order["op"]:
            case "open":
                return self._open()
            case "close":
                return self._close(order.get("closeMode") == "wait")
            case "leave":
                self._leave()
            case _:
                return 400
        self.publish()
        return 200

    def _join(self, order: dict, is_own: bool) -> int:
        if is_own and self.group is not None:
            if self.group["members"] != order["members"]:
                return 412
            return 202 if self.group_state == "joining" else 200
        if order["epoch"] < self.highest_epoch:
            return 412
        self.lab.on_join(self, order)
        self._leave()
        self.order_count += 1
        self.group, self.group_state, self.highest_epoch = order, "joining", order["epoch"]
        delay_s = REJOIN_S if self.last_model == order["model"] else LOAD_S
        self.last_model = order["model"]
        asyncio.get_running_loop().call_later(delay_s, self._finish_join, order)
        self.publish()
        return 202

    def _finish_join(self, order: dict) -> None:
        if self.group is order and self.group_state == "joining":
            self.group_state = "ready"
            self.lab.on_ready(self, order)
            self.publish()

    def _open(self) -> int:
        if self.group_state == "open":
            return 200
        if self.group_state != "ready":
            return 409
        order = self.group

        def serve() -> None:
            if self.group is order and self.group_state == "ready":
                self.group_state = "open"
                self.lab.record(f"head {self.id} of {order['group']} is open")
                self.publish()

        asyncio.get_running_loop().call_later(FORM_S, serve)
        return 202

    def _close(self, waits: bool) -> int:
        """Stop taking requests; with `waits` the running ones may finish."""
        if self.group_state not in ("open", "closing"):
            return 200
        if waits and self.running:
            self.group_state = "closing"
            self.publish()
            return 202
        self.group_state = "ready"
        for writer in self._busy_writers:
            writer.transport.abort()
        self.publish()
        return 200

    def _end_run(self, writer) -> None:
        self._busy_writers.discard(writer)
        self.running -= 1
        if self.group_state == "closing" and not self.running:
            self.group_state = "ready"
            self.publish()

    def _leave(self) -> None:
        order, self.group, self.group_state = self.group, None, ""
        if order is None or order["members"][0] == self.id:
            return
        head = self.lab.servers.get(order["members"][0])

        def break_group() -> None:
            if head is not None and head.group is not None and head.group_state == "open":
                mine = (order["group"], order["epoch"])
                if (head.group["group"], head.group["epoch"]) == mine:
                    head.group_state = "broken"
                    head.publish()

        with contextlib.suppress(RuntimeError):
            asyncio.get_running_loop().call_later(STALL_S, break_group)
