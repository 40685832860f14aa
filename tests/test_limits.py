"""Retry budget, jitter, circuit breakers and admission control."""

from __future__ import annotations

from random import Random

import pytest
from wigeonarch_core.admission import Admission
from wigeonarch_core.circuit import MAX_PAUSE, CircuitBreakers, State
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.retry import RetryBudget, doubled, full_jitter


@pytest.mark.parametrize(
    ("share", "reserve", "fresh", "tried", "allowed"),
    [
        (0.2, 10.0, 0, 20, 10),  # The reserve alone.
        (0.2, 2.0, 100, 20, 2),  # The balance never exceeds the reserve.
        (0.5, 1.0, 1, 3, 1),
        (0.2, 0.5, 10, 5, 0),  # A part of a retry is none.
    ],
)
def test_retry_budget_allows_the_reserve_and_earnings(
    share: float, reserve: float, fresh: int, tried: int, allowed: int
) -> None:
    budget = RetryBudget(share, reserve)
    for _ in range(fresh):
        budget.record_request("drafting")
    assert sum(budget.try_spend("drafting") for _ in range(tried)) == allowed


def test_retry_budget_allows_its_share_in_the_long_run() -> None:
    budget = RetryBudget(0.2, 10.0)
    spent = 0
    for _ in range(10_000):
        budget.record_request("drafting")
        spent += budget.try_spend("drafting")
    assert 2000 <= spent <= 2010


def test_retry_budget_is_per_service() -> None:
    budget = RetryBudget(0.2, 1.0)
    assert budget.try_spend("drafting")
    assert not budget.try_spend("drafting")
    assert budget.try_spend("orders")


@pytest.mark.parametrize(("attempt", "bound"), [(0, 0.1), (1, 0.2), (3, 0.8), (10, 1.0)])
def test_full_jitter_spreads_over_the_whole_bound(attempt: int, bound: float) -> None:
    rng = Random(1)
    pauses = [full_jitter(attempt, 0.1, 1.0, rng) for _ in range(2000)]
    assert 0.0 <= min(pauses) < bound * 0.05
    assert bound * 0.95 < max(pauses) <= bound


CIRCUIT_CASES = [
    # Steps: f failure, s success, c call begins, w the pause passes. Then: state, allows a call.
    ("", State.CLOSED, True),
    ("ff", State.CLOSED, True),
    ("ffsff", State.CLOSED, True),  # Only failures in a row count.
    ("fff", State.OPEN, False),
    ("fffw", State.OPEN, True),
    ("fffwc", State.PROBING, False),  # One probe at a time.
    ("fffwcs", State.CLOSED, True),
    ("fffwcf", State.OPEN, False),
    ("fffwcfwcs", State.CLOSED, True),
    ("fffs", State.CLOSED, True),  # A call that began before the circuit opened succeeds.
    ("fffwcw", State.PROBING, True),  # A probe without a result does not block forever.
]


@pytest.mark.parametrize(("steps", "state", "allows"), CIRCUIT_CASES)
def test_circuit_states(steps: str, state: State, allows: bool) -> None:
    breakers = CircuitBreakers(Random(1))
    now = 100.0
    for step in steps:
        if step == "f":
            breakers.record_failure("engine", now)
        elif step == "s":
            breakers.record_success("engine")
        elif step == "c":
            breakers.begin_call("engine", now)
        else:
            now += MAX_PAUSE
    assert breakers.state("engine") is state
    assert breakers.allows("engine", now) is allows
    assert (breakers.retry_after("engine", now) == 0.0) is allows


def test_circuit_pauses_grow_and_stay_bounded() -> None:
    breakers = CircuitBreakers(Random(1))
    now, pauses = 0.0, []
    for _ in range(3):
        breakers.record_failure("engine", now)
    for _ in range(12):
        pauses.append(breakers.retry_after("engine", now))
        now += MAX_PAUSE
        breakers.begin_call("engine", now)
        breakers.record_failure("engine", now)
    assert pauses[0] < 0.6
    assert MAX_PAUSE / 2 <= max(pauses) <= MAX_PAUSE


ADMISSION_CASES = [
    # Limit, callers in order of their requests, reason for which the last request is refused.
    (4, "aaaa", None),  # A single caller may use the whole limit.
    (4, "aaaaa", Reason.CONCURRENCY),
    (4, "aaab", None),
    (8, "aaaab", None),
    (8, "aaaaba", Reason.FAIR_SHARE),  # The share is half of 8 with two callers.
    (8, "aabbaabb", None),
    (9, "aaabbca", Reason.FAIR_SHARE),  # The share is a third of 9 with three callers.
    (9, "aabbca", None),
]


@pytest.mark.parametrize(("limit", "callers", "last"), ADMISSION_CASES)
def test_admission_by_fair_share(limit: int, callers: str, last: Reason | None) -> None:
    admission = Admission(limit)
    refusals = [admission.try_admit(caller) for caller in callers]
    assert refusals[-1] == last


def test_ended_requests_no_longer_count() -> None:
    admission = Admission(2)
    for _ in range(100):
        assert admission.try_admit("a") is None
        admission.release("a")
    assert admission.in_progress == admission.count_of("a") == 0


@pytest.mark.parametrize(
    ("times", "expected"), [(0, 0.1), (1, 0.2), (3, 0.8), (4, 1.0), (1023, 1.0), (100_000, 1.0)]
)
def test_a_pause_doubles_up_to_its_bound_however_long_an_outage_lasts(
    times: int, expected: float
) -> None:
    assert doubled(0.1, times, 1.0) == expected
    assert full_jitter(times, 0.1, 1.0, Random(1)) <= expected
