"""A team's quota over all instances: no window exceeds it, and a team within its quota is served.

The bound must hold in whole deployments with any disturbances, and each planted defect of the
ledger must break it.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import pytest
import wigeonarch_core.quota_ledger as quota_ledger
from wigeonarch_core.quota_ledger import QuotaBounds, QuotaLedger, QuotaShare
from wigeonarch_core.teams import Quota, Unit
from wigeonarch_fakes.quota_world import BOUNDS, World, quota

USUAL = 0.55  # Part of its quota that a team usually asks for overall.
HOT = 7.5  # Factor of the usual load in a hot phase.
WHOLE_QUOTA = QuotaShare(1.0, True)


def load_with_hot_phase(
    quota_: Quota, start: float, times: float = HOT
) -> Callable[[float], float]:
    """Returns a load that is usual at first and `times` as high from `start` on."""
    return lambda now: USUAL * quota_.rate * (times if now >= start else 1.0)


@pytest.mark.parametrize("rate", [2_700.0, 95_140.0])
@pytest.mark.parametrize(("zones", "per_zone"), [(1, 4), (3, 8), (5, 6)])
@pytest.mark.parametrize("seed", range(4))
def test_no_window_exceeds_the_bound_whatever_happens(
    rate: float, zones: int, per_zone: int, seed: int
) -> None:
    world = World(zones, per_zone, quota(rate), seed)
    world.run(60.0, load_with_hot_phase(world.quota, 12.0))
    assert world.worst_window() <= 1.0, world.events


@pytest.mark.parametrize("times", [2.0, HOT])
@pytest.mark.parametrize("seed", range(3))
def test_bound_holds_when_all_instances_restart_in_a_hot_phase(times: float, seed: int) -> None:
    world = World(3, 8, quota(95_140.0), seed, random_faults=False)
    load = load_with_hot_phase(world.quota, 20.0, times)
    world.run(21.5, load)
    for instance in world.instances:
        world.kill(instance)
    world.run(45.0, load)
    assert world.worst_window() <= 1.0


def play_split(world: World, until: float, hot_for: float) -> None:
    """Splits each zone into halves and heals it in a hot phase that began shortly before."""
    calm = 0.2 * USUAL * world.quota.rate
    hot = HOT * USUAL * world.quota.rate
    load = lambda now: hot if now >= until - hot_for else calm  # noqa: E731
    world.run(14.0, load)
    for instance in world.instances[::2]:
        instance.split_until = until
    world.run(until + 14.0, load)


@pytest.mark.parametrize(("zones", "per_zone"), [(1, 8), (3, 6)])
@pytest.mark.parametrize("until", [20.0, 26.0])
@pytest.mark.parametrize("hot_for", [0.5, 2.0, 4.0])
def test_bound_holds_when_a_split_zone_heals_in_a_hot_phase(
    zones: int, per_zone: int, until: float, hot_for: float
) -> None:
    for seed in range(3):
        world = World(zones, per_zone, quota(95_140.0), seed, random_faults=False)
        play_split(world, until, hot_for)
        assert world.worst_window() <= 1.0


@pytest.mark.parametrize("rate", [2_700.0, 15_000.0, 95_140.0])
@pytest.mark.parametrize(("zones", "per_zone"), [(1, 6), (3, 20)])
def test_team_within_its_quota_is_served(rate: float, zones: int, per_zone: int) -> None:
    world = World(zones, per_zone, quota(rate), 1, random_faults=False, loss=0.0)
    world.run(10.0, lambda now: 0.0)
    world.run(60.0, lambda now: USUAL * rate)
    assert world.goodput() >= 0.95


def test_lasting_load_gets_most_of_what_the_bound_allows() -> None:
    world = World(3, 8, quota(95_140.0), 1, random_faults=False, loss=0.0)
    world.run(60.0, load_with_hot_phase(world.quota, 12.0))
    late = sum(cost for at, cost in world.admitted if at >= 28.0)
    assert late >= 0.8 * BOUNDS.bound(world.quota) * (60.0 - 28.0) / BOUNDS.window


def test_zones_without_callers_lend_to_others() -> None:
    rate = 30_000.0
    world = World(3, 6, quota(rate), 1, random_faults=False, loss=0.0, called_zones={0})
    world.run(12.0, lambda now: 0.0)
    world.run(60.0, lambda now: USUAL * rate)
    assert world.goodput() >= 0.95


def test_lowered_quota_binds_after_one_window() -> None:
    world = World(3, 8, quota(95_140.0), 3, random_faults=False)
    world.run(20.0, lambda now: 50_000.0)
    world.quota = quota(15_000.0)
    world.run(60.0, lambda now: 50_000.0)
    assert world.worst_window(since=20.0 + BOUNDS.window) <= 1.0


@pytest.mark.parametrize("seed", range(3))
def test_changing_quota_never_exceeds_the_highest_of_a_window(seed: int) -> None:
    world = World(3, 6, quota(40_000.0), seed)
    for number, rate in enumerate((20_000.0, 40_000.0, 10_000.0, 40_000.0, 40_000.0)):
        world.run(20.0 + 7.0 * number, lambda now: 200_000.0)
        world.quota = quota(rate)
    world.quota = quota(40_000.0)
    world.run(70.0, lambda now: 200_000.0)
    assert world.worst_window() <= 1.0


# Planted defects.


def starts_with_the_whole_bound(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    monkeypatch.setattr(quota_ledger, "INITIAL_PART", 1.0)
    return {}


def restarts_at_full_rate(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    monkeypatch.setattr(quota_ledger, "RESTART_RATE_PART", 0.0)
    monkeypatch.setattr(quota_ledger, "INITIAL_PART", 0.9)
    return {}


def deputies_are_coordinators(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    part = World.part
    monkeypatch.setattr(World, "part", lambda self, one: QuotaShare(part(self, one).share, True))
    monkeypatch.setattr(quota_ledger, "INITIAL_PART", 0.3)
    return {}


def cut_off_instances_give_the_whole_share(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    return {"share_of": lambda heard, known: 1.0}


def accounts_never_restart(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    # Both checks detect a pause of the process, each in cases that the other one misses.
    monkeypatch.setattr(quota_ledger, "MAX_UPDATE_GAP", 1e9)
    monkeypatch.setattr(quota_ledger, "SHARE_GROWTH_TO_RESTART", 1e9)
    return {}


def loans_cost_nothing(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    def lend(
        self: QuotaLedger, team: str, quota_: Quota, part: QuotaShare, wanted: float, now: float
    ) -> float:
        return wanted

    monkeypatch.setattr(QuotaLedger, "lend", lend)
    return {}


def loans_count_twice(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    accept_loan = QuotaLedger.accept_loan

    def twice(
        self: QuotaLedger, team: str, request_number: int, lender: str, units: float, now: float
    ) -> bool:
        accept_loan(self, team, request_number, lender, 2.0 * units, now)
        return accept_loan(self, team, request_number, lender + "again", 2.0 * units, now)

    monkeypatch.setattr(QuotaLedger, "accept_loan", twice)
    return {}


def grants_are_not_counted(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    monkeypatch.setattr(QuotaLedger, "_book", staticmethod(lambda account, units, at: None))
    return {}


DEFECTS = [
    starts_with_the_whole_bound,
    restarts_at_full_rate,
    deputies_are_coordinators,
    cut_off_instances_give_the_whole_share,
    accounts_never_restart,
    loans_cost_nothing,
    loans_count_twice,
    grants_are_not_counted,
]


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_planted_defect_is_caught(
    monkeypatch: pytest.MonkeyPatch, defect: Callable[[pytest.MonkeyPatch], dict[str, Any]]
) -> None:
    options = defect(monkeypatch)
    world = World(1, 8, quota(95_140.0), 1, random_faults=False, **options)
    play_split(world, 26.0, 2.0)
    if world.worst_window() > 1.0:
        return
    for seed, shape in itertools.product(range(12), [(1, 4), (3, 6)]):
        world = World(*shape, quota(95_140.0), seed, **options)
        world.run(60.0, load_with_hot_phase(world.quota, 12.0))
        if world.worst_window() > 1.0:
            return
    pytest.fail("no seed shows the defect")


# A single ledger.


@pytest.mark.parametrize(
    ("unit", "tokens", "cost"),
    [
        (Unit.TOKENS, 1_632, 1_632.0),
        (Unit.TOKENS, None, 200.0),
        (Unit.REQUESTS, 1_632, 1.0),
        (Unit.REQUESTS, None, 1.0),
    ],
)
def test_what_a_request_costs(unit: Unit, tokens: int | None, cost: float) -> None:
    assert Quota(unit, 10.0, 10.0, 200.0).cost(tokens) == cost


def ledger_after_a_window(quota_: Quota) -> QuotaLedger:
    """Returns a ledger whose account has been kept for a whole window."""
    ledger = QuotaLedger(QuotaBounds(8.0, 0.0, 0.0), 0.0)
    for step in range(41):
        ledger.update({"t": (quota_, WHOLE_QUOTA)}, step * 0.25)
    return ledger


def test_refusal_estimates_the_wait_behind_earlier_refusals() -> None:
    limit = Quota(Unit.REQUESTS, 10.0, 10.0)
    ledger = ledger_after_a_window(limit)
    given = 0
    while ledger.acquire("t", limit, WHOLE_QUOTA, 1.0, 10.0).granted:
        given += 1
    assert given > 10
    first = ledger.acquire("t", limit, WHOLE_QUOTA, 1.0, 10.0)
    second = ledger.acquire("t", limit, WHOLE_QUOTA, 1.0, 10.0)
    assert not first.granted
    assert 0.0 < first.wait <= first.queue_wait < second.queue_wait


def test_grant_is_refunded_once() -> None:
    limit = Quota(Unit.REQUESTS, 10.0, 10.0)
    ledger = ledger_after_a_window(limit)
    ledger.record_grant("e-1", 7, "t", 1.0, 10.0)
    while ledger.acquire("t", limit, WHOLE_QUOTA, 1.0, 10.0).granted:
        pass
    ledger.refund("e-1", 7)
    ledger.refund("e-1", 7)
    ledger.refund("e-2", 7)
    assert ledger.acquire("t", limit, WHOLE_QUOTA, 1.0, 10.0).granted
    assert not ledger.acquire("t", limit, WHOLE_QUOTA, 1.0, 10.0).granted


def test_loan_is_accepted_once_and_only_in_time() -> None:
    limit = Quota(Unit.REQUESTS, 10.0, 10.0)
    ledger = ledger_after_a_window(limit)
    part = QuotaShare(0.5, True)
    while ledger.acquire("t", limit, part, 1.0, 10.0).granted:
        pass
    request = ledger.request_loan("t", limit, part, 10.0)
    assert request is not None
    assert ledger.request_loan("t", limit, part, 10.1) is None  # The last request is too recent.
    assert ledger.accept_loan("t", request.number, "b", 2.0, 10.1)
    assert not ledger.accept_loan("t", request.number, "b", 2.0, 10.1)
    assert not ledger.accept_loan("t", request.number + 1, "b", 2.0, 10.1)
    assert ledger.accept_loan("t", request.number, "c", 2.0, 10.2)
    assert not ledger.accept_loan("t", request.number, "d", 2.0, 10.6)


def test_ledger_drops_teams_that_no_longer_have_a_quota() -> None:
    limit = Quota(Unit.REQUESTS, 10.0, 10.0)
    ledger = ledger_after_a_window(limit)
    ledger.update({}, 10.1)
    assert ledger.request_loan("t", limit, WHOLE_QUOTA, 10.2) is None
