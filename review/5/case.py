"""A node gets SIGTERM; callers use their answers of the directory for as long as they may."""

import asyncio
import signal
import time
from pathlib import Path

from standins.lab import (
    CaseError,
    Lab,
    configuration,
    model_service,
    plain_service,
    route,
    run_case,
)
from standins.wire import Channel

GRACE_S = 8.0
# A request that is sent later than this after the SIGTERM has no excuse in the last sixth of
# the grace period.
EXCUSED_SENT_S = 3.0
# A caller may use an answer of the directory for three times the time that it states.
TTL_S = 1.0
KEEP_FACTOR = 3
# A stream of 6 s: 24 events with pauses below the route's 300 ms.
EVENTS, PAUSE_S = 24, 0.25
CALLERS = 8


async def play(lab: Lab) -> str | None:
    """Play the case; return what was broken."""
    for zone in ("hobart-a", "glenorchy-b", "kingston-c"):
        server = await lab.add_server("desk", zone)
        server.events, server.work_s = EVENTS, PAUSE_S
    for _ in range(4):
        await lab.add_server("pool", "hobart-a", domain="d1")
    routes = [route("stream", "stream", "desk", timeoutMs=8000, goalMs=400, gapGoalMs=300)]
    lab.store.put_config(configuration(1, routes, [plain_service("desk"), model_service("pool")]))
    await lab.start_nodes()
    await asyncio.sleep(6.0)
    # Not a candidate for the lease: these come first by name.
    *others, stopping = sorted(lab.nodes, key=lambda node: node.name)
    address = f"{stopping.ip}:{lab.base_port}"
    told_at = time.monotonic()
    if lab.trouble:
        stopping.signal(signal.SIGTERM)
    listed_at = await _last_listed(lab, others, address, told_at)
    usable_until = listed_at + KEEP_FACTOR * TTL_S
    send_at = told_at + EXCUSED_SENT_S + 0.02
    if send_at > usable_until:
        raise CaseError("no directory listed the node after its SIGTERM")
    await asyncio.sleep(send_at - time.monotonic())
    calls = [_stream(lab, stopping, usable_until) for _ in range(CALLERS)]
    results = [result for result in await asyncio.gather(*calls) if result is not None]
    cut = [request_id for request_id, answer in results if _was_cut(lab, request_id, answer)]
    lab.record(f"streams that were passed on and cut: {len(cut)} of {len(results)}")
    return f"LOST: {len(cut)} of {len(results)} streams cut by a planned stop" if cut else None


async def _last_listed(lab: Lab, nodes, address: str, told_at: float) -> float:
    """Ask the directories of the other nodes for a second; return when the last one listed it."""
    listed_at = float("-inf")
    while time.monotonic() < told_at + 1.0:
        asked_at = time.monotonic()
        answers = await asyncio.gather(*(node.lookup() for node in nodes))
        if any(address in addresses for addresses in answers):
            listed_at = asked_at
        await asyncio.sleep(0.01)
    lab.record(f"a directory listed {address} until {listed_at - told_at:.3f} s after")
    return listed_at


async def _stream(lab: Lab, node, usable_until: float):
    """Send one request for a stream on a new channel; None if the answer may not be used."""
    channel = Channel(node.caller_address)
    if time.monotonic() > usable_until:
        return None
    headers = lab.headers(X_Briarpond_Deadline_Ms="8000")
    return await lab.call(channel, "POST", "/stream/plan", headers, b"plan", timeout_s=9.0)


def _was_cut(lab: Lab, request_id: str, answer) -> bool:
    """Whether a request ran and its channel ended without a complete answer."""
    ran = any(run[2] == request_id for run in lab.runs)
    return ran and not answer.complete


run_case(Lab(Path(__file__).parent, node_count=8), play)
