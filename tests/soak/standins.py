"""Stand-ins for backend servers, plain ones and engines, in the soak's event loop.

They report violations of the system's guarantees: requests that no caller sent, second
runs of non-idempotent requests, groups opened without all their members, and instances
that are taken into a second group while the first is in use.
"""

import asyncio
import itertools
import json

from .wire import encode_answer, read_request

# Seconds from when a member leaves its group until the head reports the group as broken;
# equal to `stallMs` in the settings of the nodes.
STALL_S = 1.0


class BackendServer:
    """A plain server or an engine, from its start to its crash.

    Attributes
    ----------
    data_centre : str
        Data centre that its entry in the instance list names.
    domain : str or None
        Fabric domain of an engine, None for a plain server.
    group : dict or None
        The order with which the engine joined its group.
    state : str or None
        The engine's state in its group: `joining`, `ready`, `open` or `broken`.
    highest_epoch : int
        Highest epoch with which it joined a group; orders with a lower one are refused.
    loaded_model : str or None
        Model of the last group that it joined; its weights stay loaded.
    partitioned : bool
        Whether requests and events between the server and the nodes are held back.
    listed_state : str
        Its state in the instance list, `ready` or `draining`.
    entry_number : int
        Sequence number of its newest entry in the instance list.
    """

    data_centre = "z"
    instance_numbers = itertools.count(1)

    def __init__(self, soak, service: str, domain: str | None = None) -> None:
        self.soak = soak
        self.id = f"i-{next(BackendServer.instance_numbers)}"
        self.service = service
        self.domain = domain
        self.group: dict | None = None
        self.state: str | None = None
        self.highest_epoch = 0
        self.loaded_model: str | None = None
        self.alive = True
        self.partitioned = False
        self.entry_number = 0
        self.listed_state = "ready"
        self.connections: set = set()

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.publish_entry()

    def publish_entry(self) -> None:
        """Write the server's state to the instance list."""
        if not self.alive:
            return
        self.entry_number += 1
        entry = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.data_centre,
            "slots": 9,
            "state": self.listed_state,
            "seq": self.entry_number,
            "born": 1,
            "staged": [self.loaded_model] if self.loaded_model else [],
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
        self.soak.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def crash(self) -> None:
        """Abort all connections at once; the instance list drops the entry after 1 s."""
        self.alive = False
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.soak.schedule(1.0, lambda: self.soak.store.put("keyed.servers", self.id, b""))

    async def wait_for_partition_end(self) -> None:
        """Wait while the server is cut off from the nodes."""
        while self.partitioned:
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        self.connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None and self.alive:
                await self.handle_request(request, reader, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle_request(self, request, reader, writer) -> None:
        """Answer a status report, an order of the planner or a caller's request."""
        method, target, headers, body = request
        await self.wait_for_partition_end()
        if target == "/report":
            writer.write(encode_answer(200, json.dumps({"pace": 1.0}).encode()))
        elif target == "/order":
            writer.write(encode_answer(self.handle_order(json.loads(body))))
        elif headers.get("x-briarpond-expect-instance") != self.id:
            writer.write(encode_answer(421, X_Briarpond_Not_Executed=1))
        elif self.domain is not None:
            await self.stream_answer(headers, body, writer)
        else:
            await asyncio.sleep(self.soak.rng.uniform(0.002, 0.03))
            self.soak.checks.record_run(
                headers["x-briarpond-request-id"],
                body,
                target.startswith("/non_idempotent/"),
                headers.get("x-briarpond-tenant"),
            )
            writer.write(self.stamped_answer(headers, b"done " + body))

    def stamped_answer(self, headers, body) -> bytes:
        """Encode an answer that names this server and the request."""
        return encode_answer(
            200,
            body,
            X_Briarpond_Server_Stamp=self.id,
            X_Briarpond_Request_Id=headers["x-briarpond-request-id"],
        )

    async def stream_answer(self, headers, body, writer) -> None:
        """Send ten events, or those after `Last-Event-ID` if the caller's stream is resumed.

        The stream stalls while a member is missing and is cut when the group closes.
        """
        if self.state != "open":
            writer.write(encode_answer(503, X_Briarpond_Not_Executed=1))
            return
        self.check_complete()
        request_id = headers["x-briarpond-request-id"]
        self.soak.checks.record_run(request_id, body, False, headers.get("x-briarpond-tenant"))
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            + f"X-Briarpond-Server-Stamp: {self.id}\r\n".encode()
            + f"X-Briarpond-Request-Id: {request_id}\r\n\r\n".encode()
        )
        for number in range(int(headers.get("last-event-id", 0)) + 1, 11):
            while not self.has_all_members() and self.state == "open":
                await asyncio.sleep(0.05)
            await self.wait_for_partition_end()
            if self.state != "open" or writer.is_closing():
                writer.transport.abort()
                return
            await asyncio.sleep(0.02)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")

    def members(self):
        """Return the servers of the group's members, None for one that is unknown."""
        return [self.soak.servers.get(name) for name in self.group["members"]]

    def has_all_members(self) -> bool:
        """Whether no member has crashed or left the group; the head needs all of them."""
        return self.group is not None and all(
            m is not None and m.alive and m.group_key() == self.group_key() for m in self.members()
        )

    def group_key(self) -> tuple | None:
        """Return the name and the epoch of the server's group, None without a group."""
        return None if self.group is None else (self.group["group"], self.group["epoch"])

    def check_complete(self) -> None:
        """Check that the group has its full size and that every member was ready in it."""
        size = self.soak.group_sizes[self.group["model"]]
        ready = self.soak.ready_members
        complete = len(self.group["members"]) == size and all(
            (self.group["group"], self.group["epoch"], m) in ready for m in self.group["members"]
        )
        if not complete:
            self.soak.checks.report(f"group in use without all its members: {self.group}")

    def handle_order(self, order) -> int:
        """Carry out an order of the planner; return the HTTP status.

        200: done; 202: begun or just done; 409: not possible in the server's group or
        state; 412: outdated epoch, or other members under the epoch that the server is in.
        """
        is_own_group = self.group_key() == (order["group"], order["epoch"])
        if order["op"] == "join":
            return self.join_group(order, is_own_group)
        if not is_own_group:
            return 409
        if order["op"] == "open":
            return self.open_group()
        if order["op"] == "leave":
            self.leave_group()
        elif self.state == "open":
            self.state = "ready"
        self.publish_entry()
        return 200

    def open_group(self) -> int:
        """Let the head take requests."""
        if self.state == "open":
            return 200
        if self.state != "ready":
            return 409
        self.state = "open"
        self.check_complete()
        self.publish_entry()
        return 202

    def join_group(self, order, is_own_group) -> int:
        """Leave the present group and load the model of the new one.

        It is a violation if the head of the present group still takes requests.
        """
        if is_own_group and self.group["members"] == order["members"]:
            return 200 if self.state != "joining" else 202
        if is_own_group or order["epoch"] < self.highest_epoch:
            return 412
        if self.group is not None:
            head = self.soak.servers.get(self.group["members"][0])
            head_in_group = head is not None and head.alive and head.group is not None
            if (
                head_in_group
                and head.group["group"] == self.group["group"]
                and head.state == "open"
            ):
                self.soak.checks.report(
                    f"instance {self.id} joins {order['group']}; its group is open: {self.group}"
                )
        self.leave_group()
        self.group, self.state, self.highest_epoch = order, "joining", order["epoch"]
        is_loaded = self.loaded_model == order["model"]
        self.loaded_model = order["model"]
        self.soak.schedule(0.05 if is_loaded else 0.4, lambda: self.finish_join(order))
        self.publish_entry()
        return 202

    def finish_join(self, order) -> None:
        """Become ready once the model is loaded, unless another order came in between."""
        if self.group is order and self.state == "joining" and self.alive:
            self.state = "ready"
            self.soak.ready_members.add((order["group"], order["epoch"], self.id))
            self.publish_entry()

    def leave_group(self) -> None:
        """Leave the present group; its head reports it as broken after `STALL_S`."""
        if self.group is None:
            return
        head = self.soak.servers.get(self.group["members"][0])
        group_key = self.group_key()
        self.group, self.state = None, None

        def mark_broken() -> None:
            if head is not None and head.group_key() == group_key and head.state == "open":
                head.state = "broken"
                head.publish_entry()

        if head is not self:
            self.soak.schedule(STALL_S, mark_broken)
