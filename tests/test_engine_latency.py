"""Latency of engines, learned from their first tokens."""

from __future__ import annotations

import pytest
from engine_states import IDLE
from msgspec.structs import replace
from wigeonarch_core.engine_choice import EngineState, choose_engine, expected_first_token
from wigeonarch_core.engine_latency import EVIDENCE_HALF_LIFE, EngineLatency

EXPECTED = 0.05  # Expected seconds until a first token.
PAUSE = 0.1  # Seconds between sends.


def record_first_tokens(
    latency: EngineLatency, endpoint: str, slowness: float, count: int, now: float
) -> float:
    """Records first tokens of an engine, one after another; returns the time after them."""
    for _ in range(count):
        wait = latency.record_send(endpoint, EXPECTED, now)
        now += slowness * EXPECTED
        latency.record_first_token(wait, now)
        now += PAUSE
    return now


@pytest.mark.parametrize("slowness", [0.4, 1.0, 3.0, 6.0])
def test_the_latency_ratio_of_an_engine_is_learned(slowness: float) -> None:
    latency = EngineLatency()
    now = record_first_tokens(latency, "e", slowness, 20, 100.0)
    assert latency.latency_ratio("e", now) == pytest.approx(slowness, rel=0.3)


def test_two_first_tokens_reveal_a_slow_engine() -> None:
    latency = EngineLatency()
    now = max(record_first_tokens(latency, name, 1.0, 10, 100.0) for name in ("a", "b"))
    now = record_first_tokens(latency, "b", 5.0, 2, now)
    assert latency.slowness("b", now) > 2.0 * latency.slowness("a", now)


def test_a_stalled_engine_is_noticed_without_a_first_token() -> None:
    latency = EngineLatency()
    now = record_first_tokens(latency, "e", 1.0, 10, 100.0)
    wait = latency.record_send("e", EXPECTED, now)
    assert latency.latency_ratio("e", now + EXPECTED) < 1.2
    assert latency.latency_ratio("e", now + 10 * EXPECTED) > 2.0
    latency.stop_waiting(wait)
    assert latency.latency_ratio("e", now + 10 * EXPECTED) < 1.2


def test_evidence_fades_so_that_a_slow_engine_is_tried_again() -> None:
    latency = EngineLatency()
    now = record_first_tokens(latency, "e", 6.0, 5, 100.0)
    before = latency.latency_ratio("e", now)
    assert 1.0 < latency.latency_ratio("e", now + 3 * EVIDENCE_HALF_LIFE) < before / 2


def test_a_new_engine_starts_at_the_baseline() -> None:
    latency = EngineLatency()
    now = 100.0
    for _ in range(40):
        now = max(record_first_tokens(latency, name, 2.0, 5, now) for name in "abc")
    assert latency.latency_ratio("new", now) == pytest.approx(2.0, rel=0.3)


def test_a_restarted_engine_has_no_evidence() -> None:
    latency = EngineLatency()
    now = record_first_tokens(latency, "e", 6.0, 5, 100.0)
    latency.record_send("e", EXPECTED, now)
    latency.forget("e")
    assert latency.latency_ratio("e", now + 5.0) < 1.5


def engine(endpoint: str, slowness: float, running: int = 0, waiting: float = 0.0) -> EngineState:
    return replace(
        IDLE,
        endpoint=endpoint,
        holds=True,
        waiting_tokens=waiting,
        running=running,
        slowness=slowness,
    )


def test_a_slow_engine_gets_proportionally_fewer_requests() -> None:
    """All requests are sent before the first one ends."""
    sent = {"fast": 0, "slow": 0}
    for _ in range(60):
        states = [
            engine("fast", 1.0, sent["fast"], 1_000.0 * sent["fast"]),
            engine("slow", 5.0, sent["slow"], 1_000.0 * sent["slow"]),
        ]
        found = choose_engine(states, 1_000)
        assert found is not None
        sent[found.endpoint] += 1
    assert 4 * sent["slow"] <= sent["fast"] <= 8 * sent["slow"]


@pytest.mark.parametrize("scale", [0.25, 1.0, 4.0])
def test_small_differences_from_the_baseline_are_ignored(scale: float) -> None:
    latency = EngineLatency()
    now = 100.0
    for _ in range(40):
        now = max(record_first_tokens(latency, name, scale, 5, now) for name in "abc")
    now = record_first_tokens(latency, "a", 1.5 * scale, 5, now)
    now = record_first_tokens(latency, "b", 6.0 * scale, 5, now)
    assert latency.slowness("a", now) == 1.0
    assert latency.slowness("b", now) > 3.0


@pytest.mark.parametrize("scale", [0.25, 0.5, 1.0, 2.0, 4.0])
def test_the_order_of_engines_does_not_depend_on_their_common_speed(scale: float) -> None:
    states = [
        engine("busy", scale, running=20, waiting=9_000.0),
        engine("some", scale, running=10, waiting=4_000.0),
        engine("idle", scale),
        engine("ill", 5.0 * scale),
    ]
    order = []
    while states:
        found = choose_engine(states, 1_000)
        assert found is not None
        order.append(found.endpoint)
        states = [state for state in states if state.endpoint != found.endpoint]
    assert order[0] == "idle"
    assert order.index("some") < order.index("busy")


def test_requests_beyond_the_batch_are_expected_to_wait() -> None:
    waits = [expected_first_token(0.0, 1_000, running, 32) for running in (0, 31, 32, 40, 64)]
    assert waits == sorted(waits)
    assert waits[3] > waits[1] + 0.3
