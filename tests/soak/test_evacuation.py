"""Evacuation of a data centre in a deployment of real processes, one cut off from the store."""

import asyncio
import re
import time

from .proxy import Fault
from .run import SETTLE_S, Soak, end_leftover_tasks
from .standins import BackendServer

# The bound on an evacuation from the store's acknowledgement, for all nodes here.
BOUND_S = 5.0
# How long it is observed that no request arrives, or that requests arrive again.
OBSERVED_S = 2.0
EVACUATED = "y"


class PlacedServer(BackendServer):
    """A backend server in one of two data centres; records when callers' requests arrive."""

    def __init__(self, soak, service, domain, data_centre):
        super().__init__(soak, service, domain)
        self.data_centre = data_centre
        self.arrivals = []

    async def handle_request(self, request, reader, writer):
        if request[1] not in ("/report", "/order"):
            self.arrivals.append(time.monotonic())
        await super().handle_request(request, reader, writer)


class TwoDataCentres(Soak):
    """Half of the engines and one of the plain servers are in the data centre to evacuate."""

    async def add_server(self, service, domain=None):
        plain_count = sum(1 for each in self.servers.values() if each.domain is None)
        is_evacuated = domain == "d1" or (domain is None and plain_count == 0)
        server = PlacedServer(self, service, domain, EVACUATED if is_evacuated else "z")
        self.servers[server.id] = server
        await server.start()

    def arrivals(self, data_centre, since):
        return sum(
            1
            for server in self.servers.values()
            if server.data_centre == data_centre
            for at in server.arrivals
            if at >= since
        )


async def play(folder):
    """Evacuate a data centre under load, and cancel it.

    Returns the arrivals there and elsewhere: before the order, from the bound on, and after the
    cancellation.
    """
    soak = TwoDataCentres(1, folder, 3)
    await soak.start()
    counts = []

    async def observe(wait_s):
        await asyncio.sleep(wait_s)
        since = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        counts.append((soak.arrivals(EVACUATED, since), soak.arrivals("z", since)))

    try:
        await asyncio.sleep(SETTLE_S)
        end = time.monotonic() + 60.0
        callers = [asyncio.create_task(soak.run_caller(n, end)) for n in range(8)]
        await observe(1.0)
        rejected = soak.nodes[-1]
        rejected.proxy.fault = Fault.REFUSE
        rejected.proxy.reset_all()
        soak.store.put("keyed.op", f"evacuate/{EVACUATED}", b"{}")
        await observe(BOUND_S)
        soak.store.put("keyed.op", f"evacuate/{EVACUATED}", b"")
        await observe(BOUND_S)
        for caller in callers:
            caller.cancel()
    finally:
        soak.kill_nodes()
    await end_leftover_tasks()
    logs = [(folder / f"{node.name}.log").read_text() for node in soak.nodes]
    return soak, counts, logs


# Guards against an order that one of the nodes never hears of, since the store rejects it.
def test_no_request_reaches_an_evacuated_data_centre(tmp_path):
    soak, (before, during, after), logs = asyncio.run(play(tmp_path))
    assert before[0] > 0 and before[1] > 0
    assert during[0] == 0 and during[1] > 0
    assert after[0] > 0 and after[1] > 0
    assert soak.checks.violations == []
    for log in logs:
        changes = re.findall(r"event=evacuation .*state=(\w+)", log)
        assert changes == ["begun", "ended"]
    assert "source=node" in logs[-1]
