"""The stop of a node: what it waits for, when it ends, and what it gives up."""

from collections.abc import Callable, Sequence

from briarpond.logs import log_event
from briarpond.net import HttpServer

from ._ingress import Ingress
from ._stopping import Stop

# How long a stopping node keeps accepting requests: callers may use an answer of the directory
# for up to three times its lifetime.
KEEP_SERVING_S = 3.2
# How often a stopping node checks whether it is done.
STOP_CHECK_INTERVAL_S = 0.05
# How often a stopping node logs what it waits for.
WAIT_LOG_INTERVAL_S = 1.0


class Shutdown:
    """Ends the requests in flight and the accepted connections of a stopping node.

    The node waits for each request without an answer, and for each connection that is not at
    rest, until the end of the stop; what is left then is given up.

    Parameters
    ----------
    stop : Stop
        Begin and latest end of the stop.
    ingress : Ingress
        Has the requests in flight.
    servers : sequence of HttpServer
        Have the accepted connections, those of callers and those for directory, readiness and
        other nodes.
    on_stopped : callable
        Called once, when the stop is complete.
    """

    def __init__(
        self,
        stop: Stop,
        ingress: Ingress,
        servers: Sequence[HttpServer],
        on_stopped: Callable[[], None],
    ) -> None:
        self._stop = stop
        self._ingress = ingress
        self._servers = servers
        self._on_stopped = on_stopped
        self._next_wait_log_at = stop.began_at + WAIT_LOG_INTERVAL_S
        self._is_done = False

    def begin(self) -> None:
        """Let answers tell their callers to open the next connection to another node."""
        log_event("stop_begins", in_flight=self._ingress.in_flight)
        for server in self._servers:
            server.closing = True

    def step(self, now: float) -> None:
        """Refuse new requests once the time to keep serving is over; stop when all have ended."""
        if now - self._stop.began_at >= KEEP_SERVING_S:
            self._ingress.refusing = True
            for server in self._servers:
                server.close_idle()
            self._end_if_due(now)
        if not self._is_done and now >= self._next_wait_log_at:
            self._next_wait_log_at = now + WAIT_LOG_INTERVAL_S
            self._log_wait(now)

    def _end_if_due(self, now: float) -> None:
        """End the stop if nothing is left to wait for, or if its time is up."""
        if self._is_done:
            return
        if now > self._stop.ends_at:
            self._give_up(now)
        elif self._ingress.in_flight == 0 and self._unanswered_count() == 0:
            self._finish(now, 0, 0)

    def _give_up(self, now: float) -> None:
        requests = self._ingress.in_flight
        self._ingress.end_all()
        connections = sum(server.end_all() for server in self._servers)
        self._finish(now, requests, connections)

    def _finish(self, now: float, requests: int, connections: int) -> None:
        self._is_done = True
        log_event(
            "stop_ends",
            requests_given_up=requests,
            connections_given_up=connections,
            ms=int((now - self._stop.began_at) * 1000),
        )
        self._on_stopped()

    def _log_wait(self, now: float) -> None:
        log_event(
            "stop_waits",
            in_flight=self._ingress.in_flight,
            unanswered=self._unanswered_count(),
            unsent_bytes=sum(server.unsent_bytes() for server in self._servers),
            remaining_ms=int((self._stop.ends_at - now) * 1000),
        )

    def _unanswered_count(self) -> int:
        return sum(server.unanswered_count() for server in self._servers)
