"""A small deployment: store, servers and nodes of one case, and its configurations."""

import asyncio
import json
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .node import HOST, LIMITS, Node, free_ports
from .record import Record
from .servers import Fabric, ModelServer
from .store import Store

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MODEL = "m1"
# Loads take a tenth of their time before the first request.
FIRST_LOAD_S = 1.2
WARM_S = 1.1
REJOIN_S = 0.2
FORM_S = 0.3


class CannotRunError(Exception):
    """The case has not come to the point that it is about."""


class Deployment:
    """Store, servers and nodes of one case.

    Attributes
    ----------
    store : Store
        The platform's store.
    nodes : list of Node
        The processes of the system.
    record : Record
        What was sent, answered and run.
    """

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.fabric = Fabric(FIRST_LOAD_S, WARM_S, REJOIN_S, FORM_S)
        self.nodes: list[Node] = []
        self._version = 0

    async def start_nodes(self, count: int) -> None:
        """Start nodes that know of each other by their seeds."""
        ports = free_ports("127.0.0.11", 9)
        seeds = [f"127.0.0.{10 + number}:{ports[2]}" for number in range(1, 4)]
        for number in range(1, count + 1):
            store_port = await self.store.listen(f"edge-{number}")
            self.nodes.append(Node(number, ports, store_port, seeds, self.record))
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            if not await node.wait_ready():
                raise CannotRunError(f"{node.name} does not become ready")

    async def start_model_servers(self, service: str, count: int, domain: str) -> list[ModelServer]:
        """Start model servers of one service in one domain."""
        servers = [
            ModelServer(self.store, self.record, service, domain, self.fabric) for _ in range(count)
        ]
        for server in servers:
            await server.start()
        return servers

    def configure(self, routes: list[dict], services: list[dict]) -> None:
        """Write the next version of the configuration; the store accepts it at once."""
        self._version += 3
        document = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
            "tenants": [{"name": "tenant-a", "apiKeys": ["key-a", "key-b"], "priority": 1}],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        names = " ".join(f"{route['pathPrefix']}={route['service']}" for route in routes)
        self.record.note("configuration", self._version, names)

    def end(self) -> None:
        """End all processes that were started, and remove their files."""
        for node in self.nodes:
            node.kill()
            node.remove_files()


def stream_route(prefix: str, service: str) -> dict:
    """Return a route of requests for a model, as on the small sites."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "pathPrefix": prefix,
        "type": "stream",
        "timeoutMs": 6000,
        "goalMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gapGoalMs": 200,
    }


def order_route(prefix: str, service: str, public: bool = False) -> dict:
    """Return a route of requests that may run once, as on the small sites."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": HOST,
        "pathPrefix": prefix,
        "type": "non_idempotent",
        "timeoutMs": 1000,
        "goalMs": 200,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "public": public,
    }


def model_service(name: str) -> dict:
    """Return a service of model servers, with the figures of the small sites."""
    engine = {
        "slots": 9,
        "kvCapacity": 984705,
        "stride": 5,
        "models": [
            {"name": MODEL, "size": 2, "share": 1.0, "pace": 0.6, "loadS": 12.0, "warmS": WARM_S}
        ],
        "step_ms": 7.8,
        "per_seq_ms": 0.179,
        "context_per_k": 0.018,
        "read_per_s": 45900.0,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "loadsPerS": 5.0,
        "loads_at_once": 7,
        "usual": {"prompt": 979, "answer": 154},
        "keeps": 1,
        "far_x": 2.5,
        "formMs": FORM_S * 1000,
    }
    return {"name": name, "healthPath": "/healthz", "maxConns": 288, "engine": engine}


def plain_service(name: str) -> dict:
    """Return a service of plain servers."""
    return {"name": name, "healthPath": "/healthz", "maxConns": 110}


def model_headers(parts: str) -> dict[str, object]:
    """Return the headers of a request for the model with the given parts of its prompt."""
    return {
        "X-Briarpond-Model": MODEL,
        "X-Briarpond-Token-Usage": "400,40",
        "X-Briarpond-Prompt-Prefix": parts,
    }


def run_case(folder: Path, play: Callable[[Deployment], Awaitable[bool]], limit_s: float) -> int:
    """Play a case; return the exit status.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    play : callable
        Plays it; returns whether the rule held.
    limit_s : float
        Longest duration.
    """

    async def run() -> int:
        deployment = Deployment(folder)
        try:
            held = await asyncio.wait_for(play(deployment), limit_s)
        except Exception:
            deployment.record.note("could not run", traceback.format_exc())
            return COULD_NOT_RUN
        finally:
            deployment.end()
            # The connections that are still open end with the loop, which is no news.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        deployment.record.note("result", "held" if held else "broken")
        return HELD if held else BROKEN

    return asyncio.run(run())
