"""Estimates of load times approach the real times of a weight store."""

from __future__ import annotations

import random

import pytest
from wigeonarch_core.load_time import COLD_LOAD, INITIAL_CONCURRENCY, LoadTimeEstimate


def test_loads_beyond_the_concurrency_take_longer() -> None:
    estimate = LoadTimeEstimate()
    assert estimate.expected_seconds(False, 0) == COLD_LOAD
    assert estimate.expected_seconds(False, 7) == COLD_LOAD
    assert estimate.expected_seconds(False, 15) == 2 * COLD_LOAD
    assert estimate.expected_seconds(True, 15) < COLD_LOAD / 2


def real_seconds(base_seconds: float, concurrency: int, other_loads: int) -> float:
    return base_seconds * max(1.0, (other_loads + 1) / concurrency)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("base_seconds", "concurrency"), [(0.25, 8), (0.29, 48), (0.29, 64), (0.4, 20)]
)
def test_estimates_approach_the_times_of_a_store(
    base_seconds: float, concurrency: int, seed: int
) -> None:
    rng, estimate = random.Random(seed), LoadTimeEstimate()
    ratios = []
    for number in range(600):
        other_loads = rng.randrange(0, 2 * concurrency)
        expected = estimate.expected_seconds(False, other_loads)
        real = real_seconds(base_seconds, concurrency, other_loads)
        (estimate.record_on_time if real <= expected + 0.012 else estimate.record_late)(other_loads)
        if number >= 300:
            ratios.append(expected / real)
    assert 0.85 < sum(ratios) / len(ratios) < 1.15


def test_higher_concurrency_is_learned_within_seconds() -> None:
    estimate = LoadTimeEstimate()
    for _ in range(20):
        estimate.record_on_time(40)
    assert estimate.concurrency > 40


def test_the_estimate_stays_where_it_is_right() -> None:
    estimate = LoadTimeEstimate()
    for _ in range(200):
        other_loads = 9
        late = (
            real_seconds(COLD_LOAD, int(INITIAL_CONCURRENCY), other_loads)
            > estimate.expected_seconds(False, other_loads) + 0.012
        )
        (estimate.record_late if late else estimate.record_on_time)(other_loads)
    assert 0.8 * INITIAL_CONCURRENCY < estimate.concurrency < 1.25 * INITIAL_CONCURRENCY
