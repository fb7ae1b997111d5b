"""HTTP/1.1 server on the event loop; h11 parses and encodes the messages.

circuits.web is not used because it takes one request from each read, does not support
chunked request bodies and buffers an answer until it is complete. The callers on the
outside platform send pipelined requests and chunked bodies and read streamed answers.
"""

from collections.abc import Callable

from ._body_budget import BODY_IDLE_TIMEOUT_S, BodyBudget, choose_stalled
from ._caller_connection import SWEEP_INTERVAL_S, CallerConnection
from ._clock import Clock
from ._connection_end import BodyRefusal, CloseReason, ConnectionEnd
from ._http_reply import HttpReply
from ._http_request import HttpRequest, HttpServerLimits
from ._outbound import Connection
from ._parse_queue import ParseQueue

# Bytes that the callers of a server have not read, of all connections together; those with the
# most are closed.
MAX_UNREAD_IN_ALL_BYTES = 48 * 1024 * 1024


class HttpServer:
    """HTTP server for the connections of one listener.

    Parameters
    ----------
    clock : Clock
        Timers of the process.
    handle : callable
        Called with each complete request and the reply to answer it with.
    limits : HttpServerLimits or None
        Limits on requests and connections; None for the defaults.
    identify : callable
        Returns the id of a request, which `ConnectionEnd` then has; None if it has none.
    on_end : callable
        Called with the end of each connection.
    budget : BodyBudget or None
        Room for bodies, shared with other servers of the process; None for one of its own.
    on_body_refused : callable
        Called with each request that is refused because of its body.

    Attributes
    ----------
    closing : bool
        Whether short answers carry ``Connection: close``, so that callers open their next
        connection to another node. Others don't: `close_idle` closes after them.
    connections : set of CallerConnection
        The connections that are not closed yet.
    """

    def __init__(
        self,
        clock: Clock,
        handle: Callable[[HttpRequest, HttpReply], None],
        limits: HttpServerLimits | None = None,
        identify: Callable[[HttpRequest], str | None] = lambda request: None,
        on_end: Callable[[ConnectionEnd], None] = lambda end: None,
        budget: BodyBudget | None = None,
        on_body_refused: Callable[[BodyRefusal], None] = lambda refusal: None,
    ) -> None:
        self.clock = clock
        self.handle = handle
        self.limits = limits or HttpServerLimits()
        self.identify = identify
        self.on_end = on_end
        self.budget = budget or BodyBudget()
        self.on_body_refused = on_body_refused
        self.parse_queue = ParseQueue(clock)
        self.closing = False
        self.connections: set[CallerConnection] = set()
        clock.every(SWEEP_INTERVAL_S, self._sweep)

    def accept(self, conn: Connection) -> None:
        """Serve an accepted connection."""
        caller = CallerConnection(self, conn)
        conn.callbacks = caller
        self.connections.add(caller)

    def close_idle(self) -> None:
        """Close the connections at rest, because the process is to stop."""
        for caller in list(self.connections):
            caller.close_at_rest(CloseReason.STOP)

    def end_all(self) -> int:
        """Close all connections, because the process ends; return how many it gives up."""
        return sum(caller.end_at_stop() for caller in list(self.connections))

    def unanswered_count(self) -> int:
        """Return the number of connections with a request to be answered or an answer to be sent.

        A part of a request counts, too.
        """
        return sum(not caller.is_at_rest for caller in self.connections)

    def unsent_bytes(self) -> int:
        """Return how many bytes of answers wait in this process."""
        return sum(caller.unread_bytes for caller in self.connections)

    def _sweep(self) -> None:
        """Close the connections that have timed out, and those with too many unread bytes."""
        now = self.clock.now()
        for caller in list(self.connections):
            caller.sweep(now)
        self._limit_unread()
        self._limit_bodies(now)

    def _limit_bodies(self, now: float) -> None:
        """Refuse bodies that make no progress while others wait for room, the largest first."""
        timeout_s = min(BODY_IDLE_TIMEOUT_S, self.limits.idle_timeout_s)
        stalled = [
            (caller, self.budget.held_by(caller))
            for caller in self.connections
            if caller.is_body_stalled(now, timeout_s)
        ]
        for caller in choose_stalled(stalled, self.budget.wanted):
            caller.refuse_body(408, CloseReason.BODY_TIMEOUT)

    def _limit_unread(self) -> None:
        """Close the connections with the most unread bytes while all have too many."""
        total = self.unsent_bytes()
        if total <= MAX_UNREAD_IN_ALL_BYTES:
            return
        by_size = sorted(self.connections, key=lambda caller: caller.unread_bytes)
        while total > MAX_UNREAD_IN_ALL_BYTES:
            caller = by_size.pop()
            total -= caller.unread_bytes
            caller.give_up(CloseReason.UNREAD_LIMIT)
