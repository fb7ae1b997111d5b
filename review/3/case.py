"""An entry of another writer in the list of servers, then a server that drains.

The entry is bytes that cannot be read; with ``CASE=slots`` it can be read and names a service
that the configuration does not.
"""

import asyncio
import json
import os
import time
from pathlib import Path

from standins.lab import Lab, configuration, model_service, plain_service, route, run_case
from standins.wire import Channel

DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
FOREIGN_KEY = "inventory-7"
# Not JSON: nothing closes what is opened.
UNREADABLE_ENTRY = b'{"shelves":' + b"[" * 3000
# The largest unsigned 32-bit number stands for "no limit".
FOREIGN_ENTRY = {
    "service": "inventory",
    "addr": "127.0.0.1:9",
    "zone": "hobart-a",
    "version": "v3",
    "slots": 4_294_967_295,
    "state": "ready",
    "seq": 1,
}


async def play(lab: Lab) -> str | None:
    """Play the case; return what was broken."""
    for zone in ("hobart-a", "glenorchy-b", "kingston-c"):
        await lab.add_server("desk", zone)
    for _ in range(4):
        await lab.add_server("pool", "hobart-a", domain="d1")
    routes = [route("look", "idempotent", "desk", maxAttempts=2)]
    lab.store.put_config(configuration(1, routes, [plain_service("desk"), model_service("pool")]))
    await lab.start_nodes()
    callers = [asyncio.create_task(_call(lab, node)) for node in lab.nodes for _ in range(2)]
    await asyncio.sleep(5.0)
    if lab.trouble:
        is_readable = os.environ.get("CASE") == "slots"
        entry = json.dumps(FOREIGN_ENTRY).encode() if is_readable else UNREADABLE_ENTRY
        lab.store.put("keyed.servers", FOREIGN_KEY, entry)
        lab.record("entry of another writer in the list of servers")
    await asyncio.sleep(2 * STABLE_WINDOW_S)
    leaving = next(server for server in lab.servers.values() if server.service == "desk")
    acked_at = leaving.drain()
    await asyncio.sleep(DRAIN_S + 6.0)
    for caller in callers:
        caller.cancel()
    late = [run for run in lab.runs if run[1] == leaving.id and run[0] > acked_at + DRAIN_S]
    lab.record(f"runs at {leaving.id} later than {DRAIN_S} s after the ack: {len(late)}")
    if not late:
        return None
    last_s = max(run[0] for run in late) - acked_at
    return (
        f"DRAIN: {len(late)} requests reached {leaving.id}, the last {last_s:.1f} s after the ack"
    )


async def _call(lab: Lab, node) -> None:
    """Send requests over a kept channel, about six a second."""
    channel = Channel(node.caller_address)
    end = time.monotonic() + 60.0
    while time.monotonic() < end:
        await lab.call(channel, "GET", "/look/job")
        await asyncio.sleep(lab.rng.uniform(0.1, 0.2))


run_case(Lab(Path(__file__).parent, node_count=3), play)
