"""Requests to one cold server from many nodes, which see each other more or less well.

Every node has a `ColdSends` of its own and virtual time. Demand is such that each node sends
whenever it may, unless a test says otherwise.
"""

import bisect
import random

import pytest

from briarpond.dispatch import ColdLimit, ColdSends
from briarpond.dispatch._cold import choose_pace, choose_senders

PER_S = 26.0
BOUND = 44  # 26 x 1.5 + 5
LIMIT = ColdLimit(PER_S, BOUND)
MIN_PER_S = 0.6 * PER_S
# How often a node looks whether a held request may be sent.
TICK_S = 0.01
SETTLING_S = 3.0
SIZES = (9, 84, 140)
SERVERS = ("i-1", "i-2", "i-3", "i-4")


def names(count):
    return [f"edge-{number:03d}" for number in range(count)]


class Fleet:
    """Nodes that send to one cold server, and the times at which requests reach it.

    `only_cold` says whether nodes have no other server. `demand` decides at each tick whether a
    node has a request to send.
    """

    def __init__(self, nodes, server="i-1", seed=1, only_cold=True, jitter_s=0.02):
        self.rng = random.Random(f"{seed} {server}")
        self.server = server
        self.only_cold = only_cold
        self.jitter_s = jitter_s
        self.nodes = {node: ColdSends(node) for node in nodes}
        self.ticks = {node: self.rng.uniform(0.0, TICK_S) for node in nodes}
        self.arrivals = []
        self.now = 0.0
        self.demand = lambda node, now: True
        self.events = []

    def at(self, time, call, *args):
        self.events.append((time, len(self.events), call, args))
        self.events.sort()

    def see(self, node, seen, is_settled=True):
        self.nodes[node].set_nodes(frozenset(seen) | {node}, is_settled, self.now)

    def see_all(self):
        for node in self.nodes:
            self.see(node, self.nodes)

    def discover(self, node):
        self.nodes[node].set_cold({self.server: LIMIT}, self.now)

    def discover_all(self, spread_s=0.0):
        for node in self.nodes:
            self.at(self.now + self.rng.uniform(0.0, spread_s), self.discover, node)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            start = self.now
            while self.events and self.events[0][0] <= start:
                _, _, call, args = self.events.pop(0)
                call(*args)
            for node, sends in self.nodes.items():
                self._step(node, sends, start + self.ticks[node])
            self.now = start + TICK_S

    def _step(self, node, sends, now):
        if not sends.is_cold(self.server) or not self.demand(node, now):
            # The server is new: nodes that have not learnt of it can't use it either.
            return
        if sends.may_send(self.server, now, self.only_cold):
            sends.reserve(self.server)
            sends.record_sent(self.server, now)
            self.arrivals.append(now + self.rng.uniform(0.0, self.jitter_s))

    def most_in_a_second(self, since=0.0):
        times = sorted(at for at in self.arrivals if at >= since)
        return max(
            (bisect.bisect_right(times, at + 1.0) - n for n, at in enumerate(times)), default=0
        )

    def rate(self, since, until):
        return sum(since <= at < until for at in self.arrivals) / (until - since)


def settled_fleet(size, server, **options):
    """Return a fleet whose nodes know each other."""
    fleet = Fleet(names(size), server, **options)
    fleet.see_all()
    return fleet


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("size", SIZES)
def test_bound_and_share_hold_from_the_discovery_on(size, server):
    """Guards against a crash in the first second, when all nodes learn of the server at once."""
    fleet = settled_fleet(size, server)
    fleet.discover_all(spread_s=0.5)
    fleet.run(12.0)
    assert fleet.most_in_a_second() <= BOUND
    assert min(fleet.rate(at, at + 2.0) for at in (2.0, 5.0, 10.0)) >= MIN_PER_S


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("size", SIZES)
def test_pacing_alone_would_keep_the_server_at_its_rate(size, server):
    """The bound is not used up: it has room for views that differ."""
    fleet = settled_fleet(size, server)
    fleet.discover_all()
    fleet.run(12.0)
    assert fleet.rate(0.0, 12.0) <= PER_S * 1.05
    assert fleet.most_in_a_second() <= 30 + 2


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("size", (84, 140))
def test_few_requests_at_each_node_still_use_the_server(size, server):
    """Guards against senders too few for their requests: a node sees about two in a second."""
    fleet = settled_fleet(size, server)
    fleet.discover_all()
    waiting = {node: [] for node in fleet.nodes}

    def demand(node, now):
        return any(at <= now <= at + 0.1 for at in waiting[node])

    for node in fleet.nodes:
        at = 0.0
        while at < 20.0:
            at += fleet.rng.expovariate(2.0)
            waiting[node].append(at)
    fleet.demand = demand
    fleet.run(20.0)
    assert fleet.most_in_a_second() <= BOUND
    assert fleet.rate(2.0, 20.0) >= MIN_PER_S


@pytest.mark.parametrize("size", SIZES)
def test_requests_that_come_to_all_nodes_at_once_keep_the_bound(size):
    """Guards against a burst after a lull, when every sender is due."""
    fleet = settled_fleet(size, "i-1")
    fleet.discover_all()
    fleet.demand = lambda node, now: now % 3.0 > 2.0
    fleet.run(15.0)
    assert fleet.most_in_a_second() <= BOUND


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("size", SIZES)
def test_bound_holds_while_views_differ(size, server):
    """Each node misses a few others, so that more nodes than planned take themselves for senders.

    Their largest view is as small as the present one.
    """
    fleet = Fleet(names(size), server)
    missing = 2 if size == 9 else 8
    for node in fleet.nodes:
        unseen = fleet.rng.sample(list(fleet.nodes), missing)
        fleet.see(node, set(fleet.nodes) - set(unseen))
    fleet.discover_all()
    fleet.run(12.0)
    assert fleet.most_in_a_second() <= BOUND
    assert fleet.rate(2.0, 12.0) >= MIN_PER_S


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("size", SIZES)
def test_bound_holds_if_the_highest_ranks_are_missing_from_views(size, server):
    """The worst case of differing views: each node misses two of the senders."""
    fleet = settled_fleet(size, server)
    senders = choose_senders(server, fleet.nodes, choose_pace(LIMIT, size).senders)
    for node in fleet.nodes:
        fleet.see(node, set(fleet.nodes) - set(fleet.rng.sample(senders, 2)))
    fleet.discover_all()
    fleet.run(12.0)
    assert fleet.most_in_a_second() <= BOUND


def cut(fleet, parts):
    """Split the nodes into parts that lose sight of each other within 2 s."""
    for part in parts:
        for node in part:
            fleet.at(fleet.now + fleet.rng.uniform(0.0, 2.0), fleet.see, node, part)


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("ways", (2, 3))
def test_bound_holds_while_a_third_is_cut_off(size, ways, server):
    """Guards against one set of senders on each side of a partition, each at the full rate."""
    fleet = settled_fleet(size, server, only_cold=False)
    fleet.discover_all()
    fleet.run(3.0)
    third = size // 3
    nodes = list(fleet.nodes)
    fleet.rng.shuffle(nodes)
    parts = [nodes[:third], nodes[third:]]
    if ways == 3:
        parts = [nodes[:third], nodes[third : 2 * third], nodes[2 * third :]]
    cut(fleet, parts)
    fleet.run(10.0)
    cut(fleet, [nodes])
    fleet.run(6.0)
    assert fleet.most_in_a_second() <= BOUND
    assert fleet.rate(6.0, 13.0) >= MIN_PER_S


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("size", SIZES)
def test_server_is_used_after_the_loss_of_a_third_of_the_nodes(size, server):
    """The survivors can't tell a loss from a partition, and keep to their part."""
    fleet = settled_fleet(size, server)
    fleet.discover_all()
    fleet.run(3.0)
    lost = fleet.rng.sample(list(fleet.nodes), size // 3)
    for node in lost:
        del fleet.nodes[node]
    cut(fleet, [list(fleet.nodes)])
    fleet.run(14.0)
    assert fleet.most_in_a_second() <= BOUND
    assert fleet.rate(6.0, 17.0) >= MIN_PER_S


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("size", SIZES)
def test_bound_holds_while_each_node_of_a_third_is_alone(size, server):
    """Guards against lone nodes that each take the whole rate, where only cold servers are left."""
    fleet = settled_fleet(size, server)
    fleet.discover_all()
    fleet.run(3.0)
    nodes = list(fleet.nodes)
    lone, rest = nodes[: size // 3], nodes[size // 3 :]
    cut(fleet, [rest, *([node] for node in lone)])
    fleet.run(12.0)
    assert fleet.most_in_a_second() <= BOUND


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("size", SIZES)
def test_bound_holds_while_all_nodes_are_alone(size, server):
    fleet = settled_fleet(size, server)
    fleet.discover_all()
    cut(fleet, [[node] for node in fleet.nodes])
    fleet.run(12.0)
    assert fleet.most_in_a_second() <= BOUND


@pytest.mark.parametrize("server", SERVERS)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("spread_s", (0.2, 2.0, 8.0))
def test_bound_holds_after_a_restart_of_all_nodes(size, spread_s, server):
    """Guards against nodes that take the few others that they know yet for all of them.

    Nodes start at different times and learn of each other 0.5 s later; each updates its view once
    a second.
    """
    fleet = Fleet(names(size), server)
    started = {node: fleet.rng.uniform(0.0, spread_s) for node in fleet.nodes}

    def look_around(node):
        now = fleet.now
        seen = [each for each, at in started.items() if at <= now - 0.5]
        fleet.see(node, seen, now - started[node] >= SETTLING_S)
        fleet.at(now + 1.0, look_around, node)

    for node, at in started.items():
        fleet.at(at, fleet.discover, node)
        fleet.at(at, look_around, node)
    fleet.demand = lambda node, now: now >= started[node]
    fleet.run(spread_s + 8.0)
    assert fleet.most_in_a_second() <= BOUND
    assert fleet.rate(spread_s + 6.0, spread_s + 8.0) >= MIN_PER_S


def test_lone_node_uses_another_server_while_there_is_one():
    fleet = Fleet(names(9), only_cold=False)
    fleet.discover_all()
    fleet.run(3.0)
    assert fleet.arrivals == []


def test_node_that_has_gone_changes_the_senders_by_one():
    nodes = names(84)
    senders = choose_senders("i-1", nodes, 30)
    for gone in nodes:
        left = choose_senders("i-1", [node for node in nodes if node != gone], 30)
        assert len(set(senders) - set(left)) == (gone in senders)


def test_senders_of_different_servers_are_independent():
    """Guards against a hash by which a few nodes are senders of most servers."""
    nodes = names(140)
    counts = dict.fromkeys(nodes, 0)
    for number in range(1000):
        for node in choose_senders(f"i-{number}", nodes, 30):
            counts[node] += 1
    expected = 1000 * 30 / 140
    assert all(abs(count - expected) < 5 * expected**0.5 for count in counts.values())
    overlap = [
        len(set(choose_senders("i-0", nodes, 30)) & set(choose_senders(f"i-{number}", nodes, 30)))
        for number in range(1, 200)
    ]
    assert sum(overlap) / len(overlap) == pytest.approx(30 * 30 / 140, rel=0.15)


@pytest.mark.parametrize("size", (1, 2, 3, 5, 9, 20, 84, 140, 500))
@pytest.mark.parametrize("limit", (LIMIT, ColdLimit(2.0, 8.0), ColdLimit(100.0, 155.0)))
def test_pace_leaves_room_in_the_bound_for_more_senders(limit, size):
    pace = choose_pace(limit, size)
    sends_in_a_second = int(1.1 / pace.interval_s - 1e-9) + 1
    spare = min(5, size)
    assert (pace.senders + spare) * sends_in_a_second <= limit.max_per_s
    assert pace.senders / pace.interval_s >= 0.6 * limit.per_s


def sender():
    """Return the pacing of a node that is a sender of `i-1`, its interval and when it is due."""
    nodes = names(9)
    sends = ColdSends(nodes[0])
    sends.set_nodes(frozenset(nodes), True, 0.0)
    sends.set_cold({"i-1": LIMIT}, 10.0)
    interval_s = choose_pace(LIMIT, 9).interval_s
    return sends, interval_s, 10.0 + interval_s


def test_send_counts_when_its_first_byte_leaves():
    """Guards against two sends close together, one of which was slow to connect."""
    sends, interval_s, due = sender()
    assert sends.may_send("i-1", due)
    sends.reserve("i-1")
    assert not sends.may_send("i-1", due + interval_s + 0.1)
    sends.record_sent("i-1", due + 0.4)
    assert not sends.may_send("i-1", due + interval_s + 0.1)
    assert sends.may_send("i-1", due + 0.4 + interval_s)


def test_send_that_never_left_does_not_block_the_server():
    sends, _, due = sender()
    sends.reserve("i-1")
    sends.release("i-1")
    assert sends.may_send("i-1", due)


def test_asking_does_not_count():
    """A held request asks every 10 ms."""
    sends, _, due = sender()
    assert all(sends.may_send("i-1", due + n / 100) for n in range(100))


def test_unused_time_is_not_made_up_for():
    sends, interval_s, due = sender()
    late = due + 20 * interval_s
    sends.reserve("i-1")
    sends.record_sent("i-1", late)
    assert not sends.may_send("i-1", late + 0.9 * interval_s)


def test_sends_before_the_server_became_cold_count():
    """Guards against a burst at the moment at which a warm server becomes cold again."""
    sends, interval_s, due = sender()
    sends.set_cold({}, due)
    assert not sends.is_cold("i-1") and sends.may_send("i-1", due)
    sends.reserve("i-1")
    sends.record_sent("i-1", due + 5.0)
    sends.prune(due + 5.0)
    sends.set_cold({"i-1": LIMIT}, due + 5.0)
    assert not sends.may_send("i-1", due + 5.0 + 0.9 * interval_s)


def test_sends_under_way_hold_back_others_when_the_server_becomes_cold():
    sends, interval_s, due = sender()
    sends.set_cold({}, due)
    for _ in range(3):
        sends.reserve("i-1")
    sends.set_cold({"i-1": LIMIT}, due)
    late = due + 2 * interval_s
    assert not sends.may_send("i-1", late)
    for _ in range(3):
        sends.record_sent("i-1", late)
    assert sends.may_send("i-1", late + interval_s)


def test_servers_that_are_not_cold_are_not_paced():
    sends, _, due = sender()
    for _ in range(5):
        sends.reserve("i-2")
        assert sends.may_send("i-2", due)
        sends.record_sent("i-2", due)
