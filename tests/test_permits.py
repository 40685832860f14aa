"""Permits of one endpoint: the rate that it named bounds what can arrive in any window."""

from __future__ import annotations

import random

import pytest
from wigeonarch_core.permits import (
    MAX_SAVED_PERMITS,
    MAX_WAIT,
    PERMIT_LIFETIME,
    USED_SHARE,
    PermitBucket,
)

WINDOW = 4.0
OVER = 1.5
BESIDES = 5.0
# Seconds for which two instances may both give permits, as they hear different peers.
BOTH_GIVE = 1.0


def most_in_a_window(times: list[float]) -> int:
    """Returns the most arrivals in any window."""
    return max((sum(at <= t < at + WINDOW for t in times) for at in times), default=0)


def test_a_bucket_starts_empty_and_saves_up_a_few() -> None:
    bucket = PermitBucket(1.0, 0.0)
    assert bucket.seconds_until_permit(0.0) == pytest.approx(1.0 / USED_SHARE)
    assert not bucket.take(0.5 / USED_SHARE)
    assert sum(bucket.take(1000.0) for _ in range(10)) == MAX_SAVED_PERMITS


@pytest.mark.parametrize("rate", [0.0, 1e-6])
def test_one_that_takes_nothing_is_asked_again_now_and_then(rate: float) -> None:
    assert PermitBucket(rate, 0.0).seconds_until_permit(100.0) == MAX_WAIT


def test_a_new_rate_counts_from_then_on() -> None:
    bucket = PermitBucket(1.0, 0.0)
    bucket.set_rate(4.0, 0.5 / USED_SHARE)
    assert bucket.seconds_until_permit(0.5 / USED_SHARE) == pytest.approx(0.5 / (4.0 * USED_SHARE))


@pytest.mark.parametrize("rate", [0.3, 1.0, 1.2, 2.0, 5.0, 20.0])
@pytest.mark.parametrize("seed", range(10))
def test_what_arrives_in_any_window_keeps_to_the_rate(rate: float, seed: int) -> None:
    """Asks at random, in bursts and calm times; permits are used at any time while they hold.

    Another instance gives permits too for a moment, as it takes over.
    """
    draw = random.Random(seed)
    bucket, other = PermitBucket(rate, 0.0), PermitBucket(rate, 0.0)
    changes_at = draw.uniform(10.0, 40.0)
    arrivals: list[float] = []
    now = 0.0
    while now < 60.0:
        now += draw.choice((0.001, 0.01, 0.3, 3.0)) * draw.random()
        givers = [bucket if now < changes_at + BOTH_GIVE else other]
        if changes_at < now < changes_at + BOTH_GIVE:
            givers.append(other)
        arrivals += [now + PERMIT_LIFETIME * draw.random() for giver in givers if giver.take(now)]
    assert most_in_a_window(sorted(arrivals)) <= OVER * rate * WINDOW + BESIDES


@pytest.mark.parametrize("rate", [1.0, 5.0, 20.0])
def test_most_of_the_rate_is_used_under_pressure(rate: float) -> None:
    bucket = PermitBucket(rate, 0.0)
    taken = sum(bucket.take(step * 0.01) for step in range(6000))
    assert taken >= 0.95 * USED_SHARE * rate * 60.0
