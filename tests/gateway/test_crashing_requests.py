"""Requests with a prompt part that ends each server that begins to write an answer on it."""

from .crashing_servers import Callers, SimulatedServers
from .world import Gateway

HEADS = [f"h{number}" for number in range(12)]
# Server ends after which such requests must stop, and the time in which they must.
CRASHES_UNTIL_STOP = 5
STOP_WITHIN_S = 3.0
# Sends with the part that may still follow.
MAX_SENDS_AFTER_STOP = 3


def sends_after_stop(servers):
    """Return the sends with a deadly part after the time in which they must stop."""
    if len(servers.crashes) < CRASHES_UNTIL_STOP:
        return 0
    stop_at = servers.crashes[CRASHES_UNTIL_STOP - 1] + STOP_WITHIN_S
    return sum(1 for at in servers.deadly_sends if at > stop_at)


# Guards against one part of a prompt ending server after server, request after request (BUDGET).
def test_requests_with_a_part_that_ends_servers_are_stopped(tmp_path):
    gateway = Gateway(tmp_path, HEADS)
    servers = SimulatedServers(gateway.clock, [gateway])
    servers.deadly_parts.add("bad1")
    callers = Callers(gateway.clock, [gateway])
    callers.send_every(0.1, "sound", "f1")
    gateway.clock.advance(4.0)
    callers.send_every(1.0, "deadly", "f1", "bad1")
    gateway.clock.advance(30.0)
    assert sends_after_stop(servers) <= MAX_SENDS_AFTER_STOP
    assert callers.share_answered("sound", gateway.clock.now() - 24.0) > 0.9
