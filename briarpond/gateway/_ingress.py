"""Callers' requests: which route, which key, and the requests under way."""

import msgspec

from briarpond.ids import InstanceId
from briarpond.logs import log_event
from briarpond.net import HttpReply, HttpRequest
from briarpond.platform import WireHeader, bearer_key
from briarpond.routes import choose_service

from ._run import RequestRun
from ._state import NodeState

# With keys to check, a configuration older than this part of the bound is not used.
KEYS_FRESH_SHARE = 0.88
NOT_READY_RETRY_S = 0.3
# Another node can serve what this one may not: callers need not wait.
ELSEWHERE_RETRY_S = 0.02
WAITING_EVERY_S = 0.01
STALL_EVERY_S = 0.05
# All of a head's streams silent for so long: a member of its group is lost.
STALL_S = 0.45


class _Refusal(msgspec.Struct, frozen=True):
    status: int
    reason: str
    retry_after_s: float | None = None


class Ingress:
    """Takes requests from callers and keeps those under way.

    Attributes
    ----------
    refusing : bool
        Whether new requests are turned away because the node is about to stop.
    """

    def __init__(self, state: NodeState, config_age, on_stalled) -> None:
        self.refusing = False
        self._state = state
        self._config_age = config_age
        self._tell_stalled = on_stalled
        # In the order of arrival, so that equal requests wait their turn.
        self._runs: dict[RequestRun, None] = {}
        self._waiting_timer = False

    @property
    def in_flight(self) -> int:
        """Requests that have no final answer yet."""
        return len(self._runs)

    def start(self) -> None:
        """Begin to look for stalled streams."""
        self._state.clock.every(STALL_EVERY_S, self._look_for_stalls)

    def handle(self, request: HttpRequest, reply: HttpReply) -> None:
        """Take a request that was read whole."""
        state = self._state
        table = state.table
        if table is None or self.refusing:
            reason = "no_configuration" if table is None else "stopping"
            self._refuse(request, reply, _Refusal(503, reason, NOT_READY_RETRY_S))
            return
        path = request.target.split("?", 1)[0]
        route = table.find(request.header("host") or "", path)
        if route is None:
            self._refuse(request, reply, _Refusal(404, "no_route"))
            return
        key = bearer_key(request.header(WireHeader.AUTHORIZATION))
        asks_key = table.config.asks_keys and not route.public
        if asks_key and not self._keys_fresh():
            self._refuse(request, reply, _Refusal(503, "keys_stale", ELSEWHERE_RETRY_S))
            return
        if not table.admits(route, key):
            self._refuse(request, reply, _Refusal(401, "unknown_key"))
            return
        run = RequestRun(
            state,
            request,
            reply,
            route,
            choose_service(route, state.rng),
            table.tenant(key),
            self._forget,
            self._on_stalled,
        )
        self._runs[run] = None
        run.start()
        self._watch_waiting()

    def give_up_all(self) -> None:
        """End what is still under way, with true outcomes."""
        for run in list(self._runs):
            run.give_up()

    def wake(self) -> None:
        """Look again at requests that wait: something has changed."""
        waiting = [run for run in self._runs if run.held]
        waiting.sort(key=lambda run: run.rank)
        for run in waiting:
            run.try_send()

    def _forget(self, run: RequestRun) -> None:
        self._runs.pop(run, None)

    def _keys_fresh(self) -> bool:
        age = self._config_age(self._state.clock.now())
        return age is not None and age < self._state.settings.bounds.revoke_s * KEYS_FRESH_SHARE

    def _refuse(self, request: HttpRequest, reply: HttpReply, refusal: _Refusal) -> None:
        state = self._state
        headers = ()
        if refusal.retry_after_s is not None:
            headers = (("Retry-After", f"{refusal.retry_after_s:.3f}"),)
        state.metrics.requests.inc({"kind": "none", "status": str(refusal.status)})
        age = self._config_age(state.clock.now())
        log_event(
            "request",
            id=request.header(WireHeader.REQUEST_ID),
            outcome="refused",
            status=refusal.status,
            reason=refusal.reason,
            config=state.config.version if state.config else 0,
            config_age_ms=-1 if age is None else int(age * 1000),
        )
        reply.whole(refusal.status, headers, b"")

    def _watch_waiting(self) -> None:
        if self._waiting_timer or not any(run.held for run in self._runs):
            return
        self._waiting_timer = True
        self._state.clock.after(WAITING_EVERY_S, self._on_waiting)

    def _on_waiting(self) -> None:
        self._waiting_timer = False
        self.wake()
        self._watch_waiting()

    def _look_for_stalls(self) -> None:
        """Find heads none of whose begun streams makes progress."""
        now = self._state.clock.now()
        last: dict[InstanceId, float] = {}
        begun: dict[InstanceId, int] = {}
        for run in self._runs:
            if run.server is None or not run.model:
                continue
            last[run.server] = max(last.get(run.server, 0.0), run.last_progress)
            begun[run.server] = begun.get(run.server, 0) + run.began
        silent = {
            server
            for server, at in last.items()
            if now - at > (STALL_S if begun[server] else 2 * STALL_S)
        }
        for server in silent:
            if not self._state.avoids(server, now):
                log_event("head_stalled", server=server, silent_ms=int((now - last[server]) * 1000))
            self._on_stalled(server)
        for run in list(self._runs):
            if run.server in silent:
                run.stalled(now)
        for server in self._state.paces.slow(now):
            log_event("head_slow", server=server)
            self._state.paces.forget(server)
            self._on_stalled(server)
        self._watch_waiting()

    def _on_stalled(self, server: InstanceId) -> None:
        now = self._state.clock.now()
        fresh = not self._state.avoids(server, now)
        self._state.avoid(server, now)
        if fresh:
            self._tell_stalled(server)
