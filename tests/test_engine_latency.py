"""How slow engines are believed to be, from their first tokens."""

from __future__ import annotations

import pytest
from engine_states import IDLE
from msgspec.structs import replace
from wigeonarch_core.engine_choice import EngineState, choose_engine, expected_first_token
from wigeonarch_core.engine_latency import EVIDENCE_HALF_LIFE, EngineLatency

EXPECTED = 0.05  # Seconds until first tokens at a slowness of 1.
PAUSE = 0.1  # Seconds between sends.


def fed(paces: EngineLatency, endpoint: str, slowness: float, answers: int, now: float) -> float:
    """Plays answers of an engine one after the other; returns the time after them."""
    for _ in range(answers):
        wait = paces.record_send(endpoint, EXPECTED, now)
        now += slowness * EXPECTED
        paces.record_first_token(wait, now)
        now += PAUSE
    return now


@pytest.mark.parametrize("slowness", [0.4, 1.0, 3.0, 6.0])
def test_the_slowness_of_an_engine_is_learned(slowness: float) -> None:
    paces = EngineLatency()
    now = fed(paces, "e", slowness, 20, 100.0)
    assert paces.latency_ratio("e", now) == pytest.approx(slowness, rel=0.3)


def test_few_answers_tell_a_slow_engine_from_its_peers() -> None:
    paces = EngineLatency()
    now = max(fed(paces, name, 1.0, 10, 100.0) for name in ("a", "b"))
    now = fed(paces, "b", 5.0, 2, now)
    assert paces.slowness("b", now) > 2.0 * paces.slowness("a", now)


def test_a_stalled_engine_is_noticed_without_an_answer() -> None:
    paces = EngineLatency()
    now = fed(paces, "e", 1.0, 10, 100.0)
    wait = paces.record_send("e", EXPECTED, now)
    assert paces.latency_ratio("e", now + EXPECTED) < 1.2
    assert paces.latency_ratio("e", now + 10 * EXPECTED) > 2.0
    paces.stop_waiting(wait)
    assert paces.latency_ratio("e", now + 10 * EXPECTED) < 1.2


def test_evidence_fades_so_an_engine_is_tried_again() -> None:
    paces = EngineLatency()
    now = fed(paces, "e", 6.0, 5, 100.0)
    before = paces.latency_ratio("e", now)
    assert 1.0 < paces.latency_ratio("e", now + 3 * EVIDENCE_HALF_LIFE) < before / 2


def test_what_is_usual_is_expected_of_an_engine_that_is_new() -> None:
    paces = EngineLatency()
    now = 100.0
    for _ in range(40):
        now = max(fed(paces, name, 2.0, 5, now) for name in "abc")
    assert paces.latency_ratio("new", now) == pytest.approx(2.0, rel=0.3)


def test_an_engine_that_started_again_has_no_evidence() -> None:
    paces = EngineLatency()
    now = fed(paces, "e", 6.0, 5, 100.0)
    paces.record_send("e", EXPECTED, now)
    paces.forget("e")
    assert paces.latency_ratio("e", now + 5.0) < 1.5


def engine(endpoint: str, slowness: float, running: int = 0, waiting: float = 0.0) -> EngineState:
    return replace(
        IDLE,
        endpoint=endpoint,
        holds=True,
        waiting_tokens=waiting,
        running=running,
        slowness=slowness,
    )


def test_a_slow_engine_gets_less_in_proportion() -> None:
    """Requests that come faster than they are read: sent one by one, none ending meanwhile."""
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
def test_engines_that_are_about_as_fast_as_usual_are_not_told_apart(scale: float) -> None:
    paces = EngineLatency()
    now = 100.0
    for _ in range(40):
        now = max(fed(paces, name, scale, 5, now) for name in "abc")
    now = fed(paces, "a", 1.5 * scale, 5, now)
    now = fed(paces, "b", 6.0 * scale, 5, now)
    assert paces.slowness("a", now) == 1.0
    assert paces.slowness("b", now) > 3.0


@pytest.mark.parametrize("scale", [0.25, 0.5, 1.0, 2.0, 4.0])
def test_the_order_of_engines_does_not_depend_on_how_fast_all_of_them_are(scale: float) -> None:
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


def test_requests_beyond_the_batch_wait_for_others_to_end() -> None:
    waits = [expected_first_token(0.0, 1_000, running, 32) for running in (0, 31, 32, 40, 64)]
    assert waits == sorted(waits)
    assert waits[3] > waits[1] + 0.3
