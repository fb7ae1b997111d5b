"""What the choice looks at."""

import msgspec

from briarpond.requests import Target


class Candidate(msgspec.Struct, frozen=True):
    """One group or server that could take an attempt.

    Attributes
    ----------
    target : Target
        Where the attempt would go.
    reported : float
        Requests running and queued there, by its last report.
    reported_at : float
        Monotonic time to which the report refers.
    distance_s : float
        Extra time of the way there, seconds.
    """

    target: Target
    reported: float
    reported_at: float
    distance_s: float = 0.0


class Hint(msgspec.Struct, frozen=True):
    """What is known of a request that matters for the choice.

    Attributes
    ----------
    prefix : str or None
        Digest of the part of the prompt that other requests are likely to share.
    prefix_s : float
        Time that a prefill of that part takes, seconds.
    """

    prefix: str | None = None
    prefix_s: float = 0.0
