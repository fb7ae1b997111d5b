"""Admission under overload: who is refused when a model's groups are nearly full.

The loads that a node knows are up to 0.8 s old, and all nodes see about the same. If each sent
whatever seems to fit, all would send to the same free slots at once. So each node derives from the
loads which share of the requests may be admitted (`AdmittedShare`), and admits the most urgent.

Requests of equal priority are ranked by their content. A caller that repeats a refused request at
once gets the same rank again, at any node, and gains nothing.
"""

import random
import zlib
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from enum import Enum

import msgspec

from briarpond.routes import EngineSpec, ModelSpec

from ._speed import mean_request, slot_occupancy_s

# Occupancy of a model's groups up to which every request is decided as without pressure. It is
# far below the target: under overload the occupancy oscillates, and callers that repeat their
# requests often would profit from each dip below the threshold.
PRESSURE_THRESHOLD = 0.6
# Occupancies that are aimed at while all requests, and hardly any, are admitted. Uneven groups make
# some of them full before that. The smaller the share, the more urgent are those that are admitted,
# and the less they can wait for a slot.
ALL_ADMITTED_TARGET = 0.92
FEW_ADMITTED_TARGET = 0.78
# Occupancy from which the slot of a request that is late is missed by another one.
FULL_OCCUPANCY = 1.0
# Time within which a deviation from the target is to be made up for.
CORRECTION_S = 0.6
# Interval over which changes of the occupancy are measured: nodes hear of each other within 0.4 s.
SHARE_INTERVAL_S = 0.4
# Weights of a measurement against the present share: of the rate of admissions while hardly any,
# and all, requests are admitted, and of the occupancy. Larger ones make the occupancy oscillate,
# because the loads are old. The first steps of an overload are larger, so that it doesn't build up.
FEW_ADMITTED_RATE_WEIGHT = 0.4
ALL_ADMITTED_RATE_WEIGHT = 0.8
OCCUPANCY_WEIGHT = 0.05
# Occupancies at which all requests, and none, would be admitted by the occupancy alone.
ALL_ADMITTED_OCCUPANCY = 0.8
NONE_ADMITTED_OCCUPANCY = 1.05
MIN_SHARE = 0.02
# Limits of one step, so that the share doesn't fall so far while the groups are overfull that they
# run empty afterwards: least rate of admissions that is aimed at, as a part of what full groups
# complete, and largest ratio of two shares.
MIN_RATE = 0.3
MAX_STEP = 2.5
# Part of the least urgent requests that is admitted whatever the share, so that no client account
# is starved. It is up to twice as large for more urgent ones.
UNCONDITIONAL_SHARE = 0.05
# Requests from which a node learns how its requests are spread over the priorities.
REMEMBERED_REQUESTS = 64
# Refusals that a node remembers; the oldest are dropped first.
REMEMBERED_REFUSALS = 1_024
# Bytes at each end of a body that identify it.
COMPARED_BYTES = 2_048
# Time in which a rank passes through all values, so that requests that always have the same
# content are not refused for as long as the overload lasts.
RANK_PERIOD_S = 600.0
# Part of the first-byte goal for which an admitted request is held while no group has room.
# With the interval of the checks, a refusal comes within an eighth of the goal.
PRESSURE_HOLD_FRACTION = 0.08


class PressureReason(Enum):
    """Why a request is refused under overload.

    Attributes
    ----------
    RESERVED
        The slots that are left are reserved for other requests.
    PRESSURE
        No group is expected to send the first event in time.
    """

    RESERVED = "reserved"
    PRESSURE = "pressure"


class ModelLoad(msgspec.Struct, frozen=True):
    """Load of all groups of a model together.

    Attributes
    ----------
    in_flight : int
        Requests that were sent to the groups and have not ended.
    slots : int
        Requests that the groups run at once.
    slot_s : float
        Mean seconds for which a request occupies a slot.
    """

    in_flight: int
    slots: int
    slot_s: float

    @property
    def occupancy(self) -> float:
        """Requests in flight for each slot; above 1 if some wait at the groups."""
        return self.in_flight / max(1, self.slots)

    @property
    def is_under_pressure(self) -> bool:
        """Whether the occupancy is above the threshold."""
        return self.occupancy > PRESSURE_THRESHOLD

    @property
    def completions_per_s(self) -> float:
        """Requests that end in a second, each of which leaves a slot."""
        return min(self.in_flight, self.slots) / self.slot_s


def model_load(engine: EngineSpec, spec: ModelSpec, in_flight: Iterable[int]) -> ModelLoad:
    """Return the load of a model.

    Parameters
    ----------
    engine : EngineSpec
        Figures of the engine.
    spec : ModelSpec
        The model.
    in_flight : iterable of int
        Requests in flight at each of its groups.
    """
    counts = list(in_flight)
    slot_s = max(slot_occupancy_s(engine, spec, mean_request(engine)), 1e-3)
    return ModelLoad(sum(counts), len(counts) * engine.slots, slot_s)


def next_share(share: float, before: ModelLoad, load: ModelLoad, elapsed_s: float) -> float:
    """Return the share of the requests to admit, given what the present share has led to.

    The share is scaled by the ratio of the rate of admissions that keeps the target occupancy to
    the observed one. The observed rate follows from completions and from the change of the load,
    so refused requests, however often they are repeated, don't enter into it. A smaller part
    follows the occupancy alone, so that nodes with different shares approach each other.

    Parameters
    ----------
    share : float
        Present share, above 0.
    before, load : ModelLoad
        Load at the last call and now.
    elapsed_s : float
        Seconds between the two.
    """
    if load.slots == 0:
        return 1.0
    full_rate = load.slots / load.slot_s
    observed = load.completions_per_s + (load.in_flight - before.in_flight) / elapsed_s
    target = _between(FEW_ADMITTED_TARGET, ALL_ADMITTED_TARGET, share)
    weight = _between(FEW_ADMITTED_RATE_WEIGHT, ALL_ADMITTED_RATE_WEIGHT, share)
    wanted = target * full_rate + (target - load.occupancy) * load.slots / CORRECTION_S
    ratio = max(wanted, MIN_RATE * full_rate) / max(observed, MIN_RATE * full_rate)
    width = NONE_ADMITTED_OCCUPANCY - ALL_ADMITTED_OCCUPANCY
    by_occupancy = (NONE_ADMITTED_OCCUPANCY - load.occupancy) / width
    intervals = min(2.0, elapsed_s / SHARE_INTERVAL_S)
    share *= min(MAX_STEP, max(1 / MAX_STEP, ratio)) ** (weight * intervals)
    share *= (_clamp_share(by_occupancy) / share) ** (OCCUPANCY_WEIGHT * intervals)
    return _clamp_share(share)


def _between(low: float, high: float, part: float) -> float:
    return low + (high - low) * part


def _clamp_share(share: float) -> float:
    return min(1.0, max(MIN_SHARE, share))


def relative_urgency(priority: int, priorities: tuple[int, ...]) -> float:
    """Return the place of a priority among those in use, from 0 (least urgent) to 1.

    Parameters
    ----------
    priority : int
        Priority of a request; 0 is the most urgent.
    priorities : tuple of int
        Priorities in use, in ascending order.
    """
    less_urgent = sum(1 for each in priorities if each > priority)
    return less_urgent / max(1, len(priorities) - 1)


def content_key(parts: Iterable[str], body: bytes) -> int:
    """Return a number that is the same when a caller repeats a request.

    Parameters
    ----------
    parts : iterable of str
        Client account, path and headers that a caller repeats.
    body : bytes
        Body of the request, of which the ends and the length count.
    """
    ends = body[:COMPARED_BYTES] + body[COMPARED_BYTES:][-COMPARED_BYTES:]
    text = "\n".join([*parts, str(len(body))])
    return zlib.crc32(ends, zlib.crc32(text.encode("utf-8", "surrogateescape")))


def content_rank(key: int, time_of_day_s: float) -> float:
    """Return the rank, from 0 up to 1, of a request among those of its priority.

    Equal requests have equal ranks at all nodes. Ranks fall slowly with time.

    Parameters
    ----------
    key : int
        Result of `content_key`.
    time_of_day_s : float
        Time in seconds on a clock that the nodes have in common, within some seconds.
    """
    return (key / 2**32 - time_of_day_s / RANK_PERIOD_S) % 1.0


def admission_position(
    priority: int, rank: float, priorities: tuple[int, ...], counts: Mapping[int, int]
) -> float:
    """Return which part of all requests comes before a request; it is compared with the share.

    Parameters
    ----------
    priority : int
        Priority of the request; 0 is the most urgent.
    rank : float
        Its rank among the requests of its priority.
    priorities : tuple of int
        Priorities in use, in ascending order.
    counts : mapping
        Recent requests by priority.
    """
    if rank < UNCONDITIONAL_SHARE * (1 + relative_urgency(priority, priorities)):
        return 0.0
    # One more of each, so that a node without requests takes all priorities as equally frequent.
    total = sum(counts.get(each, 0) + 1 for each in priorities)
    before = sum(counts.get(each, 0) + 1 for each in priorities if each < priority)
    return (before + rank * (counts.get(priority, 0) + 1)) / total


class AdmittedShare:
    """What one node knows of the overload of a model.

    Attributes
    ----------
    share : float
        Share of the requests that is admitted while the occupancy is above the threshold.
    """

    def __init__(self) -> None:
        self.share = 1.0
        self._measured: tuple[ModelLoad, float] | None = None
        self._recent: deque[tuple[int, int]] = deque(maxlen=REMEMBERED_REQUESTS)
        self._refused_until: dict[int, float] = {}

    def is_due(self, now: float, interval_s: float = SHARE_INTERVAL_S) -> bool:
        """Whether `measure` would use the present load."""
        return self._measured is None or now - self._measured[1] >= interval_s

    def measure(self, load: ModelLoad, now: float, interval_s: float = SHARE_INTERVAL_S) -> None:
        """Adapt the share to the present load, unless this was done within `interval_s`."""
        if not self.is_due(now, interval_s):
            return
        if self._measured is not None:
            before, measured_at = self._measured
            self.share = next_share(self.share, before, load, now - measured_at)
        self._measured = load, now

    def record_request(self, key: int, priority: int) -> None:
        """Count a request among the recent ones, unless the same content was counted before."""
        if (key, priority) not in self._recent:
            self._recent.append((key, priority))

    def record_refusal(self, key: int, now: float, retry_after_s: float) -> None:
        """Remember until when a refused request is to wait.

        A refusal before that time doesn't extend it, so that equal requests of several callers
        don't keep each other out.
        """
        if now < self._refused_until.get(key, now):
            return
        self._refused_until.pop(key, None)
        if len(self._refused_until) >= REMEMBERED_REFUSALS:
            del self._refused_until[next(iter(self._refused_until))]
        self._refused_until[key] = now + retry_after_s

    def came_back_early(self, key: int, now: float) -> bool:
        """Whether a request was refused here, and neither its wait nor the overload is over."""
        return self.share < 1 and now < self._refused_until.get(key, now)

    def position(
        self, key: int, priority: int, priorities: tuple[int, ...], time_of_day_s: float
    ) -> float:
        """Return which part of the requests comes before one, see `admission_position`."""
        counts = Counter(priority for _, priority in self._recent)
        return admission_position(priority, content_rank(key, time_of_day_s), priorities, counts)


def decide_pressure(
    load: ModelLoad, share: float, position: float, queue_s: float | None, goal_s: float
) -> PressureReason | None:
    """Decide whether a request is refused because its model's groups are nearly full.

    A request that would be late is only refused when all slots are taken: a late answer still
    has some value, and a refusal gains nothing unless another request gets the slot in time.

    Parameters
    ----------
    load : ModelLoad
        Load of the model.
    share : float
        Share of the requests that is admitted.
    position : float
        Part of all requests that comes before this one.
    queue_s : float or None
        Expected seconds until the best group begins to read the prompt; None without a group.
        The time to read the prompt itself doesn't count: it would be the same later.
    goal_s : float
        Seconds to the first byte of the answer within which the answer has its full value.

    Returns
    -------
    PressureReason or None
        Why it is refused; None if it is not.
    """
    if not load.is_under_pressure:
        return None
    if position >= share:
        return PressureReason.RESERVED
    if queue_s is not None and queue_s > goal_s and load.occupancy >= FULL_OCCUPANCY:
        return PressureReason.PRESSURE
    return None


def spread_retry_after_s(
    load: ModelLoad, share: float, goal_s: float, remaining_s: float, rng: random.Random
) -> float:
    """Return a Retry-After: the expected time until there is room, and as much again at random.

    Room for the share that is refused comes when the same share of the requests in flight has
    ended. A caller waits at most for a third of the time that it has left; the limit applies
    before the random part, so that callers with equal deadlines don't come back together.

    Parameters
    ----------
    load : ModelLoad
        Load of the model.
    share : float
        Share of the requests that is admitted.
    goal_s : float
        Objective of the route, the shortest wait.
    remaining_s : float
        Seconds until the deadline.
    rng : random.Random
        Source of the random part.
    """
    wait_s = min(max(goal_s, (1 - share) * load.slot_s), max(0.0, remaining_s) / 6)
    return wait_s * (1 + rng.random())
