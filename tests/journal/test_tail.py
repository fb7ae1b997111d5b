"""Tail and outbox: gaps and truncation of the log, lost answers, states that never go back."""

from briarpond.journal import (
    FoldedState,
    LogEntry,
    Outbox,
    Page,
    Tail,
    TailStatus,
    encode_entry,
    split_snapshot,
)

from .test_fold import fold, patch


def _entries(count):
    return [LogEntry(n, encode_entry((patch(f"p{n}", n, 0.5),))) for n in range(count)]


def test_log_without_its_beginning_and_without_snapshot_is_truncated():
    """A node must not fold the rest of a log as if it were the whole log."""
    tail = Tail()
    tail.on_page(Page(5, 10, tuple(_entries(10)[5:])))
    assert tail.status is TailStatus.TRUNCATED
    assert tail.state == FoldedState()
    assert not tail.has_state


def test_truncated_tail_recovers_from_a_snapshot_on_the_log():
    entries = _entries(10)
    tail, source = Tail(), Tail()
    tail.on_page(Page(5, 10, tuple(entries[5:])))
    source.on_page(Page(0, 10, tuple(entries)))
    parts = split_snapshot(source.state, "s")
    snapshot_entries = tuple(
        LogEntry(10 + n, encode_entry((part,))) for n, part in enumerate(parts)
    )
    tail.on_page(Page(5, 10 + len(snapshot_entries), snapshot_entries))
    assert tail.status is TailStatus.FOLLOWING
    assert tail.state.config == source.state.config


def test_old_state_stays_in_use_after_a_gap_without_snapshot():
    """A node that cannot reload must go on with its last state, not with an empty one."""
    entries = _entries(10)
    tail = Tail()
    tail.on_page(Page(0, 3, tuple(entries[:3])))
    tail.on_page(Page(6, 8, tuple(entries[6:8])))
    assert tail.state.config.version == 3
    assert tail.has_state
    assert tail.status is TailStatus.TRUNCATED


def test_older_pages_and_snapshots_do_not_change_the_state():
    """Pages and snapshots from a peer that lags behind must not undo what was folded."""
    entries = _entries(5)
    tail, lagging = Tail(), Tail()
    lagging.on_page(Page(0, 2, tuple(entries[:2])))
    tail.on_page(Page(0, 5, tuple(entries)))
    state = tail.state
    tail.on_page(Page(0, 2, tuple(entries[:2])))
    assert not tail.install_snapshot(lagging.state)
    assert tail.state is state


def test_malformed_entry_is_skipped():
    """Nodes that stopped or raised at a malformed entry would no longer follow the log."""
    for text in ("", "{}", '{"records":[{"type":"later","id":"x"}]}', "[" * 2000):
        tail = Tail()
        tail.on_page(Page(0, 2, (LogEntry(0, text), _well_formed_entry())))
        assert tail.malformed_entries == 1
        assert tail.state.config.version == 1


def _well_formed_entry():
    return LogEntry(1, encode_entry((patch("a", 0, 0.5),)))


def test_relayed_page_begins_at_the_offset_and_stays_within_the_limit():
    tail = Tail()
    tail.on_page(Page(0, 50, tuple(_entries(50))))
    page = tail.page_for_peer(10, 1000)
    assert page.entries[0].offset == 10
    assert sum(len(entry.value) for entry in page.entries) <= 1000
    assert tail.page_for_peer(50, 1000).entries == ()


def test_append_of_unknown_outcome_is_repeated_after_a_delay_until_a_verdict():
    """A record whose append lost its answer must be neither lost nor repeated at once."""
    outbox, results = Outbox(), []
    record = patch("a", 0, 0.5)
    outbox.submit(record, 0.0, 10.0, results.append)
    first = outbox.next_append(0.0)
    outbox.on_unknown_outcome(0.1)
    assert outbox.next_append(0.2) is None
    assert outbox.next_append(2.0) == first
    outbox.on_appended()
    outbox.settle(fold(FoldedState(), record), 2.1)
    assert results[0].verdict.accepted
    assert outbox.next_append(9.0) is None


def test_outcome_at_the_deadline_states_whether_the_record_may_be_on_the_log():
    """`appended` may be false only for a record that certainly did not reach the log."""
    outbox, results = Outbox(), []
    outbox.submit(patch("not-sent", 0, 0.5), 0.0, 1.0, results.append)
    outbox.settle(FoldedState(), 2.0)
    outbox.submit(patch("refused", 0, 0.5), 2.0, 1.0, results.append)
    outbox.next_append(2.0)
    outbox.on_refused(2.1)
    outbox.settle(FoldedState(), 4.0)
    outbox.submit(patch("unknown", 0, 0.5), 4.0, 1.0, results.append)
    outbox.next_append(4.0)
    outbox.settle(FoldedState(), 6.0)
    assert [(result.record.id, result.appended) for result in results] == [
        ("not-sent", False),
        ("refused", False),
        ("unknown", True),
    ]
