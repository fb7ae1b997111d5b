"""Choice of the nodes that a node asks, and which of them answer."""

import random
from collections.abc import Iterable

import msgspec

from ._members import MemberTable, hosts_of
from ._models import Answer, Load
from ._timing import (
    ANSWER_TIMEOUT_S,
    HEAR_INTERVAL_S,
    MISSES_UNTIL_SUSPECT,
    RELAY_INTERVAL_S,
    SETTLING_S,
    SUSPECT_DURATION_S,
)

# An answer to a pull that is older than this is ignored.
MAX_ANSWER_AGE_S = 1.0
# Interval of the pulls of a node that knows no other one.
SEARCH_INTERVAL_S = 0.25
# Most nodes of its data centre that a node asks in turn if none has answered.
MAX_CANDIDATES_ASKED = 16
# Hosts from the settings or the store that a node asks in turn while it looks for others.
CONTACTS_ASKED = 3


class PendingPull(msgspec.Struct, frozen=True):
    """A pull that was sent and is not answered yet.

    Attributes
    ----------
    clock_ms : int
        Time of this node's clock that the pull states and the answer repeats.
    sent_at : float
        Time at which it was sent.
    load : Load
        Load that the pull reported.
    """

    clock_ms: int
    sent_at: float
    load: Load


class Partners:
    """Partners of one node: relays, the planner, and nodes to find others by.

    Parameters
    ----------
    members : MemberTable
        The nodes as this one knows them.
    rng : random.Random
        Chooses among relays of other data centres.
    now : float
        Present time.
    """

    def __init__(self, members: MemberTable, rng: random.Random, now: float) -> None:
        self._members = members
        self._rng = rng
        self._started_at = now
        self._contacts: list[str] = []
        self._pending: dict[str, PendingPull] = {}
        self._asked_at: dict[str, float] = {}
        self._misses: dict[str, int] = {}
        self._answered_at = float("-inf")
        self._near_answered_at = float("-inf")

    def add_contacts(self, hosts: Iterable[str]) -> None:
        """Add hosts at which other nodes may be found."""
        own_host = self._members.own.caller_address.host
        new = [host for host in hosts if host not in self._contacts and host != own_host]
        self._contacts += new

    def is_connected(self, now: float) -> bool:
        """Whether any node has answered lately."""
        return now - self._answered_at <= SETTLING_S

    def next(self, planner_host: str | None, now: float) -> tuple[str | None, float]:
        """Return the host to ask now, if there is one, and the seconds until the next.

        The one that was not asked for longest is the next.
        """
        hosts, cycle_s = self._cycle(planner_host, now)
        if not hosts:
            return None, SEARCH_INTERVAL_S
        return min(hosts, key=lambda host: self._asked_at.get(host, 0.0)), cycle_s / len(hosts)

    def asked(self, host: str, pull: PendingPull) -> None:
        """Record a pull that is sent to a host."""
        self._asked_at[host] = pull.sent_at
        self._pending[host] = pull

    def answered(self, answer: Answer, now: float) -> PendingPull | None:
        """Record an answer; return the pull that it belongs to.

        None if it answers an earlier pull, or comes so late that it may be outdated.
        """
        host = answer.sender.caller_address.host
        pending = self._pending.get(host)
        if pending is None or pending.clock_ms != answer.clock_ms:
            return None
        del self._pending[host]
        if now - pending.sent_at > MAX_ANSWER_AGE_S:
            return None
        self._misses.pop(host, None)
        self._members.trust(host)
        self._answered_at = now
        if answer.sender.data_centre == self._members.own.data_centre:
            self._near_answered_at = now
        return pending

    def count_misses(self, now: float) -> None:
        """Suspect the hosts that have left pulls unanswered."""
        for host, pending in list(self._pending.items()):
            if now - pending.sent_at > ANSWER_TIMEOUT_S:
                del self._pending[host]
                misses = self._misses[host] = self._misses.get(host, 0) + 1
                # A node that hears none of its partners looks for others at once.
                is_isolated = now - self._near_answered_at > HEAR_INTERVAL_S
                if is_isolated or misses >= MISSES_UNTIL_SUSPECT:
                    self._members.suspect(host, now + SUSPECT_DURATION_S)

    def forget_pending(self) -> None:
        """Ignore the answers to all pulls so far."""
        self._pending.clear()

    def _cycle(self, planner_host: str | None, now: float) -> tuple[list[str], float]:
        """Return the hosts to ask, and the time in which all are to be asked once."""
        own = self._members.own
        is_relay = self._members.is_relay(now)
        hosts = hosts_of(self._members.relays(own.data_centre, now))
        hosts += self._further_candidates(now)
        if is_relay:
            hosts += self._remote_relays(now)
            hosts += self._candidate_beside(planner_host, now)
        if planner_host is not None and (is_relay or own.candidate):
            hosts.append(planner_host)
        if now - self._started_at < SETTLING_S or not self.is_connected(now):
            hosts += self._contact_sample(now)
        hosts = list(dict.fromkeys(host for host in hosts if host != own.caller_address.host))
        return hosts, RELAY_INTERVAL_S if is_relay else HEAR_INTERVAL_S

    def _further_candidates(self, now: float) -> list[str]:
        """Return more nodes of the data centre the longer none of them has answered.

        So a node finds the live ones quickly when many have died at once.
        """
        intervals = (now - self._near_answered_at) / HEAR_INTERVAL_S
        if intervals <= 1.0:
            return []
        count = min(MAX_CANDIDATES_ASKED, 2 ** int(min(intervals, 10.0)))
        own = self._members.own
        return hosts_of(self._members.relay_candidates(own.data_centre, count, now))

    def _remote_relays(self, now: float) -> list[str]:
        """Return one relay of each other data centre."""
        chosen = []
        for data_centre in sorted(self._members.data_centres()):
            if data_centre == self._members.own.data_centre:
                continue
            hosts = hosts_of(self._members.relays(data_centre, now))
            if not hosts:
                # Nobody vouches for this data centre any more; ask any node of it.
                hosts = self._members.known_hosts(data_centre)
            if hosts:
                chosen.append(self._rng.choice(hosts))
        return chosen

    def _candidate_beside(self, planner_host: str | None, now: float) -> list[str]:
        """Return a candidate for the lease, which reads the store, other than the planner."""
        hosts = hosts_of(self._members.candidates(now))
        others = [host for host in hosts if host != planner_host]
        return [self._rng.choice(others)] if others else []

    def _contact_sample(self, now: float) -> list[str]:
        usable = [host for host in self._contacts if not self._members.is_suspected(host, now)]
        return self._rng.sample(usable, min(CONTACTS_ASKED, len(usable)))
