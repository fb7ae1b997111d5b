"""The nodes of the system as one node knows them, and which of them are relays.

Each data centre has a few relays, which all other nodes of it contact in turn. A relay that
no longer hears a node marks it as gone; the other nodes trust the relays and take a node that
is not marked as alive, as long as some relay of its data centre vouches for that.
"""

import random
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from briarpond.ids import DataCentre, NodeId
from briarpond.net import Address

from ._models import Member
from ._timing import GONE_AFTER_S, UNREACHABLE_AFTER_S, relay_count

# The entry of a node that has been gone for this long is dropped.
DROP_AFTER_S = 30.0
# Most addresses in one directory answer.
MAX_ADDRESSES = 64
# Time for which the list of relays is kept before it is computed again.
RELAYS_CACHE_S = 0.1


class _Entry(msgspec.Struct):
    """What a node knows of another one.

    Attributes
    ----------
    member : Member
        Newest description.
    change : int
        Number of the change that this description is among those of the table.
    heard_at : float
        Time of the last datagram from the node itself.
    known_since : float
        Time from which the node should have been heard if it lives.
    changed_at : float
        Time of the last change.
    planning_ended_at : float
        Time at which it was learnt that the node had stopped planning.
    """

    member: Member
    change: int
    heard_at: float
    known_since: float
    changed_at: float
    planning_ended_at: float = float("-inf")


class MemberTable:
    """Members of the system as seen by one node.

    Parameters
    ----------
    own : Member
        Description of this node.

    Attributes
    ----------
    own : Member
        Description of this node; its revision rises with each change.
    change_count : int
        Number of changes so far; the cursors of other nodes refer to it.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.change_count = 1
        self._own_change = 1
        self._entries: OrderedDict[NodeId, _Entry] = OrderedDict()
        self._vouched_at: dict[DataCentre, float] = {}
        self._relay_since: float | None = None
        self._relays_cache: dict[DataCentre, tuple[float, list[Member]]] = {}
        self._suspected_until: dict[str, float] = {}

    # Descriptions of members

    def update_own(self, **fields: object) -> bool:
        """Change fields of this node's own description; return whether any has changed."""
        if all(getattr(self.own, name) == value for name, value in fields.items()):
            return False
        self._replace_own(msgspec.structs.replace(self.own, **fields))
        return True

    def merge(self, member: Member, now: float) -> bool:
        """Take over a description unless a newer one is known; return whether it was new.

        Of two descriptions with the same numbers, one that is marked as gone is the newer. Of two
        that agree in this too, the one with the higher version is: nodes of earlier releases pass
        descriptions on without the fields that they don't know.
        """
        if member.node == self.own.node:
            self._refute(member)
            return False
        entry = self._entries.get(member.node)
        if entry is None:
            self.change_count += 1
            entry = _Entry(member, self.change_count, float("-inf"), now, now)
            self._entries[member.node] = entry
            self._relays_cache.clear()
            return not member.gone
        if _order(member) <= _order(entry.member):
            return False
        was_gone = entry.member.gone
        if was_gone and not member.gone:
            entry.known_since = now
        self._set(entry, member, now)
        return was_gone and not member.gone

    def heard(self, member: Member, now: float) -> bool:
        """Record a datagram of a node itself; return whether the node is new or was gone."""
        appeared = self.merge(member, now)
        entry = self._entries.get(member.node)
        if entry is not None and _order(member) >= _order(entry.member):
            entry.heard_at = now
        return appeared

    def changes_since(self, cursor: int, limit: int) -> tuple[list[Member], int, bool]:
        """Return members that have changed after `cursor`, oldest change first.

        Returns
        -------
        tuple
            At most `limit` members, the cursor that follows them, and whether there are more.
        """
        changed: list[tuple[int, Member]] = []
        for entry in reversed(self._entries.values()):
            if entry.change <= cursor:
                break
            changed.append((entry.change, entry.member))
        if self._own_change > cursor:
            changed.append((self._own_change, self.own))
        changed.sort(key=lambda row: row[0])
        if len(changed) > limit:
            return [member for _, member in changed[:limit]], changed[limit - 1][0], True
        return [member for _, member in changed], self.change_count, False

    # Liveness

    def vouch(self, data_centre: DataCentre, at: float) -> None:
        """Record that a relay knew at a time which nodes of a data centre are alive."""
        self._vouched_at[data_centre] = max(at, self._vouched_at.get(data_centre, at))

    def ages(self, now: float) -> dict[DataCentre, float]:
        """Return for each data centre the seconds since a relay vouched for its nodes."""
        ages = {name: now - at for name, at in self._vouched_at.items()}
        if self.is_relay(now):
            ages[self.own.data_centre] = 0.0
        return ages

    def is_live(self, node: NodeId, now: float) -> bool:
        """Whether another node counts as alive."""
        entry = self._entries.get(node)
        return entry is not None and self._is_live(entry, now)

    def live(self, now: float) -> list[Member]:
        """Return the other nodes that count as alive."""
        return [entry.member for entry in self._entries.values() if self._is_live(entry, now)]

    def recently_live(self, within_s: float, now: float) -> frozenset[NodeId]:
        """Return the names of the nodes that are or were alive within a time, with this one.

        Parameters
        ----------
        within_s : float
            Seconds for which a node that is gone or unreachable still counts.
        now : float
            Present time.
        """
        nodes = {
            entry.member.node
            for entry in self._entries.values()
            if self._was_live(entry, now - within_s)
        }
        return frozenset(nodes | {self.own.node})

    def lowest_version(self) -> int:
        """Return the lowest version of the exchange among all known nodes, this one included.

        Nodes that are gone count until they are dropped, since they may come back.
        """
        members = [self.own, *(entry.member for entry in self._entries.values())]
        return min(member.exchange_version for member in members)

    def count_nodes(self, now: float) -> int:
        """Return the number of nodes that count as alive, this one included."""
        return 1 + len(self.live(now))

    def silent(self, after_s: float, now: float) -> list[Member]:
        """On a relay, return the nodes of its data centre that it has not heard for a while."""
        if not self.is_relay(now):
            return []
        assert self._relay_since is not None
        return [
            entry.member
            for entry in self._entries.values()
            if entry.member.data_centre == self.own.data_centre
            and not entry.member.gone
            and now - max(entry.heard_at, entry.known_since, self._relay_since) > after_s
        ]

    def mark_gone(self, now: float) -> list[NodeId]:
        """On a relay, mark the nodes of its data centre that were not heard; return them."""
        silent = self.silent(GONE_AFTER_S, now)
        for member in silent:
            gone = msgspec.structs.replace(member, gone=True)
            self._set(self._entries[member.node], gone, now)
        return [member.node for member in silent]

    def forget_timing(self, now: float) -> None:
        """After a pause of this process, expect every node to be heard anew from now on."""
        self._relay_since = None
        self._vouched_at.clear()
        for entry in self._entries.values():
            entry.known_since = now
        self._relays_cache.clear()

    def drop_expired(self, now: float) -> None:
        """Drop suspicions that are over, and nodes that were gone for `DROP_AFTER_S` seconds."""
        for node, entry in list(self._entries.items()):
            if entry.member.gone and now - entry.changed_at > DROP_AFTER_S:
                del self._entries[node]
        for host in [host for host, until in self._suspected_until.items() if until <= now]:
            del self._suspected_until[host]

    # Roles

    def relays(self, data_centre: DataCentre, now: float) -> list[Member]:
        """Return the relays of a data centre."""
        cached = self._relays_cache.get(data_centre)
        if cached is not None and 0 <= now - cached[0] < RELAYS_CACHE_S:
            return cached[1]
        count = relay_count(len(self.data_centres()))
        relays = self.relay_candidates(data_centre, count, now)
        self._relays_cache[data_centre] = (now, relays)
        return relays

    def relay_candidates(self, data_centre: DataCentre, count: int, now: float) -> list[Member]:
        """Return the last `count` live and unsuspected nodes of a data centre by name."""
        members = [
            member
            for member in self.live(now)
            if member.data_centre == data_centre
            and not member.leaving
            and not self.is_suspected(member.caller_address.host, now)
        ]
        if self.own.data_centre == data_centre and not self.own.leaving:
            members.append(self.own)
        members.sort(key=lambda member: member.node)
        return members[-count:]

    def suspect(self, host: str, until: float) -> None:
        """Do not use the node at a host as a relay until a time, because it did not answer."""
        self._suspected_until[host] = until
        self._relays_cache.clear()

    def trust(self, host: str) -> None:
        """Use the node at a host again, because it has answered."""
        if self._suspected_until.pop(host, None) is not None:
            self._relays_cache.clear()

    def is_suspected(self, host: str, now: float) -> bool:
        """Whether the node at a host has lately left pulls unanswered."""
        return self._suspected_until.get(host, 0.0) > now

    def is_relay(self, now: float) -> bool:
        """Whether this node is a relay of its data centre."""
        relays = self.relays(self.own.data_centre, now)
        is_relay = any(member.node == self.own.node for member in relays)
        if not is_relay:
            self._relay_since = None
        elif self._relay_since is None:
            self._relay_since = now
        return is_relay

    def data_centres(self) -> set[DataCentre]:
        """Return the data centres of all known nodes."""
        names = {entry.member.data_centre for entry in self._entries.values()}
        names.add(self.own.data_centre)
        return names

    def known_hosts(self, data_centre: DataCentre) -> list[str]:
        """Return the hosts of the nodes of a data centre that are not marked as gone."""
        return [
            entry.member.caller_address.host
            for entry in self._entries.values()
            if entry.member.data_centre == data_centre and not entry.member.gone
        ]

    def should_apply(self, max_candidates: int, now: float) -> bool:
        """Whether this node should become a candidate for the planner's lease.

        It should if the present candidates, and the nodes that come before this one by
        name, are fewer than `max_candidates`. Nodes that are cut off from the backend servers
        neither count nor apply, unless all are, or no live node is a candidate: perhaps the
        store reaches only nodes that are cut off from the servers.
        """
        if self.own.cut_off and self.others_reach_servers(now) and self.candidates(now):
            return False
        staying = [
            member
            for member in self.live(now)
            if not member.leaving and (self.own.cut_off or not member.cut_off)
        ]
        applying = sum(1 for member in staying if member.candidate)
        ahead = sum(1 for member in staying if not member.candidate and member.node < self.own.node)
        return applying + ahead < max_candidates

    def others_reach_servers(self, now: float) -> bool:
        """Whether another live node that stays is not cut off from the backend servers."""
        return any(map(_stays_and_reaches_servers, self.live(now)))

    def other_may_plan(self, now: float) -> bool:
        """Whether another live node that stays is a candidate and reaches backend servers.

        A candidate reaches the store, so it can get the lease.
        """
        return any(map(_stays_and_reaches_servers, self.candidates(now)))

    def no_node_reaches_store(self, now: float) -> bool:
        """Whether no live node is a candidate, that is, reaches the store and applies.

        False if more than half of the known nodes are not alive: this node may then be cut
        off from the others or may have been suspended, so its view is not reliable.
        """
        live = self.live(now)
        if 2 * len(live) < len(self._entries):
            return False
        return not any(member.candidate for member in live)

    def candidates(self, now: float) -> list[Member]:
        """Return the other live nodes that apply for the planner's lease."""
        return [member for member in self.live(now) if member.candidate]

    def planning_ended_at(self, node: NodeId) -> float | None:
        """Return when another node said that it stopped planning; None if it plans or never did."""
        entry = self._entries.get(node)
        if entry is None or entry.member.planning or entry.planning_ended_at == float("-inf"):
            return None
        return entry.planning_ended_at

    def host(self, node: NodeId) -> str | None:
        """Return the host of another node; None if the node is not known."""
        entry = self._entries.get(node)
        return None if entry is None else entry.member.caller_address.host

    # Directory

    def addresses(
        self, preferred_data_centre: DataCentre, rng: random.Random, now: float
    ) -> list[Address]:
        """Return addresses that a caller may connect to, at most `MAX_ADDRESSES`.

        Parameters
        ----------
        preferred_data_centre : DataCentre
            Data centre of the caller; its nodes come first.
        rng : random.Random
            Selects at random if there are more nodes than `MAX_ADDRESSES`.
        now : float
            Present time.
        """
        staying = [member for member in (self.own, *self.live(now)) if not member.leaving]
        # If no node is ready, return all: one may become ready a moment later.
        members = [member for member in staying if member.ready] or staying
        if len(members) > MAX_ADDRESSES:
            members = rng.sample(members, MAX_ADDRESSES)
        members.sort(key=lambda member: member.data_centre != preferred_data_centre)
        return [member.caller_address for member in members]

    def others_are_ready(self, now: float) -> bool:
        """Whether another node takes callers' requests and is not leaving."""
        return any(
            member.ready and not member.leaving and member.node != self.own.node
            for member in self.live(now)
        )

    def _is_live(self, entry: _Entry, now: float) -> bool:
        if entry.member.gone:
            return False
        if now - entry.heard_at <= GONE_AFTER_S:
            return True
        vouched_at = self._vouched_at.get(entry.member.data_centre, float("-inf"))
        return now - vouched_at <= UNREACHABLE_AFTER_S

    def _was_live(self, entry: _Entry, at: float) -> bool:
        """Whether a node counted as alive at a time in the past, or does so since."""
        return entry.changed_at >= at if entry.member.gone else self._is_live(entry, at)

    def _refute(self, member: Member) -> None:
        """Replace a description of this node that others have and that is not its own."""
        own = self.own
        if _order(member) <= _order(own):
            return
        self._replace_own(
            msgspec.structs.replace(own, incarnation=member.incarnation, revision=member.revision)
        )

    def _replace_own(self, own: Member) -> None:
        self.change_count += 1
        self._own_change = self.change_count
        self.own = msgspec.structs.replace(own, revision=own.revision + 1)
        self._relays_cache.clear()

    def _set(self, entry: _Entry, member: Member, now: float) -> None:
        self.change_count += 1
        if entry.member.planning and not member.planning:
            entry.planning_ended_at = now
        entry.member = member
        entry.change = self.change_count
        entry.changed_at = now
        self._entries.move_to_end(member.node)
        self._relays_cache.clear()


def _order(member: Member) -> tuple[int, int, bool, int]:
    return member.incarnation, member.revision, member.gone, member.exchange_version


def hosts_of(members: Iterable[Member]) -> list[str]:
    """Return the hosts of members."""
    return [member.caller_address.host for member in members]


def _stays_and_reaches_servers(member: Member) -> bool:
    return not member.leaving and not member.cut_off
