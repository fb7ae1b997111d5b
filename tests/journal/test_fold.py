"""The fold: compare-and-set, groups, leases, claims, and equal states everywhere."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from briarpond.journal import (
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
    State,
    Tail,
    TailStatus,
    VerdictCode,
    _fold,
    apply,
    decode_snapshot,
    encode_entry,
    encode_snapshot,
    split_snapshot,
)

SPEC = GroupSpec("briar-7b", "1")


def fold(state, *records):
    """Fold records at the next positions."""
    for record in records:
        state = apply(state, record, state.position + 1)
    return state


def form(record_id, group, instances, seen=0, replaces=None):
    """Return a record that forms a group."""
    members = tuple(Member(name, f"{name}#1", "10.0.0.1:1") for name in instances)
    return GroupForm(record_id, 0, "n1", group, "pool", "dc", "f", SPEC, members, seen, replaces)


def patch(record_id, base, weight):
    """Return a patch record."""
    return PatchSubmit(record_id, "ada", base, {"policy": {"downtime_weight": weight}}, 0)


def code(state, record_id):
    """Return the verdict on a record."""
    return state.verdicts[record_id].code


def test_racing_patches_one_wins():
    state = fold(State(), patch("a", 0, 0.1), patch("b", 0, 0.9))
    assert code(state, "a") is VerdictCode.ACCEPTED
    assert code(state, "b") is VerdictCode.STALE
    assert state.config.version == 1
    assert state.config.document.policy.downtime_weight == 0.1


def test_second_copy_folds_to_nothing():
    state = fold(State(), patch("a", 0, 0.1))
    again = fold(state, patch("a", 1, 0.9))
    assert again.config == state.config


def test_bad_patch_names_every_problem():
    tree = {"deployments": {"x": {"group_size": 0}}, "policy": {"weight": 1}}
    state = fold(State(), PatchSubmit("a", "ada", 0, tree, 0))
    detail = state.verdicts["a"].detail
    assert code(state, "a") is VerdictCode.INVALID
    assert "deployments.x.group_size" in detail and "policy.weight" in detail
    assert state.config.version == 0


def test_no_instance_in_two_groups():
    state = fold(State(), form("a", "g1", ["i1", "i2"]), form("b", "g2", ["i2", "i3"]))
    assert code(state, "b") is VerdictCode.TAKEN
    assert set(state.groups) == {"g1"}


def test_writer_that_slept_loses():
    state = fold(State(), form("a", "g1", ["i1"]))
    slept = state.position
    generation = state.groups["g1"].generation
    state = fold(state, GroupDissolve("d", 0, "n1", "g1", generation, "x"))
    late = fold(state, form("b", "g2", ["i1"], seen=slept))
    assert code(late, "b") is VerdictCode.STALE
    fresh = fold(state, form("c", "g3", ["i1"], seen=state.position))
    assert code(fresh, "c") is VerdictCode.ACCEPTED


def test_generations_rise_and_repair_keeps_instances_single():
    state = fold(State(), form("a", "g1", ["i1", "i2"]))
    first = state.groups["g1"].generation
    state = fold(state, form("b", "g2", ["i1", "i3"], seen=state.position, replaces="g1"))
    assert state.groups["g2"].generation > first
    assert dict(state.member_of) == {"i1": "g2", "i3": "g2"}
    state = fold(state, GroupRetire("r", 0, "n1", "g2", first, "old generation"))
    assert code(state, "r") is VerdictCode.UNKNOWN_TARGET


def test_lease_is_compare_and_set():
    state = fold(State(), LeaseTake("a", "plan", "n1", "x", 0))
    held = state.leases["plan"].position
    state = fold(state, LeaseTake("b", "plan", "n2", "y", 0))
    assert code(state, "b") is VerdictCode.TAKEN
    state = fold(state, LeaseTake("c", "plan", "n2", "y", held))
    assert state.leases["plan"].holder == "n2"
    state = fold(state, LeaseTake("d", "plan", "n1", "x", held))
    assert state.leases["plan"].holder == "n2"


def test_first_claim_wins_and_claims_are_bounded():
    state = fold(State(), PatchSubmit("p", "ada", 0, {"policy": {"claims_kept": 100}}, 0))
    state = fold(state, KeyClaim("a", "k", "lark", "n1", "x", "d"))
    state = fold(state, KeyClaim("b", "k", "lark", "n2", "y", "d"))
    assert state.claims["k"].node == "n1"
    for number in range(150):
        state = fold(state, KeyClaim(f"c{number}", f"k{number}", "lark", "n1", "x", "d"))
    assert len(state.claims) == len(state.claim_order) == 100
    assert "k" not in state.claims and "k149" in state.claims


def test_node_leaves_only_as_itself():
    join = NodeJoin("j", 0, "n1", "x", "dc", "r", "a", "b")
    state = fold(State(), join, NodeLeave("l", 0, "n1", "other", "n1"))
    assert state.nodes["n1"].stage is NodeStage.LIVE
    state = fold(state, NodeLeave("m", 0, "n1", "x", "n1"))
    assert state.nodes["n1"].stage is NodeStage.LEAVING


def test_forgotten_changes_refuse_rather_than_accept(monkeypatch):
    monkeypatch.setattr(_fold, "INSTANCE_CHANGES_KEPT", 4)
    state = State()
    for number in range(6):
        state = fold(state, form(f"f{number}", f"g{number}", [f"i{number}"], state.position))
        generation = state.groups[f"g{number}"].generation
        state = fold(state, GroupDissolve(f"d{number}", 0, "n1", f"g{number}", generation, ""))
    assert "i0" not in state.changed_at
    assert code(fold(state, form("x", "gx", ["i0"], seen=1)), "x") is VerdictCode.STALE
    assert code(fold(state, form("y", "gy", ["i0"], state.position)), "y") is VerdictCode.ACCEPTED


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
def test_any_order_keeps_the_rules_and_snapshots_restore(records, cut, oldest):
    entries = [LogEntry(n, encode_entry((record,))) for n, record in enumerate(records)]
    whole = Tail()
    for entry in entries:
        before = whole.state
        whole.on_page(Page(0, entry.offset + 1, (entry,)))
        held = [m.instance for g in whole.state.groups.values() for m in g.members]
        assert len(held) == len(set(held)) == len(whole.state.member_of)
        assert whole.state.config.version - before.config.version in (0, 1)
        assert whole.state.position > before.position
    cut = min(cut, len(entries))
    part = Tail()
    part.on_page(Page(0, cut, tuple(entries[:cut])))
    assert decode_snapshot(encode_snapshot(part.state)).ok == part.state
    # A late reader: the snapshot stands at the end, the log begins later.
    parts = split_snapshot(part.state, "s")
    following = len(entries)
    log = [*entries, *(LogEntry(following + n, encode_entry((p,))) for n, p in enumerate(parts))]
    oldest = min(oldest, cut)
    late = Tail()
    late.on_page(Page(oldest, len(log), tuple(log[oldest:])))
    if cut or oldest == 0:
        assert late.status is TailStatus.FOLLOWING
        same = msgspec.structs.replace(late.state, position=whole.state.position)
        assert same == whole.state
