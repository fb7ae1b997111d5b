"""The head of a new group is cut from the store before it opens, and a member drains."""

import asyncio
import time
from pathlib import Path

from standins.lab import Lab, configuration, model_service, plain_service, route, run_case
from standins.wire import Channel

SIZE = 4
# Seven new servers beside thirty are within the largest share of the site, 0.25.
FIRST_DOMAINS, ENGINES_PER_DOMAIN, NEW_ENGINES = 3, 10, 7
NEW_DOMAIN = "new"
DRAIN_AFTER_S = 1.5
STREAMS_PER_S = 30.0


async def play(lab: Lab) -> str | None:
    """Play the case; return what was broken."""
    for zone in ("hobart-a", "glenorchy-b", "kingston-c"):
        await lab.add_server("desk", zone)
    for number in range(FIRST_DOMAINS * ENGINES_PER_DOMAIN):
        await _add_engine(lab, f"d{number % FIRST_DOMAINS}")
    stream = {"timeoutMs": 6000, "goalMs": 300, "gapGoalMs": 200, "maxAttempts": 2}
    routes = [route("stream", "stream", "pool", sticky=True, resumable=True, **stream)]
    services = [plain_service("desk"), model_service("pool", SIZE)]
    lab.store.put_config(configuration(1, routes, services))
    await lab.start_nodes()
    await asyncio.sleep(4.0)
    callers = asyncio.create_task(_send(lab))
    await asyncio.sleep(3.0)
    opening: asyncio.Future = asyncio.get_running_loop().create_future()

    def on_ready(server, order) -> None:
        is_head = server.id == order["members"][0] and len(order["members"]) == SIZE
        if is_head and server.domain == NEW_DOMAIN and not opening.done():
            # After the server has reported that it is ready.
            asyncio.get_running_loop().call_soon(_cut, lab, server, order, opening)

    lab.watch_ready = on_ready
    for _ in range(NEW_ENGINES):
        await _add_engine(lab, NEW_DOMAIN)
    order = await asyncio.wait_for(opening, 30.0)
    await asyncio.sleep(DRAIN_AFTER_S)
    lab.servers[order["members"][1]].drain()
    await asyncio.sleep(8.0)
    callers.cancel()
    if not lab.double_joins:
        return None
    return f"TWO: {'; '.join(lab.double_joins)}"


def _cut(lab: Lab, server, order: dict, opening: asyncio.Future) -> None:
    if lab.trouble:
        server.cut_from_store()
    opening.set_result(order)


async def _add_engine(lab: Lab, domain: str):
    engine = await lab.add_server("pool", "hobart-a", domain=domain)
    engine.work_s, engine.events = 0.1, 25
    return engine


async def _send(lab: Lab) -> None:
    """Send requests for streams to any node."""
    tasks = set()
    end = time.monotonic() + 90.0
    while time.monotonic() < end:
        headers = lab.headers(
            X_Briarpond_Model="m1",
            X_Briarpond_Token_Usage="700,150",
            X_Briarpond_Deadline_Ms="6000",
            X_Briarpond_Prompt_Prefix=f"5c1e07a2:40,{lab.rng.getrandbits(32):08x}:660",
        )
        channel = Channel(lab.rng.choice(lab.nodes).caller_address)
        call = lab.call(channel, "POST", "/stream/plan", headers, b"plan", 7.0)
        task = asyncio.create_task(call)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(lab.rng.expovariate(STREAMS_PER_S))


run_case(Lab(Path(__file__).parent, node_count=3), play)
