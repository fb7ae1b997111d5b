"""One spoiled answer of a server ends the process that passed the request on.

With ``CASE=header`` the cause is a caller's header with letters outside ASCII instead.
"""

import asyncio
import os
import time
from pathlib import Path

from standins.lab import Lab, configuration, model_service, plain_service, route, run_case
from standins.wire import Channel

# The rule: a machine does this more than three times.
MOST_LOST = 3
IDLE_TIMEOUT_S = 5
CALLERS = 12
CALLER_INTERVAL_S = 0.03
HEADER = {"X-Customer": "Jürgen Hämäläinen"}
EVENTS, PAUSE_S = 6, 0.05
# Sound streams before the spoiled one: it is less than one in twenty at each server.
SOUND_ROUNDS, STREAMS_PER_ROUND = 10, 9
# The event from which on the bytes of the spoiled answer are wrong.
SPOILED_FROM = 3


async def play(lab: Lab) -> str | None:
    """Play the case; return what was broken."""
    for zone in ("hobart-a", "glenorchy-b", "kingston-c"):
        server = await lab.add_server("desk", zone)
        server.work_s, server.idle_timeout_s = 0.3, IDLE_TIMEOUT_S
        advisor = await lab.add_server("advice", zone)
        advisor.work_s, advisor.events = PAUSE_S, EVENTS
        advisor.idle_timeout_s = IDLE_TIMEOUT_S
    for _ in range(4):
        await lab.add_server("pool", "hobart-a", domain="d1")
    stream = {"timeoutMs": 6000, "gapGoalMs": 200, "maxAttempts": 2, "resumable": True}
    routes = [
        route("stream", "stream", "advice", **stream),
        route("order", "non_idempotent", "desk", timeoutMs=2000),
    ]
    services = [plain_service("desk"), plain_service("advice"), model_service("pool")]
    lab.store.put_config(configuration(1, routes, services))
    await lab.start_nodes()
    await asyncio.sleep(6.0)
    node = lab.nodes[0]
    lost: list[str] = []
    callers = []
    for _ in range(CALLERS):
        callers.append(asyncio.create_task(_order(lab, node, lost)))
        await asyncio.sleep(CALLER_INTERVAL_S)
    # After these the node keeps channels to the servers.
    for _ in range(SOUND_ROUNDS):
        await asyncio.gather(*(_advice(lab, node, {}) for _ in range(STREAMS_PER_ROUND)))
    by_header = os.environ.get("CASE") == "header"
    if lab.trouble and not by_header:
        lab.spoil_next_from = SPOILED_FROM
    await _advice(lab, node, HEADER if lab.trouble and by_header else {})
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


async def _advice(lab: Lab, node, more: dict[str, str]) -> None:
    """Send one request for a resumable stream."""
    headers = lab.headers(X_Briarpond_Deadline_Ms="6000") | more
    await lab.call(Channel(node.caller_address), "POST", "/stream/tree", headers, b"apple")


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
            return


run_case(Lab(Path(__file__).parent, node_count=3), play)
