"""Predicted lengths of answers, unwritten tokens and what they say of a group."""

import math
import random

import pytest

from briarpond.dispatch import (
    AnswerLengths,
    InFlightLoad,
    LoadTracker,
    RequestSize,
    StepPaces,
    estimate_in_group,
)
from briarpond.platform import decode_configuration
from briarpond.routes import HostedModel

from ..platform_samples import config_bytes

ENGINE = decode_configuration(config_bytes()).ok.services["pool"].engine
BIG = ENGINE.models[0]
TOKENS_PER_EVENT = 5


def learned_lengths(seed, answers=200, mean_by_route=None, spread=0.8, hint_spread=0.6):
    """Return lengths learned from log-normal answers of routes with different means."""
    rng = random.Random(seed)
    lengths = AnswerLengths()
    for n in range(answers):
        for route, mean in (mean_by_route or {"plan": 154.0}).items():
            tokens = rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
            events = math.ceil(tokens / TOKENS_PER_EVENT)
            hint = max(1, round(tokens * rng.lognormvariate(0, hint_spread)))
            lengths.record("pool", route, hint, events, n * 0.5)
    return lengths


def test_answer_of_an_unknown_route_is_expected_to_have_the_configured_mean():
    """A node that has just started knows no answer yet, and must not trust a hint either."""
    for hint in (None, 3, 4000):
        forecast = AnswerLengths().predict("pool", "plan", hint, 8000, 154.0, 0.0)
        assert forecast.mean == pytest.approx(154.0) and not forecast.is_learned


def test_engine_without_a_mean_answer_gets_a_forecast():
    """The operator's configuration may state 0 tokens, of which there is no logarithm."""
    lengths = learned_lengths(7)
    for route in ("plan", "unknown"):
        assert lengths.predict("pool", route, 9, 0, 0.0, 100.0).remaining(3) > 0


def test_routes_with_short_and_long_answers_get_forecasts_of_their_own():
    """Requests of two routes look alike, and their answers differ by a factor of three."""
    lengths = learned_lengths(1, mean_by_route={"chat": 77.0, "plan": 231.0})
    chat = lengths.predict("pool", "chat", None, 0, 154.0, 100.0)
    plan = lengths.predict("pool", "plan", None, 0, 154.0, 100.0)
    assert chat.is_learned and plan.is_learned
    assert chat.mean == pytest.approx(77.0, rel=0.25)
    assert plan.mean == pytest.approx(231.0, rel=0.25)


def test_hint_shifts_the_forecast_as_far_as_hints_were_right():
    """Callers' hints are right at the median and often far off."""
    good = learned_lengths(2, hint_spread=0.2)
    poor = learned_lengths(2, hint_spread=3.0)
    by_good, by_poor = (
        lengths.predict("pool", "plan", 600, 0, 154.0, 100.0).mean for lengths in (good, poor)
    )
    assert by_good > 400 and by_poor < 250


def test_forecast_is_not_above_the_limit_of_the_request():
    forecast = learned_lengths(3).predict("pool", "plan", 600, 40, 154.0, 100.0)
    assert forecast.mean <= 40 and forecast.remaining(38) <= TOKENS_PER_EVENT * 1.3


def test_forecast_follows_answers_that_become_longer():
    """A deployment's traffic changes: old answers lose their weight."""
    lengths = learned_lengths(4, mean_by_route={"plan": 50.0, "chat": 50.0})
    before = lengths.predict("pool", "plan", None, 0, 50.0, 100.0)
    for n in range(200):
        lengths.record("pool", "plan", None, 40, 100.0 + n)
        lengths.record("pool", "chat", None, 10, 100.0 + n)
    after = lengths.predict("pool", "plan", None, 0, 50.0, 300.0)
    assert after.mean > 1.4 * before.mean


def test_answer_that_outlives_its_forecast_is_expected_to_go_on():
    """With a mean that counts down to nothing, the longest answers would look about to end."""
    forecast = learned_lengths(5).predict("pool", "plan", None, 0, 154.0, 100.0)
    left = [forecast.remaining(written) for written in (0, 50, 150, 400, 1000, 10**6)]
    assert left[0] == pytest.approx(forecast.mean) and left[3] > left[1] * 0.8
    assert min(left) >= forecast.tokens_per_event > 0


def test_prediction_is_better_than_the_mean_on_new_answers():
    """Unwritten tokens that are predicted worse than by the mean would mislead the choice."""
    lengths, rng = learned_lengths(6), random.Random(60)
    by_forecast = by_mean = 0.0
    for _ in range(400):
        tokens = rng.lognormvariate(math.log(154.0) - 0.32, 0.8)
        hint = max(1, round(tokens * rng.lognormvariate(0, 0.6)))
        forecast = lengths.predict("pool", "plan", hint, 0, 154.0, 100.0)
        by_forecast += abs(forecast.mean - tokens)
        by_mean += abs(154.0 - tokens)
    assert by_forecast < 0.9 * by_mean


def test_unwritten_tokens_follow_sends_progress_and_ends():
    """A sum that drifts would make a group look busy or idle for good."""
    tracker = LoadTracker()
    tracker.record_sent("s", 500, 150.0)
    tracker.record_sent("s", 500, 50.0)
    assert tracker.total_load("s").unwritten_tokens == 200
    tracker.change_unwritten("s", -40.0)
    assert tracker.own_load_rows() == [("s", 2, 1000, 160)]
    tracker.record_end("s", 110.0)
    tracker.record_end("s", 50.0)
    assert tracker.total_load("s") == InFlightLoad(0, 1000, 0.0)


def test_load_of_a_node_that_tells_no_unwritten_tokens_makes_them_unknown():
    """During an update some nodes do not tell them: their requests must not look finished."""
    tracker = LoadTracker()
    tracker.set_peer_load("n2", [("s", 2, 0, 300)])
    assert tracker.total_load("s").unwritten_tokens == 300
    tracker.set_peer_load("n3", [("s", 1, 0)])
    assert tracker.total_load("s").unwritten_tokens is None
    tracker.set_peer_load("n3", [])
    assert tracker.total_load("s").unwritten_tokens == 300


def test_full_group_with_short_answers_left_is_expected_to_be_free_sooner():
    """Two groups have as many requests: one group's are about to end, the other's have begun."""
    request = RequestSize(979, 154)
    ending = estimate_in_group(ENGINE, BIG, request, InFlightLoad(9, 0, 9 * 10))
    begun = estimate_in_group(ENGINE, BIG, request, InFlightLoad(9, 0, 9 * 150))
    untold = estimate_in_group(ENGINE, BIG, request, InFlightLoad(9, 0, None))
    assert ending.first_event_s < 0.5 * begun.first_event_s
    assert untold.first_event_s == pytest.approx(begun.first_event_s, rel=0.1)


def test_long_answer_beside_long_answers_slows_most():
    """Long answers that run side by side delay each other for long."""
    short, long = RequestSize(979, 20), RequestSize(979, 600)
    few, many = InFlightLoad(6, 0, 6 * 10), InFlightLoad(6, 0, 6 * 300)
    costs = [
        estimate_in_group(ENGINE, BIG, request, load).slowdown_s
        for request, load in ((short, few), (long, few), (short, many), (long, many))
    ]
    assert costs[0] <= min(costs[1:3]) and 2 * max(costs[:3]) < costs[3]


def test_group_with_slow_steps_has_a_pace_above_its_peers():
    """One group of four is twice as slow as the configuration says."""
    paces = StepPaces()
    for tick in range(20):
        for head, gap in (("a", 0.05), ("b", 0.05), ("c", 0.05), ("d", 0.1)):
            paces.record_gap(head, HostedModel("pool", "big"), gap, 0.01, tick * 0.1)
    assert paces.pace("a", 2.0) == pytest.approx(1.0)
    assert paces.pace("d", 2.0) == pytest.approx(2.0, rel=0.05)
    assert paces.pace("d", 60.0) < 1.05
    paces.prune({"a", "b"})
    assert paces.pace("d", 2.0) == 1.0


def test_full_group_is_not_slow_since_its_steps_are_longer():
    """Steps are longer with more requests; a full group must not be shunned for that."""
    paces = StepPaces()
    for tick in range(20):
        for head, step in (("a", 0.01), ("b", 0.01), ("c", 0.02)):
            paces.record_gap(head, HostedModel("pool", "big"), 5 * step, step, tick * 0.1)
    assert paces.pace("c", 2.0) == pytest.approx(1.0)
