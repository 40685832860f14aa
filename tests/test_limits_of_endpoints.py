"""Several instances keep the rate limit that an endpoint states, while messages may be lost."""

from __future__ import annotations

import random

import pytest
from limit_fleet import ENDPOINT, MAX_EXCESS, MAX_EXTRA, WINDOW, Fleet
from wigeonarch_gateway import limits as module
from wigeonarch_gateway.messages import RateLimitUpdate


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> list[Fleet]:
    fleets: list[Fleet] = []
    monkeypatch.setattr(module, "monotonic", lambda: fleets[0].now)
    return fleets


def make_fleet(clock: list[Fleet], count: int, seed: int, lost: float = 0.0) -> Fleet:
    clock.append(Fleet(count, random.Random(seed), lost))
    return clock[0]


@pytest.mark.parametrize("count", [1, 7, 64])
@pytest.mark.parametrize("rate", [0.5, 1.2, 5.0])
@pytest.mark.parametrize("lost", [0.0, 0.2])
def test_instances_together_keep_the_limit_and_use_it(
    count: int, rate: float, lost: float, clock: list[Fleet]
) -> None:
    cluster = make_fleet(clock, count, 3, lost)
    begun_at = cluster.now
    for _ in range(3000):
        cluster.step(rate, 0.3)
    assert cluster.most(begun_at + 3.0) <= MAX_EXCESS * rate * WINDOW + MAX_EXTRA
    used = len([at for at, _ in cluster.arrivals if at >= begun_at + 3.0])
    assert used >= 0.5 * rate * 27.0


@pytest.mark.parametrize("seed", range(8))
def test_limit_is_kept_while_limiters_restart(seed: int, clock: list[Fleet]) -> None:
    cluster = make_fleet(clock, 7, seed, 0.05)
    rate, begun_at = 2.0, cluster.now
    limiter_number = 0
    for step in range(4000):
        if step % 400 == 399:
            # The limiter restarts and knows nothing; the others turn to the next one.
            cluster.start(f"i{limiter_number}")
            limiter_number = (limiter_number + 1) % 7
            cluster.limiter = lambda asking, limiter_number=limiter_number: f"i{limiter_number}"  # type: ignore[misc]
        cluster.step(rate, 0.3)
    # A restarted instance learns the limit from the first response, so it sends one request too
    # many at most.
    assert cluster.most(begun_at + 3.0) <= MAX_EXCESS * rate * WINDOW + MAX_EXTRA


def test_instance_cut_off_from_the_limiter_sends_nothing(clock: list[Fleet]) -> None:
    cluster = make_fleet(clock, 3, 1)
    for _ in range(100):
        cluster.step(1.0, 1.0)
    cluster.cut = {"i2"}
    for _ in range(200):
        cluster.step(1.0, 0.0)
    assert cluster.limits["i2"].permit_wait("e1", cluster.now) > 0.0
    assert not cluster.limits["i2"].take_permit("e1", cluster.now)


def test_wrong_limiter_names_the_right_one(clock: list[Fleet]) -> None:
    cluster = make_fleet(clock, 3, 1)
    cluster.limiter = lambda asking: "i1" if asking == "i2" else "i0"
    for _ in range(100):
        cluster.step(5.0, 0.0)
        for limits in cluster.limits.values():
            limits.receive_limit(RateLimitUpdate("i9", "e1", 5.0))
    for _ in range(200):
        cluster.limits["i2"].permit_wait("e1", cluster.now)
        cluster.step(5.0, 0.0)
    assert cluster.limits["i2"].take_permit("e1", cluster.now)


def test_permit_expires(clock: list[Fleet]) -> None:
    cluster = make_fleet(clock, 2, 1)
    for limits in cluster.limits.values():
        limits.receive_limit(RateLimitUpdate("i9", "e1", 5.0))
    for _ in range(40):
        cluster.limits["i0"].permit_wait("e1", cluster.now)
        cluster.step(5.0, 0.0)
    cluster.limits["i1"].permit_wait("e1", cluster.now)
    for _ in range(3):
        cluster.step(5.0, 0.0)
    assert cluster.limits["i1"].permit_wait("e1", cluster.now) == 0.0
    cluster.now += 1.0
    assert not cluster.limits["i1"].take_permit("e1", cluster.now)


@pytest.mark.parametrize(("sent_after", "ended"), [(-1.0, False), (1.0, True)])
def test_only_a_response_to_a_later_request_ends_the_limit(
    sent_after: float, ended: bool, clock: list[Fleet]
) -> None:
    cluster = make_fleet(clock, 2, 1)
    limits = cluster.limits["i1"]
    limits.record_limit(ENDPOINT, 1.0, cluster.now)
    cluster.now += 2.0
    limits.record_limit(ENDPOINT, None, cluster.now - 2.0 + sent_after)
    assert (limits.permit_wait("e1", cluster.now) == 0.0) is ended


def test_end_of_a_limit_reaches_all_instances(clock: list[Fleet]) -> None:
    cluster = make_fleet(clock, 5, 2)
    for _ in range(300):
        cluster.step(3.0, 0.2)
    for _ in range(300):
        cluster.step(None, 0.2)
    assert all(limits.permit_wait("e1", cluster.now) == 0.0 for limits in cluster.limits.values())


def test_endpoint_that_is_gone_for_good_has_no_limit(clock: list[Fleet]) -> None:
    cluster = make_fleet(clock, 2, 1)
    cluster.limits["i1"].receive_limit(RateLimitUpdate("i0", "e1", 1.0))
    assert cluster.limits["i1"].permit_wait("e1", cluster.now) > 0.0
    cluster.limits["i1"].forget("e1")
    assert cluster.limits["i1"].permit_wait("e1", cluster.now) == 0.0


def test_limit_reaches_instances_that_sent_no_request(clock: list[Fleet]) -> None:
    cluster = make_fleet(clock, 3, 1)
    cluster.limits["i1"].record_limit(ENDPOINT, 1.0, cluster.now)
    cluster.step(1.0, 0.0)
    assert all(limits.permit_wait("e1", cluster.now) > 0.0 for limits in cluster.limits.values())
