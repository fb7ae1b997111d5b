"""Choice by expected first-byte time: load, cached prefixes and slow instances."""

import random
from collections import Counter

from briarpond.requests import Target, TargetKind
from briarpond.routing import (
    Candidate,
    OwnLoadTracker,
    PrefillEstimate,
    PrefixCacheTracker,
    Router,
    estimate_prefill,
)

SLOTS = 64


def _candidate(name, queued=0.0, running=0.0, reported_at=0.0, latency_s=0.0):
    target = Target(TargetKind.GROUP, name, "10.0.0.1:1", f"g-{name}", 1)
    return Candidate(target, queued, running, reported_at, latency_s)


def _pick(router, candidates, prefill=None, now=1.0, avoided=frozenset()):
    choice = router.choose(candidates, prefill or PrefillEstimate(), SLOTS, avoided, now)
    return choice.candidate.target.instance if choice else None


def test_avoided_instances_are_not_chosen():
    router = Router(random.Random(1))
    assert _pick(router, [_candidate("a"), _candidate("b")], avoided=frozenset({"a"})) == "b"
    assert _pick(router, [_candidate("a")], avoided=frozenset({"a"})) is None
    assert _pick(router, []) is None


def test_running_requests_delay_less_than_queued_ones_and_latency_breaks_ties():
    router = Router(random.Random(1))
    prefill = PrefillEstimate(rest_prefill_s=0.2)
    busy, free = _candidate("busy", queued=30), _candidate("free", running=30)
    assert {_pick(router, [busy, free], prefill) for _ in range(20)} == {"free"}
    far = _candidate("far", latency_s=0.05)
    assert {_pick(router, [far, _candidate("near")], prefill) for _ in range(20)} == {"near"}


def test_reported_load_is_corrected_by_own_attempts_since():
    own = OwnLoadTracker()
    own.record_sent("a", 1.0)
    own.record_sent("a", 2.0)
    assert own.estimate("a", 5, 0, reported_at=1.5).queued == 6
    assert own.estimate("a", 0, 0, reported_at=3.0).queued == 2
    own.record_first_byte("a", 4.0)
    load = own.estimate("a", 0, 0, reported_at=3.0)
    assert (load.queued, load.running) == (1, 1)
    own.record_end("a", answered=True, now=5.0)
    own.record_end("a", answered=False, now=5.0)
    load = own.estimate("a", 0, 0, reported_at=6.0)
    assert (load.queued, load.running) == (0, 0)


def test_nodes_prefer_the_same_few_instances_for_a_prefix():
    candidates = [_candidate(f"i{n}") for n in range(30)]
    prefill = PrefillEstimate("prefix", 1.0, 0.01)
    picks = Counter(_pick(Router(random.Random(seed)), candidates, prefill) for seed in range(40))
    assert len(picks) <= 2


def test_overloaded_preferred_instances_are_not_chosen():
    candidates = [_candidate(f"i{n}") for n in range(30)]
    prefill = PrefillEstimate("prefix", 0.2, 0.01)
    router = Router(random.Random(3))
    preferred = {_pick(Router(random.Random(seed)), candidates, prefill) for seed in range(40)}
    loaded = [
        _candidate(each.target.instance, queued=200) if each.target.instance in preferred else each
        for each in candidates
    ]
    assert _pick(router, loaded, prefill) not in preferred


def test_slow_instance_is_avoided_and_tried_again_later():
    router = Router(random.Random(5))
    slow, fine = _candidate("slow"), _candidate("fine")
    prefill = PrefillEstimate(rest_prefill_s=0.1)
    now = 0.0
    for _ in range(20):
        for each, first_byte_s in ((slow, 1.5), (fine, 0.1)):
            choice = router.choose([each], prefill, SLOTS, frozenset(), now)
            sent = router.record_sent(choice, prefill, SLOTS, now)
            router.record_first_byte(sent, now + first_byte_s)
            router.record_end(sent, now + first_byte_s)
        now += 2.0
    candidates = [slow, _candidate("fine", queued=2)]
    assert {_pick(router, candidates, prefill, now) for _ in range(20)} == {"fine"}
    assert {_pick(router, candidates, prefill, now + 300.0) for _ in range(20)} == {"slow"}


def test_prefix_entries_expire_and_can_be_dropped_and_are_limited():
    tracker = PrefixCacheTracker()
    tracker.record_prefix("a", "p", 0.0)
    assert tracker.is_cached("a", "p", 1.0)
    assert not tracker.is_cached("a", "p", 1e6)
    tracker.remove("a", "p")
    assert not tracker.is_cached("a", "p", 1.0)
    for number in range(100):
        tracker.record_prefix("a", f"p{number}", 2.0)
    assert not tracker.is_cached("a", "p0", 2.0)


def test_instances_no_longer_listed_are_dropped_once_idle():
    router = Router(random.Random(1))
    prefill = PrefillEstimate("p", 0.1, 0.1)
    sent = {}
    for name in ("gone", "busy", "listed"):
        choice = router.choose([_candidate(name)], prefill, SLOTS, frozenset(), 1.0)
        sent[name] = router.record_sent(choice, prefill, SLOTS, 1.0)
    router.record_end(sent["gone"], 2.0)
    router.prune({"listed"})
    state = router._state
    assert set(state.own_load._queued) == {"busy", "listed"}
    assert not state.prefix_cache.is_cached("gone", "p", 2.0)
    assert state.prefix_cache.is_cached("listed", "p", 2.0)
    router.record_end(sent["busy"], 3.0)


def test_shared_part_of_a_prompt_is_its_prefix():
    assert estimate_prefill("m", ["short"], 0.05).prefix_digest is None
    system = "Follow the export rules. " * 40
    first, second = (estimate_prefill("m", [system, text], 0.05) for text in ("crate 1", "crate 2"))
    assert first.prefix_digest == second.prefix_digest
    assert first.prefix_prefill_s > first.rest_prefill_s
    assert estimate_prefill("other", [system, "crate 1"], 0.05).prefix_digest != first.prefix_digest
