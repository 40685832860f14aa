"""What is remembered of requests under which endpoints ended."""

from __future__ import annotations

import itertools
import random

import pytest
from wigeonarch_core.fatal_requests import (
    ENDS_KEPT,
    ENDS_MOST,
    FORGET,
    HEARD_LATE,
    NOTABLE_MOST,
    QUARANTINE,
    QUARANTINE_GROWS,
    SUSPECTS_MOST,
    End,
    Ends,
    FatalRequests,
    end_of,
)


def under(content: str, *endpoints: str) -> Ends:
    return Ends(content, frozenset(endpoints))


def one_by_one(requests: FatalRequests, content: str, *endpoints: str, at: float = 0.0) -> None:
    """Notes ends of runs that each began after the one before."""
    for endpoint in endpoints:
        requests.ended(End(content, endpoint, 0.0), at)


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
    assert (requests.held_for("x", 1.0) > 0.0) is held
    assert requests.held_for("y", 1.0) == 0.0


@pytest.mark.parametrize(
    ("ages", "counted"),
    [
        ((0.0, 5.0, 5.0), 1),  # A rack: all were running when the first one was heard of.
        ((0.0, 0.9, 0.9), 3),  # A second apart, each sent after the one before.
        ((0.0, 1.1, 0.9), 2),
        ((0.0, 1.0 + HEARD_LATE / 2, 1.0 + HEARD_LATE / 2), 3),  # Sent before it was heard of.
    ],
)
def test_ends_count_if_the_run_began_after_the_last_one(
    ages: tuple[float, ...], counted: int
) -> None:
    requests = FatalRequests()
    for second, age in enumerate(ages):
        requests.ended(End("x", f"e@{second}", age), float(second))
    assert requests.ends("x") == counted
    assert not requests.ended(End("x", "e@1", 0.0), 10.0)


@pytest.mark.parametrize("copies", [1, 2, 4])
def test_one_that_is_sent_in_several_copies_is_held_back_after_three_rounds(copies: int) -> None:
    requests = FatalRequests()
    for turn in range(ENDS_MOST):
        assert not requests.held_for("x", float(turn))
        for copy in range(copies):
            requests.ended(End("x", f"e{copy}@{turn}", 0.4), turn + 0.01 * copy)
    assert requests.held_for("x", ENDS_MOST) > 0.0


def test_ends_of_others_are_taken_over_whole_and_not_added_up() -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", "a@1")
    assert not requests.adopt(under("x", "b@1"), 0.0)
    assert requests.adopt(under("x", "b@1", "c@1"), 0.0)
    assert not requests.adopt(under("x", "a@1", "d@1"), 0.0)
    assert requests.ends("x") == 2
    assert not requests.ended(End("x", "a@1", 0.0), 10.0)


def test_a_whole_answer_clears_all_ends_also_those_told_again_later() -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", "a@1", "b@1")
    assert requests.ran_whole("x") == under("x", "a@1", "b@1")
    assert requests.ran_whole("x") is None
    assert not requests.ended(End("x", "a@1", 0.0), 10.0)
    assert not requests.adopt(under("x", "a@1", "b@1"), 10.0)
    assert requests.ended(End("x", "c@1", 0.0), 20.0)
    assert requests.ends("x") == 1


def test_what_another_saw_cleared_is_cleared_here() -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", "a@1", "b@1", "c@1")
    requests.cleared(under("x", "a@1", "b@1", "c@1"))
    requests.cleared(under("unknown", "a@1"))
    assert requests.held_for("x", 0.0) == 0.0


@pytest.mark.parametrize("more", [0, 1, 2])
def test_each_end_after_a_quarantine_makes_the_next_one_longer(more: int) -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", *(f"a@{n}" for n in range(ENDS_MOST + more)))
    length = QUARANTINE * QUARANTINE_GROWS**more
    assert requests.held_for("x", length - 1.0) == pytest.approx(1.0)
    assert requests.held_for("x", length + 1.0) == 0.0


def test_after_a_quarantine_one_more_end_is_enough() -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", "a@1", "b@1", "c@1")
    later = QUARANTINE + 1.0
    requests.forget_old(later)
    assert requests.held_for("x", later) == 0.0
    requests.ended(End("x", "d@1", 0.0), later)
    assert requests.held_for("x", later) > 0.0


@pytest.mark.parametrize(
    ("ends", "until"), [(1, FORGET), (2, FORGET), (ENDS_MOST, QUARANTINE + FORGET)]
)
def test_what_is_old_is_forgotten(ends: int, until: float) -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", *(f"a@{n}" for n in range(ends)))
    requests.forget_old(until - 1.0)
    assert requests.ends("x") == ends
    requests.forget_old(until + 1.0)
    assert requests.ends("x") == 0


def test_memory_is_bounded_and_the_worst_are_kept() -> None:
    requests = FatalRequests()
    one_by_one(requests, "worst", "a@1", "b@1", "c@1")
    for number in range(SUSPECTS_MOST + 50):
        requests.ended(End(f"r{number}", "a@1", 0.0), 1.0 + number)
    assert requests.held_for("worst", 100.0) > 0.0
    assert len(requests.known(1, 2 * SUSPECTS_MOST)) == SUSPECTS_MOST
    assert requests.known(1, NOTABLE_MOST)[0].content == "worst"


def test_of_one_request_a_bounded_number_of_ends_is_kept() -> None:
    requests = FatalRequests()
    one_by_one(requests, "x", *(f"a@{n}" for n in range(ENDS_KEPT)))
    assert not requests.ended(End("x", "b@1", 0.0), 10.0)
    assert requests.ends("x") == ENDS_KEPT


@pytest.mark.parametrize("seed", range(20))
def test_instances_that_hear_of_all_ends_agree_in_any_order(seed: int) -> None:
    draw = random.Random(seed)
    told = [End(f"r{draw.randrange(3)}", end_of("e", n), 0.0) for n in range(8)]
    held = []
    for _ in range(4):
        requests = FatalRequests()
        for end in draw.sample(told + told, 2 * len(told)):
            requests.ended(end, 0.0)
        held.append([requests.held_for(f"r{n}", 0.0) for n in range(3)])
    assert all(one == other for one, other in itertools.pairwise(held))
