"""Intervals of the exchange between nodes, and the timeouts that follow from them.

A timeout after which something counts as lost always spans several of the intervals at
which it is refreshed, so that one lost datagram does not look like a failure.
"""

# Each relay hears every node of its data centre within this interval.
HEAR_INTERVAL_S = 0.4
# Each relay pulls from every other data centre, from the other relays of its own and from the
# planner within this interval.
RELAY_INTERVAL_S = 0.4
# A pull that is not answered for this long counts as missed. A partner that has missed
# MISSES_UNTIL_SUSPECT pulls in a row is passed over until it is heard, or for
# SUSPECT_DURATION_S. That is longer than a relay takes to mark nodes as gone, so that whoever
# stands in for a dead relay can do so.
ANSWER_TIMEOUT_S = 0.3
MISSES_UNTIL_SUSPECT = 2
SUSPECT_DURATION_S = 4.0
# A relay itself asks a node of its data centre that it has not heard for PROBE_AFTER_S, and
# marks it as gone after GONE_AFTER_S.
PROBE_AFTER_S = 1.5 * HEAR_INTERVAL_S
GONE_AFTER_S = 2.5 * HEAR_INTERVAL_S
# How often a relay looks for such nodes.
HOUSEKEEPING_INTERVAL_S = 0.1
# A data centre for which no relay has vouched for this long counts as unreachable.
UNREACHABLE_AFTER_S = 4 * RELAY_INTERVAL_S
# The requests in flight that a node reported this long ago are no longer counted.
LOAD_LIFETIME_S = 4 * RELAY_INTERVAL_S
# A node that was not scheduled for this long discards the datagrams that have queued up, and
# hears all nodes anew before it marks any as gone.
PAUSE_S = 1.0
# For this time after its start a node also pulls from the nodes that it was told of.
SETTLING_S = 3.0

# Relays of each data centre: with few data centres each has more of them.
RELAYS_IN_ALL_DATA_CENTRES = 12
MIN_RELAYS = 2
MAX_RELAYS = 4


def relay_count(data_centre_count: int) -> int:
    """Return how many relays each of `data_centre_count` data centres has."""
    share = RELAYS_IN_ALL_DATA_CENTRES // max(1, data_centre_count)
    return min(MAX_RELAYS, max(MIN_RELAYS, share))
