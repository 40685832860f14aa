"""Requests that crash endpoints: which crashes count, quarantine, and what instances share."""

from __future__ import annotations

import itertools
import random

import pytest
from wigeonarch_core.fatal_requests import (
    CRASHES_TO_QUARANTINE,
    EXPIRY,
    MAX_COUNTED_CRASHES,
    MAX_STORED,
    MAX_SUSPECTS,
    QUARANTINE,
    QUARANTINE_GROWTH,
    REPORT_LAG,
    Crash,
    FatalRequests,
    RequestCrashes,
    crash_id,
)


def crashes_of(content: str, *crash_ids: str) -> RequestCrashes:
    return RequestCrashes(content, frozenset(crash_ids))


def record_one_by_one(
    requests: FatalRequests, content: str, *crash_ids: str, at: float = 0.0
) -> None:
    """Records crashes of runs that each began after the crash before."""
    for each in crash_ids:
        requests.record_crash(Crash(content, each, 0.0), at)


@pytest.mark.parametrize(
    ("crashes", "quarantined"),
    [
        ([], False),
        (["a@1"], False),
        (["a@1", "b@1"], False),
        (["a@1", "a@1", "a@1", "a@1"], False),  # One crash, reported by several instances.
        (["a@1", "a@2", "a@3"], True),  # One endpoint that restarted each time.
        (["a@1", "b@1", "c@1"], True),
    ],
)
def test_a_request_is_quarantined_after_enough_crashes(
    crashes: list[str], quarantined: bool
) -> None:
    requests = FatalRequests()
    record_one_by_one(requests, "x", *crashes)
    assert (requests.quarantine_left("x", 1.0) > 0.0) is quarantined
    assert requests.quarantine_left("y", 1.0) == 0.0


@pytest.mark.parametrize(
    ("ages", "counted"),
    [
        ((0.0, 5.0, 5.0), 1),  # A rack: all were running when the first crash was reported.
        ((0.0, 0.9, 0.9), 3),  # A second apart, each sent after the crash before.
        ((0.0, 1.1, 0.9), 2),
        ((0.0, 1.0 + REPORT_LAG / 2, 1.0 + REPORT_LAG / 2), 3),  # Sent just before the report.
    ],
)
def test_a_crash_counts_if_its_run_began_after_the_last_one(
    ages: tuple[float, ...], counted: int
) -> None:
    requests = FatalRequests()
    for second, age in enumerate(ages):
        requests.record_crash(Crash("x", f"e@{second}", age), float(second))
    assert requests.crash_count("x") == counted
    assert not requests.record_crash(Crash("x", "e@1", 0.0), 10.0)


@pytest.mark.parametrize("copies", [1, 2, 4])
def test_a_request_sent_in_several_copies_is_quarantined_after_three_rounds(copies: int) -> None:
    requests = FatalRequests()
    for round_number in range(CRASHES_TO_QUARANTINE):
        assert not requests.quarantine_left("x", float(round_number))
        for copy in range(copies):
            requests.record_crash(
                Crash("x", f"e{copy}@{round_number}", 0.4), round_number + 0.01 * copy
            )
    assert requests.quarantine_left("x", CRASHES_TO_QUARANTINE) > 0.0


def test_crashes_of_others_are_adopted_as_a_whole_and_not_added_up() -> None:
    requests = FatalRequests()
    record_one_by_one(requests, "x", "a@1")
    assert not requests.adopt(crashes_of("x", "b@1"), 0.0)
    assert requests.adopt(crashes_of("x", "b@1", "c@1"), 0.0)
    assert not requests.adopt(crashes_of("x", "a@1", "d@1"), 0.0)
    assert requests.crash_count("x") == 2
    assert not requests.record_crash(Crash("x", "a@1", 0.0), 10.0)


def test_a_completed_run_clears_all_crashes_also_if_reported_again() -> None:
    requests = FatalRequests()
    record_one_by_one(requests, "x", "a@1", "b@1")
    assert requests.record_completion("x") == crashes_of("x", "a@1", "b@1")
    assert requests.record_completion("x") is None
    assert not requests.record_crash(Crash("x", "a@1", 0.0), 10.0)
    assert not requests.adopt(crashes_of("x", "a@1", "b@1"), 10.0)
    assert requests.record_crash(Crash("x", "c@1", 0.0), 20.0)
    assert requests.crash_count("x") == 1


def test_a_clearance_by_another_instance_is_applied() -> None:
    requests = FatalRequests()
    record_one_by_one(requests, "x", "a@1", "b@1", "c@1")
    requests.apply_clearance(crashes_of("x", "a@1", "b@1", "c@1"))
    requests.apply_clearance(crashes_of("unknown", "a@1"))
    assert requests.quarantine_left("x", 0.0) == 0.0


@pytest.mark.parametrize("more", [0, 1, 2])
def test_each_crash_after_a_quarantine_makes_the_next_one_longer(more: int) -> None:
    requests = FatalRequests()
    record_one_by_one(requests, "x", *(f"a@{n}" for n in range(CRASHES_TO_QUARANTINE + more)))
    length = QUARANTINE * QUARANTINE_GROWTH**more
    assert requests.quarantine_left("x", length - 1.0) == pytest.approx(1.0)
    assert requests.quarantine_left("x", length + 1.0) == 0.0


def test_after_a_quarantine_one_more_crash_is_enough() -> None:
    requests = FatalRequests()
    record_one_by_one(requests, "x", "a@1", "b@1", "c@1")
    later = QUARANTINE + 1.0
    requests.expire(later)
    assert requests.quarantine_left("x", later) == 0.0
    requests.record_crash(Crash("x", "d@1", 0.0), later)
    assert requests.quarantine_left("x", later) > 0.0


@pytest.mark.parametrize(
    ("crashes", "until"), [(1, EXPIRY), (2, EXPIRY), (CRASHES_TO_QUARANTINE, QUARANTINE + EXPIRY)]
)
def test_old_requests_are_forgotten(crashes: int, until: float) -> None:
    requests = FatalRequests()
    record_one_by_one(requests, "x", *(f"a@{n}" for n in range(crashes)))
    requests.expire(until - 1.0)
    assert requests.crash_count("x") == crashes
    requests.expire(until + 1.0)
    assert requests.crash_count("x") == 0


def test_memory_is_bounded_and_the_worst_requests_are_kept() -> None:
    requests = FatalRequests()
    record_one_by_one(requests, "worst", "a@1", "b@1", "c@1")
    for number in range(MAX_SUSPECTS + 50):
        requests.record_crash(Crash(f"r{number}", "a@1", 0.0), 1.0 + number)
    assert requests.quarantine_left("worst", 100.0) > 0.0
    assert len(requests.most_crashes(1, 2 * MAX_SUSPECTS)) == MAX_SUSPECTS
    assert requests.most_crashes(1, MAX_STORED)[0].content_key == "worst"


def test_a_bounded_number_of_crashes_of_a_request_counts() -> None:
    requests = FatalRequests()
    record_one_by_one(requests, "x", *(f"a@{n}" for n in range(MAX_COUNTED_CRASHES)))
    assert not requests.record_crash(Crash("x", "b@1", 0.0), 10.0)
    assert requests.crash_count("x") == MAX_COUNTED_CRASHES


@pytest.mark.parametrize("seed", range(20))
def test_instances_that_get_all_reports_agree_in_any_order(seed: int) -> None:
    draw = random.Random(seed)
    reported = [Crash(f"r{draw.randrange(3)}", crash_id("e", n), 0.0) for n in range(8)]
    quarantines = []
    for _ in range(4):
        requests = FatalRequests()
        for crash in draw.sample(reported + reported, 2 * len(reported)):
            requests.record_crash(crash, 0.0)
        quarantines.append([requests.quarantine_left(f"r{n}", 0.0) for n in range(3)])
    assert all(one == other for one, other in itertools.pairwise(quarantines))
