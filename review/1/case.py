"""One request with a letter outside ASCII in a header ends the process that took it."""

import asyncio
import time
from pathlib import Path

from standins.lab import Lab, configuration, model_service, plain_service, route, run_case
from standins.wire import Channel

# The rule: a machine does this more than three times.
MOST_LOST = 3
IDLE_TIMEOUT_S = 5
CALLERS = 8
HEADER = {"X-Customer": "Jürgen Hämäläinen"}


async def play(lab: Lab) -> str | None:
    """Play the case; return what was broken."""
    for zone in ("hobart-a", "glenorchy-b", "kingston-c"):
        server = await lab.add_server("desk", zone)
        server.work_s, server.idle_timeout_s = 0.3, IDLE_TIMEOUT_S
    for _ in range(4):
        await lab.add_server("pool", "hobart-a", domain="d1")
    routes = [
        route("look", "idempotent", "desk", maxAttempts=2, timeoutMs=2000),
        route("order", "non_idempotent", "desk", timeoutMs=2000),
    ]
    lab.store.put_config(configuration(1, routes, [plain_service("desk"), model_service("pool")]))
    await lab.start_nodes()
    await asyncio.sleep(6.0)
    node = lab.nodes[0]
    lost: list[str] = []
    callers = [asyncio.create_task(_order(lab, node, lost)) for _ in range(CALLERS)]
    # The node has a kept channel to a server after this one.
    await lab.call(Channel(node.caller_address), "GET", "/look/job")
    more = HEADER if lab.trouble else {}
    await lab.call(Channel(node.caller_address), "GET", "/look/job", lab.headers() | more)
    end = time.monotonic() + 2 * IDLE_TIMEOUT_S + 2.0
    while time.monotonic() < end and node.running:
        await asyncio.sleep(0.05)
    if not node.running:
        lab.record(f"node {node.name} ended by itself, exit status {node.process.returncode}")
    await asyncio.sleep(0.5)
    for caller in callers:
        caller.cancel()
    lab.record(f"orders that were passed on and got no answer: {len(lost)}")
    if len(lost) <= MOST_LOST:
        return None
    return f"LOST: {len(lost)} orders of kept channels got no answer, the process had ended"


async def _order(lab: Lab, node, lost: list[str]) -> None:
    """Send orders over a kept channel; note those that ran and whose channel was closed."""
    channel = Channel(node.caller_address)
    while node.running:
        kept = channel.is_open
        headers = lab.headers(X_Briarpond_Deadline_Ms="2000")
        request_id, answer = await lab.call(channel, "POST", "/order/cut", headers, b"board")
        ran = any(run[2] == request_id for run in lab.runs)
        if kept and ran and not answer.complete:
            lost.append(request_id)


run_case(Lab(Path(__file__).parent, node_count=3), play)
