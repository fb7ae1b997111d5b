"""Model of many nodes that exchange state: seeded loss, delay, pauses, kills and cuts.

Nodes are `PeerSync` objects with virtual time; datagrams pass through the codec, so that
their bytes are counted.
"""

import heapq
import itertools
import random

from briarpond.directory import (
    HOUSEKEEPING_INTERVAL_S,
    Answer,
    ConfigStatus,
    GroupTarget,
    Load,
    Member,
    Notice,
    PeerSync,
    PlanStatus,
    PlanVersion,
    Pull,
    RoutingTargets,
    SyncCallbacks,
    decode_datagram,
    encode_datagram,
)
from briarpond.net import Address
from briarpond.quarantine import CrashKey, Quarantine, QuarantineCallbacks

LOSS = 0.01
NEAR_DELAY_S = 0.0002
FAR_DELAY_S = 0.004


class SimulatedNode:
    """One node: its exchange, what it has learnt, and whether it runs."""

    def __init__(self, world, number, data_centre):
        self.world = world
        self.name = f"{data_centre}-{number:03d}"
        self.host = f"10.{data_centre[1:]}.{number // 200}.{number % 200 + 1}"
        self.data_centre = data_centre
        self.starts = 0
        self.running = False
        self.paused_until = 0.0
        self.is_planner = False
        self.config = ConfigStatus(0, 0.0)
        self.config_newest_at = float("-inf")
        self.sent = 0
        self.sent_bytes = 0
        self.sent_far_bytes = 0

    def start(self):
        now = self.world.now
        self.starts += 1
        self.running = True
        self.plan = PlanStatus(PlanVersion(), 0.0, 0.0, "")
        self.plan_confirmed_at = float("-inf")
        self.stalled = set()
        own = Member(
            self.name,
            int(now * 1000) + 1,
            0,
            Address(self.host, 80),
            self.data_centre,
            True,
            False,
            self.is_planner,
        )
        callbacks = SyncCallbacks(
            own_load=lambda now: Load(),
            plan_status=self._plan_status,
            config_status=lambda now: None,
            on_plan=self._on_plan,
            on_config=lambda status, at, host: None,
            on_config_version=lambda version, host: None,
            on_load=lambda source, load: None,
            on_stalled=self.stalled.update,
            on_members=lambda appeared, gone: None,
            evidence=lambda now: self.quarantine.evidence(now),
            on_evidence=lambda evidence, now: self.quarantine.merge(evidence, now),
            on_pause=lambda now: self.quarantine.on_pause(now),
        )
        self.quarantine = Quarantine(
            QuarantineCallbacks(
                count_groups=lambda now: self.world.group_count,
                is_trial_node=lambda part, now: False,
                on_quarantined=self._on_quarantined,
                on_suspected=self._tell_all,
                schedule=lambda delay: self.world.after(
                    delay, lambda: self.quarantine.evaluate(self.world.now)
                ),
                on_trial=lambda part, request_id: None,
                on_released=lambda part, reason: None,
            ),
            now,
        )
        self.sync = PeerSync(own, callbacks, random.Random(self.world.rng.random()), now)
        self.sync.add_contacts(self.world.seed_hosts)
        self.incarnation = self.starts
        self._pull_loop(self.starts)
        self._housekeep_loop(self.starts)

    def kill(self):
        self.running = False

    def pause(self, seconds):
        self.paused_until = self.world.now + seconds

    def publish(self, names, term=1):
        """On the planner, publish a plan with one group for each name."""
        log = self.sync.plan_log
        previous = log.version
        targets = RoutingTargets(
            tuple(GroupTarget(f"g-{each}", 1, "m", each, Address("10.9.0.1", 1)) for each in names)
        )
        if log.publish(term, targets):
            self.send(self.sync.announce(self.world.now, delta=log.delta_since(previous)))

    def announce_stalled(self, server):
        self.send(self.sync.announce(self.world.now, stalled=(server,)))

    def see_crash(self, server, request):
        """Record that a server ended under a request, given by its parts."""
        self.quarantine.record_crash(CrashKey(server, 1), [tuple(request.split())], self.world.now)

    def refuses(self, part):
        return self.quarantine.check((part,), "any", self.world.now) is not None

    def _on_quarantined(self, condemnation, is_first_hand):
        if is_first_hand:
            self._tell_all()

    def _tell_all(self):
        now = self.world.now
        self.send(self.sync.announce(now, evidence=self.quarantine.evidence(now)))

    def receive(self, data):
        message = decode_datagram(data).ok
        now = self.world.now
        match message:
            case Pull():
                self.send(self.sync.on_pull(message, now))
            case Answer():
                self.send(self.sync.on_answer(message, now))
            case Notice():
                self.send(self.sync.on_notice(message, now))

    def send(self, outgoing):
        for each in outgoing:
            data = encode_datagram(each.message)
            self.sent += 1
            self.sent_bytes += len(data)
            self.world.transmit(self, each.host, data)

    def plan_age(self):
        return self.world.now - self.plan_confirmed_at

    def _plan_status(self, now):
        if self.is_planner:
            return PlanStatus(self.sync.plan_log.version, 0.0, 0.0, self.name)
        if not self.plan.planner:
            return None
        age = now - self.plan_confirmed_at
        return PlanStatus(self.sync.plan_log.version, age, age, self.plan.planner)

    def _on_plan(self, status, at):
        if status.version == self.sync.plan_log.version:
            self.plan = status
            self.plan_confirmed_at = max(self.plan_confirmed_at, at - status.age_s)

    def _runs(self, start):
        return self.running and self.starts == start

    def _pull_loop(self, start):
        if not self._runs(start):
            return
        if self._postpone_if_paused(lambda: self._pull_loop(start)):
            return
        outgoing, delay = self.sync.next_pull(self.world.now)
        if outgoing is not None:
            self.send([outgoing])
        self.world.after(delay * self.world.rng.uniform(0.9, 1.1), lambda: self._pull_loop(start))

    def _housekeep_loop(self, start):
        if not self._runs(start):
            return
        if self._postpone_if_paused(lambda: self._wake(start)):
            return
        self.send(self.sync.housekeep(self.world.now))
        self.world.after(HOUSEKEEPING_INTERVAL_S, lambda: self._housekeep_loop(start))

    def _wake(self, start):
        if self._runs(start):
            self.sync.on_pause(self.world.now)
            self._housekeep_loop(start)

    def _postpone_if_paused(self, call):
        if self.world.now >= self.paused_until:
            return False
        self.world.after(self.paused_until - self.world.now + 0.001, call)
        return True


class World:
    """Network of simulated nodes in data centres of equal size."""

    def __init__(self, node_count, data_centres=5, seed=1, loss=LOSS):
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.loss = loss
        self.group_count = 100
        # Pairs (sender, receiver) of nodes between which datagrams are dropped.
        self.is_cut = lambda sender, receiver: False
        self._heap = []
        self._order = itertools.count()
        names = [f"d{number + 1}" for number in range(data_centres)]
        self.nodes = [
            SimulatedNode(self, number, names[number % data_centres])
            for number in range(node_count)
        ]
        self.by_host = {node.host: node for node in self.nodes}
        self.seed_hosts = [node.host for node in self.nodes[:3]]
        self.planner = self.nodes[0]
        self.planner.is_planner = True
        for node in self.nodes:
            self.after(self.rng.uniform(0.0, 0.3), node.start)

    def after(self, delay, call):
        heapq.heappush(self._heap, (self.now + delay, next(self._order), call))

    def run(self, seconds):
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = end

    def run_until(self, condition, limit_s, step_s=0.05):
        """Run until a condition holds; return the seconds that took, or None."""
        began = self.now
        while self.now - began < limit_s:
            if condition():
                return self.now - began
            self.run(step_s)
        return self.now - began if condition() else None

    def transmit(self, sender, host, data):
        receiver = self.by_host.get(host)
        if receiver is None or self.is_cut(sender, receiver) or self.rng.random() < self.loss:
            return
        far = sender.data_centre != receiver.data_centre
        if far:
            sender.sent_far_bytes += len(data)
        delay = (FAR_DELAY_S if far else NEAR_DELAY_S) * self.rng.uniform(1.0, 1.3)
        start = receiver.starts

        def arrive():
            if not receiver.running or receiver.starts != start:
                return
            # What arrives during a pause is discarded at its end.
            if self.now >= receiver.paused_until:
                receiver.receive(data)

        self.after(delay, arrive)

    def running(self):
        return [node for node in self.nodes if node.running]

    def all_know(self, count):
        running = self.running()
        return len(running) == count and all(
            node.sync.members.count_nodes(self.now) == count for node in running
        )

    def believers(self, name):
        """Return the running nodes that take the named node for alive."""
        return [node for node in self.running() if node.sync.members.is_live(name, self.now)]

    def with_plan(self, version):
        return [node for node in self.running() if node.sync.plan_log.version == version]

    def reset_counters(self):
        for node in self.nodes:
            node.sent = node.sent_bytes = node.sent_far_bytes = 0
