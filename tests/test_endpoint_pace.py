"""Paces of endpoints: what is learned of them, reported, and used where they are about equal."""

from __future__ import annotations

import random

import msgspec
import pytest
from even_states import COUNT, engines, plain_endpoints
from msgspec.structs import replace
from wigeonarch_core.endpoint_pace import (
    ANSWER_EXPECTED,
    EVEN_RATIO,
    EVIDENCE_HALF_LIFE,
    GAPS_PER_SAMPLE,
    OLD_NEWS_TIME,
    EndpointPaces,
    EventGaps,
)
from wigeonarch_core.engine_choice import choose_engine
from wigeonarch_core.service_choice import choose_endpoint
from wigeonarch_gateway.messages import EndpointLoad, Heartbeat, decode, encode
from wigeonarch_gateway.pace_news import MAX_REPORTED, MIN_REPORTED, PaceNews
from wigeonarch_gateway.traffic import InFlightTracker

NOW = 100.0
# What the choice without paces returns for the states of each seed: the endpoint, in capitals if it
# is crowded, or a dash.
EVEN_ENGINES = (
    "gbAaadabcgAdhCacecaabbcegaccaababcAcfbgahcaabeaAdbhbcdbbaadaaacbfgAaeabbaba"
    "CdabbbacabcaaabbafcbaeDcfCbaaAeBBcacafacaecccdaaaeaAacaceGeeccbcAAaacgBaaaA"
    "cfbhbaeaCgbA-caaacbcfafCagAbAaaafbaBdeabBcabbbaAad-BeAbcAcAacefBaADaEfbcafA"
    "ddgbacaabbcecaaabaaebaGdCghacfacaaadaefDgabaAAhacaaEbdabaaAachabEbhadAbBdbe"
)
EVEN_ENDPOINTS = (
    "acabceaedcabdebcbbaababbggaebacaacaffbgbecaagdbceahcabbaaaaabecgacbaeaafbba"
    "hfebcagaeebabcbabfaabfccdbcacaaadcagcfabbedaaabcaacaabaddcgabgbaabadbddacfa"
    "befgbccecdbbafbabcaeegeeaeadaacbbbdaabbgaadcbcaaabaaaaabacdagbccbaabebccadb"
    "bfcdbbadafbebdaabaadbaccdcaacdahcaadfdbdfbbfaccdbabfadeeaaaaagacbceagbdbdcf"
)


@pytest.mark.parametrize("base", [0.5, 1.0, 3.0])
def test_engines_of_about_equal_pace_are_chosen_as_without_paces(base: float) -> None:
    found = ""
    for seed in range(COUNT):
        rng = random.Random(seed)
        states, prompt = engines(rng), rng.randint(100, 6000)
        if base == 1.0 or len(states) > 1:
            paces = [base * rng.uniform(1.0, EVEN_RATIO) for _ in states]
        else:
            paces = [1.0]
        choice = choose_engine(
            [replace(state, pace=pace) for state, pace in zip(states, paces, strict=True)], prompt
        )
        name = choice.endpoint if choice else "-"
        found += name.upper() if choice and choice.crowded else name
    assert found == EVEN_ENGINES


@pytest.mark.parametrize("base", [0.5, 1.0, 3.0])
def test_plain_endpoints_of_about_equal_pace_are_chosen_as_without_paces(base: float) -> None:
    found = ""
    for seed in range(COUNT):
        rng = random.Random(seed)
        states = plain_endpoints(rng)
        lag, time, draw = rng.choice([0.0, 0.5]), rng.choice([None, 0.075]), rng.random()
        states = [replace(state, pace=base * rng.uniform(1.0, EVEN_RATIO)) for state in states]
        found += choose_endpoint(states, lag, time, draw) or "-"
    assert found == EVEN_ENDPOINTS


def record(paces: EndpointPaces, endpoint: str, ratio: float, count: int, now: float = NOW) -> None:
    for _ in range(count):
        paces.add(endpoint, ratio * ANSWER_EXPECTED, ANSWER_EXPECTED, now)


@pytest.mark.parametrize("scale", [0.01, 1.0, 50.0])
@pytest.mark.parametrize("slowness", [0.5, 2.0, 4.0, 8.0])
def test_ratio_is_relative_to_the_usual_endpoint(scale: float, slowness: float) -> None:
    paces = EndpointPaces()
    for name in "abc":
        record(paces, name, scale, 10)
    record(paces, "d", scale * slowness, 10)
    assert paces.ratio("a", "abcd", NOW) == pytest.approx(1.0)
    assert paces.ratio("d", "abcd", NOW) == pytest.approx(slowness, rel=0.25)
    assert paces.ratio("unknown", "abcd", NOW) == 1.0


def test_paces_are_in_order_after_ten_noisy_answers_each() -> None:
    """For spells of 0.6 s, in 15 of 100 of the time, all answers take 2.5 times as long."""
    right, runs, steps = 0, 200, (0.625, 1.0, 1.67, 4.0)
    for seed in range(runs):
        rng, paces, now = random.Random(seed), EndpointPaces(), NOW
        for _ in range(10):
            now += 0.1
            for index, step in enumerate(steps):
                noise = 2.5 if (now + rng.random()) % 4.0 < 0.6 else 1.0
                took = step * noise * 0.07 * rng.lognormvariate(0.0, 0.3)
                paces.add(str(index), took, ANSWER_EXPECTED, now)
        ratios = paces.ratios("0123", now)
        right += sorted("0123", key=lambda name: ratios[name]) == list("0123")
    assert right >= 0.95 * runs


def test_evidence_fades_so_that_a_slow_endpoint_is_tried_again() -> None:
    paces = EndpointPaces()
    record(paces, "a", 1.0, 10)
    record(paces, "b", 6.0, 10)
    later = [paces.ratio("b", "ab", NOW + n * EVIDENCE_HALF_LIFE) for n in range(8)]
    assert later == sorted(later, reverse=True)
    assert later[0] > 5.0
    assert later[-1] < 1.5


def test_a_restarted_endpoint_starts_anew_and_old_news_of_it_is_ignored() -> None:
    paces = EndpointPaces()
    record(paces, "a", 1.0, 10)
    record(paces, "b", 6.0, 10)
    paces.forget("b", NOW)
    paces.add_reported("b", 6.0, 1.0, NOW + 0.5 * OLD_NEWS_TIME)
    assert paces.ratio("b", "ab", NOW + 0.5 * OLD_NEWS_TIME) == 1.0
    paces.add_reported("b", 6.0, 1.0, NOW + OLD_NEWS_TIME)
    assert paces.ratio("b", "ab", NOW + OLD_NEWS_TIME) > 2.0


@pytest.mark.parametrize(
    ("slow_gaps", "expected"), [(0, 0.03), (2, 0.03), (5, 0.03), (GAPS_PER_SAMPLE, 0.2)]
)
def test_prompts_between_events_hardly_change_the_typical_gap(
    slow_gaps: int, expected: float
) -> None:
    gaps, now, typical = EventGaps(), NOW, None
    assert gaps.note(1, now) is None
    for number in range(GAPS_PER_SAMPLE):
        now += 0.2 if number < slow_gaps else 0.03
        typical = gaps.note(1, now)
    assert typical == pytest.approx(expected)


def test_events_that_arrive_together_share_a_gap() -> None:
    gaps, typical = EventGaps(), None
    for number in range(GAPS_PER_SAMPLE + 1):
        assert gaps.note(0, NOW + 0.12 * number) is None
        typical = gaps.note(4, NOW + 0.12 * number)
    assert typical == pytest.approx(0.03)


def test_a_caller_that_reads_slowly_does_not_make_its_engine_look_slow() -> None:
    gaps = EventGaps()
    for number in range(3 * GAPS_PER_SAMPLE):
        assert gaps.note(1, NOW + number) is None
        gaps.note_write(0.9)


def test_each_sample_is_reported_once() -> None:
    sender, receiver, other_zone = InFlightTracker(), InFlightTracker(), InFlightTracker()
    sender.record_pace("e", 0.4, 0.1)
    report = sender.own_load_report()
    assert report == [EndpointLoad("e", 0, 0, 0, 0, 400, 100)]
    assert sender.own_load_report() == []
    receiver.receive_loads("s", report, represents=True)
    receiver.record_pace("e", 0.2, 0.1)
    combined = receiver.combined_load_report(["s"])
    assert [(load.pace_observed_ms, load.pace_expected_ms) for load in combined] == [(600, 200)]
    assert [load.pace_expected_ms for load in receiver.combined_load_report(["s"])] == [0]
    other_zone.receive_loads("d", combined)
    assert [load.pace_expected_ms for load in other_zone.combined_load_report([])] == []
    assert other_zone.paces.ratio("e", ["e"], NOW) == 1.0


@pytest.mark.parametrize("receivers", [1, 4, 40, 400])
def test_reports_of_paces_are_bounded_and_nothing_is_left_out_for_good(receivers: int) -> None:
    news = PaceNews()
    for endpoint in range(100):
        news.add(str(endpoint), 0.1, 0.1, NOW)
    seen: set[str] = set()
    for _ in range(100):
        taken = news.take(receivers, NOW)
        assert len(taken) <= max(MIN_REPORTED, MAX_REPORTED // receivers)
        seen |= taken.keys()
    assert len(seen) == 100


def test_paces_cost_few_bytes_in_a_large_deployment() -> None:
    """An instance uses 20 endpoints and sends 40 heartbeats a second to 33 peers of its zone."""
    tracker = InFlightTracker()
    for number in range(20):
        tracker.begin(f"i-{number:010}", 900.0, 1200.0, None)
        tracker.record_pace(f"i-{number:010}", 0.08, 0.1)
        tracker.record_pace(f"i-idle-{number:05}", 0.08, 0.1)
    report = tracker.own_load_report(receivers=33)
    without = [
        [load.endpoint, load.running, load.waiting_tokens, load.kv_tokens, load.recent_tokens]
        for load in report
        if load.running
    ]
    more = len(msgspec.msgpack.encode(report)) - len(msgspec.msgpack.encode(without))
    assert 40 * more <= 4_000


def test_messages_of_builds_without_paces_are_read_and_the_other_way_round() -> None:
    class OldLoad(msgspec.Struct, array_like=True):
        endpoint: str
        running: int
        waiting_tokens: int
        kv_tokens: int
        recent_tokens: int = 0

    new = EndpointLoad("e", 2, 3, 4, 5, 600, 700)
    old = OldLoad("e", 2, 3, 4, 5)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=OldLoad) == old
    found = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=EndpointLoad)
    assert found == EndpointLoad("e", 2, 3, 4, 5)
    heartbeat = Heartbeat("a", "b", "c", "z", False, 1, 2, [new], [])
    assert decode(encode(heartbeat)) == heartbeat
