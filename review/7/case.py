"""A version of the configuration changes a model's size; groups of the old size go on serving."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

from standins_2.deployment import (
    MODEL,
    CannotRunError,
    Deployment,
    model_headers,
    model_service,
    run_case,
    stream_route,
)
from standins_2.node import BOUNDS, Client, trouble
from standins_2.servers import ModelServer
from standins_2.wire import Message

DEADLINE_MS = 6000
SERVERS = 12
OLD_SIZE, NEW_SIZE = 2, 4
REQUESTS = 100
PAUSE_S = 0.25
APPLY_S = BOUNDS["configApplyMs"] / 1000


async def play(deployment: Deployment) -> bool:
    """Change the size, and see in groups of which size later requests run."""
    record = deployment.record
    servers = await deployment.start_model_servers("pool", SERVERS, "d1")
    sizes: dict[str, int] = {}

    def note_size(server: ModelServer, request: Message) -> None:
        assert server.group is not None
        size = len(server.group["members"])
        request_id = request.headers["x-briarpond-request-id"]
        sizes[request_id] = size
        record.note("in group", request_id, f"{server.group['group']} of {size} members")

    for server in servers:
        server.on_run = note_size
    deployment.configure([stream_route("/a/", "pool")], [model_service("pool")])
    await deployment.start_nodes(2)
    client = Client(record)
    numbers = itertools.count(1)

    async def ask() -> tuple[str, int]:
        number = next(numbers)
        parts = f"5c1e07a2:40,{number:08x}:360"
        node = deployment.nodes[number % 2]
        return await client.ask(node, "/a/2f", DEADLINE_MS, model_headers(parts))

    for _ in range(100):
        if (await ask())[1] == 200:
            break
        await asyncio.sleep(0.2)
    else:
        raise CannotRunError("no request is served")
    await asyncio.sleep(4.0)

    size = NEW_SIZE if trouble() else OLD_SIZE
    service = model_service("pool")
    (model,) = service["engine"]["models"]
    assert model["name"] == MODEL
    model["size"] = size
    deployment.configure([stream_route("/a/", "pool")], [service])
    record.note("size", f"{MODEL} has {size} from now on")
    changed_at = time.monotonic()
    for _ in range(REQUESTS):
        await ask()
        await asyncio.sleep(PAUSE_S)

    late = [each for each in sizes if client.sent_at[each] > changed_at + APPLY_S]
    wrong = [each for each in late if sizes[each] != size]
    last_s = max((client.sent_at[each] - changed_at for each in wrong), default=0.0)
    record.note("count", f"run {APPLY_S} s after the change or later: {len(late)}")
    record.note("count", f"of these in a group of another size: {len(wrong)}, until {last_s:.1f} s")
    return not wrong


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, 100.0))
