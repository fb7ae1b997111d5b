"""Expected and seen length of the answer to one request."""

import msgspec

from briarpond.dispatch import LengthForecast


class RequestCost(msgspec.Struct):
    """What the answer to a request is expected to have, and what has arrived of it.

    Attributes
    ----------
    forecast : LengthForecast or None
        Expected length of the answer; None before the first send, and at plain servers.
    events : int
        Most events of the answer that have arrived, over the sends of the request. A send that
        resumes the stream begins with those of the earlier ones.
    """

    forecast: LengthForecast | None = None
    events: int = 0

    @property
    def expected_tokens(self) -> float:
        """Expected tokens of the whole answer; 0 if nothing is expected."""
        return 0.0 if self.forecast is None else self.forecast.mean

    @property
    def seen_tokens(self) -> float:
        """Tokens that have arrived, by the mean tokens of an event."""
        return 0.0 if self.forecast is None else self.events * self.forecast.tokens_per_event


class SendCost:
    """Unwritten tokens of one send.

    Parameters
    ----------
    request : RequestCost
        Cost of the request, which the send advances.
    is_resumed : bool
        Whether the send goes on with a stream after the events that have arrived.

    Attributes
    ----------
    unwritten : float
        Tokens that the answer is expected to have yet.
    """

    def __init__(self, request: RequestCost, is_resumed: bool) -> None:
        self._request = request
        self._events = request.events if is_resumed else 0
        self.unwritten = self._remaining()

    def add_events(self, count: int) -> float:
        """Count events that have arrived; return the change of the unwritten tokens."""
        self._events += count
        self._request.events = max(self._request.events, self._events)
        before, self.unwritten = self.unwritten, self._remaining()
        return self.unwritten - before

    def _remaining(self) -> float:
        forecast = self._request.forecast
        if forecast is None:
            return 0.0
        return forecast.remaining(self._events * forecast.tokens_per_event)
