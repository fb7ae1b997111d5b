"""Codec of the datagrams, table of members, versions of the plan, and sums of loads."""

import random

import msgspec
import pytest

from briarpond.directory import (
    LOAD_LIFETIME_S,
    MAX_STORE_ERA,
    Answer,
    ConfigRecord,
    ConfigStatus,
    GroupTarget,
    Load,
    Member,
    MemberTable,
    ModelDemand,
    Notice,
    PeerSync,
    PlainServerTarget,
    PlanDelta,
    PlanLog,
    PlanStatus,
    PlanVersion,
    Pull,
    RoutingTargets,
    ServerInFlight,
    StorePosition,
    SyncCallbacks,
    decode_config_record,
    decode_datagram,
    encode_config_record,
    encode_datagram,
)
from briarpond.directory._loads import subtract_load, sum_loads
from briarpond.net import Address

GROUP = GroupTarget("g", 3000001, "m", "i", Address("10.0.0.2", 81), "a", service="pool", size=4)
SERVER = PlainServerTarget("p", "desk", Address("10.0.0.3", 82), "a", 6)
LOAD = Load((ServerInFlight("i", 3, 400),), (ModelDemand("m", 1.5, "pool"),))


def member(node, data_centre="a", ready=True, leaving=False, **fields):
    return Member(node, 5, 1, Address(f"10.0.0.{node}", 80), data_centre, ready, leaving, **fields)


DELTA = PlanDelta(PlanVersion(3, 9), 7, (GROUP,), (SERVER,), ("group/x",))
COLD_DELTA = msgspec.structs.replace(
    DELTA,
    groups=(msgspec.structs.replace(GROUP, cold=True), GROUP),
    servers=(msgspec.structs.replace(SERVER, cold=True), SERVER),
)
MESSAGES = [
    Pull(member("1"), 123, 5, 9, PlanVersion(3, 8), 4, LOAD),
    Pull(member("1", cut_off=True), 123, 5, 9, PlanVersion(3, 8), 4, LOAD),
    Answer(
        member("1"),
        123,
        5,
        9,
        True,
        (member("2", gone=True),),
        {"a": 0.25},
        LOAD,
        PlanStatus(PlanVersion(3, 9), 0.5, float("inf"), "1"),
        DELTA,
        ConfigStatus(7, 1.25),
    ),
    Answer(member("1"), 123, 5, 9, False, (), {}, None, None, None, None),
    Notice(member("1"), plan=PlanStatus(PlanVersion(3, 9), 0.0, 0.5, "1"), delta=COLD_DELTA),
    Notice(member("1"), ("i",), 7, PlanStatus(PlanVersion(3, 9), 0.0, 0.5, "1"), DELTA, True),
    Pull(
        member("1"), 123, 5, 9, PlanVersion(3, 8), 4, LOAD, config_position=StorePosition(3, 2**40)
    ),
    Answer(
        member("1"),
        123,
        5,
        9,
        False,
        (),
        {},
        None,
        None,
        None,
        ConfigStatus(7, 1.25, StorePosition(3, 2**40)),
    ),
    Notice(member("1"), config_version=7, config_position=StorePosition(0, 0)),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_datagram_round_trip(message):
    assert decode_datagram(encode_datagram(message)).ok == message


@pytest.mark.parametrize("message", MESSAGES)
def test_truncated_datagrams_are_errors(message):
    data = encode_datagram(message)
    for end in range(len(data) - 1):
        assert decode_datagram(data[:end]).is_error()


def test_unknown_tags_are_errors():
    for data in (b"", b"?", b"E", b"X" + encode_datagram(MESSAGES[0])):
        assert decode_datagram(data).is_error()


def test_random_bytes_never_raise():
    rng = random.Random(5)
    data = encode_datagram(MESSAGES[1])
    for _ in range(3000):
        changed = bytearray(data)
        for _ in range(rng.randint(1, 4)):
            changed[rng.randrange(1, len(changed))] = rng.randrange(256)
        decode_datagram(bytes(changed))


def table_with(own, *members, at=10.0):
    table = MemberTable(own)
    for each in members:
        table.heard(each, at)
    return table


def test_addresses_leave_out_silent_leaving_and_unready_nodes():
    table = table_with(
        member("1", ready=False),
        member("2", "b"),
        member("3"),
        member("5", leaving=True),
        member("6", ready=False),
    )
    table.heard(member("4"), 8.0)
    assert len(table.addresses("a", random.Random(1), 10.5)) == 2
    assert table.count_nodes(10.5) == 5


def test_only_max_candidates_nodes_apply_for_the_lease():
    names = "123456789"
    tables = {
        name: table_with(member(name), *(member(each) for each in names if each != name))
        for name in names
    }
    applying = [name for name, table in tables.items() if table.should_apply(3, 10.1)]
    assert applying == ["1", "2", "3"]


def test_next_node_applies_when_a_candidate_is_lost():
    others = [member("1", candidate=True), member("2"), member("3", candidate=True)]
    assert not table_with(member("4"), *others).should_apply(3, 10.1)
    assert table_with(member("4"), others[0], others[2]).should_apply(3, 10.1)


# Guards against a planner that reaches no servers and declares all of them lost.
def test_nodes_that_reach_servers_apply_instead_of_those_that_are_cut_off():
    others = [member("1", candidate=True, cut_off=True), member("2", cut_off=True), member("5")]
    assert table_with(member("4"), *others).should_apply(1, 10.1)
    assert not table_with(member("0", cut_off=True), *others).should_apply(3, 10.1)


def test_nodes_apply_as_usual_if_all_are_cut_off():
    others = [member("1", cut_off=True), member("3", cut_off=True), member("5", leaving=True)]
    assert table_with(member("2", cut_off=True), *others).should_apply(2, 10.1)
    assert not table_with(member("4", cut_off=True), *others).should_apply(2, 10.1)


# Guards against a planner that leaves to nodes that do not reach the store.
def test_only_a_candidate_that_reaches_servers_and_stays_may_plan_instead():
    cut = member("1", candidate=True, cut_off=True)
    leaving = member("4", candidate=True, leaving=True)
    others = [cut, member("2"), member("3"), leaving]
    assert table_with(member("9", cut_off=True), *others).others_reach_servers(10.1)
    assert not table_with(member("9", cut_off=True), *others).other_may_plan(10.1)
    able = member("5", candidate=True)
    assert table_with(member("9", cut_off=True), *others, able).other_may_plan(10.1)


# Guards against a plan that ends because the store reaches only nodes that may not apply.
def test_node_that_is_cut_off_applies_if_no_live_node_is_a_candidate():
    others = [member("1"), member("2"), member("3", cut_off=True)]
    assert table_with(member("9", cut_off=True), *others[:2]).should_apply(3, 10.1)
    assert not table_with(member("9", cut_off=True), *others).should_apply(3, 10.1)
    candidate = member("4", candidate=True)
    assert not table_with(member("9", cut_off=True), *others[:2], candidate).should_apply(3, 10.1)


# Guards against cut candidates that keep the places of nodes that could take over from them.
def test_next_nodes_apply_though_all_candidates_are_cut_off():
    cut = [member(name, candidate=True, cut_off=True) for name in "123"]
    for name in "456":
        others = [member(each) for each in "456789" if each != name]
        assert table_with(member(name), *cut, *others).should_apply(3, 10.1)
    others = [member(each) for each in "45689"]
    assert not table_with(member("7"), *cut, *others).should_apply(3, 10.1)


def test_store_counts_as_unreachable_only_if_no_live_node_is_a_candidate():
    """Guards against two planners at a time.

    A planner whose lease had expired went on while another node held the lease.
    """
    table = table_with(member("9"), *(member(name) for name in "1234"))
    assert table.no_node_reaches_store(10.5)
    table.heard(msgspec.structs.replace(member("2"), revision=2, candidate=True), 10.5)
    assert not table.no_node_reaches_store(10.6)


def test_suspended_or_isolated_node_does_not_conclude_that_store_is_unreachable():
    table = table_with(member("9"), *(member(name) for name in "1234"))
    assert not table.no_node_reaches_store(14.0)
    table.heard(member("1"), 14.0)
    assert not table.no_node_reaches_store(14.1)
    table.heard(member("2"), 14.0)
    assert table.no_node_reaches_store(14.1)


def test_rows_that_are_not_cold_are_sent_as_before():
    """Nodes without the field read the datagrams of those that have it."""
    warm = encode_datagram(Notice(member("1"), delta=DELTA))
    cold = encode_datagram(Notice(member("1"), delta=COLD_DELTA))
    assert decode_datagram(warm).ok.delta.groups == (GROUP,) and GROUP.cold is False
    assert decode_datagram(cold).ok.delta.servers[0].cold is True
    one_row = msgspec.structs.replace(COLD_DELTA, groups=(GROUP,), servers=(SERVER,))
    assert encode_datagram(Notice(member("1"), delta=one_row)) == warm


def test_node_that_has_gone_counts_as_recently_live_for_a_while():
    """Guards against senders of a cold server that all change at once when a node restarts."""
    table = table_with(member("1"), member("2"), member("3", "b"))
    table.vouch("b", 10.0)
    table.merge(member("2", gone=True), 10.5)
    assert table.count_nodes(10.6) == 2
    assert table.recently_live(5.0, 10.6) == {"1", "2", "3"}
    assert table.recently_live(5.0, 15.4) == {"1", "2", "3"}
    assert table.recently_live(5.0, 15.6) == {"1", "3"}
    assert table.recently_live(5.0, 17.0) == {"1"}


def test_node_refutes_that_it_is_gone():
    table = MemberTable(member("1"))
    reported = msgspec.structs.replace(table.own, gone=True)
    table.merge(reported, 10.0)
    assert not table.own.gone
    assert (table.own.incarnation, table.own.revision) > (reported.incarnation, reported.revision)


def test_late_description_does_not_bring_a_node_back():
    """A description that was under way when its node was marked as gone changes nothing."""
    table = table_with(member("1"), member("2"))
    table.merge(member("2", gone=True), 10.1)
    table.merge(member("2"), 10.2)
    assert not table.is_live("2", 10.2)
    table.merge(msgspec.structs.replace(member("2"), incarnation=6), 10.3)
    table.vouch("a", 10.3)
    assert table.is_live("2", 10.3)


def test_changes_are_told_once_and_in_parts():
    table = table_with(member("1"), *(member(str(n)) for n in range(2, 9)))
    first, cursor, more = table.changes_since(0, 5)
    assert len(first) == 5 and more
    rest, cursor, more = table.changes_since(cursor, 5)
    assert {each.node for each in (*first, *rest)} == set("12345678") and not more
    assert table.changes_since(cursor, 5)[0] == []
    table.update_own(ready=False)
    assert [each.node for each in table.changes_since(cursor, 5)[0]] == ["1"]


def targets(*names):
    return RoutingTargets(
        tuple(GroupTarget(name, 1, "m", name, Address("10.0.0.9", 1)) for name in names), (SERVER,)
    )


def test_plan_log_brings_any_older_version_up_to_date():
    planner, follower = PlanLog(), PlanLog()
    versions = [("a", "b"), ("a", "c"), ("c",), ("c", "d", "b")]
    logs = [PlanLog()]
    for names in versions:
        assert planner.publish(4, targets(*names))
        follower.apply(planner.delta_since(follower.version))
        late = PlanLog()
        late.apply(planner.delta_since(PlanVersion()))
        logs.append(late)
    for log in (*logs, follower):
        log.apply(planner.delta_since(log.version) or DELTA)
        assert set(log.targets.groups) == set(planner.targets.groups)
        assert log.version == planner.version


def test_plan_delta_with_a_gap_is_not_applied():
    planner, follower = PlanLog(), PlanLog()
    planner.publish(4, targets("a"))
    follower.apply(planner.delta_since(PlanVersion()))
    planner.publish(4, targets("a", "b"))
    missed = planner.version
    planner.publish(4, targets("b"))
    assert not follower.apply(planner.delta_since(missed))
    assert follower.version == PlanVersion(4, 1)
    assert follower.apply(planner.delta_since(follower.version))
    assert {each.group for each in follower.targets.groups} == {"b"}


def test_plan_of_earlier_term_is_not_applied():
    old, new, follower = PlanLog(), PlanLog(), PlanLog()
    old.publish(4, targets("a"))
    new.publish(5, targets("b"))
    follower.apply(new.delta_since(PlanVersion()))
    assert not follower.apply(old.delta_since(PlanVersion()))


def test_publishing_the_same_rows_in_other_order_is_no_new_version():
    planner = PlanLog()
    assert planner.publish(4, targets("a", "b"))
    assert not planner.publish(4, targets("b", "a"))


def test_relayed_sum_without_own_part_is_the_load_of_the_others():
    other = Load((ServerInFlight("i", 2, 100), ServerInFlight("j", 1, 0)), ())
    assert sum_loads([LOAD, other]).servers[0] == ServerInFlight("i", 5, 500)
    assert set(subtract_load(sum_loads([LOAD, other]), LOAD).servers) == set(other.servers)


def test_unwritten_tokens_are_summed_relayed_and_sent():
    """Relays must not lose what nodes tell of their answers under way."""
    one = Load((ServerInFlight("i", 3, 400, 900),), ())
    other = Load((ServerInFlight("i", 2, 100, 50), ServerInFlight("j", 1, 0, 7)), ())
    total = sum_loads([one, other])
    assert total.servers == (ServerInFlight("i", 5, 500, 950), ServerInFlight("j", 1, 0, 7))
    assert set(subtract_load(total, one).servers) == set(other.servers)
    pull = Pull(member("1"), 123, 5, 9, PlanVersion(3, 8), 4, total)
    assert decode_datagram(encode_datagram(pull)).ok.load == total


def test_unwritten_tokens_of_a_sum_are_unknown_if_a_node_does_not_tell_its_own():
    """During an update, a part of the sum would make a busy group look idle."""
    one = Load((ServerInFlight("i", 3, 400, 900),), ())
    old = Load((ServerInFlight("i", 2, 100),), ())
    assert sum_loads([one, old]).servers == (ServerInFlight("i", 5, 500, None),)
    assert sum_loads([old, one]).servers == (ServerInFlight("i", 5, 500, None),)
    pull = Pull(member("1"), 123, 5, 9, PlanVersion(3, 8), 4, old)
    decoded = decode_datagram(encode_datagram(pull)).ok
    assert decoded.load.servers[0].unwritten_tokens is None


def make_sync(own, on_load=lambda source, load: None, is_first_start=False):
    nothing = SyncCallbacks(
        own_load=lambda now: Load(),
        plan_status=lambda now: None,
        config_status=lambda now: None,
        on_plan=lambda status, at: None,
        on_config=lambda status, at, host: None,
        on_config_version=lambda version, host: None,
        on_load=on_load,
        on_stalled=lambda servers: None,
        on_members=lambda appeared, gone: None,
    )
    return PeerSync(own, nothing, random.Random(1), 10.0, is_first_start)


def test_load_of_another_node_is_dropped_when_it_is_not_repeated():
    loads = {}
    sync = make_sync(member("1"), loads.__setitem__)
    sync.on_pull(Pull(member("2"), 1, 0, 0, PlanVersion(), 0, LOAD), 10.0)
    assert loads == {"node/2": LOAD}
    sync.housekeep(10.5)
    assert loads == {"node/2": LOAD}
    sync.housekeep(10.1 + LOAD_LIFETIME_S)
    assert loads == {"node/2": Load()}


def test_answer_to_an_earlier_pull_is_ignored():
    """A node that was suspended must not take old answers for present knowledge."""
    sync = make_sync(member("1"), lambda source, load: None)
    sync.add_contacts(["10.0.0.2"])
    outgoing, _ = sync.next_pull(10.0)
    answer = make_sync(member("2"), lambda source, load: None).on_pull(outgoing.message, 20.0)[0]
    sync.next_pull(10.3)
    sync.on_answer(answer.message, 10.31)
    assert not sync.is_connected(10.31)


def test_end_of_planning_is_known_until_the_node_plans_again():
    table = table_with(member("1"), member("2", planning=True))
    assert table.planning_ended_at("2") is None
    table.heard(msgspec.structs.replace(member("2"), revision=2), 11.0)
    assert table.planning_ended_at("2") == 11.0
    table.heard(msgspec.structs.replace(member("2"), revision=3, planning=True), 12.0)
    assert table.planning_ended_at("2") is None


@pytest.mark.parametrize(("is_first_start", "settled_at"), [(True, 13.0), (False, 11.0)])
def test_candidates_do_not_wait_until_the_last_of_many_nodes_has_restarted(
    is_first_start, settled_at
):
    """After a loss of power all nodes start again, and new ones appear for seconds.

    Who is to plan, and who is to read the instance list for all, must not wait for that: every
    request is refused until then.
    """
    sync = make_sync(member("1"), is_first_start=is_first_start)
    now = 10.0
    while now < settled_at - 0.05:
        now += 0.1
        sync.on_pull(Pull(member(f"{now:.1f}"), 1, 0, 0, PlanVersion(), 0, Load()), now)
        assert not sync.is_settled(now - 0.06)
    assert sync.is_settled(settled_at + 0.06)


def test_relay_does_not_pass_on_the_version_of_a_configuration_that_it_has_not_got():
    """The nodes of its data centre would ask it for that version in vain."""
    sync = make_sync(member("9"))
    sync.on_pull(Pull(member("1"), 1, 0, 0, PlanVersion(), 0, Load()), 10.0)
    sync.on_pull(Pull(member("8"), 1, 0, 0, PlanVersion(), 0, Load()), 10.0)
    sync.on_pull(Pull(member("7"), 1, 0, 0, PlanVersion(), 0, Load()), 10.0)
    for name in "123456":
        sync.on_pull(Pull(member(name), 1, 0, 0, PlanVersion(), 0, Load()), 10.0)
    assert sync.members.is_relay(10.0)
    assert sync.on_notice(Notice(member("x", "b"), config_version=12), 10.0) == []
    passed_on = sync.on_notice(Notice(member("1"), ("i",), 12), 10.0)
    assert passed_on and {each.message.config_version for each in passed_on} == {0}


def sync_with_position(own, status, heard):
    """Return an exchange whose node has a status, and that records what it hears of others."""
    sync = make_sync(own)
    sync._callbacks = msgspec.structs.replace(
        sync._callbacks,
        config_status=lambda now: status,
        on_config=lambda status, at, host: heard.append(status),
        on_config_version=lambda version, host: heard.append((version, host)),
        on_config_position=lambda position, host: heard.append((position, host)),
    )
    return sync


def test_position_goes_with_the_version_in_each_message():
    """Guards against an evacuation that does not spread, since it changes no version."""
    heard = []
    asking = sync_with_position(member("1"), ConfigStatus(7, 0.5, StorePosition(1, 20)), heard)
    answering_heard = []
    answering = sync_with_position(
        member("2"), ConfigStatus(8, 0.5, StorePosition(2, 3)), answering_heard
    )
    asking.add_contacts(["10.0.0.2"])
    pull, _ = asking.next_pull(10.0)
    (answer,) = answering.on_pull(pull.message, 20.0)
    assert answering_heard == [(7, "10.0.0.1"), (StorePosition(1, 20), "10.0.0.1")]
    asking.on_answer(answer.message, 10.01)
    assert heard == [
        (8, "10.0.0.2"),
        (StorePosition(2, 3), "10.0.0.2"),
        ConfigStatus(8, 0.5, StorePosition(2, 3)),
    ]
    notice, *_ = answering.announce(20.0)
    asking.on_notice(notice.message, 10.02)
    assert heard[3:] == [(8, "10.0.0.2"), (StorePosition(2, 3), "10.0.0.2")]


def test_message_without_a_position_is_judged_by_its_version_alone():
    """Guards against a node of an earlier release being taken for one that is far behind."""
    heard = []
    sync = sync_with_position(member("1"), ConfigStatus(7, 0.5, StorePosition(1, 20)), heard)
    sync.on_pull(Pull(member("2"), 1, 0, 0, PlanVersion(), 7, Load()), 10.0)
    assert heard == [(7, "10.0.0.2")]


# Guards against a node that refuses all answers of the store for good after one wrong message.
@pytest.mark.parametrize(
    ("era", "is_read"), [(MAX_STORE_ERA, True), (2**31 - 1, False), (-1, False)]
)
def test_era_that_no_store_can_tell_is_malformed(era, is_read):
    notice = Notice(member("1"), config_position=StorePosition(era, 5))
    assert decode_datagram(encode_datagram(notice)).is_ok() is is_read
    record = ConfigRecord(5, 0.5, b"{}", StorePosition(era, 5))
    assert decode_config_record(encode_config_record(record)).is_ok() is is_read


@pytest.mark.parametrize("cut_off", [True, False, None])
def test_node_tells_whether_it_is_cut_off_or_nothing(cut_off):
    notice = Notice(member("1", cut_off=cut_off))
    assert decode_datagram(encode_datagram(notice)).ok.sender.cut_off is cut_off
