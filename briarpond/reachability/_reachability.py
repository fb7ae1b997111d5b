"""State of this node's links to the backend servers, decided from checks of several of them."""


class Reachability:
    """Decides whether this node is cut off from all backend servers."""

    def is_cut_off(self, now: float) -> bool:
        """Whether this node reaches no backend servers, while others may reach them."""
        return False
