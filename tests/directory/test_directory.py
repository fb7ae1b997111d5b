"""Codec of heartbeats, directory of nodes, and candidates for the planner's lease."""

import random

import msgspec

from briarpond.directory import (
    ConfigConfirmation,
    GroupTarget,
    Heartbeat,
    HeartbeatTable,
    ModelDemand,
    PlainServerTarget,
    Plan,
    RoutingTargets,
    ServerInFlight,
    decode_datagram,
    decode_heartbeat,
    encode_confirmation,
    encode_heartbeat,
)
from briarpond.net import Address


def heartbeat(node, data_centre="a", ready=True, leaving=False):
    return Heartbeat(node, Address("10.0.0.1", 80), data_centre, ready, leaving)


def test_heartbeat_round_trip():
    sent = Heartbeat(
        "n1",
        Address("10.0.0.1", 80),
        "a",
        True,
        False,
        (ServerInFlight("i", 3, 400),),
        (ModelDemand("m", 1.5),),
        ("i",),
        Plan(
            3,
            9,
            True,
            RoutingTargets(
                (GroupTarget("g", 3000001, "m", "i", Address("10.0.0.2", 81)),),
                (PlainServerTarget("p", "desk", Address("10.0.0.3", 82), "a", 6),),
            ),
        ),
        True,
    )
    assert decode_heartbeat(encode_heartbeat(sent)).ok == sent
    repeated = msgspec.structs.replace(sent, plan=Plan(3, 9, False, None))
    assert decode_heartbeat(encode_heartbeat(repeated)).ok == repeated


def test_confirmation_round_trip_and_unknown_tags():
    confirmation = ConfigConfirmation(123456, 7, 40)
    assert decode_datagram(encode_confirmation(confirmation)).ok == confirmation
    assert decode_datagram(encode_heartbeat(heartbeat("n1"))).ok.node == "n1"
    for data in (b"", b"?", b"E", b"X" + encode_confirmation(confirmation)):
        assert decode_datagram(data).is_error()


def test_truncated_heartbeats_are_errors():
    data = encode_heartbeat(heartbeat("n1"))
    for end in range(len(data) - 1):
        assert decode_heartbeat(data[:end]).is_error()


def test_addresses_leave_out_silent_leaving_and_unready_nodes():
    table = HeartbeatTable("own")
    table.record(heartbeat("far", "b"), 10.0)
    table.record(heartbeat("near", "a"), 10.0)
    table.record(heartbeat("silent"), 8.0)
    table.record(heartbeat("leaving", leaving=True), 10.0)
    table.record(heartbeat("cold", ready=False), 10.0)
    own = heartbeat("own", ready=False)
    assert len(table.addresses(own, "a", random.Random(1), 10.5)) == 2
    assert table.count_nodes(10.5) == 5


def test_only_max_candidates_nodes_apply_for_the_lease():
    tables = {name: HeartbeatTable(name) for name in "abcdefgh"}
    for table in tables.values():
        for name in tables:
            table.record(heartbeat(name), 10.0)
    assert [name for name, table in tables.items() if table.should_apply(3, 10.1)] == [
        "a",
        "b",
        "c",
    ]


def test_next_node_applies_when_a_candidate_is_lost():
    table = HeartbeatTable("d")
    for name in "abc":
        table.record(msgspec.structs.replace(heartbeat(name), candidate=name != "b"), 10.0)
    assert not table.should_apply(3, 10.1)
    table = HeartbeatTable("d")
    for name in "ac":
        table.record(msgspec.structs.replace(heartbeat(name), candidate=True), 10.0)
    assert table.should_apply(3, 10.1)


def test_store_counts_as_unreachable_only_if_no_live_node_is_a_candidate():
    """Guards against two planners at a time.

    A planner whose lease had expired went on while another node held the lease.
    """
    table = HeartbeatTable("own")
    for name in "abcd":
        table.record(heartbeat(name), 10.0)
    assert table.no_node_reaches_store(10.5)
    table.record(msgspec.structs.replace(heartbeat("b"), candidate=True), 10.5)
    assert not table.no_node_reaches_store(10.6)


def test_suspended_or_isolated_node_does_not_conclude_that_store_is_unreachable():
    table = HeartbeatTable("own")
    for name in "abcd":
        table.record(heartbeat(name), 10.0)
    assert not table.no_node_reaches_store(14.0)
    table.record(heartbeat("a"), 14.0)
    assert not table.no_node_reaches_store(14.1)
    table.record(heartbeat("b"), 14.0)
    assert table.no_node_reaches_store(14.1)
