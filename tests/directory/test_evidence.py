"""How evidence about parts that end servers spreads, and what nodes know that missed it."""

import pytest

from briarpond.directory import Member, Notice, decode_datagram, encode_datagram
from briarpond.directory._codec_evidence import evidence_to_wire
from briarpond.net import Address
from briarpond.quarantine import CrashKey, CrashReport, Evidence, QuarantineStatus, Survival

from .world import World

SETTLE_S = 4.0
# Server ends may go on for this long after the fifth; evidence must spread well within it.
SPREAD_S = 1.5
# Time in which a verdict, which is sent as a notice, is in force at all nodes.
NOTICE_S = 0.3

OWN = Member("n1", 1, 0, Address("10.0.0.1", 80), "d1", True, False)


def settled_world(size, data_centres=3):
    world = World(size, data_centres)
    world.run(SETTLE_S)
    return world


def refusing(world, part="bad"):
    return [node for node in world.running() if node.refuses(part)]


# Guards against a part that ends servers unnoticed because no node sees two of its requests.
@pytest.mark.parametrize("size", [6, 9, 89])
def test_crashes_seen_at_different_nodes_are_put_together(size):
    world = settled_world(size)
    world.nodes[1].see_crash("s1", "f bad r1")
    world.run(SPREAD_S)
    world.nodes[4].see_crash("s2", "f bad r2")
    world.run(NOTICE_S)
    assert len(refusing(world)) >= 0.9 * size
    world.run(SPREAD_S)
    assert len(refusing(world)) == size


def test_crashes_at_the_same_time_at_different_nodes_are_put_together():
    world = settled_world(9)
    world.nodes[1].see_crash("s1", "f bad r1")
    world.run(0.2)
    world.nodes[4].see_crash("s2", "f bad r2")
    world.run(SPREAD_S)
    assert len(refusing(world)) == 9


# Guards against a verdict that comes late because each node still waits for the others' crashes.
def test_crashes_that_are_not_enough_yet_are_told_at_once():
    world = settled_world(9)
    world.group_count = 4
    world.nodes[0].see_crash("s0", "f bad r0")
    world.run(SPREAD_S)
    world.nodes[4].see_crash("s1", "f bad r1")
    world.run(0.05)
    informed = [node for node in world.nodes if node.quarantine._crashes.count_of("bad") == 2]
    assert len(informed) >= 8 and not refusing(world)
    world.run(NOTICE_S)
    world.nodes[7].see_crash("s2", "f bad r2")
    world.run(NOTICE_S)
    assert len(refusing(world)) == 9


def test_node_that_starts_later_or_was_cut_off_learns_of_the_quarantine():
    world = settled_world(9)
    late, cut_off = world.nodes[7], world.nodes[8]
    late.kill()
    world.is_cut = lambda sender, receiver: cut_off in (sender, receiver)
    for server in ("s1", "s2"):
        world.nodes[1].see_crash(server, f"f bad r-{server}")
        world.run(SPREAD_S)
    assert not cut_off.refuses("bad")
    world.run(8.0)
    late.start()
    world.is_cut = lambda sender, receiver: False
    world.run(5.0)
    assert late.refuses("bad") and cut_off.refuses("bad")


def test_loss_of_the_planner_and_of_relays_does_not_lose_the_evidence():
    world = settled_world(9)
    world.nodes[1].see_crash("s1", "f bad r1")
    world.run(SPREAD_S)
    for node in (world.planner, world.nodes[3], world.nodes[6]):
        node.kill()
    world.nodes[5].see_crash("s2", "f bad r2")
    world.run(SPREAD_S)
    assert len(refusing(world)) == 6


def test_released_part_is_released_everywhere():
    world = settled_world(9)
    for server in ("s1", "s2"):
        world.nodes[1].see_crash(server, f"f bad r-{server}")
        world.run(SPREAD_S)
    assert len(refusing(world)) == 9
    world.nodes[2].quarantine.lift("bad", world.now)
    world.run(SPREAD_S)
    assert not refusing(world)
    world.run(10.0)
    assert not refusing(world)


def test_evidence_survives_the_codec():
    evidence = Evidence(
        (CrashReport(CrashKey("s1", 7), 0.25, (("f", "bad", "r1"), ("g", "r2"))),),
        (Survival("f", 0.5),),
        (QuarantineStatus("bad", 2, 1.5),),
    )
    data = encode_datagram(Notice(OWN, evidence=evidence))
    assert decode_datagram(data).ok.evidence == evidence


def test_datagram_with_impossible_evidence_is_rejected():
    for evidence in (
        Evidence(quarantines=(QuarantineStatus("bad", -1, 1.0),)),
        Evidence(survivals=(Survival("bad", -1.0),)),
        Evidence(crashes=(CrashReport(CrashKey("s1", 1), -1.0, ()),)),
    ):
        assert decode_datagram(encode_datagram(Notice(OWN, evidence=evidence))).is_error()


def test_no_evidence_takes_no_bytes():
    assert evidence_to_wire(None) is None
    world = settled_world(6)
    assert world.nodes[0].quarantine.evidence(world.now) is None
