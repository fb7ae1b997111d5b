"""How much is read from callers in one turn of the event loop."""

# Largest read from a socket in one turn of the loop.
RECEIVE_BYTES = 64 * 1024
# Bytes that are read from all callers in one turn; after that, each is read only up to the smaller
# size, so that other work gets its turn and none of them starves.
BYTES_PER_TURN = 1024 * 1024
RECEIVE_BYTES_IN_LATE_TURN = 4 * 1024


class ReadAllowance:
    """Counts the bytes that were read in the present turn of the loop."""

    def __init__(self) -> None:
        self._left = BYTES_PER_TURN

    def renew(self) -> None:
        """Begin the next turn."""
        self._left = BYTES_PER_TURN

    def size(self, wanted: int) -> int:
        """Return how much the next read of `wanted` bytes may take."""
        return min(wanted, RECEIVE_BYTES if self._left > 0 else RECEIVE_BYTES_IN_LATE_TURN)

    def record(self, count: int) -> None:
        """Count bytes that were read."""
        self._left -= count
