"""What one message tells of crashes, within a bound on its size.

A message also carries loads, members and the plan. What does not fit is told with the next ones.
"""

from collections.abc import Iterable, Mapping, Sequence

from briarpond.ids import PromptPart

from ._crashes import Crash, Request
from ._models import CrashReport

# Bytes that the parts of all requests of a message may take.
MAX_PARTS_BYTES = 24_000
# Bytes that a part takes beside its name.
PART_OVERHEAD_BYTES = 2


def report_crashes(
    crashes: Sequence[Crash], crash_counts: Mapping[PromptPart, int], now: float
) -> list[CrashReport]:
    """Return the reports of crashes, with as many of their requests as fit.

    Requests go first that have a part of several crashes, then those that were told least often.

    Parameters
    ----------
    crashes : sequence of Crash
        Crashes to tell, the most important first. What is told is counted there.
    crash_counts : mapping
        Number of crashes with each part since it was last survived.
    now : float
        Present time.
    """
    chosen: dict[int, list[Request]] = {number: [] for number in range(len(crashes))}
    room = MAX_PARTS_BYTES
    for number, request in _ranked_requests(crashes, crash_counts):
        told = crashes[number].told
        if room == MAX_PARTS_BYTES:
            report = shorten_request(request, room, crash_counts, told[request])
        else:
            report = request
        size = encoded_size(report)
        if size > room:
            continue
        room -= size
        told[request] += 1
        chosen[number].append(report)
    return [
        CrashReport(crash.key, max(0.0, now - crash.at), tuple(sorted(chosen[number])))
        for number, crash in enumerate(crashes)
    ]


def _ranked_requests(
    crashes: Sequence[Crash], crash_counts: Mapping[PromptPart, int]
) -> list[tuple[int, Request]]:
    """Return the requests with the numbers of their crashes, those to be told first in front."""

    def rank(item: tuple[int, Request]) -> tuple[int, int, int, Request]:
        number, request = item
        most_crashes = max(map(crash_counts.__getitem__, request))
        return -most_crashes, crashes[number].told[request], number, request

    items = [(number, each) for number, crash in enumerate(crashes) for each in crash.requests]
    return sorted(items, key=rank)


def encoded_size(parts: Iterable[PromptPart]) -> int:
    """Return the bytes that the parts of a request take in a message, at most."""
    return sum(len(part) + PART_OVERHEAD_BYTES for part in parts)


def shorten_request(
    request: Request, room: int, crash_counts: Mapping[PromptPart, int], told: int
) -> Request:
    """Return a request with as many of its parts as fit, in order, the last one among them.

    Parts of several crashes go first; the others take turns from message to message.

    Parameters
    ----------
    request : tuple of PromptPart
        All parts.
    room : int
        Bytes that the parts may take.
    crash_counts : mapping
        Number of crashes with each part since it was last survived.
    told : int
        How often the request was told before.
    """
    if encoded_size(request) <= room:
        return request
    last = len(request) - 1
    share = max(1, room * len(request) // encoded_size(request))
    first = told * share % len(request)
    positions = [*range(first, last), *range(first)]
    positions.sort(key=lambda position: -crash_counts[request[position]])
    kept = [last]
    room -= encoded_size((request[last],))
    for position in positions:
        room -= encoded_size((request[position],))
        if room < 0:
            break
        kept.append(position)
    return tuple(request[position] for position in sorted(kept))
