"""Calls to the platform's store, and the era that its answers name."""

from collections.abc import Callable

from briarpond.logs import log_event
from briarpond.net import Address, Headers, HttpClient, LossReason
from briarpond.platform import StoreRequest, parse_store_era

OnAnswer = Callable[[int, bytes], None]
OnLost = Callable[[LossReason], None]


class StoreClient:
    """Client of the store, shared by the whole process.

    Attributes
    ----------
    calls : int
        Number of calls sent.
    era : int
        Latest era that an answer has named; 0 if none did. The store begins a new one when it
        comes back from a copy; offsets and generations of two eras can't be compared.
    """

    def __init__(self, address: Address, client: HttpClient) -> None:
        self._address = address
        self._client = client
        self.calls = 0
        self.era = 0

    def call(
        self, request: StoreRequest, timeout_s: float, on_answer: OnAnswer, on_lost: OnLost
    ) -> None:
        """Send a request; afterwards exactly one of the two functions is called.

        Parameters
        ----------
        request : StoreRequest
            The HTTP request.
        timeout_s : float
            Time within which the whole answer must arrive.
        on_answer : callable
            Takes the status and the body of the answer.
        on_lost : callable
            Takes the reason why there is no answer.
        """
        self.calls += 1
        headers = (("Content-Type", "application/octet-stream"),) if request.body else ()
        self._client.fetch(
            self._address,
            request.method,
            request.target,
            headers,
            request.body,
            timeout_s,
            on_answer,
            on_lost,
            self._on_headers,
        )

    def _on_headers(self, headers: Headers) -> None:
        era = parse_store_era(headers)
        if era is not None and era != self.era:
            log_event("store_era", era=era, known=self.era)
            self.era = max(self.era, era)
