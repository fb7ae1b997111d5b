"""Finds prompt parts that end the servers that run them, and refuses requests with them.

Nothing here has a socket or a clock. Evidence is a set of crashes and the times at which parts
were survived: what arrives twice, late or in another order leads to the same state.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping, Set
from enum import Enum

import msgspec

from briarpond.ids import PromptPart

from ._crashes import Crash, CrashLog, Request
from ._entries import LEVEL_IF_NEVER_SURVIVED, LEVEL_IF_SURVIVED_BEFORE, Entry
from ._models import CrashKey, CrashReport, Evidence, QuarantineStatus, Survival
from ._reports import report_crashes
from ._survivals import SurvivalLog
from ._verdict import MIN_CRASHES, Case, count_causes

# What is new is told for this long, several exchanges between nodes.
TELL_S = 3.0
# Limits of one message.
MAX_CRASHES_TOLD = 4
MAX_SURVIVALS_TOLD = 16
MAX_QUARANTINES_TOLD = 16
# Parts in quarantine; the oldest is dropped beyond that.
MAX_ENTRIES = 512
# After a crash, verdicts wait for the requests that other nodes had on the same server.
COLLECT_S = 0.12
# A node that has not observed for this long has not heard what was survived, and blames nothing.
WARM_UP_S = 3.0
# Times of the same event that came by different ways differ by less than this.
SAME_EVENT_S = 0.25


class ReleaseReason(Enum):
    """Why a part has left the quarantine.

    Attributes
    ----------
    SURVIVED
        A server has answered a request with it whole.
    EXPLAINED
        Another part accounts for its crashes.
    LIFTED
        An operator has lifted it.
    """

    SURVIVED = "survived"
    EXPLAINED = "explained"
    LIFTED = "lifted"


class Condemnation(msgspec.Struct, frozen=True):
    """A part that was put in quarantine, with the evidence.

    Attributes
    ----------
    part : PromptPart
        The part.
    level : int
        How often the shortest time has been doubled.
    crashes : tuple of Crash
        Crashes that are blamed on it; empty if another node has decided.
    case : Case or None
        What decided; None if another node has decided, or after a failed trial.
    """

    part: PromptPart
    level: int
    crashes: tuple[Crash, ...] = ()
    case: Case | None = None


class QuarantineCallbacks(msgspec.Struct, frozen=True):
    """What the quarantine asks of the rest of the node, and tells it.

    Attributes
    ----------
    count_groups : callable
        Takes the present time; returns the number of groups that serve.
    is_trial_node : callable
        Takes a part and the present time; returns whether this node may try the part.
    on_quarantined : callable
        Takes a `Condemnation` and whether this node saw the crash that decided it.
    on_suspected : callable
        Called when another server has ended at this node under a part that other servers
        ended under, and that is not in quarantine: other nodes should hear of it at once.
    schedule : callable
        Takes a number of seconds, after which `Quarantine.evaluate` is to be called.
    on_trial : callable
        Takes a part and the id of the request that is tried.
    on_released : callable
        Takes a part and a `ReleaseReason`.
    """

    count_groups: Callable[[float], int]
    is_trial_node: Callable[[PromptPart, float], bool]
    on_quarantined: Callable[[Condemnation, bool], None]
    on_suspected: Callable[[], None]
    schedule: Callable[[float], None]
    on_trial: Callable[[PromptPart, str], None]
    on_released: Callable[[PromptPart, ReleaseReason], None]


class Block(msgspec.Struct, frozen=True):
    """Why a request is not sent.

    Attributes
    ----------
    part : PromptPart
        The part in quarantine.
    retry_after_s : float
        Seconds after which a request with it may be tried again.
    """

    part: PromptPart
    retry_after_s: float


class _UnjudgedCrash(msgspec.Struct, frozen=True):
    """A crash whose parts are judged once other nodes have had time to tell of it, too."""

    due_at: float
    key: CrashKey
    is_first_hand: bool


class _Explained(msgspec.Struct, frozen=True):
    """What the parts in quarantine account for.

    Attributes
    ----------
    counts : mapping
        Number of crashes with each of these parts; those without one are left out.
    crashes : set of CrashKey
        All these crashes.
    """

    counts: Mapping[PromptPart, int]
    crashes: Set[CrashKey]


class Quarantine:
    """Evidence and verdicts of one node.

    Parameters
    ----------
    callbacks : QuarantineCallbacks
        Connection to the rest of the node.
    now : float
        Present time.
    """

    def __init__(self, callbacks: QuarantineCallbacks, now: float) -> None:
        self._callbacks = callbacks
        self._observing_since = now
        self._crashes = CrashLog()
        self._survivals = SurvivalLog()
        self._survivals_told: dict[PromptPart, float] = {}
        self._entries: dict[PromptPart, Entry] = {}
        self._unjudged: deque[_UnjudgedCrash] = deque()

    # Evidence

    def record_crash(self, key: CrashKey, requests: Iterable[Request], now: float) -> None:
        """Record that a server ended, with the requests that it had hardly begun to answer."""
        requests = tuple(requests)
        self._add_crash(key, now, requests, now, is_first_hand=True)
        parts = {part for request in requests for part in request} - self._entries.keys()
        if self._any_suspicious(parts, now):
            self._callbacks.on_suspected()

    def record_survival(self, parts: Iterable[PromptPart], began_at: float, now: float) -> None:
        """Record a whole answer on `parts`, which the server began to write at a time."""
        for part in parts:
            self._add_survival(part, began_at, now, ReleaseReason.SURVIVED)

    def merge(self, evidence: Evidence, now: float) -> None:
        """Take over what another node knows."""
        for survival in evidence.survivals:
            self._merge_survival(survival, now)
        for crash in evidence.crashes:
            at = now - crash.age_s
            self._add_crash(crash.key, at, crash.requests, now, is_first_hand=False)
        for status in evidence.quarantines:
            self._merge_status(status, now)

    def evidence(self, now: float) -> Evidence | None:
        """Return what other nodes should be told now; None if there is nothing."""
        self._forget(now)
        evidence = Evidence(
            tuple(self._crashes_to_tell(now)),
            tuple(self._survivals_to_tell(now)),
            tuple(self._newest_first(now)[:MAX_QUARANTINES_TOLD]),
        )
        return None if evidence == Evidence() else evidence

    def evaluate(self, now: float) -> None:
        """Judge the parts of the crashes that other nodes have had time to tell of, too."""
        parts: set[PromptPart] = set()
        is_first_hand = False
        while self._unjudged and self._unjudged[0].due_at <= now:
            unjudged = self._unjudged.popleft()
            parts |= self._crashes.parts_of(unjudged.key)
            is_first_hand |= unjudged.is_first_hand
        self._blame(parts, now, is_first_hand)

    def on_pause(self, now: float) -> None:
        """Blame nothing for a while, because this process was not running."""
        self._observing_since = now

    # Requests

    def check(self, parts: Iterable[PromptPart], request_id: str, now: float) -> Block | None:
        """Return why a request must not be sent now; None if it may be.

        A request that is let through as a trial stays so until its server has ended.
        """
        entries = [entry for part in parts if (entry := self._entries.get(part)) is not None]
        held_back = [entry for entry in entries if not entry.allows(request_id, now)]
        for entry in held_back:
            if not self._may_try(entry, now):
                return Block(entry.part, entry.retry_after_s(now))
        for entry in held_back:
            entry.begin_trial(request_id, now)
            self._callbacks.on_trial(entry.part, request_id)
        return None

    def is_suspect(self, parts: Iterable[PromptPart], now: float) -> bool:
        """Whether a part is in quarantine, or servers ended under it again and again.

        A request with such a part is not repeated after its server has ended.
        """
        parts = tuple(parts)
        return any(part in self._entries for part in parts) or self._any_suspicious(parts, now)

    # Operators

    def statuses(self, now: float) -> list[QuarantineStatus]:
        """Return the parts in quarantine, the newest first."""
        self._forget(now)
        return self._newest_first(now)

    def _newest_first(self, now: float) -> list[QuarantineStatus]:
        entries = sorted(self._entries.values(), key=lambda entry: -entry.since)
        return [entry.status(now) for entry in entries]

    def lift(self, part: PromptPart, now: float) -> bool:
        """Release a part here and at all nodes; return whether it was in quarantine."""
        if part not in self._entries:
            return False
        self._add_survival(part, now, now, ReleaseReason.LIFTED)
        return True

    # Crashes

    def _add_crash(
        self,
        key: CrashKey,
        at: float,
        requests: Iterable[Request],
        now: float,
        is_first_hand: bool,
    ) -> None:
        parts = self._crashes.add(key, at, requests, now)
        for part in parts:
            if self._survivals.last(part, now) > float("-inf"):
                self._survivals_told[part] = now
            self._fail_trial(part, at, is_first_hand)
        if parts:
            self._unjudged.append(_UnjudgedCrash(now + COLLECT_S, key, is_first_hand))
            self._callbacks.schedule(COLLECT_S)

    def _fail_trial(self, part: PromptPart, at: float, is_first_hand: bool) -> None:
        entry = self._entries.get(part)
        if entry is not None and at > entry.until:
            entry.extend(at)
            self._callbacks.on_quarantined(Condemnation(part, entry.level), is_first_hand)

    def _blame(self, parts: Iterable[PromptPart], now: float, is_first_hand: bool) -> None:
        """Put those of `parts` in quarantine that are to blame, the most likely one first."""
        if now - self._observing_since < WARM_UP_S:
            return
        suspects = {
            part
            for part in parts
            if part not in self._entries and self._crashes.count_of(part) >= MIN_CRASHES
        }
        while suspects:
            explained = self._explained()
            cases = {part: self._case(part, explained, now) for part in suspects}
            blamed = [part for part, case in cases.items() if case.to_blame]
            if not blamed:
                return
            part = max(blamed, key=lambda each: _likelihood(each, cases[each]))
            suspects.discard(part)
            self._condemn(part, cases[part], now, is_first_hand)

    def _any_suspicious(self, parts: Iterable[PromptPart], now: float) -> bool:
        suspects = [part for part in parts if self._crashes.count_of(part) >= MIN_CRASHES]
        if not suspects:
            return False
        explained = self._explained()
        return any(self._case(part, explained, now).is_suspicious for part in suspects)

    def _condemn(self, part: PromptPart, case: Case, now: float, is_first_hand: bool) -> None:
        crashes = self._unexplained_crashes(part, self._explained(), now)
        is_new = case.survived_before_s is None
        level = LEVEL_IF_NEVER_SURVIVED if is_new else LEVEL_IF_SURVIVED_BEFORE
        self._add_entry(Entry(part, max(crash.at for crash in crashes), level))
        condemnation = Condemnation(part, level, tuple(crashes), case)
        self._callbacks.on_quarantined(condemnation, is_first_hand)
        self._release_explained(now)

    def _case(self, part: PromptPart, explained: _Explained, now: float) -> Case:
        """Return what speaks for and against a part."""
        crashes = self._unexplained_crashes(part, explained, now)
        mentions = [each for crash in crashes for each in crash.mentions[part]]
        survived_at = self._survivals.last(part, now)
        last_crash_at = max((crash.at for crash in crashes), default=now)
        return Case(
            crashes=count_causes(crash.at for crash in crashes),
            requests=len({each.request[-1] for each in mentions}),
            is_own=all(each.request[-1] == part for each in mentions),
            depth=sum(each.position for each in mentions) / max(1, len(mentions)),
            survived_before_s=(
                None if survived_at == float("-inf") else last_crash_at - survived_at
            ),
            other_crashes=self._crashes.count_others(part, explained.crashes, now),
            groups=self._callbacks.count_groups(now),
        )

    def _unexplained_crashes(
        self, part: PromptPart, explained: _Explained, now: float
    ) -> list[Crash]:
        """Return the crashes since `part` was survived that no part in quarantine explains."""
        crashes = self._crashes.crashes_of(part, self._survivals.last(part, now))
        own_count = self._crashes.count_of(part)
        rivals = [
            rival
            for rival, count in explained.counts.items()
            if rival != part and count >= own_count
        ]
        return [crash for crash in crashes if crash.parts.isdisjoint(rivals)]

    def _explained(self) -> _Explained:
        """Return what the parts in quarantine account for."""
        counts = {part: self._crashes.count_of(part) for part in self._entries}
        keys = {
            crash.key
            for part in self._entries
            for crash in self._crashes.crashes_of(part, float("-inf"))
        }
        return _Explained({part: count for part, count in counts.items() if count}, keys)

    def _release_explained(self, now: float) -> None:
        """Release the parts all of whose crashes another one in quarantine accounts for."""
        for part in list(self._entries):
            if self._is_explained(part, now):
                self._release(part, ReleaseReason.EXPLAINED)

    def _is_explained(self, part: PromptPart, now: float) -> bool:
        """Whether other parts in quarantine account for all crashes with `part`."""
        if not self._crashes.mentions(part):
            return False
        return not self._unexplained_crashes(part, self._explained(), now)

    # Survivals

    def _merge_survival(self, survival: Survival, now: float) -> None:
        at = now - survival.age_s
        is_of_interest = self._crashes.mentions(survival.part) or survival.part in self._entries
        # A later time than the known one may only be the time that the message took.
        if is_of_interest and at > self._survivals.last(survival.part, now) + SAME_EVENT_S:
            self._add_survival(survival.part, at, now, ReleaseReason.SURVIVED)

    def _add_survival(self, part: PromptPart, at: float, now: float, reason: ReleaseReason) -> None:
        if not self._survivals.add(part, at):
            return
        entry = self._entries.get(part)
        if entry is not None or self._crashes.mentions(part):
            self._survivals_told[part] = now
        if entry is not None and at > entry.since:
            self._release(part, reason)

    # Quarantines

    def _merge_status(self, status: QuarantineStatus, now: float) -> None:
        since = now - status.age_s
        offered = Entry(status.part, since, status.level)
        if offered.is_forgotten(now) or self._survivals.last(status.part, now) > since:
            return
        known = self._entries.get(status.part)
        if known is not None and not _is_later(offered, known):
            return
        if known is None and self._is_explained(status.part, now):
            return
        self._add_entry(offered)
        self._callbacks.on_quarantined(Condemnation(status.part, status.level), False)

    def _add_entry(self, entry: Entry) -> None:
        self._entries[entry.part] = entry
        if len(self._entries) > MAX_ENTRIES:
            oldest = min(self._entries.values(), key=lambda each: each.since)
            del self._entries[oldest.part]

    def _release(self, part: PromptPart, reason: ReleaseReason) -> None:
        del self._entries[part]
        self._callbacks.on_released(part, reason)

    def _may_try(self, entry: Entry, now: float) -> bool:
        return entry.can_be_tried(now) and self._callbacks.is_trial_node(entry.part, now)

    # What is told

    def _crashes_to_tell(self, now: float) -> list[CrashReport]:
        """Return crashes that are new here; first those with a part of another crash."""
        changed = self._crashes.changed_since(now - TELL_S)
        counts = {part: self._count_since_survival(part, now) for part in _parts_of(changed)}

        def rank(crash: Crash) -> tuple[int, float]:
            most = max((counts[part] for part in crash.parts), default=0)
            return -most, -crash.changed_at

        return report_crashes(sorted(changed, key=rank)[:MAX_CRASHES_TOLD], counts, now)

    def _count_since_survival(self, part: PromptPart, now: float) -> int:
        return len(self._crashes.crashes_of(part, self._survivals.last(part, now)))

    def _survivals_to_tell(self, now: float) -> list[Survival]:
        for part, told_at in list(self._survivals_told.items()):
            if now - told_at > TELL_S:
                del self._survivals_told[part]
        newest = list(self._survivals_told)[-MAX_SURVIVALS_TOLD:]
        ages = {part: now - self._survivals.last(part, now) for part in newest}
        return [Survival(part, age) for part, age in ages.items() if 0.0 <= age < float("inf")]

    def _forget(self, now: float) -> None:
        for part in [part for part, each in self._entries.items() if each.is_forgotten(now)]:
            del self._entries[part]


def _parts_of(crashes: Iterable[Crash]) -> set[PromptPart]:
    return {part for crash in crashes for part in crash.parts}


def _is_later(offered: Entry, known: Entry) -> bool:
    """Whether an entry is from a later failed trial, and not the same one, delayed."""
    return offered.level > known.level and offered.since > known.since + SAME_EVENT_S


def _likelihood(part: PromptPart, case: Case) -> tuple[int, bool, bool, float, PromptPart]:
    """Return by what the most likely of several parts is chosen; the part breaks ties."""
    has_never_survived = case.survived_before_s is None
    return case.crashes, has_never_survived, not case.is_own, case.depth, part
