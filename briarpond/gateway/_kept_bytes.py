"""Memory that incomplete answers of servers take up, over all requests of the process."""

# Bytes of incomplete answers that a process keeps in all.
MAX_KEPT_BYTES = 32 * 1024 * 1024
# An answer that has taken up no more than this is not given up for the sum of all.
FAIR_SHARE_BYTES = 64 * 1024


class KeptBytes:
    """Counts the bytes of incomplete answers.

    Each answer has a limit of its own, but a faulty server may let many answers reach theirs at
    once.

    Parameters
    ----------
    limit : int
        Bytes that all answers may take up together.

    Attributes
    ----------
    total : int
        Bytes that are kept at present.
    """

    def __init__(self, limit: int = MAX_KEPT_BYTES) -> None:
        self.total = 0
        self._limit = limit

    def change(self, before: int, after: int) -> bool:
        """Record the new size of one answer; return whether it may be kept.

        Parameters
        ----------
        before, after : int
            Bytes that the answer took up, and that it takes up now.
        """
        self.total += after - before
        return after <= FAIR_SHARE_BYTES or after <= before or self.total <= self._limit
