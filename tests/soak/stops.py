"""Planned stops under load with real processes: which answers are cut, and by whom.

Callers ask the directory, keep its answer for up to three times its lifetime, use open
connections until the node is gone, and send long streams. Nodes get SIGTERM in series and
overlapping, and start again. A request that a node took around its SIGTERM, passed on, and ended
without a complete answer is reported unless the stop allows it (`excuse`).

python -m tests.soak.stops --seeds 10 --seconds 40 --nodes 4
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from .run import ROOT, SETTLE_S, Node, Soak, end_leftover_tasks
from .standins import BackendServer, encode_answer

GRACE_S = 8.0
# A request sent up to this long after the SIGTERM may still be running when the grace ends.
EXCUSED_SENT_S = 3.0
DEADLINE_S = 8.0
# Largest answer of the directory's lifetime, and for how much of it callers keep an answer.
TTL_S = 1.0
KEEP_FACTORS = (1, 3)
STREAM_EVENTS = 34
# Callers at each stop that use the address of the stopping node late.
LATE_CALLERS = 12


@dataclass
class Run:
    """One run of a request at a backend server."""

    server: str
    began_at: float
    ended_at: float | None = None
    end: str = "at work"


@dataclass
class Sent:
    """One request of a caller, and what became of it."""

    id: str
    route_type: str
    node: str
    sent_at: float
    is_kept: bool
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    runs: list[Run] = field(default_factory=list)


class PacedServer(BackendServer):
    """A backend server with long streams, pauses in them, and a record of their ends."""

    async def stream_answer(self, headers, body, writer) -> None:
        """Send events with the pauses of this soak, from `Last-Event-ID` on."""
        request_id = headers["x-briarpond-request-id"]
        if self.state != "open" or self.running >= 9:
            answer = {"X_Briarpond_Not_Executed": 1, "X_Briarpond_Request_Id": request_id}
            writer.write(encode_answer(503, **answer))
            return
        run = Run(self.id, time.monotonic())
        self.soak.requests[request_id].runs.append(run)
        self.running += 1
        try:
            await self._send_events(headers, request_id, writer)
            run.end = "complete"
        except ConnectionError:
            run.end = "closed by the node"
            raise
        except RuntimeError:
            run.end = "broken off"
            writer.transport.abort()
        finally:
            run.ended_at = time.monotonic()
            self.running -= 1

    running = 0

    async def _send_events(self, headers, request_id, writer) -> None:
        rng = self.soak.rng
        pause_s = rng.uniform(0.02, self.soak.longest_pause_s)
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Briarpond-Server-Stamp: {self.id}",
            f"X-Briarpond-Request-Id: {request_id}",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id", 0)) + 1, STREAM_EVENTS + 1):
            await asyncio.sleep(pause_s)
            if rng.random() < self.soak.silence_share:
                await asyncio.sleep(rng.uniform(0.4, 1.5))
            if self.state != "open" or not self.alive:
                raise RuntimeError("the group has closed")
            if writer.is_closing():
                raise ConnectionError
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class StopNode(Node):
    """A node whose SIGTERMs are recorded."""

    def __init__(self, soak, number: int) -> None:
        super().__init__(soak, number)
        self.stops: list[tuple[float, float]] = []

    async def stop_and_restart(self) -> None:
        """Send SIGTERM, wait for the end of the process and start it again."""
        if self.stopping or not self.running:
            return
        self.stopping = True
        told_at = time.monotonic()
        self.signal(signal.SIGTERM)
        while self.running and time.monotonic() < told_at + GRACE_S:
            await asyncio.sleep(0.02)
        if self.running:
            self.soak.checks.report(f"node {self.name} runs {GRACE_S} s after its SIGTERM")
            self.process.kill()
        self.stops.append((told_at, time.monotonic()))
        await self.start()


class StopSoak(Soak):
    """Nodes under long streams that are stopped again and again.

    Attributes
    ----------
    requests : dict
        Requests that callers have sent, by id.
    engine_count : int
        Number of engines; a few more than the callers need.
    longest_pause_s : float
        Longest usual pause between two events of a stream, in seconds.
    silence_share : float
        Share of the events before which a server is silent for longer than a stall.
    """

    def __init__(self, seed: int, folder: Path, nodes: int) -> None:
        super().__init__(seed, folder, nodes)
        self.requests: dict[str, Sent] = {}
        self.engine_count = 42
        self.longest_pause_s = self.rng.choice([0.06, 0.12, 0.2])
        self.silence_share = self.rng.choice([0.0, 0.005, 0.02])

    async def start(self) -> None:
        """Start as a soak does, but with nodes whose stops are recorded."""
        await super().start()
        for number in range(self.engine_count - 14):
            await self.add_server("pool", f"d{2 + number // 7}")
        for node in self.nodes:
            node.__class__ = StopNode
            node.stops = []

    async def add_server(self, service: str, domain: str | None = None) -> None:
        """Start a backend server whose streams are long."""
        server = PacedServer(self, service, domain)
        self.servers[server.id] = server
        await server.start()

    async def addresses(self, node: Node) -> list[str]:
        """Ask a node's directory; empty if it does not answer."""
        try:
            reader, writer = await asyncio.open_connection(node.ip, self.base_port + 2)
        except OSError:
            return []
        try:
            writer.write(
                b"GET /lookup?name=shop.example&region=r&zone=z HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)).decode()
            if " 200 " not in head.split("\r\n")[0]:
                return []
            return json.loads(await self.read_body(reader, head))["addresses"]
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return []
        finally:
            writer.transport.abort()

    async def run_stream_caller(self, number: int, end: float) -> None:
        """Send one stream after the other, on kept connections as long as they are open."""
        # Callers keep an answer for its lifetime, some for three times as long.
        keep_s = TTL_S * self.rng.choice(KEEP_FACTORS)
        known: list[str] = []
        asked_at = float("-inf")
        channel = None
        count = 0
        while time.monotonic() < end:
            if time.monotonic() > asked_at + keep_s:
                known = await self.addresses(self.rng.choice(self.nodes)) or known
                asked_at = time.monotonic()
            if not known:
                await asyncio.sleep(0.1)
                continue
            if channel is None or channel[1].is_closing() or channel[0].at_eof():
                channel = await self._connect(self.rng.choice(known))
            if channel is None:
                known = []
                continue
            count += 1
            sent = self._new_request(f"s{number}.{count}", channel, count)
            if not await self._send_stream(sent, channel):
                channel[1].transport.abort()
                channel = None
            await asyncio.sleep(self.rng.uniform(0.0, 0.1 if sent.status == 200 else 0.3))

    async def send_late(self, number: int, node: Node) -> None:
        """Ask the directories for a node about to stop, and use the answer late in its life."""
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        known = await self.addresses(self.rng.choice(self.nodes))
        asked_at = time.monotonic()
        address = f"{node.ip}:{self.base_port}"
        if address not in known:
            return
        await asyncio.sleep(self.rng.uniform(2.4, KEEP_FACTORS[-1] * TTL_S))
        channel = await self._connect(address)
        if channel is None or time.monotonic() > asked_at + KEEP_FACTORS[-1] * TTL_S:
            return
        sent = self._new_request(f"l{number}", channel, 1)
        await self._send_stream(sent, channel)
        channel[1].transport.abort()

    async def _connect(self, address: str):
        host, port = address.rsplit(":", 1)
        try:
            return await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        except (OSError, TimeoutError):
            return None

    def _new_request(self, request_id: str, channel, count: int) -> Sent:
        host = channel[1].get_extra_info("peername")[0]
        node = next(each for each in self.nodes if each.ip == host)
        sent = Sent(request_id, "stream", node.name, time.monotonic(), count > 1)
        self.requests[request_id] = sent
        self.requests_sent += 1
        return sent

    async def _send_stream(self, sent: Sent, channel) -> bool:
        """Send a stream and read its answer; return whether the connection may be used again."""
        reader, writer = channel
        body = sent.id.encode()
        lines = [
            "POST /stream/x HTTP/1.1",
            "Host: shop.example",
            "Authorization: Bearer key-a",
            f"Content-Length: {len(body)}",
            f"X-Briarpond-Request-Id: {sent.id}",
            f"X-Briarpond-Deadline-Ms: {int(DEADLINE_S * 1000)}",
            "X-Briarpond-Model: " + self.rng.choice(["big", "small"]),
            "X-Briarpond-Token-Usage: 900,170",
        ]
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            sent.status = int(head.split(" ")[1])
            await self.read_body(reader, head)
            sent.complete = True
            self.requests_served += sent.status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            sent.ended_at = time.monotonic()
        return "connection: close" not in head.lower()

    async def stop_nodes(self, end: float) -> None:
        """Stop nodes in series; every third stop overlaps with the next."""
        tasks = []
        numbers = itertools.count(1)
        while time.monotonic() < end:
            node = self.rng.choice(self.nodes)
            late = [self.send_late(next(numbers), node) for _ in range(LATE_CALLERS)]
            tasks += [asyncio.create_task(each) for each in late]
            task = asyncio.create_task(node.stop_and_restart())
            tasks.append(task)
            if self.rng.random() < 0.3:
                await asyncio.sleep(self.rng.uniform(0.1, 2.0))
            else:
                await task
                await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            if self.rng.random() < 0.2:
                self.publish_config()
        await asyncio.gather(*tasks)

    def judge(self) -> list[str]:
        """Return a line for each request that a planned stop cut without an excuse."""
        lost = []
        stops = {node.name: node.stops for node in self.nodes}
        for sent in self.requests.values():
            if sent.complete or not sent.runs or not sent.ended_at:
                continue
            for told_at, _ in stops[sent.node]:
                around = told_at <= sent.ended_at <= told_at + GRACE_S + 1.0
                reason = excuse(sent, told_at) if around else "no stop"
                if reason is None:
                    lost.append(describe(sent, told_at))
        return lost


def excuse(sent: Sent, told_at: float) -> str | None:
    """Return why a stop at `told_at` may end a request without an answer; None if it may not."""
    if sent.ended_at - sent.sent_at > DEADLINE_S - 0.3:
        return "deadline"
    last = sent.runs[-1]
    if last.end == "broken off":
        return "the server broke off"
    last_sixth_at = told_at + GRACE_S * 5 / 6
    at_work = last.ended_at is None or last.ended_at >= last_sixth_at
    if at_work and sent.ended_at >= last_sixth_at and sent.sent_at <= told_at + EXCUSED_SENT_S:
        return "still at work in the last sixth of the grace"
    return None


def describe(sent: Sent, told_at: float) -> str:
    """Return one line about a request, with times relative to the SIGTERM of its node."""
    runs = ", ".join(
        f"{run.server} {run.began_at - told_at:+.2f}"
        f"..{'' if run.ended_at is None else f'{run.ended_at - told_at:+.2f}'} {run.end}"
        for run in sent.runs
    )
    return (
        f"{sent.id} at {sent.node}: sent {sent.sent_at - told_at:+.2f}, ended"
        f" {sent.ended_at - told_at:+.2f}, status {sent.status}, kept {sent.is_kept}: {runs}"
    )


async def run_stops(
    seed: int, folder: Path, nodes: int, seconds: float, callers: int = 40
) -> StopSoak:
    """Run one seed; what was cut without an excuse is among the violations."""
    soak = StopSoak(seed, folder, nodes)
    await soak.start()
    try:
        await asyncio.sleep(SETTLE_S)
        end = time.monotonic() + seconds
        tasks = [asyncio.create_task(soak.run_stream_caller(n, end)) for n in range(callers)]
        await soak.stop_nodes(end)
        await asyncio.wait(tasks, timeout=DEADLINE_S + 1.0)
        for line in soak.judge():
            soak.checks.report(f"cut by a planned stop: {line}")
        if soak.requests_served == 0:
            soak.checks.report(f"none of {soak.requests_sent} requests was answered with 200")
    finally:
        soak.kill_nodes()
    await end_leftover_tasks()
    return soak


def main() -> int:
    """Run a range of seeds; return 1 if any has a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--folder", type=Path, default=ROOT / "build" / "stops")
    args = parser.parse_args()
    failed = 0
    for seed in range(args.first, args.first + args.seeds):
        folder = args.folder / f"seed-{seed}-{os.getpid()}"
        soak = asyncio.run(run_stops(seed, folder, args.nodes, args.seconds, args.callers))
        failed += bool(soak.checks.violations)
        stops = sum(len(node.stops) for node in soak.nodes)
        print(
            f"seed {seed}: {soak.requests_served} of {soak.requests_sent} served, {stops} stops,"
            f" pause {soak.longest_pause_s}, silence {soak.silence_share}",
            flush=True,
        )
        for violation in soak.checks.violations[:10]:
            print(f"  {violation}; logs in {folder}", flush=True)
    print(f"seeds: {args.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        sys.exit(main())
