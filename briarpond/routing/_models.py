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
