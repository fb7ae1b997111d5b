"""Calls to the platform's store, and the era that its answers name."""

from collections.abc import Callable

from briarpond.logs import log_event
from briarpond.net import Address, Headers, HttpClient, LossReason, run_guarded
from briarpond.platform import StoreRequest, parse_store_era

OnAnswer = Callable[[int, bytes], None]
OnLost = Callable[[LossReason], None]


class StoreClient:
    """Client of the store, shared by the whole process.

    Parameters
    ----------
    address : Address
        Address of the store.
    client : HttpClient
        Client that sends the calls.
    on_restored : callable
        Called when the era has risen: what was written lately is missing in the store for now.
    now : callable
        Returns the present time.

    Attributes
    ----------
    calls : int
        Number of calls sent.
    era : int
        Latest era that an answer has named; 0 if none did. The store begins a new one when it
        comes back from a copy; offsets and generations of two eras can't be compared.
    era_since : float
        Time at which this process first heard of the era.
    was_restored : bool
        Whether the store has come back from a copy since this process first heard of it.
    """

    def __init__(
        self,
        address: Address,
        client: HttpClient,
        on_restored: Callable[[], None],
        now: Callable[[], float],
    ) -> None:
        self._address = address
        self._client = client
        self.calls = 0
        self.era = 0
        self.era_since = float("-inf")
        self.was_restored = False
        self._on_restored = on_restored
        self._now = now

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
            Takes the status and the body of an answer of the present era.
        on_lost : callable
            Takes the reason why there is none.
        """
        self.calls += 1
        era = self.era

        def on_headers(answer_headers: Headers) -> None:
            nonlocal era
            named = parse_store_era(answer_headers)
            era = self.era if named is None else named
            self.note_era(era)

        def on_whole(status: int, body: bytes) -> None:
            if era < self.era:
                on_lost(LossReason.OUTDATED)
            else:
                on_answer(status, body)

        headers = (("Content-Type", "application/octet-stream"),) if request.body else ()
        self._client.fetch(
            self._address,
            request.method,
            request.target,
            headers,
            request.body,
            timeout_s,
            on_whole,
            on_lost,
            on_headers,
        )

    def note_era(self, era: int) -> None:
        """Take over an era that an answer or another node has named, unless it is a former one."""
        if era > self.era:
            log_event("store_era", era=era, known=self.era)
            is_first = self.era == 0
            self.era = era
            self.era_since = self._now()
            if not is_first:
                self.was_restored = True
                run_guarded("store_restored", self._on_restored)
