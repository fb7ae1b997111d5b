"""Overload of the models' groups as this node knows it, and what it refuses for it.

Nothing is done unless the settings ask for it, nor for services whose requests all have the same
priority.
"""

import msgspec

from briarpond.dispatch import (
    HOLD_GOAL_FRACTION,
    PRESSURE_HOLD_FRACTION,
    AdmittedShare,
    PressureReason,
    content_key,
    decide_pressure,
    prefill_s,
    spread_retry_after_s,
)
from briarpond.platform import PlatformHeader
from briarpond.routes import EngineSpec, HostedModel, ModelSpec

from ._request_context import RequestContext
from ._state import NodeState
from ._targets import ServerChoice, load_of_model

# Headers that a caller sends again when it repeats a request.
_REPEATED_HEADERS = (
    PlatformHeader.MODEL,
    PlatformHeader.TOKEN_USAGE,
    PlatformHeader.LENGTH_HINT,
    PlatformHeader.PROMPT_PARTS,
)
# Age of the last measurement from which one is made at a request: no other node is heard then.
UNHEARD_S = 1.2


def measure_pressure(state: NodeState, now: float) -> None:
    """Adapt the admitted share of each model; called when loads of other nodes have arrived."""
    table = state.route_table
    if table is None or not state.settings.sheds_load or state.reachability.is_cut_off(now):
        # A node that is cut off avoids all groups, which says nothing of their load.
        return
    for service, spec in table.config.services.items():
        if spec.engine is None or len(table.priorities.get(service, ())) < 2:
            continue
        for model in spec.engine.models:
            hosted = HostedModel(service, model.name)
            admitted = _admitted(state, hosted)
            # A relay hears of loads many times in this interval.
            if not admitted.is_due(now):
                continue
            load = load_of_model(state, hosted, spec.engine, model, now)
            admitted.measure(load, now)
            labels = {"service": service, "model": model.name}
            state.metrics.occupancy.set(labels, load.occupancy)


def _admitted(state: NodeState, hosted: HostedModel) -> AdmittedShare:
    return state.admitted_shares.setdefault(hosted, AdmittedShare())


class Pressure(msgspec.Struct, frozen=True):
    """What overload means for one request now.

    Attributes
    ----------
    reason : PressureReason or None
        Why the request is refused; None if it is not.
    hold_fraction : float
        Fraction of its goal for which it may be held.
    retry_after_s : float
        Retry-After of a refusal, whatever its reason; 0 for the usual one.
    """

    reason: PressureReason | None = None
    hold_fraction: float = HOLD_GOAL_FRACTION
    retry_after_s: float = 0.0


class RequestPressure:
    """Decides about one request under overload.

    Parameters
    ----------
    context : RequestContext
        The request.
    """

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._key: int | None = None

    def rate(self, choice: ServerChoice | None, goal_s: float, now: float) -> Pressure:
        """Return what overload means for the request.

        Parameters
        ----------
        choice : ServerChoice or None
            Server that it would be sent to.
        goal_s : float
            Seconds to the first byte within which the answer has its full value.
        now : float
            Present time.
        """
        context = self._context
        state, caller = context.state, context.caller
        engine = state.engine(context.service)
        spec = None if engine is None else engine.model(caller.model)
        priorities = context.priorities
        if engine is None or spec is None or len(priorities) < 2:
            return Pressure()
        load = load_of_model(state, context.hosted_model, engine, spec, now)
        admitted = _admitted(state, context.hosted_model)
        if not state.reachability.is_cut_off(now):
            admitted.measure(load, now, UNHEARD_S)
        key = self._record(admitted)
        position = admitted.position(key, context.priority, priorities, state.time_of_day())
        if admitted.came_back_early(key, now):
            position = 1.0
        queue_s = self._queue_s(choice, engine, spec)
        reason = decide_pressure(load, admitted.share, position, queue_s, goal_s)
        if not load.is_under_pressure or (reason is None and admitted.share == 1):
            return Pressure()
        remaining_s = caller.expires_at - now
        retry_after_s = spread_retry_after_s(load, admitted.share, goal_s, remaining_s, state.rng)
        if reason is not None:
            admitted.record_refusal(key, now, retry_after_s)
        return Pressure(reason, PRESSURE_HOLD_FRACTION, retry_after_s)

    def _record(self, admitted: AdmittedShare) -> int:
        """Return the key of the request's content; the first time, count the request."""
        if self._key is None:
            context = self._context
            http = context.caller.http
            account = "" if context.tenant is None else context.tenant.name
            headers = [http.header(name) or "" for name in _REPEATED_HEADERS]
            self._key = content_key([account, http.method, http.target, *headers], http.body)
            admitted.record_request(self._key, context.priority)
        return self._key

    def _queue_s(
        self, choice: ServerChoice | None, engine: EngineSpec, spec: ModelSpec
    ) -> float | None:
        if choice is None:
            return None
        return choice.expected_s - prefill_s(engine, spec, self._context.caller.size.prompt_tokens)
