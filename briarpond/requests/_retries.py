"""Budget that limits retries to a fraction of the first attempts."""


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Parameters
    ----------
    ratio : float
        Retries that each first attempt allows.
    burst : float
        Size of the bucket: retries that are allowed at once when it is full, as it is at
        the start.

    Attributes
    ----------
    first_attempts : int
        First attempts so far.
    retries : int
        Retries that the budget allowed.
    denied : int
        Retries that it did not allow.
    """

    def __init__(self, ratio: float = 0.1, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst
        self.first_attempts = 0
        self.retries = 0
        self.denied = 0

    def record_first_attempt(self) -> None:
        """Count a first attempt, which adds `ratio` of a retry."""
        self.first_attempts += 1
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if self._tokens < 1.0:
            self.denied += 1
            return False
        self._tokens -= 1.0
        self.retries += 1
        return True
