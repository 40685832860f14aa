"""The quota of a team over all instances: no window holds more, and whoever keeps to it is served.

The rule is the invariant of whole deployments to which anything happens; each planted defect of the
bank must break it.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import pytest
import wigeonarch_core.quota_ledger as quota_bank
from wigeonarch_core.quota_ledger import QuotaBounds, QuotaLedger, QuotaShare
from wigeonarch_core.teams import Quota, Unit
from wigeonarch_fakes.quota_world import BOUNDS, World, quota

USUAL = 0.55  # Part of its quota that a team asks for on the whole.
HOT = 7.5
ALONE = QuotaShare(1.0, True)


def hot_after(quota_: Quota, start: float, times: float = HOT) -> Callable[[float], float]:
    """Returns a load that is usual, and `times` that from a time on."""
    return lambda now: USUAL * quota_.rate * (times if now >= start else 1.0)


@pytest.mark.parametrize("rate", [2_700.0, 95_140.0])
@pytest.mark.parametrize(("zones", "per_zone"), [(1, 4), (3, 8), (5, 6)])
@pytest.mark.parametrize("seed", range(4))
def test_no_window_holds_more_whatever_happens(
    rate: float, zones: int, per_zone: int, seed: int
) -> None:
    found = World(zones, per_zone, quota(rate), seed)
    found.play(60.0, hot_after(found.quota, 12.0))
    assert found.worst() <= 1.0, found.events


@pytest.mark.parametrize("times", [2.0, HOT])
@pytest.mark.parametrize("seed", range(3))
def test_restart_of_everything_in_a_hot_phase(times: float, seed: int) -> None:
    found = World(3, 8, quota(95_140.0), seed, troubles=False)
    load = hot_after(found.quota, 20.0, times)
    found.play(21.5, load)
    for one in found.instances:
        found.kill(one)
    found.play(45.0, load)
    assert found.worst() <= 1.0


def play_split(found: World, until: float, hot_for: float) -> None:
    """Splits each zone into halves, and heals it in a hot phase that began a little earlier."""
    calm = 0.2 * USUAL * found.quota.rate
    hot = HOT * USUAL * found.quota.rate
    load = lambda now: hot if now >= until - hot_for else calm  # noqa: E731
    found.play(14.0, load)
    for one in found.instances[::2]:
        one.split_until = until
    found.play(until + 14.0, load)


@pytest.mark.parametrize(("zones", "per_zone"), [(1, 8), (3, 6)])
@pytest.mark.parametrize("until", [20.0, 26.0])
@pytest.mark.parametrize("hot_for", [0.5, 2.0, 4.0])
def test_a_split_zone_that_heals_in_a_hot_phase(
    zones: int, per_zone: int, until: float, hot_for: float
) -> None:
    for seed in range(3):
        found = World(zones, per_zone, quota(95_140.0), seed, troubles=False)
        play_split(found, until, hot_for)
        assert found.worst() <= 1.0


@pytest.mark.parametrize("rate", [2_700.0, 15_000.0, 95_140.0])
@pytest.mark.parametrize(("zones", "per_zone"), [(1, 6), (3, 20)])
def test_a_team_within_its_quota_is_served(rate: float, zones: int, per_zone: int) -> None:
    found = World(zones, per_zone, quota(rate), 1, troubles=False, loss=0.0)
    found.play(10.0, lambda now: 0.0)
    found.play(60.0, lambda now: USUAL * rate)
    assert found.goodput() >= 0.95


def test_a_lasting_load_gets_what_a_window_holds() -> None:
    found = World(3, 8, quota(95_140.0), 1, troubles=False, loss=0.0)
    found.play(60.0, hot_after(found.quota, 12.0))
    late = sum(cost for at, cost in found.given if at >= 28.0)
    assert late >= 0.8 * BOUNDS.bound(found.quota) * (60.0 - 28.0) / BOUNDS.window


def test_a_zone_whose_callers_are_few_lends_to_others() -> None:
    rate = 30_000.0
    found = World(3, 6, quota(rate), 1, troubles=False, loss=0.0, calling={0})
    found.play(12.0, lambda now: 0.0)
    found.play(60.0, lambda now: USUAL * rate)
    assert found.goodput() >= 0.95


def test_a_lowered_limit_binds_after_one_window() -> None:
    found = World(3, 8, quota(95_140.0), 3, troubles=False)
    found.play(20.0, lambda now: 50_000.0)
    found.quota = quota(15_000.0)
    found.play(60.0, lambda now: 50_000.0)
    assert found.worst(since=20.0 + BOUNDS.window) <= 1.0


@pytest.mark.parametrize("seed", range(3))
def test_limits_that_go_up_and_down_hold_the_greatest_of_a_window(seed: int) -> None:
    found = World(3, 6, quota(40_000.0), seed)
    for number, rate in enumerate((20_000.0, 40_000.0, 10_000.0, 40_000.0, 40_000.0)):
        found.play(20.0 + 7.0 * number, lambda now: 200_000.0)
        found.quota = quota(rate)
    found.quota = quota(40_000.0)
    found.play(70.0, lambda now: 200_000.0)
    assert found.worst() <= 1.0


# Planted defects.


def begins_full(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    monkeypatch.setattr(quota_bank, "FIRST", 1.0)
    return {}


def restarts_at_full_rate(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    monkeypatch.setattr(quota_bank, "RESTART", 0.0)
    monkeypatch.setattr(quota_bank, "FIRST", 0.9)
    return {}


def deputies_are_bankers(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    part = World.part
    monkeypatch.setattr(World, "part", lambda self, one: QuotaShare(part(self, one).share, True))
    monkeypatch.setattr(quota_bank, "FIRST", 0.3)
    return {}


def cut_off_give_all(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    return {"share_of": lambda heard, known: 1.0}


def nothing_is_unknown(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    # Each of the two finds what the other one misses of a pause.
    monkeypatch.setattr(quota_bank, "STOOD_STILL", 1e9)
    monkeypatch.setattr(quota_bank, "HEARD_AGAIN", 1e9)
    return {}


def loans_cost_nothing(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    def lend(
        self: QuotaLedger, team: str, quota_: Quota, part: QuotaShare, wanted: float, now: float
    ) -> float:
        return wanted

    monkeypatch.setattr(QuotaLedger, "lend", lend)
    return {}


def loans_count_twice(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    borrowed = QuotaLedger.accept_loan

    def twice(
        self: QuotaLedger, team: str, plea: int, lender: str, units: float, now: float
    ) -> bool:
        borrowed(self, team, plea, lender, 2.0 * units, now)
        return borrowed(self, team, plea, lender + "again", 2.0 * units, now)

    monkeypatch.setattr(QuotaLedger, "borrowed", twice)
    return {}


def nothing_is_counted(monkeypatch: pytest.MonkeyPatch) -> dict[str, Any]:
    monkeypatch.setattr(QuotaLedger, "_give", staticmethod(lambda account, units, at: None))
    return {}


DEFECTS = [
    begins_full,
    restarts_at_full_rate,
    deputies_are_bankers,
    cut_off_give_all,
    nothing_is_unknown,
    loans_cost_nothing,
    loans_count_twice,
    nothing_is_counted,
]


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_planted_defect_is_caught(
    monkeypatch: pytest.MonkeyPatch, defect: Callable[[pytest.MonkeyPatch], dict[str, Any]]
) -> None:
    more = defect(monkeypatch)
    found = World(1, 8, quota(95_140.0), 1, troubles=False, **more)
    play_split(found, 26.0, 2.0)
    if found.worst() > 1.0:
        return
    for seed, shape in itertools.product(range(12), [(1, 4), (3, 6)]):
        found = World(*shape, quota(95_140.0), seed, **more)
        found.play(60.0, hot_after(found.quota, 12.0))
        if found.worst() > 1.0:
            return
    pytest.fail("no seed found it")


# One bank.


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


def settled_bank(quota_: Quota) -> QuotaLedger:
    """Returns a bank that has been in office for a whole window."""
    bank = QuotaLedger(QuotaBounds(8.0, 0.0, 0.0), 0.0)
    for step in range(41):
        bank.update({"t": (quota_, ALONE)}, step * 0.25)
    return bank


def test_a_refusal_says_when_it_will_be_its_turn() -> None:
    limit = Quota(Unit.REQUESTS, 10.0, 10.0)
    bank = settled_bank(limit)
    given = 0
    while bank.acquire("t", limit, ALONE, 1.0, 10.0).granted:
        given += 1
    assert given > 10
    first = bank.acquire("t", limit, ALONE, 1.0, 10.0)
    second = bank.acquire("t", limit, ALONE, 1.0, 10.0)
    assert not first.granted
    assert 0.0 < first.wait <= first.queue_wait < second.queue_wait


def test_credit_is_given_back_once() -> None:
    limit = Quota(Unit.REQUESTS, 10.0, 10.0)
    bank = settled_bank(limit)
    bank.record_grant("e-1", 7, "t", 1.0, 10.0)
    while bank.acquire("t", limit, ALONE, 1.0, 10.0).granted:
        pass
    bank.refund("e-1", 7)
    bank.refund("e-1", 7)
    bank.refund("e-2", 7)
    assert bank.acquire("t", limit, ALONE, 1.0, 10.0).granted
    assert not bank.acquire("t", limit, ALONE, 1.0, 10.0).granted


def test_a_loan_is_taken_once_and_only_while_it_is_waited_for() -> None:
    limit = Quota(Unit.REQUESTS, 10.0, 10.0)
    bank = settled_bank(limit)
    part = QuotaShare(0.5, True)
    while bank.acquire("t", limit, part, 1.0, 10.0).granted:
        pass
    plea = bank.request_loan("t", limit, part, 10.0)
    assert plea is not None
    assert bank.request_loan("t", limit, part, 10.1) is None  # It was just asked.
    assert bank.accept_loan("t", plea.number, "b", 2.0, 10.1)
    assert not bank.accept_loan("t", plea.number, "b", 2.0, 10.1)
    assert not bank.accept_loan("t", plea.number + 1, "b", 2.0, 10.1)
    assert bank.accept_loan("t", plea.number, "c", 2.0, 10.2)
    assert not bank.accept_loan("t", plea.number, "d", 2.0, 10.6)


def test_a_bank_forgets_teams_that_have_no_quota_any_more() -> None:
    limit = Quota(Unit.REQUESTS, 10.0, 10.0)
    bank = settled_bank(limit)
    bank.update({}, 10.1)
    assert bank.request_loan("t", limit, ALONE, 10.2) is None
