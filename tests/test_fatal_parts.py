"""Parts of prompts that crash endpoints: which are held back, how soon, and which wrongly."""

from __future__ import annotations

import pytest
from part_world import Mix, play
from wigeonarch_core.fatal_parts import (
    CRASHES_OF_KNOWN_PART,
    CRASHES_OF_NEW_PART,
    EXPIRY,
    HOLD,
    HOLD_GROWTH,
    KNOWN_PART_TTL,
    MAX_CRASHES,
    MAX_KNOWN_PARTS,
    MAX_SUSPECTS,
    TRIAL_TIME,
    FatalParts,
    PartCrash,
    PartCrashes,
)

MAX_LATE = 3  # Requests with a fatal part that may reach engines after all had to know it.
LEAST_SERVED = 0.9  # Share of sound requests that are to be served then.
MAX_REFUSED = 0.01  # Share of sound requests that may be refused in a whole run.
MIXES = {
    "rare": Mix(fatal=(0.3,)),
    "usual": Mix(),
    "often": Mix(fatal=(5.0,)),
    "two": Mix(fatal=(1.0, 0.5)),
    "three": Mix(fatal=(1.0, 0.5, 0.2)),
    "slow_answers": Mix(write=(4.0, 10.0)),
    "from_the_start": Mix(fatal_from=0.0),
    "many_lost_reports": Mix(lost=0.2),
    "two_versions": Mix(software=("v1", "v2")),
    "three_versions": Mix(engines=6, software=("v1", "v2", "v3")),
    "one_of_two_versions": Mix(engines=6, software=("v1", "v2"), fatal_software="v2"),
    "grown": Mix(engines=70, rate=150.0, fatal=(3.0,), adapters=3000, seconds=40.0),
}
NO_FATAL_PART = {
    "chance": Mix(fatal=(), chance=0.5),
    "rack": Mix(engines=30, rate=90.0, fatal=(), racks=((20, 0.3, 0.0), (40, 0.6, 3.0))),
    "all_down": Mix(fatal=(), racks=((20, 1.0, 1.0), (30, 1.0, 1.0), (40, 1.0, 3.0))),
}


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("name", MIXES)
def test_fatal_parts_are_held_back_and_sound_requests_served(name: str, seed: int) -> None:
    world = play(MIXES[name], seed)
    assert world.late_arrivals() <= MAX_LATE
    assert world.served_share() >= LEAST_SERVED
    assert world.refused_share() <= MAX_REFUSED


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("name", NO_FATAL_PART)
def test_sound_parts_are_not_held_back_when_engines_crash_otherwise(name: str, seed: int) -> None:
    assert play(NO_FATAL_PART[name], seed).refused_share() <= MAX_REFUSED


def crash(parts: FatalParts, part: str, number: int, at: float = 0.0, software: str = "v1") -> bool:
    """Records a crash of a run that began after the crash before."""
    return parts.record_crash(PartCrash(part, software, f"e@{number}", 0.0), at)


def hold(parts: FatalParts, part: str = "x", at: float = 0.0) -> None:
    """Lets a new part be held back."""
    for number in range(CRASHES_OF_NEW_PART):
        crash(parts, part, number, at)


@pytest.mark.parametrize(
    ("known", "crashes", "ages", "held"),
    [
        (False, CRASHES_OF_NEW_PART - 1, 0.0, False),
        (False, CRASHES_OF_NEW_PART, 0.0, True),
        (False, CRASHES_OF_NEW_PART, 100.0, True),  # All at once.
        (True, CRASHES_OF_KNOWN_PART - 1, 0.0, False),
        (True, CRASHES_OF_KNOWN_PART, 0.0, True),
        (True, 4 * CRASHES_OF_KNOWN_PART, 100.0, False),  # All at once: a rack.
    ],
)
def test_a_part_is_held_back_after_enough_crashes(
    known: bool, crashes: int, ages: float, held: bool
) -> None:
    parts = FatalParts()
    if known:
        parts.record_run("x", "v1", 0.0)
    for number in range(crashes):
        parts.record_crash(PartCrash("x", "v1", f"e@{number}", ages), 1.0 + number / 100)
    assert (parts.hold_left(["y", "x"], "v1", 2.0) > 0.0) is held
    assert parts.held_part(["y", "x"], "v1", 2.0) == ("x" if held else "")
    assert not parts.hold_left(["y"], "v1", 2.0)


def test_a_crash_that_several_instances_report_counts_once() -> None:
    parts = FatalParts()
    assert crash(parts, "x", 1)
    assert not any(crash(parts, "x", 1) for _ in range(10))
    assert not parts.any_held


def test_crashes_at_several_versions_add_up_where_the_part_is_new() -> None:
    parts = FatalParts()
    parts.record_run("x", "v3", 0.0)
    crash(parts, "x", 1, software="v1")
    crash(parts, "x", 2, software="v2")
    crash(parts, "x", 3, software="v2")
    assert parts.hold_left(["x"], "v1", 1.0) > 0.0
    assert parts.hold_left(["x"], "v2", 1.0) > 0.0
    assert not parts.hold_left(["x"], "v3", 1.0)


def test_a_run_clears_a_part_at_its_version_only_also_if_reported_again() -> None:
    parts = FatalParts()
    hold(parts)
    assert parts.record_run("x", "v2", 1.0) is None
    assert parts.hold_left(["x"], "v1", 1.0) > 0.0
    cleared = parts.record_run("x", "v1", 1.0)
    assert cleared == PartCrashes("x", "v1", frozenset({"e@0", "e@1", "e@2"}))
    assert not parts.any_held
    assert not crash(parts, "x", 1)
    assert not parts.adopt(cleared, 2.0)


def test_a_clearance_that_overtakes_the_crash_counts() -> None:
    parts = FatalParts()
    parts.apply_clearance(PartCrashes("x", "v1", frozenset({"e@1"})), 0.0)
    assert not crash(parts, "x", 1)


def test_each_crash_in_a_trial_makes_the_next_hold_longer_and_a_run_ends_it() -> None:
    parts, now = FatalParts(), 0.0
    hold(parts)
    for number in range(3):
        left = parts.hold_left(["x"], "v1", now)
        assert left == pytest.approx(HOLD * HOLD_GROWTH**number)
        now += left
        assert parts.needs_trial("x", "v1")
        parts.begin_trial("x", now)
        assert parts.hold_left(["x"], "v1", now) == pytest.approx(TRIAL_TIME)
        crash(parts, "x", 100 + number, now)
    parts.record_run("x", "v1", now)
    assert not parts.any_held
    assert not parts.needs_trial("x", "v1")


def test_crashes_of_requests_under_way_do_not_make_the_hold_longer() -> None:
    parts = FatalParts()
    hold(parts)
    for number in range(10, 20):
        crash(parts, "x", number, 1.0)
    assert parts.hold_left(["x"], "v1", 1.0) == pytest.approx(HOLD)


def test_a_part_that_always_came_with_a_fatal_one_may_be_tried_without_it() -> None:
    parts = FatalParts()
    hold(parts, "fatal")
    hold(parts, "beside")
    crash(parts, "fatal", 10)
    assert parts.hold_left(["beside", "fatal"], "v1", 1.0) > 0.0
    assert parts.hold_left(["fatal"], "v1", 1.0) > 0.0
    assert not parts.hold_left(["beside"], "v1", 1.0)
    assert parts.needs_trial("beside", "v1")
    parts.begin_trial("beside", 1.0)
    assert parts.hold_left(["beside"], "v1", 1.0) > 0.0


def test_crashes_of_another_instance_are_adopted() -> None:
    parts = FatalParts()
    crash(parts, "x", 1)
    assert parts.adopt(PartCrashes("x", "v1", frozenset({"e@1", "e@2", "e@3"})), 0.0)
    assert not parts.adopt(PartCrashes("x", "v1", frozenset({"e@2"})), 0.0)
    assert parts.hold_left(["x"], "v1", 0.0) > 0.0
    assert parts.most_crashes(2, 5) == [PartCrashes("x", "v1", frozenset({"e@1", "e@2", "e@3"}))]
    assert parts.most_crashes(4, 5) == []


def test_a_retracted_crash_counts_no_longer_until_it_is_recorded_anew() -> None:
    parts = FatalParts()
    hold(parts)
    assert parts.retract("e@1") == 1
    assert not parts.any_held
    assert crash(parts, "x", 1)
    assert parts.any_held


def test_what_is_remembered_is_bounded_and_held_parts_are_kept() -> None:
    parts = FatalParts()
    hold(parts)
    for number in range(3 * MAX_CRASHES):
        crash(parts, "x", number)
    assert parts.crash_count("x") == MAX_CRASHES
    for number in range(2 * MAX_SUSPECTS):
        crash(parts, f"y{number}", 1)
    for number in range(2 * MAX_KNOWN_PARTS):
        parts.record_run(f"z{number}", "v1", 0.0)
    assert len(parts._suspects) == MAX_SUSPECTS
    assert len(parts._known) == MAX_KNOWN_PARTS
    assert parts.hold_left(["x"], "v1", 0.0) > 0.0


def test_parts_and_runs_are_forgotten_when_long_past() -> None:
    parts = FatalParts()
    hold(parts)
    parts.record_run("y", "v1", 0.0)
    parts.expire(KNOWN_PART_TTL - 1.0)
    assert parts.any_held
    parts.expire(HOLD + EXPIRY)
    assert not parts.any_held
    assert not parts._suspects
    assert not parts._known


def test_crashes_of_a_part_that_has_run_are_not_stored_or_told_as_if_it_had_not() -> None:
    parts = FatalParts()
    parts.record_run("sound", "v1", 0.0)
    for number in range(CRASHES_OF_KNOWN_PART - 1):
        crash(parts, "sound", number, 1.0 + number)
    crash(parts, "sound", 1, 9.0, "v2")
    crash(parts, "new", 1, 9.0)
    assert {(each.part, each.software) for each in parts.most_crashes(1, 9)} == {
        ("sound", "v2"),
        ("new", "v1"),
    }
    crash(parts, "sound", 100, 20.0)
    assert ("sound", "v1") in {(each.part, each.software) for each in parts.most_crashes(1, 9)}
