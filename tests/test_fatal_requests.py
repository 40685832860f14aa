"""What is remembered of requests under which endpoints ended."""

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


def under(content: str, *endpoints: str) -> RequestCrashes:
    return RequestCrashes(content, frozenset(endpoints))


def one_by_one(requests: FatalRequests, content: str, *endpoints: str, at: float = 0.0) -> None:
    """Notes ends of runs that each began after the one before."""
    for endpoint in endpoints:
        requests.record_crash(Crash(content, endpoint, 0.0), at)


@pytest.mark.parametrize(
    ("seen", "held"),
    [
        ([], False),
        (["a@1"], False),
        (["a@1", "b@1"], False),
        (["a@1", "a@1", "a@1", "a@1"], False),  # One end that several instances tell.
        (["a@1", "a@2", "a@3"], True),  # One endpoint, started again each time.
        (["a@1", "b@1", "c@1"], True),
    ],
)
def test_a_request_is_held_back_once_enough_incarnations_ended(seen: list[str], held: bool) -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", *seen)
    assert (requests.quarantine_left("x", 1.0) > 0.0) is held
    assert requests.quarantine_left("y", 1.0) == 0.0


@pytest.mark.parametrize(
    ("ages", "counted"),
    [
        ((0.0, 5.0, 5.0), 1),  # A rack: all were running when the first one was heard of.
        ((0.0, 0.9, 0.9), 3),  # A second apart, each sent after the one before.
        ((0.0, 1.1, 0.9), 2),
        ((0.0, 1.0 + REPORT_LAG / 2, 1.0 + REPORT_LAG / 2), 3),  # Sent before it was heard of.
    ],
)
def test_ends_count_if_the_run_began_after_the_last_one(
    ages: tuple[float, ...], counted: int
) -> None:
    requests = FatalRequests()
    for second, age in enumerate(ages):
        requests.record_crash(Crash("x", f"e@{second}", age), float(second))
    assert requests.crash_count("x") == counted
    assert not requests.record_crash(Crash("x", "e@1", 0.0), 10.0)


@pytest.mark.parametrize("copies", [1, 2, 4])
def test_one_that_is_sent_in_several_copies_is_held_back_after_three_rounds(copies: int) -> None:
    requests = FatalRequests()
    for turn in range(CRASHES_TO_QUARANTINE):
        assert not requests.quarantine_left("x", float(turn))
        for copy in range(copies):
            requests.record_crash(Crash("x", f"e{copy}@{turn}", 0.4), turn + 0.01 * copy)
    assert requests.quarantine_left("x", CRASHES_TO_QUARANTINE) > 0.0


def test_ends_of_others_are_taken_over_whole_and_not_added_up() -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", "a@1")
    assert not requests.adopt(under("x", "b@1"), 0.0)
    assert requests.adopt(under("x", "b@1", "c@1"), 0.0)
    assert not requests.adopt(under("x", "a@1", "d@1"), 0.0)
    assert requests.crash_count("x") == 2
    assert not requests.record_crash(Crash("x", "a@1", 0.0), 10.0)


def test_a_whole_answer_clears_all_ends_also_those_told_again_later() -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", "a@1", "b@1")
    assert requests.record_completion("x") == under("x", "a@1", "b@1")
    assert requests.record_completion("x") is None
    assert not requests.record_crash(Crash("x", "a@1", 0.0), 10.0)
    assert not requests.adopt(under("x", "a@1", "b@1"), 10.0)
    assert requests.record_crash(Crash("x", "c@1", 0.0), 20.0)
    assert requests.crash_count("x") == 1


def test_what_another_saw_cleared_is_cleared_here() -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", "a@1", "b@1", "c@1")
    requests.apply_clearance(under("x", "a@1", "b@1", "c@1"))
    requests.apply_clearance(under("unknown", "a@1"))
    assert requests.quarantine_left("x", 0.0) == 0.0


@pytest.mark.parametrize("more", [0, 1, 2])
def test_each_end_after_a_quarantine_makes_the_next_one_longer(more: int) -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", *(f"a@{n}" for n in range(CRASHES_TO_QUARANTINE + more)))
    length = QUARANTINE * QUARANTINE_GROWTH**more
    assert requests.quarantine_left("x", length - 1.0) == pytest.approx(1.0)
    assert requests.quarantine_left("x", length + 1.0) == 0.0


def test_after_a_quarantine_one_more_end_is_enough() -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", "a@1", "b@1", "c@1")
    later = QUARANTINE + 1.0
    requests.expire(later)
    assert requests.quarantine_left("x", later) == 0.0
    requests.record_crash(Crash("x", "d@1", 0.0), later)
    assert requests.quarantine_left("x", later) > 0.0


@pytest.mark.parametrize(
    ("ends", "until"), [(1, EXPIRY), (2, EXPIRY), (CRASHES_TO_QUARANTINE, QUARANTINE + EXPIRY)]
)
def test_what_is_old_is_forgotten(ends: int, until: float) -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", *(f"a@{n}" for n in range(ends)))
    requests.expire(until - 1.0)
    assert requests.crash_count("x") == ends
    requests.expire(until + 1.0)
    assert requests.crash_count("x") == 0


def test_memory_is_bounded_and_the_worst_are_kept() -> None:
    requests = FatalRequests()
    one_by_one(requests, "worst", "a@1", "b@1", "c@1")
    for number in range(MAX_SUSPECTS + 50):
        requests.record_crash(Crash(f"r{number}", "a@1", 0.0), 1.0 + number)
    assert requests.quarantine_left("worst", 100.0) > 0.0
    assert len(requests.most_crashes(1, 2 * MAX_SUSPECTS)) == MAX_SUSPECTS
    assert requests.most_crashes(1, MAX_STORED)[0].content_key == "worst"


def test_of_one_request_a_bounded_number_of_ends_is_kept() -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", *(f"a@{n}" for n in range(MAX_COUNTED_CRASHES)))
    assert not requests.record_crash(Crash("x", "b@1", 0.0), 10.0)
    assert requests.crash_count("x") == MAX_COUNTED_CRASHES


@pytest.mark.parametrize("seed", range(20))
def test_instances_that_hear_of_all_ends_agree_in_any_order(seed: int) -> None:
    draw = random.Random(seed)
    told = [Crash(f"r{draw.randrange(3)}", crash_id("e", n), 0.0) for n in range(8)]
    held = []
    for _ in range(4):
        requests = FatalRequests()
        for end in draw.sample(told + told, 2 * len(told)):
            requests.record_crash(end, 0.0)
        held.append([requests.quarantine_left(f"r{n}", 0.0) for n in range(3)])
    assert all(one == other for one, other in itertools.pairwise(held))
