"""Budget that keeps retries a small share of first attempts."""


class RetryBudget:
    """Token bucket filled by first attempts and emptied by retries.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first attempt.
    reserve : float
        Retries allowed at once after a quiet time.
    """

    def __init__(self, ratio: float = 0.1, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve
        self.first_attempts = 0
        self.retries = 0
        self.refused = 0

    def on_first_attempt(self) -> None:
        """Earn a part of a retry."""
        self.first_attempts += 1
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spend one retry; return whether the budget allows it."""
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        self.retries += 1
        return True
