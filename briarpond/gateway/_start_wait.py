"""How long a node that has just started leaves the store alone.

A node needs the configuration and the routing targets. Both come from other nodes within
fractions of a second if these have them. After a restart of many nodes at once nobody has them,
and without a wait every node would read them from the store.
"""

# Wait for each node that is known.
WAIT_PER_NODE_S = 0.02
# Longest wait while others are there that may have both.
MAX_WAIT_S = 1.5
# Wait if the whole system starts for the first time: nobody has routing targets then, and
# callers come only after the first groups have formed.
FIRST_START_WAIT_S = 8.0
# How long the nodes that the settings name may take to answer.
SEED_WAIT_S = 0.8


def start_wait_s(node_count: int, connected: bool, first_start: bool, has_seeds: bool) -> float:
    """Return the seconds after its start in which a node does not read the store.

    Parameters
    ----------
    node_count : int
        Nodes that are known, this one included.
    connected : bool
        Whether another node has answered.
    first_start : bool
        Whether the whole system starts for the first time.
    has_seeds : bool
        Whether the settings name other nodes.
    """
    if not connected:
        return SEED_WAIT_S if has_seeds else 0.0
    if first_start:
        return FIRST_START_WAIT_S
    return min(MAX_WAIT_S, WAIT_PER_NODE_S * node_count)
