"""Length of answers, predicted by route from the answers that were observed.

A stream is observed in events, each of which holds several tokens. The logarithm of the number
of events is predicted: linearly from the logarithm of the caller's length hint if there is one,
otherwise by the mean of the route. Events are converted to tokens by the engine's configured mean
answer and the mean number of events of the service.
"""

import math
from collections.abc import Hashable

import msgspec

# Time after which an observed answer has half the weight of a new one. A node sees one or two
# answers a second on several routes; a minute keeps a few dozen of each route.
HALF_LIFE_S = 60.0
# Answers of a route, by weight, from which on its predictions are used.
MIN_LEARNED_ANSWERS = 3.0
# Answers, by weight, that the prior is worth beside the observed ones.
PRIOR_ANSWERS = 3.0
# Prior variance of the logarithm of a length; the spread of answers is 0.7 to 0.9.
PRIOR_VARIANCE = 0.64
# Prior slope of the length over the hint, in logarithms: hints are often far off.
PRIOR_SLOPE = 0.5
# Least variance of a prediction, so that no answer is taken to end exactly as predicted.
MIN_VARIANCE = 0.01


class LengthForecast(msgspec.Struct, frozen=True):
    """Log-normal distribution of the length of one answer, in tokens.

    Attributes
    ----------
    log_mean : float
        Mean of the logarithm of the length.
    variance : float
        Variance of the logarithm.
    limit : float
        Most tokens of the answer.
    tokens_per_event : float
        Tokens that one event of the stream holds.
    is_learned : bool
        Whether the forecast follows from observed answers of the route.
    """

    log_mean: float
    variance: float
    limit: float
    tokens_per_event: float
    is_learned: bool

    @property
    def mean(self) -> float:
        """Expected tokens of the whole answer."""
        return min(self.limit, math.exp(self.log_mean + self.variance / 2))

    def remaining(self, written: float) -> float:
        """Return the expected tokens after `written` ones, given that the answer goes on.

        An answer that is longer than its mean is expected to go on for long; what remains is
        at least one event.
        """
        if written <= 0:
            return max(self.tokens_per_event, self.mean)
        spread = math.sqrt(self.variance)
        distance = (self.log_mean - math.log(written)) / spread
        share_longer = _normal_cdf(distance)
        if share_longer < 1e-6:
            return self.tokens_per_event
        whole = math.exp(self.log_mean + self.variance / 2)
        expected = whole * _normal_cdf(distance + spread) / share_longer - written
        return max(self.tokens_per_event, min(expected, self.limit - written))


def _normal_cdf(value: float) -> float:
    return 0.5 * math.erfc(-value / math.sqrt(2))


class _Moments(msgspec.Struct):
    """Decayed sums over pairs of logarithms: of the hint (x) and of the length (y)."""

    at: float = 0.0
    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    yy: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the weight of earlier pairs to that at the present time."""
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.at = now
        for name in ("weight", "x", "y", "xx", "xy", "yy"):
            setattr(self, name, getattr(self, name) * factor)

    def add(self, x: float, y: float, now: float) -> None:
        """Add a pair."""
        self.decay(now)
        self.weight += 1
        self.x += x
        self.y += y
        self.xx += x * x
        self.xy += x * y
        self.yy += y * y


class _RouteLengths(msgspec.Struct):
    """Observed answers of one route: all of them, and those with a length hint."""

    all: _Moments = msgspec.field(default_factory=_Moments)
    hinted: _Moments = msgspec.field(default_factory=_Moments)


class _ServiceEvents(msgspec.Struct):
    """Decayed count and sum of the events of the answers of a service."""

    at: float = 0.0
    weight: float = 0.0
    events: float = 0.0

    def add(self, events: int, now: float) -> None:
        """Add an answer."""
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.at = now
        self.weight = self.weight * factor + 1
        self.events = self.events * factor + events


class AnswerLengths:
    """Learns the lengths of answers by service and route, and predicts them."""

    def __init__(self) -> None:
        self._routes: dict[tuple[Hashable, Hashable], _RouteLengths] = {}
        self._services: dict[Hashable, _ServiceEvents] = {}

    def record(
        self, service: Hashable, route: Hashable, hint: int | None, events: int, now: float
    ) -> None:
        """Learn from a whole answer.

        Parameters
        ----------
        service, route : hashable
            Service and route of the request.
        hint : int or None
            Tokens that the caller expected; None if it gave no number.
        events : int
            Events of the answer.
        now : float
            Present time.
        """
        if events <= 0:
            return
        self._services.setdefault(service, _ServiceEvents()).add(events, now)
        lengths = self._routes.setdefault((service, route), _RouteLengths())
        lengths.all.add(0.0, math.log(events), now)
        if hint:
            lengths.hinted.add(math.log(hint), math.log(events), now)

    def predict(
        self,
        service: Hashable,
        route: Hashable,
        hint: int | None,
        limit: int,
        mean_tokens: float,
        now: float,
    ) -> LengthForecast:
        """Predict the length of an answer.

        Parameters
        ----------
        service, route : hashable
            Service and route of the request.
        hint : int or None
            Tokens that the caller expects; None if it gives no number.
        limit : int
            Most tokens that the request allows; 0 if it does not say.
        mean_tokens : float
            Configured mean answer of the engine, the prediction while nothing is learned.
        now : float
            Present time.
        """
        highest = float(limit) if limit > 0 else math.inf
        mean_tokens = max(1.0, mean_tokens)
        prior_log_mean = math.log(mean_tokens) - PRIOR_VARIANCE / 2
        lengths = self._routes.get((service, route))
        if lengths is None:
            return LengthForecast(prior_log_mean, PRIOR_VARIANCE, highest, 1.0, False)
        totals = self._services[service]
        tokens_per_event = mean_tokens * totals.weight / totals.events
        log_scale = math.log(tokens_per_event)
        lengths.all.decay(now)
        log_events, variance = _without_hint(lengths.all, prior_log_mean - log_scale)
        if hint:
            lengths.hinted.decay(now)
            log_events, variance = _with_hint(
                lengths.hinted, math.log(hint), log_events, log_scale, variance
            )
        is_learned = lengths.all.weight >= MIN_LEARNED_ANSWERS
        return LengthForecast(
            log_events + log_scale, variance, highest, tokens_per_event, is_learned
        )


def _without_hint(seen: _Moments, prior_mean: float) -> tuple[float, float]:
    """Return mean and variance of the logarithm of the events."""
    weight = seen.weight + PRIOR_ANSWERS
    mean = (seen.y + PRIOR_ANSWERS * prior_mean) / weight
    squares = seen.yy - 2 * mean * seen.y + seen.weight * mean * mean
    return mean, max(MIN_VARIANCE, (squares + PRIOR_ANSWERS * PRIOR_VARIANCE) / weight)


def _with_hint(
    seen: _Moments, hint: float, route_mean: float, log_scale: float, route_variance: float
) -> tuple[float, float]:
    """Return mean and variance of the logarithm of the events, given that of the hint.

    The prior is worth `PRIOR_ANSWERS` pairs around the mean of the route, in which the hint has
    the variance of the lengths.
    """
    weight = seen.weight + PRIOR_ANSWERS
    mean_x = (seen.x + PRIOR_ANSWERS * (route_mean + log_scale)) / weight
    mean_y = (seen.y + PRIOR_ANSWERS * route_mean) / weight
    var_x = seen.xx - 2 * mean_x * seen.x + seen.weight * mean_x**2
    var_x += PRIOR_ANSWERS * PRIOR_VARIANCE
    cov = seen.xy - mean_x * seen.y - mean_y * seen.x + seen.weight * mean_x * mean_y
    cov += PRIOR_ANSWERS * PRIOR_SLOPE * PRIOR_VARIANCE
    slope = min(1.0, max(0.0, cov / var_x))
    variance = route_variance - slope * slope * var_x / weight
    return mean_y + slope * (hint - mean_x), max(MIN_VARIANCE, variance)
