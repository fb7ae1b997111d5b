"""Two services host the same model; requests are run by the one that their route doesn't name."""

import asyncio
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
from standins_2.node import Client, trouble

DEADLINE_MS = 6000
REQUESTS = 60
PAUSE_S = 0.15


async def play(deployment: Deployment) -> bool:
    """Move one of two routes to a second service, and see where the other's requests run."""
    record = deployment.record
    present = await deployment.start_model_servers("pool", 6, "d1")
    following = await deployment.start_model_servers("pool-next", 6, "d2")
    routes = [stream_route("/a/", "pool"), stream_route("/b/", "pool")]
    deployment.configure(routes, [model_service("pool")])
    await deployment.start_nodes(2)
    client = Client(record)
    for _ in range(100):
        _, status = await ask(client, deployment, "/a/")
        if status == 200:
            break
        await asyncio.sleep(0.2)
    else:
        raise CannotRunError("no request is served before the change")
    if trouble():
        routes = [stream_route("/a/", "pool"), stream_route("/b/", "pool-next")]
        deployment.configure(routes, [model_service("pool"), model_service("pool-next")])
    await asyncio.sleep(8.0)
    asked: dict[str, str] = {}
    for number in range(REQUESTS):
        path = "/b/" if number % 4 == 0 else "/a/"
        request_id, _ = await ask(client, deployment, path)
        asked[request_id] = path
        await asyncio.sleep(PAUSE_S)
    at_pool = {each for server in present for _, each, _ in server.arrivals}
    at_next = {each for server in following for _, each, _ in server.arrivals}
    stayed = {each for each, path in asked.items() if path == "/a/"}
    moved = asked.keys() - stayed
    # No configuration sends /a/ to another service than `pool`.
    wrong = stayed & at_next
    record.note("count", f"/a/ requests: {len(stayed)}, at pool-next: {len(wrong)}")
    record.note("count", f"/b/ requests: {len(moved)}, still at pool: {len(moved & at_pool)}")
    return not wrong


async def ask(client: Client, deployment: Deployment, path: str) -> tuple[str, int]:
    """Send a request for the model to one of the nodes, in turn."""
    ask.count += 1
    node = deployment.nodes[ask.count % len(deployment.nodes)]
    parts = f"5c1e07a2:40,{ask.count:08x}:360"
    return await client.ask(node, path + "2f", DEADLINE_MS, model_headers(parts))


ask.count = 0

if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, 90.0))
