"""The bound on repeated sends holds over all instances, also while they can't hear each other."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wigeonarch_core.retry_window import RetryWindow

SHARE, ALLOWANCE, WINDOW = 0.2, 50.0, 10.0


@pytest.mark.parametrize(
    ("fresh", "instances", "allowed"),
    [
        (0, 1, 25),  # Half of the allowance.
        (0, 5, 5),
        (100, 5, 15),  # Besides, half of the share.
        (0, 60, 0),  # Less than one whole repeat is none.
    ],
)
def test_repeats_allowed(fresh: int, instances: int, allowed: int) -> None:
    window = RetryWindow(SHARE, ALLOWANCE, WINDOW)
    window.note_instance_count(instances)
    for _ in range(fresh):
        window.record_request("s", 1.0)
    assert sum(window.try_spend("s", 2.0) for _ in range(200)) == allowed


def test_an_instance_that_falls_silent_gives_no_larger_part() -> None:
    window = RetryWindow(SHARE, ALLOWANCE, WINDOW)
    window.note_instance_count(6)
    before = window.remaining("s", 0.0)
    window.note_instance_count(1)
    assert window.remaining("s", 0.0) == before


def test_repeats_return_when_the_window_has_passed() -> None:
    window = RetryWindow(SHARE, 2.0, WINDOW)
    assert window.try_spend("s", 0.0)
    assert not window.try_spend("s", 9.9)
    assert window.try_spend("s", 10.1)


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.floats(0.0, 2.0), st.booleans()), min_size=1, max_size=300
    )
)
def test_no_window_has_more_repeats_than_allowed(
    steps: list[tuple[int, float, bool]],
) -> None:
    """Four instances that never hear how much the others spend."""
    parts = [RetryWindow(SHARE, ALLOWANCE, WINDOW) for _ in range(4)]
    for part in parts:
        part.note_instance_count(4)
    now = 0.0
    fresh: list[float] = []
    repeats: list[float] = []
    for which, pause, again in steps:
        now += pause
        if again:
            repeats += [now] * parts[which].try_spend("s", now)
        else:
            parts[which].record_request("s", now)
            fresh.append(now)
        recent = [at for at in repeats if at > now - WINDOW]
        # Fresh requests of this window or the one before count, as the bound allows.
        base = [at for at in fresh if at > now - 2 * WINDOW]
        assert len(recent) <= SHARE * len(base) + ALLOWANCE
