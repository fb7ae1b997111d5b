"""The fold: compare-and-set of patches and leases, groups, claims, snapshots."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from briarpond.journal import (
    FoldedState,
    GroupDissolve,
    GroupForm,
    GroupRetire,
    GroupSpec,
    KeyClaim,
    LeaseTake,
    LogEntry,
    Member,
    NodeJoin,
    NodeLeave,
    NodeStage,
    Page,
    PatchSubmit,
    Tail,
    TailStatus,
    VerdictCode,
    _fold,
    apply_record,
    decode_snapshot,
    encode_entry,
    encode_snapshot,
    split_snapshot,
)

SPEC = GroupSpec("briar-7b", "1")


def fold(state, *records):
    """Return the state after `records` at the positions that follow it."""
    for record in records:
        state = apply_record(state, record, state.position + 1)
    return state


def form(record_id, group, instances, seen=0, replaces=None):
    """Return a record that forms a group of `instances`, written after position `seen`."""
    members = tuple(Member(name, f"{name}#1", "10.0.0.1:1") for name in instances)
    return GroupForm(record_id, 0, "n1", group, "pool", "dc", "f", SPEC, members, seen, replaces)


def patch(record_id, base, weight):
    """Return a patch of the downtime weight against version `base`."""
    return PatchSubmit(record_id, "ada", base, {"policy": {"downtime_weight": weight}}, 0)


def verdict_code(state, record_id):
    """Return the code of the verdict on a record."""
    return state.verdicts[record_id].code


def test_second_patch_against_the_same_version_is_stale():
    state = fold(FoldedState(), patch("a", 0, 0.1), patch("b", 0, 0.9))
    assert verdict_code(state, "a") is VerdictCode.ACCEPTED
    assert verdict_code(state, "b") is VerdictCode.STALE
    assert state.config.version == 1
    assert state.config.document.policy.downtime_weight == 0.1


def test_second_record_with_the_same_id_is_ignored():
    """An append that is repeated after a lost answer must not take effect twice."""
    state = fold(FoldedState(), patch("a", 0, 0.1))
    again = fold(state, patch("a", 1, 0.9))
    assert again.config == state.config


def test_verdict_on_an_invalid_patch_names_every_problem():
    tree = {"deployments": {"x": {"group_size": 0}}, "policy": {"weight": 1}}
    state = fold(FoldedState(), PatchSubmit("a", "ada", 0, tree, 0))
    detail = state.verdicts["a"].detail
    assert verdict_code(state, "a") is VerdictCode.INVALID
    assert "deployments.x.group_size" in detail and "policy.weight" in detail
    assert state.config.version == 0


def test_group_with_a_member_of_another_group_is_refused():
    state = fold(FoldedState(), form("a", "g1", ["i1", "i2"]), form("b", "g2", ["i2", "i3"]))
    assert verdict_code(state, "b") is VerdictCode.TAKEN
    assert set(state.groups) == {"g1"}


def test_group_formed_from_an_outdated_state_is_stale():
    """A planner that was paused may write a record based on a state that has changed since."""
    state = fold(FoldedState(), form("a", "g1", ["i1"]))
    outdated_position = state.position
    generation = state.groups["g1"].generation
    state = fold(state, GroupDissolve("d", 0, "n1", "g1", generation, "x"))
    refused = fold(state, form("b", "g2", ["i1"], seen=outdated_position))
    assert verdict_code(refused, "b") is VerdictCode.STALE
    accepted = fold(state, form("c", "g3", ["i1"], seen=state.position))
    assert verdict_code(accepted, "c") is VerdictCode.ACCEPTED


def test_group_that_replaces_another_has_a_higher_generation_and_takes_over_members():
    state = fold(FoldedState(), form("a", "g1", ["i1", "i2"]))
    first = state.groups["g1"].generation
    state = fold(state, form("b", "g2", ["i1", "i3"], seen=state.position, replaces="g1"))
    assert state.groups["g2"].generation > first
    assert dict(state.member_of) == {"i1": "g2", "i3": "g2"}
    state = fold(state, GroupRetire("r", 0, "n1", "g2", first, "old generation"))
    assert verdict_code(state, "r") is VerdictCode.UNKNOWN_TARGET


def test_lease_is_taken_only_from_the_position_last_accepted():
    """Two nodes that take a lease at once must not both get it."""
    state = fold(FoldedState(), LeaseTake("a", "plan", "n1", "x", 0))
    taken_at = state.leases["plan"].position
    state = fold(state, LeaseTake("b", "plan", "n2", "y", 0))
    assert verdict_code(state, "b") is VerdictCode.TAKEN
    state = fold(state, LeaseTake("c", "plan", "n2", "y", taken_at))
    assert state.leases["plan"].holder == "n2"
    state = fold(state, LeaseTake("d", "plan", "n1", "x", taken_at))
    assert state.leases["plan"].holder == "n2"


def test_first_claim_of_a_key_wins_and_oldest_claims_are_dropped():
    state = fold(FoldedState(), PatchSubmit("p", "ada", 0, {"policy": {"claims_kept": 100}}, 0))
    state = fold(state, KeyClaim("a", "k", "lark", "n1", "x", "d"))
    state = fold(state, KeyClaim("b", "k", "lark", "n2", "y", "d"))
    assert state.claims["k"].node == "n1"
    for number in range(150):
        state = fold(state, KeyClaim(f"c{number}", f"k{number}", "lark", "n1", "x", "d"))
    assert len(state.claims) == len(state.claim_order) == 100
    assert "k" not in state.claims and "k149" in state.claims


def test_leave_of_another_incarnation_is_refused():
    """A record of a node's earlier run must not drain the run that replaced it."""
    join = NodeJoin("j", 0, "n1", "x", "dc", "r", "a", "b")
    state = fold(FoldedState(), join, NodeLeave("l", 0, "n1", "other", "n1"))
    assert state.nodes["n1"].stage is NodeStage.LIVE
    state = fold(state, NodeLeave("m", 0, "n1", "x", "n1"))
    assert state.nodes["n1"].stage is NodeStage.LEAVING


def test_dropped_instance_changes_count_as_stale(monkeypatch):
    """When changes of instances are dropped, an outdated record must still be refused."""
    monkeypatch.setattr(_fold, "MAX_INSTANCE_CHANGES", 4)
    state = FoldedState()
    for number in range(6):
        state = fold(state, form(f"f{number}", f"g{number}", [f"i{number}"], state.position))
        generation = state.groups[f"g{number}"].generation
        state = fold(state, GroupDissolve(f"d{number}", 0, "n1", f"g{number}", generation, ""))
    assert "i0" not in state.changed_at
    assert verdict_code(fold(state, form("x", "gx", ["i0"], seen=1)), "x") is VerdictCode.STALE
    assert (
        verdict_code(fold(state, form("y", "gy", ["i0"], state.position)), "y")
        is VerdictCode.ACCEPTED
    )


RECORDS = st.lists(
    st.one_of(
        st.builds(patch, st.uuids().map(str), st.integers(0, 4), st.floats(0, 1)),
        st.builds(
            form,
            st.uuids().map(str),
            st.sampled_from(["g1", "g2", "g3"]),
            st.lists(st.sampled_from(["i1", "i2", "i3", "i4"]), min_size=1, max_size=3),
            st.integers(0, 40_000),
            st.none() | st.sampled_from(["g1", "g2"]),
        ),
        st.builds(
            GroupDissolve,
            st.uuids().map(str),
            st.just(0),
            st.just("n1"),
            st.sampled_from(["g1", "g2", "g3"]),
            st.integers(1, 40).map(lambda offset: offset * 1024),
            st.just("x"),
        ),
        st.builds(
            KeyClaim,
            st.uuids().map(str),
            st.sampled_from(["k1", "k2"]),
            st.just("lark"),
            st.sampled_from(["n1", "n2"]),
            st.just("x"),
            st.just("d"),
        ),
    ),
    max_size=30,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(records=RECORDS, cut=st.integers(0, 30), oldest=st.integers(0, 30))
def test_invariants_hold_for_random_records_and_snapshots_restore_the_state(records, cut, oldest):
    """Checks the invariants after each record, then that a snapshot restores it.

    At all times an instance is in at most one group, the configuration version rises
    by at most one, and positions rise. The snapshot is taken after `cut` records; a
    reader whose log begins at entry `oldest` must reach the state of a full reader.
    """
    entries = [LogEntry(n, encode_entry((record,))) for n, record in enumerate(records)]
    full_reader = Tail()
    for entry in entries:
        before = full_reader.state
        full_reader.on_page(Page(0, entry.offset + 1, (entry,)))
        grouped = [m.instance for g in full_reader.state.groups.values() for m in g.members]
        assert len(grouped) == len(set(grouped)) == len(full_reader.state.member_of)
        assert full_reader.state.config.version - before.config.version in (0, 1)
        assert full_reader.state.position > before.position
    cut = min(cut, len(entries))
    prefix_reader = Tail()
    prefix_reader.on_page(Page(0, cut, tuple(entries[:cut])))
    assert decode_snapshot(encode_snapshot(prefix_reader.state)).ok == prefix_reader.state
    # The snapshot follows the records; the late reader gets the log from `oldest` on.
    parts = split_snapshot(prefix_reader.state, "s")
    next_offset = len(entries)
    log = [*entries, *(LogEntry(next_offset + n, encode_entry((p,))) for n, p in enumerate(parts))]
    oldest = min(oldest, cut)
    late_reader = Tail()
    late_reader.on_page(Page(oldest, len(log), tuple(log[oldest:])))
    if cut or oldest == 0:
        assert late_reader.status is TailStatus.FOLLOWING
        aligned = msgspec.structs.replace(late_reader.state, position=full_reader.state.position)
        assert aligned == full_reader.state
