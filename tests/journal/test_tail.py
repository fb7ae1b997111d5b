"""Tail and outbox: gaps, truncation, lost answers, never backwards."""

from briarpond.journal import (
    LogEntry,
    Outbox,
    Page,
    State,
    Tail,
    TailStatus,
    encode_entry,
    split_snapshot,
)

from .test_fold import fold, patch


def _entries(count):
    return [LogEntry(n, encode_entry((patch(f"p{n}", n, 0.5),))) for n in range(count)]


def test_log_that_begins_after_the_last_snapshot_is_loud():
    tail = Tail()
    tail.on_page(Page(5, 10, tuple(_entries(10)[5:])))
    assert tail.status is TailStatus.TRUNCATED
    assert tail.state == State()
    assert not tail.usable


def test_truncated_tail_follows_once_a_snapshot_comes():
    entries = _entries(10)
    tail, source = Tail(), Tail()
    tail.on_page(Page(5, 10, tuple(entries[5:])))
    source.on_page(Page(0, 10, tuple(entries)))
    parts = split_snapshot(source.state, "s")
    late = tuple(LogEntry(10 + n, encode_entry((part,))) for n, part in enumerate(parts))
    tail.on_page(Page(5, 10 + len(late), late))
    assert tail.status is TailStatus.FOLLOWING
    assert tail.state.config == source.state.config


def test_gap_reloads_and_keeps_the_old_state_meanwhile():
    entries = _entries(10)
    tail = Tail()
    tail.on_page(Page(0, 3, tuple(entries[:3])))
    tail.on_page(Page(6, 8, tuple(entries[6:8])))
    assert tail.state.config.version == 3
    assert tail.usable
    assert tail.status is TailStatus.TRUNCATED


def test_old_pages_and_snapshots_never_move_it_back():
    entries = _entries(5)
    tail, old = Tail(), Tail()
    old.on_page(Page(0, 2, tuple(entries[:2])))
    tail.on_page(Page(0, 5, tuple(entries)))
    state = tail.state
    tail.on_page(Page(0, 2, tuple(entries[:2])))
    assert not tail.adopt(old.state)
    assert tail.state is state


def test_malformed_entry_folds_to_nothing_on_every_node():
    for text in ("", "{}", '{"records":[{"type":"later","id":"x"}]}', "[" * 2000):
        tail = Tail()
        tail.on_page(Page(0, 2, (LogEntry(0, text), _second())))
        assert tail.malformed == 1
        assert tail.state.config.version == 1


def _second():
    return LogEntry(1, encode_entry((patch("a", 0, 0.5),)))


def test_relay_is_contiguous_and_bounded():
    tail = Tail()
    tail.on_page(Page(0, 50, tuple(_entries(50))))
    page = tail.relay_from(10, 1000)
    assert page.entries[0].offset == 10
    assert sum(len(entry.value) for entry in page.entries) <= 1000
    assert tail.relay_from(50, 1000).entries == ()


def test_lost_answer_is_looked_for_then_appended_again():
    outbox, told = Outbox(), []
    record = patch("a", 0, 0.5)
    outbox.submit(record, 0.0, 10.0, told.append)
    first = outbox.next_append(0.0)
    outbox.on_unsure(0.1)
    assert outbox.next_append(0.2) is None
    assert outbox.next_append(2.0) == first
    outbox.on_appended()
    outbox.settle(fold(State(), record), 2.1)
    assert told[0].verdict.accepted
    assert outbox.next_append(9.0) is None


def test_deadline_tells_whether_it_may_have_been_appended():
    outbox, told = Outbox(), []
    outbox.submit(patch("never", 0, 0.5), 0.0, 1.0, told.append)
    outbox.settle(State(), 2.0)
    outbox.submit(patch("refused", 0, 0.5), 2.0, 1.0, told.append)
    outbox.next_append(2.0)
    outbox.on_refused(2.1)
    outbox.settle(State(), 4.0)
    outbox.submit(patch("unsure", 0, 0.5), 4.0, 1.0, told.append)
    outbox.next_append(4.0)
    outbox.settle(State(), 6.0)
    assert [(each.record.id, each.appended) for each in told] == [
        ("never", False),
        ("refused", False),
        ("unsure", True),
    ]
