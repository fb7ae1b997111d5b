"""Entry point of callers' requests: routing, key check, and the requests in flight."""

from collections.abc import Callable

import msgspec

from briarpond.ids import InstanceId, PromptPart, ServiceName
from briarpond.logs import log_event, reserved_lines
from briarpond.net import HttpReply, HttpRequest, run_guarded
from briarpond.platform import PlatformHeader, bearer_key
from briarpond.routes import Route, choose_service

from ._hop_headers import Hop, end_headers, is_node_target, runs_header
from ._hop_send import NOT_RUN_STATUS
from ._run import ForwardedRequest
from ._send import Send
from ._state import NodeState
from ._stopping import Stop, can_finish

# Requests that need a key are refused while the configuration is older than this share of
# `bounds.revoke_within_s`, the time within which a withdrawn key must stop working.
KEYS_MAX_AGE_SHARE = 0.88
# Retry-After of refusals while no node may be able to serve the request.
NOT_READY_RETRY_S = 0.3
# Retry-After where only this node can't serve the request, because its configuration is too
# old or it is stopping: another node can at once, so the caller need not wait.
OTHER_NODE_RETRY_S = 0.02
# Requests that are named at most near the end of a stop.
MAX_NAMED_IN_HAND = 200
# How often held requests are tried again.
HELD_CHECK_INTERVAL_S = 0.01
# How often streams are checked for progress.
STALL_CHECK_INTERVAL_S = 0.05
# A check that comes this long after the last one says nothing about servers: this node was late,
# and their events may wait in its sockets until the next turn of the loop.
LATE_CHECK_S = 0.2
# A head none of whose streams made progress for this long counts as stalled: a member of
# its group is probably lost. Twice as long while none of the streams has begun.
STALL_TIMEOUT_S = 0.45
# The same of a node that passes requests on, which asks other servers itself before.
NODE_STALL_TIMEOUT_S = 1.0


class _Refusal(msgspec.Struct, frozen=True):
    """Answer to a request that is not forwarded.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Reason in the log event `request`.
    retry_after_s : float or None
        Value of the ``Retry-After`` header; None to send no such header.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class Ingress:
    """Accepts or refuses callers' requests and tracks those in flight.

    Parameters
    ----------
    state : NodeState
        Shared state of the node.
    config_age : callable
        Takes the present time; returns the seconds since the configuration of this node was
        last confirmed to be the newest, or None if it has not read one.
    on_stalled : callable
        Called with the instance id of a backend server that is newly found stalled, slow
        or unreachable.

    Attributes
    ----------
    refusing : bool
        Whether new requests are refused because the node is about to stop.
    stop : Stop or None
        The stop of the node, once it has begun: requests that may outlast it are refused.
    others_are_ready : callable
        Returns whether another node takes callers' requests.
    """

    def __init__(self, state: NodeState, config_age, on_stalled) -> None:
        self.refusing = False
        self.stop: Stop | None = None
        self.others_are_ready: Callable[[], bool] = lambda: True
        self._state = state
        self._config_age = config_age
        self._report_stalled = on_stalled
        # With their ids. Of held requests with equal sort keys the earlier one goes first.
        self._requests: dict[ForwardedRequest, str | None] = {}
        self._held_timer_set = False
        self._stalls_checked_at = state.clock.now()
        state.quarantine_link.end_requests = self._end_requests_with

    @property
    def in_flight(self) -> int:
        """Number of requests without a final answer."""
        return len(self._requests)

    def open_sends(self) -> list[Send]:
        """Return the sends to servers that are under way."""
        sends = (send for forwarded in self._requests for send in forwarded.open_sends)
        return [send for send in sends if not is_node_target(send.server)]

    def start(self) -> None:
        """Start the periodic check for stalled streams."""
        self._state.clock.every(STALL_CHECK_INTERVAL_S, self._check_stalls)

    def handle(self, request: HttpRequest, reply: HttpReply, hop: Hop | None = None) -> None:
        """Forward a request whose body was read in full, or refuse it.

        Parameters
        ----------
        request : HttpRequest
            The caller's request.
        reply : HttpReply
            Receives the answer, now or later.
        hop : Hop or None
            What the node that has passed the request on tells of it; None if a caller has sent it
            here. It is routed, checked and held to the limits of this node all the same.
        """
        state = self._state
        route_table = state.route_table
        if route_table is None or self.refusing:
            self._refuse(request, reply, self._not_ready_refusal(), hop)
            return
        path = request.target.split("?", 1)[0]
        route = route_table.find(request.header("host") or "", path)
        if route is None:
            self._refuse(request, reply, _Refusal(404, "no_route"), hop)
            return
        key = bearer_key(request.header(PlatformHeader.AUTHORIZATION))
        needs_key = route_table.config.requires_keys and not route.public
        if needs_key and not self._keys_are_current():
            refusal = _Refusal(503, "keys_stale", OTHER_NODE_RETRY_S)
            self._refuse(request, reply, refusal, hop)
            return
        if not route_table.allows(route, key):
            self._refuse(request, reply, _Refusal(401, "unknown_key"), hop)
            return
        forwarded = ForwardedRequest(
            state,
            request,
            reply,
            route,
            self._service_of(route, hop),
            route_table.tenant_of_key(key),
            self._remove,
            self._on_stalled,
            hop,
        )
        if not self._can_finish(forwarded):
            forwarded.refuse("stopping", self._stopping_retry_s())
            return
        request_id = request.header(PlatformHeader.REQUEST_ID)
        self._requests[forwarded] = request_id
        self._log_taken(request_id, forwarded.expires_at)
        forwarded.start()
        self._schedule_held_check()

    def end_all(self) -> None:
        """End all requests in flight; the status of each answer tells whether it may have run."""
        with reserved_lines():
            for forwarded in list(self._requests):
                run_guarded("request", forwarded.end_at_shutdown)

    def log_in_hand(self) -> None:
        """Name the requests in flight in the log: the process may be killed before they end."""
        now = self._state.clock.now()
        with reserved_lines():
            for forwarded, request_id in list(self._requests.items())[:MAX_NAMED_IN_HAND]:
                log_event(
                    "request_in_hand",
                    id=request_id,
                    server="+".join(send.server for send in forwarded.open_sends) or "-",
                    held=forwarded.held,
                    silent_ms=int(forwarded.silent_s(now) * 1000),
                    expires_in_ms=int((forwarded.expires_at - now) * 1000),
                    in_flight=self.in_flight,
                )

    def _log_taken(self, request_id: str | None, expires_at: float) -> None:
        """Name a request that a stopping node takes: it may be killed before the request ends."""
        if self.stop is None:
            return
        now = self._state.clock.now()
        with reserved_lines():
            log_event(
                "request_taken",
                id=request_id,
                elapsed_ms=int((now - self.stop.began_at) * 1000),
                expires_in_ms=int((expires_at - now) * 1000),
            )

    def retry_held(self) -> None:
        """Try again to send the held requests, most urgent first, after a change of state."""
        held_requests = [forwarded for forwarded in self._requests if forwarded.held]
        held_requests.sort(key=lambda forwarded: forwarded.sort_key)
        for forwarded in held_requests:
            if forwarded.was_tried or self._can_finish(forwarded):
                forwarded.try_send()
            else:
                forwarded.refuse("stopping", self._stopping_retry_s())

    def _end_requests_with(self, part: PromptPart) -> None:
        """End the requests with a part that was put in quarantine and have no answer yet."""

        def end_all() -> None:
            for forwarded in list(self._requests):
                forwarded.end_if_not_begun(part)

        # Not at once: the request whose server has just ended is still being handled.
        self._state.clock.after(0.0, end_all)

    def _not_ready_refusal(self) -> _Refusal:
        if self._state.route_table is None:
            return _Refusal(503, "no_configuration", NOT_READY_RETRY_S)
        return _Refusal(503, "stopping", self._stopping_retry_s())

    def _stopping_retry_s(self) -> float:
        """Return the Retry-After of what is refused as this node stops."""
        return OTHER_NODE_RETRY_S if self.others_are_ready() else NOT_READY_RETRY_S

    def _can_finish(self, forwarded: ForwardedRequest) -> bool:
        """Whether a request may have its answer before this node ends.

        One that will not is better refused at once, while it has certainly not run.
        """
        if self.stop is None:
            return True
        return can_finish(
            self.stop,
            forwarded.expires_at,
            forwarded.longest_duration_s,
            self.others_are_ready(),
            self._state.clock.now(),
        )

    def _remove(self, forwarded: ForwardedRequest) -> None:
        self._requests.pop(forwarded, None)

    def _keys_are_current(self) -> bool:
        age = self._config_age(self._state.clock.now())
        return (
            age is not None
            and age < self._state.settings.bounds.revoke_within_s * KEYS_MAX_AGE_SHARE
        )

    def _service_of(self, route: Route, hop: Hop | None) -> ServiceName:
        """Return the service that a request goes to: that which it went to before, if any."""
        if hop is not None and any(hop.service == each.service for each in route.services):
            return hop.service
        return choose_service(route, self._state.rng)

    def _refuse(
        self, request: HttpRequest, reply: HttpReply, refusal: _Refusal, hop: Hop | None
    ) -> None:
        state = self._state
        headers = ()
        if refusal.retry_after_s is not None:
            headers = (("Retry-After", f"{refusal.retry_after_s:.3f}"),)
        if hop is None:
            state.metrics.requests.inc({"kind": "none", "status": str(refusal.status)})
        elif refusal.status == NOT_RUN_STATUS:
            headers = (*headers, *end_headers(refusal.reason, 0))
        else:
            headers = (*headers, *runs_header(0))
        age = self._config_age(state.clock.now())
        origin = state.config_origin()
        log_event(
            "request",
            id=request.header(PlatformHeader.REQUEST_ID),
            outcome="refused",
            status=refusal.status,
            reason=refusal.reason,
            config=state.config.version if state.config else 0,
            config_age_ms=-1 if age is None else int(age * 1000),
            config_era=origin.position.era,
            config_position=origin.position.offset,
            confirmed_by=origin.confirmed_by or "-",
            origin="-" if hop is None else hop.origin,
        )
        reply.send_whole(refusal.status, headers, b"")

    def _schedule_held_check(self) -> None:
        if self._held_timer_set or not any(forwarded.held for forwarded in self._requests):
            return
        self._held_timer_set = True
        self._state.clock.after(HELD_CHECK_INTERVAL_S, self._check_held)

    def _check_held(self) -> None:
        self._held_timer_set = False
        self.retry_held()
        self._schedule_held_check()

    def _check_stalls(self) -> None:
        """Hedge requests at stalled heads; avoid and report stalled and slow heads."""
        now = self._state.clock.now()
        was_late = now - self._stalls_checked_at > LATE_CHECK_S
        self._stalls_checked_at = now
        if was_late:
            return
        self._reroute_requests(now)
        latest_progress: dict[InstanceId, float] = {}
        streams_begun: dict[InstanceId, int] = {}
        sends = [
            send for forwarded in self._requests if forwarded.model for send in forwarded.open_sends
        ]
        for send in sends:
            latest_progress[send.server] = max(
                latest_progress.get(send.server, 0.0), send.last_progress
            )
            streams_begun[send.server] = streams_begun.get(send.server, 0) + send.first_event_seen
        stalled_servers = {
            server
            for server, progress_at in latest_progress.items()
            if now - progress_at > _stall_timeout_s(server, streams_begun[server] > 0)
        }
        for server in stalled_servers:
            if not self._state.is_avoided(server, now):
                log_event(
                    "head_stalled",
                    server=server,
                    silent_ms=int((now - latest_progress[server]) * 1000),
                )
            self._on_stalled(server)
        self._hedge_requests_at(stalled_servers, now)
        for server in self._state.event_gap_tracker.slow_heads(now):
            log_event("head_slow", server=server)
            self._state.event_gap_tracker.reset(server)
            self._on_stalled(server)
        self._schedule_held_check()

    def _reroute_requests(self, now: float) -> None:
        """Take requests off servers that this node, being cut off, tries to connect to."""
        if not self._state.reachability.is_cut_off(now):
            return
        for forwarded in list(self._requests):
            forwarded.reroute(now)

    def _hedge_requests_at(self, stalled_servers: set[InstanceId], now: float) -> None:
        """Ask other servers too for requests that only stalled ones have, most urgent first."""
        silent_requests = [
            forwarded
            for forwarded in self._requests
            if forwarded.open_sends
            and all(send.server in stalled_servers for send in forwarded.open_sends)
        ]
        silent_requests.sort(key=lambda forwarded: forwarded.sort_key)
        for forwarded in silent_requests:
            forwarded.hedge(now)

    def _on_stalled(self, server: InstanceId) -> None:
        """Send nothing new to a server for a while; report it unless it is avoided already."""
        now = self._state.clock.now()
        newly_stalled = not self._state.is_avoided(server, now)
        self._state.avoid(server, now)
        if newly_stalled and not is_node_target(server):
            self._report_stalled(server)


def _stall_timeout_s(server: InstanceId, has_begun: bool) -> float:
    """Return after how long without progress a server, or a node, counts as stalled."""
    timeout_s = NODE_STALL_TIMEOUT_S if is_node_target(server) else STALL_TIMEOUT_S
    return timeout_s if has_begun else 2 * timeout_s
