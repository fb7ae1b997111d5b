"""When a node counts as cut off from all servers, and what becomes of the losses it has seen.

The failure guarded against: a planner that reached no server declared 49 of them lost within
milliseconds, and the groups of the whole system were closed.
"""

import random

import pytest

from briarpond.net import Address
from briarpond.reachability import CheckTarget, LinkState, Reachability, Verdict, choose_targets
from briarpond.reachability._reachability import MAX_PAUSE_S, MIN_PAUSE_S
from briarpond.reachability._return import BACK_AFTER_S
from briarpond.reachability._round import FEW_SERVERS_S

STEP_S = 0.02


def servers(count, data_centres="abc"):
    return tuple(
        CheckTarget(f"s{n}", Address("10.0.0.1", n), data_centres[n % len(data_centres)])
        for n in range(count)
    )


class Links:
    """Plays the checks of a node: `delay_s` tells when a check ends, `answers` how."""

    def __init__(self, pool):
        self.pool = pool
        self.now = 100.0
        self.answers = lambda target: True
        self.delay_s = lambda target: 0.01
        self.checked = []
        self.reachability = Reachability(random.Random(1))
        self.reachability.is_wired = True
        self._open = []

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            for due in sorted(each for each in self._open if each[0] <= self.now + 1e-9):
                self._open.remove(due)
                _, _, check, answered = due
                self.reachability.record_check(check, answered, self.now)
            for check in self.reachability.next_checks(self.pool, self.now):
                self.checked.append(check.target.server)
                answered = self.answers(check.target)
                delay_s = self.delay_s(check.target) if answered else self.failure_s
                row = (self.now + delay_s, len(self.checked), check, answered)
                self._open.append(row)
            self.now += STEP_S

    failure_s = 0.25

    def cut(self, failure_s):
        self.answers = lambda target: False
        self.failure_s = failure_s

    def fail(self, *names):
        for name in names:
            self.reachability.note_failure(name, self.now)

    @property
    def is_cut_off(self):
        return self.reachability.is_cut_off(self.now)


@pytest.mark.parametrize(("count", "checks"), [(3, 3), (4, 3), (63, 5), (760, 5)])
@pytest.mark.parametrize(("failure_s", "within_s"), [(0.25, 0.5), (0.0, 0.1)])
def test_node_whose_checks_all_fail_is_cut_off_within_half_a_second(
    count, checks, failure_s, within_s
):
    links = Links(servers(count))
    links.cut(failure_s)
    links.fail("s0")
    links.run(within_s)
    assert links.is_cut_off
    assert links.reachability.checked == links.reachability.failures == checks


def test_one_server_that_crashes_costs_two_checks_and_cuts_nothing_off():
    links = Links(servers(63))
    links.answers = lambda target: target.server != "s0"
    links.fail("s0")
    lost_at = links.now
    assert links.reachability.verdict(lost_at) is Verdict.HOLD
    links.run(1.0)
    assert not links.is_cut_off and len(links.checked) == 2
    assert links.reachability.verdict(lost_at) is Verdict.BELIEVE


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("dead", ["a", "ab"])
def test_loss_of_whole_data_centres_of_servers_is_no_cut(dead, seed):
    links = Links(servers(60))
    links.reachability._rng.seed(seed)
    links.answers = lambda target: target.data_centre not in dead
    for n in range(0, 60, 3):
        links.fail(f"s{n}")
        links.run(0.1)
        assert not links.is_cut_off


def test_slow_servers_are_no_cut():
    links = Links(servers(9))
    links.delay_s = lambda target: 0.2
    links.fail("s0")
    links.run(2.0)
    assert not links.is_cut_off


@pytest.mark.parametrize("count", [1, 2])
def test_few_servers_that_are_silent_for_a_second_are_no_cut(count):
    """A sound server may fall silent for a second or so and go on."""
    links = Links(servers(count))
    links.cut(0.25)
    links.fail("s0")
    links.run(1.2)
    assert not links.is_cut_off
    links.answers = lambda target: True
    links.run(0.5)
    assert links.reachability.state() is LinkState.REACHING


@pytest.mark.parametrize("count", [1, 2])
def test_few_servers_that_stay_silent_are_a_cut_in_the_end(count):
    links = Links(servers(count))
    links.cut(0.0)
    links.fail("s0")
    links.run(FEW_SERVERS_S + 0.3)
    assert links.is_cut_off


def test_node_is_back_half_a_second_after_the_cut_has_ended_and_not_at_the_first_answer():
    links = Links(servers(63))
    links.cut(0.25)
    links.fail("s0")
    links.run(2.0)
    links.answers = lambda target: True
    links.run(0.2)
    assert links.is_cut_off
    links.run(BACK_AFTER_S + 0.2)
    assert not links.is_cut_off


def test_node_does_not_come_back_while_most_checks_fail():
    links = Links(servers(63))
    links.cut(0.0)
    links.fail("s0")
    links.run(1.0)
    links.answers = lambda target: int(target.server[1:]) % 4 == 0
    links.run(10.0)
    assert links.is_cut_off


def test_checks_of_a_cut_node_are_few():
    links = Links(servers(63))
    links.cut(0.25)
    links.fail("s0")
    links.run(1.0)
    links.checked.clear()
    links.run(10.0)
    assert len(links.checked) <= 105


def test_node_without_failures_checks_nothing():
    links = Links(servers(63))
    links.run(60.0)
    assert links.checked == []


def test_failures_that_go_on_lead_to_two_rounds_a_second():
    links = Links(servers(63))
    for _ in range(100):
        links.fail("s0")
        links.run(0.1)
    assert len(links.checked) <= 2 * (10 / MAX_PAUSE_S + 4)


def test_urgent_failure_does_not_wait_for_the_pause():
    links = Links(servers(63))
    links.fail("s0")
    links.run(MIN_PAUSE_S / 2)
    assert len(links.checked) == 2
    links.reachability.note_failure("s1", links.now, is_urgent=True)
    links.run(STEP_S)
    assert len(links.checked) == 4


def test_losses_before_and_during_a_cut_are_dropped():
    links = Links(servers(63))
    links.cut(0.25)
    links.fail("s0")
    before = links.now
    links.run(0.3)
    assert links.reachability.verdict(before) is Verdict.HOLD
    links.run(0.3)
    assert links.reachability.verdict(before) is Verdict.DROP
    assert links.reachability.verdict(links.now) is Verdict.DROP
    links.answers = lambda target: True
    links.run(1.0)
    assert not links.is_cut_off
    assert links.reachability.verdict(before) is Verdict.DROP
    links.fail("s0")
    assert links.reachability.verdict(links.now) is Verdict.HOLD


def test_connection_of_a_request_ends_a_doubt_without_checks():
    links = Links(servers(63))
    links.fail("s0")
    links.reachability.note_connected(links.now + 0.001, links.now + 0.01)
    links.run(1.0)
    assert links.checked == []


def test_connection_from_before_the_failure_shows_nothing():
    """Channels may live on while new ones are refused."""
    links = Links(servers(63))
    links.cut(0.0)
    links.fail("s0")
    links.reachability.note_connected(links.now - 0.001, links.now)
    links.run(0.3)
    assert links.is_cut_off


def test_checks_that_failed_while_the_process_was_not_running_show_nothing():
    links = Links(servers(63))
    links.cut(3.0)
    links.fail("s0")
    links.run(0.2)
    links.answers = lambda target: True
    links.run(4.0)
    assert not links.is_cut_off
    assert links.reachability.state() is LinkState.REACHING


def test_doubt_ends_if_there_is_nothing_to_check():
    links = Links(())
    links.fail("s0")
    links.run(0.1)
    assert links.reachability.state() is LinkState.REACHING
    assert links.reachability.verdict(100.0) is Verdict.BELIEVE


def test_nothing_is_held_where_no_checks_are_made():
    reachability = Reachability()
    reachability.note_failure("s0", 100.0)
    assert reachability.verdict(100.0) is Verdict.BELIEVE
    assert reachability.state() is LinkState.REACHING


def test_sample_has_servers_of_each_data_centre():
    pool = servers(60)
    for seed in range(20):
        chosen = choose_targets(pool, 3, {"s1"}, random.Random(seed))
        assert {target.data_centre for target in chosen} == {"a", "b", "c"}
        assert "s1" not in {target.server for target in chosen}


# Guards against memory for each server that has ever failed, and against too few to check.
def test_servers_that_failed_before_the_last_answer_are_forgotten():
    links = Links(servers(9))
    for n in range(9):
        links.fail(f"s{n}")
        links.reachability.note_connected(links.now + 0.001, links.now + 0.01)
        links.run(1.0)
    links.fail("s0")
    assert not links.reachability.has_other_failure("s0", 0.0)
    links.cut(0.0)
    links.run(0.2)
    assert links.is_cut_off and links.reachability.checked == 5


# Guards against a cut that is found from checks of an earlier doubt.
def test_round_ends_with_its_doubt():
    links = Links(servers(63))
    links.cut(0.05)
    links.fail("s0")
    links.now += 0.01
    connected_from = links.now
    links.now += 0.01
    links.run(0.04)
    links.reachability.note_connected(connected_from, links.now)
    links.run(1.0)
    assert links.reachability.state() is LinkState.REACHING
    links.fail("s1")
    links.run(1.0)
    assert links.is_cut_off and links.reachability.checked == 5
    assert links.reachability.elapsed_s < 1.0


def cut_links(pool, failure_s, seed=1):
    links = Links(pool)
    links.reachability._rng.seed(seed)
    links.cut(failure_s)
    links.fail("s0")
    links.run(2.0)
    assert links.is_cut_off
    return links


# Guards against a node that stays cut off for as long as the servers of a data centre are dead.
@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(
    ("data_centres", "dead", "within_s"),
    [("ab", "b", 1.5), ("abc", "b", 2.0), ("abc", "bc", 3.0), ("abcd", "bcd", 4.0)],
)
@pytest.mark.parametrize("failure_s", [0.0, 0.25])
def test_node_is_back_though_other_data_centres_stay_dead(
    failure_s, data_centres, dead, within_s, seed
):
    links = cut_links(servers(12, data_centres), failure_s, seed)
    links.answers = lambda target: target.data_centre not in dead
    links.run(within_s)
    assert not links.is_cut_off


# Guards against a return by chance, when some checks get through a cut that loses packets.
@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("failure_s", [0.0, 0.25])
def test_data_centre_that_answers_by_chance_brings_no_node_back(failure_s, seed):
    links = cut_links(servers(12, "ab"), failure_s, seed)
    chance = random.Random(seed)
    links.answers = lambda target: target.data_centre == "a" and chance.random() < 0.3
    links.run(10.0)
    assert links.is_cut_off


# Guards against a return after a few answers, before it is known that the others are dead.
def test_node_is_not_back_at_once_where_only_one_data_centre_answers():
    links = cut_links(servers(12, "ab"), 0.0)
    links.answers = lambda target: target.data_centre == "a"
    links.run(BACK_AFTER_S + 0.2)
    assert links.is_cut_off


def swallow_checks(links):
    """Begin checks, and let them fail only after a pause of the process."""
    checks = links.reachability.next_checks(links.pool, links.now)
    links.now += 1.0
    for check in checks:
        links.reachability.record_check(check, False, links.now)
    return checks


# Guards against a doubt without end, and losses held for ever, after pauses of the process.
@pytest.mark.parametrize("pauses", [1, 3, 10])
@pytest.mark.parametrize("count", [1, 2, 3, 5, 63])
def test_doubt_ends_after_pauses_within_a_round(count, pauses):
    links = Links(servers(count))
    links.fail("x")
    lost_at = links.now
    assert all(swallow_checks(links) for _ in range(pauses))
    links.run(1.0)
    assert links.reachability.state() is LinkState.REACHING
    assert links.reachability.verdict(lost_at) is Verdict.BELIEVE


# Guards against a cut that is found though only two of four servers were really asked.
def test_servers_whose_checks_a_pause_swallowed_are_checked_again_before_a_cut():
    links = Links(servers(4))
    links.fail("x")
    swallowed = {check.target.server for check in swallow_checks(links)}
    links.checked.clear()
    links.answers = lambda target: target.server in swallowed
    links.run(0.5)
    assert swallowed & set(links.checked)
    assert not links.reachability.was_cut_off_since(0.0)
    assert links.reachability.state() is LinkState.REACHING


# Guards against a cut that is missed after a pause.
def test_cut_is_found_from_all_servers_after_a_pause():
    links = Links(servers(4))
    links.cut(0.25)
    links.fail("x")
    swallow_checks(links)
    links.run(0.8)
    assert links.is_cut_off
    assert set(links.checked) == {"s0", "s1", "s2", "s3"}
    assert links.reachability.checked == links.reachability.failures == 4


# Guards against a doubt without end, whatever the reason for which a round can begin no check.
def test_round_that_can_begin_no_check_is_followed_by_a_new_one():
    links = Links(servers(5))
    links.fail("x")
    swallow_checks(links)
    links.reachability._round._tried |= {target.server for target in links.pool}
    links.run(0.5)
    assert links.checked
    assert links.reachability.state() is LinkState.REACHING
