"""A part of long prompts crashes servers."""

import asyncio
import os
from pathlib import Path

from standins.lab import Lab, configuration, model_service, plain_service, route, run_case
from standins.wire import Channel

STABLE_WINDOW_S = 3.0
# The rule: no more requests with the part may reach servers, that long after the fifth crash.
MOST_LATE = 3
FIFTH = 5
# Part that all requests share, and the part that crashes servers.
SHARED_PART, DEADLY_PART = "5c1e07a2", "91bd3f06"
ENGINES_PER_DOMAIN = 10
# The parts of a session of many turns, which stand before the part that crashes servers.
TURNS = [f"a{number:07x}" for number in range(int(os.environ.get("TURNS", "64")))]
DEADLY_PER_S, SOUND_PER_S = 2.0, 12.0
PLAY_S = 20.0


async def play(lab: Lab) -> str | None:
    """Play the case; return what was broken."""
    engines = []
    for number, zone in enumerate(("hobart-a", "glenorchy-b", "kingston-c")):
        await lab.add_server("desk", zone)
        for _ in range(ENGINES_PER_DOMAIN):
            engines.append(await lab.add_server("pool", zone, domain=f"d{number}"))
    for engine in engines:
        engine.work_s, engine.events = 0.05, 8
    stream = {"timeoutMs": 6000, "goalMs": 300, "gapGoalMs": 200, "maxAttempts": 2}
    routes = [route("stream", "stream", "pool", sticky=True, resumable=True, **stream)]
    lab.store.put_config(configuration(1, routes, [plain_service("desk"), model_service("pool")]))
    await lab.start_nodes()
    await asyncio.sleep(4.0)
    sound = asyncio.create_task(_send(lab, SOUND_PER_S, [SHARED_PART, *TURNS]))
    await asyncio.sleep(4.0)
    if lab.trouble:
        lab.deadly_part = DEADLY_PART
    deadly = asyncio.create_task(_send(lab, DEADLY_PER_S, [SHARED_PART, *TURNS, DEADLY_PART]))
    await asyncio.sleep(PLAY_S)
    for task in (sound, deadly):
        task.cancel()
    lab.record(f"crashes: {len(lab.crashes)}")
    if len(lab.crashes) < FIFTH:
        return None
    since = lab.crashes[FIFTH - 1] + STABLE_WINDOW_S
    late = [run for run in lab.runs if run[0] > since and run[2].startswith("d")]
    lab.record(f"requests with the part that reached servers after that: {len(late)}")
    if len(late) <= MOST_LATE:
        return None
    return f"BUDGET: {len(late)} requests with the part reached servers, {len(lab.crashes)} crashes"


async def _send(lab: Lab, per_s: float, parts: list[str]) -> None:
    """Send requests that share `parts` to any node, each with a last part of its own."""
    tasks = set()
    prefix = "d" if DEADLY_PART in parts else "s"
    number = 0
    while True:
        number += 1
        own = f"{lab.rng.getrandbits(32):08x}"
        headers = lab.headers(
            X_Briarpond_Model="m1",
            X_Briarpond_Token_Usage="700,80",
            X_Briarpond_Deadline_Ms="6000",
            X_Briarpond_Prompt_Prefix=",".join(f"{part}:10" for part in [*parts, own]),
        )
        headers["X-Briarpond-Request-Id"] = f"{prefix}{number:06d}"
        channel = Channel(lab.rng.choice(lab.nodes).caller_address)
        call = lab.call(channel, "POST", "/stream/plan", headers, b"plan", 7.0)
        task = asyncio.create_task(call)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(lab.rng.expovariate(per_s))


run_case(Lab(Path(__file__).parent, node_count=3), play)
