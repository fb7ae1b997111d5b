"""Which servers are checked: random ones, spread over the data centres."""

import random
from collections import defaultdict
from collections.abc import Collection, Sequence

from briarpond.ids import DataCentre, InstanceId

from ._models import CheckTarget


def choose_targets(
    pool: Sequence[CheckTarget],
    count: int,
    avoided: Collection[InstanceId],
    rng: random.Random,
) -> list[CheckTarget]:
    """Return servers to check, in turn from each data centre, at most `count`.

    Parameters
    ----------
    pool : sequence of CheckTarget
        The servers that may be checked.
    count : int
        Largest number of servers.
    avoided : collection of InstanceId
        Servers that are left out: they have failed already, or have just been checked.
    rng : random.Random
        Chooses among the servers of a data centre, and the first data centre.
    """
    by_data_centre: dict[DataCentre, list[CheckTarget]] = defaultdict(list)
    for target in pool:
        if target.server not in avoided:
            by_data_centre[target.data_centre].append(target)
    rows = [rng.sample(targets, len(targets)) for targets in by_data_centre.values()]
    rng.shuffle(rows)
    chosen: list[CheckTarget] = []
    while rows and len(chosen) < count:
        chosen += [row.pop() for row in rows][: count - len(chosen)]
        rows = [row for row in rows if row]
    return chosen
