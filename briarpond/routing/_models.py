"""What the choice looks at."""

import msgspec

from briarpond.requests import Target


class Candidate(msgspec.Struct, frozen=True):
    """One group or server that could take an attempt.

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
    distance_s : float
        Extra time of the way there, seconds.
    """

    target: Target
    queued: float
    running: float
    reported_at: float
    distance_s: float = 0.0


class Hint(msgspec.Struct, frozen=True):
    """What is known of a request that matters for the choice.

    Attributes
    ----------
    prefix : str or None
        Digest of the part of the prompt that other requests are likely to share.
    prefix_s : float
        Time that an engine takes to compute that part, seconds.
    rest_s : float
        Time for the rest of the prompt, seconds.
    """

    prefix: str | None = None
    prefix_s: float = 0.0
    rest_s: float = 0.0
