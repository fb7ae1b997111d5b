"""Random days of the operator's records: a confirmation must be true, and calls must have pauses.

The store answers late, is unavailable, rejects some nodes and comes back from copies; the operator
changes the configuration and evacuates data centres, and writes again what was lost.
"""

import random
from urllib.parse import urlsplit

import pytest

from briarpond.gateway._evacuation_orders import RESTORE_GRACE_S
from briarpond.gateway._store_client import StoreClient
from briarpond.net import Address, LossReason
from briarpond.platform import StoreRequest

from ..platform_samples import config_bytes
from .test_evacuation import PLACES, PULL_INTERVAL_S, World

SEEDS = range(40)
DAY_S = 60.0
# Time after the last disturbance in which each node gets all that is in force.
SETTLING_S = RESTORE_GRACE_S + 5.0
# Time within which an order to evacuate must be in force on a node in touch.
EVACUATE_S = 5.0
CANDIDATES = ("a", "b")
HOSTS = tuple("abcdefghijkl")
# Seeds of days with one node and with as many as there are hosts; the others have four nodes.
FEW_SEEDS = range(40, 50)
# Calls of one node to the store in a second, on the mean of a day.
MOST_CALLS_PER_S = 8.0


class StoreWire:
    """HTTP client of one node's `StoreClient`, with answers that arrive late or not at all."""

    def __init__(self, clock, log, rng):
        self.clock = clock
        self.log = log
        self.rng = rng
        self.is_cut = False
        self.calls = 0

    def fetch(
        self, address, method, target, headers, body, timeout_s, on_answer, on_failure, on_headers
    ):
        self.calls += 1
        ended = []

        def end(call, *arguments):
            if not ended:
                ended.append(True)
                call(*arguments)

        def deliver(era, status, answer):
            on_headers((("store-era", str(era)),))
            on_answer(status, answer)

        def on_store_answer(status, answer):
            if self.is_cut:
                return
            delay_s = self.rng.choice([0.0, 0.0, 0.0, 0.3, 0.7])
            era = self.log.era
            self.clock.after(delay_s, lambda: end(deliver, era, status, answer))

        self.clock.after(timeout_s, lambda: end(on_failure, LossReason.TIMEOUT))
        split = urlsplit(target)
        request = StoreRequest(method, f"{split.path}?{split.query}", body)
        self.log.call(request, timeout_s, on_store_answer, lambda reason: end(on_failure, reason))


class Day:
    """One random day, and what the operator has had acknowledged."""

    def __init__(self, tmp_path, seed, node_count):
        self.hosts = HOSTS[:node_count]
        self.rng = random.Random(seed)
        self.world = World(tmp_path)
        self.world.log.era = 1
        self.wires = {}
        # Acknowledged changes that the store has: versions with the time of the acknowledgement.
        self.versions = [(self.world.clock.now(), 7)]
        # Evacuated data centres, with the time since which the store has the order.
        self.orders = {}
        # Orders that a node had in force when the store lost them, by host.
        self.orders_to_keep = {}
        self.lost_versions = []
        self.rewrite_at = None
        for host in self.hosts:
            wire = self.wires[host] = StoreWire(self.world.clock, self.world.log, self.rng)
            store = StoreClient(Address("10.0.0.1", 80), wire, lambda: None, self.world.clock.now)
            self.world.start(host, host in CANDIDATES, store)

    def run(self):
        began_at = self.world.clock.now()
        while self.world.clock.now() - began_at < DAY_S:
            self._act()
            self._pass()
        self._calm()
        for _ in range(round(SETTLING_S / PULL_INTERVAL_S)):
            self._pass()
        self._check_end()
        calls = max(wire.calls for wire in self.wires.values())
        assert calls < (DAY_S + SETTLING_S) * MOST_CALLS_PER_S

    def _act(self):
        action = self.rng.random()
        if self.rewrite_at is not None:
            if self.world.clock.now() >= self.rewrite_at:
                self._rewrite()
        elif action < 0.25:
            self._write(self.versions[-1][1] + 1)
        elif action < 0.32:
            self._order()
        elif action < 0.38:
            self._restore()
        if self.rng.random() < 0.05:
            wire = self.wires[self.rng.choice(self.hosts)]
            wire.is_cut = not wire.is_cut
        if self.rng.random() < 0.04:
            self.world.log.rejecting = not self.world.log.rejecting

    def _write(self, version):
        self.world.log.append("config", config_bytes(version=version))
        self.versions.append((self.world.clock.now(), version))

    def _order(self):
        place = self.rng.choice(PLACES)
        if place in self.orders:
            self.world.log.cancel(place)
            del self.orders[place]
        else:
            self.world.log.evacuate(place)
            self.orders[place] = self.world.clock.now()

    def _restore(self):
        """Come back from a copy that lacks some records; the operator writes them again later."""
        log = self.world.log
        kept = max(1, len(log.records) - self.rng.randint(0, 6))
        log.restore(kept)
        stored = max(version for version in self._stored_versions())
        self.lost_versions = [each for each in self.versions if each[1] > stored]
        self.versions = [each for each in self.versions if each[1] <= stored]
        self.rewrite_at = self.world.clock.now() + self.rng.uniform(0.2, 3.0)
        self.orders_to_keep = {host: self._known_orders(host) for host in self.hosts}

    def _known_orders(self, host):
        """Return the orders that a node has in force and has surely read since they were given."""
        now = self.world.clock.now()
        age = self.world.keepers[host].age(now)
        known_until = float("-inf") if age is None else now - age
        evacuated = self.world.states[host].evacuated
        return {place for place, at in self.orders.items() if at <= known_until} & evacuated

    def _stored_versions(self):
        known = {config_bytes(version=version): version for _, version in self.versions}
        return [known[value] for key, value in self.world.log.records if key == "config"]

    def _rewrite(self):
        """Write the newest record of each key again that was lost, in any order."""
        self.rewrite_at = None
        writes = []
        if self.lost_versions:
            newest = self.lost_versions[-1][1]
            writes.append(lambda: self._write(newest))
            self.lost_versions = []
        listed = self._listed_places()
        for place in PLACES:
            if place in self.orders and place not in listed:
                writes.append(lambda place=place: self._order_again(place))
            elif place not in self.orders and place in listed:
                writes.append(lambda place=place: self.world.log.cancel(place))
        self.rng.shuffle(writes)
        for write in writes:
            write()

    def _order_again(self, place):
        self.world.log.evacuate(place)
        self.orders[place] = self.world.clock.now()

    def _listed_places(self):
        listed = set()
        for key, value in self.world.log.records:
            if key.startswith("evacuate/"):
                place = key.removeprefix("evacuate/")
                (listed.discard if value is None else listed.add)(place)
        return listed

    def _calm(self):
        if self.rewrite_at is not None:
            self._rewrite()
        self.world.log.rejecting = False
        for wire in self.wires.values():
            wire.is_cut = False

    def _pass(self):
        for host in self.hosts:
            others = [each for each in self.hosts if each != host]
            if others:
                self.world.pull(host, self.rng.choice(others))
        self.world.clock.advance(PULL_INTERVAL_S)
        self._check_confirmations()

    def _check_confirmations(self):
        now = self.world.clock.now()
        for host, keeper in self.world.keepers.items():
            age = keeper.age(now)
            if age is None:
                continue
            acknowledged = [version for at, version in self.versions if at <= now - age]
            config = self.world.states[host].config
            assert config.version >= max(acknowledged, default=0), (host, now, age)
            self._check_orders(host, now, age)

    def _check_orders(self, host, now, age):
        """Check orders that the store has had for long, or has lost after the node had them."""
        evacuated = self.world.states[host].evacuated
        if self.rewrite_at is not None:
            assert self.orders_to_keep[host] <= evacuated, (host, now)
            return
        due = {place for place, at in self.orders.items() if at + EVACUATE_S <= now - age}
        assert due <= evacuated, (host, now)

    def _check_end(self):
        now = self.world.clock.now()
        for host, state in self.world.states.items():
            assert state.config.version == self.versions[-1][1], host
            assert state.evacuated == frozenset(self.orders), host
            assert self.world.keepers[host].age(now) < EVACUATE_S, host


# Guards against acknowledged changes that are ignored while the version before is confirmed, and
# against calls to the store without a pause.
@pytest.mark.parametrize(
    ("node_count", "seed"),
    [(4, seed) for seed in SEEDS] + [(count, seed) for count in (1, 12) for seed in FEW_SEEDS],
)
def test_confirmations_are_true(tmp_path, node_count, seed):
    Day(tmp_path, seed, node_count).run()
