"""Repeats of all nodes together stay within the rule, in any window, as nodes come and go."""

import itertools
import random

import pytest

from .repeating_nodes import RepeatingNodes

NAMES = ["n1", "n2", "n3", "n4"]
# Before it, the nodes know each other and all is sound.
CALM_S = 20.0


@pytest.fixture
def system(tmp_path):
    """Nodes that have run for `CALM_S` seconds."""
    system = RepeatingNodes(tmp_path, NAMES, 1)
    system.clock.advance(CALM_S)
    return system


def fail(system, kind, seconds):
    """Let all sends fail for some seconds from now on."""
    now = system.clock.now()
    system.failures.append((now, now + seconds, kind))


@pytest.mark.parametrize("kind", ["lost", "full"])
def test_nodes_that_know_each_other_keep_the_rule_and_use_most_of_it(system, kind):
    fail(system, kind, 20.0)
    system.clock.advance(25.0)
    assert system.excess() <= 0
    bounds = system.limits
    assert len(system.repeated_at) > 0.6 * bounds.retry_slack


# Guards against repeats that are sent when their grants no longer count.
def test_repeats_of_held_streams_keep_the_rule(system):
    system.lose_streams(full_s=2.5)
    system.clock.advance(10.1)
    fail(system, "lost", 3.0)
    system.clock.advance(5.0)
    assert len(system.repeated_at) > system.limits.retry_slack
    assert system.excess() <= 0


# Guards against parts that grow while the nodes they were taken from spend their own.
@pytest.mark.parametrize("sides", ["n1 n2 n3 n4", "n1,n2 n3,n4"])
def test_nodes_that_do_not_see_each_other_keep_the_rule(system, sides):
    fail(system, "full", 12.0)
    system.clock.advance(1.5)
    system.views = {n: side.split(",") for side in sides.split() for n in side.split(",")}
    system.clock.advance(12.0)
    assert len(system.repeated_at) > 0.6 * system.limits.retry_slack
    assert system.excess() <= 0


# Guards against a part that is spent twice: by a process, and by the one that is started after it.
@pytest.mark.parametrize(
    ("killed", "kind"),
    list(itertools.product(("n1 n2 n3 n4", "n1,n2,n3,n4"), ("lost", "full"))),
)
def test_nodes_that_are_killed_and_started_again_keep_the_rule(system, killed, kind):
    fail(system, kind, 20.0)
    system.clock.advance(5.0)
    for names in killed.split():
        for name in names.split(","):
            system.kill(name)
        system.clock.advance(0.8)
        for name in names.split(","):
            system.start(name)
        system.clock.advance(0.7)
    system.clock.advance(12.0)
    assert len(system.repeated_at) > 0.6 * system.limits.retry_slack
    assert system.excess() <= 0


# Guards against a process that takes the whole fixed number, since it knows no other node yet.
def test_nodes_that_know_no_other_yet_keep_the_rule(system):
    fail(system, "full", 20.0)
    system.clock.advance(5.0)
    for name in NAMES:
        system.kill(name)
        system.views[name] = [name]
    for name in NAMES:
        system.start(name)
    system.clock.advance(2.5)
    system.views = {}
    system.clock.advance(12.0)
    assert len(system.repeated_at) > 0.6 * system.limits.retry_slack
    assert system.excess() <= 0


# Guards against ways to spend a part twice that come from several of the above together.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nodes_with_random_faults_keep_the_rule(tmp_path, seed):
    system = RepeatingNodes(tmp_path, NAMES, seed)
    rng = random.Random(seed)
    for _ in range(12):
        system.clock.advance(rng.uniform(0.5, 8.0))
        fail(system, rng.choice(["lost", "full"]), rng.uniform(1.0, 8.0))
        random_fault(system, rng)
    system.clock.advance(12.0)
    assert len(system.repeated_at) > system.limits.retry_slack
    assert system.excess() <= 0


def random_fault(system, rng):
    """Lose all streams, kill and start some nodes, or let them see others or none."""
    chosen = rng.sample(NAMES, rng.randint(1, len(NAMES)))
    match rng.choice(["held", "restart", "cut", "whole"]):
        case "held":
            system.lose_streams(full_s=rng.uniform(0.5, 3.0))
        case "restart":
            for name in chosen:
                system.kill(name)
            system.clock.advance(rng.uniform(0.1, 2.0))
            for name in chosen:
                system.start(name)
        case "cut":
            system.views = {name: rng.sample(NAMES, rng.randint(0, 3)) for name in chosen}
        case "whole":
            system.views = {}
