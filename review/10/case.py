"""A part of a prompt with a long id crashes servers; requests with it are sent on without end."""

import asyncio
import itertools
import os
import sys
from pathlib import Path

from standins_2.deployment import (
    CannotRunError,
    Deployment,
    model_headers,
    model_service,
    run_case,
    stream_route,
)
from standins_2.node import BOUNDS, Client, trouble
from standins_2.wire import Message

DEADLINE_MS = 6000
SERVERS = 16
# Digits of the part's id; the example of the pages has 8, a SHA-256 digest has 64.
ID_DIGITS = int(os.environ.get("ID_DIGITS", "64"))
DEADLY_PART = "d" * ID_DIGITS
SHARED_PART = "5c1e07a2"
DEADLY_INTERVAL_S = 1.0
SOUND_INTERVAL_S = 0.25
PLAY_S = 40.0
STABLE_S = BOUNDS["stableWindowMs"] / 1000
CRASHES_TO_NOTICE = 5
ALLOWED = 3


def has_deadly_part(request: Message) -> bool:
    """Whether the prompt of a request has the deadly part."""
    return DEADLY_PART in request.headers.get("x-briarpond-prompt-prefix", "")


async def play(deployment: Deployment) -> bool:
    """Send requests with the part among sound ones, and count those that reach servers."""
    record = deployment.record
    servers = await deployment.start_model_servers("pool", SERVERS, "d1")
    deployment.configure([stream_route("/a/", "pool")], [model_service("pool")])
    await deployment.start_nodes(2)
    client = Client(record)
    numbers = itertools.count(1)

    async def ask(middle: str) -> tuple[str, int]:
        number = next(numbers)
        node = deployment.nodes[number % 2]
        parts = f"{SHARED_PART}:40,{middle}{number:08x}:360"
        return await client.ask(node, "/a/2f", DEADLINE_MS, model_headers(parts))

    for _ in range(100):
        if (await ask(""))[1] == 200:
            break
        await asyncio.sleep(0.2)
    else:
        raise CannotRunError("no request is served")
    await asyncio.sleep(5.0)

    crashed_at: list[float] = []
    for server in servers:
        server.crashes_on = has_deadly_part if trouble() else lambda request: False
        server.on_crash = crashed_at.append
    tasks: list[asyncio.Task] = []
    deadly: set[str] = set()

    async def send_deadly() -> None:
        request_id, _ = await ask(f"{DEADLY_PART}:100,")
        deadly.add(request_id)

    steps = int(PLAY_S / SOUND_INTERVAL_S)
    steps_between = int(DEADLY_INTERVAL_S / SOUND_INTERVAL_S)
    for step in range(steps):
        if step % steps_between == 0:
            tasks.append(asyncio.create_task(send_deadly()))
        tasks.append(asyncio.create_task(ask("")))
        await asyncio.sleep(SOUND_INTERVAL_S)
    await asyncio.gather(*tasks)

    record.note("count", f"crashes: {len(crashed_at)}")
    if len(crashed_at) < CRASHES_TO_NOTICE:
        return True
    counted_from = crashed_at[CRASHES_TO_NOTICE - 1] + STABLE_S
    late = [
        each
        for server in servers
        for at, each, _ in server.arrivals
        if each in deadly and at > counted_from and client.sent_at[each] > counted_from
    ]
    record.note("count", f"with the part, {STABLE_S} s after the fifth crash: {len(late)}")
    return len(late) <= ALLOWED


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, 100.0))
