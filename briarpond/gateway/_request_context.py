"""What all sends of one request share."""

from collections.abc import Container

import msgspec

from briarpond.dispatch import LengthForecast, SendProgress, decode_step_s, may_hedge
from briarpond.ids import InstanceId, PromptPart, ServiceName
from briarpond.platform import PlatformHeader
from briarpond.quarantine import Block
from briarpond.routes import EngineSpec, HostedModel, Route, Tenant, request_priority

from ._caller_request import CallerRequest
from ._hop_headers import Hop
from ._hop_link import HopTarget
from ._request_cost import RequestCost
from ._state import NodeState
from ._stopping import longest_duration_s
from ._targets import ServerChoice, best_group, best_server


class RetryGrant(msgspec.Struct):
    """The send that the retry budget has granted to one request.

    Attributes
    ----------
    unsent_since : float or None
        Time of a grant whose send has not begun; None without one.
    sent_at : float
        Time at which the last repeat was counted as sent.
    """

    unsent_since: float | None = None
    sent_at: float = float("-inf")


class RequestContext(msgspec.Struct, frozen=True):
    """A request of a caller, and where it belongs.

    Attributes
    ----------
    state : NodeState
        Shared state of the node.
    route : Route
        Route that the request matched.
    service : ServiceName
        Service of the route whose servers the request is sent to.
    tenant : Tenant or None
        Client account that the key of the request belongs to; None without a known key.
    caller : CallerRequest
        The request.
    cost : RequestCost
        Expected and seen length of the answer.
    grant : RetryGrant
        What the retry budget has granted.
    hop : Hop or None
        What the node that has passed the request on tells of it; None if a caller has sent it
        here. One that was passed on is never passed on again.
    """

    state: NodeState
    route: Route
    service: ServiceName
    tenant: Tenant | None
    caller: CallerRequest
    cost: RequestCost = msgspec.field(default_factory=RequestCost)
    grant: RetryGrant = msgspec.field(default_factory=RetryGrant)
    hop: Hop | None = None

    @property
    def runs_in_group(self) -> bool:
        """Whether a group of instances runs the request, and not a plain server."""
        return self.state.engine(self.service) is not None

    @property
    def hosted_model(self) -> HostedModel:
        """The model that the request names, at the service that it goes to."""
        return HostedModel(self.service, self.caller.model)

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        return request_priority(self.route, self.tenant)

    @property
    def priorities(self) -> tuple[int, ...]:
        """Priorities that requests to the service can have, in ascending order."""
        table = self.state.route_table
        if table is None or not self.state.settings.sheds_load:
            return ()
        return table.priorities.get(self.service, ())

    @property
    def server_priority(self) -> int | None:
        """Priority that servers are told; None if all requests have the same one."""
        table = self.state.route_table
        if table is None or not table.has_priorities or not self.state.settings.sheds_load:
            return None
        return self.priority

    @property
    def longest_duration_s(self) -> float:
        """Seconds within which a server answers the request; infinite if not known.

        The caller's own estimate of the length counts only if the request may be repeated.
        """
        caller = self.caller
        answer_tokens = (
            caller.size.answer_tokens if self.route.repeatable else caller.max_answer_tokens
        )
        engine = self.state.engine(self.service)
        return longest_duration_s(engine, caller.model, caller.size.prompt_tokens, answer_tokens)

    def predict_cost(self, engine: EngineSpec, now: float) -> LengthForecast:
        """Return the expected length of the answer, which is predicted at the first call."""
        if self.cost.forecast is None:
            self.cost.forecast = self.state.answer_lengths.predict(
                self.service,
                self.route.name,
                self.caller.length_hint,
                self.caller.max_answer_tokens,
                engine.mean_answer_tokens,
                now,
            )
        return self.cost.forecast

    def record_step(self, server: InstanceId, gap_s: float, now: float) -> None:
        """Compare the gap between two events of a group with its expected decode step."""
        engine = self.state.engine(self.service)
        spec = None if engine is None else engine.model(self.caller.model)
        if engine is None or spec is None:
            return
        running = min(self.state.load_tracker.total_load(server).in_flight, engine.slots)
        step_s = decode_step_s(engine, spec, running)
        self.state.step_paces.record_gap(server, self.hosted_model, gap_s, step_s, now)

    def learn_cost(self, now: float) -> None:
        """Learn from a whole answer that came as a stream from its first event on."""
        forecast, events = self.cost.forecast, self.cost.events
        is_partial = self.caller.http.header(PlatformHeader.LAST_EVENT_ID) is not None
        if forecast is None or not events or is_partial:
            return
        lengths = self.state.answer_lengths
        lengths.record(self.service, self.route.name, self.caller.length_hint, events, now)
        if forecast.is_learned:
            error = abs(self.cost.expected_tokens - self.cost.seen_tokens)
            self.state.metrics.cost_error.observe({"route": self.route.name}, error)

    def quarantine_block(
        self, now: float, parts: tuple[PromptPart, ...] | None = None
    ) -> Block | None:
        """Return the quarantine that keeps the request, or some of its parts, from being sent."""
        request_key = self.caller.id or f"unnamed-{id(self)}"
        checked_parts = self.caller.prompt_parts if parts is None else parts
        return self.state.quarantine.check(checked_parts, request_key, now)

    def is_suspect(self, now: float) -> bool:
        """Whether servers ended under requests with the same parts of a prompt."""
        return self.state.quarantine.is_suspect(self.caller.prompt_parts, now)

    def take_retry_budget(self, now: float) -> bool:
        """Whether the retry budget has room for another send; it is counted if so.

        A grant whose send did not begin is used again: no send is about to use it, since one
        is asked for only when all sends under way have begun.
        """
        if self.grant.unsent_since is not None:
            return True
        state = self.state
        budget = state.retry_budget(self.service)
        share = state.retry_share(now)
        if budget.try_acquire(share, now):
            self.grant.unsent_since = now
            state.retry_records.record_granted(self.service)
            return True
        usage = budget.usage(share, now)
        state.retry_records.record_refused(self.service, usage, share, now)
        return False

    def record_repeat(self, server: InstanceId, now: float) -> None:
        """Count and log a send beyond the first, whose first byte is about to leave."""
        state = self.state
        budget = state.retry_budget(self.service)
        granted_at = self.grant.unsent_since
        self.grant.unsent_since = None
        self.grant.sent_at = now
        budget.record_sent(now, granted_at is not None)
        usage = budget.usage(state.retry_share(now), now)
        held_s = None if granted_at is None else now - granted_at
        state.retry_records.record_sent(self.service, self.caller.id, server, held_s, usage)

    def release_retry_budget(self) -> None:
        """Give back a grant whose send has not begun, since the request has ended."""
        if self.grant.unsent_since is not None:
            self.grant.unsent_since = None
            self.state.retry_budget(self.service).release()

    def restore_retry_grant(self, now: float) -> None:
        """Reuse the grant of a repeat that has reached no server; a second one is given back."""
        budget = self.state.retry_budget(self.service)
        budget.restore_grant(self.grant.sent_at)
        if self.grant.unsent_since is None:
            self.grant.unsent_since = now
        else:
            budget.release()

    def may_hedge(self, progress: SendProgress, now: float) -> bool:
        """Whether the route and the sends so far permit another send beside one under way."""
        remaining_s = self.caller.expires_at - now
        return may_hedge(self.route, progress, remaining_s, self.is_suspect(now))

    def take_hedge(self, now: float) -> bool:
        """Whether a send may be added to one under way; the retry budget counts it if so."""
        return self.quarantine_block(now) is None and self.take_retry_budget(now)


def choose_helper_for(
    context: RequestContext, tried: Container[InstanceId], now: float
) -> HopTarget | None:
    """Return the node that a request is passed to; None if it goes to a server from here.

    Parameters
    ----------
    context : RequestContext
        The request.
    tried : container of InstanceId
        Servers, and names of nodes, that are left out.
    now : float
        Present time.
    """
    state = context.state
    if context.hop is not None or not state.hops.is_cut_off(now):
        return None
    return state.hops.choose(tried, state.is_avoided, now)


def best_choice(
    context: RequestContext, tried: Container[InstanceId], now: float
) -> ServerChoice | None:
    """Return the server that a request is best sent to.

    Parameters
    ----------
    context : RequestContext
        The request.
    tried : container of InstanceId
        Servers that are left out.
    now : float
        Present time.

    Returns
    -------
    ServerChoice or None
        The best server, which may have no room, or a node that passes the request on if this one
        reaches no servers; None if neither is left.
    """
    state = context.state
    helper = choose_helper_for(context, tried, now)
    if helper is not None:
        return ServerChoice(helper.name, helper.address, 0.0, True, helper=helper.node)
    engine = state.engine(context.service)
    if engine is None:
        return best_server(state, context.service, tried, now, state.rng)
    caller = context.caller
    forecast = context.predict_cost(engine, now)
    return best_group(state, context.hosted_model, caller.size, tried, now, forecast)
