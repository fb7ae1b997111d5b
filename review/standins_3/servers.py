"""Stand-ins for plain servers and for model servers, as the protocol page describes them."""

import asyncio
import contextlib
import itertools
import json

from .wire import encode_answer, encode_json, read_request, reset

HEARTBEAT_S = 1.2
# Times of a model server.
REJOIN_S = 0.2
WARM_S = 0.3
LOAD_S = 1.0
FORM_S = 0.3
STALL_S = 4.0
TOPIC = "keyed.servers"
HEAD_STATES = ("open", "closing")


class Server:
    """A plain server, from its start to its end.

    Parameters
    ----------
    store : Store
        Store in which it registers.
    record : Record
        Gets a line for each request that it runs.
    name : str
        Its id.
    service : str
        Its service.
    work_s : float
        How long a request takes.
    slots : int
        Requests that it runs at once.

    Attributes
    ----------
    runs : list
        Requests that it has begun to run: time, id, and whether it answered them.
    says_leaving : bool
        Whether its answers bear the header `Server-Leaving`.
    state : str
        Its state in the list, `ready` or `draining`.
    """

    numbers = itertools.count(1)

    def __init__(self, store, record, name, service, work_s=0.02, slots=6):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.work_s, self.slots = work_s, slots
        self.state = "ready"
        self.says_leaving = False
        self.runs = []
        self.running = 0
        self.has_ended = False
        self.born = 1_700_000_000_000
        self._seq = 0
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Listen on a free port and register."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]
        self._spawn(self._beat())

    def end(self):
        """End at once, as the process of a server does."""
        self.has_ended = True
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            reset(writer)

    def entry(self):
        """Return its entry in the list of servers."""
        return {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "z",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self.born,
        }

    def report_state(self):
        """Write its entry; return whether the store took it."""
        self._seq += 1
        return self.store.put(TOPIC, self.name, json.dumps(self.entry()).encode())

    async def _beat(self):
        while True:
            # Back after an outage it registers soon.
            await asyncio.sleep(HEARTBEAT_S if self.report_state() else 0.2)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def common_headers(self, headers):
        """Return the headers of each answer to a request."""
        fields = [("X-Briarpond-Server-Load", f"{self.running},0,{self.slots}")]
        if "x-briarpond-request-id" in headers:
            fields.append(("X-Briarpond-Request-Id", headers["x-briarpond-request-id"]))
        if self.says_leaving:
            fields.append(("Server-Leaving", "1"))
        return fields

    async def handle(self, request, writer):
        """Answer one request."""
        _, target, headers, _ = request
        if target == "/healthz":
            fields = (("X-Briarpond-Instance-Id", self.name), *self.common_headers(headers))
            writer.write(encode_answer(200 if self.state == "ready" else 503, b"", fields))
        elif headers.get("x-briarpond-expect-instance", self.name) != self.name:
            fields = (("X-Briarpond-Instance-Id", self.name), *self.common_headers(headers))
            writer.write(encode_answer(421, b"", fields))
        elif self.running >= self.slots:
            fields = (("X-Briarpond-Not-Executed", "1"), *self.common_headers(headers))
            writer.write(encode_answer(503, b"", fields))
        else:
            await self.run(headers, writer)

    async def run(self, headers, writer):
        """Run a plain request."""
        request_id = headers["x-briarpond-request-id"]
        row = [self.record.now(), request_id, False]
        self.runs.append(row)
        self.running += 1
        self.record.line(
            f"{self.name} ({self.service}) runs {request_id}"
            f" for {headers.get('x-briarpond-tenant', '-')}"
        )
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        fields = (
            ("X-Briarpond-Server-Stamp", f"{self.name}.{request_id}"),
            *self.common_headers(headers),
        )
        writer.write(encode_answer(200, f"done {request_id}".encode(), fields))
        row[2] = not self.has_ended


class ModelServer(Server):
    """A server that hosts a model together with others of its group.

    Parameters
    ----------
    fleet : dict
        All model servers by id.
    broken_rules : list
        Gets a line for each broken rule.
    domain : str
        Its domain.

    Attributes
    ----------
    membership : dict or None
        The order with which it joined its group.
    group_state : str
        Its state in that group.
    was_ready : set
        Group, epoch and members of all groups in which it has been ready.
    repeats_report : bool
        Whether it sends a second copy of its next report, late: in front of the next answer on
        the same channel.
    """

    def __init__(self, store, record, name, service, fleet, broken_rules, event_s=0.05, slots=2):
        super().__init__(store, record, name, service, slots=slots)
        self.fleet, self.broken_rules = fleet, broken_rules
        self.event_s = event_s
        self.domain = "d0"
        self.membership = None
        self.group_state = ""
        self.was_ready = set()
        self.repeats_report = False
        self.load_s, self.warm_s = LOAD_S, WARM_S
        self._late_copies = {}
        self._epoch = 0
        self._model = None
        self._staged = None
        fleet[name] = self

    def entry(self):
        """Return its entry, with domain, models and group."""
        group = None
        if self.membership is not None:
            group = {
                "name": self.membership["group"],
                "epoch": self.membership["epoch"],
                "rank": self.membership["members"].index(self.name),
                "state": self.group_state,
            }
        models = []
        if self.membership is not None:
            models = [{"name": self._model, "version": 1, "adapters": []}]
        entry = super().entry() | {
            "phase": "both",
            "domain": self.domain,
            "staged": [self._staged] if self._staged else [],
            "models": models,
        }
        if group is not None:
            entry["group"] = group
        return entry

    async def restart(self):
        """Start again under the same id and address, with what its host keeps: staged models."""
        self.has_ended = False
        self.membership, self.group_state = None, ""
        self._epoch, self._seq, self._model, self.running = 0, 0, None, 0
        self.born += 1000
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self._spawn(self._beat())

    def group_key(self):
        """Return group, epoch and members of its present group; None without one."""
        each = self.membership
        return None if each is None else (each["group"], each["epoch"], tuple(each["members"]))

    async def handle(self, request, writer):
        """Answer a report, an order or a request."""
        _, target, headers, body = request
        late_copy = self._late_copies.pop(writer, None)
        if late_copy is not None:
            self.record.line(
                f"{self.name} sends a second copy of an answer before that to {target}"
            )
            writer.write(late_copy)
        if target == "/report":
            entry = self.entry()
            report = {
                "phase": "both",
                "models": entry["models"],
                "busy": False,
                "seq": self._seq,
                "waiting": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 100_000,
                "handles": 0,
                "pace": 1.0,
                "domain": self.domain,
                "staged": entry["staged"],
                "group": entry.get("group"),
                "born": entry["born"],
            }
            answer = encode_json(200, report)
            writer.write(answer)
            if self.repeats_report:
                self.repeats_report = False
                self._late_copies[writer] = answer
        elif target == "/order":
            order = json.loads(body)
            status = self._obey(order)
            self.record.line(
                f"{self.name} order {order['op']} {order.get('group')} epoch {order.get('epoch')}"
                f" {'+'.join(order.get('members', ()))} -> {status}"
            )
            self.report_state()
            writer.write(encode_json(status, {}))
        elif headers.get("x-briarpond-expect-instance", self.name) != self.name or (
            self.membership is not None and self.membership["members"][0] != self.name
        ):
            fields = (("X-Briarpond-Instance-Id", self.name), *self.common_headers(headers))
            writer.write(encode_answer(421, b"", fields))
        elif self.group_state != "open" or self.running >= self.slots:
            fields = (("X-Briarpond-Not-Executed", "1"), *self.common_headers(headers))
            writer.write(encode_answer(503, b"", fields))
        else:
            await self.run(headers, writer)

    # Orders

    def _obey(self, order):
        own = self.membership
        is_own = own is not None and (own["group"], own["epoch"]) == (
            order.get("group"),
            order.get("epoch"),
        )
        match order["op"]:
            case "join":
                return self._join(order, is_own)
            case "open" if is_own:
                return self._open()
            case "close" if is_own:
                return self._close(order)
            case "leave" if is_own:
                self._drop_membership()
                return 200
            case "open" | "close" | "leave":
                return 409
            case "phase":
                self._staged = order["model"]
                return 200
        return 400

    def _join(self, order, is_own):
        if is_own and self.membership["members"] == order["members"]:
            return 202 if self.group_state == "joining" else 200
        if is_own or order["epoch"] < self._epoch:
            return 412
        self._check_old_group(order)
        self._drop_membership()
        self.membership, self.group_state = order, "joining"
        self._epoch = order["epoch"]
        seconds = self.load_s + self.warm_s
        if self._model == order["model"]:
            seconds = REJOIN_S
        elif self._staged == order["model"]:
            seconds = self.warm_s
        self._model = self._staged = order["model"]
        self._spawn(self._become_ready(order, seconds))
        return 202

    def _check_old_group(self, order):
        """Check the rule TWO: the head of the group that it is in must not serve."""
        key = self.group_key()
        head = None if key is None else self.fleet.get(key[2][0])
        if head is None or head.group_key() != key or head.group_state not in HEAD_STATES:
            return
        text = (
            f"TWO: {self.name} takes a join of {order['group']} epoch {order['epoch']}"
            f" ({'+'.join(order['members'])}) while {head.name}, the head of its group {key[0]}"
            f" epoch {key[1]} ({'+'.join(key[2])}), is {head.group_state}"
        )
        self.broken_rules.append(text)
        self.record.line(text)

    async def _become_ready(self, order, seconds):
        await asyncio.sleep(seconds)
        if self.membership is order and self.group_state == "joining":
            self.group_state = "ready"
            self.was_ready.add(self.group_key())
            self.report_state()

    def _open(self):
        if self.membership["members"][0] != self.name or self.group_state not in ("ready", "open"):
            return 409
        if self.group_state == "open":
            return 200
        self._spawn(self._become_open(self.membership))
        return 202

    async def _become_open(self, order):
        await asyncio.sleep(FORM_S)
        if self.membership is order and self.group_state == "ready":
            self.group_state = "open"
            self.report_state()

    def _close(self, order):
        if self.group_state == "open":
            self.group_state = "closing" if self.running else "ready"
        if order.get("closeMode") == "cut":
            self.group_state = "ready"
        return 202 if self.group_state == "closing" else 200

    def _drop_membership(self):
        self.membership, self.group_state = None, ""

    # Requests

    def _is_whole(self, key):
        members = [self.fleet.get(name) for name in key[2]]
        return all(each is not None and each.group_key() == key for each in members)

    async def run(self, headers, writer):
        """Write a stream of events; it stalls, and then is cut, if a member is gone."""
        request_id = headers["x-briarpond-request-id"]
        key = self.group_key()
        members = [self.fleet.get(name) for name in key[2]]
        if any(each is None or key not in each.was_ready for each in members):
            text = f"PARTIAL: {request_id} runs in {key}"
            self.broken_rules.append(text)
            self.record.line(text)
        count = int(headers.get("x-briarpond-token-usage", "10,10").split(",")[1])
        row = [self.record.now(), request_id, False]
        self.runs.append(row)
        self.running += 1
        self.record.line(f"{self.name} runs {request_id} in {key[0]} epoch {key[1]}")
        try:
            fields = [
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
                ("X-Briarpond-Server-Stamp", f"{self.name}.{request_id}"),
                *self.common_headers(headers),
            ]
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
            answer = f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode()
            writer.write(answer)
            for number in range(int(headers.get("last-event-id", 0)) + 1, count + 1):
                if not await self._step(key) or writer.is_closing():
                    self.record.line(f"{self.name} cuts {request_id} off after {number - 1}")
                    reset(writer)
                    return
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            writer.write(b"0\r\n\r\n")
            row[2] = True
        finally:
            self.running -= 1
            if self.group_state == "closing" and not self.running:
                self.group_state = "ready"
                self.report_state()

    async def _step(self, key):
        """Take the time of one event; return whether the group can go on."""
        await asyncio.sleep(self.event_s)
        stalled_s = 0.0
        while self.group_key() == key and not self._is_whole(key):
            if stalled_s >= STALL_S:
                self.group_state = "broken"
                self.report_state()
                return False
            await asyncio.sleep(0.05)
            stalled_s += 0.05
        return self.group_key() == key and self.group_state in HEAD_STATES
