"""Input of the choice: the candidates and the expected prefill of the request."""

import msgspec

from briarpond.requests import Target


class Candidate(msgspec.Struct, frozen=True):
    """One group or plain server to which an attempt can go.

    Attributes
    ----------
    target : Target
        Where the attempt would go.
    queued : float
        Requests there that wait for their first byte, by its last report.
    running : float
        Requests there that are being answered, by its last report.
    reported_at : float
        Monotonic time to which the report refers.
    latency_s : float
        Additional network latency in seconds, such as that to another data centre.
    """

    target: Target
    queued: float
    running: float
    reported_at: float
    latency_s: float = 0.0


class PrefillEstimate(msgspec.Struct, frozen=True):
    """Prefix of a prompt and the expected time of its prefill.

    Attributes
    ----------
    prefix_digest : str or None
        Digest of the part of the prompt that other requests are likely to share; None if
        there is no such part.
    prefix_prefill_s : float
        Seconds that an engine takes for the prefill of that part if it is not cached.
    rest_prefill_s : float
        Seconds for the prefill of the rest of the prompt.
    """

    prefix_digest: str | None = None
    prefix_prefill_s: float = 0.0
    rest_prefill_s: float = 0.0
