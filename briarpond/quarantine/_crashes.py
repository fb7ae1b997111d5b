"""Servers that ended, the requests that were on them, and an index by prompt part."""

from collections import OrderedDict
from collections.abc import Iterable, Set

import msgspec

from briarpond.ids import PromptPart

from ._models import CrashKey

# How long a crash is remembered.
CRASH_LIFETIME_S = 60.0
# Limits of the memory that crashes take, whatever callers send. Each part of a remembered request
# is remembered, since any of them may be to blame; it is the oldest crashes that are forgotten.
MAX_CRASHES = 256
MAX_REQUESTS_PER_CRASH = 32
MAX_MENTIONS = 65_536
# Crashes that are kept however many parts their requests have: enough for a verdict.
MIN_CRASHES_KEPT = 4
# Crashes within this time tell how likely a server is to end by chance.
RATE_WINDOW_S = 10.0

Request = tuple[PromptPart, ...]


class Mention(msgspec.Struct, frozen=True):
    """A request with a part that was on a server that ended.

    Attributes
    ----------
    request : tuple of PromptPart
        All parts of the request, in order.
    position : int
        Position of the part among them.
    """

    request: Request
    position: int


class Crash(msgspec.Struct, eq=False):
    """One end of a server.

    Attributes
    ----------
    key : CrashKey
        Which end of which server.
    at : float
        Earliest time at which a node noticed it.
    changed_at : float
        Time at which this node last learnt something new about it.
    told : dict
        Parts of the requests that may have caused it, and how often each request was told.
    mentions : dict
        These requests by each of their parts.
    """

    key: CrashKey
    at: float
    changed_at: float
    told: dict[Request, int] = msgspec.field(default_factory=dict)
    mentions: dict[PromptPart, list[Mention]] = msgspec.field(default_factory=dict)

    @property
    def parts(self) -> Set[PromptPart]:
        """All parts of the requests that may have caused it."""
        return self.mentions.keys()

    @property
    def requests(self) -> Set[Request]:
        """Parts of the requests that may have caused it."""
        return self.told.keys()


class CrashLog:
    """Crashes of the last `CRASH_LIFETIME_S` seconds; each is counted once."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[CrashKey, Crash] = OrderedDict()
        self._by_part: dict[PromptPart, list[Crash]] = {}
        self._mention_count = 0

    def add(
        self, key: CrashKey, at: float, requests: Iterable[Request], now: float
    ) -> set[PromptPart]:
        """Add a crash, or requests to one that is known; return the parts of what was new."""
        self._discard_expired(now)
        if now - at > CRASH_LIFETIME_S:
            return set()
        crash = self._crashes.get(key)
        if crash is None:
            crash = self._crashes[key] = Crash(key, at, now)
        crash.at = min(crash.at, at)
        new_parts: set[PromptPart] = set()
        for request in requests:
            new_parts |= self._add_request(crash, request, now)
        while self._is_too_large():
            self._drop_oldest()
        return new_parts

    def crashes_of(self, part: PromptPart, after: float) -> list[Crash]:
        """Return the crashes later than a time at which a request with `part` was on the server."""
        return [crash for crash in self._by_part.get(part, ()) if crash.at > after]

    def parts_of(self, key: CrashKey) -> Set[PromptPart]:
        """Return the parts of the requests that were on a server that ended."""
        crash = self._crashes.get(key)
        return frozenset() if crash is None else crash.parts

    def mentions(self, part: PromptPart) -> bool:
        """Whether a request with `part` was on a server that ended."""
        return part in self._by_part

    def count_others(self, part: PromptPart, excluded: Set[CrashKey], now: float) -> int:
        """Return the recent crashes that neither `part` nor those of `excluded` account for."""
        return sum(
            1
            for crash in self._crashes.values()
            if now - crash.at <= RATE_WINDOW_S
            and crash.key not in excluded
            and part not in crash.parts
        )

    def changed_since(self, since: float) -> list[Crash]:
        """Return the crashes of which this node has learnt something new after a time."""
        return [crash for crash in self._crashes.values() if crash.changed_at > since]

    def count_of(self, part: PromptPart) -> int:
        """Return the number of remembered crashes with a part."""
        return len(self._by_part.get(part, ()))

    def _add_request(self, crash: Crash, request: Request, now: float) -> set[PromptPart]:
        has_room = len(crash.requests) < MAX_REQUESTS_PER_CRASH
        if request in crash.requests or not request or not has_room:
            return set()
        crash.told[request] = 0
        crash.changed_at = now
        for position, part in enumerate(request):
            if part not in crash.mentions:
                self._by_part.setdefault(part, []).append(crash)
            crash.mentions.setdefault(part, []).append(Mention(request, position))
        self._mention_count += len(request)
        return set(request)

    def _is_too_large(self) -> bool:
        if len(self._crashes) > MAX_CRASHES:
            return True
        return self._mention_count > MAX_MENTIONS and len(self._crashes) > MIN_CRASHES_KEPT

    def _discard_expired(self, now: float) -> None:
        while self._crashes:
            oldest = next(iter(self._crashes.values()))
            if now - oldest.at <= CRASH_LIFETIME_S:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, crash = self._crashes.popitem(last=False)
        self._mention_count -= sum(len(request) for request in crash.requests)
        for part in crash.parts:
            left = [each for each in self._by_part[part] if each is not crash]
            if left:
                self._by_part[part] = left
            else:
                del self._by_part[part]
