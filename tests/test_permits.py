"""Permits of one endpoint: its rate limits the requests that arrive in any window."""

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
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5.0
# Seconds for which two instances may both grant permits, as they reach different peers.
BOTH_GRANT = 1.0


def max_arrivals_in_a_window(times: list[float]) -> int:
    """Returns the greatest number of arrivals in any window."""
    return max((sum(at <= t < at + WINDOW for t in times) for at in times), default=0)


def test_a_bucket_starts_empty_and_saves_up_few_permits() -> None:
    bucket = PermitBucket(1.0, 0.0)
    assert bucket.seconds_until_permit(0.0) == pytest.approx(1.0 / USED_SHARE)
    assert not bucket.take(0.5 / USED_SHARE)
    assert sum(bucket.take(1000.0) for _ in range(10)) == MAX_SAVED_PERMITS


@pytest.mark.parametrize("rate", [0.0, 1e-6])
def test_the_wait_is_bounded_for_a_rate_near_zero(rate: float) -> None:
    assert PermitBucket(rate, 0.0).seconds_until_permit(100.0) == MAX_WAIT


def test_a_new_rate_applies_from_its_change_on() -> None:
    bucket = PermitBucket(1.0, 0.0)
    bucket.set_rate(4.0, 0.5 / USED_SHARE)
    assert bucket.seconds_until_permit(0.5 / USED_SHARE) == pytest.approx(0.5 / (4.0 * USED_SHARE))


@pytest.mark.parametrize("rate", [0.3, 1.0, 1.2, 2.0, 5.0, 20.0])
@pytest.mark.parametrize("seed", range(10))
def test_arrivals_in_any_window_stay_within_the_rate(rate: float, seed: int) -> None:
    """Requests come in bursts and quiet periods, and use their permits at any time until expiry.

    While another instance takes over, both grant permits for a moment.
    """
    draw = random.Random(seed)
    bucket, other = PermitBucket(rate, 0.0), PermitBucket(rate, 0.0)
    takeover_at = draw.uniform(10.0, 40.0)
    arrivals: list[float] = []
    now = 0.0
    while now < 60.0:
        now += draw.choice((0.001, 0.01, 0.3, 3.0)) * draw.random()
        granters = [bucket if now < takeover_at + BOTH_GRANT else other]
        if takeover_at < now < takeover_at + BOTH_GRANT:
            granters.append(other)
        arrivals += [
            now + PERMIT_LIFETIME * draw.random() for granter in granters if granter.take(now)
        ]
    assert (
        max_arrivals_in_a_window(sorted(arrivals)) <= ALLOWED_FACTOR * rate * WINDOW + ALLOWED_EXTRA
    )


@pytest.mark.parametrize("rate", [1.0, 5.0, 20.0])
def test_most_of_the_rate_is_granted_under_high_load(rate: float) -> None:
    bucket = PermitBucket(rate, 0.0)
    taken = sum(bucket.take(step * 0.01) for step in range(6000))
    assert taken >= 0.95 * USED_SHARE * rate * 60.0
