"""What is believed of the time of loads comes near to what a store of adapters does."""

from __future__ import annotations

import random

import pytest
from wigeonarch_core.load_time import COLD_LOAD, INITIAL_CONCURRENCY, LoadTimeEstimate


def test_loads_beyond_those_at_once_take_longer() -> None:
    pace = LoadTimeEstimate()
    assert pace.expected_seconds(False, 0) == COLD_LOAD
    assert pace.expected_seconds(False, 7) == COLD_LOAD
    assert pace.expected_seconds(False, 15) == 2 * COLD_LOAD
    assert pace.expected_seconds(True, 15) < COLD_LOAD / 2


def truth(time: float, at_once: int, under_way: int) -> float:
    return time * max(1.0, (under_way + 1) / at_once)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("time", "at_once"), [(0.25, 8), (0.29, 48), (0.29, 64), (0.4, 20)])
def test_expectations_come_near_to_a_stores_times(time: float, at_once: int, seed: int) -> None:
    rng, pace = random.Random(seed), LoadTimeEstimate()
    ratios = []
    for number in range(600):
        under_way = rng.randrange(0, 2 * at_once)
        expected = pace.expected_seconds(False, under_way)
        takes = truth(time, at_once, under_way)
        (pace.record_on_time if takes <= expected + 0.012 else pace.record_late)(under_way)
        if number >= 300:
            ratios.append(expected / takes)
    assert 0.85 < sum(ratios) / len(ratios) < 1.15


def test_a_store_with_room_is_found_out_within_seconds() -> None:
    pace = LoadTimeEstimate()
    for _ in range(20):
        pace.record_on_time(40)
    assert pace.concurrency > 40


def test_a_store_like_the_first_keeps_its_number() -> None:
    pace = LoadTimeEstimate()
    for _ in range(200):
        under_way = 9
        late = (
            truth(COLD_LOAD, int(INITIAL_CONCURRENCY), under_way)
            > pace.expected_seconds(False, under_way) + 0.012
        )
        (pace.record_late if late else pace.record_on_time)(under_way)
    assert 0.8 * INITIAL_CONCURRENCY < pace.concurrency < 1.25 * INITIAL_CONCURRENCY
