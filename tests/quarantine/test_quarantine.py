"""Which parts are put in quarantine, by what evidence, and how they leave it."""

import random

import pytest

from briarpond.quarantine import (
    LEVEL_IF_NEVER_SURVIVED,
    CrashKey,
    CrashReport,
    Evidence,
    Quarantine,
    QuarantineCallbacks,
    QuarantineStatus,
    quarantine_s,
    trial_node,
)
from briarpond.quarantine._crashes import MAX_CRASHES, MAX_MENTIONS
from briarpond.quarantine._quarantine import COLLECT_S, MAX_ENTRIES, WARM_UP_S
from briarpond.quarantine._survivals import MAX_SURVIVALS

GROUPS = 12
FIRST_QUARANTINE_S = quarantine_s(LEVEL_IF_NEVER_SURVIVED)


class Node:
    """A quarantine with its own time and a record of what it reports."""

    def __init__(self, groups=GROUPS):
        self.now = 100.0
        self.events = []
        self.may_try = True
        self.quarantine = Quarantine(
            QuarantineCallbacks(
                count_groups=lambda now: groups,
                is_trial_node=lambda part, now: self.may_try,
                on_quarantined=lambda condemnation, first_hand: self.events.append(
                    ("quarantined", condemnation.part)
                ),
                on_suspected=lambda: None,
                schedule=lambda delay: None,
                on_trial=lambda part, request_id: self.events.append(("tried", part)),
                on_released=lambda part, reason: self.events.append((reason.value, part)),
            ),
            self.now - WARM_UP_S,
        )

    def crash(self, server, *requests, after_s=1.0):
        self.now += after_s
        parts = [tuple(request.split()) for request in requests]
        self.quarantine.record_crash(CrashKey(server, 1), parts, self.now)
        self.quarantine.evaluate(self.now + COLLECT_S)

    def survive(self, *parts, after_s=0.1):
        self.now += after_s
        self.quarantine.record_survival(parts, self.now, self.now)

    def blocked(self, parts, request_id="new"):
        return self.quarantine.check(parts.split(), request_id, self.now)

    def tell(self, other):
        evidence = self.quarantine.evidence(self.now)
        if evidence is not None:
            other.quarantine.merge(evidence, other.now)


@pytest.fixture
def node():
    return Node()


def condemn(node, part="bad", first="f"):
    """Let two servers end under different requests with a part."""
    node.crash(f"{part}-s1", f"{first} {part} r1")
    node.survive(first)
    node.crash(f"{part}-s2", f"{first} {part} r2")


def test_part_shared_by_requests_under_which_servers_ended_is_quarantined(node):
    condemn(node)
    assert node.blocked("f bad r3").part == "bad"
    assert node.blocked("f r4") is None


def test_one_crash_condemns_nobody(node):
    node.crash("s1", "f bad r1", "f r2", "g r3")
    assert node.blocked("f bad r1") is None and not node.events


def test_one_request_lost_twice_condemns_only_its_own_part(node):
    """The request may be to blame, but nothing tells which of its shared parts is."""
    node.crash("s1", "f m r1")
    node.crash("s2", "f m r1")
    assert node.blocked("f m r1").part == "r1"
    assert node.blocked("f m r2") is None


def test_same_crash_seen_by_several_nodes_counts_once(node):
    node.crash("s1", "f bad r1")
    node.crash("s1", "f bad r2")
    assert node.blocked("f bad r3") is None


def test_answer_in_between_clears_a_part(node):
    node.crash("s1", "f m r1")
    node.survive("f", "m")
    node.crash("s2", "f m r2")
    assert node.blocked("f m r3") is None


def test_part_that_used_to_be_harmless_needs_one_more_crash(node):
    node.survive("f", "m")
    node.crash("s1", "f m r1", after_s=2.0)
    node.crash("s2", "f m r2")
    assert node.blocked("f m r4") is None
    node.survive("f")
    node.crash("s3", "f m r3")
    assert node.blocked("f m r4").part == "m"
    # It may have been blamed in error, so it is tried soon.
    assert node.blocked("f m r4").retry_after_s < FIRST_QUARANTINE_S / 4


# Guards against blame for a common part because the first node to report a crash had only
# bystanders on the server.
def test_verdict_waits_for_the_requests_that_other_nodes_had_on_the_server(node):
    node.survive("f")
    node.crash("s1", "f bad r1", after_s=3.0)
    node.crash("s2", "f bad r1")
    node.now += 1.0
    node.quarantine.record_crash(CrashKey("s3", 1), [("f", "r2")], node.now)
    node.quarantine.evaluate(node.now + COLLECT_S / 2)
    other = CrashReport(CrashKey("s3", 1), 0.01, (("f", "bad", "r3"),))
    node.quarantine.merge(Evidence(crashes=(other,)), node.now + COLLECT_S / 2)
    node.quarantine.evaluate(node.now + 2 * COLLECT_S)
    assert node.blocked("f bad r4").part == "bad"
    assert node.blocked("f r4") is None


def test_common_part_with_two_requests_aboard_is_not_blamed(node):
    node.survive("f")
    node.crash("s1", "f bad r1", after_s=3.0)
    node.crash("s2", "f bad r1")
    node.crash("s3", "f r2")
    assert node.blocked("f r3") is None


# Guards against parts that are blamed because many servers ended for a reason of their own.
def test_domain_that_goes_dark_condemns_nobody(node):
    for server in range(10):
        requests = [f"f{n % 3} r{server}-{n}" for n in range(9)]
        node.crash(f"s{server}", *requests, after_s=0.01)
    for server in range(3):
        node.crash(f"t{server}", f"f1 m r0-{server}", f"f2 m r1-{server}", after_s=0.01)
    assert not node.events


# Guards against blame for a common part at a site so large that servers end all the time.
def test_common_part_is_not_blamed_while_word_of_its_answers_is_under_way():
    node = Node(groups=1500)
    for number in range(200):
        node.crash(f"s{number}", f"f r{number}", after_s=0.2)
        if number % 5 == 0:
            node.survive("f", after_s=0.0)
    assert not node.events


def test_node_that_has_just_started_or_was_suspended_blames_nothing(node):
    node.quarantine.on_pause(node.now)
    condemn(node)
    assert not node.events
    node.now += 3.0
    node.crash("s3", "f bad r3")
    assert node.blocked("f bad r4").part == "bad"


def test_deadly_part_is_found_among_servers_that_end_for_other_reasons(node):
    for server in range(8):
        node.crash(f"s{server}", f"f r{server}", after_s=0.3)
        node.survive("f")
    for server in range(5):
        node.crash(f"t{server}", f"f bad q{server}", f"f n{server}", after_s=0.5)
        node.survive("f")
    assert node.blocked("f bad q9").part == "bad"
    assert node.blocked("f q9") is None


# Guards against blame for requests that lost their server twice beside the one to blame.
def test_neighbours_of_a_deadly_request_are_released_once_it_is_found(node):
    node.crash("s1", "f bad r1", "g m r2")
    node.crash("s2", "f bad r1", "g m r2")
    node.survive("f", "g")
    node.crash("s3", "f bad r3")
    assert node.blocked("f bad r4").part == "bad"
    assert node.blocked("g m r2") is None


def test_released_neighbour_is_not_taken_over_again_from_another_node(node):
    node.crash("s1", "f bad r1", "g m r2")
    node.crash("s2", "f bad r1", "g m r2")
    node.crash("s3", "f bad r3")
    late = Evidence(quarantines=(QuarantineStatus("r2", 3, 1.0),))
    node.quarantine.merge(late, node.now)
    assert node.blocked("g m r2") is None


def test_request_whose_part_others_ended_on_is_not_repeated_even_without_a_verdict():
    node = Node(groups=2)
    node.crash("s1", "f bad r1")
    assert not node.quarantine.is_suspect(["f", "bad", "r1"], node.now)
    node.survive("f")
    node.crash("s2", "f bad r1")
    assert node.quarantine.is_suspect(["f", "bad", "r2"], node.now) and not node.events


# Guards against bystanders that are not repeated because a common part is on each server that ends.
def test_request_whose_common_part_was_survived_just_now_is_repeated(node):
    node.survive("f")
    for number in range(4):
        node.crash(f"s{number}", f"f r{number}", after_s=0.3)
    assert not node.quarantine.is_suspect(["f", "r9"], node.now)


def test_two_deadly_parts_are_both_found(node):
    for number in range(4):
        node.crash(f"s{number}", f"f bad1 r{number}", after_s=0.5)
        node.survive("f")
        node.crash(f"t{number}", f"f bad2 q{number}", after_s=0.5)
        node.survive("f")
    assert node.blocked("f bad1 x").part == "bad1"
    assert node.blocked("f bad2 x").part == "bad2"


def test_refusal_states_when_a_trial_is_possible(node):
    condemn(node)
    assert node.blocked("f bad r3").retry_after_s == pytest.approx(FIRST_QUARANTINE_S)


def test_after_the_quarantine_one_request_at_one_node_is_tried(node):
    condemn(node)
    node.now += FIRST_QUARANTINE_S + 0.1
    node.may_try = False
    assert node.blocked("f bad r3", "a") is not None
    node.may_try = True
    assert node.blocked("f bad r3", "a") is None
    assert node.blocked("f bad r3", "a") is None
    assert node.blocked("f bad r4", "b") is not None


def test_failed_trial_doubles_the_quarantine(node):
    condemn(node)
    node.now += FIRST_QUARANTINE_S + 0.1
    assert node.blocked("f bad r3", "a") is None
    node.crash("s9", "f bad r3")
    assert node.blocked("f bad r3", "a").retry_after_s == pytest.approx(2 * FIRST_QUARANTINE_S)


def test_survived_trial_releases_the_part_at_all_nodes(node):
    other = Node()
    condemn(node)
    other.now = node.now
    node.tell(other)
    assert other.blocked("f bad r3") is not None
    for each in (node, other):
        each.now += FIRST_QUARANTINE_S + 0.1
    assert node.blocked("f bad r3", "a") is None
    node.survive("f", "bad", "r3")
    other.now = node.now
    node.tell(other)
    assert node.blocked("f bad r4") is None and other.blocked("f bad r4") is None
    # What a node that has not heard of it still says does not bring the quarantine back.
    late = Evidence(quarantines=(QuarantineStatus("bad", 3, FIRST_QUARANTINE_S + 1.0),))
    node.quarantine.merge(late, node.now)
    assert node.blocked("f bad r4") is None


def test_trial_without_a_result_is_followed_by_another(node):
    condemn(node)
    node.now += FIRST_QUARANTINE_S + 0.1
    assert node.blocked("f bad r3", "a") is None
    node.now += 16.0
    assert node.blocked("f bad r4", "b") is None


def test_operator_lifts_a_quarantine(node):
    condemn(node)
    assert node.quarantine.lift("bad", node.now + 0.1)
    assert node.blocked("f bad r3") is None and ("lifted", "bad") in node.events
    assert not node.quarantine.lift("bad", node.now + 0.2)


def test_evidence_reaches_the_same_verdict_in_any_order_and_number():
    """Reports that arrive twice, late or out of order are counted once."""
    for seed in range(30):
        rng = random.Random(seed)
        reports = [
            CrashReport(CrashKey("s1", 1), 3.0, (("f", "bad", "r1"),)),
            CrashReport(CrashKey("s1", 1), 3.0, (("g", "r9"),)),
            CrashReport(CrashKey("s2", 1), 2.0, (("f", "bad", "r1"), ("h", "r8"))),
            CrashReport(CrashKey("s3", 1), 1.0, (("f", "bad", "r2"),)),
        ]
        reports = [rng.choice(reports) for _ in range(4)] + rng.sample(reports, 4)
        node = Node()
        for report in reports:
            node.quarantine.merge(Evidence(crashes=(report,)), node.now)
        node.quarantine.evaluate(node.now + COLLECT_S)
        assert node.blocked("x bad y").part == "bad", seed
        assert node.blocked("g r9") is None and node.blocked("h r8") is None, seed


def test_no_caller_makes_the_evidence_grow_without_limit(node):
    for number in range(3 * MAX_CRASHES):
        requests = [f"a{number}-{n} b{number}-{n} c{number}-{n}" for n in range(200)]
        node.crash(f"s{number}", *requests, after_s=0.001)
        node.survive(*[f"p{number}-{n}" for n in range(20)], after_s=0.0)
    quarantine = node.quarantine
    assert len(quarantine._crashes._crashes) <= MAX_CRASHES
    assert len(quarantine._crashes._by_part) <= MAX_MENTIONS
    assert len(quarantine._survivals._survived_at) <= MAX_SURVIVALS
    statuses = tuple(QuarantineStatus(f"x{n}", 3, 1.0) for n in range(2 * MAX_ENTRIES))
    quarantine.merge(Evidence(quarantines=statuses), node.now)
    assert len(quarantine.statuses(node.now)) <= MAX_ENTRIES


def test_what_is_told_is_small_and_soon_silent(node):
    assert node.quarantine.evidence(node.now) is None
    for number in range(50):
        node.crash(f"s{number}", *[f"f m{number} r{number}-{n}" for n in range(9)], after_s=0.0)
    assert len(node.quarantine.evidence(node.now).crashes) <= 4
    node.now += 10.0
    evidence = node.quarantine.evidence(node.now)
    assert evidence is None or not evidence.crashes


def test_crash_that_no_request_may_have_caused_is_told(node):
    """It counts among the ends of servers for other reasons."""
    node.crash("s1")
    node.crash("s2", "f bad r1")
    crashes = node.quarantine.evidence(node.now).crashes
    assert {each.key.server: len(each.requests) for each in crashes} == {"s1": 0, "s2": 1}


def test_evidence_is_forgotten(node):
    node.crash("s1", "f bad r1")
    node.now += 61.0
    node.crash("s2", "f bad r2")
    assert node.blocked("f bad r3") is None


def test_nodes_with_the_same_view_choose_the_same_node_for_a_trial():
    nodes = [f"n{number}" for number in range(9)]
    chosen = {trial_node(f"part{number}", nodes) for number in range(60)}
    assert trial_node("part1", nodes) == trial_node("part1", reversed(nodes))
    assert len(chosen) > 4
